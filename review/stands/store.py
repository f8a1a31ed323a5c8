"""Stand-in for the platform's store: rows, transactions, a feed and older copies."""

from asyncio import Event, StreamReader, StreamWriter, sleep, wait_for
from base64 import b64decode, b64encode
from json import dumps, loads
from time import monotonic
from typing import Any

from stands.http import Message, encode, port_of, read_body, serve

ANSWER_S = 0.004
MAX_ROWS = 500

Row = dict[str, Any]


class Store:
    """The store; keeps its whole history.

    Attributes:
        is_away: Whether its calls get 503.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.history: list[Row] = []
        self.version = 0
        self.era = 0
        self.is_away = False
        self.changed = Event()
        self.port = 0
        self.copies: list[tuple[float, int, int]] = []

    async def start(self) -> None:
        """Serve on a free port."""
        self.server = await serve(self._handle)
        self.port = port_of(self.server)

    def put(self, table: str, key: str, value: dict[str, Any] | bytes) -> None:
        """Write one row."""
        raw = value if isinstance(value, bytes) else dumps(value).encode()
        self._commit([(table, key, b64encode(raw).decode())])

    def remove(self, table: str, key: str) -> None:
        """Remove one row."""
        self._commit([(table, key, None)])

    def copy(self) -> tuple[int, dict[tuple[str, str], Row], list[Row]]:
        """Return a copy to come back from."""
        return self.version, dict(self.rows), list(self.history)

    def restore(self, copy: tuple[int, dict[tuple[str, str], Row], list[Row]]) -> None:
        """Come back from an older copy."""
        self.version, rows, history = copy
        self.rows, self.history = dict(rows), list(history)
        self.era += 1
        self._wake()

    def _commit(self, changes: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, value in changes:
            row: Row = {"table": table, "part": "", "key": key, "ver": self.version}
            if value is None:
                self.rows.pop((table, key), None)
                self.history.append({**row, "deleted": True})
            else:
                self.rows[table, key] = {**row, "value": value}
                self.history.append(self.rows[table, key])
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = Event()

    async def _handle(
        self, call: Message, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        await read_body(reader, call)
        await sleep(ANSWER_S)
        status, fields = 503, {}
        if not self.is_away:
            status, fields = await self._answer(call)
        message = {**fields, "ver": self.version, "nowMs": monotonic() * 1000}
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        body = dumps(message).encode() if status != 503 else b""
        writer.write(encode(f"HTTP/1.1 {status} Answer", headers, body))
        await writer.drain()
        return True

    async def _answer(self, call: Message) -> tuple[int, dict[str, Any]]:
        match call.path:
            case "/lagoonhinge/rows-get":
                return 200, self._get(call.query)
            case "/lagoonhinge/rows-feed":
                return await self._feed(call.query)
            case "/lagoonhinge/rows-tx":
                return self._transact(loads(call.body))
            case _:
                return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        first, end = query.get("from", ""), query.get("target")
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and key >= first and (end is None or key < end)
        ]
        return {"rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, end_s = int(query["after"]), monotonic() + int(query["waitMs"]) / 1000
        era = self.era
        while True:
            if after > self.version:
                return 410, {}
            rows = [
                row
                for row in self.history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left_s = end_s - monotonic()
            if self.is_away or self.era != era:
                return (503, {}) if self.is_away else (200, {"rows": rows})
            if rows or left_s <= 0:
                return 200, {"rows": rows}
            try:
                await wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in call.get("expected", ()):
            current = self.rows.get((row["table"], row["key"]))
            if (current["ver"] if current else 0) != row["ver"]:
                return 412, {"rows": [current] if current else []}
        for row in call.get("writes", ()):
            b64decode(row["value"], validate=True)
        self._commit(
            [(row["table"], row["key"], row["value"]) for row in call["writes"]]
            + [(row["table"], row["key"], None) for row in call["remove"]]
        )
        return 200, {}
