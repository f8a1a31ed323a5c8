"""Steps for strikes and quarantines, and for nodes that gossip them."""

from asyncio import sleep

from behave import given, then, when

from features.support.poison_machine import run_poison_machine
from features.support.poison_rig import POISON, PoisonRig
from lagoonhinge_core.peer_messages import Quarantine, Strike
from lagoonhinge_core.poison import (
    STRIKE_COLLECTION_S,
    PoisonLedger,
    UpstreamCrash,
    fingerprint,
)

START_S = 1000.0


@given("the strikes {events}")
def step_strikes(context, events):
    context.ledger = PoisonLedger()
    context.now_s = START_S
    for event in events.split():
        _apply_event(context, event)


def _apply_event(context, event):
    ledger = context.ledger
    if event.startswith("+"):
        context.now_s += float(event)
        ledger.expire(context.now_s)
    elif event.startswith("peer:"):
        quarantine = Quarantine(event.removeprefix("peer:"), context.now_s + 60.0)
        ledger.add_quarantines((quarantine,), context.now_s)
    elif event.endswith(":completes"):
        ledger.complete(event.removesuffix(":completes"), context.now_s)
        context.now_s += 1.0
    elif event.endswith(":answers"):
        upstream, boot = event.removesuffix(":answers").split("/")
        ledger.retract_crash(UpstreamCrash(upstream, boot), context.now_s)
    else:
        name, crash, *given_s = event.split("@")
        upstream, boot = crash.split("/")
        # A repeated strike keeps its time, as a peer that still sends it does.
        strike_s = START_S if name == "a" and crash == "u1/1" else context.now_s
        at_wall_s = float(given_s[0]) if given_s else strike_s
        strike = Strike(name, upstream, boot, at_wall_s)
        ledger.add((strike,), context.now_s)


@then("the prompts are {statuses}")
def step_statuses(context, statuses):
    context.now_s += STRIKE_COLLECTION_S
    context.ledger.expire(context.now_s)
    for expected in statuses.split(", "):
        name, status = expected.split()
        actual = type(
            context.ledger.prompt_status(name, context.now_s)
        ).__name__.lower()
        assert actual == status, (name, actual)


@given("{prompts:d} prompts with strikes of {crashes:d} crashes")
def step_many(context, prompts, crashes):
    context.ledger = PoisonLedger()
    for number in range(prompts):
        strikes = tuple(
            Strike(f"p{number}", f"u{(number + n) % crashes}", "1", START_S)
            for n in range(2)
        )
        context.ledger.add(strikes, START_S)
        context.ledger.complete(f"p{number - 5}", START_S)


@then("at most {strikes:d} strikes and {quarantines:d} quarantines are kept")
def step_bounded(context, strikes, quarantines):
    ledger = context.ledger
    assert len(ledger.strikes) <= strikes, len(ledger.strikes)
    assert len(ledger.quarantines) <= quarantines, len(ledger.quarantines)
    assert len(ledger.cleared) <= strikes, len(ledger.cleared)


@given("{nodes:d} gossiping nodes with {engines:d} engines")
def step_nodes(context, nodes, engines):
    context.poison_rig = PoisonRig(nodes, engines)


@when(
    "the poison prompt is sent {times:d} times {where}"
    " beside {count:d} harmless prompts per node"
)
def step_resend(context, times, where, count):
    rig = context.poison_rig
    nodes = range(len(rig.nodes))
    match where:
        case "at one node":
            senders = [rig.resend_poison(0, times)]
        case "at each in turn":
            senders = [rig.resend_poison(-1, times)]
        case "at all at once":
            senders = [rig.resend_poison(node, times // len(nodes)) for node in nodes]
    context.harmless = [
        (node, f"harmless {node} {number}") for node in nodes for number in range(count)
    ]
    harmless_runs = [
        rig.send_until_whole(node, prompt) for node, prompt in context.harmless
    ]
    results = rig.run(*harmless_runs, *senders)
    context.answers = results[: len(harmless_runs)]
    context.poison_answers = results[len(harmless_runs) :]
    rig.run(sleep(5.0))


@then("at most {crashes:d} engines crashed")
def step_crashes(context, crashes):
    assert 0 < context.poison_rig.crashes <= crashes, context.poison_rig.crashes


@then("every harmless prompt was answered and is not quarantined")
def step_harmless(context):
    assert set(context.answers) == {"whole"}, context.answers
    for node in context.poison_rig.nodes:
        for _, prompt in context.harmless:
            name = fingerprint("compliance", prompt)
            assert name not in node.poison.ledger.quarantines, prompt


@then("the last answer to the poison prompt is {verdict}")
def step_last_verdict(context, verdict):
    for verdicts in context.poison_answers:
        assert verdicts[-1] == verdict, verdicts
    for node in context.poison_rig.nodes:
        name = fingerprint("compliance", POISON)
        assert name in node.poison.ledger.quarantines
    context.poison_rig.close()


@when(
    "{suspects:d} suspects of one crash and {others:d} other prompts are sent together"
)
def step_suspects(context, suspects, others):
    rig = context.poison_rig
    names = {f"suspect {number}" for number in range(suspects)}
    now_s = rig.loop.wall_s()
    strikes = tuple(
        Strike(fingerprint("compliance", name), "engine-9", "boot", now_s)
        for name in names
    )
    rig.first_node.poison.ledger.add(strikes, now_s)
    context.most_suspects_together = 0

    def record(step, engine, stream):
        if step == "accept":
            running = {run.call.prompt for run in engine.runs.values()}
            context.most_suspects_together = max(
                context.most_suspects_together, len(running & names)
            )

    rig.first_node.port.on_step = record
    prompts = [*sorted(names), *(f"other {number}" for number in range(others))]
    context.answers = rig.run(*(rig.send(0, prompt) for prompt in prompts))


@then("every one is answered and no two suspects shared an engine")
def step_suspects_apart(context):
    assert set(context.answers) == {"whole"}, context.answers
    assert context.most_suspects_together == 1, context.most_suspects_together
    context.poison_rig.close()


@when("the poison prompt crashes an engine and {count:d} harmless prompts follow")
def step_poison_crash(context, count):
    rig = context.poison_rig
    inject_crash = rig.first_node.port.on_step
    context.connects = []

    def record(step, engine, stream):
        if step == "connect":
            context.connects.append((engine.url, engine.is_running))
        inject_crash(step, engine, stream)

    rig.first_node.port.on_step = record
    context.task = rig.loop.create_task(rig.send(0, POISON))
    rig.run(sleep(0.6))
    assert rig.crashes == 1, rig.crashes
    # These run beyond the first gossip round and end before the engine restarts.
    answers = rig.run(*(rig.send_until_whole(0, f"after {n}") for n in range(count)))
    assert set(answers) == {"whole"}, answers


@then("nothing was sent to the crashed engine")
def step_nothing_sent(context):
    assert all(is_running for _, is_running in context.connects), context.connects


@then("it is used again once it reports a new run")
def step_used_again(context):
    rig = context.poison_rig
    rig.run(sleep(10.0))
    context.connects.clear()
    rig.run(*(rig.send(0, f"later {number}") for number in range(4)))
    assert len({url for url, _ in context.connects}) == 2, context.connects
    rig.close()


@then("the poison state machine holds for {examples:d} examples")
def step_machine(context, examples):
    run_poison_machine(examples)
