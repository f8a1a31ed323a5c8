"""Controller of membership: reads the platform's list and gossips with peers."""

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

LIST_INTERVAL_S = 1.5
EXCHANGE_TIMEOUT_S = 1.0
JITTER_SHARE = 0.2
CONTACTS_INTERVAL_ROUNDS = 30
TELL_SILENCE_S = 10.0


class MembershipController(Service):
    """Keeps the members and their digests current.

    Args:
        board: The blackboard.
        membership: What is known of the others.
        peers: Calls to other nodes.
        vms: The platform's list.
        clock: Source of time.
        random: Source of chance.
        ledger: This node's own work in flight.
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
        self.on_heard: list[Callable[[PeerDigest], None]] = []
        self.on_listed: list[Callable[[], None]] = []
        self.members_writer = board.writer(MembersSection(), "membership")
        self.peers_writer = board.writer(PeersSection(), "membership")
        self.vms_writer = board.writer(VmsSection(), "membership")
        self.list_is_down = False
        self.log_part = PartLogger("membership")

    @Service.task
    async def _list_forever(self) -> None:
        while not self.should_stop:
            await self.poll_list()
            await self.sleep(LIST_INTERVAL_S * self._jitter())

    @Service.task
    async def _gossip_forever(self) -> None:
        while not self.should_stop:
            self.begin_round()
            await self.sleep(self.membership.interval_s * self._jitter())

    async def poll_list(self) -> None:
        """Read the platform's list; while it is down the last one stands."""
        match await self.vms.list():
            case Success(entries):
                self.membership.apply_vm_list(entries, self.clock.monotonic_s())
                self.list_is_down = False
                self.post()
                for follow in self.on_listed:
                    follow()
            case Failure(error):
                if not self.list_is_down:
                    self.log_part.warning(f"The VM list was not read: {error.reason}.")
                self.list_is_down = True

    def begin_round(self) -> None:
        """Begin the exchanges of one round, as far as the budget goes."""
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
            self.add_future(self.learn_contacts(self.random.choice(targets).address))
        self.round += 1
        self.post()

    async def exchange(self, target: GossipTarget) -> None:
        """Send this node's digest to one peer and take the answer."""
        digest = self.digest(target.in_cell)
        match await self.peers.exchange(target.address, digest, EXCHANGE_TIMEOUT_S):
            case Success(answer):
                self._hear(answer)
            case Failure(error):
                now_s = self.clock.monotonic_s()
                if target.address not in self.membership.backoffs:
                    self.log_part.warning(f"Peer {error.address}: {error.reason}.")
                self.membership.record_failure(target.address, now_s)

    async def learn_contacts(self, address: str) -> None:
        """Learn the members that one peer knows, for when the platform is down."""
        match await self.peers.fetch_contacts(address, EXCHANGE_TIMEOUT_S):
            case Success(contacts):
                self.membership.add_contacts(contacts)
                self.post()

    def take_digest(self, digest: PeerDigest) -> PeerDigest:
        """Take a peer's digest and return this node's own, as its answer."""
        vm = parse_node_id(digest.node).vm
        self._hear(digest)
        return self.digest(self.membership.in_cell(vm))

    def contacts(self) -> tuple[PeerContact, ...]:
        """Return the members known here, this node among them."""
        own = self.membership
        return (PeerContact(own.node_id.vm, own.address, own.zone), *own.contacts())

    def digest(self, in_cell: bool) -> PeerDigest:
        """Return this node's digest, whole for the cell and short for the others."""
        self.seq += 1
        poison = self.board.find(PoisonSection())
        demand = self.board.find(DemandSection())
        node = self.board.read(NodeSection)
        whole = PeerDigest(
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
        return whole if in_cell else summary_digest(whole)

    def post(self) -> None:
        """Post what is known."""
        now_s = self.clock.monotonic_s()
        self.members_writer.post(self.membership.members(now_s))
        self.peers_writer.post(self.membership.peers(now_s))
        self.vms_writer.post(self.membership.vms)

    def tell_soon(self) -> None:
        """Begin to tell every peer of the cell; returns at once."""
        self.add_future(self.tell_all())

    async def tell_all(self) -> None:
        """Tell every peer of the cell at once, whatever the budget says."""
        now_s = self.clock.monotonic_s()
        cell = (self.membership.records.get(vm) for vm in self.membership.cell_vms)
        live = (r for r in cell if r and r.last_digest_s > now_s - TELL_SILENCE_S)
        await gather(*(self.exchange(GossipTarget(r.address, True)) for r in live))

    def _hear(self, digest: PeerDigest) -> None:
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
        for follow in self.on_heard:
            follow(digest)

    async def _exchange(self, target: GossipTarget) -> None:
        try:
            await self.exchange(target)
        finally:
            self.open_exchanges.discard(target.address)

    def _jitter(self) -> float:
        return self.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
