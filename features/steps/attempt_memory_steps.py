"""Steps for memory reservations of an attempt, in virtual time."""

from asyncio import sleep
from types import SimpleNamespace

from behave import given, then, when
from returns.result import Success

from features.support.serving import build_serving_state
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.prompt_placement import MemoryReservation
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.attempt_memory import AttemptMemory
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.reachability import (
    PROBE_INTERVAL_S,
    ReachabilityController,
)
from lagoonhinge_node.forwarding.site_controllers import UpstreamController

TOKENS = 1000
FAILURE_INTERVAL_S = 2.0


class FakeMemory:
    """Memory of all engines."""

    def __init__(self):
        self.reserved: set[str] = set()

    async def reserve(self, address, reservation_id, tokens, lease_s):
        self.reserved.add(address)
        return Success(None)

    async def release(self, address, reservation_id):
        self.reserved.discard(address)
        return Success(None)


@given("memory is reserved on two engines for a prompt that a third one answers")
def step_reserved(context):
    context.loop = loop = VirtualLoop()
    context.serving = serving = build_serving_state(loop.time)
    engines = [Upstream(f"e{n}", "models", f"h{n}", 1, "north", 8) for n in range(3)]
    serving.directory.update(engines, ())
    context.memory = FakeMemory()
    answering, *helpers = engines
    attempt_memory = AttemptMemory(serving, context.memory, "n0.1", answering)
    reservations = [MemoryReservation(e.instance, TOKENS) for e in helpers]
    assert loop.run_until_complete(attempt_memory.reserve(reservations))


@when("the third one is unreachable from {from_s:g} s to {to_s:g} s")
def step_unreachable(context, from_s, to_s):
    loop, health = context.loop, context.serving.health
    loop.call_later(from_s, health.record_connect_failure, "e0", 0.0)
    loop.call_later(to_s, health.record_connect, "e0")


@when(
    "the third one is unreachable from {from_s:g} s on, and not listed from "
    "{unlisted_s:g} s on"
)
def step_unlisted(context, from_s, unlisted_s):
    loop, serving = context.loop, context.serving
    serving.board.writer(SiteConfigSection(), "test")
    upstreams = UpstreamController(serving, SimpleNamespace(upstream=None))
    loop.call_later(from_s, serving.health.record_connect_failure, "e0", 0.0)
    loop.call_later(unlisted_s, upstreams.apply, (), True)


@when("one connection in 2 s to the third one fails, at a node with {peers:d} peers")
def step_single_failures(context, peers):
    loop, serving = context.loop, context.serving
    serving.cell_peers = peers
    reachability = ReachabilityController(serving)

    async def fail():
        while True:
            serving.health.record_connect_failure("e0", 0.0)
            await sleep(FAILURE_INTERVAL_S)

    async def probe():
        while True:
            await sleep(PROBE_INTERVAL_S)
            for instance in reachability.due_instances():
                serving.health.record_connect(instance)

    context.tasks = [loop.create_task(fail()), loop.create_task(probe())]


@then("the memory is {state} at {at_s:g} s")
def step_state(context, state, at_s):
    context.loop.run_until_complete(sleep(at_s))
    expected = {"h1:1", "h2:1"} if state == "reserved" else set()
    assert context.memory.reserved == expected, context.memory.reserved
