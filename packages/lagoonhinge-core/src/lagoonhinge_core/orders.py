"""Selection of the upstreams to order to their desired state, a few at a time."""

from dataclasses import dataclass

from lagoonhinge_core.config import DesiredModel
from lagoonhinge_core.engine_messages import Order, OrderReport

MAX_BUSY_SHARE = 0.1  # of a service's upstreams in the zone, at least one


@dataclass(frozen=True)
class OrderTarget:
    """One upstream with a desired state.

    Attributes:
        name: Name of the upstream.
        service: Service that it serves.
        desired: The desired state.
        report: The state it reports; `None` if it did not answer.
    """

    name: str
    service: str
    desired: DesiredModel
    report: OrderReport | None


def has_reached(report: OrderReport, desired: DesiredModel) -> bool:
    """Return whether an upstream has reached its desired state."""
    return (
        report.version == desired.version
        and sorted(report.adapters) == sorted(desired.adapters)
        and report.role == desired.role
    )


def make_order(desired: DesiredModel, fencing: int) -> Order:
    """Return an order with the whole desired state."""
    return Order(fencing, desired.version, desired.adapters, desired.role)


def plan_orders(targets: tuple[OrderTarget, ...]) -> tuple[OrderTarget, ...]:
    """Return the upstreams to order now.

    Upstreams that are loading count towards their service's limit, so that a new
    version occupies only a few of a service's upstreams at a time.
    """
    planned: list[OrderTarget] = []
    for service in sorted({target.service for target in targets}):
        in_service = [target for target in targets if target.service == service]
        busy = sum(1 for t in in_service if t.report is not None and t.report.busy)
        limit = max(1, int(MAX_BUSY_SHARE * len(in_service)))
        candidates = [target for target in in_service if _needs_order(target)]
        planned += candidates[: max(0, limit - busy)]
    return tuple(planned)


def _needs_order(target: OrderTarget) -> bool:
    report = target.report
    if report is None or report.busy:
        return False
    return not has_reached(report, target.desired)
