"""Steps for at-most-once calls, with fakes at the ports."""

from asyncio import CancelledError, create_task, sleep
from itertools import combinations

from behave import given, then, when

from features.support.claims import ClaimSimulation
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
    "caller disconnects",
    "concurrent call",
)
EARLY_REPEAT_DELAY_S = 3.0
LATE_REPEAT_DELAY_S = 60.0


async def first_call(sim: ClaimSimulation) -> str:
    sim.first_caller = create_task(sim.send(0))
    sim.nodes[0].callers.add(sim.first_caller)
    try:
        return await sim.first_caller
    except CancelledError:
        return "none"


async def run_case(
    sim: ClaimSimulation, planned_faults: dict[str, list[str]]
) -> list[str]:
    """Send one call under faults and repeat it twice; return the results."""
    sim.planned_faults = dict(planned_faults)
    await sim.inject_planned("before claim")
    results = [await first_call(sim)]
    if "replay" in planned_faults:
        sim.clear_faults()
        await sleep(EARLY_REPEAT_DELAY_S)
        sim.planned_faults = {"claim write": planned_faults["replay"]}
        results = [await first_call(sim)]
    sim.clear_faults()
    await sleep(EARLY_REPEAT_DELAY_S)
    results.append(await sim.send(1))
    await sleep(LATE_REPEAT_DELAY_S)
    results.append(await sim.send(1))
    if sim.concurrent_call is not None:
        await sim.concurrent_call
    sim.check_executions()
    return results


@given("two simulated nodes with a table and a plain service")
def step_simulation(context):
    context.sim = ClaimSimulation()


@when("a keyed call is sent with {fault} at step {step}")
def step_case(context, fault, step):
    assert fault in FAULTS and step in STEPS, (fault, step)
    sim = context.sim
    context.results = sim.loop.run_until_complete(run_case(sim, {step: [fault]}))


@then("the call returns {first}, an early repeat {second}, and a late repeat {third}")
def step_results(context, first, second, third):
    assert context.results == [first, second, third], context.results


@then("the service executed it {count:d} times")
def step_count(context, count):
    assert len(context.sim.executed) == count, context.sim.executed


@when("a keyed call is sent with every pair of faults, each fault at every step")
def step_pairs(context):
    cases = [(fault, step) for fault in FAULTS for step in STEPS]
    context.pairs = 0
    for (fault, step), (other, other_step) in combinations(cases, 2):
        planned_faults = {step: [fault]}
        planned_faults.setdefault(other_step, []).append(other)
        sim = ClaimSimulation()
        try:
            sim.loop.run_until_complete(run_case(sim, planned_faults))
        except AssertionError as error:
            raise AssertionError((fault, step, other, other_step, error)) from error
        sim.loop.close()
        context.pairs += 1


@then("no call of {count:d} pairs ran twice or ran after it was refused as not run")
def step_pairs_done(context, count):
    assert context.pairs == count, context.pairs


@when("a key is used, and then by a call with another {part}")
def step_other_call(context, part):
    sim = context.sim
    other = {
        "body": {"body": b"[]"},
        "method": {"method": "PUT"},
        "path": {"path": "/other"},
        "account": {"account": "auditor"},
        "key": {"key": "k2"},
        "none": {},
    }[part]

    async def run():
        assert await sim.send(0) == "answer"
        return await sim.send(1, **other)

    context.result = sim.loop.run_until_complete(run())
    sim.check_executions()


@when("a {method} call {keyed} a key is sent with {fault}")
def step_unclaimed(context, method, keyed, fault):
    sim = context.sim
    sim.planned_faults = {"before claim": [fault]}

    async def run():
        await sim.inject_planned("before claim")
        key = "k1" if keyed == "with" else None
        return await sim.send(0, key=key, method=method)

    context.result = sim.loop.run_until_complete(run())


@then("the call returns {result} after {attempts:d} attempts and {runs:d} executions")
def step_unclaimed_result(context, result, attempts, runs):
    sim = context.sim
    actual = (context.result, sim.attempts, len(sim.executed))
    assert actual == (result, attempts, runs), actual


@then("the second call returns {result}")
def step_second(context, result):
    assert context.result == result, context.result


@when("a keyed call has an answer too large for its row, stored with {fault}")
def step_large(context, fault):
    sim = context.sim
    sim.answer_padding = MAX_ROW_BODY_BYTES
    planned_faults = {} if fault == "no fault" else {"after dispatch": [fault]}
    context.results = sim.loop.run_until_complete(run_case(sim, planned_faults))


@then("the answer is replayed whole from the object store")
def step_large_replayed(context):
    assert context.results[0] == "answer" and context.results[2] == "replay", (
        context.results
    )
    assert len(context.sim.objects) == 1
    assert all(len(row.value) < MAX_ROW_BODY_BYTES for row in context.sim.rows.values())


@when("{calls:d} GET calls in a row are refused by every upstream")
def step_budget(context, calls):
    sim = context.sim
    sim.upstream_fault = "all upstreams refuse"

    async def run():
        for _ in range(calls):
            await sim.send(0, key=None, method="GET")

    sim.loop.run_until_complete(run())


@then("there were at most {attempts:d} attempts")
def step_attempts(context, attempts):
    assert context.sim.attempts <= attempts, context.sim.attempts


@then("results and executions agree over {examples:d} random runs of {steps:d} steps")
def step_machine(context, examples, steps):
    run_machine(ClaimMachine, examples, steps)
