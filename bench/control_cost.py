"""Cost of the control plane per node, for several numbers of real node processes."""

from asyncio import run
from dataclasses import dataclass, fields
from os import sysconf
from pathlib import Path
from statistics import mean
from time import monotonic, sleep
from typing import Annotated

from cappa import Arg, command, parse
from msgspec import json
from returns.result import Success

from features.support.fleet import (
    OPERATOR_TOKEN,
    ZONES,
    Fleet,
    Process,
    base_text,
    http,
    overlay_text,
)
from lagoonhinge_core.config_load import ConfigSource
from lagoonhinge_core.config_row import CONFIG_KEY
from lagoonhinge_core.membership import ENTRY_ROLE
from lagoonhinge_core.store_messages import VmEntry, VmState
from lagoonhinge_ctl.config_acceptance import accept_config
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session

TICKS_PER_S = sysconf("SC_CLK_TCK")
PAGE_BYTES = sysconf("SC_PAGE_SIZE")
MIB = 1 << 20
BYTES_METRIC = "lagoonhinge_control_bytes_total"
VERSION_METRIC = "lagoonhinge_config_version"
IN_FORCE_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Counters:
    """Counters of all nodes and the platform at one time."""

    at_s: float
    control_bytes: tuple[float, ...]
    cpu_s: tuple[float, ...]
    platform_reads: int
    platform_writes: int


@dataclass(frozen=True)
class Cost:
    """Cost of the control plane; values per node are means, except for `_max`."""

    nodes: int
    control_bytes_per_s: float
    control_bytes_per_s_max: float
    cpu_percent: float
    cpu_percent_max: float
    resident_mib: float
    platform_reads_per_s: float
    platform_writes_per_s: float
    config_in_force_s: float


def read_metric(node: Process, name: str) -> float:
    """Return the sum of a metric over its labels."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    text = http(
        "GET", f"http://{node.control_address}/metrics", headers=headers
    ).body.decode()
    lines = (line for line in text.splitlines() if line.startswith(name))
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def read_cpu_s(node: Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = Path(f"/proc/{node.popen.pid}/stat").read_text()
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def read_resident_mib(node: Process) -> float:
    """Return the resident memory of a process, in MiB."""
    pages = Path(f"/proc/{node.popen.pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / MIB


def read_counters(fleet: Fleet) -> Counters:
    """Return the counters of all nodes and the platform."""
    counters = http("GET", f"{fleet.platform.url}/control/counters").json()
    return Counters(
        monotonic(),
        tuple(read_metric(node, BYTES_METRIC) for node in fleet.nodes),
        tuple(read_cpu_s(node) for node in fleet.nodes),
        counters["reads"],
        counters["writes"],
    )


def start_fleet(count: int) -> Fleet:
    """Start nodes across the zones, with a configuration in force and a list of VMs."""
    fleet = Fleet()
    fleet.start_platform()
    fleet.start_nodes([ZONES[n % len(ZONES)] for n in range(count)])
    vms = [
        VmEntry(
            node.name,
            ZONES[n % len(ZONES)],
            node.control_address,
            ENTRY_ROLE,
            VmState.LIVE,
        )
        for n, node in enumerate(fleet.nodes)
    ]
    http("PUT", f"{fleet.platform.url}/control/vms", json.encode(vms))
    time_config_change(fleet, 0)
    return fleet


def time_config_change(fleet: Fleet, number: int) -> float:
    """Return the time from a change's acceptance until all nodes use it, in seconds."""
    base = f"# change {number}\n{base_text()}"
    source = ConfigSource(base, {fleet.site: overlay_text(fleet)})
    version = run(_accept(fleet, source))
    accepted_s = monotonic()
    pending_nodes = list(fleet.nodes)
    while pending_nodes:
        assert monotonic() < accepted_s + IN_FORCE_TIMEOUT_S, [
            n.name for n in pending_nodes
        ]
        pending_nodes = [
            n for n in pending_nodes if read_metric(n, VERSION_METRIC) < version
        ]
        sleep(POLL_INTERVAL_S)
    return monotonic() - accepted_s


async def _accept(fleet: Fleet, source: ConfigSource) -> int:
    async with open_session() as session:
        platform = HttpPlatform(session, fleet.platform.url)
        row = (await platform.read(CONFIG_KEY)).unwrap()
        match await accept_config(platform, platform, source, "bench", row):
            case Success(accepted):
                return accepted.version
            case failure:
                raise AssertionError(failure)


def measure(count: int, settle_s: float, measured_s: float, changes: int) -> Cost:
    """Return the cost for one number of nodes."""
    fleet = start_fleet(count)
    try:
        sleep(settle_s)
        before = read_counters(fleet)
        sleep(measured_s)
        after = read_counters(fleet)
        resident_mib = mean(read_resident_mib(node) for node in fleet.nodes)
        in_force_s = max(time_config_change(fleet, n + 1) for n in range(changes))
    finally:
        fleet.stop()
    elapsed_s = after.at_s - before.at_s
    bytes_per_s = [
        (b - a) / elapsed_s
        for a, b in zip(before.control_bytes, after.control_bytes, strict=True)
    ]
    cpu_percents = [
        100 * (b - a) / elapsed_s
        for a, b in zip(before.cpu_s, after.cpu_s, strict=True)
    ]
    return Cost(
        nodes=count,
        control_bytes_per_s=mean(bytes_per_s),
        control_bytes_per_s_max=max(bytes_per_s),
        cpu_percent=mean(cpu_percents),
        cpu_percent_max=max(cpu_percents),
        resident_mib=resident_mib,
        platform_reads_per_s=(after.platform_reads - before.platform_reads) / elapsed_s,
        platform_writes_per_s=(after.platform_writes - before.platform_writes)
        / elapsed_s,
        config_in_force_s=in_force_s,
    )


def print_costs(costs: list[Cost]) -> None:
    """Print each figure by number of nodes, with its slope from first to last."""
    smallest, largest = costs[0], costs[-1]
    node_counts = "".join(f"{cost.nodes:>10}" for cost in costs)
    print(f"{'nodes':28}{node_counts}{'slope per node':>18}")
    for figure in fields(Cost)[1:]:
        values = [getattr(cost, figure.name) for cost in costs]
        columns = "".join(f"{value:>10.2f}" for value in values)
        slope = (values[-1] - values[0]) / max(1, largest.nodes - smallest.nodes)
        print(f"{figure.name:28}{columns}{slope:>18.4f}")


@command(name="control-cost")
@dataclass
class ControlCost:
    """Measure the cost of the control plane per node."""

    sizes: Annotated[str, Arg(long=True, help="Numbers of nodes.")] = "9,24"
    settle_s: Annotated[float, Arg(long=True, help="Wait before, in seconds.")] = 10.0
    measured_s: Annotated[float, Arg(long=True, help="Window, in seconds.")] = 20.0
    changes: Annotated[int, Arg(long=True, help="Configuration changes timed.")] = 3

    def __call__(self) -> None:
        """Run the measurement."""
        sizes = sorted(int(size) for size in self.sizes.split(","))
        print_costs(
            [
                measure(size, self.settle_s, self.measured_s, self.changes)
                for size in sizes
            ]
        )


if __name__ == "__main__":
    parse(ControlCost)()
