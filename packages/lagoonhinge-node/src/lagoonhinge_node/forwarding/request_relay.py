"""Lets other nodes serve the requests of a node that reaches no upstream."""

from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.attempts import (
    AttemptFailure,
    Declined,
    FailureAction,
    NotDelivered,
)
from lagoonhinge_core.forwarding.messages import RelayOptions
from lagoonhinge_core.forwarding.relays import MAX_RELAYS, relay_candidates
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.answer_forwarder import AnswerForwarder, Attempt
from lagoonhinge_node.forwarding.board_sections import NodeListSection
from lagoonhinge_node.forwarding.forwarding_metrics import (
    ForwardingMetrics,
    failure_label,
)
from lagoonhinge_node.forwarding.request_context import (
    RequestContext,
    RequestLog,
    ResponseWriter,
)
from lagoonhinge_node.forwarding.request_ending import RequestEnding
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.silence_timeout import SilenceTimeout
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChoice
from lagoonhinge_node.forwarding.upstream_client import UpstreamClient


class RequestRelay:
    """Lets other nodes serve requests.

    Args:
        serving: State shared by all requests.
        client: Sends the requests.
        ending: Ends requests that fail.
        metrics: The metrics.
        log: Log lines of requests.
    """

    def __init__(
        self,
        serving: ServingState,
        client: UpstreamClient,
        ending: RequestEnding,
        metrics: ForwardingMetrics,
        log: RequestLog,
    ):
        self.serving = serving
        self.client = client
        self.ending = ending
        self.metrics = metrics
        self.log = log
        self.forwarder = AnswerForwarder(serving, metrics, log)

    async def relay(
        self, context: RequestContext, writer: ResponseWriter
    ) -> str | None:
        """Let another node serve a request if this one reaches no upstream for it.

        Returns:
            How the request ended; `None` if no other node took it.
        """
        while (node := self._choose_node(context)) is not None:
            context.asked_nodes.add(node.name)
            self.log.log_event(
                context,
                "No upstream can be reached; another node serves the request.",
                by=node.name,
                runs=context.runs,
                remaining_s=self.log.remaining_s(context),
            )
            match await self._send(context, node, writer):
                case Success(_):
                    self.metrics.relays.labels("answered").inc()
                    return "relayed"
                case Failure(failure):
                    self._record_failure(context, node, failure)
            if not isinstance(failure, NotDelivered | Declined):
                # The node may have run it on as many upstreams as are allowed.
                return await self.ending.end_failed(context, writer, FailureAction.FAIL)
        return None

    async def _send(
        self, context: RequestContext, node: NodeEntry, writer: ResponseWriter
    ) -> Result[None, AttemptFailure]:
        """Send a request to a node and forward its answer."""
        options = RelayOptions(self.log.remaining_s(context), context.last_event_id)
        earlier_runs = context.runs
        context.runs += 1
        match await self.client.relay(node, context.request, options, earlier_runs):
            case Failure(failure):
                if isinstance(failure, NotDelivered | Declined):
                    context.runs = earlier_runs
                return Failure(failure)
            case Success(answer):
                pass
        # The node itself watches the upstreams for silence.
        attempt = Attempt(
            context,
            UpstreamChoice(_as_upstream(node, context.service)),
            self.serving.load.next_prompt_number(),
            writer,
            SilenceTimeout(lambda _: False, lambda _: None),
            lambda: None,
        )
        try:
            return await self.forwarder.forward(attempt, answer)
        finally:
            attempt.silence_timeout.stop()
            answer.close()

    def _choose_node(self, context: RequestContext) -> NodeEntry | None:
        serving = self.serving
        if context.service not in serving.reach.cut_off or context.is_relayed:
            return None
        if context.runs and not context.route.may_run_again(context.runs):
            return None
        if len(context.asked_nodes) >= MAX_RELAYS:
            return None
        nodes = serving.relay_nodes(context.service)
        candidates = relay_candidates(nodes, serving.zone, serving.cell)
        untried = [name for name in candidates if name not in context.asked_nodes]
        if not untried:
            return None
        return serving.board.read(NodeListSection).nodes[serving.random.choice(untried)]

    def _record_failure(
        self, context: RequestContext, node: NodeEntry, failure: AttemptFailure
    ) -> None:
        context.last_failure = failure
        self.metrics.relays.labels(failure_label(failure)).inc()
        self.log.log_failure(
            context,
            "Another node did not serve the request.",
            by=node.name,
            failure=repr(failure),
            remaining_s=self.log.remaining_s(context),
        )


def _as_upstream(node: NodeEntry, service: str) -> Upstream:
    """Return a node in the place of the upstream that answers."""
    return Upstream(f"node {node.name}", service, node.host, node.port, node.zone, 0)
