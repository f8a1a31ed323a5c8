"""Random interleavings of lease writes, pauses, and lost or late replies."""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonhinge_core.lease import Lease, LeaseRow, LeaseTimes, LeaseWrite

NODES = 3
TIMES = LeaseTimes(duration_s=10.0, margin_s=2.0)


@dataclass
class Call:
    """A read or write in flight; `reply` is set once the table has served it."""

    lease: Lease
    write: LeaseWrite | None
    reply: tuple[int, LeaseRow | None] | None = None


class LeaseMachine(RuleBasedStateMachine):
    """Nodes with different clocks, and one row."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.version = 0
        self.row: LeaseRow | None = None
        self.calls: list[Call] = []
        self.run_count = 0
        self.past_holders: list[tuple[int, str]] = []
        self.leases = [self._new_lease() for _ in range(NODES)]

    def _new_lease(self) -> Lease:
        self.run_count += 1
        return Lease(f"run-{self.run_count}", TIMES)

    def clock_s(self, lease: Lease) -> float:
        """Return the time of a node's own clock; all clocks differ."""
        return self.now_s + 1000.0 * int(lease.holder.removeprefix("run-"))

    def serve(self, call: Call) -> None:
        """Apply a call to the table."""
        write = call.write
        if write is not None and write.if_version == self.version:
            self.version += 1
            self.row = write.row
        call.reply = (self.version, self.row)

    def deliver(self, call: Call) -> None:
        """Deliver the reply to its node."""
        call.lease.observe(*call.reply, self.clock_s(call.lease))

    @rule(
        node=st.integers(0, NODES - 1),
        delivery=st.sampled_from(
            ("complete", "complete", "complete", "unsent", "served")
        ),
        seconds=st.sampled_from((0.0, 0.5, 3.0, 3.0, 7.0, 12.5)),
    )
    def keep_lease(self, node, delivery, seconds):
        self.now_s += seconds
        lease = self.leases[node]
        read = Call(lease, None)
        self.serve(read)
        self.deliver(read)
        write = lease.next_write(self.clock_s(lease))
        if write is not None:
            call = Call(lease, write)
            if delivery != "unsent":
                self.serve(call)
            if delivery == "complete":
                self.deliver(call)
            else:
                self.calls.append(call)

    @rule(node=st.integers(0, NODES - 1))
    def read(self, node):
        self.calls.append(Call(self.leases[node], None))

    @precondition(lambda self: self.calls)
    @rule(
        data=st.data(),
        event=st.sampled_from(("complete", "complete", "serve", "deliver", "lose")),
    )
    def progress_call(self, data, event):
        call = data.draw(st.sampled_from(self.calls))
        if event in ("complete", "serve") and call.reply is None:
            self.serve(call)
        if event in ("complete", "deliver") and call.reply is not None:
            self.deliver(call)
            self.calls.remove(call)
        if event == "lose" and call.reply is not None:
            self.calls.remove(call)

    @rule(
        node=st.integers(0, NODES - 1),
        event=st.sampled_from(("restart", "release", "none", "none", "none")),
    )
    def end_run(self, node, event):
        if event == "none":
            return
        lease = self.leases[node]
        if event == "release":
            write = lease.release(self.clock_s(lease))
            if write is not None:
                self.calls.append(Call(lease, write))
        self.leases[node] = self._new_lease()

    @invariant()
    def at_most_one_holder(self):
        holders = [
            lease for lease in self.leases if lease.may_send(self.clock_s(lease), 0.0)
        ]
        assert len(holders) <= 1, [lease.held for lease in holders]
        for lease in holders:
            entry = (lease.held.fencing, lease.holder)
            if entry not in self.past_holders:
                assert all(fencing < entry[0] for fencing, _ in self.past_holders), (
                    entry
                )
                self.past_holders.append(entry)
