"""Steps for unexpected errors in tasks and damaged messages."""

from asyncio import sleep
from math import inf, nan
from random import Random
from zlib import decompress

from behave import given, then, when
from msgspec import msgpack

from features.steps.messages_steps import read_records
from features.support.failing_service import FailingService
from features.support.virtual_time import VirtualLoop
from features.support.watch_fleet import FakeSocket, WatchFleet
from lagoonhinge_core.forwarding.site_store import NodeEntry, StoreTable
from lagoonhinge_node.forwarding.cell_exchange import CellExchange
from lagoonhinge_node.forwarding.crash_exchange import CrashExchange
from lagoonhinge_node.forwarding.load_exchange import LoadExchange
from lagoonhinge_node.forwarding.peer_messages import (
    ZLIB_FIRST_BYTE,
    PeerMessage,
    PeerSocket,
    decode_message,
    encode_message,
)

DAMAGED = (0, -1, 2**62, 1.5, -1e308, inf, nan, "", "x", b"", None, True, [], {})
STATE_EACH = 50  # messages


@given("a service whose {task} fails {failures:d} times")
def step_service(context, task, failures):
    context.loop = VirtualLoop()
    context.service = FailingService(failures)


@when("5 s pass in virtual time")
def step_pass(context):
    async def run() -> None:
        await context.service.start()
        await sleep(5.0)

    context.loop.run_until_complete(run())


@then("the service still runs, and its {task} did its work")
def step_runs(context, task):
    service = context.service
    assert not service.crashed and not service.should_stop
    assert service.worked[task] >= 1, service.worked
    context.loop.run_until_complete(service.stop())


@given("a socket with a handler that fails and one that does not")
def step_socket(context):
    context.socket = PeerSocket(NodeEntry("n0", "127.0.0.1", 1, "north"))
    context.received: list[PeerMessage] = []

    def fail(message: PeerMessage) -> None:
        raise ValueError("unexpected")

    context.socket.handlers += [fail, context.received.append]


@when("a message arrives")
def step_message(context):
    context.socket.receive(encode_message(PeerMessage()))


@then("the second handler gets it")
def step_second(context):
    assert context.received == [PeerMessage()]


@given("a node that gets messages of other nodes")
def step_node(context):
    context.loop = loop = VirtualLoop()
    context.zone = fleet = WatchFleet(loop, Random(1))

    async def start() -> None:
        fleet.put_config(1)
        fleet.store.write(StoreTable.UPSTREAMS, "e1", False)
        await fleet.start_node("n0")
        await sleep(4.0)

    loop.run_until_complete(start())


def _damage(value: object, share: float, random: Random) -> object:
    """Replace and remove some parts of a decoded message."""
    if random.random() < share:
        return random.choice(DAMAGED)
    if isinstance(value, dict):
        return {
            key: _damage(entry, share, random)
            for key, entry in value.items()
            if random.random() >= share / 3
        }
    if isinstance(value, list):
        return [_damage(entry, share, random) for entry in value]
    return value


@when("it gets {count:d} messages with damaged values, for seed {seed:d}")
def step_damaged(context, count, seed):
    fleet, random = context.zone, Random(seed)
    watch = fleet.watches["n0"]
    serving, socket = watch.serving, FakeSocket(fleet, "n0")
    handlers = (
        watch.receive,
        LoadExchange(serving, socket).receive,
        CrashExchange(serving, socket).receive,
        CellExchange(serving, socket, watch).receive,
    )
    recorded = list(read_records("present")[0].values())
    context.understood = 0
    for number in range(count):
        data = random.choice(recorded)
        if data[0] == ZLIB_FIRST_BYTE:
            data = decompress(data)
        damaged = _damage(msgpack.decode(data), random.choice((0.02, 0.1)), random)
        try:
            message = decode_message(msgpack.encode(damaged))
        except ValueError:
            continue
        context.understood += 1
        for handle in handlers:
            handle(message)
        if number % STATE_EACH == 0:
            serving.load.load("e1", serving.clock())
            serving.allowed(tuple(serving.directory.by_instance.values()))
            serving.crashes.quarantined(serving.clock())
            watch.send_update()


@then("no handler fails, and the node can still choose upstreams and send its state")
def step_no_failure(context):
    # A handler that fails raises in the step before.
    assert context.understood > 500, context.understood
    context.loop.run_until_complete(context.zone.stop_node("n0"))
