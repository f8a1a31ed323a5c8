"""Sections of the blackboard, each written by one controller."""

from dataclasses import dataclass, field
from enum import StrEnum

from lagoonhinge_core.config import Config
from lagoonhinge_core.engine_messages import LoadReport
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import UpstreamWork
from lagoonhinge_core.peer_messages import PeerDigest, Quarantine, Strike


class Readiness(StrEnum):
    """Whether the load balancer should send callers to this node."""

    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"


@dataclass(frozen=True)
class NodeSection:
    """The node itself; written by the node's root service.

    Attributes:
        node: Identity of this incarnation.
        site: Site whose overlay applies.
        zone: Availability zone of the VM.
        readiness: Whether the load balancer should send callers here.
        started_wall_s: Start, in seconds since the epoch.
    """

    node: NodeId
    site: str
    zone: str
    readiness: Readiness
    started_wall_s: float


@dataclass(frozen=True)
class ConfigSection:
    """The configuration in force; written by the configuration controller.

    Attributes:
        version: Accepted version; 0 before the first.
        digest: SHA-256 of its blob.
        config: The decoded configuration.
        in_force_wall_s: When this node adopted it, in seconds since the epoch.
        last_error: Why the newest version is not in force; empty if it is.
    """

    version: int = 0
    digest: str = ""
    config: Config = field(default_factory=Config)
    in_force_wall_s: float = 0.0
    last_error: str = ""


@dataclass(frozen=True)
class Member:
    """Another node, as this node observes it.

    Attributes:
        node: Identity of its newest incarnation.
        address: Host and port of its control listener.
        zone: Availability zone.
        alive: Whether its last message is within the heartbeat timeout.
        heard_monotonic_s: When its last message arrived; 0 before the first.
        delisted: Whether it was removed from the platform's list.
    """

    node: NodeId
    address: str
    zone: str
    alive: bool
    heard_monotonic_s: float
    delisted: bool = False


@dataclass(frozen=True)
class MembersSection:
    """The other nodes of the site; written by the membership controller.

    Attributes:
        members: The other nodes by VM name.
        cell: VM names of this node's own cell, including itself.
        cell_number: Number of that cell in its zone.
        cell_count: Number of cells in the zone.
    """

    members: dict[str, Member] = field(default_factory=dict)
    cell: tuple[str, ...] = ()
    cell_number: int = 0
    cell_count: int = 1


@dataclass(frozen=True)
class VmsSection:
    """Upstream VMs in the platform's list; written by the membership controller.

    Attributes:
        live: Addresses of the live VMs.
        leaving: Address and VM name of the VMs that are leaving.
        read_monotonic_s: When the list was read; 0 before the first read.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[tuple[str, str], ...] = ()
    read_monotonic_s: float = 0.0


@dataclass(frozen=True)
class UpstreamReport:
    """Observed state of one upstream.

    Attributes:
        load: Its last load report, if any.
        received_monotonic_s: When the report arrived.
        leaving: Whether any source reported that it is leaving.
        reachable: Whether it answered the last poll.
    """

    load: LoadReport | None = None
    received_monotonic_s: float = 0.0
    leaving: bool = False
    reachable: bool = True


@dataclass(frozen=True)
class UpstreamsSection:
    """Reports by upstream name; written by the upstream controller."""

    reports: dict[str, UpstreamReport] = field(default_factory=dict)


@dataclass(frozen=True)
class PeersSection:
    """Newest digest of each live peer by VM name; written by membership."""

    digests: dict[str, PeerDigest] = field(default_factory=dict)


@dataclass(frozen=True)
class DemandSection:
    """Load offered to this node by client account; written by admission.

    Attributes:
        tokens_per_s: Offered load by client account, in tokens per second.
        number: Increased with each change of the load.
        heard: Newest demand number received from each peer incarnation.
    """

    tokens_per_s: dict[str, float] = field(default_factory=dict)
    number: int = 0
    heard: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class OthersWorkSection:
    """Work by upstream name that isn't this node's own; written by admission.

    The sum of the peers' counts and the load in reports that exceeds all counts.
    """

    by_upstream: dict[str, UpstreamWork] = field(default_factory=dict)


@dataclass(frozen=True)
class PoisonSection:
    """Strikes and quarantines at this node; written by the poison controller."""

    strikes: tuple[Strike, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()


class OrderState(StrEnum):
    """Progress of an upstream towards its desired state."""

    REACHED = "reached"
    BUSY = "busy"
    DIFFERS = "differs"
    SILENT = "silent"


@dataclass(frozen=True)
class OrdersSection:
    """Orders to the upstreams of this zone; written by the orders controller.

    Attributes:
        is_holder: Whether this node holds the zone's lease.
        fencing: Fencing number of the lease; 0 if it is not held.
        upstreams: State of each upstream by name, as the holder observes it.
    """

    is_holder: bool = False
    fencing: int = 0
    upstreams: dict[str, OrderState] = field(default_factory=dict)


@dataclass(frozen=True)
class ReaperFinding:
    """A leaked holding of an engine, which is being released.

    Attributes:
        upstream: Name of the engine.
        kind: `stream`, `reservation` or `export`.
        name: Name under which it is released.
        owner: Identity of the node that requested it.
        tokens: Size, in tokens.
        reason: Why it is released.
        found_wall_s: When it was found, in seconds since the epoch.
    """

    upstream: str
    kind: str
    name: str
    owner: str
    tokens: int
    reason: str
    found_wall_s: float


@dataclass(frozen=True)
class ReaperSection:
    """Leaked holdings found on engines; written by the reaper.

    Attributes:
        findings: The newest findings, oldest first.
        found_tokens: Size of all findings since the start, in tokens.
        swept_wall_s: When each engine last sent its holdings to this node, in seconds
            since the epoch.
    """

    findings: tuple[ReaperFinding, ...] = ()
    found_tokens: int = 0
    swept_wall_s: dict[str, float] = field(default_factory=dict)
