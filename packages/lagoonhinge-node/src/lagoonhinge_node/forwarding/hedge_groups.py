"""Groups of requests whose delays are compared for hedging."""

from lagoonhinge_core.forwarding.hedging import HedgeGroup
from lagoonhinge_node.forwarding.forwarding_metrics import kind_label, length_label
from lagoonhinge_node.forwarding.request_context import RequestContext


def hedge_group(context: RequestContext) -> HedgeGroup:
    """Return the group of a request."""
    return HedgeGroup(
        context.service, kind_label(context.route.kind), length_label(context.request)
    )
