"""Start-time fair queueing of requests by client account, in tokens."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count
from math import inf

MAX_STALE_ENTRIES = 64


@dataclass(frozen=True)
class QueueItem:
    """One queued request.

    Attributes:
        request_id: Identity of the request.
        account: Client account.
        tokens: Size of the request, in tokens.
        weight: Weight of the account relative to others.
    """

    request_id: str
    account: str
    tokens: int
    weight: float = 1.0


@dataclass
class AccountFlow:
    """Queued requests of one account.

    Attributes:
        finish_tag: Virtual finish time of its newest request.
        tokens: Sum of its queued tokens.
        weight: Weight of the account.
        items: Queued requests by identity, oldest first.
    """

    finish_tag: float = 0.0
    tokens: int = 0
    weight: float = 1.0
    items: dict[str, QueueItem] = field(default_factory=dict)

    def load(self) -> float:
        """Return the queued tokens divided by the weight."""
        return self.tokens / self.weight


class FairQueue:
    """A queue that gives each account its weighted share of dispatched tokens.

    Virtual time is the start tag of the last dispatched request. The start tag of an
    account below its share may precede it by a bounded credit, so that a burst of a
    light account doesn't wait behind the backlog of a heavy one. Longer idle time
    earns no more credit.

    Args:
        idle_credit_tokens: Maximum credit of an account of weight 1, in tokens.
    """

    def __init__(self, idle_credit_tokens: float = 0.0) -> None:
        self.idle_credit_tokens = idle_credit_tokens
        self.virtual_time = 0.0
        self.tokens = 0
        self.active_weight = 0.0
        self.items: dict[str, QueueItem] = {}
        self.flows: dict[str, AccountFlow] = {}
        self.dispatch_heap: list[tuple[float, int, str]] = []
        self.load_heap: list[tuple[float, str]] = []
        self.sequence = count()

    def __len__(self) -> int:
        return len(self.items)

    def push(self, item: QueueItem) -> None:
        """Add a request."""
        assert item.request_id not in self.items, f"{item.request_id} queued twice"
        flow = self.flows.setdefault(item.account, AccountFlow(finish_tag=-inf))
        if not flow.items:
            flow.weight = item.weight
            self.active_weight += flow.weight
        start_tag = max(self._min_start_tag(), flow.finish_tag)
        flow.finish_tag = start_tag + item.tokens / flow.weight
        flow.items[item.request_id] = item
        self.items[item.request_id] = item
        heappush(self.dispatch_heap, (start_tag, next(self.sequence), item.request_id))
        self._adjust_counts(item, flow, 1)

    def head(self) -> QueueItem | None:
        """Return the next request without removing it."""
        while self.dispatch_heap:
            item = self.items.get(self.dispatch_heap[0][2])
            if item is not None:
                return item
            heappop(self.dispatch_heap)
        return None

    def pop(self) -> QueueItem:
        """Remove and return the next request."""
        item = self.head()
        assert item is not None, "the queue is empty"
        start_tag, _, _ = heappop(self.dispatch_heap)
        self.virtual_time = max(self.virtual_time, start_tag)
        self._remove(item)
        return item

    def cancel(self, request_id: str) -> None:
        """Remove a request without charging its account."""
        item = self.items[request_id]
        flow = self.flows[item.account]
        flow.finish_tag -= item.tokens / flow.weight
        self._remove(item)

    def tokens_ahead(self, account: str, weight: float) -> float:
        """Estimate how many tokens are dispatched before an account's next request."""
        flow = self.flows.get(account)
        if flow is None:
            return 0.0
        active = self.active_weight + (0.0 if flow.items else weight)
        lead = max(0.0, flow.finish_tag - self.virtual_time)
        by_share = min(float(self.tokens), lead * active)
        return max(by_share, float(flow.tokens))

    def heaviest_account(self) -> str | None:
        """Return the account with the most queued tokens relative to its weight."""
        while self.load_heap:
            load, account = self.load_heap[0]
            flow = self.flows.get(account)
            if flow is not None and flow.items and -load == flow.load():
                return account
            heappop(self.load_heap)
        return None

    def load(self, account: str) -> float:
        """Return an account's queued tokens divided by its weight."""
        flow = self.flows.get(account)
        return 0.0 if flow is None else flow.load()

    def newest(self, account: str) -> QueueItem:
        """Return the newest queued request of an account."""
        items = self.flows[account].items
        return items[next(reversed(items))]

    def in_order(self) -> list[QueueItem]:
        """Return the requests in dispatch order."""
        entries = sorted(self.dispatch_heap)
        return [self.items[entry[2]] for entry in entries if entry[2] in self.items]

    def remove_idle(self) -> None:
        """Remove accounts without queued requests whose finish tag has passed."""
        idle_accounts = [
            name
            for name, flow in self.flows.items()
            if not flow.items and flow.finish_tag <= self._min_start_tag()
        ]
        for name in idle_accounts:
            del self.flows[name]

    def _min_start_tag(self) -> float:
        return self.virtual_time - self.idle_credit_tokens

    def _remove(self, item: QueueItem) -> None:
        del self.items[item.request_id]
        flow = self.flows[item.account]
        del flow.items[item.request_id]
        self._adjust_counts(item, flow, -1)
        if not flow.items:
            self.active_weight -= flow.weight
        if not self.items:
            self.active_weight = 0.0  # clears the rounding error
            self.dispatch_heap.clear()

    def _adjust_counts(self, item: QueueItem, flow: AccountFlow, sign: int) -> None:
        flow.tokens += sign * item.tokens
        self.tokens += sign * item.tokens
        heappush(self.load_heap, (-flow.load(), item.account))
        if len(self.load_heap) > 2 * len(self.items) + MAX_STALE_ENTRIES:
            accounts = {item.account for item in self.items.values()}
            self.load_heap = [(-self.flows[name].load(), name) for name in accounts]
            heapify(self.load_heap)
