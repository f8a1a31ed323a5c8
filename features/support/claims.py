"""Nodes, a table and an upstream in one process, with faults at each step of a call."""

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
from lagoonhinge_node.claimed_calls import REPLAYED, ClaimedCalls
from lagoonhinge_node.metrics import Metrics
from lagoonhinge_node.plain_path import PlainPath

BOUND_S = 10.0
FROZEN_S = 30.0
SLOW_S = 2.0  # beyond the wait for one write, before the first resend
SILENCE_S = 10.0  # an adapter's time limit
DOWN = Unavailable("connection refused", False)
LOST = Unavailable("connection cut", True)


def compare_and_set(rows: dict[str, Row], key: str, value: str, version: int):
    """Apply a conditional write to a dictionary of rows."""
    current = rows.get(key, Row(key, 0, ""))
    if current.version != version:
        return Failure(Conflict(current))
    rows[key] = Row(key, version + 1, value)
    return Success(rows[key])


class FaultyPlatform:
    """Table and object store of one node, sharing the rows with the others."""

    def __init__(self, world: "World"):
        self.world = world
        self.rows = world.rows
        self.objects = world.objects

    async def read(self, key):
        return await self._serve(
            lambda: Success(self.rows.get(key, Row(key, 0, ""))), is_write=False
        )

    async def write(self, key, value, if_version):
        is_claim = '"running"' in value
        await self.world.reach("claim write" if is_claim else "outcome write")
        answer = await self._serve(
            lambda: compare_and_set(self.rows, key, value, if_version)
        )
        if is_claim:
            await self.world.reach("before dispatch")
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
        match self.world.table_fault:
            case "table down":
                return Failure(DOWN)
            case "table slow":
                # The write is applied late even if nobody waits for it any more.
                self.world.late.append(create_task(self._apply_late(apply)))
                return await shield(self.world.late[-1])
            case "connection silent" if is_write:
                self.world.table_fault = ""
                await sleep(SILENCE_S)
                return Failure(LOST)
            case "reply lost" if is_write:
                self.world.table_fault = ""
                apply()
                return Failure(LOST)
            case "reply lost, write late" if is_write:
                self.world.table_fault = ""
                self.world.late.append(create_task(self._apply_late(apply)))
                return Failure(LOST)
        return apply()

    async def _apply_late(self, apply: Callable):
        await sleep(SLOW_S)
        return apply()


class FaultyService:
    """Upstreams of the plain service; executions are recorded by arrival."""

    def __init__(self, world: "World"):
        self.world = world

    async def send(self, url, call, limits):
        self.world.sends += 1
        await self.world.reach("dispatch")
        fault = self.world.upstream_fault
        if fault == "all upstreams refuse":
            return Failure(Refused("busy"))
        self.world.upstream_fault = ""
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
        self.world.executed.append((tags["Account"], tags["Key"], tags["Arrival"]))
        if fault == "cut after execution":
            return Failure(Broken("connection reset"))
        await self.world.reach("after dispatch")
        body = f"{tags['Account']} {tags['Key']}".encode() + b"." * self.world.padding
        return Success(PlainAnswer(200, (), body))


@dataclass
class TestNode:
    """One node's path; `kill` ends it without any further step."""

    path: PlainPath
    callers: set = field(default_factory=set)

    def kill(self) -> None:
        for task in (*self.path.claimed.tasks, *self.callers):
            task.cancel()


class World:
    """Two nodes, the platform and the service, on virtual time."""

    def __init__(self, upstreams: int = 2):
        self.loop = VirtualLoop()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.table_fault = ""
        self.upstream_fault = ""
        self.padding = 0
        self.sends = 0
        self.late: list = []
        self.executed: list[tuple[str, str, str]] = []
        self.arrivals: list[tuple[str, str, str, str]] = []
        self.plan: dict[str, list[str]] = {}
        self.first_caller = None
        self.rival = None
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
        """Send one call and return its result in words."""
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
            deadline_s=self.loop.time() + BOUND_S,
        )
        self.arrivals.append((account, str(key), arrival, ""))
        result = await self.nodes[node].path.run(request)
        words = in_words(result)
        self.arrivals[int(arrival)] = (account, str(key), arrival, words)
        if isinstance(result, Success):
            body = result.unwrap().body
            assert body.startswith(f"{account} {key}".encode()), body
        return words

    async def reach(self, step: str) -> None:
        """Bring about the faults planned at a step, each once."""
        for fault in self.plan.pop(step, ()):
            await self._cause(fault)

    async def _cause(self, fault: str) -> None:
        match fault:
            case "node killed":
                self.nodes[0].kill()
                await sleep(0)
            case "node frozen":
                self.loop.freeze(FROZEN_S)
                await sleep(0)
            case "caller gone" if self.first_caller is not None:
                self.first_caller.cancel()
                await sleep(0)
            case "two nodes at once":
                self.rival = create_task(self.send(1))
                await sleep(0.2)
            case "caller gone":
                return
            case _ if fault.startswith(("table", "reply", "connection")):
                self.table_fault = fault
            case _:
                self.upstream_fault = fault

    def clear(self) -> None:
        """End every fault."""
        self.table_fault = self.upstream_fault = ""
        self.plan = {}

    def check(self) -> None:
        """Compare what callers were told with what was executed."""
        for account, key in {entry[:2] for entry in self.executed}:
            runs = [entry for entry in self.executed if entry[:2] == (account, key)]
            assert len(runs) <= 1, runs
        executed = {arrival for _, _, arrival in self.executed}
        for _, _, arrival, words in self.arrivals:
            if words.endswith(Outcome.NOT_RUN):
                assert arrival not in executed, (arrival, words)


def in_words(result) -> str:
    """Return a result as `answer`, `replay`, or the failure's code and outcome."""
    match result:
        case Success(answer):
            return "replay" if REPLAYED in answer.headers else "answer"
        case Failure(failure):
            return f"{failure.code} {failure.outcome}"
    raise AssertionError(result)
