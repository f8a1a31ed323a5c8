"""Processor time of a node for idle upstreams: reports, cache events, sweeps."""

from dataclasses import dataclass
from time import sleep
from typing import Annotated

from cappa import Arg, command, parse

from bench.control_cost import read_cpu_s, read_resident_mib
from bench.slopes import Point, fit_line
from features.support.fleet import ZONES, Fleet, base_text, overlay_text


def measure(engines: int, settle_s: float, window_s: float) -> Point:
    """Return the share of a core that a node uses with idle engines, in percent."""
    fleet = Fleet()
    try:
        fleet.start_platform()
        for _ in range(engines):
            fleet.start_engine()
        (node,) = fleet.start_nodes(ZONES[:1])
        folder = fleet.write_config(base_text(), overlay_text(fleet))
        assert fleet.ctl("config", "apply", str(folder)).returncode == 0
        sleep(settle_s)
        before_s = read_cpu_s(node)
        sleep(window_s)
        percent = 100 * (read_cpu_s(node) - before_s) / window_s
        mib = read_resident_mib(node)
        print(f"{engines} engines: {percent:.2f} % of a core, {mib:.1f} MiB")
        return Point(engines, percent)
    finally:
        fleet.stop()


@command(name="upstream-cost")
@dataclass
class UpstreamCost:
    """Measure one idle node with several numbers of engine stand-ins."""

    sizes: Annotated[str, Arg(long=True, help="Numbers of engines.")] = "2,8,16"
    settle_s: Annotated[float, Arg(long=True, help="Wait before, in seconds.")] = 5.0
    window_s: Annotated[float, Arg(long=True, help="Window, in seconds.")] = 20.0

    def __call__(self) -> None:
        """Run the measurement."""
        points = [
            measure(int(size), self.settle_s, self.window_s)
            for size in self.sizes.split(",")
        ]
        line = fit_line(points)
        print(f"base {line.base:.2f} %, for each engine {line.slope:.3f} %")


if __name__ == "__main__":
    parse(UpstreamCost)()
