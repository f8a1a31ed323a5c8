"""Plays load patterns on emulated engines in virtual time, and compares placements."""

from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Annotated

from cappa import Arg, command, parse

from bench.emulator.fleet import EmulatedFleet, Outcome
from bench.emulator.policies import POLICIES, Policy
from bench.emulator.results import kind_figures, share_earned, windows
from bench.emulator.traffic import KINDS, PATTERNS, PROFILE, arrivals

DRAIN_S = 20.0  # beyond the last arrival, longer than any time limit


def play(
    policy: Policy, pattern: str, engines: int, nodes: int, seed: int, rate: float
) -> list[Outcome]:
    """Return what became of the requests of one run."""
    requests = arrivals(pattern, engines, seed, rate)
    fleet = EmulatedFleet(PROFILE, policy, Random(seed))
    fleet.build(engines, nodes)
    fleet.run(requests, sum(phase.length_s for phase in PATTERNS[pattern]) + DRAIN_S)
    return fleet.outcomes


@command(name="emulate")
@dataclass
class Emulate:
    """Play one load pattern under several policies, with the same arrivals.

    Attributes:
        pattern: Load pattern.
        policies: Policies, comma-separated; all if empty.
        engines: Number of engines.
        nodes: Number of nodes.
        seeds: Number of seeds.
        rate: Factor of all rates.
        plot: PNG file for the worth over time.
    """

    pattern: str = "turnover"
    policies: Annotated[str, Arg(long=True)] = ""
    engines: Annotated[int, Arg(long=True)] = 16
    nodes: Annotated[int, Arg(long=True)] = 9
    seeds: Annotated[int, Arg(long=True)] = 3
    rate: Annotated[float, Arg(long=True)] = 1.0
    plot: Annotated[Path | None, Arg(long=True)] = None

    def __call__(self) -> None:
        """Run the command."""
        names = self.policies.split(",") if self.policies else list(POLICIES)
        runs = {name: self._play(POLICIES[name]) for name in names}
        for name, outcomes in runs.items():
            _print(name, outcomes)
        if self.plot is not None:
            from bench.emulator.plots import plot_windows

            plot_windows(self.plot, runs)

    def _play(self, policy: Policy) -> list[list[Outcome]]:
        return [
            play(policy, self.pattern, self.engines, self.nodes, seed, self.rate)
            for seed in range(1, self.seeds + 1)
        ]


def _print(name: str, runs: list[list[Outcome]]) -> None:
    everything = [outcome for run in runs for outcome in run]
    worst = [sum(sorted(windows(run))[:2]) / 2 for run in runs]
    print(
        f"{name:14} worth {share_earned(everything):.3f} "
        f"worst windows {sum(worst) / len(worst):.3f}"
    )
    for kind in KINDS:
        figures = kind_figures(o for o in everything if o.arrival.kind is kind)
        print(
            f"  {kind.name:8} {figures.asked:6} in time {figures.in_time:.3f} "
            f"late first {figures.late_first:.3f} late pause {figures.late_pause:.3f} "
            f"unserved {figures.unserved:.3f} worth {figures.worth:.3f} "
            f"p50 {figures.p50_s:.3f} p99 {figures.p99_s:.3f}"
        )


if __name__ == "__main__":
    parse(Emulate)()
