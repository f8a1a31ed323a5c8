"""Admission: limits, fair queue, deadline check, and room on an upstream."""

from asyncio import CancelledError, TimerHandle, get_running_loop

from returns.result import Failure, Result, Success

from lagoonhinge_core.admission_policy import (
    DemandMeter,
)
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import (
    AccountConfig,
    Config,
    LengthAware,
    ModelService,
    PlacementConfig,
)
from lagoonhinge_core.fair_queue import QueueItem
from lagoonhinge_core.in_flight import InFlightLedger, WorkItem
from lagoonhinge_core.length_aware import is_long
from lagoonhinge_core.limits import AccountLimits, DemandShares
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.placement import Candidate, PlacementRequest, Placer
from lagoonhinge_core.ports import Clock
from lagoonhinge_core.prefix_index import PrefixIndex
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import ConfigSection, NodeSection, PeersSection
from lagoonhinge_node.admission_lanes import (
    Admitted,
    Lane,
    ServiceLanes,
    Ticket,
    Waiting,
)
from lagoonhinge_node.admission_refusals import over_limit, overloaded, too_late
from lagoonhinge_node.candidates import (
    Capacity,
    find_candidates,
    find_capacity,
)
from lagoonhinge_node.upstream_room import UpstreamRoom

RETRY_AFTER_S = 1.0
LOOK_AGAIN_S = 0.01


class Admission:
    """Admits requests in fair order while upstreams have room for them."""

    def __init__(self, board: Blackboard, ledger: InFlightLedger, clock: Clock):
        self.board = board
        self.ledger = ledger
        self.clock = clock
        self.placer = Placer()
        self.prefixes = PrefixIndex()
        self.shares = DemandShares(board.read(NodeSection).node)
        self.limits = AccountLimits(self.shares)
        self.demand = DemandMeter()
        self.long_demand = DemandMeter()
        self.services: dict[str, ServiceLanes] = {}
        self.waiting: dict[str, Waiting] = {}
        self.admitted: dict[str, Admitted] = {}
        self.room = UpstreamRoom(board, ledger, self.placer)
        self.timer: TimerHandle | None = None
        ledger.on_capacity_freed.append(self.dispatch)

    async def admit(self, request: ModelRequest) -> Result[Ticket, RequestFailure]:
        """Admit a request once an upstream has room, or refuse it.

        A refusal comes as soon as it is clear that the time bound can't be met.
        """
        config = self._config()
        now_s = self.clock.monotonic_s()
        tokens = request.estimate.total()
        self.demand.record(request.account, tokens)
        held = len(self.admitted) + len(self.waiting)
        if held >= config.limits.max_in_flight_requests:
            message = f"{held} requests are in flight on this node"
            return Failure(overloaded(message, RETRY_AFTER_S))
        account = config.accounts[request.account]
        wait_s = self.limits.charge(request.account, account, tokens, now_s)
        if wait_s is not None:
            return Failure(over_limit(request.account, account, wait_s))
        try:
            result = await self._admit_to_upstream(request, account)
        except CancelledError:
            self.limits.refund(request.account, tokens)
            raise
        if isinstance(result, Failure):
            self.limits.refund(request.account, tokens)
        return result

    def release(self, ticket: Ticket) -> None:
        """Give a ticket back."""
        unused = self.take_reserved(ticket.request_id)
        admitted = self.admitted.pop(ticket.request_id)
        if admitted.waiting is not None and unused is None:
            took_s = self.clock.monotonic_s() - admitted.granted_s
            admitted.waiting.learn_finish(took_s)
        if unused is not None:
            self.dispatch()

    def take_reserved(self, request_id: str) -> str | None:
        """Return the upstream set aside for a request, for its attempt to use.

        The caller counts the attempt before anything else can run.
        """
        admitted = self.admitted[request_id]
        upstream, admitted.upstream = admitted.upstream, None
        if upstream is not None:
            self.ledger.remove(_reservation(request_id))
        return upstream

    def waited_s(self, request_id: str) -> float:
        """Return how long an admitted request was in line, in seconds."""
        return self.admitted[request_id].waited_s()

    def dispatch(self) -> None:
        """Grant what the upstreams have room for, in fair order."""
        for service, lanes in self.services.items():
            for lane in lanes.both():
                while lane.queue and self._grant_head(service, lane):
                    pass

    def refuse_late(self) -> None:
        """Refuse every request in line that can't meet its time bound any more."""
        for lanes in self.services.values():
            for lane in lanes.both():
                self._refuse_late_in(lane)

    def tick(self, elapsed_s: float) -> None:
        """Learn rates and demand from the time since the last tick, in seconds."""
        self.demand.tick(elapsed_s)
        self.long_demand.tick(elapsed_s)
        for service, lanes in self.services.items():
            self._learn_rates(service, lanes, elapsed_s)
            for lane in lanes.both():
                lane.queue.remove_idle()
                lane.finish.tick(elapsed_s)
        self.dispatch()

    async def _admit_to_upstream(
        self, request: ModelRequest, account: AccountConfig
    ) -> Result[Ticket, RequestFailure]:
        capacity = find_capacity(self.board, request.service)
        # One that no upstream can hold is for a group, which reserves for itself.
        if request.estimate.total() > capacity.kv_tokens:
            self.admitted[request.request_id] = Admitted(None)
            return Success(Ticket(request.request_id))
        waiting = self._waiting(request, capacity)
        ahead = waiting.lane.queue.tokens_ahead(request.account, account.weight)
        late_by_s = waiting.late_by_s(ahead, self.clock.monotonic_s())
        if late_by_s > 0:
            return Failure(too_late(request.account, late_by_s))
        if not self._make_place(waiting, account):
            message = f"the queue of {request.service!r} is full"
            return Failure(overloaded(message, waiting.lane.wait_s()))
        self._enter(waiting, account)
        try:
            return await waiting.granted
        except CancelledError:
            self._abandon(request.request_id)
            raise

    def _learn_rates(self, service: str, lanes: ServiceLanes, elapsed_s: float) -> None:
        policy = self.policy(service)
        candidates = find_candidates(self.board, self.ledger, service)
        count = len(candidates)
        nodes = self._nodes_in_zone()
        rate = sum(c.prefill_tokens_per_s for c in candidates)
        long_share = 1.0
        if isinstance(policy, LengthAware) and count > 0:
            offered = self.long_demand.tokens_per_s.get(service, 0.0) * nodes
            now_s = self.clock.monotonic_s()
            self.placer.update_split(
                policy, service, count, offered * count / rate, now_s
            )
            long_share = self.placer.split(policy, service, count) / count
        short, long = lanes.both()
        short.drain.tick(elapsed_s, bool(short.queue), rate / nodes)
        long.drain.tick(elapsed_s, bool(long.queue), rate * long_share / nodes)

    def _lanes(self, service: str) -> ServiceLanes:
        lanes = self.services.get(service)
        if lanes is None:
            lanes = self.services[service] = ServiceLanes()
            self._learn_rates(service, lanes, 1.0)
        return lanes

    def _waiting(self, request: ModelRequest, capacity: Capacity) -> Waiting:
        estimate = request.estimate
        lanes = self._lanes(request.service)
        long = self.is_long(request)
        wanted = PlacementRequest(
            estimate.prompt_tokens,
            estimate.output_tokens,
            service=request.service,
            needs_capacity=True,
            cached_tokens=self.prefixes.cached_tokens(
                request.prompt, estimate.prompt_tokens
            ),
        )
        uncached = estimate.prompt_tokens - max(
            wanted.cached_tokens.values(), default=0
        )
        return Waiting(
            request,
            lanes.long if long else lanes.short,
            wanted,
            long,
            uncached / capacity.prefill_tokens_per_s,
            self.clock.monotonic_s(),
            get_running_loop().create_future(),
        )

    def _enter(self, waiting: Waiting, account: AccountConfig) -> None:
        request = waiting.request
        tokens = request.estimate.total() - max(
            waiting.wanted.cached_tokens.values(), default=0
        )
        if waiting.is_long:
            self.long_demand.record(request.service, request.estimate.prompt_tokens)
        self.waiting[request.request_id] = waiting
        waiting.lane.queue.push(
            QueueItem(request.request_id, request.account, tokens, account.weight)
        )
        self.dispatch()

    def _grant_head(self, service: str, lane: Lane) -> bool:
        head = lane.queue.head()
        assert head is not None
        waiting = self.waiting[head.request_id]
        now_s = self.clock.monotonic_s()
        if service not in self._config().services:
            message = f"service {service!r} has left the configuration"
            self._refuse(waiting, overloaded(message, RETRY_AFTER_S))
            return True
        late_by_s = waiting.late_by_s(0.0, now_s)
        if late_by_s > 0:
            self._refuse(waiting, too_late(head.account, late_by_s))
            return True
        choice = self.room.find(self.policy(service), waiting.wanted, now_s)
        if choice is None and self.room.is_served(service):
            if not waiting.is_long:
                self._dispatch_later()
            return False
        lane.queue.pop()
        lane.drain.record(head.tokens)
        self._grant(waiting, choice)
        return True

    def _dispatch_later(self) -> None:
        """Look again when an engine may have come far enough for the next prompt."""
        if self.timer is None:
            self.timer = get_running_loop().call_later(LOOK_AGAIN_S, self._look_again)

    def _look_again(self) -> None:
        self.timer = None
        self.dispatch()

    def _grant(self, waiting: Waiting, choice: Candidate | None) -> None:
        request = waiting.request
        request_id = request.request_id
        del self.waiting[request_id]
        upstream = None if choice is None else choice.name
        if upstream is not None:
            estimate = request.estimate
            item = WorkItem(
                upstream,
                estimate.prompt_tokens,
                estimate.total(),
                waiting.is_long,
            )
            self.ledger.start(_reservation(request_id), item)
        now_s = self.clock.monotonic_s()
        self.admitted[request_id] = Admitted(upstream, waiting, now_s)
        if not waiting.granted.done():
            waiting.granted.set_result(Success(Ticket(request_id)))

    def _abandon(self, request_id: str) -> None:
        """Undo a request whose caller left while it was in line or just granted."""
        waiting = self.waiting.pop(request_id, None)
        if waiting is not None:
            waiting.lane.queue.cancel(request_id)
        elif request_id in self.admitted:
            self.release(Ticket(request_id))

    def _make_place(self, waiting: Waiting, account: AccountConfig) -> bool:
        """Keep the queue within its bound; sheds the account with the most in line."""
        request = waiting.request
        service = self._config().services[request.service]
        assert isinstance(service, ModelService)
        lanes = self.services[request.service]
        if lanes.waiting() < service.max_queued_requests:
            return True
        lane = max(lanes.both(), key=lambda lane: len(lane.queue))
        heaviest = lane.queue.heaviest_account()
        own = 0.0
        if lane is waiting.lane:
            own = lane.queue.load(request.account)
            own += request.estimate.total() / account.weight
        if heaviest is None or own >= lane.queue.load(heaviest):
            return False
        victim = self.waiting[lane.queue.newest(heaviest).request_id]
        message = f"the queue is full and {heaviest!r} has the most in it"
        self._refuse(victim, overloaded(message, lane.wait_s()))
        return True

    def _refuse(self, waiting: Waiting, failure: RequestFailure) -> None:
        request_id = waiting.request.request_id
        del self.waiting[request_id]
        waiting.lane.queue.cancel(request_id)
        if not waiting.granted.done():
            waiting.granted.set_result(Failure(failure))

    def _refuse_late_in(self, lane: Lane) -> None:
        now_s = self.clock.monotonic_s()
        ahead = 0
        for item in lane.queue.in_order():
            waiting = self.waiting[item.request_id]
            late_by_s = waiting.late_by_s(ahead, now_s)
            if late_by_s > 0:
                self._refuse(waiting, too_late(item.account, late_by_s))
            else:
                ahead += item.tokens

    def _nodes_in_zone(self) -> int:
        zone = self.board.read(NodeSection).zone
        digests = self.board.find(PeersSection()).digests.values()
        return 1 + sum(digest.zone == zone for digest in digests)

    def is_long(self, request: ModelRequest) -> bool:
        """Return whether a request counts as long work."""
        policy = self.policy(request.service)
        tokens = request.estimate.prompt_tokens
        return isinstance(policy, LengthAware) and is_long(policy, tokens)

    def policy(self, service: str) -> PlacementConfig:
        """Return a service's placement; a default once it left the configuration."""
        config = self._config().services.get(service)
        return config.placement if isinstance(config, ModelService) else LengthAware()

    def _config(self) -> Config:
        return self.board.read(ConfigSection).config


def _reservation(request_id: str) -> str:
    return f"ticket/{request_id}"
