"""Exact counts of this node's work on each upstream."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamWork:
    """Work in flight on one upstream.

    Attributes:
        requests: Attempts in flight.
        tokens: Their tokens, prompt and output.
        long_requests: Attempts in flight of the long class.
        prefill_tokens: Prompt tokens of attempts without a first token yet.
        long_prefill_tokens: Part of `prefill_tokens` that is of the long class.
    """

    requests: int = 0
    tokens: int = 0
    long_requests: int = 0
    prefill_tokens: int = 0
    long_prefill_tokens: int = 0

    def plus(self, other: "UpstreamWork") -> "UpstreamWork":
        """Return the sum of both."""
        return UpstreamWork(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.long_requests + other.long_requests,
            self.prefill_tokens + other.prefill_tokens,
            self.long_prefill_tokens + other.long_prefill_tokens,
        )


@dataclass(frozen=True)
class InFlightWork:
    """Work of this node by upstream name, for the state dump and gossip."""

    by_upstream: dict[str, UpstreamWork]


@dataclass(frozen=True)
class WorkItem:
    """One attempt in flight."""

    upstream: str
    prompt_tokens: int
    total_tokens: int
    is_long: bool


MAX_RECENT_CHANGES = 32
NO_WORK = UpstreamWork()


class InFlightLedger:
    """Counts attempts by upstream; each start needs exactly one finish or removal."""

    def __init__(self) -> None:
        self.by_upstream: dict[str, UpstreamWork] = {}
        self.open_items: dict[str, WorkItem] = {}
        self.prefilling: set[str] = set()
        self.on_capacity_freed: list[Callable[[], None]] = []
        self.changes = 0
        self.recently_changed: deque[str] = deque(maxlen=MAX_RECENT_CHANGES)

    def start(self, attempt: str, item: WorkItem) -> None:
        """Count an attempt from its dispatch."""
        assert attempt not in self.open_items, f"attempt {attempt} started twice"
        self.open_items[attempt] = item
        self.prefilling.add(attempt)
        self._add(item, 1, item.prompt_tokens)

    def first_token(self, attempt: str) -> None:
        """Count the attempt's prompt as processed."""
        if attempt in self.prefilling:
            self.prefilling.remove(attempt)
            item = self.open_items[attempt]
            self._add(item, 0, -item.prompt_tokens)
            self._notify_capacity_freed()

    def finish(self, attempt: str) -> None:
        """Stop counting an attempt."""
        self.remove(attempt)
        self._notify_capacity_freed()

    def remove(self, attempt: str) -> None:
        """Stop counting an attempt that another one replaces at once; no callbacks."""
        item = self.open_items.pop(attempt)
        was_prefilling = attempt in self.prefilling
        self.prefilling.discard(attempt)
        self._add(item, -1, -item.prompt_tokens if was_prefilling else 0)

    def work(self, upstream: str) -> UpstreamWork:
        """Return the work in flight on one upstream."""
        return self.by_upstream.get(upstream, NO_WORK)

    def changed_since(self, changes: int) -> Iterable[str] | None:
        """Return the upstreams changed since a value of `changes`.

        Returns:
            The upstreams, or `None` if too many changes were made since.
        """
        count = self.changes - changes
        if count > len(self.recently_changed):
            return None
        recent = self.recently_changed
        return [recent[-n] for n in range(1, count + 1)]

    def snapshot(self) -> InFlightWork:
        """Return all counts, for the blackboard."""
        return InFlightWork(dict(self.by_upstream))

    def _add(self, item: WorkItem, sign: int, prefill_tokens: int) -> None:
        self.changes += 1
        self.recently_changed.append(item.upstream)
        old = self.work(item.upstream)
        new = UpstreamWork(
            requests=old.requests + sign,
            tokens=old.tokens + sign * item.total_tokens,
            long_requests=old.long_requests + sign * item.is_long,
            prefill_tokens=old.prefill_tokens + prefill_tokens,
            long_prefill_tokens=(
                old.long_prefill_tokens + item.is_long * prefill_tokens
            ),
        )
        if new == NO_WORK:
            self.by_upstream.pop(item.upstream, None)
        else:
            self.by_upstream[item.upstream] = new

    def _notify_capacity_freed(self) -> None:
        for callback in self.on_capacity_freed:
            callback()


def sum_work(
    counts: Iterable[Mapping[str, UpstreamWork]], previous: Mapping[str, UpstreamWork]
) -> dict[str, UpstreamWork]:
    """Return the sum of several counts by upstream name.

    Args:
        counts: The counts.
        previous: An earlier sum; its unchanged values are reused, so that readers can
            detect changes by identity.
    """
    sums: dict[str, UpstreamWork] = {}
    for by_upstream in counts:
        for name, work in by_upstream.items():
            old = sums.get(name)
            sums[name] = work if old is None else old.plus(work)
    for name, work in sums.items():
        earlier = previous.get(name)
        if earlier == work:
            sums[name] = earlier
    return sums
