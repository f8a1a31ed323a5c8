"""Sections of the blackboard that the forwarding path reads and writes."""

from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.site_config import SiteConfig
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_core.forwarding.upstreams import Upstream


@dataclass(frozen=True)
class SiteConfigSection:
    """The configuration in force; written by the configuration controller.

    Attributes:
        config: The configuration; `None` before the first one.
        fault: Why the newest configuration is unusable; empty if it is in force.
        adopted_s: When it was put into force, in seconds of the node's clock.
    """

    config: SiteConfig | None = None
    fault: str = ""
    adopted_s: float = 0.0


@dataclass(frozen=True)
class UpstreamListSection:
    """Listed upstreams by instance; written by the upstream controller."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)


@dataclass(frozen=True)
class NodeListSection:
    """Announced nodes by name; written by the node controller."""

    nodes: dict[str, NodeEntry] = field(default_factory=dict)
