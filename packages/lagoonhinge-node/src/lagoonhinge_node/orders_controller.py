"""Controller of orders: holds the zone's lease and reconciles its engines.

The platform is not called while the configuration has no desired state.
"""

from asyncio import Lock, gather
from random import Random

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import Config, UpstreamConfig
from lagoonhinge_core.engine_messages import OrderReport
from lagoonhinge_core.lease import Lease, LeaseRow, LeaseTimes, LeaseWrite
from lagoonhinge_core.orders import OrderTarget, has_reached, make_order, plan_orders
from lagoonhinge_core.ports import Clock, EngineClient, TableStore, WeightStore
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    OrdersSection,
    OrderState,
)
from lagoonhinge_core.store_messages import Conflict, Row
from lagoonhinge_http.wire import decode, encode
from lagoonhinge_node.logs import PartLogger

ORDER_TIMEOUT_S = 1.0
STATE_TIMEOUT_S = 1.0
RECONCILE_INTERVAL_S = 1.0
POLLS_PER_LEASE = 3
JITTER_SHARE = 0.2


class OrdersController(Service):
    """Orders the engines of this zone while this node holds the zone's lease."""

    def __init__(
        self,
        board: Blackboard,
        engines: EngineClient,
        table: TableStore,
        weights: WeightStore,
        clock: Clock,
        random: Random,
        times: LeaseTimes | None = None,
    ):
        super().__init__()
        self.board = board
        self.engines = engines
        self.table = table
        self.weights = weights
        self.clock = clock
        self.random = random
        node = board.read(NodeSection)
        self.zone = node.zone
        self.send_lock = Lock()
        self.lease_key = f"lease/orders/{node.zone}"
        self.lease = Lease(str(node.node), times or LeaseTimes())
        self.writer = board.writer(OrdersSection(), "orders")
        self.log_part = PartLogger("orders")

    async def on_stop(self) -> None:
        """Release the lease, so that another node need not wait for its expiry."""
        async with self.send_lock:
            write = self.lease.release(self.clock.monotonic_s())
        if write is not None:
            await self._send_write(write)

    @Service.task
    async def _keep_lease_forever(self) -> None:
        interval_s = self.lease.times.duration_s / POLLS_PER_LEASE
        while not self.should_stop:
            if self._config().desired:
                await self.keep_lease()
            jitter = self.random.uniform(1 - JITTER_SHARE, 1.0)
            await self.sleep(interval_s * jitter)

    @Service.task
    async def _reconcile_forever(self) -> None:
        while not self.should_stop:
            if self.lease.may_send(self.clock.monotonic_s(), ORDER_TIMEOUT_S):
                await self.reconcile()
            elif self.board.read(OrdersSection).is_holder:
                self.writer.post(OrdersSection())
            await self.sleep(RECONCILE_INTERVAL_S)

    async def keep_lease(self) -> None:
        """Read the lease, and acquire or renew it if that is due."""
        was_held = self.lease.held is not None
        if not was_held or self.lease.pending_writes:
            # After a lost reply, the row shows whether the write was applied.
            await self._read_row()
        write = self.lease.next_write(self.clock.monotonic_s())
        if write is not None:
            await self._send_write(write)
        if self.lease.held is not None and not was_held:
            fencing = self.lease.held.fencing
            self.log_part.info(
                f"Acquired the lease of {self.zone} with fencing number {fencing}."
            )

    async def reconcile(self) -> None:
        """Fetch the engines' reports, and order a few of those that differ."""
        targets = await self._targets()
        self._post(targets)
        for target in plan_orders(targets):
            async with self.send_lock:
                may_continue = await self._order(target)
            if not may_continue:
                return

    async def _targets(self) -> tuple[OrderTarget, ...]:
        config = self._config()
        engines = {
            name: upstream
            for name, upstream in config.upstreams.items()
            if upstream.zone == self.zone and upstream.service in config.desired
        }
        reports = await gather(
            *(self._fetch_report(upstream.url) for upstream in engines.values())
        )
        return tuple(
            OrderTarget(
                name, upstream.service, config.desired[upstream.service], report
            )
            for (name, upstream), report in zip(engines.items(), reports, strict=True)
        )

    async def _fetch_report(self, url: str) -> OrderReport | None:
        answer = await self.engines.order_state(url, STATE_TIMEOUT_S)
        return answer.value_or(None)

    async def _order(self, target: OrderTarget) -> bool:
        """Send one order and return whether another may follow."""
        upstream = self._config().upstreams.get(target.name)
        if upstream is None:
            return True
        ticket = await self.weights.acquire_ticket()
        if isinstance(ticket, Failure):
            return False
        # The lease may have expired during the wait for the ticket or a process pause.
        held = self.lease.held
        if held is None or not self._may_send(upstream):
            return False
        order = make_order(target.desired, held.fencing)
        match await self.engines.order(upstream.url, order, ORDER_TIMEOUT_S):
            case Failure(error):
                self.log_part.warning(f"Order to {target.name} failed: {error}.")
            case _:
                self.log_part.info(f"Ordered {target.name} to {order.version}.")
        return True

    def _may_send(self, upstream: UpstreamConfig) -> bool:
        needed_s = 0.0 if upstream.checks_fencing else ORDER_TIMEOUT_S
        return self.lease.may_send(self.clock.monotonic_s(), needed_s)

    def _post(self, targets: tuple[OrderTarget, ...]) -> None:
        held = self.lease.held
        fencing = 0 if held is None else held.fencing
        states = {target.name: _order_state(target) for target in targets}
        self.writer.post(OrdersSection(held is not None, fencing, states))

    async def _read_row(self) -> None:
        match await self.table.read(self.lease_key):
            case Success(row):
                self._observe(row)

    async def _send_write(self, write: LeaseWrite) -> None:
        value = encode(write.row).decode()
        match await self.table.write(self.lease_key, value, write.if_version):
            case Success(row) | Failure(Conflict(row)):
                self._observe(row)
            case _:
                # The write may have been applied with its reply lost; read the row.
                await self._read_row()

    def _observe(self, row: Row) -> None:
        content = decode(row.value, LeaseRow) if row.version else None
        self.lease.observe(row.version, content, self.clock.monotonic_s())

    def _config(self) -> Config:
        return self.board.read(ConfigSection).config


def _order_state(target: OrderTarget) -> OrderState:
    if target.report is None:
        return OrderState.SILENT
    if target.report.busy:
        return OrderState.BUSY
    if has_reached(target.report, target.desired):
        return OrderState.REACHED
    return OrderState.DIFFERS
