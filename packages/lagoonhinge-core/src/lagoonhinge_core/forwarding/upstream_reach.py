"""Services of which a node reaches no upstream.

Load pattern: some nodes are partitioned from all upstreams, whose connections hang or
are refused, while other nodes reach them.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.upstreams import Upstream

# Upstreams of each zone in a row that can't be reached, at which none counts as
# reachable; a single one may have ended.
UNREACHABLE_PER_ZONE = 2


@dataclass
class ReachTracker:
    """Upstreams that could not be reached in a row.

    Attributes:
        failures: Upstreams of each service and zone that could not be reached since
            any upstream of the service was.
        cut_off: Services of which no upstream can be reached.
    """

    failures: dict[str, dict[str, set[str]]] = field(default_factory=dict)
    cut_off: frozenset[str] = frozenset()

    def record_failure(self, upstream: Upstream, listed: Iterable[Upstream]) -> bool:
        """Record an upstream that could not be reached.

        Args:
            upstream: The upstream.
            listed: All upstreams of its service.

        Returns:
            Whether no upstream of its service can be reached from now on.
        """
        service = upstream.service
        zones = self.failures.setdefault(service, {})
        zones.setdefault(upstream.zone, set()).add(upstream.instance)
        if service in self.cut_off:
            return False
        counts = Counter(entry.zone for entry in listed)
        if not all(
            len(zones.get(zone, ())) >= min(UNREACHABLE_PER_ZONE, count)
            for zone, count in counts.items()
        ):
            return False
        self.cut_off |= {service}
        return True

    def record_contact(self, service: str) -> bool:
        """Record that an upstream of a service was reached.

        Returns:
            Whether none could be reached before.
        """
        self.failures.pop(service, None)
        was_cut_off = service in self.cut_off
        self.cut_off -= {service}
        return was_cut_off

    def services_to_check(self) -> tuple[str, ...]:
        """Return the services of which perhaps no upstream can be reached."""
        return tuple(
            service
            for service, zones in self.failures.items()
            if sum(map(len, zones.values())) >= UNREACHABLE_PER_ZONE
        )
