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

from features.support.claims import (
    REPLY_LOST,
    UNAVAILABLE,
    compare_and_set,
    describe_result,
)
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
REQUEST_TIMEOUT_S = 10.0
LOOP_ITERATIONS = 20  # enough for every task to run until it waits


@dataclass
class StoreCall:
    """A call to the store that the machine has not answered yet."""

    apply: object
    future: object


@dataclass
class Arrival:
    """One arriving call; `result` is `None` until the caller has its answer."""

    key: ClaimKey
    call: str
    task: object = None
    result: object = None


class ManualPlatform:
    """Table and object store whose calls the machine answers."""

    def __init__(self, machine: "ClaimMachine"):
        self.machine = machine

    async def read(self, key):
        rows = self.machine.rows
        return await self.machine.wait_for_answer(
            lambda: Success(rows.get(key, Row(key, 0, "")))
        )

    async def write(self, key, value, if_version):
        rows = self.machine.rows
        return await self.machine.wait_for_answer(
            lambda: compare_and_set(rows, key, value, if_version)
        )

    async def put(self, name, content):
        objects = self.machine.objects

        def apply():
            objects[name] = content
            return Success(None)

        return await self.machine.wait_for_answer(apply)

    async def get(self, name):
        objects = self.machine.objects
        return await self.machine.wait_for_answer(
            lambda: (
                Success(objects[name]) if name in objects else Failure(NotStored(name))
            )
        )


class ClaimMachine(RuleBasedStateMachine):
    """Nodes, callers, store and upstream; results are checked against executions."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.pending_calls: list[StoreCall] = []
        self.delayed_calls: list = []
        self.dispatched: list[tuple[Arrival, object]] = []
        self.executed: dict[ClaimKey, list[Arrival]] = defaultdict(list)
        self.arrivals: list[Arrival] = []
        self.max_lateness_s = -REQUEST_TIMEOUT_S
        platform = ManualPlatform(self)
        self.nodes = [
            ClaimedCalls(
                ClaimStore(platform, platform, self.loop), self.loop, Metrics()
            )
            for _ in range(NODES)
        ]

    async def wait_for_answer(self, apply):
        store_call = StoreCall(apply, self.loop.create_future())
        self.pending_calls.append(store_call)
        try:
            return await store_call.future
        finally:
            if store_call in self.pending_calls:
                # The caller timed out, but the call may still reach the store.
                self.pending_calls.remove(store_call)
                self.delayed_calls.append(apply)

    def run_tasks(self, seconds: float = 0.0) -> None:
        """Run every task until it waits."""

        async def wait():
            await sleep(seconds)
            for _ in range(LOOP_ITERATIONS):
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

        deadline_s = self.loop.time() + REQUEST_TIMEOUT_S

        async def dispatch():
            self.max_lateness_s = max(
                self.max_lateness_s, self.loop.time() - deadline_s
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
        self.run_tasks()

    @precondition(lambda self: self.pending_calls)
    @rule(
        data=st.data(),
        reply=st.sampled_from(("ok", "ok", "ok", "down", "lost", "late")),
        frozen_s=st.sampled_from((0.0, 0.0, 0.0, 1.0, 2 * REQUEST_TIMEOUT_S)),
    )
    def answer_store(self, data, reply, frozen_s):
        store_call = self.pending_calls.pop(
            data.draw(st.integers(0, len(self.pending_calls) - 1))
        )
        match reply:
            case "ok":
                answer = store_call.apply()
            case "down":
                answer = Failure(UNAVAILABLE)
            case "lost":
                store_call.apply()
                answer = Failure(REPLY_LOST)
            case "late":
                self.delayed_calls.append(store_call.apply)
                answer = Failure(REPLY_LOST)
        if not store_call.future.done():
            store_call.future.set_result(answer)
        # After a freeze, the answer and the node's timers are due together.
        self.loop.freeze(frozen_s)
        self.run_tasks()

    @precondition(lambda self: self.delayed_calls)
    @rule(data=st.data())
    def apply_delayed(self, data):
        self.delayed_calls.pop(data.draw(st.integers(0, len(self.delayed_calls) - 1)))()

    @precondition(lambda self: self.dispatched)
    @rule(
        data=st.data(),
        reply=st.sampled_from(
            ("answer", "answer", "refuse", "refuse", "cut", "cut after")
        ),
    )
    def answer_upstream(self, data, reply):
        index = data.draw(st.integers(0, len(self.dispatched) - 1))
        arrival, future = self.dispatched.pop(index)
        if future.done():
            return
        if reply in ("answer", "cut after"):
            self.executed[arrival.key].append(arrival)
        future.set_result(_upstream_result(arrival, reply))
        self.run_tasks()

    @rule()
    def answer_whole_store(self):
        for _ in range(LOOP_ITERATIONS):
            for store_call in tuple(self.pending_calls):
                self.pending_calls.remove(store_call)
                store_call.future.set_result(store_call.apply())
            self.run_tasks()

    @rule(
        event=st.sampled_from(("kill", "leave", "pause", "pause", "pass", "pass")),
        node=st.integers(0, NODES - 1),
        seconds=st.sampled_from((0.3, 0.3, 0.6, 2.0, 20.0)),
        data=st.data(),
    )
    def inject_event(self, event, node, seconds, data):
        match event:
            case "kill":
                self.kill(node)
            case "leave" if self.arrivals:
                data.draw(st.sampled_from(self.arrivals)).task.cancel()
            case "pause":
                self.loop.freeze(seconds)
            case "pass":
                self.run_tasks(seconds)
        self.run_tasks()

    def kill(self, node: int) -> None:
        """Cancel all tasks of a node."""
        for task in self.nodes[node].tasks:
            task.cancel()
        self.run_tasks()

    @invariant()
    def results_match_executions(self):
        assert self.max_lateness_s < 0, "dispatched after the deadline"
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
        description = describe_result(arrival.result)
        match arrival.result:
            case Success(answer):
                # An answer comes from the only execution of the same account's key.
                assert answer.body == _body(runs[0]), description
                assert runs[0].call == arrival.call, description
                assert (runs[0] is arrival) == (description == "answer"), description
            case Failure(failure) if failure.outcome == Outcome.NOT_RUN:
                assert arrival not in runs, description
                if failure.code == ErrorCode.KEY_REUSED:
                    assert any(other.call != arrival.call for other in others)
            case Failure(failure) if failure.code != ErrorCode.UPSTREAM_FAILED:
                assert any(other.call == arrival.call for other in others), description

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


def _upstream_result(arrival: Arrival, reply: str):
    if reply == "answer":
        return Success(PlainAnswer(200, (), _body(arrival)))
    outcome = Outcome.NOT_RUN if reply == "refuse" else Outcome.UNKNOWN
    return Failure(RequestFailure(ErrorCode.UPSTREAM_FAILED, outcome, reply))
