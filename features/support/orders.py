"""Orders controllers with one table, weight store and engines, on virtual time."""

from asyncio import Event, sleep
from collections import deque
from random import Random

from returns.result import Failure, Success

from features.support.claims import REPLY_LOST, UNAVAILABLE, compare_and_set
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import Config, DesiredModel, ModelService, UpstreamConfig
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.lease import LeaseTimes
from lagoonhinge_core.sections import ConfigSection, NodeSection, Readiness
from lagoonhinge_core.store_messages import Row, TicketRefused
from lagoonhinge_core.upstream_errors import Rejected
from lagoonhinge_node.orders_controller import OrdersController
from stand_ins.engine_orders import OrderState, StaleFencing

TIMES = LeaseTimes(duration_s=10.0, margin_s=2.0)
LEASE_INTERVAL_S = 3


class OrdersSimulation:
    """The ports of several controllers; `gates` pause a controller at a step."""

    def __init__(self, engines: int, checks_fencing: bool, load_s: float = 0.0):
        self.loop = VirtualLoop()
        self.load_s = load_s
        self.rows: dict[str, Row] = {}
        self.fault = ""
        self.tickets_per_s = 100
        self.ticket_times_s: deque[float] = deque()
        self.gates: dict[str, Event] = {}
        self.engines = {
            f"http://engine-{n}:1": OrderState(checks_fencing, self.loop.time)
            for n in range(engines)
        }
        self.checks_fencing = checks_fencing
        self.controllers: list[OrdersController] = []
        self.boards = []

    def add_node(self, version: str) -> OrdersController:
        """Add a node whose configuration desires a version."""
        number = len(self.controllers)
        board = Blackboard()
        node = NodeId(f"vm-{number}", 1)
        board.writer(NodeSection(node, "s", "north", Readiness.READY, 0.0), "test")
        self.boards.append(board.writer(ConfigSection(), "test"))
        self.desire(number, version)
        controller = OrdersController(
            board, self, self, self, self.loop, Random(number), TIMES
        )
        self.controllers.append(controller)
        return controller

    def desire(self, number: int, version: str) -> None:
        """Put a configuration that desires a version in force at one node."""
        config = Config(
            zones=("north",),
            services={"assistant": ModelService("compliance")},
            desired={"assistant": DesiredModel(version, ("b", "a"))},
            upstreams={
                f"engine-{n}": UpstreamConfig(
                    url, "north", "assistant", checks_fencing=self.checks_fencing
                )
                for n, url in enumerate(self.engines)
            },
        )
        self.boards[number].post(ConfigSection(1, "d", config))

    def holders(self) -> list[int]:
        """Return the nodes that may send orders now."""
        now_s = self.loop.time()
        return [
            number
            for number, controller in enumerate(self.controllers)
            if controller.lease.may_send(now_s, 0.0)
        ]

    def versions(self) -> set[str]:
        return {engine.report().version for engine in self.engines.values()}

    def busy_count(self) -> int:
        return sum(engine.report().busy for engine in self.engines.values())

    async def run(self, seconds: int, *numbers: int) -> None:
        """Run the periodic work of controllers for a time."""
        for second in range(seconds):
            for number in numbers:
                controller = self.controllers[number]
                if second % LEASE_INTERVAL_S == 0:
                    await controller.keep_lease()
                if controller.lease.may_send(self.loop.time(), 0.0):
                    await controller.reconcile()
            assert len(self.holders()) <= 1
            await sleep(1.0)

    async def read(self, key):
        if self.fault == "down":
            return Failure(UNAVAILABLE)
        return Success(self.rows.get(key, Row(key, 0, "")))

    async def write(self, key, value, if_version):
        if self.fault == "down":
            return Failure(UNAVAILABLE)
        answer = compare_and_set(self.rows, key, value, if_version)
        return Failure(REPLY_LOST) if self.fault == "reply lost" else answer

    async def acquire_ticket(self):
        await self._wait_at_gate("ticket")
        if self.fault == "down":
            return Failure(UNAVAILABLE)
        now_s = self.loop.time()
        while self.ticket_times_s and self.ticket_times_s[0] <= now_s - 1.0:
            self.ticket_times_s.popleft()
        if len(self.ticket_times_s) >= self.tickets_per_s:
            return Failure(TicketRefused(1.0))
        self.ticket_times_s.append(now_s)
        return Success(None)

    async def order(self, url, order, timeout_s):
        await self._wait_at_gate("order")
        match self.engines[url].apply(order, self.load_s):
            case StaleFencing(newest):
                return Failure(Rejected(412, f"fencing is at {newest}"))
            case report:
                return Success(report)

    async def order_state(self, url, timeout_s):
        return Success(self.engines[url].report())

    async def _wait_at_gate(self, step: str) -> None:
        gate = self.gates.pop(step, None)
        if gate is not None:
            await gate.wait()
