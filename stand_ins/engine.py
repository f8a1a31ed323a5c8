"""Stand-in for a model engine that serves JSON and SSE over HTTP."""

from asyncio import create_task, sleep
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from os import _exit
from time import monotonic
from typing import Annotated
from uuid import uuid4

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from cappa import Arg, command, parse

from lagoonhinge_core.engine_messages import (
    EngineCall,
    EngineChunk,
    Order,
    ReservationRequest,
    SpanRef,
    SpanRequest,
)
from lagoonhinge_http.wire import BadMessage, decode, encode
from stand_ins.engine_batch import StreamRun
from stand_ins.engine_orders import StaleFencing
from stand_ins.engine_state import EngineFaults, EngineRates, EngineState, Refusal
from stand_ins.serving import cut_connection, serve

STATE = web.AppKey("state", EngineState)
CRASH_EXIT_STATUS = 70
REFUSED_RETRY_AFTER_S = 0.5
IMPORT_TIMEOUT = ClientTimeout(total=5.0)


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=encode(value), status=status, content_type="application/json"
    )


def _refuse(refusal: Refusal) -> web.Response:
    body = {"reason": refusal.reason, "retry_after_s": REFUSED_RETRY_AFTER_S}
    return _json(body, refusal.status)


async def _complete(request: web.Request) -> web.StreamResponse:
    state = request.app[STATE]
    try:
        call = decode(await request.read(), EngineCall)
    except BadMessage as error:
        return _refuse(Refusal(400, str(error)))
    try:
        imported = "".join([await _import_span(span) for span in call.spans])
    except (ClientError, TimeoutError) as error:
        return _refuse(Refusal(503, f"a span is missing: {error!r}"))
    accepted = state.accept(call, imported)
    if isinstance(accepted, Refusal):
        return _refuse(accepted)
    marker = state.faults.crash_marker
    if marker and marker in call.prompt:
        _exit(CRASH_EXIT_STATUS)
    return await _send_stream(request, accepted, 0)


async def _import_span(span: SpanRef) -> str:
    async with (
        ClientSession(raise_for_status=True) as session,
        session.get(
            f"{span.url}/v1/exports/{span.export}", timeout=IMPORT_TIMEOUT
        ) as answer,
    ):
        return await answer.text()


async def _resume(request: web.Request) -> web.StreamResponse:
    run = request.app[STATE].streams.get(request.match_info["attempt"])
    if run is None:
        return _refuse(Refusal(404, "no such stream"))
    return await _send_stream(request, run, int(request.query.get("from", "0")))


async def _send_stream(
    request: web.Request, run: StreamRun, next_seq: int
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    faults = request.app[STATE].faults
    while not run.cancelled:
        changed = run.progress.event
        batch = run.chunks[next_seq:]
        next_seq += len(batch)
        for chunk in _corrupted(batch, faults):
            await response.write(b"data: " + encode(chunk) + b"\n\n")
        if faults.corrupt == "cut" and next_seq >= 2:
            cut_connection(request)
            return response
        if run.finished and next_seq >= len(run.chunks):
            return response
        await changed.wait()
    return response


def _corrupted(batch: list[EngineChunk], faults: EngineFaults) -> list[EngineChunk]:
    match faults.corrupt:
        case "double":
            return [chunk for chunk in batch for _ in range(2)]
        case "reorder":
            return batch[::-1]
        case "foreign":
            return [replace(chunk, attempt="other-1-1") for chunk in batch] + batch
        case _:
            return batch


async def _reserve(request: web.Request) -> web.Response:
    reservation = decode(await request.read(), ReservationRequest)
    refusal = request.app[STATE].reserve(reservation)
    return _refuse(refusal) if refusal else _json("reserved")


async def _add_span(request: web.Request) -> web.Response:
    state = request.app[STATE]
    run = state.add_span(decode(await request.read(), SpanRequest))
    if isinstance(run, Refusal):
        return _refuse(run)
    marker = state.faults.crash_marker
    if marker and marker in run.request.prompt:
        _exit(CRASH_EXIT_STATUS)
    while not run.is_ready():
        if run.cancelled:
            return _refuse(Refusal(404, "the export was released"))
        await run.progress.wait()
    return _json("exported")


async def _export(request: web.Request) -> web.Response:
    run = request.app[STATE].spans.get(request.match_info["name"])
    if run is None or not run.is_ready():
        return _refuse(Refusal(404, "no such export"))
    return web.Response(text=run.request.prompt)


async def _release(request: web.Request) -> web.Response:
    state = request.app[STATE]
    was_held = state.release(request.match_info["kind"], request.match_info["name"])
    if state.faults.lose_release_replies:
        remaining = state.faults.lose_release_replies - 1
        state.faults = replace(state.faults, lose_release_replies=remaining)
        cut_connection(request)
    return _json("released" if was_held else "not held", 200 if was_held else 404)


async def _holdings(request: web.Request) -> web.Response:
    return _json(request.app[STATE].list_holdings())


async def _cache_events(request: web.Request) -> web.Response:
    after = int(request.query.get("after", "0"))
    return _json(request.app[STATE].published_events(after))


async def _load(request: web.Request) -> web.Response:
    reports = request.app[STATE].reports
    if not reports:
        return _refuse(Refusal(503, "no report yet"))
    created_s, report = reports[0]
    return _json(replace(report, age_s=monotonic() - created_s))


async def _order(request: web.Request) -> web.Response:
    state = request.app[STATE]
    order = decode(await request.read(), Order)
    match state.orders.apply(order, state.faults.load_s):
        case StaleFencing(highest_seen):
            return _refuse(
                Refusal(412, f"fencing {order.fencing} is below {highest_seen}")
            )
        case report:
            return _json(report)


async def _order_state(request: web.Request) -> web.Response:
    return _json(request.app[STATE].orders.report())


async def _set_faults(request: web.Request) -> web.Response:
    request.app[STATE].set_faults(decode(await request.read(), EngineFaults))
    return _json("set")


async def _memory_use(request: web.Request) -> web.Response:
    state = request.app[STATE]
    return _json({"used_tokens": state.used_tokens, "accepted": state.accepted})


async def _healthz(_: web.Request) -> web.Response:
    return _json("ok")


async def _run_steps(app: web.Application) -> AsyncIterator[None]:
    async def run() -> None:
        state = app[STATE]
        last_s = monotonic()
        while True:
            await sleep(state.rates.step_s)
            now_s = monotonic()
            state.step(now_s - last_s)
            last_s = now_s

    task = create_task(run())
    yield
    task.cancel()


def engine_app(rates: EngineRates, checks_fencing: bool) -> web.Application:
    """Return the application; tests drive it under `/control/`."""
    app = web.Application(client_max_size=64 << 20)
    app[STATE] = EngineState(rates, uuid4().hex, checks_fencing)
    app.cleanup_ctx.append(_run_steps)
    app.add_routes(
        [
            web.post("/v1/completions", _complete),
            web.get("/v1/streams/{attempt}", _resume),
            web.post("/v1/reservations", _reserve),
            web.post("/v1/spans", _add_span),
            web.get("/v1/exports/{name}", _export),
            web.get("/v1/cache-events", _cache_events),
            web.delete("/v1/holdings/{kind}/{name}", _release),
            web.get("/v1/holdings", _holdings),
            web.get("/v1/load", _load),
            web.post("/v1/orders", _order),
            web.get("/v1/orders", _order_state),
            web.get("/healthz", _healthz),
            web.put("/control/faults", _set_faults),
            web.get("/control/ledger", _memory_use),
        ]
    )
    return app


@command(name="stand-in-engine")
@dataclass
class EngineFlags:
    """Serve one engine on loopback."""

    port: Annotated[int, Arg(long=True)]
    kv_tokens: Annotated[int, Arg(long=True)] = 400_000
    prefill_tokens_per_s: Annotated[float, Arg(long=True)] = 200_000.0
    decode_tokens_per_s: Annotated[float, Arg(long=True)] = 100.0
    ignores_fencing: Annotated[bool, Arg(long=True)] = False


if __name__ == "__main__":
    flags = parse(EngineFlags)
    rates = EngineRates(
        flags.kv_tokens, flags.prefill_tokens_per_s, flags.decode_tokens_per_s
    )
    serve(engine_app(rates, not flags.ignores_fencing), flags.port)
