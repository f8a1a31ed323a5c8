"""Runs load patterns on emulated engines in virtual time, to compare placements."""

from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Annotated

from cappa import Arg, command, parse

from bench.emulator.fleet import EmulatedFleet, Outcome
from bench.emulator.policies import POLICIES, Policy
from bench.emulator.results import kind_figures, value_share, window_shares
from bench.emulator.traffic import KINDS, PATTERNS, PROFILE, arrivals

DRAIN_S = 20.0  # after the last phase; longer than any time limit


def run_pattern(
    policy: Policy,
    pattern: str,
    engines: int,
    nodes: int,
    seed: int,
    rate: float,
    zones: int = 1,
    zone_shares: tuple[float, ...] = (),
    slots: int = PROFILE.slots,
) -> list[Outcome]:
    """Run a pattern once, and return the outcomes of its requests."""
    requests = arrivals(pattern, engines, seed, rate)
    fleet = EmulatedFleet(
        replace(PROFILE, slots=slots), policy, Random(seed), zone_shares=zone_shares
    )
    fleet.build(engines, nodes, zones)
    fleet.run(requests, sum(phase.duration_s for phase in PATTERNS[pattern]) + DRAIN_S)
    return fleet.outcomes


@command(name="emulate")
@dataclass
class Emulate:
    """Run one load pattern with several policies and the same arrivals.

    Attributes:
        pattern: Load pattern.
        policies: Policies, comma-separated; all if empty.
        engines: Number of engines.
        nodes: Number of nodes.
        seeds: Number of seeds.
        rate: Factor of all arrival rates.
        plot: PNG file for the value share over time.
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
        runs = {name: self._run_seeds(POLICIES[name]) for name in names}
        for name, outcomes in runs.items():
            _print(name, outcomes)
        if self.plot is not None:
            from bench.emulator.plots import plot_window_shares

            plot_window_shares(self.plot, runs)

    def _run_seeds(self, policy: Policy) -> list[list[Outcome]]:
        return [
            run_pattern(policy, self.pattern, self.engines, self.nodes, seed, self.rate)
            for seed in range(1, self.seeds + 1)
        ]


def _print(name: str, runs: list[list[Outcome]]) -> None:
    all_outcomes = [outcome for run in runs for outcome in run]
    worst_shares = [sum(sorted(window_shares(run))[:2]) / 2 for run in runs]
    print(
        f"{name:14} worth {value_share(all_outcomes):.3f} "
        f"worst windows {sum(worst_shares) / len(worst_shares):.3f}"
    )
    for kind in KINDS:
        figures = kind_figures(o for o in all_outcomes if o.arrival.kind is kind)
        print(
            f"  {kind.name:8} {figures.requests:6} in time {figures.in_time:.3f} "
            f"late first {figures.late_first_event:.3f} "
            f"late pause {figures.late_gap:.3f} "
            f"unserved {figures.unserved:.3f} worth {figures.value_share:.3f} "
            f"p50 {figures.p50_s:.3f} p99 {figures.p99_s:.3f}"
        )


if __name__ == "__main__":
    parse(Emulate)()
