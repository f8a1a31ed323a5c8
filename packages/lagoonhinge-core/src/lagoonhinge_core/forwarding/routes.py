"""Routes: the service of a request, and whether it may be retried."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class Idempotent:
    """The request may run more than once."""


@dataclass(frozen=True)
class AtMostOnce:
    """The request may run at most once for each client attempt."""


@dataclass(frozen=True)
class EventStream:
    """The answer is a stream of events.

    Attributes:
        resumable: Whether another upstream may resume after the last event.
        gap_target_s: Target for the longest gap between two events, in seconds.
    """

    resumable: bool
    gap_target_s: float


RouteKind: TypeAlias = Idempotent | AtMostOnce | EventStream


@dataclass(frozen=True)
class WeightedService:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """One route of the configuration.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        prefix: Prefix of the path; begins and ends with a slash.
        kind: Kind of the requests, which determines whether they may be retried.
        services: Services with their weights; at least one.
        timeout_s: Longest time to the end of the answer, in seconds.
        target_s: Target time to the answer, or to its first event, in seconds.
        max_upstreams: Most upstreams that one client attempt may run on.
        priority: Priority; 0 is the highest.
        public: Whether the route needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    max_upstreams: int = 1
    priority: int = 0
    public: bool = False

    def may_run_again(self, runs: int) -> bool:
        """Return whether a request that may have run can be retried.

        Args:
            runs: Number of upstreams that may have run it.
        """
        match self.kind:
            case Idempotent() | EventStream(resumable=True):
                return runs < self.max_upstreams
            case AtMostOnce() | EventStream():
                return False

    def pick_service(self, point: float) -> str:
        """Return the service at a point of the split by weight.

        Args:
            point: Uniform random number, at least 0 and less than 1.
        """
        remaining = point * sum(entry.weight for entry in self.services)
        for entry in self.services:
            remaining -= entry.weight
            if remaining < 0:
                return entry.service
        return self.services[-1].service


class RouteTable:
    """Finds the route of a host that has the longest prefix of a path."""

    def __init__(self, routes: Iterable[Route] = ()):
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or `None` if no route matches.

        Args:
            host: Value of the `Host` header.
            target: Request target, undecoded, with its query if any.
        """
        routes = self.by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
