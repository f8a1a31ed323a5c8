"""What requests have in common that may crash upstreams, and which of it does.

A crash ends all requests on its upstream, so each of them is a possible cause, and so
is each part of their prompts that other prompts share. What was answered after a crash
did not cause it. What remains is compared over several crashes: the cause is in all of
them. What the crashes can't tell apart is all held back, and trials tell it apart.

Load patterns: prompts that differ except for one part crash one upstream after the
other, while sound prompts run beside them and share their other parts. A request that
is sent again and again crashes them, while the same sound request is beside it each
time.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Collection, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, replace
from hashlib import blake2b

from lagoonhinge_core.forwarding.messages import CallerRequest
from lagoonhinge_core.forwarding.upstreams import UpstreamRun

CRASHES_TO_QUARANTINE = 3  # a harmless request rarely has so many
# Parts with the same crashes are refused only together until so many; from then on
# each of them is, since there may be no request that has them all.
CRASHES_TO_SEPARATE = 5
# Upstreams that end closer together may have a common cause outside of the requests,
# such as a power failure.
COMMON_FAILURE_S = 0.2
# Moments at which upstreams must have ended under a part, as they may end together for
# another reason. After five crashes it must be found, also if they came in a burst: at
# one moment if all that ended had the part, and others answered soon after it.
MOMENTS = 3
MOMENTS_OF_MANY = 2
# Of the upstreams that ended together, those that a part must explain: of two parts
# that crash upstreams at the same time, one may have two of five at a moment.
MIN_EXPLAINED_SHARE = 0.4
# Sound prompts with the same part are answered meanwhile, and other nodes report what
# else ran on the upstream.
SETTLE_S = 1.0
# A part crashes upstreams as they begin to write, and a first event may still get out.
# An event this long after it shows that the parts of its prompt crash nothing, and so
# does each further one after the same time. Two fit into the time until a crash counts.
PROGRESS_INTERVAL_S = SETTLE_S / 2
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


@dataclass(frozen=True)
class FoundCause:
    """What crashes upstreams, as far as the crashes tell.

    Attributes:
        causes: Possible causes, all of which a request must have to be refused.
        upstreams: The runs of upstreams that ended.
        is_disputed: Whether another one, or several narrower parts, explain so many of
            the crashes that the rest is not enough, or all were at one moment; a trial
            can tell.
    """

    causes: frozenset[str]
    upstreams: frozenset[UpstreamRun]
    is_disputed: bool = False

    def is_part(self) -> bool:
        """Return whether it is parts of prompts, and not a request."""
        return all(map(is_part, self.causes))


def find_causes(
    crashes_s: Mapping[str, Mapping[UpstreamRun, float]],
    now_s: float,
    outlived: Set[UpstreamRun] = frozenset(),
) -> tuple[FoundCause, ...]:
    """Return what crashes upstreams.

    A request is a cause by its own crashes, whatever else has them: if it is sent again
    until they tell it from others, it crashes more upstreams. Sound requests share
    parts, so of the parts only the one that explains most crashes is a cause, and those
    crashes don't count for others.

    Args:
        crashes_s: When each run of an upstream ended, in seconds, for each possible
            cause.
        now_s: The time, in seconds.
        outlived: Runs soon after whose end another upstream answered.

    Returns:
        Causes, each of which one request can have.
    """
    found = [
        FoundCause(frozenset((cause,)), frozenset(times_s))
        for cause, times_s in crashes_s.items()
        if not is_part(cause) and len(times_s) >= CRASHES_TO_QUARANTINE
    ]
    by_requests = frozenset[UpstreamRun]().union(*(entry.upstreams for entry in found))
    found += _find_parts(crashes_s, by_requests, now_s, outlived)
    return tuple(
        replace(
            cause,
            is_disputed=cause.is_disputed or _is_explained_by_other(cause, found),
        )
        for cause in found
    )


def _find_parts(
    crashes_s: Mapping[str, Mapping[UpstreamRun, float]],
    by_requests: frozenset[UpstreamRun],
    now_s: float,
    outlived: Set[UpstreamRun],
) -> list[FoundCause]:
    """Return the parts of prompts that explain more crashes than anything else.

    Where several parts have the same crashes, a request is refused only if it has all
    of them, so that sound requests with some of them are served, and their answers show
    the cause. Where a request has the same crashes as parts, the parts are not causes.

    Args:
        crashes_s: When each run of an upstream ended, in seconds, for each possible
            cause.
        by_requests: Upstreams that ended under requests that are causes.
        now_s: The time, in seconds.
        outlived: Runs soon after whose end another upstream answered.
    """
    ends_s: dict[UpstreamRun, float] = {}
    for times_s in crashes_s.values():
        for upstream, at_s in times_s.items():
            ends_s[upstream] = min(at_s, ends_s.get(upstream, at_s))
    found: list[FoundCause] = []
    explained = by_requests
    unexplained = {c: frozenset(times_s) for c, times_s in crashes_s.items()}
    while True:
        # Ends that something else explains are no failures in common with the others.
        open_ends_s = sorted(
            at_s for upstream, at_s in ends_s.items() if upstream not in explained
        )
        attributable = {
            cause: rest
            for cause, upstreams in unexplained.items()
            if len(upstreams) >= CRASHES_TO_QUARANTINE
            and (
                rest := upstreams
                & _attributable(
                    cause, crashes_s[cause], open_ends_s, explained, now_s, outlived
                )
            )
        }
        most = max(map(len, attributable.values()), default=0)
        if most < CRASHES_TO_QUARANTINE:
            return found
        largest = min(
            (
                upstreams
                for upstreams in attributable.values()
                if len(upstreams) == most
            ),
            key=sorted,
        )
        equal = [c for c, upstreams in attributable.items() if upstreams == largest]
        if all(map(is_part, equal)):
            separate = len(largest) >= CRASHES_TO_SEPARATE
            sets = [(cause,) for cause in equal] if separate else [equal]
            narrower = [
                crashes_s[cause].keys()
                for cause, upstreams in unexplained.items()
                if is_part(cause)
                and len(crashes_s[cause]) >= CRASHES_TO_QUARANTINE
                and len(upstreams & largest) < len(largest)
            ]
            # Two parts may crash upstreams under prompts that share a third.
            rest = largest.difference(*narrower)
            is_divided = len(rest) < CRASHES_TO_QUARANTINE
            ends_of_largest_s = [ends_s[upstream] for upstream in largest]
            is_burst = _count_moments(ends_of_largest_s) < MOMENTS_OF_MANY
            found += [
                FoundCause(frozenset(s), largest, is_divided or is_burst) for s in sets
            ]
        explained |= largest
        unexplained = {c: ups - largest for c, ups in unexplained.items()}


def _is_explained_by_other(cause: FoundCause, found: Iterable[FoundCause]) -> bool:
    """Return whether another cause leaves too few crashes that only this one had."""
    return any(
        len(cause.upstreams - other.upstreams) < CRASHES_TO_QUARANTINE
        for other in found
        if other.causes != cause.causes
    )


def is_part(cause: str) -> bool:
    """Return whether a possible cause is a part of prompts, and not a request."""
    return cause.startswith(PART_PREFIX)


def _attributable(
    cause: str,
    times_s: Mapping[UpstreamRun, float],
    open_ends_s: Sequence[float],
    explained: Collection[UpstreamRun],
    now_s: float,
    outlived: Set[UpstreamRun],
) -> Set[UpstreamRun]:
    """Return the upstreams whose end a cause may explain; none if too few.

    Args:
        cause: The cause.
        times_s: When upstreams ended under requests that had it, in seconds.
        open_ends_s: When upstreams ended of which no cause is known, sorted.
        explained: The upstreams of which a cause is known.
        now_s: The time, in seconds.
        outlived: Runs soon after whose end another upstream answered.
    """
    if not is_part(cause):
        return times_s.keys()
    own_s = sorted(times_s.values())
    own_open_s = sorted(at_s for name, at_s in times_s.items() if name not in explained)
    attributed_s: dict[UpstreamRun, float] = {}
    ended_without = False  # upstreams at the same moments, under prompts without it
    for upstream, at_s in times_s.items():
        own = _count_near(own_s, at_s)
        others = _count_near(open_ends_s, at_s) - _count_near(own_open_s, at_s)
        if now_s - at_s >= SETTLE_S and own >= MIN_EXPLAINED_SHARE * (own + others):
            attributed_s[upstream] = at_s
            ended_without |= others > 0
    moments = MOMENTS
    if len(attributed_s) >= CRASHES_TO_SEPARATE:
        is_contrasted = not ended_without and not outlived.isdisjoint(attributed_s)
        moments = 1 if is_contrasted else MOMENTS_OF_MANY
    if _count_moments(attributed_s.values()) < moments:
        return frozenset()
    return attributed_s.keys()


def is_soon_after(end_s: float, answered_s: float) -> bool:
    """Return whether an answer shows that not all upstreams ended at a moment.

    Before, one of those that ended may have sent it; later, one that started again.
    """
    return COMMON_FAILURE_S < answered_s - end_s <= SETTLE_S


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
