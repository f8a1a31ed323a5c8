"""Steps for messages between nodes of different versions."""

from pathlib import Path

from behave import then, when
from msgspec import json, msgpack

from features.support import __file__ as support_file
from lagoonhinge_core.forwarding.crash_causes import digest_request
from lagoonhinge_core.forwarding.messages import CallerRequest
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_core.forwarding.table_replica import _row_digest
from lagoonhinge_core.forwarding.upstreams import stable_rank
from lagoonhinge_node.forwarding.peer_messages import (
    PeerMessage,
    PeerSocket,
    decode_message,
    encode_message,
)

RECORDS = Path(support_file).parent / "messages.json"
REQUEST = CallerRequest("1", "POST", "/a/1", "h", (), b"body", None, None, None, None)


def read_records(version: str) -> tuple[dict[str, bytes], dict[str, str | int]]:
    """Return the recorded messages and digests of a version."""
    records = json.decode(RECORDS.read_bytes())[version]
    digests = records.pop("digests")
    return {name: bytes.fromhex(data) for name, data in records.items()}, digests


@when("a node gets the recorded messages of version {version}")
def step_recorded(context, version):
    context.recorded, context.digests = read_records(version)
    context.decoded = {
        name: decode_message(data) for name, data in context.recorded.items()
    }


@then("it understands the {names}")
def step_understands(context, names):
    assert sorted(context.decoded) == sorted(names.split(", "))
    decoded = context.decoded
    load = decoded["load"].load
    assert (load.node, load.read, load.readings[0].instance) == ("n1", (3,), "e1")
    assert (load.open_work["e1"].requests, load.open_work["e1"].tokens) == (2, 5000)
    assert decoded["cell"].cell.upstreams == {"e1": (250, 2, 5)}
    tables = decoded["store"].store.tables
    assert [t.table.value for t in tables] == ["config", "upstreams", "nodes"]
    assert tables[0].rows[0].value == b"v"
    assert decoded["call_failed"].call_failed.node == "n1"
    if "crashes" in decoded:
        assert decoded["crashes"].crashes.crashes[0].crash.instance == "e1"


@then("it computes the recorded digests of that version")
def step_digests(context):
    computed = {
        "rank": stable_rank("e1 n1").hex(),
        "row": _row_digest("k", 9),
        "request": str(digest_request(REQUEST, "mills")),
    }
    found = {name: computed[name] for name in context.digests}
    assert found == context.digests, (found, context.digests)


@then("it writes the same bytes for the same content")
def step_same_bytes(context):
    for name, data in context.recorded.items():
        assert encode_message(context.decoded[name]) == data, (
            f"the message {name} has changed: see docs/design/upgrades.md"
        )


@when("a node gets an update with a field and one with a table that it does not know")
def step_unknown(context):
    socket = PeerSocket(NodeEntry("n0", "127.0.0.1", 1, "north"))
    context.received: list[PeerMessage] = []
    socket.handlers.append(context.received.append)
    update = {"node": "n1", "tables": [], "later": {"a": 1}}
    socket.receive(msgpack.encode({"store": update, "other": 1}))
    table = {"table": "later", "version": 1, "digest": 1, "store_time_s": 1.0}
    socket.receive(msgpack.encode({"store": {"node": "n1", "tables": [table]}}))


@then("it takes the first and ignores the second without an end of the process")
def step_unknown_taken(context):
    assert [m.store.node for m in context.received] == ["n1"], context.received
