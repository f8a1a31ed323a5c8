"""Processor time of the node to relay an answer, compared with serving it directly."""

from asyncio import gather, run, sleep
from dataclasses import dataclass
from os import sysconf
from pathlib import Path
from statistics import median
from subprocess import Popen
from sys import executable
from typing import Annotated

from aiohttp import ClientSession, TCPConnector, web
from cappa import Arg, command, parse
from msgspec import json

from features.support.fleet import (
    PORTS,
    ZONES,
    Fleet,
    Process,
    account_key,
    base_text,
    overlay_text,
)
from lagoonhinge_core.engine_messages import EngineChunk, LoadReport, Usage
from lagoonhinge_node.answer_relay import Finished
from lagoonhinge_node.caller_answers import AnswerFormat
from stand_ins.serving import serve

TEXT = "f43 "
SSE_HEADERS = {"Content-Type": "text/event-stream"}
TICKS_PER_S = sysconf("SC_CLK_TCK")


@command(name="relay-cost")
@dataclass
class RelayCost:
    """Compare the node with a server that sends the same events itself.

    A source sends its `chunks` at intervals of `pace_ms`. Direct requests get the
    events that the node would send; others go through the node, or through a plain
    relay that copies bytes. Repetitions are interleaved.
    """

    chunks: Annotated[int, Arg(long=True)] = 200
    concurrent: Annotated[int, Arg(long=True)] = 20
    requests: Annotated[int, Arg(long=True)] = 100
    repetitions: Annotated[int, Arg(long=True)] = 5
    pace_ms: Annotated[float, Arg(long=True)] = 2.0
    serve: Annotated[str, Arg(long=True)] = ""
    port: Annotated[int, Arg(long=True)] = 0
    source: Annotated[str, Arg(long=True)] = ""

    def __call__(self) -> None:
        """Run the comparison, or the source or plain relay that `serve` names."""
        if self.serve:
            serve(self.app(), self.port)
        else:
            run(self.compare())

    def app(self) -> web.Application:
        """Return the application of the source or the plain relay."""
        app = web.Application()
        handler = self.send_chunks if self.serve == "source" else self.copy
        app.router.add_post("/v1/completions", handler)
        app.router.add_post("/direct", self.send_events)
        app.router.add_get("/v1/load", self.load)
        app.router.add_get("/healthz", self.load)
        return app

    async def load(self, _: web.Request) -> web.Response:
        """Return a load report; also the health answer."""
        report = LoadReport(0.0, 0, 0, 0, 0, 400_000, False, "boot")
        return web.Response(body=json.encode(report))

    async def send_chunks(self, request: web.Request) -> web.StreamResponse:
        """Send chunks as an engine does."""
        attempt = json.decode(await request.read()).get("attempt", "")
        events = []
        for seq in range(self.chunks):
            is_last = seq == self.chunks - 1
            usage = Usage(4, self.chunks) if is_last else None
            finish_reason = "length" if is_last else None
            chunk = EngineChunk(attempt, seq, TEXT, 1, finish_reason, usage)
            events.append(b"data: " + json.encode(chunk) + b"\n\n")
        return await self._send(request, events)

    async def send_events(self, request: web.Request) -> web.StreamResponse:
        """Send events as the node does to callers."""
        await request.read()
        answer = AnswerFormat("0" * 32, "compliance", False)
        final_events = answer.final_events(Finished("length", Usage(4, self.chunks)))
        events = [answer.text_event(TEXT) for _ in range(self.chunks)]
        return await self._send(request, [*events[:-1], events[-1] + final_events])

    async def _send(self, request, events) -> web.StreamResponse:
        response = web.StreamResponse(headers=SSE_HEADERS)
        await response.prepare(request)
        for event in events:
            await response.write(event)
            await sleep(self.pace_ms / 1000)
        await response.write_eof()
        return response

    async def copy(self, request: web.Request) -> web.StreamResponse:
        """Relay the bytes of a direct answer."""
        if "session" not in self.__dict__:
            self.session = ClientSession(connector=TCPConnector(limit=0))
        body = await request.read()
        response = web.StreamResponse(headers=SSE_HEADERS)
        await response.prepare(request)
        async with self.session.post(self.source + "/direct", data=body) as answer:
            while data := await answer.content.readany():
                await response.write(data)
        return response

    async def compare(self) -> None:
        """Measure all routes in turn and print the ratios."""
        fleet = Fleet()
        try:
            fleet.start_platform()
            source = self._start(fleet, "source", "")
            relay = self._start(fleet, "relay", source.url)
            fleet.engines = [source]
            fleet.start_nodes([ZONES[0]])
            folder = fleet.write_config(base_text(), overlay_text(fleet))
            applied = fleet.ctl("config", "apply", str(folder))
            assert applied.returncode == 0, applied.stderr
            await self._measure(source, relay, fleet.nodes[0])
        finally:
            fleet.stop()

    async def _measure(self, source: Process, relay: Process, node: Process) -> None:
        routes = {
            "direct": (source, source.url + "/direct"),
            "plain relay": (relay, relay.url + "/v1/completions"),
            "node": (node, node.url + "/v1/completions"),
        }
        cpu_s: dict[str, list[float]] = {name: [] for name in routes}
        async with ClientSession(connector=TCPConnector(limit=0)) as session:
            for repetition in range(self.repetitions + 1):
                for name, (process, url) in routes.items():
                    start_cpu_s = _cpu_s(process)
                    await self._request_all(session, url)
                    if repetition:  # the first one is a warm-up
                        cpu_s[name].append(
                            (_cpu_s(process) - start_cpu_s) / self.requests
                        )
        for name, request_cpu_s in cpu_s.items():
            ratios = [
                s / d for s, d in zip(request_cpu_s, cpu_s["direct"], strict=True)
            ]
            print(
                f"{name}: {median(request_cpu_s) * 1e3:.2f} ms a request, "
                f"ratio to direct {median(ratios):.2f} "
                f"({min(ratios):.2f} to {max(ratios):.2f})"
            )

    async def _request_all(self, session: ClientSession, url: str) -> None:
        for _ in range(self.requests // self.concurrent):
            await gather(*(self._request(session, url) for _ in range(self.concurrent)))

    async def _request(self, session: ClientSession, url: str) -> None:
        body = {"model": "compliance", "prompt": "x", "stream": True}
        headers = {"Authorization": f"Bearer {account_key('tube-mills')}"}
        data = json.encode({**body, "max_tokens": self.chunks})
        async with session.post(url, data=data, headers=headers) as answer:
            events = await answer.read()
        assert events.rstrip().endswith(b"[DONE]"), events[-200:]

    def _start(self, fleet: Fleet, role: str, source: str) -> Process:
        port = PORTS.allocate()
        flags = (
            f"--serve={role}",
            f"--port={port}",
            f"--chunks={self.chunks}",
            f"--pace-ms={self.pace_ms}",
        )
        if source:
            flags = (*flags, f"--source={source}")
        arguments = (executable, "-m", "bench.relay_cost", *flags)
        log = fleet.path / f"{role}.log"
        process = Process(role, port, Popen(arguments, stderr=log.open("ab")), log)
        fleet.processes.append(process)
        fleet.starting_urls.append(f"{process.url}/healthz")
        return process


def _cpu_s(process: Process) -> float:
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().split(") ")[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


if __name__ == "__main__":
    parse(RelayCost)()
