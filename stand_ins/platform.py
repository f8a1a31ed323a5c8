"""Stand-in for the platform: table, object store, delayed VM list, weight store."""

from asyncio import sleep
from collections import deque
from dataclasses import dataclass, field
from hashlib import sha256
from time import monotonic
from typing import Annotated

from aiohttp import web
from aiohttp.typedefs import Handler
from cappa import Arg, command, parse

from lagoonhinge_core.store_messages import Row, VmEntry
from lagoonhinge_http.wire import decode, encode
from stand_ins.serving import cut_connection, serve


@dataclass(frozen=True)
class PlatformFaults:
    """Faults in force.

    Attributes:
        down: Whether the connection of every call is cut.
        slow_s: Delay before each answer, in seconds.
        lose_replies: Number of next writes that are applied but whose connection is
            cut instead of answered.
        key_prefix: Prefix of the rows and objects to which `lose_replies` applies.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    key_prefix: str = ""


@dataclass
class PlatformState:
    """Rows, objects, VM lists and counters of the platform."""

    vm_list_lag_s: float
    tickets_per_s: float
    rows: dict[str, Row] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    vm_lists: deque[tuple[float, tuple[VmEntry, ...]]] = field(default_factory=deque)
    faults: PlatformFaults = PlatformFaults()
    ticket_times_s: list[float] = field(default_factory=list)
    reads: int = 0
    writes: int = 0
    vm_lists_sent: int = 0

    def visible_vms(self) -> tuple[VmEntry, ...]:
        """Return the newest VM list whose age is at least the lag."""
        visible_until_s = monotonic() - self.vm_list_lag_s
        visible: tuple[VmEntry, ...] = ()
        for set_s, vms in self.vm_lists:
            if set_s <= visible_until_s:
                visible = vms
        return visible

    def issue_ticket(self) -> bool:
        """Issue a load ticket; return whether the weight store's rate allowed it."""
        now_s = monotonic()
        self.ticket_times_s = [
            at_s for at_s in self.ticket_times_s if at_s > now_s - 1.0
        ]
        if len(self.ticket_times_s) >= self.tickets_per_s:
            return False
        self.ticket_times_s.append(now_s)
        return True

    def consume_reply_loss(self, key: str) -> bool:
        """Return whether the answer to a write of `key` is lost, and count it if so."""
        faults = self.faults
        if faults.lose_replies == 0 or not key.startswith(faults.key_prefix):
            return False
        self.faults = PlatformFaults(
            faults.down, faults.slow_s, faults.lose_replies - 1, faults.key_prefix
        )
        return True


DOWN_STATUS = 503
STATE = web.AppKey("state", PlatformState)


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=encode(value), status=status, content_type="application/json"
    )


async def _read_row(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.reads += 1
    row = state.rows.get(request.match_info["key"])
    return _json(row) if row else _json("absent", 404)


async def _write_row(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.writes += 1
    proposed = decode(await request.read(), Row)
    current = state.rows.get(proposed.key, Row(proposed.key, 0, ""))
    if current.version != proposed.version:
        return _json(current, 409)
    row = Row(proposed.key, proposed.version + 1, proposed.value)
    state.rows[proposed.key] = row
    if state.consume_reply_loss(proposed.key):
        cut_connection(request)
    return _json(row)


async def _scan_rows(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.reads += 1
    prefix = request.query["prefix"]
    return _json(
        [row for key, row in sorted(state.rows.items()) if key.startswith(prefix)]
    )


async def _put_object(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.writes += 1
    name = request.match_info["name"]
    state.objects[name] = await request.read()
    if state.consume_reply_loss(name):
        cut_connection(request)
    return _json("stored")


async def _get_object(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.reads += 1
    content = state.objects.get(request.match_info["name"])
    return web.Response(body=content) if content is not None else _json("absent", 404)


async def _list_vms(request: web.Request) -> web.Response:
    state = request.app[STATE]
    answer = _json(state.visible_vms())
    answer.etag = sha256(answer.body).hexdigest()
    cached_etags = request.if_none_match or ()
    if any(tag.value == answer.etag.value for tag in cached_etags):
        return web.Response(status=304)
    state.vm_lists_sent += 1
    return answer


async def _set_vms(request: web.Request) -> web.Response:
    vms = decode(await request.read(), tuple[VmEntry, ...])
    request.app[STATE].vm_lists.append((monotonic(), vms))
    return _json("set")


async def _issue_ticket(request: web.Request) -> web.Response:
    if request.app[STATE].issue_ticket():
        return _json("taken")
    return _json("rate used up", 429)


async def _set_faults(request: web.Request) -> web.Response:
    request.app[STATE].faults = decode(await request.read(), PlatformFaults)
    return _json("set")


async def _counters(request: web.Request) -> web.Response:
    state = request.app[STATE]
    counters = ("reads", "writes", "vm_lists_sent")
    return _json({name: getattr(state, name) for name in counters})


@web.middleware
async def _apply_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    if request.path.startswith("/control/"):
        return await handler(request)
    faults = request.app[STATE].faults
    if faults.slow_s:
        await sleep(faults.slow_s)
    if faults.down:
        cut_connection(request)
        return _json("down", DOWN_STATUS)
    return await handler(request)


def platform_app(vm_list_lag_s: float, tickets_per_s: float) -> web.Application:
    """Return the application; tests drive it under `/control/`."""
    app = web.Application(middlewares=[_apply_faults], client_max_size=64 << 20)
    app[STATE] = PlatformState(vm_list_lag_s, tickets_per_s)
    app.add_routes(
        [
            web.get("/table/rows/{key:.+}", _read_row),
            web.put("/table/rows/{key:.+}", _write_row),
            web.get("/table/scan", _scan_rows),
            web.put("/objects/{name:.+}", _put_object),
            web.get("/objects/{name:.+}", _get_object),
            web.get("/vms", _list_vms),
            web.post("/weights/tickets", _issue_ticket),
            web.put("/control/vms", _set_vms),
            web.put("/control/faults", _set_faults),
            web.get("/control/counters", _counters),
        ]
    )
    return app


@command(name="stand-in-platform")
@dataclass
class PlatformFlags:
    """Serve the platform's services on loopback."""

    port: Annotated[int, Arg(long=True)]
    vm_list_lag_s: Annotated[float, Arg(long=True)] = 1.0
    tickets_per_s: Annotated[float, Arg(long=True)] = 5.0


if __name__ == "__main__":
    flags = parse(PlatformFlags)
    serve(platform_app(flags.vm_list_lag_s, flags.tickets_per_s), flags.port)
