"""Simulated nodes, table and upstreams, with faults at each step of a call."""

from asyncio import create_task, shield, sleep
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure, Success

from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import Config, PlainService, UpstreamConfig
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.outcome import Outcome
from lagoonhinge_core.plain_messages import Header, PlainAnswer, PlainCall
from lagoonhinge_core.request import PlainRequest
from lagoonhinge_core.retry_budget import RetryBudget
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    Readiness,
    UpstreamsSection,
)
from lagoonhinge_core.store_messages import Conflict, NotStored, Row, Unavailable
from lagoonhinge_core.upstream_errors import Broken, NotSent, Refused, Silent
from lagoonhinge_node.claim_store import ClaimStore
from lagoonhinge_node.claimed_calls import REPLAYED_HEADER, ClaimedCalls
from lagoonhinge_node.metrics import Metrics
from lagoonhinge_node.plain_path import PlainPath

REQUEST_TIMEOUT_S = 10.0
FREEZE_S = 30.0
SLOW_WRITE_S = 2.0  # after the timeout of one write, before the first resend
ADAPTER_TIMEOUT_S = 10.0
UNAVAILABLE = Unavailable("connection refused", False)
REPLY_LOST = Unavailable("connection cut", True)


def compare_and_set(rows: dict[str, Row], key: str, value: str, version: int):
    """Apply a conditional write to a dictionary of rows."""
    current = rows.get(key, Row(key, 0, ""))
    if current.version != version:
        return Failure(Conflict(current))
    rows[key] = Row(key, version + 1, value)
    return Success(rows[key])


class FaultyPlatform:
    """Table and object store of one node; all nodes share the content."""

    def __init__(self, sim: "ClaimSimulation"):
        self.sim = sim
        self.rows = sim.rows
        self.objects = sim.objects

    async def read(self, key):
        return await self._serve(
            lambda: Success(self.rows.get(key, Row(key, 0, ""))), is_write=False
        )

    async def write(self, key, value, if_version):
        is_claim = '"running"' in value
        await self.sim.inject_planned("claim write" if is_claim else "outcome write")
        answer = await self._serve(
            lambda: compare_and_set(self.rows, key, value, if_version)
        )
        if is_claim:
            await self.sim.inject_planned("before dispatch")
        return answer

    async def put(self, name, content):
        return await self._serve(
            lambda: Success(self.objects.update({name: content})) and Success(None)
        )

    async def get(self, name):
        if name not in self.objects:
            return Failure(NotStored(name))
        return await self._serve(lambda: Success(self.objects[name]), is_write=False)

    async def _serve(self, apply: Callable, is_write: bool = True):
        match self.sim.table_fault:
            case "table down":
                return Failure(UNAVAILABLE)
            case "table slow":
                # The write is applied late even after its caller timed out.
                self.sim.delayed_writes.append(create_task(self._apply_delayed(apply)))
                return await shield(self.sim.delayed_writes[-1])
            case "connection silent" if is_write:
                self.sim.table_fault = ""
                await sleep(ADAPTER_TIMEOUT_S)
                return Failure(REPLY_LOST)
            case "reply lost" if is_write:
                self.sim.table_fault = ""
                apply()
                return Failure(REPLY_LOST)
            case "reply lost, write late" if is_write:
                self.sim.table_fault = ""
                self.sim.delayed_writes.append(create_task(self._apply_delayed(apply)))
                return Failure(REPLY_LOST)
        return apply()

    async def _apply_delayed(self, apply: Callable):
        await sleep(SLOW_WRITE_S)
        return apply()


class FaultyService:
    """Upstreams of the plain service, which record each executed request."""

    def __init__(self, sim: "ClaimSimulation"):
        self.sim = sim

    async def send(self, url, call, limits):
        self.sim.attempts += 1
        await self.sim.inject_planned("dispatch")
        fault = self.sim.upstream_fault
        if fault == "all upstreams refuse":
            return Failure(Refused("busy"))
        self.sim.upstream_fault = ""
        if fault == "upstream refuses":
            return Failure(Refused("busy"))
        if fault == "upstream unreachable":
            return Failure(NotSent("connection refused"))
        if fault == "upstream silent":
            await sleep(limits.timeout_s)
            return Failure(Silent(limits.timeout_s))
        if fault == "cut before execution":
            return Failure(Broken("connection reset"))
        tags = {header.name: header.value for header in call.headers}
        self.sim.executed.append((tags["Account"], tags["Key"], tags["Arrival"]))
        if fault == "cut after execution":
            return Failure(Broken("connection reset"))
        await self.sim.inject_planned("after dispatch")
        body = (
            f"{tags['Account']} {tags['Key']}".encode() + b"." * self.sim.answer_padding
        )
        return Success(PlainAnswer(200, (), body))


@dataclass
class TestNode:
    """One node's request path; `kill` cancels all of its tasks."""

    path: PlainPath
    callers: set = field(default_factory=set)

    def kill(self) -> None:
        for task in (*self.path.claimed_calls.tasks, *self.callers):
            task.cancel()


class ClaimSimulation:
    """Two nodes, the platform and the service, on virtual time."""

    def __init__(self, upstreams: int = 2):
        self.loop = VirtualLoop()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.table_fault = ""
        self.upstream_fault = ""
        self.answer_padding = 0
        self.attempts = 0
        self.delayed_writes: list = []
        self.executed: list[tuple[str, str, str]] = []
        self.arrivals: list[tuple[str, str, str, str]] = []
        self.planned_faults: dict[str, list[str]] = {}
        self.first_caller = None
        self.concurrent_call = None
        self.config = Config(
            zones=("north",),
            services={"registry": PlainService()},
            upstreams={
                f"registry-{number}": UpstreamConfig(
                    f"http://127.0.0.1:{number + 1}", "north", "registry"
                )
                for number in range(upstreams)
            },
        )
        self.nodes = [self._node(f"vm-{number}") for number in range(2)]

    def _node(self, vm: str) -> TestNode:
        board = Blackboard()
        board.writer(NodeSection(NodeId(vm, 1), "s", "north", Readiness.READY, 0), "t")
        board.writer(ConfigSection(1, "d", self.config), "test")
        board.writer(UpstreamsSection(), "test")
        platform = FaultyPlatform(self)
        store = ClaimStore(platform, platform, self.loop)
        return TestNode(
            PlainPath(
                board,
                FaultyService(self),
                self.loop,
                InFlightLedger(),
                ClaimedCalls(store, self.loop, Metrics()),
                RetryBudget(),
            )
        )

    async def send(
        self,
        node,
        account="mill",
        key="k1",
        body=b"{}",
        method="POST",
        path="/orders",
    ):
        """Send one call and return the description of its result."""
        arrival = str(len(self.arrivals))
        headers = (
            Header("Account", account),
            Header("Key", str(key)),
            Header("Arrival", arrival),
        )
        call = PlainCall(method, path, headers, body)
        request = PlainRequest(
            request_id=arrival,
            account=account,
            service="registry",
            call=call,
            idempotent=method == "GET",
            idempotency_key=key,
            deadline_s=self.loop.time() + REQUEST_TIMEOUT_S,
        )
        self.arrivals.append((account, str(key), arrival, ""))
        result = await self.nodes[node].path.run(request)
        description = describe_result(result)
        self.arrivals[int(arrival)] = (account, str(key), arrival, description)
        if isinstance(result, Success):
            body = result.unwrap().body
            assert body.startswith(f"{account} {key}".encode()), body
        return description

    async def inject_planned(self, step: str) -> None:
        """Inject the faults planned at a step, each once."""
        for fault in self.planned_faults.pop(step, ()):
            await self._inject(fault)

    async def _inject(self, fault: str) -> None:
        match fault:
            case "node killed":
                self.nodes[0].kill()
                await sleep(0)
            case "node frozen":
                self.loop.freeze(FREEZE_S)
                await sleep(0)
            case "caller disconnects" if self.first_caller is not None:
                self.first_caller.cancel()
                await sleep(0)
            case "concurrent call":
                self.concurrent_call = create_task(self.send(1))
                await sleep(0.2)
            case "caller disconnects":
                return
            case _ if fault.startswith(("table", "reply", "connection")):
                self.table_fault = fault
            case _:
                self.upstream_fault = fault

    def clear_faults(self) -> None:
        """End every fault."""
        self.table_fault = self.upstream_fault = ""
        self.planned_faults = {}

    def check_executions(self) -> None:
        """Compare the results of the calls with the executions."""
        for account, key in {entry[:2] for entry in self.executed}:
            runs = [entry for entry in self.executed if entry[:2] == (account, key)]
            assert len(runs) <= 1, runs
        executed = {arrival for _, _, arrival in self.executed}
        for _, _, arrival, description in self.arrivals:
            if description.endswith(Outcome.NOT_RUN):
                assert arrival not in executed, (arrival, description)


def describe_result(result) -> str:
    """Return `answer`, `replay`, or the failure's code and outcome."""
    match result:
        case Success(answer):
            return "replay" if REPLAYED_HEADER in answer.headers else "answer"
        case Failure(failure):
            return f"{failure.code} {failure.outcome}"
    raise AssertionError(result)
