"""Configuration of the forwarding path, as accepted by the operator."""

from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.routes import RouteTable


@dataclass(frozen=True)
class ClientAccount:
    """A client account.

    Attributes:
        name: Name that is sent to upstreams instead of the key.
        priority: Priority that overrides the route's; `None` if there is none.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True)
class ServiceProfile:
    """Properties that all upstreams of a service share.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one upstream accepts from all nodes together.
        engine: Speed and memory of its model engines; `None` for a plain service.
        cold_s: For how long an upstream is cold after a start, in seconds.
        cold_per_s: Requests a second that a cold upstream takes from all nodes
            together; 0 if there is no limit.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Limits on what a caller may send.

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
        version: Version number; newer ones are greater.
        routes: The routes.
        services: Profiles by service name.
        accounts: Client accounts by key.
        limits: Limits on what callers may send.
        needs_key: Whether routes that are not public need a key.
    """

    version: int
    routes: RouteTable
    services: dict[str, ServiceProfile]
    accounts: dict[str, ClientAccount] = field(repr=False)
    limits: CallerLimits = CallerLimits()
    needs_key: bool = True
