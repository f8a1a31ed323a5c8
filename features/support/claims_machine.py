"""Random interleavings of claims on several nodes over a faulty store."""

from asyncio import create_task, sleep
from collections import defaultdict
from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from returns.result import Failure, Success

from features.support.claims import DOWN, LOST, compare_and_set, in_words
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.claims import ClaimKey
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.plain_messages import PlainAnswer
from lagoonhinge_core.store_messages import NotStored, Row
from lagoonhinge_node.claim_store import MAX_ROW_BODY_BYTES, ClaimStore
from lagoonhinge_node.claimed_calls import ClaimedCalls
from lagoonhinge_node.metrics import Metrics

NODES = 3
BOUND_S = 10.0
TURNS = 20


@dataclass
class Pending:
    """A call of a node that waits for the machine to answer it."""

    apply: object
    future: object


@dataclass
class Arrival:
    """One arrival of a key; `result` is `None` until the caller has its answer."""

    key: ClaimKey
    call: str
    task: object = None
    result: object = None


class HeldPlatform:
    """Table and object store whose every answer is left to the machine."""

    def __init__(self, machine: "ClaimMachine"):
        self.machine = machine

    async def read(self, key):
        rows = self.machine.rows
        return await self.machine.hold(lambda: Success(rows.get(key, Row(key, 0, ""))))

    async def write(self, key, value, if_version):
        rows = self.machine.rows
        return await self.machine.hold(
            lambda: compare_and_set(rows, key, value, if_version)
        )

    async def put(self, name, content):
        objects = self.machine.objects

        def apply():
            objects[name] = content
            return Success(None)

        return await self.machine.hold(apply)

    async def get(self, name):
        objects = self.machine.objects
        return await self.machine.hold(
            lambda: (
                Success(objects[name]) if name in objects else Failure(NotStored(name))
            )
        )


class ClaimMachine(RuleBasedStateMachine):
    """Nodes, callers, store and upstream; the oracle is a list of executions."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.pending: list[Pending] = []
        self.late: list = []
        self.dispatched: list[tuple[Arrival, object]] = []
        self.executed: dict[ClaimKey, list[Arrival]] = defaultdict(list)
        self.arrivals: list[Arrival] = []
        self.latest_start_s = -BOUND_S
        platform = HeldPlatform(self)
        self.nodes = [
            ClaimedCalls(
                ClaimStore(platform, platform, self.loop), self.loop, Metrics()
            )
            for _ in range(NODES)
        ]

    async def hold(self, apply):
        held = Pending(apply, self.loop.create_future())
        self.pending.append(held)
        try:
            return await held.future
        finally:
            if held in self.pending:
                # Nobody waits any more, yet the call may still arrive at the store.
                self.pending.remove(held)
                self.late.append(apply)

    def turn(self, seconds: float = 0.0) -> None:
        """Let every task run on until it waits."""

        async def wait():
            await sleep(seconds)
            for _ in range(TURNS):
                await sleep(0)

        self.loop.run_until_complete(wait())

    @rule(
        node=st.integers(0, NODES - 1),
        account=st.sampled_from(("mill", "mill", "auditor")),
        key=st.sampled_from(("k1", "k1", "k1", "k2")),
        call=st.sampled_from(("small", "small", "small", "large")),
    )
    def arrive(self, node, account, key, call):
        arrival = Arrival(ClaimKey(account, "registry", key), call)
        self.arrivals.append(arrival)

        deadline_s = self.loop.time() + BOUND_S

        async def dispatch():
            self.latest_start_s = max(
                self.latest_start_s, self.loop.time() - deadline_s
            )
            future = self.loop.create_future()
            self.dispatched.append((arrival, future))
            return await future

        async def run():
            arrival.result = await self.nodes[node].run(
                arrival.key, arrival.call, deadline_s, dispatch
            )

        async def start():
            arrival.task = create_task(run())

        self.loop.run_until_complete(start())
        self.turn()

    @precondition(lambda self: self.pending)
    @rule(
        data=st.data(),
        how=st.sampled_from(("ok", "ok", "ok", "down", "lost", "late")),
        frozen_s=st.sampled_from((0.0, 0.0, 0.0, 1.0, 2 * BOUND_S)),
    )
    def answer_store(self, data, how, frozen_s):
        held = self.pending.pop(data.draw(st.integers(0, len(self.pending) - 1)))
        match how:
            case "ok":
                answer = held.apply()
            case "down":
                answer = Failure(DOWN)
            case "lost":
                held.apply()
                answer = Failure(LOST)
            case "late":
                self.late.append(held.apply)
                answer = Failure(LOST)
        if not held.future.done():
            held.future.set_result(answer)
        # A node that was frozen meanwhile finds the answer and its timers due.
        self.loop.freeze(frozen_s)
        self.turn()

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def apply_late(self, data):
        self.late.pop(data.draw(st.integers(0, len(self.late) - 1)))()

    @precondition(lambda self: self.dispatched)
    @rule(
        data=st.data(),
        how=st.sampled_from(
            ("answer", "answer", "refuse", "refuse", "cut", "cut after")
        ),
    )
    def answer_upstream(self, data, how):
        place = data.draw(st.integers(0, len(self.dispatched) - 1))
        arrival, future = self.dispatched.pop(place)
        if future.done():
            return
        if how in ("answer", "cut after"):
            self.executed[arrival.key].append(arrival)
        future.set_result(_upstream_result(arrival, how))
        self.turn()

    @rule()
    def answer_whole_store(self):
        for _ in range(TURNS):
            for held in tuple(self.pending):
                self.pending.remove(held)
                held.future.set_result(held.apply())
            self.turn()

    @rule(
        how=st.sampled_from(("kill", "leave", "pause", "pause", "pass", "pass")),
        node=st.integers(0, NODES - 1),
        seconds=st.sampled_from((0.3, 0.3, 0.6, 2.0, 20.0)),
        data=st.data(),
    )
    def disturb(self, how, node, seconds, data):
        match how:
            case "kill":
                self.kill(node)
            case "leave" if self.arrivals:
                data.draw(st.sampled_from(self.arrivals)).task.cancel()
            case "pause":
                self.loop.freeze(seconds)
            case "pass":
                self.turn(seconds)
        self.turn()

    def kill(self, node: int) -> None:
        """End the tasks of a node without any further step."""
        for task in self.nodes[node].tasks:
            task.cancel()
        self.turn()

    @invariant()
    def told_the_truth(self):
        assert self.latest_start_s < 0, "dispatched beyond the deadline"
        for key, runs in self.executed.items():
            assert len(runs) <= 1, (key, runs)
        for arrival in self.arrivals:
            if arrival.result is not None:
                self._check(arrival)

    def _check(self, arrival: Arrival) -> None:
        runs = self.executed[arrival.key]
        others = [
            other
            for other in self.arrivals
            if other is not arrival and other.key == arrival.key
        ]
        words = in_words(arrival.result)
        match arrival.result:
            case Success(answer):
                # An answer is that of the one execution of the same account's key.
                assert answer.body == _body(runs[0]), words
                assert runs[0].call == arrival.call, words
                assert (runs[0] is arrival) == (words == "answer"), words
            case Failure(failure) if failure.outcome == Outcome.NOT_RUN:
                assert arrival not in runs, words
                if failure.code == ErrorCode.KEY_REUSED:
                    assert any(other.call != arrival.call for other in others)
            case Failure(failure) if failure.code != ErrorCode.UPSTREAM_FAILED:
                assert any(other.call == arrival.call for other in others), words

    def teardown(self):
        for arrival in self.arrivals:
            arrival.task.cancel()
        for node in range(NODES):
            self.kill(node)
        self.loop.close()


def _body(arrival: Arrival) -> bytes:
    text = f"{arrival.key.account} {arrival.key.idempotency_key} {arrival.call}"
    padding = MAX_ROW_BODY_BYTES if arrival.call == "large" else 0
    return text.encode() + b"." * padding


def _upstream_result(arrival: Arrival, how: str):
    if how == "answer":
        return Success(PlainAnswer(200, (), _body(arrival)))
    outcome = Outcome.NOT_RUN if how == "refuse" else Outcome.UNKNOWN
    return Failure(RequestFailure(ErrorCode.UPSTREAM_FAILED, outcome, how))
