"""Stand-ins for workers: plain services, and model engines with reserved memory."""

from asyncio import CancelledError, Task, create_task, sleep
from collections.abc import Collection
from dataclasses import dataclass, field
from json import dumps
from time import monotonic, time
from typing import Any

from aiohttp import web

from support.record import Record
from support.store import Store, port_of, serve

ATTEMPT_ID = "Lagoonhinge-Attempt-Id"
EXPECT_INSTANCE = "Lagoonhinge-Expect-Instance"
NOT_EXECUTED = "Lagoonhinge-Not-Executed"
RESPONSE_STAMP = "Lagoonhinge-Response-Stamp"
TOKEN_COUNTS = "Lagoonhinge-Token-Counts"
PROMPT_PREFIX = "Lagoonhinge-Prompt-Prefix"
HELPERS = "Lagoonhinge-Helpers"
LAST_EVENT_ID = "Last-Event-Id"
AT_SERVER = "At-Server"
MAX_RESERVATIONS = 64
KV_TOKENS = 405_000
BACK_S = 3.0  # from the crash of a worker to its return under another id
ENTRY_EXPIRY_S = 3.6  # three status reports
READ_PER_S = 154_000.0
PAIRS_PER_M_MS = 0.162


@dataclass
class Ticket:
    """Memory that is reserved on an engine.

    Attributes:
        tokens: Its size.
        end_s: When the lease expires, in seconds.
        users: Attempts that use it.
        reserved_s: When it was first reserved, in seconds.
    """

    tokens: int
    end_s: float
    users: list[str] = field(default_factory=list)
    reserved_s: float = 0.0


@dataclass(frozen=True)
class Run:
    """One run of a request on a worker."""

    attempt: str
    worker: str
    at_s: float


@dataclass
class Site:
    """The workers of a case, and what they saw.

    Attributes:
        store: The platform's store.
        record: The record of the case.
        runs: All runs.
        doubly_used: Uses of a ticket by two requests at the same time: the engine, the
            ticket and the two attempts.
        by_address: Workers by address.
        crashing_parts: Parts of a prompt that crash each worker that begins to write an
            answer on one.
        arrivals: Requests with such a part that reached a worker.
        crashes: Runs that crashed their worker.
        returns: Workers that crashed and come back.
    """

    store: Store
    record: Record
    crashing_parts: Collection[str] = ()
    runs: list[Run] = field(default_factory=list)
    doubly_used: list[tuple[str, str, str, str]] = field(default_factory=list)
    by_address: dict[str, "Worker"] = field(default_factory=dict)
    arrivals: list[Run] = field(default_factory=list)
    crashes: list[Run] = field(default_factory=list)
    returns: set[Task[None]] = field(default_factory=set)


class Worker:
    """One worker.

    Args:
        site: The workers of the case.
        instance: Its id.
        service: Its service.
        zone: Its zone.
        slots: Requests that it processes at once.
        work_s: Time for one plain request, in seconds.
        events: Events of a stream.
        gap_s: Time between two events, in seconds.
    """

    def __init__(
        self,
        site: Site,
        instance: str,
        service: str,
        zone: str,
        slots: int = 8,
        work_s: float = 0.045,
        events: int = 0,
        gap_s: float = 0.045,
    ):
        self.site = site
        self.instance = instance
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.events = events
        self.gap_s = gap_s
        self.born = int(time() * 1000)
        self.address = ""
        self.runner: web.AppRunner | None = None
        self.tickets: dict[str, Ticket] = {}
        self.finishes_closed = False  # goes on when the channel of a request closes
        self.kept: set[Task[None]] = set()
        self.has_crashed = False
        self.divided = 0  # requests that it works on with the memory of others

    async def start(self) -> None:
        """Serve on a free port and register in the store."""
        app = web.Application(client_max_size=8 << 20)
        app.add_routes(
            [
                web.get("/healthz", self._health),
                web.get("/lagoonhinge/report", self._report),
                web.post("/lagoonhinge/order", self._order),
                web.route("*", "/{path:.*}", self._execute),
            ]
        )
        self.runner = await serve(app)
        self.address = f"127.0.0.1:{port_of(self.runner)}"
        self.site.by_address[self.address] = self
        self.site.store.put("servers", self.instance, dumps(self.entry()).encode())

    def entry(self) -> dict[str, Any]:
        """Return the worker's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": 0,
            "born": self.born,
        }

    def is_divided(self) -> bool:
        """Return whether it works on a request that uses memory of other workers."""
        return self.divided > 0

    def _crash(self, attempt: str) -> None:
        """End as a process that crashes does, and come back some seconds later."""
        if self.has_crashed:
            return
        self.has_crashed = True
        self.site.record.write("crashes", worker=self.instance, attempt=attempt)
        self.site.crashes.append(Run(attempt, self.instance, monotonic()))
        task = create_task(self._come_back())
        self.site.returns.add(task)

    async def _come_back(self) -> None:
        site, runner = self.site, self.runner
        assert runner is not None and runner.server is not None
        del site.by_address[self.address]
        connections = list(runner.server.connections)
        for listening in list(runner.sites):
            await listening.stop()
        for connection in connections:
            if connection.transport is not None:
                connection.transport.abort()
        await sleep(BACK_S)
        name = (
            f"{self.instance.rpartition('.')[0] or self.instance}.{len(site.crashes)}"
        )
        worker = Worker(
            site,
            name,
            self.service,
            self.zone,
            self.slots,
            self.work_s,
            self.events,
            self.gap_s,
        )
        await worker.start()
        await sleep(max(0.0, ENTRY_EXPIRY_S - BACK_S))
        site.store.remove("servers", self.instance)
        await runner.cleanup()

    async def _health(self, _: web.Request) -> web.Response:
        return web.Response(headers={"Lagoonhinge-Instance-Id": self.instance})

    async def _report(self, _: web.Request) -> web.Response:
        self._expire()
        now_s = monotonic()
        tickets = [
            {
                "id": name,
                "tokens": ticket.tokens,
                "state": "used" if ticket.users else "held",
                "ageMs": int((now_s - ticket.reserved_s) * 1000),
            }
            for name, ticket in self.tickets.items()
        ]
        return web.json_response({"stage": "both", "tickets": tickets})

    async def _order(self, request: web.Request) -> web.Response:
        self._expire()
        order = await request.json()
        name = order["id"]
        self.site.record.write("order", worker=self.instance, **order)
        if order["op"] == "release":
            self.tickets.pop(name, None)
            return web.json_response({"free": self._free()})
        now_s = monotonic()
        end_s = now_s + min(order["holdMs"], 20_000) / 1000
        if name in self.tickets:
            self.tickets[name].end_s = end_s
            return web.json_response({"free": self._free()})
        if order["tokens"] > KV_TOKENS:
            return web.Response(status=400)
        is_full = len(self.tickets) >= MAX_RESERVATIONS
        if is_full or order["tokens"] > self._free():
            return web.json_response({"free": self._free()}, status=409)
        self.tickets[name] = Ticket(order["tokens"], end_s, reserved_s=now_s)
        return web.json_response({"free": self._free()})

    def _free(self) -> int:
        return KV_TOKENS - sum(ticket.tokens for ticket in self.tickets.values())

    def _expire(self) -> None:
        now_s = monotonic()
        for name in [n for n, t in self.tickets.items() if t.end_s <= now_s]:
            self.site.record.write("lease expired", worker=self.instance, ticket=name)
            del self.tickets[name]

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        if request.headers.get(EXPECT_INSTANCE, self.instance) != self.instance:
            return web.Response(status=421, headers={AT_SERVER: self.address})
        attempt = request.headers.get(ATTEMPT_ID, "")
        if not attempt:
            return web.Response(status=400, headers={NOT_EXECUTED: "1"})
        held = self._find_tickets(request)
        if held is None:
            return web.Response(status=503, headers={NOT_EXECUTED: "1"})
        run = Run(attempt, self.instance, monotonic())
        self.site.runs.append(run)
        if self._is_crashing(request):
            self.site.arrivals.append(run)
        self.site.record.write("runs", attempt=attempt, worker=self.instance)
        if not self.events:
            await sleep(self.work_s)
            headers = self._headers(attempt)
            return web.Response(body=b"x" * 800, headers=headers)
        for worker, name in held:
            worker._use(name, attempt)
        self.divided += bool(held)
        was_divided = bool(held)
        try:
            return await self._stream(request, attempt)
        except (ConnectionError, CancelledError):
            if self.finishes_closed and held:
                self.site.record.write(
                    "goes on after its channel closed",
                    attempt=attempt,
                    worker=self.instance,
                )
                task = create_task(self._finish(request, attempt, held))
                self.kept.add(task)
                held = []
            raise
        finally:
            self.divided -= was_divided
            for worker, name in held:
                worker._leave(name, attempt)
            self.site.record.write("run ends", attempt=attempt, worker=self.instance)

    async def _finish(
        self, request: web.Request, attempt: str, held: list[tuple["Worker", str]]
    ) -> None:
        """Do the rest of a request whose channel closed, while its memory lasts."""
        end_s = monotonic() + self._prefill_s(request) + self.events * self.gap_s
        while monotonic() < end_s:
            for worker, _ in held:
                worker._expire()
            if any(name not in worker.tickets for worker, name in held):
                break
            await sleep(0.02)
        for worker, name in held:
            worker._leave(name, attempt)
        self.site.record.write("run ends", attempt=attempt, worker=self.instance)

    def _find_tickets(self, request: web.Request) -> list[tuple["Worker", str]] | None:
        """Return the tickets that a request names; `None` if one does not exist."""
        found: list[tuple[Worker, str]] = []
        for entry in filter(None, request.headers.get(HELPERS, "").split(",")):
            address, _, name = entry.partition("/")
            worker = self.site.by_address.get(address)
            if worker is None:
                return None
            worker._expire()
            if name and name not in worker.tickets:
                return None
            if name:
                found.append((worker, name))
        return found

    def _use(self, name: str, attempt: str) -> None:
        users = self.tickets[name].users
        self.site.record.write(
            "ticket used",
            worker=self.instance,
            ticket=name,
            attempt=attempt,
            also_used_by=users,
        )
        for other in users:
            self.site.doubly_used.append((self.instance, name, other, attempt))
        users.append(attempt)

    def _leave(self, name: str, attempt: str) -> None:
        ticket = self.tickets.get(name)
        if ticket is not None and attempt in ticket.users:
            ticket.users.remove(attempt)

    def _prefill_s(self, request: web.Request) -> float:
        tokens = int(request.headers.get(TOKEN_COUNTS, "1000,10").partition(",")[0])
        parts = 1 + len(request.headers.get(HELPERS, "").split(","))
        pairs_m = tokens * tokens / 2 / 1e6
        return (tokens / READ_PER_S + pairs_m * PAIRS_PER_M_MS / 1000) / parts

    def _is_crashing(self, request: web.Request) -> bool:
        entries = request.headers.get(PROMPT_PREFIX, "").split(",")
        parts = {entry.partition(":")[0] for entry in entries}
        return not parts.isdisjoint(self.site.crashing_parts)

    def _headers(self, attempt: str) -> dict[str, str]:
        return {ATTEMPT_ID: attempt, RESPONSE_STAMP: f"stamp.{self.instance}"}

    async def _stream(self, request: web.Request, attempt: str) -> web.StreamResponse:
        await sleep(self._prefill_s(request))
        if self._is_crashing(request):
            self._crash(attempt)
            await sleep(BACK_S)  # its channel is reset meanwhile
        response = web.StreamResponse(headers=self._headers(attempt))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get(LAST_EVENT_ID, "0")) + 1
        for number in range(first, self.events + 1):
            await response.write(f"id: {number}\ndata: {'t' * 60}\n\n".encode())
            if number < self.events:
                await sleep(self.gap_s)
        await response.write_eof()
        return response
