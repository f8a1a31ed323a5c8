"""Sections of the blackboard that the forwarding path reads and writes."""

from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.site_config import SiteConfig
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_core.forwarding.upstreams import Upstream


@dataclass(frozen=True)
class SiteConfigSection:
    """The configuration in force; written by the configuration follower.

    Attributes:
        config: The configuration; `None` before the first one.
        fault: Why the newest one is not in force; empty if it is.
        adopted_s: When it came into force, in seconds of the node's clock.
    """

    config: SiteConfig | None = None
    fault: str = ""
    adopted_s: float = 0.0


@dataclass(frozen=True)
class UpstreamListSection:
    """Listed upstreams; written by the upstream follower.

    Attributes:
        upstreams: By instance.
        version: Version of the store's rows that they are of.
    """

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    version: int = 0


@dataclass(frozen=True)
class NodeListSection:
    """Announced nodes by name; written by the node follower."""

    nodes: dict[str, NodeEntry] = field(default_factory=dict)
