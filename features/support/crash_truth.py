"""Fleets in which it is known what crashes engines, to check what nodes find."""

from dataclasses import dataclass
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from features.support.crash_fleet import STABLE_S, CrashFleet

DURATION_S = 40
CHECK_INTERVAL_S = 1.0
MAX_LATE_SENDS = 3
MAX_REFUSAL_S = 10.0
MIN_SERVED_SHARE = 0.95
MAX_GUILTY = 3


@dataclass(frozen=True)
class CrashTruth:
    """What crashes engines, and what happens beside it.

    Attributes:
        nodes: Number of nodes.
        engines: Number of engines.
        sound_per_s: Sound prompts a second.
        bad_per_s: Prompts a second with parts that crash engines.
        bad_parts: Number of such parts.
        guilty: Requests that crash engines by all that they hold.
        companions: Sound requests that always come with these.
        strangers: Sound prompts with a common part that come with them each time.
        lost_percent: Share of lost messages.
        restart_s: When half of the nodes restart, in seconds; `None` if they don't.
        seed: Of the random numbers.
    """

    nodes: int
    engines: int
    sound_per_s: int
    bad_per_s: int
    bad_parts: int
    guilty: int
    companions: int
    strangers: int
    lost_percent: int
    restart_s: int | None
    seed: int

    def fleet(self) -> CrashFleet:
        """Return the fleet at its start."""
        return CrashFleet(
            self.nodes,
            self.engines,
            self.sound_per_s,
            self.bad_per_s if self.bad_parts else 0,
            self.lost_percent / 100,
            Random(self.seed),
            guilty=self.guilty,
            companions=self.companions,
            strangers=self.strangers,
            bad_parts=self.bad_parts,
        )


TRUTHS = st.builds(
    CrashTruth,
    nodes=st.sampled_from((1, 3, 9)),
    engines=st.integers(12, 30),
    sound_per_s=st.sampled_from((2, 20)),
    bad_per_s=st.integers(1, 3),
    bad_parts=st.integers(0, 3),
    guilty=st.integers(0, 3),
    companions=st.integers(0, 3),
    strangers=st.integers(0, 3),
    lost_percent=st.sampled_from((0, 5, 20)),
    restart_s=st.none() | st.integers(10, 30),
    seed=st.integers(0, 2**32 - 1),
).filter(lambda truth: truth.bad_parts + truth.guilty <= MAX_GUILTY)


@given(truth=TRUTHS)
def check_truth(truth: CrashTruth) -> None:
    """Check the fleets that hypothesis draws."""
    check_run(truth)


def check_run(truth: CrashTruth) -> None:
    """Check that what crashes engines is held back, and what doesn't is served."""
    fleet, restarts_s = truth.fleet(), list[float]()
    while fleet.now_s < DURATION_S:
        fleet.run(CHECK_INTERVAL_S)
        check_satisfiable(fleet)
        if truth.restart_s is not None and not restarts_s:
            if fleet.now_s >= truth.restart_s:
                fleet.restart_nodes(0.5)
                restarts_s.append(fleet.now_s)
    if not fleet.crashes_s:
        assert fleet.refused_share(0.0) == 0
        return
    late = fleet.late_sends(restarts_s)
    assert late <= MAX_LATE_SENDS, f"bounded: {late} late sends"
    refusal_s = fleet.longest_refusal_s()
    assert refusal_s <= MAX_REFUSAL_S, f"sound served: refused for {refusal_s:.1f} s"
    served_share = 1 - fleet.refused_share(fleet.stable_s() + STABLE_S)
    assert served_share >= MIN_SERVED_SHARE, f"sound served: {served_share:.3f}"


def check_satisfiable(fleet: CrashFleet) -> None:
    """Check that each cause that a node refuses is something that a request had."""
    for tracker in fleet.trackers.values():
        for cause in tracker.quarantined(fleet.now_s):
            assert any(cause <= had for had in fleet.all_causes), (
                f"satisfiable: {cause}"
            )
