"""Which upstreams are to be ordered to load what, a few at a time."""

from dataclasses import dataclass

from lagoonhinge_core.config import DesiredModel
from lagoonhinge_core.engine_messages import Order, OrderReport

AT_ONCE_SHARE = 0.1  # of a service's upstreams in the zone, at least one


@dataclass(frozen=True)
class OrderTarget:
    """One upstream that is to reach a desired state.

    Attributes:
        name: Name of the upstream.
        service: Service that it serves.
        desired: The state it is to reach.
        report: The state it reports; `None` if it did not answer.
    """

    name: str
    service: str
    desired: DesiredModel
    report: OrderReport | None


def agrees(report: OrderReport, desired: DesiredModel) -> bool:
    """Return whether an upstream has reached its desired state."""
    return (
        report.version == desired.version
        and sorted(report.adapters) == sorted(desired.adapters)
        and report.role == desired.role
    )


def order_for(desired: DesiredModel, fencing: int) -> Order:
    """Return the order that states the whole desired state."""
    return Order(fencing, desired.version, desired.adapters, desired.role)


def plan_orders(targets: tuple[OrderTarget, ...]) -> tuple[OrderTarget, ...]:
    """Return the upstreams to order now.

    Upstreams that are busy with a load count against their service's limit, so that
    a new version never takes more than a few of a service's upstreams at once.
    """
    planned: list[OrderTarget] = []
    for service in sorted({target.service for target in targets}):
        members = [target for target in targets if target.service == service]
        busy = sum(1 for m in members if m.report is not None and m.report.busy)
        limit = max(1, int(AT_ONCE_SHARE * len(members)))
        waiting = [member for member in members if _needs_order(member)]
        planned += waiting[: max(0, limit - busy)]
    return tuple(planned)


def _needs_order(target: OrderTarget) -> bool:
    report = target.report
    if report is None or report.busy:
        return False
    return not agrees(report, target.desired)
