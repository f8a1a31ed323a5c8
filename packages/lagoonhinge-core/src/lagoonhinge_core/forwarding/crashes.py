"""Requests that crash the upstreams that run them.

A send that breaks off makes its request a suspect in what happens to the upstream. If
that upstream is then found to be gone, the request was in a crash. A request that was
in the crashes of several upstreams, with none of its like answered meanwhile, is
refused for a while, whoever sends it next and at whichever node.
"""

from dataclasses import dataclass, field
from hashlib import blake2b

from lagoonhinge_core.forwarding.messages import CallerRequest

CRASHES_TO_REFUSE = 3  # an innocent request rarely meets so many in the time below
REFUSE_S = 60.0  # longer than callers come back for
# Within which an upstream that crashed is found to be gone: its row lapses after some
# seconds, a connection is refused sooner.
SUSPECT_S = 6.0
TELL_S = 1.0  # for which a crash is told to peers, as datagrams may be lost
DIGEST_BYTES = 12
# Most entries of each kind; a partition breaks off some tens of sends at each node.
MAX_ENTRIES = 1000
MAX_TOLD = 100  # in one message, which so stays within a datagram


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
    """Return a digest of what a request asks and for whom, the same on all nodes."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (request.method, request.host, request.target, account or ""):
        digest.update(text.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


@dataclass
class CrashBook:
    """What a node knows of requests in crashes.

    Attributes:
        suspects: When sends of a request to an upstream broke off, by both.
        crashes: When each crash was learnt.
        found: When this node found the crashes that it tells its peers.
    """

    suspects: dict[Crash, float] = field(default_factory=dict)
    crashes: dict[Crash, float] = field(default_factory=dict)
    found: dict[Crash, float] = field(default_factory=dict)

    def is_empty(self) -> bool:
        """Return whether nothing is held against any request."""
        return not self.suspects and not self.crashes

    def broke_off(self, request: str, instance: str, now_s: float) -> None:
        """Count a send that broke off while its upstream ran it."""
        self._expire(now_s)
        crash = Crash(request, instance)
        self.suspects.pop(crash, None)
        self.suspects[crash] = now_s

    def gone(self, instance: str, now_s: float) -> tuple[Crash, ...]:
        """Take that an upstream is gone.

        Returns:
            The crashes that this shows.
        """
        self._expire(now_s)
        shown = tuple(crash for crash in self.suspects if crash.instance == instance)
        for crash in shown:
            for entries in (self.suspects, self.crashes, self.found):
                entries.pop(crash, None)
            self.crashes[crash] = self.found[crash] = now_s
        return shown

    def doubtful(self, now_s: float) -> frozenset[str]:
        """Return the upstreams of which it is not known whether they are gone."""
        self._expire(now_s)
        return frozenset(crash.instance for crash in self.suspects)

    def alive(self, instance: str) -> None:
        """Take that an upstream is there, so that no request has crashed it."""
        for crash in [crash for crash in self.suspects if crash.instance == instance]:
            del self.suspects[crash]

    def hear(self, crashes: tuple[Crash, ...], now_s: float) -> None:
        """Take crashes that a peer found."""
        for crash in crashes:
            self.crashes.setdefault(crash, now_s)
        self._expire(now_s)

    def news(self, now_s: float) -> tuple[Crash, ...]:
        """Return the crashes that peers are to be told of."""
        self._expire(now_s)
        return tuple(self.found)[-MAX_TOLD:]

    def answered(self, request: str) -> None:
        """Clear a request whose like has been answered."""
        for entries in (self.suspects, self.crashes, self.found):
            for crash in [crash for crash in entries if crash.request == request]:
                del entries[crash]

    def refused_for_s(self, request: str, now_s: float) -> float:
        """Return how much longer a request is refused, in seconds; 0 if it is not."""
        self._expire(now_s)
        times = [
            at_s for crash, at_s in self.crashes.items() if crash.request == request
        ]
        if len(times) < CRASHES_TO_REFUSE:
            return 0.0
        return max(times) + REFUSE_S - now_s

    def may_send_again(self, request: str, now_s: float) -> bool:
        """Return whether a request whose send broke off may go to another upstream."""
        self._expire(now_s)
        found = {*self.suspects, *self.crashes}
        return sum(crash.request == request for crash in found) < CRASHES_TO_REFUSE

    def _expire(self, now_s: float) -> None:
        for entries, lifetime_s in (
            (self.suspects, SUSPECT_S),
            (self.crashes, REFUSE_S),
            (self.found, TELL_S),
        ):
            # Entries stand in order of time, so that the oldest come first.
            while entries:
                oldest, at_s = next(iter(entries.items()))
                if now_s - at_s <= lifetime_s and len(entries) <= MAX_ENTRIES:
                    break
                del entries[oldest]
