"""Messages between the nodes of a site."""

from dataclasses import dataclass, field

from lagoonhinge_core.in_flight import UpstreamWork


@dataclass(frozen=True)
class Strike:
    """A prompt that was running on an upstream when the upstream died.

    Attributes:
        fingerprint: Digest of the request, the same wherever it arrives.
        upstream: The upstream.
        boot: The run of the upstream that died, so that each death counts once.
        at_wall_s: When, in seconds since the epoch.
    """

    fingerprint: str
    upstream: str
    boot: str
    at_wall_s: float


@dataclass(frozen=True)
class Quarantine:
    """A prompt that is refused for a time because it kills upstreams."""

    fingerprint: str
    until_wall_s: float


@dataclass(frozen=True)
class PeerContact:
    """Where a node is reached, for peers that do not know it yet.

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
    """A peer that gave no usable answer."""

    address: str
    reason: str


@dataclass(frozen=True)
class PeerDigest:
    """What a node tells its peers about itself, about once a second.

    Attributes:
        node: Identity of the sender, as written by `NodeId`.
        seq: Raised with each digest; an older one is dropped.
        address: Host and port of the sender's control listener.
        zone: Availability zone of the sender.
        config_version: Version in force at the sender.
        stopping: Whether the sender is about to stop.
        work: The sender's work in flight by upstream name.
        demand_tokens_per_s: Offered load by client account.
        demand_number: Raised with each change of that load.
        demand_heard: Newest such number held of each other node's run.
        strikes: Recent strikes known to the sender.
        quarantines: Quarantines known to the sender.
        leaving: Upstreams that the sender itself found to be leaving, each as written
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
    """Return the form in which a leaving upstream is named to peers."""
    return f"{upstream}@{generation}"
