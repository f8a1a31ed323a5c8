"""Controller of admission: ticks, publication of demand, correction of counts."""

from mode import Service

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.identity import parse_node_id
from lagoonhinge_core.in_flight import UpstreamWork, sum_work
from lagoonhinge_core.limits import DemandUpdate
from lagoonhinge_core.load_correction import LoadCorrection
from lagoonhinge_core.ports import Clock
from lagoonhinge_core.sections import (
    DemandSection,
    MembersSection,
    OthersWorkSection,
    PeersSection,
    UpstreamsSection,
)
from lagoonhinge_node.admission import Admission

DISPATCH_INTERVAL_S = 0.2
TICKS_PER_PUBLICATION = 5


class AdmissionController(Service):
    """Updates admission periodically from time, peers and load reports.

    Args:
        board: The blackboard.
        admission: The admission to update.
        clock: Source of time.
        peer_addresses: Control addresses of the configured peers, without the own one.
    """

    def __init__(
        self,
        board: Blackboard,
        admission: Admission,
        clock: Clock,
        peer_addresses: frozenset[str],
    ):
        super().__init__()
        self.board = board
        self.admission = admission
        self.clock = clock
        self.peer_addresses = peer_addresses
        self.correction = LoadCorrection()
        self.demand_writer = board.writer(DemandSection(), "admission")
        self.others_writer = board.writer(OthersWorkSection(), "admission")
        self.unexplained: dict[str, UpstreamWork] = {}
        self.last_tick_s = clock.monotonic_s()

    @Service.task
    async def _tick_forever(self) -> None:
        while not self.should_stop:
            for _ in range(TICKS_PER_PUBLICATION):
                self.post_others_work()
                self.admission.dispatch()
                self.admission.refuse_late()
                await self.sleep(DISPATCH_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Update rates from the last interval and post the demand for peers."""
        now_s = self.clock.monotonic_s()
        elapsed_s = max(DISPATCH_INTERVAL_S, now_s - self.last_tick_s)
        self.last_tick_s = now_s
        self._observe_peers()
        self.admission.tick(elapsed_s)
        update = self.admission.shares.publish(self.admission.demand.highest_rates())
        self.demand_writer.post(
            DemandSection(update.tokens_per_s, update.number, update.received)
        )
        self._update_unexplained(now_s)

    def _observe_peers(self) -> None:
        shares = self.admission.shares
        digests = self.board.find(PeersSection()).digests
        members = self.board.find(MembersSection()).members
        for digest in digests.values():
            update = DemandUpdate(
                digest.demand_number, digest.demand_tokens_per_s, digest.demand_heard
            )
            shares.observe(parse_node_id(digest.node), update)
        if MembersSection in self.board.sections:
            for vm in shares.peers.keys() - members.keys() - digests.keys():
                shares.remove(vm)
        known_addresses = {digest.address for digest in digests.values()}
        known_addresses |= {member.address for member in members.values()}
        unseen = sum(vm not in shares.peers for vm in members)
        shares.set_unseen_peers(unseen + len(self.peer_addresses - known_addresses))

    def _update_unexplained(self, now_s: float) -> None:
        """Record all counts and compare the reports with those of the same time."""
        own = self.admission.ledger.snapshot().by_upstream
        peers = self._peers_work()
        self.correction.record(now_s, sum_work((own, *peers), {}))
        unexplained_work: dict[str, UpstreamWork] = {}
        for name, report in self.board.read(UpstreamsSection).reports.items():
            if report.load is None or not report.reachable:
                continue
            unexplained = self.correction.unexplained(
                name, report.load, report.received_monotonic_s, now_s
            )
            if unexplained is not None:
                unexplained_work[name] = unexplained
        self.unexplained = unexplained_work

    def post_others_work(self) -> None:
        """Post the sum of others' work, so that a decision need not compute it."""
        previous = self.board.read(OthersWorkSection).by_upstream
        others = sum_work((*self._peers_work(), self.unexplained), previous)
        if others != previous:
            self.others_writer.post(OthersWorkSection(others))

    def _peers_work(self) -> list[dict[str, UpstreamWork]]:
        digests = self.board.find(PeersSection()).digests.values()
        return [digest.work for digest in digests]


def peer_addresses(peers: tuple[str, ...], own: str) -> frozenset[str]:
    """Return the configured peers without the node itself."""
    return frozenset(peers) - {own}
