"""State machine of engines, releases, reapers, and nodes that crash and freeze.

The oracle is a dictionary of the holdings in use, each by a run of a node that still
exists and has not finished with it. These must be held at any time. After settling,
the engines must hold nothing else.
"""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from features.support.fake_engine import FakeClock
from lagoonhinge_core.engine_messages import (
    EngineCall,
    ReservationRequest,
    SpanRequest,
)
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.reaper import (
    OwnerSnapshot,
    RemovedVms,
    SweepSchedule,
    Verdict,
    holding_verdict,
)
from stand_ins.engine_memory import EXPORT, RESERVATION, STREAM, HoldingKey
from stand_ins.engine_state import EngineRates, EngineState

VMS = ("vm-a", "vm-b", "vm-c")
ENGINES = ("engine-0", "engine-1")
KV_TOKENS = 2000
PROMPT = "x" * 40
HOLD_S = 1000.0
HEARTBEAT_TIMEOUT_S = 5.0
SETTLE_ROUNDS = 40
ROUND_S = 5.0

ANY_VM = st.sampled_from(VMS)
ANY_ENGINE = st.sampled_from(ENGINES)
ANY_KIND = st.sampled_from((STREAM, RESERVATION, EXPORT))


@dataclass(frozen=True)
class HoldingRef:
    """A holding on an engine."""

    engine: str
    key: HoldingKey


@dataclass
class SimNode:
    """One VM and its current run, if any."""

    vm: str
    incarnation: int = 1
    is_up: bool = True
    is_frozen: bool = False
    in_flight: set[str] = field(default_factory=set)
    pending: list[HoldingRef] = field(default_factory=list)
    newest_incarnations: dict[str, int] = field(default_factory=dict)
    heartbeat_s: dict[str, float] = field(default_factory=dict)
    schedule: SweepSchedule = field(default_factory=SweepSchedule)
    removed_vms: RemovedVms = field(default_factory=RemovedVms)

    def node_id(self) -> NodeId:
        """Return the identity of the current run."""
        return NodeId(self.vm, self.incarnation)

    def is_running(self) -> bool:
        """Return whether the node is up and not frozen."""
        return self.is_up and not self.is_frozen

    def restarted(self) -> "SimNode":
        """Return the next run, without the state of this one."""
        return SimNode(self.vm, self.incarnation + 1)


class MemoryMachine(RuleBasedStateMachine):
    """Random sequences of work and faults."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        rates = EngineRates(KV_TOKENS, 1e9, 0.0)
        self.engines = {
            name: EngineState(rates, name, clock=self.clock.monotonic_s)
            for name in ENGINES
        }
        self.nodes = {vm: SimNode(vm) for vm in VMS}
        self.delisted: set[str] = set()
        self.in_use: dict[HoldingRef, NodeId] = {}
        self.delayed_calls: list[tuple[str, EngineCall]] = []
        self.name_count = 0

    @rule(vm=ANY_VM, engine=ANY_ENGINE, kind=ANY_KIND, is_reply_lost=st.booleans())
    def acquire(self, vm, engine, kind, is_reply_lost):
        node = self.nodes[vm]
        if not node.is_running():
            return
        self.name_count += 1
        name = f"{vm}-{node.incarnation}-{self.name_count}"
        for ref in self._acquire(node, engine, kind, name):
            if is_reply_lost:
                # The reply is lost: the node releases what the engine may hold.
                node.pending.append(ref)
            else:
                node.in_flight.add(name)
                self.in_use[ref] = node.node_id()

    def _acquire(self, node, engine, kind, name) -> list[HoldingRef]:
        engine_state = self.engines[engine]
        owner = str(node.node_id())
        if kind == STREAM:
            engine_state.accept(self._make_call(owner, name))
            return [HoldingRef(engine, HoldingKey(STREAM, name))]
        if engine_state.reserve(ReservationRequest(name, owner, 20, HOLD_S)):
            return []
        refs = [HoldingRef(engine, HoldingKey(RESERVATION, name))]
        if kind == EXPORT:
            engine_state.add_span(SpanRequest(name, owner, name, PROMPT, 0, HOLD_S))
            refs.append(HoldingRef(engine, HoldingKey(EXPORT, name)))
        return refs

    def _make_call(self, owner, name) -> EngineCall:
        return EngineCall(name, owner, "compliance", PROMPT, 10, 1, 0, HOLD_S)

    @rule(vm=ANY_VM, engine=ANY_ENGINE)
    def delay_call(self, vm, engine):
        """Delay a call past the release of its stream, which finds nothing to free."""
        node = self.nodes[vm]
        if node.is_running():
            self.name_count += 1
            name = f"{vm}-{node.incarnation}-{self.name_count}"
            self.delayed_calls.append(
                (engine, self._make_call(str(node.node_id()), name))
            )

    @precondition(lambda self: self.delayed_calls)
    @rule()
    def deliver_delayed_call(self):
        engine, call = self.delayed_calls.pop()
        self.engines[engine].accept(call)

    @precondition(lambda self: self.in_use)
    @rule(data=st.data())
    def finish(self, data):
        ref = data.draw(st.sampled_from(sorted(self.in_use, key=repr)))
        node = self.nodes[self.in_use[ref].vm]
        if not node.is_running():
            return
        for other in [p for p in self.in_use if p.key.name == ref.key.name]:
            del self.in_use[other]
            node.pending.append(other)
        node.in_flight.discard(ref.key.name)

    @rule(vm=ANY_VM, result=st.sampled_from(("confirmed", "reply lost", "not sent")))
    def release_next(self, vm, result):
        node = self.nodes[vm]
        if not node.is_running() or not node.pending:
            return
        ref = node.pending.pop(0)
        if result != "not sent":
            self.engines[ref.engine].release(ref.key.kind, ref.key.name)
        if result != "confirmed":
            node.pending.append(ref)

    @rule(vm=ANY_VM)
    def crash(self, vm):
        self.nodes[vm].is_up = False
        self.in_use = {p: o for p, o in self.in_use.items() if o.vm != vm}

    @rule(vm=ANY_VM)
    def restart(self, vm):
        if not self.nodes[vm].is_up:
            self.nodes[vm] = self.nodes[vm].restarted()
            # The platform's list lags, so the VM may stay delisted for a time.

    @rule(vm=ANY_VM)
    def toggle_frozen(self, vm):
        self.nodes[vm].is_frozen = not self.nodes[vm].is_frozen

    @rule(vm=ANY_VM)
    def toggle_listed(self, vm):
        if vm in self.delisted:
            self.delisted.discard(vm)
        elif not self.nodes[vm].is_up:
            self.delisted.add(vm)

    @rule(vm=ANY_VM, other=ANY_VM)
    def gossip(self, vm, other):
        sender, receiver = self.nodes[other], self.nodes[vm]
        if vm != other and sender.is_running() and receiver.is_running():
            receiver.newest_incarnations[other] = sender.incarnation
            receiver.heartbeat_s[other] = self.clock.now_s

    @rule(vm=ANY_VM)
    def sweep(self, vm):
        node = self.nodes[vm]
        if not node.is_running():
            return
        now_s = self.clock.now_s
        alive = {v for v in VMS if self._has_heartbeat(node, v)}
        due = node.schedule.next_sweep(now_s, ENGINES, vm, (vm, *alive))
        absent = (v for v in VMS if v != vm and v not in alive and v in self.delisted)
        owners = OwnerSnapshot(
            node.node_id(),
            {**node.newest_incarnations, vm: node.incarnation},
            node.removed_vms.update(absent, now_s),
            node.in_flight.__contains__,
        )
        for engine in due:
            for holding in self.engines[engine].list_holdings().holdings:
                if holding_verdict(holding, owners) != Verdict.KEEP:
                    key = HoldingKey(holding.kind, holding.name)
                    node.pending.append(HoldingRef(engine, key))

    def _has_heartbeat(self, node, vm) -> bool:
        heartbeat_s = node.heartbeat_s.get(vm, float("-inf"))
        return self.clock.now_s - heartbeat_s < HEARTBEAT_TIMEOUT_S

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0, 20.0)))
    def pass_time(self, seconds):
        self.clock.now_s += seconds
        for engine in self.engines.values():
            engine.step(seconds)

    @invariant()
    def everything_in_use_is_held(self):
        now_s = self.clock.now_s
        for ref in self.in_use:
            engine = self.engines[ref.engine]
            held = engine.memory.allocations.get(ref.key)
            stream = engine.streams.get(ref.key.name)
            waits = ref.key.kind == STREAM and stream is not None
            assert held is not None or waits, (now_s, ref)

    def teardown(self):
        for node in self.nodes.values():
            node.is_frozen = False
            if not node.is_up:
                self.delisted.add(node.vm)
        if not any(node.is_up for node in self.nodes.values()):
            self.restart(VMS[0])
        while self.delayed_calls:
            self.deliver_delayed_call()
        for _ in range(SETTLE_ROUNDS):
            self._settle_round()
        for name, engine in self.engines.items():
            used = {ref.key for ref in self.in_use if ref.engine == name}
            assert {
                HoldingKey(holding.kind, holding.name)
                for holding in engine.list_holdings().holdings
            } == used, (name, used, engine.list_holdings())

    def _settle_round(self):
        self.pass_time(ROUND_S)
        for vm in VMS:
            for other in VMS:
                self.gossip(vm, other)
        for vm, node in self.nodes.items():
            self.sweep(vm)
            for _ in range(len(node.pending)):
                self.release_next(vm, "confirmed")
        self.everything_in_use_is_held()
