"""What requests have in common that may crash upstreams, and which of it does.

A crash ends all requests on its upstream, so each of them is a possible cause, and so
is each part of their prompts that other prompts share. What was answered after a crash
did not cause it. What remains is compared over several crashes: the cause is in all of
them.

Load pattern: prompts that differ except for one part crash one upstream after the
other, while sound prompts run beside them and share their other parts.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from lagoonhinge_core.forwarding.messages import CallerRequest

CRASHES_TO_QUARANTINE = 3  # a harmless request rarely has so many
# Upstreams that end closer together may have a common cause outside of the requests,
# such as a power failure.
COMMON_FAILURE_S = 0.2
# Of the upstreams that ended together, those that a part must explain: two parts may
# crash upstreams at the same time.
MIN_EXPLAINED_SHARE = 0.5
# Sound prompts with the same part are answered meanwhile, and other nodes report what
# else ran on the upstream.
SETTLE_S = 1.0
DIGEST_BYTES = 12
PART_PREFIX = "part "


@dataclass(frozen=True)
class PossibleCauses:
    """What in a request may crash an upstream; the same on all nodes.

    Attributes:
        digest: Digest of its content and client account.
        parts: The shared parts of its prompt.
    """

    digest: str
    parts: tuple[str, ...] = ()

    def all(self) -> frozenset[str]:
        """Return the digest and the parts."""
        return frozenset((self.digest, *self.parts))


def part_causes(request: CallerRequest) -> tuple[str, ...]:
    """Return the possible causes that a request shares with others."""
    return tuple(PART_PREFIX + part for part in request.shared_parts)


def digest_request(request: CallerRequest, account: str | None) -> str:
    """Return a digest of a request's content and account, the same on all nodes."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (request.method, request.host, request.target, account or ""):
        digest.update(text.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def find_causes(
    crashes_s: Mapping[str, Mapping[str, float]], now_s: float
) -> tuple[frozenset[str], ...]:
    """Return what crashes upstreams.

    A cause that explains most crashes goes first, and the crashes that it explains
    don't count for others. Where several have the same crashes, a request is the cause
    only if it has all of them, so that sound requests with some of them are served, and
    their answers show the cause.

    Args:
        crashes_s: When each upstream ended, in seconds, for each possible cause.
        now_s: The time, in seconds.

    Returns:
        Causes; each is a set that a request must have in full.
    """
    ends_s: dict[str, float] = {}
    for times_s in crashes_s.values():
        for upstream, at_s in times_s.items():
            ends_s[upstream] = min(at_s, ends_s.get(upstream, at_s))
    all_ends_s = sorted(ends_s.values())
    unexplained = {
        cause: frozenset(upstreams)
        for cause, times_s in crashes_s.items()
        if (upstreams := _attributable(cause, times_s, all_ends_s, now_s))
    }
    causes: list[frozenset[str]] = []
    while unexplained:
        most = max(len(upstreams) for upstreams in unexplained.values())
        if most < CRASHES_TO_QUARANTINE:
            break
        explained = min(
            (upstreams for upstreams in unexplained.values() if len(upstreams) == most),
            key=sorted,
        )
        causes.append(
            frozenset(
                cause
                for cause, upstreams in unexplained.items()
                if upstreams == explained
            )
        )
        unexplained = {
            cause: rest
            for cause, upstreams in unexplained.items()
            if (rest := upstreams - explained)
        }
    return tuple(causes)


def _attributable(
    cause: str,
    times_s: Mapping[str, float],
    all_ends_s: Sequence[float],
    now_s: float,
) -> Collection[str]:
    """Return the upstreams whose end a cause may explain; none if too few."""
    if not cause.startswith(PART_PREFIX):
        return times_s.keys()
    own_ends_s = sorted(times_s.values())
    explained_s = {
        upstream: at_s
        for upstream, at_s in times_s.items()
        if now_s - at_s >= SETTLE_S
        and _count_near(own_ends_s, at_s)
        >= MIN_EXPLAINED_SHARE * _count_near(all_ends_s, at_s)
    }
    if _count_moments(explained_s.values()) < CRASHES_TO_QUARANTINE:
        return ()
    return explained_s.keys()


def _count_near(sorted_s: Sequence[float], at_s: float) -> int:
    """Return how many times are near enough for a common failure."""
    first = bisect_left(sorted_s, at_s - COMMON_FAILURE_S)
    return bisect_right(sorted_s, at_s + COMMON_FAILURE_S) - first


def _count_moments(times_s: Iterable[float]) -> int:
    """Return how many times are apart by more than common failures."""
    count, last_s = 0, float("-inf")
    for at_s in sorted(times_s):
        if at_s - last_s > COMMON_FAILURE_S:
            count, last_s = count + 1, at_s
    return count
