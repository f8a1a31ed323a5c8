"""Which of the holdings of an engine are to be freed, and who looks after which engine.

An engine's memory is freed by whoever took it. What is left over, because its owner
died, or lost track of it, or because the engine did not keep the expiry, is found by
comparing what the engine lists with what is known of the owners. Silence of an owner
alone is no reason.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from lagoonhinge_core.cells import owning_vms
from lagoonhinge_core.engine_messages import Holding
from lagoonhinge_core.identity import NodeId, parse_node_id

EXPIRY_GRACE_S = 5.0
OWN_GRACE_S = 10.0
GONE_GRACE_S = 15.0
ASSIGNED_INTERVAL_S = 5.0
OTHERS_INTERVAL_S = 60.0
MAX_ENGINES_PER_SWEEP = 8


class Verdict(StrEnum):
    """Why a holding is kept or freed."""

    KEEP = "keep"
    EXPIRED = "past its expiry"
    OWN_LEAK = "not in flight at its owner"
    OWNER_REPLACED = "its owner was restarted"
    OWNER_GONE = "the VM of its owner is gone"


@dataclass(frozen=True)
class OwnerKnowledge:
    """What a node knows of the owners of holdings.

    Attributes:
        node: The node itself.
        newest: Newest known incarnation of each VM, the own one included.
        gone: VMs that the platform no longer lists and that are silent, for longer
            than the grace period.
        is_in_flight: Whether the node itself still uses a name.
    """

    node: NodeId
    newest: dict[str, int]
    gone: frozenset[str]
    is_in_flight: Callable[[str], bool]


def judge(holding: Holding, known: OwnerKnowledge) -> Verdict:
    """Decide whether a holding is to be freed.

    Args:
        holding: The holding, as listed by the engine.
        known: Knowledge that is not older than the engine's list.
    """
    if holding.expires_in_s < -EXPIRY_GRACE_S:
        return Verdict.EXPIRED
    try:
        owner = parse_node_id(holding.owner)
    except ValueError:
        return Verdict.KEEP
    if owner == known.node:
        if holding.age_s < OWN_GRACE_S or known.is_in_flight(holding.name):
            return Verdict.KEEP
        return Verdict.OWN_LEAK
    if owner.incarnation < known.newest.get(owner.vm, 0):
        return Verdict.OWNER_REPLACED
    if owner.vm in known.gone:
        return Verdict.OWNER_GONE
    return Verdict.KEEP


@dataclass
class GoneVms:
    """How long VMs have been both off the platform's list and silent."""

    since_s: dict[str, float] = field(default_factory=dict)

    def update(self, suspects: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the VMs that are surely gone.

        Args:
            suspects: VMs that are now both off the list and silent.
            now_s: Monotonic time, in seconds.
        """
        self.since_s = {vm: self.since_s.get(vm, now_s) for vm in suspects}
        return frozenset(
            vm for vm, since_s in self.since_s.items() if now_s - since_s > GONE_GRACE_S
        )


@dataclass
class SweepSchedule:
    """When each engine is looked at next, a bounded number at a time.

    An engine is looked after by one node of the cell, often. Every other node looks
    seldom, since only an owner knows what it has lost track of. A node that has just
    started looks at each engine once, for what its predecessor left there.
    """

    swept_s: dict[str, float] = field(default_factory=dict)

    def take_due(
        self, now_s: float, engines: Iterable[str], vm: str, cell: Iterable[str]
    ) -> tuple[str, ...]:
        """Return the engines to look at now, and count them as looked at.

        Args:
            now_s: Monotonic time, in seconds.
            engines: Names of the engines of the cell.
            vm: This node's VM.
            cell: VMs of the cell that are alive, this node's among them.
        """
        cell = tuple(cell)
        due: list[tuple[float, str]] = []
        for engine in engines:
            is_assigned = vm in owning_vms(engine, cell, 1)
            interval_s = ASSIGNED_INTERVAL_S if is_assigned else OTHERS_INTERVAL_S
            late_s = now_s - interval_s - self.swept_s.get(engine, float("-inf"))
            if late_s >= 0:
                due.append((-late_s, engine))
        chosen = tuple(engine for _, engine in sorted(due)[:MAX_ENGINES_PER_SWEEP])
        self.swept_s.update(dict.fromkeys(chosen, now_s))
        return chosen

    def forget_others(self, engines: Iterable[str]) -> None:
        """Drop engines that are no longer configured."""
        known = frozenset(engines)
        self.swept_s = {e: at for e, at in self.swept_s.items() if e in known}
