"""Membership: the known nodes, their liveness, and the peers to gossip with.

Members come from the platform's VM list, which lags, from the addresses in the
settings, and from the digests that nodes exchange. A newer incarnation of a node
replaces an older one, and a digest that is not newer than the last one is dropped.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from lagoonhinge_core.cells import assign_cells, count_cells
from lagoonhinge_core.identity import NodeId, parse_node_id
from lagoonhinge_core.peer_messages import PeerContact, PeerDigest
from lagoonhinge_core.sections import Member, MembersSection, PeersSection, VmsSection
from lagoonhinge_core.store_messages import VmEntry, VmState

HEARTBEAT_TIMEOUT_ROUNDS = 5
SMALL_CELL_NODES = 3  # larger cells have a longer heartbeat timeout
TIMEOUT_ROUNDS_PER_EXTRA_NODE = 2
UNLISTED_RETENTION_S = 3_600.0
FRESH_INTERVAL_SHARE = 0.7  # of the gossip interval
MAX_BACKOFF_ROUNDS = 4
NEVER_S = float("-inf")
ENTRY_ROLE = "entry"
UPSTREAM_ROLE = "upstream"
MAX_SUMMARY_ACCOUNTS = 32


@dataclass(frozen=True)
class _PeerRecord:
    node: NodeId
    address: str
    zone: str
    last_digest_s: float = NEVER_S
    listed: bool = False
    delisted: bool = False
    digest: PeerDigest | None = None

    def seq(self) -> int:
        return self.digest.seq if self.digest else 0


@dataclass(frozen=True)
class _Backoff:
    failures: int
    retry_at_s: float


@dataclass(frozen=True)
class GossipTarget:
    """A peer to exchange digests with in this round.

    Attributes:
        address: Host and port of its control listener.
        in_cell: Whether it gets the full digest.
    """

    address: str
    in_cell: bool


class Membership:
    """Membership of the site as seen by one node.

    Args:
        node_id: Identity of this incarnation.
        zone: Availability zone of this VM.
        address: Host and port of this node's control listener.
        interval_s: Time between two rounds of gossip, in seconds.
        seeds: Control addresses of other nodes, from the settings.
    """

    def __init__(
        self,
        node_id: NodeId,
        zone: str,
        address: str,
        interval_s: float,
        seeds: tuple[str, ...] = (),
    ):
        self.node_id = node_id
        self.zone = zone
        self.address = address
        self.interval_s = interval_s
        self.seeds = tuple(seed for seed in seeds if seed != address)
        self.records: dict[str, _PeerRecord] = {}
        self.backoffs: dict[str, _Backoff] = {}
        self.vms = VmsSection()
        self.cells: dict[str, int] = {node_id.vm: 0}
        self.cell_vms: tuple[str, ...] = (node_id.vm,)

    def apply_digest(self, digest: PeerDigest, now_s: float) -> bool:
        """Apply a digest if it is newer than the last one of its VM.

        Args:
            digest: The digest; its `node` must be a node identity.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the digest was applied.
        """
        node = parse_node_id(digest.node)
        old = self.records.get(node.vm, _PeerRecord(NodeId(node.vm, 0), "", ""))
        is_stale = (node.incarnation, digest.seq) <= (old.node.incarnation, old.seq())
        if node.vm == self.node_id.vm or is_stale:
            return False
        self.records[node.vm] = replace(
            old,
            node=node,
            address=digest.address,
            zone=digest.zone,
            last_digest_s=now_s,
            delisted=False,
            digest=digest,
        )
        self.backoffs.pop(digest.address, None)
        if (old.zone, old.address) != (digest.zone, digest.address):
            self._update_cells()
        return True

    def apply_vm_list(self, entries: Iterable[VmEntry], now_s: float) -> None:
        """Apply the platform's VM list; heartbeats take precedence over it."""
        listed = {e.vm: e for e in entries if e.role == ENTRY_ROLE}
        listed.pop(self.node_id.vm, None)
        for vm, entry in listed.items():
            old = self.records.get(vm)
            current = old or _PeerRecord(NodeId(vm, 0), entry.address, entry.zone)
            self.records[vm] = replace(current, listed=True, delisted=False)
        for vm, record in tuple(self.records.items()):
            if vm in listed:
                continue
            is_expired = record.last_digest_s < now_s - UNLISTED_RETENTION_S
            if is_expired:
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
        self._update_cells()

    def add_contacts(self, contacts: Iterable[PeerContact]) -> None:
        """Add the members of a peer; members known here are not replaced."""
        for contact in contacts:
            if contact.vm != self.node_id.vm and contact.vm not in self.records:
                node = NodeId(contact.vm, 0)
                self.records[contact.vm] = _PeerRecord(
                    node, contact.address, contact.zone
                )
        self._update_cells()

    def contacts(self) -> tuple[PeerContact, ...]:
        """Return the contacts of all members, for a peer that has none."""
        return tuple(
            PeerContact(vm, record.address, record.zone)
            for vm, record in self.records.items()
        )

    def record_failure(self, address: str, now_s: float) -> None:
        """Record a failed exchange and increase the peer's backoff."""
        failures = self.backoffs.get(address, _Backoff(0, 0.0)).failures + 1
        rounds = min(MAX_BACKOFF_ROUNDS, 2 ** min(failures, MAX_BACKOFF_ROUNDS) - 1)
        self.backoffs[address] = _Backoff(failures, now_s + rounds * self.interval_s)

    def targets(self, now_s: float, random: Random) -> tuple[GossipTarget, ...]:
        """Return the peers to exchange digests with in this round.

        Seed addresses of no known member come first, then a random peer outside the
        cell, then the peers of the cell, the oldest digest first. A peer of the cell
        with a digest from this round is left out, since an exchange goes both ways.
        """
        fresh_since_s = now_s - FRESH_INTERVAL_SHARE * self.interval_s
        inside = sorted(
            (record.last_digest_s, record.address)
            for vm, record in self.records.items()
            if self.in_cell(vm) and record.last_digest_s <= fresh_since_s
        )
        outside = sorted(
            record.address
            for vm, record in self.records.items()
            if not self.in_cell(vm) and self._may_contact(record.address, now_s)
        )
        known_addresses = {record.address for record in self.records.values()}
        unknown_seeds = [
            seed
            for seed in self.seeds
            if seed not in known_addresses and self._may_contact(seed, now_s)
        ]
        chosen = [GossipTarget(address, False) for address in unknown_seeds]
        if outside:
            chosen.append(GossipTarget(random.choice(outside), False))
        chosen += [
            GossipTarget(a, True) for _, a in inside if self._may_contact(a, now_s)
        ]
        return tuple(chosen)

    def in_cell(self, vm: str) -> bool:
        """Return whether a VM is in this node's own cell."""
        return vm in self.cell_vms

    def member(self, vm: str, now_s: float) -> Member:
        """Return one member in the form posted to the blackboard."""
        record = self.records[vm]
        return Member(
            node=record.node,
            address=record.address,
            zone=record.zone,
            alive=self._is_alive(vm, record, now_s),
            heard_monotonic_s=max(0.0, record.last_digest_s),
            delisted=record.delisted,
        )

    def members(self, now_s: float) -> MembersSection:
        """Return the members in the form posted to the blackboard."""
        members = {vm: self.member(vm, now_s) for vm in self.records}
        return MembersSection(
            members,
            cell=self.cell_vms,
            cell_number=self.cells[self.node_id.vm],
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

    def _is_alive(self, vm: str, record: _PeerRecord, now_s: float) -> bool:
        # In a large cell the gossip budget limits exchanges with each node.
        extra_nodes = max(0, len(self.cell_vms) - SMALL_CELL_NODES)
        rounds = float(
            HEARTBEAT_TIMEOUT_ROUNDS + TIMEOUT_ROUNDS_PER_EXTRA_NODE * extra_nodes
        )
        if not self.in_cell(vm):
            # Per round, each node starts one exchange outside its cell and answers one.
            others = len(self.records) + 1 - len(self.cell_vms)
            rounds = max(rounds, HEARTBEAT_TIMEOUT_ROUNDS * others / 2)
        return record.last_digest_s >= now_s - rounds * self.interval_s

    def _may_contact(self, address: str, now_s: float) -> bool:
        backoff = self.backoffs.get(address)
        return address != self.address and (
            backoff is None or backoff.retry_at_s <= now_s
        )

    def _update_cells(self) -> None:
        vms = {vm for vm, record in self.records.items() if record.zone == self.zone}
        vms.add(self.node_id.vm)
        if vms != self.cells.keys():
            self.cells = assign_cells(vms)
            own_cell = self.cells[self.node_id.vm]
            inside = (vm for vm, cell in self.cells.items() if cell == own_cell)
            self.cell_vms = tuple(sorted(inside))


def summary_digest(digest: PeerDigest) -> PeerDigest:
    """Return the small digest sent to other cells."""
    largest = sorted(digest.demand_tokens_per_s.items(), key=lambda item: -item[1])
    return replace(
        digest,
        work={},
        demand_tokens_per_s=dict(largest[:MAX_SUMMARY_ACCOUNTS]),
    )


def _is_live(entry: VmEntry) -> bool:
    return entry.state == VmState.LIVE
