"""Stand-in for a plain service that counts executions by idempotency key."""

from asyncio import sleep
from collections import Counter
from dataclasses import dataclass, field
from os import _exit
from typing import Annotated

from aiohttp import web
from cappa import Arg, command, parse

from lagoonhinge_http.wire import decode, encode
from stand_ins.serving import cut_connection, serve

CRASH_EXIT_STATUS = 70


@dataclass(frozen=True)
class PlainFaults:
    """Faults in force.

    Attributes:
        refuse: Whether calls are refused before they run.
        slow_s: Delay between execution and answer, in seconds.
        cut: Where the connection is cut: `""`, `before` or `after` execution.
        crash: Where the process exits: `""`, `before` or `after` execution.
        padding: Size of the padding in each answer, in bytes.
    """

    refuse: bool = False
    slow_s: float = 0.0
    cut: str = ""
    crash: str = ""
    padding: int = 0


@dataclass
class PlainState:
    """Executions and the faults in force."""

    executions: Counter[str] = field(default_factory=Counter)
    faults: PlainFaults = PlainFaults()


STATE = web.AppKey("state", PlainState)


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=encode(value), status=status, content_type="application/json"
    )


def _inject_fault(request: web.Request, point: str) -> None:
    faults = request.app[STATE].faults
    if faults.crash == point:
        _exit(CRASH_EXIT_STATUS)
    if faults.cut == point:
        cut_connection(request)
        raise web.HTTPInternalServerError


async def _execute(request: web.Request) -> web.Response:
    state = request.app[STATE]
    body = await request.read()
    if state.faults.refuse:
        return _json({"reason": "refusing"}, 503)
    _inject_fault(request, "before")
    key = request.headers.get("Idempotency-Key", f"{request.method} {request.path}")
    state.executions[key] += 1
    number = state.executions.total()
    _inject_fault(request, "after")
    await sleep(state.faults.slow_s)
    padding = "." * state.faults.padding
    answer = {"number": number, "path": request.path, "bytes": len(body)}
    return _json({**answer, "padding": padding} if padding else answer)


async def _executions(request: web.Request) -> web.Response:
    return _json(request.app[STATE].executions)


async def _set_faults(request: web.Request) -> web.Response:
    request.app[STATE].faults = decode(await request.read(), PlainFaults)
    return _json("set")


async def _healthz(_: web.Request) -> web.Response:
    return _json("ok")


def plain_app() -> web.Application:
    """Return the application; tests drive it under `/control/`."""
    app = web.Application(client_max_size=64 << 20)
    app[STATE] = PlainState()
    app.add_routes(
        [
            web.get("/healthz", _healthz),
            web.get("/control/executions", _executions),
            web.put("/control/faults", _set_faults),
            web.route("*", "/{path:.*}", _execute),
        ]
    )
    return app


@command(name="stand-in-plain")
@dataclass
class PlainFlags:
    """Serve one plain service on loopback."""

    port: Annotated[int, Arg(long=True)]


if __name__ == "__main__":
    serve(plain_app(), parse(PlainFlags).port)
