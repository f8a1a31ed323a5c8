"""Stand-in for a platform worker: calls, event streams, orders and faults."""

from asyncio import sleep
from dataclasses import dataclass, field
from os import _exit
from time import monotonic
from typing import Annotated, Any

from aiohttp import web
from cappa import Arg, command, parse
from msgspec import Struct, json, structs

from lagoonhinge_http.wire import decode
from lagoonhinge_platform.names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    HELPERS,
    LAST_EVENT_ID,
    LEAVING,
    NOT_EXECUTED,
    ORDER_PATH,
    PROMPT_PARTS,
    REQUEST_LIMIT,
    RESPONSE_STAMP,
    RETRY_AFTER,
    TENANT,
)
from stand_ins.endless_answers import ANSWERS, TRICKLE, write_endlessly
from stand_ins.serving import cut_connection, reset_connection, serve

EVENT_COUNT = 5
EVENT_GAP_S = 0.02
REPEAT_DELAY_S = 0.01  # of an answer that is written again
HANG_DURATION_S = 3600.0
CRASH_EXIT_STATUS = 70
BAD_CHUNK = b"not a size\r\n"
GARBLE_DELAY_S = 0.05  # so that it arrives after the head
# More than the kernel buffers of a connection hold.
LARGE_BODY = b"Batch dossier. " * 500_000
LARGE_EVENT_DATA = b"Batch dossier. " * 12_500
LARGE_EVENT_COUNT = 40
# Answers with status 200 to a request for a stream.
ERROR_PAGES = {
    "page": ("text/html", b"<p>out of order</p>\n\n"),
    "event without id": ("text/event-stream", b"data: out of order\n\n"),
    "old event": ("text/event-stream", b"id: 2\ndata: token 2\n\n"),
}
# Answers that are written before the request's body is read, and then reset.
EARLY_FAULTS = {"early reset": 0.0, "early answer, then reset": 0.05}
# Where an answer's head ends, and whether its connection is reset or closed then.
CUT_HEADS = {
    "head cut in its first line": (b"HTTP/1.1 200", False),
    "head cut after its first line": (b"HTTP/1.1 200 OK\r\n", False),
    "head cut in a header": (b"\r\nContent-Le", False),
    "head cut after a header": (b"\r\nContent-Length: 0\r\n", False),
    "head cut before the empty line": (b"\r\n\r", False),
    "head reset before the empty line": (b"\r\n\r", True),
}
ORDER_FAULT = "order "  # before the name of a fault of orders


class WorkerFaults(Struct, frozen=True):
    """Faults in force.

    Attributes:
        how: Name of the fault; empty for none.
        count: Number of further requests that are affected; negative for all.
        pause_s: Delay before each event or answer, in seconds.
        silence_s: Length of the silences "silent" and "stall", in seconds.
        limit: Limit named in all answers, as it is sent; empty for none.
        leaving: Whether all answers say that the worker leaves.
        retry_after: `Retry-After` of refusals, as it is sent; empty for none.
        crashing_part: Part of a prompt that crashes the worker when it begins to write
            the answer; empty for none.
    """

    how: str = ""
    count: int = -1
    pause_s: float = EVENT_GAP_S
    silence_s: float = HANG_DURATION_S
    limit: str = ""
    leaving: bool = False
    retry_after: str = ""
    crashing_part: str = ""


NO_FAULTS = WorkerFaults()


@dataclass
class WorkerState:
    """Requests and orders that a worker has received, and its faults.

    Attributes:
        endless: Endless answers that are being written.
    """

    instance: str
    runs: list[dict[str, Any]] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    ended: int = 0
    endless: int = 0
    reservations: dict[str, int] = field(default_factory=dict)
    orders: list[dict[str, Any]] = field(default_factory=list)
    faults: WorkerFaults = NO_FAULTS

    def next_fault(self) -> str:
        """Return the fault of the next request and decrement the count."""
        faults = self.faults
        if faults.count == 0:
            return ""
        if faults.count > 0:
            self.faults = structs.replace(faults, count=faults.count - 1)
        return faults.how


STATE = web.AppKey("worker", WorkerState)


async def _execute(request: web.Request) -> web.StreamResponse:
    state = request.app[STATE]
    is_early = state.faults.how in EARLY_FAULTS and state.faults.count != 0
    body = b"" if is_early else await request.read()
    headers = request.headers
    if headers.get(EXPECT_INSTANCE, state.instance) != state.instance:
        return web.Response(status=421)
    state.arrivals_s.append(monotonic())
    fault = state.next_fault()
    if fault == "shed":
        headers = {NOT_EXECUTED: "1", **_notices(state)}
        if state.faults.retry_after:
            headers[RETRY_AFTER] = state.faults.retry_after
        return web.Response(status=503, headers=headers)
    if fault == "refusal twice":
        assert request.transport is not None
        head = f"HTTP/1.1 503 Busy\r\n{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
        request.transport.write(head.encode())
        await sleep(REPEAT_DELAY_S)
        request.transport.write(head.encode())
        await sleep(HANG_DURATION_S)
    if fault in ("503 body", "421 body"):
        return await _write_endless(request, fault, {NOT_EXECUTED: "1"})
    if fault == "cut":
        cut_connection(request)
        raise ConnectionResetError
    state.runs.append(
        {
            "id": headers.get(ATTEMPT_ID),
            "method": request.method,
            "target": request.raw_path,
            "body": body.decode("latin-1"),
            "account": headers.get(TENANT),
            "key": headers.get(AUTHORIZATION),
            "limit_ms": headers.get(DEADLINE_MS),
            "helpers": headers.get(HELPERS),
            "last_event": headers.get(LAST_EVENT_ID),
            "names": sorted(str(name) for name in headers),
        }
    )
    try:
        if fault == "crash":
            _exit(CRASH_EXIT_STATUS)
        if fault == "silent":
            await sleep(state.faults.silence_s)
        if fault.removeprefix(TRICKLE) in ANSWERS:
            headers = _response_headers(request, fault)
            return await _write_endless(request, fault, headers)
        if fault in EARLY_FAULTS:
            return await _answer_early(request, EARLY_FAULTS[fault])
        if fault in CUT_HEADS:
            return _cut_head(request, *CUT_HEADS[fault])
        if request.path.startswith("/stream/"):
            return await _stream(request, state, fault)
        return await _call(request, state, fault)
    finally:
        state.ended += 1


async def _write_endless(
    request: web.Request, fault: str, headers: dict[str, str]
) -> web.StreamResponse:
    state = request.app[STATE]
    state.endless += 1
    try:
        await write_endlessly(request, fault, headers)
    finally:
        state.endless -= 1
    raise AssertionError("an endless answer ended")


def _notices(state: WorkerState) -> dict[str, str]:
    """Return what the worker says of itself in all its answers."""
    headers = {REQUEST_LIMIT: state.faults.limit} if state.faults.limit else {}
    if state.faults.leaving:
        headers[LEAVING] = "1"
    return headers


def _response_headers(request: web.Request, fault: str) -> dict[str, str]:
    attempt = "another" if fault == "foreign" else request.headers.get(ATTEMPT_ID, "")
    state = request.app[STATE]
    headers = {ATTEMPT_ID: attempt, "X-Served-By": state.instance, **_notices(state)}
    if fault != "unstamped":
        headers[RESPONSE_STAMP] = f"stamp.{request.app[STATE].instance}"
    if fault == "encoded":
        headers["Content-Encoding"] = "gzip"
    return headers


async def _call(
    request: web.Request, state: WorkerState, fault: str
) -> web.StreamResponse:
    await sleep(state.faults.pause_s)
    body = f"answer of {request.raw_path}".encode()
    headers = _response_headers(request, fault)
    if fault == "large":
        return web.Response(body=LARGE_BODY, headers=headers)
    if fault == "error":
        return web.Response(status=500, body=b"failed", headers=headers)
    if fault == "refusal":
        return web.Response(status=503, body=b"ran, though", headers=headers)
    if fault == "garbled":
        return await _write_garbled(request, headers, body)
    if fault == "status 000":
        return _write_status_000(request, headers, body)
    if fault in ("unframed", "truncated", "unframed reset", "extra"):
        return await _write_raw(request, headers, body, fault)
    return web.Response(body=body, headers=headers)


async def _write_garbled(
    request: web.Request, headers: dict[str, str], body: bytes
) -> web.StreamResponse:
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(body)
    await sleep(GARBLE_DELAY_S)
    assert request.transport is not None
    request.transport.write(BAD_CHUNK)
    await sleep(HANG_DURATION_S)
    return response


async def _write_raw(
    request: web.Request, headers: dict[str, str], body: bytes, fault: str
) -> web.StreamResponse:
    assert request.transport is not None
    lines = [f"{name}: {value}" for name, value in headers.items()]
    if fault in ("truncated", "extra"):
        lines.append(f"Content-Length: {len(body)}")
    response_head = _raw_head(lines)
    sent_body = body if fault in ("unframed", "extra") else body[:-3]
    request.transport.write(response_head + sent_body)
    if fault == "extra":
        request.transport.write(response_head + body)
    await sleep(0.02)
    if fault == "unframed reset":
        reset_connection(request)
    request.transport.close()
    raise web.HTTPInternalServerError


async def _answer_early(request: web.Request, reset_after_s: float) -> web.Response:
    """Write a part of an answer without length, and reset the connection."""
    assert request.transport is not None
    lines = [f"{k}: {v}" for k, v in _response_headers(request, "").items()]
    request.transport.write(_raw_head(lines) + b"answer of")
    await sleep(reset_after_s)
    reset_connection(request)
    raise web.HTTPInternalServerError


def _cut_head(request: web.Request, end: bytes, is_reset: bool) -> web.Response:
    """Write an answer's head up to the end of some bytes, and end the connection."""
    assert request.transport is not None
    lines = [f"{k}: {v}" for k, v in _response_headers(request, "").items()]
    head = _raw_head([*lines, "Content-Length: 0"])
    request.transport.write(head[: head.index(end) + len(end)])
    if is_reset:
        reset_connection(request)
    request.transport.close()
    raise web.HTTPInternalServerError


def _write_status_000(
    request: web.Request, headers: dict[str, str], body: bytes
) -> web.Response:
    assert request.transport is not None
    lines = [f"{k}: {v}" for k, v in headers.items()]
    head = _raw_head([*lines, f"Content-Length: {len(body)}"])
    request.transport.write(head.replace(b"200 OK", b"000 Trouble", 1) + body)
    request.transport.close()
    raise web.HTTPInternalServerError


def _raw_head(lines: list[str]) -> bytes:
    return "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()


async def _write_unframed_stream(
    request: web.Request, headers: dict[str, str], fault: str
) -> web.StreamResponse:
    """Write a stream without length or chunks, which ends with its connection."""
    assert request.transport is not None
    lines = [f"{name}: {value}" for name, value in headers.items()]
    request.transport.write(_raw_head([*lines, "Content-Type: text/event-stream"]))
    first_number = int(request.headers.get(LAST_EVENT_ID, "0")) + 1
    for number in range(first_number, EVENT_COUNT + 1):
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        await sleep(EVENT_GAP_S)
        if number == 3 and fault == "unframed break":
            request.transport.write(event[: len(event) // 2])
            break
        request.transport.write(event)
    await sleep(EVENT_GAP_S)
    request.transport.close()
    raise web.HTTPInternalServerError


async def _stream(
    request: web.Request, state: WorkerState, fault: str
) -> web.StreamResponse:
    headers = _response_headers(request, fault)
    if fault == "error":
        return web.Response(status=500, body=b"failed", headers=headers)
    if fault == "not found":
        return web.Response(status=404, body=b"no such answer", headers=headers)
    if fault in ERROR_PAGES:
        content_type, page = ERROR_PAGES[fault]
        return web.Response(body=page, headers=headers, content_type=content_type)
    if fault in ("unframed", "unframed break"):
        return await _write_unframed_stream(request, headers, fault)
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    if _crashes(request, state):
        await sleep(state.faults.pause_s)
        _exit(CRASH_EXIT_STATUS)
    first_number = int(request.headers.get(LAST_EVENT_ID, "0")) + 1
    count = LARGE_EVENT_COUNT if fault == "large" else EVENT_COUNT
    for number in range(first_number, count + 1):
        await sleep(state.faults.pause_s)
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        if fault == "large":
            event = b"id: %d\ndata: %s\n\n" % (number, LARGE_EVENT_DATA)
        if fault == "break" and number == 3:
            await response.write(event[: len(event) // 2])
            cut_connection(request)
            raise ConnectionResetError
        if fault == "garbled" and number == 3:
            assert request.transport is not None
            request.transport.write(BAD_CHUNK)
            await sleep(HANG_DURATION_S)
        if fault == "stall" and number == 3:
            await sleep(state.faults.silence_s)
        await response.write(event)
    await response.write_eof()
    return response


def _crashes(request: web.Request, state: WorkerState) -> bool:
    entries = request.headers.get(PROMPT_PARTS, "").split(",")
    parts = {entry.partition(":")[0] for entry in entries if entry}
    return state.faults.crashing_part in parts


async def _order(request: web.Request) -> web.StreamResponse:
    state = request.app[STATE]
    order = json.decode(await request.read())
    state.orders.append(order)
    if state.faults.how.startswith(ORDER_FAULT):
        fault = state.faults.how.removeprefix(ORDER_FAULT)
        return await _write_endless(request, fault, {})
    if state.faults.how == "no memory":
        return web.Response(status=409)
    if order["op"] == "reserve":
        state.reservations[order["id"]] = order["tokens"]
    else:
        state.reservations.pop(order["id"], None)
    return web.json_response({"free": 0})


async def _healthz(_: web.Request) -> web.Response:
    return web.Response()


async def _record(request: web.Request) -> web.Response:
    state = request.app[STATE]
    record = {
        "runs": state.runs,
        "ended": state.ended,
        "endless": state.endless,
        "tickets": state.reservations,
        "orders": state.orders,
        "arrivals_s": state.arrivals_s,
        "faults_left": state.faults.count,
    }
    return web.Response(body=json.encode(record))


async def _set_faults(request: web.Request) -> web.Response:
    request.app[STATE].faults = decode(await request.read(), WorkerFaults)
    return web.Response()


def worker_app(instance: str) -> web.Application:
    """Return the application; tests drive it under `/control/`."""
    app = web.Application(client_max_size=16 << 20)
    app[STATE] = WorkerState(instance)
    app.add_routes(
        [
            web.get("/healthz", _healthz),
            web.get("/control/seen", _record),
            web.put("/control/faults", _set_faults),
            web.post(ORDER_PATH, _order),
            web.route("*", "/{path:.*}", _execute),
        ]
    )
    return app


@command(name="stand-in-platform-worker")
@dataclass
class WorkerFlags:
    """Serve one worker on loopback."""

    port: Annotated[int, Arg(long=True)]
    instance: Annotated[str, Arg(long=True)]


if __name__ == "__main__":
    flags = parse(WorkerFlags)
    serve(worker_app(flags.instance), flags.port)
