"""Admission of model requests: limits, fair queue, deadline check and dispatch."""

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
    AdmittedRequest,
    Lane,
    QueuedRequest,
    ServiceLanes,
    Ticket,
)
from lagoonhinge_node.admission_refusals import over_limit, overloaded, too_late
from lagoonhinge_node.candidates import (
    Capacity,
    find_candidates,
    find_capacity,
)
from lagoonhinge_node.upstream_selection import UpstreamSelector

RETRY_AFTER_S = 1.0
REDISPATCH_DELAY_S = 0.01


class Admission:
    """Admits requests in fair order while upstreams have capacity for them."""

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
        self.queued: dict[str, QueuedRequest] = {}
        self.admitted: dict[str, AdmittedRequest] = {}
        self.selector = UpstreamSelector(board, ledger, self.placer)
        self.dispatch_timer: TimerHandle | None = None
        ledger.on_capacity_freed.append(self.dispatch)

    async def admit(self, request: ModelRequest) -> Result[Ticket, RequestFailure]:
        """Admit a request once an upstream has capacity, or refuse it.

        A request is refused as soon as it is predicted to miss its deadline.
        """
        config = self._config()
        now_s = self.clock.monotonic_s()
        tokens = request.estimate.total()
        self.demand.record(request.account, tokens)
        in_flight = len(self.admitted) + len(self.queued)
        if in_flight >= config.limits.max_in_flight_requests:
            message = f"{in_flight} requests are in flight on this node"
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
        """Release a ticket and record the service time of its request."""
        unused = self.pop_reserved_upstream(ticket.request_id)
        admitted = self.admitted.pop(ticket.request_id)
        if admitted.queued is not None and unused is None:
            service_time_s = self.clock.monotonic_s() - admitted.granted_s
            admitted.queued.record_service_time(service_time_s)
        if unused is not None:
            self.dispatch()

    def pop_reserved_upstream(self, request_id: str) -> str | None:
        """Remove and return the upstream reserved for a request's first attempt.

        The caller must add the attempt to the ledger before it awaits anything.
        """
        admitted = self.admitted[request_id]
        upstream, admitted.upstream = admitted.upstream, None
        if upstream is not None:
            self.ledger.remove(_reservation(request_id))
        return upstream

    def waited_s(self, request_id: str) -> float:
        """Return how long an admitted request was queued, in seconds."""
        return self.admitted[request_id].waited_s()

    def dispatch(self) -> None:
        """Admit the queued requests that fit on upstreams, in fair order."""
        for service, lanes in self.services.items():
            for lane in lanes.both():
                while lane.queue and self._grant_head(service, lane):
                    pass

    def refuse_late(self) -> None:
        """Refuse every queued request that can no longer meet its deadline."""
        for lanes in self.services.values():
            for lane in lanes.both():
                self._refuse_late_in_lane(lane)

    def tick(self, elapsed_s: float) -> None:
        """Update rates and demand from the time since the last tick, in seconds."""
        self.demand.tick(elapsed_s)
        self.long_demand.tick(elapsed_s)
        for service, lanes in self.services.items():
            self._update_rates(service, lanes, elapsed_s)
            for lane in lanes.both():
                lane.queue.remove_idle()
                lane.decode_time.tick(elapsed_s)
        self.dispatch()

    async def _admit_to_upstream(
        self, request: ModelRequest, account: AccountConfig
    ) -> Result[Ticket, RequestFailure]:
        capacity = find_capacity(self.board, request.service)
        # Too large for any single upstream; its group reserves memory itself.
        if request.estimate.total() > capacity.kv_tokens:
            self.admitted[request.request_id] = AdmittedRequest(None)
            return Success(Ticket(request.request_id))
        queued = self._new_queued_request(request, capacity)
        tokens_ahead = queued.lane.queue.tokens_ahead(request.account, account.weight)
        late_by_s = queued.late_by_s(tokens_ahead, self.clock.monotonic_s())
        if late_by_s > 0:
            return Failure(too_late(request.account, late_by_s))
        if not self._ensure_queue_space(queued, account):
            message = f"the queue of {request.service!r} is full"
            return Failure(overloaded(message, queued.lane.wait_s()))
        self._enqueue(queued, account)
        try:
            return await queued.result
        except CancelledError:
            self._cancel(request.request_id)
            raise

    def _update_rates(
        self, service: str, lanes: ServiceLanes, elapsed_s: float
    ) -> None:
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
        short.dispatch_rate.tick(elapsed_s, bool(short.queue), rate / nodes)
        long.dispatch_rate.tick(elapsed_s, bool(long.queue), rate * long_share / nodes)

    def _lanes(self, service: str) -> ServiceLanes:
        lanes = self.services.get(service)
        if lanes is None:
            lanes = self.services[service] = ServiceLanes()
            self._update_rates(service, lanes, 1.0)
        return lanes

    def _new_queued_request(
        self, request: ModelRequest, capacity: Capacity
    ) -> QueuedRequest:
        estimate = request.estimate
        lanes = self._lanes(request.service)
        long = self.is_long(request)
        placement = PlacementRequest(
            estimate.prompt_tokens,
            estimate.output_tokens,
            service=request.service,
            needs_capacity=True,
            cached_tokens=self.prefixes.cached_tokens(
                request.prompt, estimate.prompt_tokens
            ),
        )
        uncached = estimate.prompt_tokens - max(
            placement.cached_tokens.values(), default=0
        )
        return QueuedRequest(
            request,
            lanes.long if long else lanes.short,
            placement,
            long,
            uncached / capacity.prefill_tokens_per_s,
            self.clock.monotonic_s(),
            get_running_loop().create_future(),
        )

    def _enqueue(self, queued: QueuedRequest, account: AccountConfig) -> None:
        request = queued.request
        tokens = request.estimate.total() - max(
            queued.placement.cached_tokens.values(), default=0
        )
        if queued.is_long:
            self.long_demand.record(request.service, request.estimate.prompt_tokens)
        self.queued[request.request_id] = queued
        queued.lane.queue.push(
            QueueItem(request.request_id, request.account, tokens, account.weight)
        )
        self.dispatch()

    def _grant_head(self, service: str, lane: Lane) -> bool:
        head = lane.queue.head()
        assert head is not None
        queued = self.queued[head.request_id]
        now_s = self.clock.monotonic_s()
        if service not in self._config().services:
            message = f"service {service!r} has left the configuration"
            self._refuse(queued, overloaded(message, RETRY_AFTER_S))
            return True
        late_by_s = queued.late_by_s(0.0, now_s)
        if late_by_s > 0:
            self._refuse(queued, too_late(head.account, late_by_s))
            return True
        choice = self.selector.find(self.policy(service), queued.placement, now_s)
        if choice is None and self.selector.has_candidates(service):
            if not queued.is_long:
                self._schedule_dispatch()
            return False
        lane.queue.pop()
        lane.dispatch_rate.record(head.tokens)
        self._grant(queued, choice)
        return True

    def _schedule_dispatch(self) -> None:
        """Dispatch again when an engine may have capacity for the next prompt."""
        if self.dispatch_timer is None:
            self.dispatch_timer = get_running_loop().call_later(
                REDISPATCH_DELAY_S, self._redispatch
            )

    def _redispatch(self) -> None:
        self.dispatch_timer = None
        self.dispatch()

    def _grant(self, queued: QueuedRequest, choice: Candidate | None) -> None:
        request = queued.request
        request_id = request.request_id
        del self.queued[request_id]
        upstream = None if choice is None else choice.name
        if upstream is not None:
            estimate = request.estimate
            item = WorkItem(
                upstream,
                estimate.prompt_tokens,
                estimate.total(),
                queued.is_long,
            )
            self.ledger.start(_reservation(request_id), item)
        now_s = self.clock.monotonic_s()
        self.admitted[request_id] = AdmittedRequest(upstream, queued, now_s)
        if not queued.result.done():
            queued.result.set_result(Success(Ticket(request_id)))

    def _cancel(self, request_id: str) -> None:
        """Remove a request that was cancelled while queued or just admitted."""
        queued = self.queued.pop(request_id, None)
        if queued is not None:
            queued.lane.queue.cancel(request_id)
        elif request_id in self.admitted:
            self.release(Ticket(request_id))

    def _ensure_queue_space(
        self, queued: QueuedRequest, account: AccountConfig
    ) -> bool:
        """Keep the queue within its limit; refuses the heaviest account's newest."""
        request = queued.request
        service = self._config().services[request.service]
        assert isinstance(service, ModelService)
        lanes = self.services[request.service]
        if lanes.queued_count() < service.max_queued_requests:
            return True
        lane = max(lanes.both(), key=lambda lane: len(lane.queue))
        heaviest = lane.queue.heaviest_account()
        own_load = 0.0
        if lane is queued.lane:
            own_load = lane.queue.load(request.account)
            own_load += request.estimate.total() / account.weight
        if heaviest is None or own_load >= lane.queue.load(heaviest):
            return False
        newest = self.queued[lane.queue.newest(heaviest).request_id]
        message = f"the queue is full and {heaviest!r} has the most in it"
        self._refuse(newest, overloaded(message, lane.wait_s()))
        return True

    def _refuse(self, queued: QueuedRequest, failure: RequestFailure) -> None:
        request_id = queued.request.request_id
        del self.queued[request_id]
        queued.lane.queue.cancel(request_id)
        if not queued.result.done():
            queued.result.set_result(Failure(failure))

    def _refuse_late_in_lane(self, lane: Lane) -> None:
        now_s = self.clock.monotonic_s()
        tokens_ahead = 0
        for item in lane.queue.in_order():
            queued = self.queued[item.request_id]
            late_by_s = queued.late_by_s(tokens_ahead, now_s)
            if late_by_s > 0:
                self._refuse(queued, too_late(item.account, late_by_s))
            else:
                tokens_ahead += item.tokens

    def _nodes_in_zone(self) -> int:
        zone = self.board.read(NodeSection).zone
        digests = self.board.find(PeersSection()).digests.values()
        return 1 + sum(digest.zone == zone for digest in digests)

    def is_long(self, request: ModelRequest) -> bool:
        """Return whether a request is of the long class."""
        policy = self.policy(request.service)
        tokens = request.estimate.prompt_tokens
        return isinstance(policy, LengthAware) and is_long(policy, tokens)

    def policy(self, service: str) -> PlacementConfig:
        """Return a service's placement policy; the default if it is not configured."""
        config = self._config().services.get(service)
        return config.placement if isinstance(config, ModelService) else LengthAware()

    def _config(self) -> Config:
        return self.board.read(ConfigSection).config


def _reservation(request_id: str) -> str:
    return f"ticket/{request_id}"
