"""State machine: engines, nodes that die, freeze and restart, lost releases, reapers.

The oracle is a dictionary of what is in use: taken by a run of a node that is still
there and still wants it. At any time all of that must be held; once everything has
settled, nothing else may be.
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

PICK_VM = st.sampled_from(VMS)
PICK_ENGINE = st.sampled_from(ENGINES)
PICK_KIND = st.sampled_from((STREAM, RESERVATION, EXPORT))


@dataclass(frozen=True)
class Place:
    """A holding on an engine."""

    engine: str
    key: HoldingKey


@dataclass
class SimNode:
    """One VM with its current run, if it runs."""

    vm: str
    incarnation: int = 1
    up: bool = True
    frozen: bool = False
    in_flight: set[str] = field(default_factory=set)
    pending: list[Place] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    heard_s: dict[str, float] = field(default_factory=dict)
    schedule: SweepSchedule = field(default_factory=SweepSchedule)
    gone: RemovedVms = field(default_factory=RemovedVms)

    def node_id(self) -> NodeId:
        """Return the identity of the current run."""
        return NodeId(self.vm, self.incarnation)

    def acts(self) -> bool:
        """Return whether the node does anything now."""
        return self.up and not self.frozen

    def restarted(self) -> "SimNode":
        """Return the next run, which knows nothing."""
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
        self.in_use: dict[Place, NodeId] = {}
        self.late: list[tuple[str, EngineCall]] = []
        self.count = 0

    @rule(vm=PICK_VM, engine=PICK_ENGINE, kind=PICK_KIND, lost=st.booleans())
    def take(self, vm, engine, kind, lost):
        node = self.nodes[vm]
        if not node.acts():
            return
        self.count += 1
        name = f"{vm}-{node.incarnation}-{self.count}"
        for place in self._take(node, engine, kind, name):
            if lost:
                # The answer is lost: the node gives up and frees what may be held.
                node.pending.append(place)
            else:
                node.in_flight.add(name)
                self.in_use[place] = node.node_id()

    def _take(self, node, engine, kind, name) -> list[Place]:
        state = self.engines[engine]
        owner = str(node.node_id())
        if kind == STREAM:
            state.accept(self._call(owner, name))
            return [Place(engine, HoldingKey(STREAM, name))]
        if state.reserve(ReservationRequest(name, owner, 20, HOLD_S)):
            return []
        places = [Place(engine, HoldingKey(RESERVATION, name))]
        if kind == EXPORT:
            state.add_span(SpanRequest(name, owner, name, PROMPT, 0, HOLD_S))
            places.append(Place(engine, HoldingKey(EXPORT, name)))
        return places

    def _call(self, owner, name) -> EngineCall:
        return EngineCall(name, owner, "compliance", PROMPT, 10, 1, 0, HOLD_S)

    @rule(vm=PICK_VM, engine=PICK_ENGINE)
    def send_late(self, vm, engine):
        """A node gives up on a stream and is told that it isn't held; later it is."""
        node = self.nodes[vm]
        if node.acts():
            self.count += 1
            name = f"{vm}-{node.incarnation}-{self.count}"
            self.late.append((engine, self._call(str(node.node_id()), name)))

    @precondition(lambda self: self.late)
    @rule()
    def arrive_late(self):
        engine, call = self.late.pop()
        self.engines[engine].accept(call)

    @precondition(lambda self: self.in_use)
    @rule(data=st.data())
    def finish(self, data):
        place = data.draw(st.sampled_from(sorted(self.in_use, key=repr)))
        node = self.nodes[self.in_use[place].vm]
        if not node.acts():
            return
        for other in [p for p in self.in_use if p.key.name == place.key.name]:
            del self.in_use[other]
            node.pending.append(other)
        node.in_flight.discard(place.key.name)

    @rule(vm=PICK_VM, end=st.sampled_from(("confirmed", "reply lost", "not sent")))
    def release_next(self, vm, end):
        node = self.nodes[vm]
        if not node.acts() or not node.pending:
            return
        place = node.pending.pop(0)
        if end != "not sent":
            self.engines[place.engine].release(place.key.kind, place.key.name)
        if end != "confirmed":
            node.pending.append(place)

    @rule(vm=PICK_VM)
    def kill(self, vm):
        self.nodes[vm].up = False
        self.in_use = {p: o for p, o in self.in_use.items() if o.vm != vm}

    @rule(vm=PICK_VM)
    def restart(self, vm):
        if not self.nodes[vm].up:
            self.nodes[vm] = self.nodes[vm].restarted()
            # The platform's list lags, so the VM may stay off it for a time.

    @rule(vm=PICK_VM)
    def freeze_or_wake(self, vm):
        self.nodes[vm].frozen = not self.nodes[vm].frozen

    @rule(vm=PICK_VM)
    def delist_or_list(self, vm):
        if vm in self.delisted:
            self.delisted.discard(vm)
        elif not self.nodes[vm].up:
            self.delisted.add(vm)

    @rule(vm=PICK_VM, other=PICK_VM)
    def gossip(self, vm, other):
        sender, receiver = self.nodes[other], self.nodes[vm]
        if vm != other and sender.acts() and receiver.acts():
            receiver.newest[other] = sender.incarnation
            receiver.heard_s[other] = self.clock.now_s

    @rule(vm=PICK_VM)
    def sweep(self, vm):
        node = self.nodes[vm]
        if not node.acts():
            return
        now_s = self.clock.now_s
        alive = {v for v in VMS if self._hears(node, v)}
        due = node.schedule.next_sweep(now_s, ENGINES, vm, (vm, *alive))
        silent = (v for v in VMS if v != vm and v not in alive and v in self.delisted)
        known = OwnerSnapshot(
            node.node_id(),
            {**node.newest, vm: node.incarnation},
            node.gone.update(silent, now_s),
            node.in_flight.__contains__,
        )
        for engine in due:
            for holding in self.engines[engine].held().holdings:
                if holding_verdict(holding, known) != Verdict.KEEP:
                    key = HoldingKey(holding.kind, holding.name)
                    node.pending.append(Place(engine, key))

    def _hears(self, node, vm) -> bool:
        heard_s = node.heard_s.get(vm, float("-inf"))
        return self.clock.now_s - heard_s < HEARTBEAT_TIMEOUT_S

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0, 20.0)))
    def pass_time(self, seconds):
        self.clock.now_s += seconds
        for engine in self.engines.values():
            engine.step(seconds)

    @invariant()
    def everything_in_use_is_held(self):
        now_s = self.clock.now_s
        for place in self.in_use:
            engine = self.engines[place.engine]
            held = engine.memory.held.get(place.key)
            stream = engine.streams.get(place.key.name)
            waits = place.key.kind == STREAM and stream is not None
            assert held is not None or waits, (now_s, place)

    def teardown(self):
        for node in self.nodes.values():
            node.frozen = False
            if not node.up:
                self.delisted.add(node.vm)
        if not any(node.up for node in self.nodes.values()):
            self.restart(VMS[0])
        while self.late:
            self.arrive_late()
        for _ in range(SETTLE_ROUNDS):
            self._settle_round()
        for name, engine in self.engines.items():
            used = {place.key for place in self.in_use if place.engine == name}
            assert {
                HoldingKey(holding.kind, holding.name)
                for holding in engine.held().holdings
            } == used, (name, used, engine.held())

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
