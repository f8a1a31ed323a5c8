"""Selection of leaked holdings of engines, and the schedule of sweeps for them.

A holding is normally released by its owner. Holdings that are left because the owner
crashed or lost track of them, or because the engine did not apply the expiry, are found
by comparing the engine's list with the known owners. A missing heartbeat of an owner
alone is no reason to free its holdings.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from lagoonhinge_core.cells import owning_vms
from lagoonhinge_core.engine_messages import Holding
from lagoonhinge_core.identity import NodeId, parse_node_id

EXPIRY_GRACE_S = 5.0
OWN_HOLDING_GRACE_S = 10.0
VM_REMOVAL_GRACE_S = 15.0
ASSIGNED_SWEEP_INTERVAL_S = 5.0
UNASSIGNED_SWEEP_INTERVAL_S = 60.0
MAX_ENGINES_PER_SWEEP = 8


class Verdict(StrEnum):
    """Reason for keeping or freeing a holding."""

    KEEP = "keep"
    EXPIRED = "past its expiry"
    OWN_LEAK = "not in flight at its owner"
    OWNER_REPLACED = "its owner was restarted"
    OWNER_REMOVED = "the VM of its owner is gone"


@dataclass(frozen=True)
class OwnerSnapshot:
    """Owners of holdings as known to one node.

    Attributes:
        node: The node itself.
        newest_incarnations: Newest known incarnation by VM, this node's included.
        removed_vms: VMs that were neither listed by the platform nor sent heartbeats
            for longer than the grace period.
        is_in_flight: Whether this node still uses the holding of a name.
    """

    node: NodeId
    newest_incarnations: dict[str, int]
    removed_vms: frozenset[str]
    is_in_flight: Callable[[str], bool]


def holding_verdict(holding: Holding, owners: OwnerSnapshot) -> Verdict:
    """Return whether a holding is to be freed, and why.

    Args:
        holding: The holding, as listed by the engine.
        owners: The owners, read after the engine's list.
    """
    if holding.expires_in_s < -EXPIRY_GRACE_S:
        return Verdict.EXPIRED
    try:
        owner = parse_node_id(holding.owner)
    except ValueError:
        return Verdict.KEEP
    if owner == owners.node:
        if holding.age_s < OWN_HOLDING_GRACE_S or owners.is_in_flight(holding.name):
            return Verdict.KEEP
        return Verdict.OWN_LEAK
    if owner.incarnation < owners.newest_incarnations.get(owner.vm, 0):
        return Verdict.OWNER_REPLACED
    if owner.vm in owners.removed_vms:
        return Verdict.OWNER_REMOVED
    return Verdict.KEEP


@dataclass
class RemovedVms:
    """VMs that the platform does not list and that send no heartbeats, by time."""

    since_s: dict[str, float] = field(default_factory=dict)

    def update(self, absent_vms: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the VMs that have been absent for longer than the grace period.

        Args:
            absent_vms: VMs that are now neither listed nor sending heartbeats.
            now_s: Monotonic time, in seconds.
        """
        self.since_s = {vm: self.since_s.get(vm, now_s) for vm in absent_vms}
        return frozenset(
            vm
            for vm, since_s in self.since_s.items()
            if now_s - since_s > VM_REMOVAL_GRACE_S
        )


@dataclass
class SweepSchedule:
    """Schedule of sweeps, with a bounded number of engines per sweep.

    Each engine is assigned to one node of the cell, which sweeps it often. The other
    nodes sweep it rarely, to find their own leaked holdings, which only the owner can
    identify. A node that has just started sweeps each engine once, for the holdings of
    its previous incarnation.
    """

    last_sweep_s: dict[str, float] = field(default_factory=dict)

    def next_sweep(
        self, now_s: float, engines: Iterable[str], vm: str, cell: Iterable[str]
    ) -> tuple[str, ...]:
        """Return the engines to sweep now, and record them as swept.

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
            interval_s = (
                ASSIGNED_SWEEP_INTERVAL_S
                if is_assigned
                else UNASSIGNED_SWEEP_INTERVAL_S
            )
            overdue_s = (
                now_s - interval_s - self.last_sweep_s.get(engine, float("-inf"))
            )
            if overdue_s >= 0:
                due.append((-overdue_s, engine))
        chosen = tuple(engine for _, engine in sorted(due)[:MAX_ENGINES_PER_SWEEP])
        self.last_sweep_s.update(dict.fromkeys(chosen, now_s))
        return chosen

    def retain_engines(self, engines: Iterable[str]) -> None:
        """Drop engines that are no longer configured."""
        configured = frozenset(engines)
        self.last_sweep_s = {
            engine: swept_s
            for engine, swept_s in self.last_sweep_s.items()
            if engine in configured
        }
