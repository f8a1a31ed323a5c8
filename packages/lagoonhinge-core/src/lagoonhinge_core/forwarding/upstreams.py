"""The upstreams listed by the platform, and which of them may get new requests."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b


@dataclass(frozen=True, order=True)
class UpstreamRun:
    """Identity of one run of an upstream, which may start again under its name.

    Attributes:
        instance: Name of the upstream.
        started_ms: Start, in milliseconds since the epoch; 0 if it is not reported.
    """

    instance: str
    started_ms: int = 0


@dataclass(frozen=True)
class Upstream:
    """One run of an upstream.

    Attributes:
        instance: Identity of this run; requests carry it, so that another upstream
            at the same address rejects them.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        slots: Requests that it serves concurrently.
        leaving: Whether it is draining and must get no new requests.
        started_ms: Start, in milliseconds since the epoch; 0 if it is not reported.
        cold_s: For how long it was still cold when it last reported, in seconds.
    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    cold_s: float = field(default=0.0, compare=False)

    def address(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"

    def run(self) -> UpstreamRun:
        """Return the identity of this run."""
        return UpstreamRun(self.instance, self.started_ms)


def stable_rank(name: str) -> bytes:
    """Return a sort key for a name, spread evenly and the same on all nodes."""
    return blake2b(name.encode(), digest_size=8).digest()


class UpstreamDirectory:
    """Upstreams by instance and by service."""

    def __init__(self) -> None:
        self.by_instance: dict[str, Upstream] = {}
        self.by_service: dict[str, tuple[Upstream, ...]] = {}

    def update(self, changed: Iterable[Upstream], removed: Iterable[str]) -> None:
        """Apply changes of single upstreams.

        Args:
            changed: New and changed upstreams.
            removed: Instances that are no longer listed.
        """
        for instance in removed:
            self.by_instance.pop(instance, None)
        for entry in changed:
            self.by_instance[entry.instance] = entry
        self._regroup()

    def usable(self, service: str) -> tuple[Upstream, ...]:
        """Return a service's upstreams that may get new requests, in stable order."""
        return self.by_service.get(service, ())

    def _regroup(self) -> None:
        groups: dict[str, list[Upstream]] = {}
        for entry in sorted(
            self.by_instance.values(), key=lambda u: stable_rank(u.instance)
        ):
            if not entry.leaving:
                groups.setdefault(entry.service, []).append(entry)
        self.by_service = {name: tuple(group) for name, group in groups.items()}
