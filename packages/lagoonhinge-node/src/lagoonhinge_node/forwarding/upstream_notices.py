"""What upstreams say of themselves in the heads of their answers."""

from http import HTTPStatus

from lagoonhinge_core.forwarding.messages import AnswerHead, UnreadableLimit
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger


class UpstreamNotices:
    """Records what answers say of their upstreams.

    Args:
        serving: State shared by all requests.
    """

    def __init__(self, serving: ServingState):
        self.serving = serving
        self.log_part = PartLogger("upstreams")
        # Upstreams of which an unreadable limit was logged.
        self.unreadable: set[str] = set()

    def record_head(self, upstream: Upstream, head: AnswerHead) -> None:
        """Record the head of an upstream's answer."""
        limits, instance = self.serving.request_limits, upstream.instance
        if head.leaving and self.serving.leaving_notices.record(upstream):
            self.log_part.info(
                "An upstream says that it leaves.",
                upstream=instance,
                request_id=head.request_id or "-",
            )
        is_refusal = head.status == HTTPStatus.SERVICE_UNAVAILABLE
        if is_refusal and head.retry_after_s is not None:
            self.serving.pauses.record(
                upstream, head.retry_after_s, self.serving.clock()
            )
            self.log_part.info(
                "An upstream wants no requests for a time.",
                upstream=instance,
                request_id=head.request_id or "-",
                pause_s=head.retry_after_s,
            )
        if limits.record_answer(instance, head.limit, self.serving.clock()):
            self.log_part.info(
                "An upstream changed the limit of its requests.",
                upstream=instance,
                per_s=limits.limit_per_s(instance),
            )
        if isinstance(head.limit, UnreadableLimit) and instance not in self.unreadable:
            self.unreadable &= self.serving.directory.by_instance.keys()
            self.unreadable.add(instance)
            self.log_part.warning(
                "Ignored an unreadable limit.", upstream=instance, text=head.limit.text
            )
