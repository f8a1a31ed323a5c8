"""Stand-ins for workers: they register, run requests, and answer after some time."""

from asyncio import StreamReader, StreamWriter, Task, create_task, sleep
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic, time
from typing import Any

from stands.http import Cut, Message, encode, port_of, serve
from stands.node import Record, free_port
from stands.store import Store

HEARTBEAT_S = 1.2
READ_BYTES = 1 << 16


@dataclass
class Run:
    """A request that a worker began to run.

    Attributes:
        attempt: Id of the client attempt.
        at_s: When it arrived.
        is_whole: Whether the worker wrote its whole answer.
    """

    attempt: str
    at_s: float
    is_whole: bool = False


@dataclass
class Work:
    """How long a worker works on a request.

    Attributes:
        first_s: Time to the answer, or to a stream's first event, in seconds.
        events: Events of a stream; 0 for a plain answer.
        gap_s: Time between two events, in seconds.
    """

    first_s: float
    events: int = 0
    gap_s: float = 0.0


@dataclass
class Worker:
    """A worker.

    Attributes:
        instance: Its id.
        service: Its service.
        zone: Its zone.
        slots: Requests that it serves at once.
        work: How long it works on a request.
        record: The record of the case.
        crashes_on: Returns whether a request crashes it, when it begins to write.
    """

    instance: str
    service: str
    zone: str
    slots: int
    work: Work
    record: Record
    crashes_on: Callable[[Message], bool] = lambda _: False
    runs: list[Run] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    seq: int = 0
    born: int = 0
    port: int = 0
    writers: set[StreamWriter] = field(default_factory=set)
    beating: Task[None] | None = None

    async def start(self, store: Store) -> None:
        """Start, also after a crash, and register in the store."""
        self.store, self.born, self.seq = store, int(time() * 1000), 0
        self.server = await serve(self._handle, self.port or free_port())
        self.port = port_of(self.server)
        self.beating = create_task(self._beat())

    def crash(self) -> None:
        """End at once: all channels are reset, and nothing listens."""
        self.crashes.append(monotonic())
        self.record.write("worker_crashed", worker=self.instance)
        self.server.close()
        assert self.beating is not None
        self.beating.cancel()
        for writer in self.writers:
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            self.seq += 1
            if self.seq == 1:  # later only `seq` would change
                self.store.put("servers", self.instance, self.entry())
            await sleep(HEARTBEAT_S)

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born,
            "seq": self.seq,
        }

    async def _handle(
        self, request: Message, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        self.writers.add(writer)
        try:
            return await self._answer(request, reader, writer)
        finally:
            self.writers.discard(writer)

    async def _answer(
        self, request: Message, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        await _skip_body(request, reader)
        expected = request.headers.get("lagoonhinge-expect-instance", self.instance)
        attempt = request.headers.get("lagoonhinge-attempt-id", "")
        if expected != self.instance:
            writer.write(encode("HTTP/1.1 421 Misdirected", {}, b""))
            return True
        if not attempt:
            headers = {"Lagoonhinge-Not-Executed": "1"}
            writer.write(encode("HTTP/1.1 400 No id", headers, b""))
            return True
        run = Run(attempt, monotonic())
        self.runs.append(run)
        self.record.write("run", worker=self.instance, attempt=attempt)
        headers = {
            "Lagoonhinge-Attempt-Id": attempt,
            "Lagoonhinge-Response-Stamp": f"{self.instance}.{len(self.runs)}",
            "Lagoonhinge-Weight-Versions": "1",
        }
        born = self.born
        await sleep(self.work.first_s)
        if writer.transport.is_closing() or self.born != born:
            raise Cut("crashed meanwhile")
        if self.crashes_on(request):
            self.crash()
            raise Cut("crashed")
        if not self.work.events:
            writer.write(encode("HTTP/1.1 200 OK", headers, f"of {attempt}".encode()))
            await writer.drain()
            run.is_whole = True
            return True
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode("HTTP/1.1 200 OK", headers, None))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.work.events + 1):
            event = f"id: {number}\ndata: of {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await sleep(self.work.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.is_whole = True
        return True


async def _skip_body(request: Message, reader: StreamReader) -> None:
    left = int(request.headers.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, READ_BYTES))
        if not data:
            raise Cut("within a body")
        left -= len(data)
