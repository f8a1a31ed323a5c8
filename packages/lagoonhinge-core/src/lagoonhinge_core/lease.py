"""A lease in a table row: one holder at a time, each with a greater fencing number.

The holder counts its lease from before its write was sent; another node waits for the
lease and a margin from after it first saw that write. No two clocks are compared.
"""

from dataclasses import dataclass

RENEWALS_PER_LEASE = 3


@dataclass(frozen=True)
class LeaseTimes:
    """Durations of a lease.

    Attributes:
        duration_s: Length of the lease, in seconds.
        margin_s: Time before its end at which the holder stops, and after it that
            others still wait, in seconds.
    """

    duration_s: float = 15.0
    margin_s: float = 3.0


@dataclass(frozen=True)
class LeaseRow:
    """Content of the row.

    Attributes:
        holder: Identity of the holder's run; empty once it has given the lease back.
        write: Identity of the write, to settle a lost reply.
        duration_s: Length of the lease, in seconds.
    """

    holder: str
    write: str
    duration_s: float


@dataclass(frozen=True)
class LeaseWrite:
    """A write that takes, renews or gives back the lease.

    Attributes:
        if_version: Version at which the row must be.
        row: What to write.
        sent_s: Monotonic time before the write is sent, in seconds.
    """

    if_version: int
    row: LeaseRow
    sent_s: float


@dataclass(frozen=True)
class SeenRow:
    """The row as last seen.

    Attributes:
        version: Its version.
        row: Its content; `None` if it is absent.
        since_s: Monotonic time at which this version was first seen, in seconds.
    """

    version: int
    row: LeaseRow | None
    since_s: float


@dataclass(frozen=True)
class HeldLease:
    """A lease held by this node.

    Attributes:
        fencing: Fencing number: the row's version.
        until_s: Monotonic time at which this node stops using it, in seconds.
        renewed_s: Monotonic time before its write was sent, in seconds.
    """

    fencing: int
    until_s: float
    renewed_s: float


class Lease:
    """One node's part in a lease.

    Args:
        holder: Identity of this run of the node.
        times: Durations.
    """

    def __init__(self, holder: str, times: LeaseTimes):
        self.holder = holder
        self.times = times
        self.seen: SeenRow | None = None
        self.held: HeldLease | None = None
        self.open_writes: dict[str, LeaseWrite] = {}
        self.writes = 0

    def observe(self, version: int, row: LeaseRow | None, now_s: float) -> None:
        """Take note of the row, as a read, a conflict or a write's reply shows it."""
        if self.seen is None or self.seen.version != version:
            self.seen = SeenRow(version, row, now_s)
        write = None if row is None else self.open_writes.get(row.write)
        if write is not None and row is not None and row.holder == self.holder:
            self._hold(version, write)
        elif row is None or row.holder != self.holder:
            self.held = None
        # A write at an older version is either this row or can never be applied.
        self.open_writes = {
            name: open_write
            for name, open_write in self.open_writes.items()
            if open_write.if_version >= version
        }

    def next_write(self, now_s: float) -> LeaseWrite | None:
        """Return the write that is due, if any, and count it as sent."""
        if self.seen is None or not self._is_due(self.seen, now_s):
            return None
        return self._open(self.seen.version, self.holder, now_s)

    def give_back(self, now_s: float) -> LeaseWrite | None:
        """Stop using the lease and return the write that frees it for others."""
        held = self.held
        self.held = None
        return None if held is None else self._open(held.fencing, "", now_s)

    def may_send(self, now_s: float, needed_s: float) -> bool:
        """Return whether the lease surely lasts for another `needed_s` seconds."""
        return self.held is not None and now_s + needed_s < self.held.until_s

    def _is_due(self, seen: SeenRow, now_s: float) -> bool:
        if seen.row is None or not seen.row.holder:
            return True
        if seen.row.holder == self.holder:
            pause_s = self.times.duration_s / RENEWALS_PER_LEASE
            return self.held is None or now_s >= self.held.renewed_s + pause_s
        wait_s = seen.row.duration_s + self.times.margin_s
        return now_s >= seen.since_s + wait_s

    def _open(self, version: int, holder: str, now_s: float) -> LeaseWrite:
        self.writes += 1
        name = f"{self.holder}#{self.writes}"
        row = LeaseRow(holder, name, self.times.duration_s)
        write = LeaseWrite(version, row, now_s)
        self.open_writes[name] = write
        return write

    def _hold(self, version: int, write: LeaseWrite) -> None:
        until_s = write.sent_s + self.times.duration_s - self.times.margin_s
        self.held = HeldLease(version, until_s, write.sent_s)
