"""Steps of calls that run at most once, against fakes at the ports."""

from asyncio import CancelledError, create_task, sleep
from itertools import combinations

from behave import given, then, when

from features.support.claims import World
from features.support.claims_machine import ClaimMachine
from features.support.fuzz import run_machine
from lagoonhinge_node.claim_store import MAX_ROW_BODY_BYTES

STEPS = (
    "before claim",
    "claim write",
    "before dispatch",
    "dispatch",
    "after dispatch",
    "outcome write",
    "replay",
)
FAULTS = (
    "table down",
    "table slow",
    "reply lost",
    "reply lost, write late",
    "connection silent",
    "upstream refuses",
    "all upstreams refuse",
    "upstream unreachable",
    "upstream silent",
    "cut before execution",
    "cut after execution",
    "node killed",
    "node frozen",
    "caller gone",
    "two nodes at once",
)
SOON_S = 3.0
LATER_S = 60.0


async def first_call(world: World) -> str:
    world.first_caller = create_task(world.send(0))
    world.nodes[0].callers.add(world.first_caller)
    try:
        return await world.first_caller
    except CancelledError:
        return "none"


async def run_cell(world: World, plan: dict[str, list[str]]) -> list[str]:
    """Send one call under faults, then the same again; return what callers saw."""
    world.plan = dict(plan)
    await world.reach("before claim")
    seen = [await first_call(world)]
    if "replay" in plan:
        world.clear()
        await sleep(SOON_S)
        world.plan = {"claim write": plan["replay"]}
        seen = [await first_call(world)]
    world.clear()
    await sleep(SOON_S)
    seen.append(await world.send(1))
    await sleep(LATER_S)
    seen.append(await world.send(1))
    if world.rival is not None:
        await world.rival
    world.check()
    return seen


@given("two nodes before a table and a plain service with faults")
def step_world(context):
    context.world = World()


@when("a keyed call meets {fault} at step {step}")
def step_cell(context, fault, step):
    assert fault in FAULTS and step in STEPS, (fault, step)
    world = context.world
    context.seen = world.loop.run_until_complete(run_cell(world, {step: [fault]}))


@then("its callers see {first}; then {soon}; then {later}")
def step_seen(context, first, soon, later):
    assert context.seen == [first, soon, later], context.seen


@then("the service executed it {count:d} times")
def step_count(context, count):
    assert len(context.world.executed) == count, context.world.executed


@when("a keyed call meets every pair of faults, each fault at every step")
def step_pairs(context):
    cells = [(fault, step) for fault in FAULTS for step in STEPS]
    context.pairs = 0
    for (fault, step), (other, other_step) in combinations(cells, 2):
        plan = {step: [fault]}
        plan.setdefault(other_step, []).append(other)
        world = World()
        try:
            world.loop.run_until_complete(run_cell(world, plan))
        except AssertionError as error:
            raise AssertionError((fault, step, other, other_step, error)) from error
        world.loop.close()
        context.pairs += 1


@then("no call of {count:d} pairs ran twice or ran after it was refused as not run")
def step_pairs_done(context, count):
    assert context.pairs == count, context.pairs


@when("a key is used, and then by a call with another {part}")
def step_other_call(context, part):
    world = context.world
    other = {
        "body": {"body": b"[]"},
        "method": {"method": "PUT"},
        "path": {"path": "/other"},
        "account": {"account": "auditor"},
        "key": {"key": "k2"},
        "none": {},
    }[part]

    async def run():
        assert await world.send(0) == "answer"
        return await world.send(1, **other)

    context.answer = world.loop.run_until_complete(run())
    world.check()


@when("a {method} call {keyed} a key meets {fault} before it is sent")
def step_unclaimed(context, method, keyed, fault):
    world = context.world
    world.plan = {"before claim": [fault]}

    async def run():
        await world.reach("before claim")
        key = "k1" if keyed == "with" else None
        return await world.send(0, key=key, method=method)

    context.answer = world.loop.run_until_complete(run())


@then("the caller sees {words} after {sends:d} sends and {runs:d} executions")
def step_unclaimed_seen(context, words, sends, runs):
    world = context.world
    seen = (context.answer, world.sends, len(world.executed))
    assert seen == (words, sends, runs), seen


@then("the second call gets {words}")
def step_second(context, words):
    assert context.answer == words, context.answer


@when("a keyed call has an answer too large for its row, and {fault} at its storing")
def step_large(context, fault):
    world = context.world
    world.padding = MAX_ROW_BODY_BYTES
    plan = {} if fault == "nothing" else {"after dispatch": [fault]}
    context.seen = world.loop.run_until_complete(run_cell(world, plan))


@then("the answer is replayed whole from the object store")
def step_large_replayed(context):
    assert context.seen[0] == "answer" and context.seen[2] == "replay", context.seen
    assert len(context.world.objects) == 1
    assert all(
        len(row.value) < MAX_ROW_BODY_BYTES for row in context.world.rows.values()
    )


@when("{calls:d} GET calls in a row find every upstream refusing")
def step_budget(context, calls):
    world = context.world
    world.upstream_fault = "all upstreams refuse"

    async def run():
        for _ in range(calls):
            await world.send(0, key=None, method="GET")

    world.loop.run_until_complete(run())


@then("there were at most {sends:d} sends")
def step_sends(context, sends):
    assert context.world.sends <= sends, context.world.sends


@then("claims hold over {examples:d} random runs of {steps:d} steps")
def step_machine(context, examples, steps):
    run_machine(ClaimMachine, examples, steps)
