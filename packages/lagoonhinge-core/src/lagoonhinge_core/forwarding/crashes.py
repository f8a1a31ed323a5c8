"""Quarantine of requests that crash the upstreams that run them.

An attempt that breaks off makes its request suspected of crashing the upstream. If that
upstream is then found to have ended, the crash is confirmed. A request with confirmed
crashes of several upstreams, and no successful answer to an identical request
meanwhile, is refused for a while, for all callers and at every node.
"""

from dataclasses import dataclass, field
from hashlib import blake2b

from lagoonhinge_core.forwarding.messages import CallerRequest

CRASHES_TO_QUARANTINE = 3  # a harmless request rarely has so many within QUARANTINE_S
QUARANTINE_S = 60.0  # longer than callers keep retrying
# Detecting that an upstream ended takes less: its row expires after some seconds, and a
# connection is refused sooner.
SUSPECT_TTL_S = 6.0
GOSSIP_DURATION_S = 1.0  # crashes are sent repeatedly, as datagrams may be lost
DIGEST_BYTES = 12
# Entries of each kind; a network partition breaks off some tens of attempts per node.
MAX_ENTRIES = 1000
MAX_GOSSIPED = 100  # crashes per message, so that it fits into a datagram


@dataclass(frozen=True)
class Crash:
    """An upstream that ended while it ran a request.

    Attributes:
        request: Digest of the request.
        instance: The upstream.
    """

    request: str
    instance: str


def digest_request(request: CallerRequest, account: str | None) -> str:
    """Return a digest of a request's content and account, the same on all nodes."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (request.method, request.host, request.target, account or ""):
        digest.update(text.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


@dataclass
class CrashTracker:
    """Suspected and confirmed crashes at one node, each with a time in seconds.

    Attributes:
        suspected: Time at which the attempt broke off.
        confirmed: Time at which each crash was recorded.
        gossiped: Crashes that this node detected and still sends to its peers, with
            the time of detection.
    """

    suspected: dict[Crash, float] = field(default_factory=dict)
    confirmed: dict[Crash, float] = field(default_factory=dict)
    gossiped: dict[Crash, float] = field(default_factory=dict)

    def is_empty(self) -> bool:
        """Return whether there are no suspected or confirmed crashes."""
        return not self.suspected and not self.confirmed

    def add_suspect(self, request: str, instance: str, now_s: float) -> None:
        """Record an attempt that broke off while its upstream ran it."""
        self._expire(now_s)
        crash = Crash(request, instance)
        self.suspected.pop(crash, None)
        self.suspected[crash] = now_s

    def confirm_crashes(self, instance: str, now_s: float) -> tuple[Crash, ...]:
        """Confirm the suspected crashes of an upstream that has ended.

        Returns:
            The crashes confirmed by this call.
        """
        self._expire(now_s)
        confirmed = tuple(
            crash for crash in self.suspected if crash.instance == instance
        )
        for crash in confirmed:
            for entries in (self.suspected, self.confirmed, self.gossiped):
                entries.pop(crash, None)
            self.confirmed[crash] = self.gossiped[crash] = now_s
        return confirmed

    def suspected_instances(self, now_s: float) -> frozenset[str]:
        """Return the upstreams that have suspected crashes."""
        self._expire(now_s)
        return frozenset(crash.instance for crash in self.suspected)

    def clear_instance(self, instance: str) -> None:
        """Drop the suspected crashes of an upstream that is still running."""
        for crash in [crash for crash in self.suspected if crash.instance == instance]:
            del self.suspected[crash]

    def merge(self, crashes: tuple[Crash, ...], now_s: float) -> None:
        """Add crashes that a peer detected."""
        for crash in crashes:
            self.confirmed.setdefault(crash, now_s)
        self._expire(now_s)

    def crashes_to_gossip(self, now_s: float) -> tuple[Crash, ...]:
        """Return the crashes to send to peers."""
        self._expire(now_s)
        return tuple(self.gossiped)[-MAX_GOSSIPED:]

    def clear_request(self, request: str) -> None:
        """Drop all crashes of a request that was answered successfully."""
        for entries in (self.suspected, self.confirmed, self.gossiped):
            for crash in [crash for crash in entries if crash.request == request]:
                del entries[crash]

    def remaining_quarantine_s(self, request: str, now_s: float) -> float:
        """Return the rest of a request's quarantine, in seconds; 0 if there is none."""
        self._expire(now_s)
        times = [
            at_s for crash, at_s in self.confirmed.items() if crash.request == request
        ]
        if len(times) < CRASHES_TO_QUARANTINE:
            return 0.0
        return max(times) + QUARANTINE_S - now_s

    def may_retry(self, request: str, now_s: float) -> bool:
        """Return whether a request may be retried after an attempt that broke off."""
        self._expire(now_s)
        crashes = {*self.suspected, *self.confirmed}
        return (
            sum(crash.request == request for crash in crashes) < CRASHES_TO_QUARANTINE
        )

    def _expire(self, now_s: float) -> None:
        for entries, lifetime_s in (
            (self.suspected, SUSPECT_TTL_S),
            (self.confirmed, QUARANTINE_S),
            (self.gossiped, GOSSIP_DURATION_S),
        ):
            # Entries are ordered by time, oldest first.
            while entries:
                oldest, at_s = next(iter(entries.items()))
                if now_s - at_s <= lifetime_s and len(entries) <= MAX_ENTRIES:
                    break
                del entries[oldest]
