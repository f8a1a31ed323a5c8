"""Random interleavings of lease writes, pauses, lost and late replies."""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonhinge_core.lease import Lease, LeaseRow, LeaseTimes, LeaseWrite

NODES = 3
TIMES = LeaseTimes(duration_s=10.0, margin_s=2.0)


@dataclass
class Call:
    """A read or write on its way; `reply` is set once the table has served it."""

    lease: Lease
    write: LeaseWrite | None
    reply: tuple[int, LeaseRow | None] | None = None


class LeaseMachine(RuleBasedStateMachine):
    """Nodes with clocks of their own, and one row."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.version = 0
        self.row: LeaseRow | None = None
        self.calls: list[Call] = []
        self.runs = 0
        self.holdings: list[tuple[int, str]] = []
        self.leases = [self._new_lease() for _ in range(NODES)]

    def _new_lease(self) -> Lease:
        self.runs += 1
        return Lease(f"run-{self.runs}", TIMES)

    def clock_s(self, lease: Lease) -> float:
        """Return a node's own time; no two clocks agree."""
        return self.now_s + 1000.0 * int(lease.holder.removeprefix("run-"))

    def serve(self, call: Call) -> None:
        """Apply a call at the table."""
        write = call.write
        if write is not None and write.if_version == self.version:
            self.version += 1
            self.row = write.row
        call.reply = (self.version, self.row)

    def deliver(self, call: Call) -> None:
        """Hand the reply to its node."""
        call.lease.observe(*call.reply, self.clock_s(call.lease))

    @rule(
        node=st.integers(0, NODES - 1),
        how=st.sampled_from(("whole", "whole", "whole", "held", "served")),
        seconds=st.sampled_from((0.0, 0.5, 3.0, 3.0, 7.0, 12.5)),
    )
    def keep(self, node, how, seconds):
        self.now_s += seconds
        lease = self.leases[node]
        read = Call(lease, None)
        self.serve(read)
        self.deliver(read)
        write = lease.next_write(self.clock_s(lease))
        if write is not None:
            call = Call(lease, write)
            if how != "held":
                self.serve(call)
            if how == "whole":
                self.deliver(call)
            else:
                self.calls.append(call)

    @rule(node=st.integers(0, NODES - 1))
    def read(self, node):
        self.calls.append(Call(self.leases[node], None))

    @precondition(lambda self: self.calls)
    @rule(
        data=st.data(),
        how=st.sampled_from(("whole", "whole", "serve", "deliver", "lose")),
    )
    def move(self, data, how):
        call = data.draw(st.sampled_from(self.calls))
        if how in ("whole", "serve") and call.reply is None:
            self.serve(call)
        if how in ("whole", "deliver") and call.reply is not None:
            self.deliver(call)
            self.calls.remove(call)
        if how == "lose" and call.reply is not None:
            self.calls.remove(call)

    @rule(
        node=st.integers(0, NODES - 1),
        how=st.sampled_from(("restart", "give back", "none", "none", "none")),
    )
    def end(self, node, how):
        if how == "none":
            return
        lease = self.leases[node]
        if how == "give back":
            write = lease.give_back(self.clock_s(lease))
            if write is not None:
                self.calls.append(Call(lease, write))
        self.leases[node] = self._new_lease()

    @invariant()
    def one_sender(self):
        senders = [
            lease for lease in self.leases if lease.may_send(self.clock_s(lease), 0.0)
        ]
        assert len(senders) <= 1, [lease.held for lease in senders]
        for lease in senders:
            entry = (lease.held.fencing, lease.holder)
            if entry not in self.holdings:
                assert all(fencing < entry[0] for fencing, _ in self.holdings), entry
                self.holdings.append(entry)
