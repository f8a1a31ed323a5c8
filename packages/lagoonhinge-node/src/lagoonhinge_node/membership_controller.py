"""Controller of membership: reads the platform's VM list and gossips with peers."""

from asyncio import gather
from collections.abc import Callable
from dataclasses import replace
from random import Random

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.gossip_budget import GossipBudget
from lagoonhinge_core.identity import parse_node_id
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.membership import GossipTarget, Membership, summary_digest
from lagoonhinge_core.peer_messages import PeerContact, PeerDigest
from lagoonhinge_core.ports import Clock, PeerClient, VmList
from lagoonhinge_core.sections import (
    ConfigSection,
    DemandSection,
    MembersSection,
    NodeSection,
    PeersSection,
    PoisonSection,
    Readiness,
    VmsSection,
)
from lagoonhinge_node.logs import PartLogger

VM_LIST_INTERVAL_S = 1.5
EXCHANGE_TIMEOUT_S = 1.0
JITTER_SHARE = 0.2
CONTACTS_INTERVAL_ROUNDS = 30
MAX_PUSH_DIGEST_AGE_S = 10.0


class MembershipController(Service):
    """Keeps the members and their digests current.

    Args:
        board: The blackboard.
        membership: State of the other members.
        peers: Client of other nodes.
        vms: Source of the platform's VM list.
        clock: Monotonic and wall clock.
        random: Random number generator.
        ledger: Work of this node in flight.
    """

    def __init__(
        self,
        board: Blackboard,
        membership: Membership,
        peers: PeerClient,
        vms: VmList,
        clock: Clock,
        random: Random,
        ledger: InFlightLedger,
    ):
        super().__init__()
        self.board = board
        self.membership = membership
        self.peers = peers
        self.vms = vms
        self.clock = clock
        self.random = random
        self.ledger = ledger
        self.budget = GossipBudget()
        self.seq = 0
        self.round = 0
        self.open_exchanges: set[str] = set()
        self.own_leaving: Callable[[], tuple[str, ...]] = tuple
        self.on_digest: list[Callable[[PeerDigest], None]] = []
        self.on_vm_list: list[Callable[[], None]] = []
        self.members_writer = board.writer(MembersSection(), "membership")
        self.peers_writer = board.writer(PeersSection(), "membership")
        self.vms_writer = board.writer(VmsSection(), "membership")
        self.vm_list_failed = False
        self.log_part = PartLogger("membership")

    @Service.task
    async def _poll_vm_list_forever(self) -> None:
        while not self.should_stop:
            await self.poll_vm_list()
            await self.sleep(VM_LIST_INTERVAL_S * self._jitter())

    @Service.task
    async def _gossip_forever(self) -> None:
        while not self.should_stop:
            self.begin_round()
            await self.sleep(self.membership.interval_s * self._jitter())

    async def poll_vm_list(self) -> None:
        """Read the platform's VM list; keep the last one if that fails."""
        match await self.vms.list():
            case Success(entries):
                self.membership.apply_vm_list(entries, self.clock.monotonic_s())
                self.vm_list_failed = False
                self.post()
                for callback in self.on_vm_list:
                    callback()
            case Failure(error):
                if not self.vm_list_failed:
                    self.log_part.warning(
                        f"Failed to read the VM list, keeping the last: {error.reason}."
                    )
                self.vm_list_failed = True

    def begin_round(self) -> None:
        """Start the exchanges of one round, within the gossip budget."""
        now_s = self.clock.monotonic_s()
        targets = self.membership.targets(now_s, self.random)
        for target in targets:
            if target.address in self.open_exchanges:
                continue
            if not self.budget.allows(now_s):
                break
            self.open_exchanges.add(target.address)
            self.add_future(self._exchange(target))
        if targets and self.round % CONTACTS_INTERVAL_ROUNDS == 0:
            self.add_future(self.refresh_contacts(self.random.choice(targets).address))
        self.round += 1
        self.post()

    async def exchange(self, target: GossipTarget) -> None:
        """Send this node's digest to one peer and apply the one it answers."""
        digest = self.digest(target.in_cell)
        match await self.peers.exchange(target.address, digest, EXCHANGE_TIMEOUT_S):
            case Success(answer):
                self._apply_digest(answer)
            case Failure(error):
                now_s = self.clock.monotonic_s()
                if target.address not in self.membership.backoffs:
                    self.log_part.warning(
                        f"Digest exchange with {error.address} failed: {error.reason}."
                    )
                self.membership.record_failure(target.address, now_s)

    async def refresh_contacts(self, address: str) -> None:
        """Fetch the members known to one peer, for when the platform is down."""
        match await self.peers.fetch_contacts(address, EXCHANGE_TIMEOUT_S):
            case Success(contacts):
                self.membership.add_contacts(contacts)
                self.post()

    def handle_digest(self, digest: PeerDigest) -> PeerDigest:
        """Apply a peer's digest and return this node's own, as the answer."""
        vm = parse_node_id(digest.node).vm
        self._apply_digest(digest)
        return self.digest(self.membership.in_cell(vm))

    def contacts(self) -> tuple[PeerContact, ...]:
        """Return the members known here, this node among them."""
        membership = self.membership
        return (
            PeerContact(membership.node_id.vm, membership.address, membership.zone),
            *membership.contacts(),
        )

    def digest(self, in_cell: bool) -> PeerDigest:
        """Return this node's digest: in full for the cell, a summary for the others."""
        self.seq += 1
        poison = self.board.find(PoisonSection())
        demand = self.board.find(DemandSection())
        node = self.board.read(NodeSection)
        full = PeerDigest(
            node=str(node.node),
            seq=self.seq,
            address=self.membership.address,
            zone=node.zone,
            config_version=self.board.read(ConfigSection).version,
            stopping=node.readiness == Readiness.STOPPING,
            work=self.ledger.snapshot().by_upstream,
            demand_tokens_per_s=demand.tokens_per_s,
            demand_number=demand.number,
            demand_heard=demand.heard,
            strikes=poison.strikes,
            quarantines=poison.quarantines,
            leaving=self.own_leaving(),
        )
        return full if in_cell else summary_digest(full)

    def post(self) -> None:
        """Post the members, the peers and the VM list."""
        now_s = self.clock.monotonic_s()
        self.members_writer.post(self.membership.members(now_s))
        self.peers_writer.post(self.membership.peers(now_s))
        self.vms_writer.post(self.membership.vms)

    def schedule_push(self) -> None:
        """Schedule a push to the peers of the cell, without waiting for it."""
        self.add_future(self.push_to_cell())

    async def push_to_cell(self) -> None:
        """Exchange digests with all live peers of the cell, ignoring the budget."""
        now_s = self.clock.monotonic_s()
        cell = (self.membership.records.get(vm) for vm in self.membership.cell_vms)
        live = (
            r for r in cell if r and r.last_digest_s > now_s - MAX_PUSH_DIGEST_AGE_S
        )
        await gather(*(self.exchange(GossipTarget(r.address, True)) for r in live))

    def _apply_digest(self, digest: PeerDigest) -> None:
        now_s = self.clock.monotonic_s()
        if not self.membership.apply_digest(digest, now_s):
            return
        vm = parse_node_id(digest.node).vm
        members = self.board.read(MembersSection)
        digests = self.board.read(PeersSection).digests
        member = self.membership.member(vm, now_s)
        self.members_writer.post(
            replace(members, members={**members.members, vm: member})
        )
        self.peers_writer.post(PeersSection({**digests, vm: digest}))
        for callback in self.on_digest:
            callback(digest)

    async def _exchange(self, target: GossipTarget) -> None:
        try:
            await self.exchange(target)
        finally:
            self.open_exchanges.discard(target.address)

    def _jitter(self) -> float:
        return self.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
