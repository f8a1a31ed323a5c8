"""The configuration of the forwarding path, as the operator accepted it."""

from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.routes import RouteTable


@dataclass(frozen=True)
class ClientAccount:
    """A client account.

    Attributes:
        name: Name that upstreams get instead of the key.
        priority: Rank that goes before the route's; `None` if it has none.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True)
class ServiceProfile:
    """What is known of all upstreams of a service.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one upstream accepts from all nodes.
        engine: Speed and memory of its model engines; `None` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send.

    Attributes:
        header_bytes: Largest header section, in bytes.
        body_bytes: Largest body, in bytes.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20


@dataclass(frozen=True)
class SiteConfig:
    """One version of the configuration.

    Attributes:
        version: Number of the version; newer ones are greater.
        routes: The routes.
        services: Profiles by name of the service.
        accounts: Client accounts by key.
        limits: What callers may send.
        needs_key: Whether routes that are not public need a key.
    """

    version: int
    routes: RouteTable
    services: dict[str, ServiceProfile]
    accounts: dict[str, ClientAccount] = field(repr=False)
    limits: CallerLimits = CallerLimits()
    needs_key: bool = True
