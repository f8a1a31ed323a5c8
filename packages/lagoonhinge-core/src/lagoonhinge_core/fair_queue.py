"""Start-time fair queueing of requests by client account, in tokens."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count
from math import inf

STALE_ENTRIES_KEPT = 64


@dataclass(frozen=True)
class QueueItem:
    """One request in line.

    Attributes:
        request_id: Identity of the request.
        account: Client account.
        tokens: Its work, in tokens.
        weight: Share of the account relative to others.
    """

    request_id: str
    account: str
    tokens: int
    weight: float = 1.0


@dataclass
class AccountLine:
    """What one account has in line.

    Attributes:
        finish_tag: Virtual finish of its newest request.
        tokens: Tokens in line.
        weight: Its weight.
        items: Its requests in line, oldest first.
    """

    finish_tag: float = 0.0
    tokens: int = 0
    weight: float = 1.0
    items: dict[str, QueueItem] = field(default_factory=dict)

    def load(self) -> float:
        """Return the tokens in line for the account's weight."""
        return self.tokens / self.weight


class FairQueue:
    """A queue that gives each account its weighted share of dispatched tokens.

    Virtual time is the start tag of the last dispatched request. An account below its
    share may start a bounded credit before it, so that a burst of a light account
    doesn't queue behind the backlog of a heavy one; idleness saves up no more.

    Args:
        idle_credit_tokens: Most that an account of weight 1 saves up, in tokens.
    """

    def __init__(self, idle_credit_tokens: float = 0.0) -> None:
        self.idle_credit_tokens = idle_credit_tokens
        self.virtual_time = 0.0
        self.tokens = 0
        self.active_weight = 0.0
        self.items: dict[str, QueueItem] = {}
        self.lines: dict[str, AccountLine] = {}
        self.order: list[tuple[float, int, str]] = []
        self.heaviest: list[tuple[float, str]] = []
        self.numbers = count()

    def __len__(self) -> int:
        return len(self.items)

    def push(self, item: QueueItem) -> None:
        """Put a request in line."""
        assert item.request_id not in self.items, f"{item.request_id} queued twice"
        line = self.lines.setdefault(item.account, AccountLine(finish_tag=-inf))
        if not line.items:
            line.weight = item.weight
            self.active_weight += line.weight
        start_tag = max(self._earliest_start(), line.finish_tag)
        line.finish_tag = start_tag + item.tokens / line.weight
        line.items[item.request_id] = item
        self.items[item.request_id] = item
        heappush(self.order, (start_tag, next(self.numbers), item.request_id))
        self._count(item, line, 1)

    def head(self) -> QueueItem | None:
        """Return the request that is next."""
        while self.order:
            item = self.items.get(self.order[0][2])
            if item is not None:
                return item
            heappop(self.order)
        return None

    def pop(self) -> QueueItem:
        """Take the request that is next out for dispatch."""
        item = self.head()
        assert item is not None, "the queue is empty"
        start_tag, _, _ = heappop(self.order)
        self.virtual_time = max(self.virtual_time, start_tag)
        self._remove(item)
        return item

    def cancel(self, request_id: str) -> None:
        """Take a request out that won't run; its share isn't charged."""
        item = self.items[request_id]
        line = self.lines[item.account]
        line.finish_tag -= item.tokens / line.weight
        self._remove(item)

    def tokens_ahead(self, account: str, weight: float) -> float:
        """Return about how many tokens go before an account's next request."""
        line = self.lines.get(account)
        if line is None:
            return 0.0
        active = self.active_weight + (0.0 if line.items else weight)
        lead = max(0.0, line.finish_tag - self.virtual_time)
        by_share = min(float(self.tokens), lead * active)
        return max(by_share, float(line.tokens))

    def heaviest_account(self) -> str | None:
        """Return the account with the most tokens in line for its weight."""
        while self.heaviest:
            load, account = self.heaviest[0]
            line = self.lines.get(account)
            if line is not None and line.items and -load == line.load():
                return account
            heappop(self.heaviest)
        return None

    def load(self, account: str) -> float:
        """Return an account's tokens in line for its weight."""
        line = self.lines.get(account)
        return 0.0 if line is None else line.load()

    def newest(self, account: str) -> QueueItem:
        """Return the request that an account put in line last."""
        items = self.lines[account].items
        return items[next(reversed(items))]

    def in_order(self) -> list[QueueItem]:
        """Return the requests in the order of dispatch."""
        entries = sorted(self.order)
        return [self.items[entry[2]] for entry in entries if entry[2] in self.items]

    def forget_idle(self) -> None:
        """Drop accounts that have nothing in line and no share used in advance."""
        idle = [
            name
            for name, line in self.lines.items()
            if not line.items and line.finish_tag <= self._earliest_start()
        ]
        for name in idle:
            del self.lines[name]

    def _earliest_start(self) -> float:
        return self.virtual_time - self.idle_credit_tokens

    def _remove(self, item: QueueItem) -> None:
        del self.items[item.request_id]
        line = self.lines[item.account]
        del line.items[item.request_id]
        self._count(item, line, -1)
        if not line.items:
            self.active_weight -= line.weight
        if not self.items:
            self.active_weight = 0.0  # drops what rounding left
            self.order.clear()

    def _count(self, item: QueueItem, line: AccountLine, sign: int) -> None:
        line.tokens += sign * item.tokens
        self.tokens += sign * item.tokens
        heappush(self.heaviest, (-line.load(), item.account))
        if len(self.heaviest) > 2 * len(self.items) + STALE_ENTRIES_KEPT:
            busy = {waiting.account for waiting in self.items.values()}
            self.heaviest = [(-self.lines[name].load(), name) for name in busy]
            heapify(self.heaviest)
