"""Stand-in for the platform's store: rows, conditional writes and a feed."""

from asyncio import Event, sleep, wait_for
from base64 import b64decode, b64encode
from dataclasses import dataclass
from json import dumps
from logging import CRITICAL, getLogger
from time import monotonic
from typing import Any

from aiohttp import web

ANSWER_S = 0.004
MAX_ROWS = 500
ROW_BYTES = 65_536


@dataclass(frozen=True)
class Row:
    """A row after one write; `value` is `None` once it is removed."""

    table: str
    key: str
    value: bytes | None
    version: int

    def to_message(self) -> dict[str, Any]:
        """Return the row as the store sends it."""
        row = {"table": self.table, "part": "", "key": self.key, "ver": self.version}
        if self.value is None:
            return {**row, "deleted": True}
        return {**row, "value": b64encode(self.value).decode()}


class Store:
    """The store; it has one part for each table, and keeps its whole history."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.history: list[Row] = []
        self.version = 0
        self.changed = Event()
        self.port = 0

    async def start(self) -> None:
        """Serve on a free port of loopback."""
        app = web.Application(client_max_size=2 << 20)
        app.add_routes(
            [
                web.get("/lagoonhinge/rows-get", self._get),
                web.get("/lagoonhinge/rows-feed", self._feed),
                web.post("/lagoonhinge/rows-tx", self._transact),
            ]
        )
        self.port = port_of(await serve(app))

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row, as the operator, a worker or another writer does."""
        assert len(value) <= ROW_BYTES, len(value)
        self._commit([Row(table, key, value, self.version + 1)])

    def remove(self, table: str, key: str) -> None:
        """Remove one row."""
        self._commit([Row(table, key, None, self.version + 1)])

    def _commit(self, rows: list[Row]) -> None:
        self.version += 1
        self.history += rows
        for row in rows:
            if row.value is None:
                self.rows.pop((row.table, row.key), None)
            else:
                self.rows[row.table, row.key] = row
        self.changed.set()
        self.changed = Event()

    def _answer(self, status: int = 200, **inputs: Any) -> web.Response:
        message = {**inputs, "ver": self.version, "nowMs": monotonic() * 1000}
        return web.Response(
            status=status,
            text=dumps(message),
            content_type="application/json",
            headers={"Store-Era": "0"},
        )

    async def _get(self, request: web.Request) -> web.Response:
        await sleep(ANSWER_S)
        table, first = request.query["table"], request.query.get("from", "")
        target = request.query.get("target")
        limit = min(MAX_ROWS, int(request.query.get("limit", MAX_ROWS)))
        rows = [
            row.to_message()
            for (name, key), row in sorted(self.rows.items())
            if name == table and key >= first and (target is None or key < target)
        ]
        return self._answer(rows=rows[:limit], hasMore=len(rows) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        await sleep(ANSWER_S)
        table, after = request.query["table"], int(request.query["after"])
        end_s = monotonic() + int(request.query["waitMs"]) / 1000
        if after > self.version:
            return self._answer(410)
        while True:
            rows = [
                row.to_message()
                for row in self.history
                if row.version > after and row.table == table
            ]
            remaining_s = end_s - monotonic()
            if rows or remaining_s <= 0:
                return self._answer(rows=rows)
            try:
                await wait_for(self.changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _transact(self, request: web.Request) -> web.Response:
        call = await request.json()
        await sleep(ANSWER_S)
        for row in call["expected"]:
            current = self.rows.get((row["table"], row["key"]))
            if (current.version if current else 0) != row["ver"]:
                rows = [current.to_message()] if current else []
                return self._answer(412, rows=rows)
        version = self.version + 1
        written = [
            Row(row["table"], row["key"], b64decode(row["value"]), version)
            for row in call["writes"]
        ]
        removed = [Row(r["table"], r["key"], None, version) for r in call["remove"]]
        self._commit(written + removed)
        return self._answer()


async def serve(app: web.Application) -> web.AppRunner:
    """Serve an application on a free port of loopback."""
    # A worker that crashes resets its channels, also in the middle of an answer.
    getLogger("aiohttp.server").setLevel(CRITICAL)
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner


def port_of(runner: web.AppRunner) -> int:
    """Return the port on which an application is served."""
    return runner.addresses[0][1]
