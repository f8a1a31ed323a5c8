"""Membership: which runs of which nodes are known, alive, and to be talked to.

Members come from the platform's list, which lags, from the addresses in the settings,
and from the digests that nodes send each other. A newer run of a VM replaces an older
one, and a digest that is not newer than the last one is dropped.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from lagoonhinge_core.cells import assign_cells, count_cells
from lagoonhinge_core.identity import NodeId, parse_node_id
from lagoonhinge_core.peer_messages import PeerContact, PeerDigest
from lagoonhinge_core.sections import Member, MembersSection, PeersSection, VmsSection
from lagoonhinge_core.store_messages import VmEntry, VmState

HEARTBEAT_ROUNDS = 5
SMALL_CELL_NODES = 3
ROUNDS_PER_NODE = 2
FORGET_AFTER_S = 3_600.0
FRESH_SHARE = 0.7
MAX_RETRY_ROUNDS = 4
NEVER_S = float("-inf")
ENTRY_ROLE = "entry"
UPSTREAM_ROLE = "upstream"
MAX_OUTSIDE_ACCOUNTS = 32


@dataclass(frozen=True)
class _Record:
    node: NodeId
    address: str
    zone: str
    heard_s: float = NEVER_S
    listed: bool = False
    delisted: bool = False
    digest: PeerDigest | None = None

    def seq(self) -> int:
        return self.digest.seq if self.digest else 0


@dataclass(frozen=True)
class _Trial:
    failures: int
    next_s: float


@dataclass(frozen=True)
class Target:
    """A peer to exchange digests with now.

    Attributes:
        address: Host and port of its control listener.
        in_cell: Whether it gets this node's detailed state.
    """

    address: str
    in_cell: bool


class Membership:
    """What one node knows of the others.

    Args:
        own: Identity of this run.
        zone: Availability zone of this VM.
        address: Host and port of this node's control listener.
        interval_s: Time between two rounds of gossip, in seconds.
        seeds: Control addresses of other nodes, from the settings.
    """

    def __init__(
        self,
        own: NodeId,
        zone: str,
        address: str,
        interval_s: float,
        seeds: tuple[str, ...] = (),
    ):
        self.own = own
        self.zone = zone
        self.address = address
        self.interval_s = interval_s
        self.seeds = tuple(seed for seed in seeds if seed != address)
        self.records: dict[str, _Record] = {}
        self.trials: dict[str, _Trial] = {}
        self.vms = VmsSection()
        self.cells: dict[str, int] = {own.vm: 0}
        self.cell_vms: tuple[str, ...] = (own.vm,)

    def hear(self, digest: PeerDigest, now_s: float) -> bool:
        """Take a digest if it is newer than what is known of its VM.

        Args:
            digest: The digest; its `node` must be a node identity.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether it was taken.
        """
        node = parse_node_id(digest.node)
        old = self.records.get(node.vm, _Record(NodeId(node.vm, 0), "", ""))
        is_stale = (node.incarnation, digest.seq) <= (old.node.incarnation, old.seq())
        if node.vm == self.own.vm or is_stale:
            return False
        self.records[node.vm] = replace(
            old,
            node=node,
            address=digest.address,
            zone=digest.zone,
            heard_s=now_s,
            delisted=False,
            digest=digest,
        )
        self.trials.pop(digest.address, None)
        if (old.zone, old.address) != (digest.zone, digest.address):
            self._assign()
        return True

    def list_vms(self, entries: Iterable[VmEntry], now_s: float) -> None:
        """Take the platform's list; heartbeats win where the two differ."""
        listed = {e.vm: e for e in entries if e.role == ENTRY_ROLE}
        listed.pop(self.own.vm, None)
        for vm, entry in listed.items():
            old = self.records.get(vm)
            known = old or _Record(NodeId(vm, 0), entry.address, entry.zone)
            self.records[vm] = replace(known, listed=True, delisted=False)
        for vm, record in tuple(self.records.items()):
            if vm in listed:
                continue
            is_silent = record.heard_s < now_s - FORGET_AFTER_S
            if is_silent:
                del self.records[vm]
            elif record.listed:
                self.records[vm] = replace(record, listed=False, delisted=True)
        upstreams = [e for e in entries if e.role == UPSTREAM_ROLE]
        self.vms = VmsSection(
            live=tuple(sorted(e.address for e in upstreams if _is_live(e))),
            leaving=tuple(
                sorted((e.address, e.vm) for e in upstreams if not _is_live(e))
            ),
            read_monotonic_s=now_s,
        )
        self._assign()

    def introduce(self, contacts: Iterable[PeerContact]) -> None:
        """Take members that a peer knows; none replaces what is known here."""
        for contact in contacts:
            if contact.vm != self.own.vm and contact.vm not in self.records:
                node = NodeId(contact.vm, 0)
                self.records[contact.vm] = _Record(node, contact.address, contact.zone)
        self._assign()

    def contacts(self) -> tuple[PeerContact, ...]:
        """Return the members, for a peer that knows none."""
        return tuple(
            PeerContact(vm, record.address, record.zone)
            for vm, record in self.records.items()
        )

    def note_failure(self, address: str, now_s: float) -> None:
        """Wait longer before the next try of a peer that did not answer."""
        failures = self.trials.get(address, _Trial(0, 0.0)).failures + 1
        rounds = min(MAX_RETRY_ROUNDS, 2 ** min(failures, MAX_RETRY_ROUNDS) - 1)
        self.trials[address] = _Trial(failures, now_s + rounds * self.interval_s)

    def targets(self, now_s: float, random: Random) -> tuple[Target, ...]:
        """Return the peers to talk to in this round, the longest unheard first.

        A peer of the cell that was heard from within this round is left out, since one
        exchange serves both ways. Of the others one at random is chosen, and every
        address of the settings that no member was heard at.
        """
        fresh_s = now_s - FRESH_SHARE * self.interval_s
        inside = sorted(
            (record.heard_s, record.address)
            for vm, record in self.records.items()
            if self.in_cell(vm) and record.heard_s <= fresh_s
        )
        outside = sorted(
            record.address
            for vm, record in self.records.items()
            if not self.in_cell(vm) and self._may_try(record.address, now_s)
        )
        known = {record.address for record in self.records.values()}
        new = [s for s in self.seeds if s not in known and self._may_try(s, now_s)]
        chosen = [Target(address, False) for address in new]
        if outside:
            chosen.append(Target(random.choice(outside), False))
        chosen += [Target(a, True) for _, a in inside if self._may_try(a, now_s)]
        return tuple(chosen)

    def in_cell(self, vm: str) -> bool:
        """Return whether a VM is in this node's own cell."""
        return vm in self.cell_vms

    def member(self, vm: str, now_s: float) -> Member:
        """Return one member as shown on the blackboard."""
        record = self.records[vm]
        return Member(
            node=record.node,
            address=record.address,
            zone=record.zone,
            alive=self._is_alive(vm, record, now_s),
            heard_monotonic_s=max(0.0, record.heard_s),
            delisted=record.delisted,
        )

    def members(self, now_s: float) -> MembersSection:
        """Return the members as shown on the blackboard."""
        members = {vm: self.member(vm, now_s) for vm in self.records}
        return MembersSection(
            members,
            cell=self.cell_vms,
            cell_number=self.cells[self.own.vm],
            cell_count=count_cells(len(self.cells)),
        )

    def peers(self, now_s: float) -> PeersSection:
        """Return the newest digest of each live peer."""
        return PeersSection(
            {
                vm: record.digest
                for vm, record in self.records.items()
                if record.digest and self._is_alive(vm, record, now_s)
            }
        )

    def _is_alive(self, vm: str, record: _Record, now_s: float) -> bool:
        # The budget of gossip makes a large cell meet each of its nodes less often.
        more_nodes = max(0, len(self.cell_vms) - SMALL_CELL_NODES)
        rounds = float(HEARTBEAT_ROUNDS + ROUNDS_PER_NODE * more_nodes)
        if not self.in_cell(vm):
            # One peer outside of the cell is met in a round, by either side.
            others = len(self.records) + 1 - len(self.cell_vms)
            rounds = max(rounds, HEARTBEAT_ROUNDS * others / 2)
        return record.heard_s >= now_s - rounds * self.interval_s

    def _may_try(self, address: str, now_s: float) -> bool:
        trial = self.trials.get(address)
        return address != self.address and (trial is None or trial.next_s <= now_s)

    def _assign(self) -> None:
        vms = {vm for vm, record in self.records.items() if record.zone == self.zone}
        vms.add(self.own.vm)
        if vms != self.cells.keys():
            self.cells = assign_cells(vms)
            own_cell = self.cells[self.own.vm]
            inside = (vm for vm, cell in self.cells.items() if cell == own_cell)
            self.cell_vms = tuple(sorted(inside))


def outside_digest(digest: PeerDigest) -> PeerDigest:
    """Return the part of a digest that goes to other cells, which is small."""
    largest = sorted(digest.demand_tokens_per_s.items(), key=lambda item: -item[1])
    return replace(
        digest,
        work={},
        demand_tokens_per_s=dict(largest[:MAX_OUTSIDE_ACCOUNTS]),
    )


def _is_live(entry: VmEntry) -> bool:
    return entry.state == VmState.LIVE
