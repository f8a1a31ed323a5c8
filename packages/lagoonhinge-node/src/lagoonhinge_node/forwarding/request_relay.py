"""Lets other nodes serve the requests of a node that reaches no upstream."""

from returns.result import Failure, Success

from lagoonhinge_core.forwarding.attempts import (
    AttemptFailure,
    Declined,
    FailureAction,
    NotDelivered,
)
from lagoonhinge_core.forwarding.relays import MAX_RELAYS, relay_candidates
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_node.forwarding.attempt_sender import AttemptSender
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


class RequestRelay:
    """Lets other nodes serve requests.

    Args:
        serving: State shared by all requests.
        sender: Forwards the answers.
        ending: Ends requests that fail.
        metrics: The metrics.
        log: Log lines of requests.
    """

    def __init__(
        self,
        serving: ServingState,
        sender: AttemptSender,
        ending: RequestEnding,
        metrics: ForwardingMetrics,
        log: RequestLog,
    ):
        self.serving = serving
        self.sender = sender
        self.ending = ending
        self.metrics = metrics
        self.log = log

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
            match await self.sender.relay(context, node, writer):
                case Success(_):
                    self.metrics.relays.labels("answered").inc()
                    return "relayed"
                case Failure(failure):
                    self._record_failure(context, node, failure)
            if not isinstance(failure, NotDelivered | Declined):
                # The node may have run it on as many upstreams as are allowed.
                return await self.ending.end_failed(context, writer, FailureAction.FAIL)
        return None

    def _choose_node(self, context: RequestContext) -> NodeEntry | None:
        serving = self.serving
        if context.service not in serving.reach.cut_off or context.is_relayed:
            return None
        if context.runs and not context.route.may_run_again(context.runs):
            return None
        if len(context.asked_nodes) >= MAX_RELAYS:
            return None
        listed = serving.board.read(NodeListSection).nodes
        candidates = relay_candidates(
            serving.relay_nodes(context.service), serving.zone, serving.cell
        )
        untried = [
            name
            for name in candidates
            if name in listed and name not in context.asked_nodes
        ]
        return listed[serving.random.choice(untried)] if untried else None

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
