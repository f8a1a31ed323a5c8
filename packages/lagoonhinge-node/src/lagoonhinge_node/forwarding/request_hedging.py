"""Hedging of requests that take longer than usual."""

from lagoonhinge_core.forwarding.hedging import (
    Alternative,
    HedgeDecision,
    HedgeSituation,
    decide_hedge,
)
from lagoonhinge_core.forwarding.prompt_placement import DeadlineUnreachable
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.hedge_groups import hedge_group
from lagoonhinge_node.forwarding.request_context import RequestContext, RequestLog
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChoice


class RequestHedging:
    """Decides when a request is hedged, and where the second attempt goes.

    Args:
        serving: State shared by all requests.
        metrics: The metrics.
        log: Log lines of requests.
    """

    def __init__(
        self,
        serving: ServingState,
        metrics: ForwardingMetrics,
        log: RequestLog,
    ):
        self.serving = serving
        self.metrics = metrics
        self.log = log

    def due_in_s(self, context: RequestContext, choice: UpstreamChoice) -> float | None:
        """Return after which time to hedge a first attempt; `None` for never."""
        if choice.is_long or not context.route.may_run_again(1):
            return None
        return self.serving.hedges.due_in_s(hedge_group(context), choice.ready_s())

    def choose(
        self,
        context: RequestContext,
        first: UpstreamChoice,
        choice: UpstreamChoice | DeadlineUnreachable | None,
    ) -> UpstreamChoice | None:
        """Return the upstream of a hedge that is due now; `None` if none is sent.

        Args:
            context: The request.
            first: The upstreams of its first attempt.
            choice: Where placement would send another attempt.
        """
        serving, budget = self.serving, self.serving.hedges.budget
        if budget is None:
            return None
        alternative: Alternative | None = None
        if isinstance(choice, UpstreamChoice):
            load = serving.load.load(choice.upstream.instance, serving.clock())
            alternative = Alternative(
                choice.ready_s(), load.requests, choice.upstream.slots
            )
        decision = decide_hedge(
            HedgeSituation(
                context.route.may_run_again(context.runs),
                first.is_long
                or (isinstance(choice, UpstreamChoice) and choice.is_long),
                serving.is_restricted(context.service),
                serving.allows_retry(context.service),
                budget.allows_hedge(serving.clock(), serving.known_nodes()),
                first.ready_s(),
                alternative,
            )
        )
        self.metrics.hedges.labels(decision.value).inc()
        if decision is not HedgeDecision.SEND or not isinstance(choice, UpstreamChoice):
            return None
        budget.count_hedge()
        context.hedged_instance = choice.upstream.instance
        self.log.log_event(
            context,
            "Slower than usual; hedging the request.",
            upstream=choice.upstream.instance,
            instead_of=first.upstream.instance,
            predicted_s=first.ready_s(),
            alternative_s=choice.ready_s(),
            took_s=self.log.took_s(context),
        )
        return choice

    def record_superseded(
        self, context: RequestContext, choice: UpstreamChoice
    ) -> None:
        """Record that one attempt of a request was cancelled, as another answered."""
        if not context.hedged_instance:
            return
        has_lost = choice.upstream.instance == context.hedged_instance
        self.metrics.hedges.labels("lost" if has_lost else "won").inc()
        context.hedged_instance = ""
        if not has_lost:
            # Without them, the slowest attempts would be missing in what is usual.
            delay_s = self.log.took_s(context) - choice.ready_s()
            self.serving.hedges.record_delay(hedge_group(context), delay_s)
