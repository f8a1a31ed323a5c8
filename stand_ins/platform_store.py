"""Stand-in for the platform's store: conditional writes and a feed of changes."""

from asyncio import Event, sleep, wait_for
from base64 import b64encode
from dataclasses import dataclass, field
from time import monotonic
from typing import Annotated, Any

from aiohttp import web
from cappa import Arg, command, parse
from msgspec import json

from lagoonhinge_http.wire import decode
from lagoonhinge_platform.names import (
    ROWS_FEED_PATH,
    ROWS_GET_PATH,
    ROWS_TX_PATH,
    STORE_ERA,
)
from stand_ins.endless_answers import ANSWERS, TRICKLE, write_endlessly
from stand_ins.serving import cut_connection, serve

HANG_DURATION_S = 3600.0


@dataclass(frozen=True)
class StoreFaults:
    """Faults in force.

    Attributes:
        down: How calls fail: `""`, `busy`, `many`, `reset`, `silent` or the name of
            an endless answer.
        slow_s: Delay before each answer, in seconds.
        lose_replies: Number of next writes that are applied but whose connection is
            cut instead of answered.
    """

    down: str = ""
    slow_s: float = 0.0
    lose_replies: int = 0


@dataclass(frozen=True)
class Change:
    """A row after one write; `value` is `None` if the write removed it."""

    table: str
    key: str
    value: str | None
    version: int

    def to_message(self) -> dict[str, Any]:
        """Return the row in the store's message format."""
        row = {"table": self.table, "part": "", "key": self.key, "ver": self.version}
        if self.value is None:
            return {**row, "deleted": True}
        return {**row, "value": self.value}


@dataclass
class StoreState:
    """Rows, history of changes and faults of the store.

    Attributes:
        oldest_version: Feeds that start after a smaller version are refused.
        era: Number of times that the store came back from an older copy.
        copy: Version, rows and history to come back to.
        calls: Calls so far.
        endless: Endless answers that are being written.
    """

    rows: dict[tuple[str, str], Change] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    version: int = 0
    oldest_version: int = 0
    era: int = 0
    copy: tuple[int, dict[tuple[str, str], Change], list[Change]] = (0, {}, [])
    faults: StoreFaults = StoreFaults()
    changed: Event = field(default_factory=Event)
    calls: int = 0
    endless: int = 0

    def write(self, table: str, key: str, value: str | None) -> None:
        """Write or remove a row at the current version."""
        change = Change(table, key, value, self.version)
        self.history.append(change)
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = change
        self.changed.set()
        self.changed = Event()


STATE = web.AppKey("store", StoreState)


def _answer(state: StoreState, status: int = 200, **fields: Any) -> web.Response:
    message = {**fields, "ver": state.version, "nowMs": int(monotonic() * 1000)}
    return web.Response(body=json.encode(message), status=status)


@web.middleware
async def _apply_faults(request: web.Request, handler: Any) -> web.StreamResponse:
    state = request.app[STATE]
    if request.path.startswith("/control/"):
        return await handler(request)
    state.calls += 1
    response = await _answer_call(request, handler, state)
    response.headers[STORE_ERA] = str(state.era)
    return response


async def _answer_call(
    request: web.Request, handler: Any, state: StoreState
) -> web.StreamResponse:
    faults = state.faults
    match faults.down:
        case "busy":
            return web.Response(status=503)
        case "many":
            return web.Response(status=429)
        case "reset":
            cut_connection(request)
        case "silent":
            await sleep(HANG_DURATION_S)
    if faults.down.removeprefix(TRICKLE) in ANSWERS:
        state.endless += 1
        try:
            await write_endlessly(request, faults.down, {})
        finally:
            state.endless -= 1
    await sleep(faults.slow_s)
    return await handler(request)


async def _get(request: web.Request) -> web.Response:
    state = request.app[STATE]
    table, from_key = request.query["table"], request.query.get("from", "")
    rows = [
        change.to_message()
        for (name, key), change in sorted(state.rows.items())
        if name == table and key >= from_key
    ]
    return _answer(state, rows=rows, hasMore=False)


async def _feed(request: web.Request) -> web.Response:
    state = request.app[STATE]
    after, wait_s = int(request.query["after"]), int(request.query["waitMs"]) / 1000
    deadline_s = monotonic() + wait_s
    while True:
        if not state.oldest_version <= after <= state.version:
            return web.Response(status=410)
        rows = [
            change.to_message()
            for change in state.history
            if change.version > after and change.table == request.query["table"]
        ]
        remaining_s = deadline_s - monotonic()
        if rows or remaining_s <= 0 or state.faults.down:
            return _answer(state, rows=rows)
        try:
            await wait_for(state.changed.wait(), remaining_s)
        except TimeoutError:
            # No change within the wait; the next iteration answers without rows.
            continue


async def _transact(request: web.Request) -> web.Response:
    state = request.app[STATE]
    transaction = json.decode(await request.read())
    for row in transaction["expected"]:
        current = state.rows.get((row["table"], row["key"]))
        if (current.version if current else 0) != row["ver"]:
            return _answer(state, 412, rows=[current.to_message()] if current else [])
    state.version += 1
    for row in transaction["writes"]:
        state.write(row["table"], row["key"], row["value"])
    for row in transaction["remove"]:
        state.write(row["table"], row["key"], None)
    if state.faults.lose_replies:
        state.faults = StoreFaults(lose_replies=state.faults.lose_replies - 1)
        cut_connection(request)
    return _answer(state)


async def _put_row(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.version += 1
    value = b64encode(await request.read()).decode()
    state.write(request.match_info["table"], request.match_info["key"], value)
    return _answer(state)


async def _remove_row(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.version += 1
    state.write(request.match_info["table"], request.match_info["key"], None)
    return _answer(state)


async def _discard_history(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.oldest_version = state.version + 1
    state.history = []
    state.version += 1
    state.changed.set()
    state.changed = Event()
    return _answer(state)


async def _make_copy(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.copy = state.version, dict(state.rows), list(state.history)
    return _answer(state)


async def _restore_copy(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.version, rows, history = state.copy
    state.rows, state.history = dict(rows), list(history)
    state.era += 1
    state.changed.set()
    state.changed = Event()
    return _answer(state)


async def _set_faults(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.faults = decode(await request.read(), StoreFaults)
    state.changed.set()
    state.changed = Event()
    return _answer(state)


async def _calls(request: web.Request) -> web.Response:
    state = request.app[STATE]
    return _answer(state, calls=state.calls, endless=state.endless)


def store_app() -> web.Application:
    """Return the application; tests drive it under `/control/`."""
    app = web.Application(middlewares=[_apply_faults])
    app[STATE] = StoreState()
    app.add_routes(
        [
            web.get(ROWS_GET_PATH, _get),
            web.get(ROWS_FEED_PATH, _feed),
            web.post(ROWS_TX_PATH, _transact),
            web.get("/healthz", _calls),
            web.get("/control/calls", _calls),
            web.put("/control/rows/{table}/{key:.+}", _put_row),
            web.delete("/control/rows/{table}/{key:.+}", _remove_row),
            web.put("/control/forget", _discard_history),
            web.put("/control/copy", _make_copy),
            web.put("/control/restore", _restore_copy),
            web.put("/control/faults", _set_faults),
        ]
    )
    return app


@command(name="stand-in-platform-store")
@dataclass
class StoreFlags:
    """Serve the platform's store on loopback."""

    port: Annotated[int, Arg(long=True)]


if __name__ == "__main__":
    serve(store_app(), parse(StoreFlags).port)
