"""Messages between the nodes of a site."""

from dataclasses import dataclass, field

from lagoonhinge_core.in_flight import UpstreamWork


@dataclass(frozen=True)
class Strike:
    """A prompt that was running on an upstream when the upstream crashed.

    Attributes:
        fingerprint: Digest of the request, the same at every node.
        upstream: Name of the upstream.
        boot: Boot of the upstream that crashed, so that each crash counts once.
        at_wall_s: Time of the strike, in seconds since the epoch.
    """

    fingerprint: str
    upstream: str
    boot: str
    at_wall_s: float


@dataclass(frozen=True)
class Quarantine:
    """A prompt that is refused for a time because it crashes upstreams."""

    fingerprint: str
    until_wall_s: float


@dataclass(frozen=True)
class PeerContact:
    """Address of a node, for peers that have no digest of it yet.

    Attributes:
        vm: Name of its VM.
        address: Host and port of its control listener.
        zone: Availability zone.
    """

    vm: str
    address: str
    zone: str


@dataclass(frozen=True)
class PeerUnreachable:
    """A peer that returned no usable answer."""

    address: str
    reason: str


@dataclass(frozen=True)
class PeerDigest:
    """State of a node, sent to its peers about once a second.

    Attributes:
        node: Identity of the sender, as written by `NodeId`.
        seq: Incremented with each digest; older digests are dropped.
        address: Host and port of the sender's control listener.
        zone: Availability zone of the sender.
        config_version: Version in force at the sender.
        stopping: Whether the sender is about to stop.
        work: The sender's work in flight by upstream name.
        demand_tokens_per_s: Offered load by client account.
        demand_number: Incremented with each change of that load.
        demand_heard: Newest such number received from each peer incarnation.
        strikes: Recent strikes known to the sender.
        quarantines: Quarantines known to the sender.
        leaving: Upstreams that the sender itself detected as leaving, each as written
            by `leaving_mark`.
    """

    node: str
    seq: int
    address: str
    zone: str
    config_version: int
    stopping: bool = False
    work: dict[str, UpstreamWork] = field(default_factory=dict)
    demand_tokens_per_s: dict[str, float] = field(default_factory=dict)
    demand_number: int = 0
    demand_heard: dict[str, int] = field(default_factory=dict)
    strikes: tuple[Strike, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    leaving: tuple[str, ...] = ()


def leaving_mark(upstream: str, generation: int) -> str:
    """Return the mark of a leaving upstream, as written in digests."""
    return f"{upstream}@{generation}"
