"""A lease in a table row: one holder at a time, each with a greater fencing number.

The holder measures its lease from before it sends the write; another node waits for the
duration and a margin from when it first observed that write. No clocks are compared.
"""

from dataclasses import dataclass

RENEWALS_PER_LEASE = 3


@dataclass(frozen=True)
class LeaseTimes:
    """Durations of a lease.

    Attributes:
        duration_s: Length of the lease, in seconds.
        margin_s: Time before the end at which the holder stops using it, and time
            after the end that other nodes wait, in seconds.
    """

    duration_s: float = 15.0
    margin_s: float = 3.0


@dataclass(frozen=True)
class LeaseRow:
    """Content of the row.

    Attributes:
        holder: Identity of the holder's incarnation; empty after it released the lease.
        write: Identity of the write, to detect whether it was applied although its
            reply was lost.
        duration_s: Length of the lease, in seconds.
    """

    holder: str
    write: str
    duration_s: float


@dataclass(frozen=True)
class LeaseWrite:
    """A write that acquires, renews or releases the lease.

    Attributes:
        if_version: Version that the row must have.
        row: Content to write.
        sent_s: Monotonic time before the write is sent, in seconds.
    """

    if_version: int
    row: LeaseRow
    sent_s: float


@dataclass(frozen=True)
class ObservedRow:
    """The row as last observed.

    Attributes:
        version: Its version.
        row: Its content; `None` if it is absent.
        observed_s: Monotonic time of the first observation of this version, in seconds.
    """

    version: int
    row: LeaseRow | None
    observed_s: float


@dataclass(frozen=True)
class HeldLease:
    """A lease held by this node.

    Attributes:
        fencing: Fencing number: the row's version.
        until_s: Monotonic time at which this node stops using it, in seconds.
        renewed_s: Monotonic time just before its last write was sent, in seconds.
    """

    fencing: int
    until_s: float
    renewed_s: float


class Lease:
    """One node's view of a lease.

    Args:
        holder: Identity of this incarnation of the node.
        times: Durations.
    """

    def __init__(self, holder: str, times: LeaseTimes):
        self.holder = holder
        self.times = times
        self.observed: ObservedRow | None = None
        self.held: HeldLease | None = None
        self.pending_writes: dict[str, LeaseWrite] = {}
        self.write_count = 0

    def observe(self, version: int, row: LeaseRow | None, now_s: float) -> None:
        """Update the state from the row in the reply to a read or a write."""
        if self.observed is None or self.observed.version != version:
            self.observed = ObservedRow(version, row, now_s)
        write = None if row is None else self.pending_writes.get(row.write)
        if write is not None and row is not None and row.holder == self.holder:
            self._set_held(version, write)
        elif row is None or row.holder != self.holder:
            self.held = None
        # A write at an older version is either this row's or can no longer be applied.
        self.pending_writes = {
            name: pending
            for name, pending in self.pending_writes.items()
            if pending.if_version >= version
        }

    def next_write(self, now_s: float) -> LeaseWrite | None:
        """Return the write that is due, if any, and record it as sent."""
        if self.observed is None or not self._is_due(self.observed, now_s):
            return None
        return self._new_write(self.observed.version, self.holder, now_s)

    def release(self, now_s: float) -> LeaseWrite | None:
        """Stop using the lease and return the write that releases it."""
        held = self.held
        self.held = None
        return None if held is None else self._new_write(held.fencing, "", now_s)

    def may_send(self, now_s: float, needed_s: float) -> bool:
        """Return whether the lease is held for at least another `needed_s` seconds."""
        return self.held is not None and now_s + needed_s < self.held.until_s

    def _is_due(self, observed: ObservedRow, now_s: float) -> bool:
        if observed.row is None or not observed.row.holder:
            return True
        if observed.row.holder == self.holder:
            interval_s = self.times.duration_s / RENEWALS_PER_LEASE
            return self.held is None or now_s >= self.held.renewed_s + interval_s
        wait_s = observed.row.duration_s + self.times.margin_s
        return now_s >= observed.observed_s + wait_s

    def _new_write(self, version: int, holder: str, now_s: float) -> LeaseWrite:
        self.write_count += 1
        name = f"{self.holder}#{self.write_count}"
        row = LeaseRow(holder, name, self.times.duration_s)
        write = LeaseWrite(version, row, now_s)
        self.pending_writes[name] = write
        return write

    def _set_held(self, version: int, write: LeaseWrite) -> None:
        until_s = write.sent_s + self.times.duration_s - self.times.margin_s
        self.held = HeldLease(version, until_s, write.sent_s)
