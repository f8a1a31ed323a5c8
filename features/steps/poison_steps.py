"""Steps over strikes and quarantines, and over nodes that gossip them."""

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
        _apply(context, event)


def _apply(context, event):
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
        name, death, *at_s = event.split("@")
        upstream, boot = death.split("/")
        # A repeated strike is the one that a peer still tells.
        told_s = START_S if name == "a" and death == "u1/1" else context.now_s
        at_wall_s = float(at_s[0]) if at_s else told_s
        strike = Strike(name, upstream, boot, at_wall_s)
        ledger.add((strike,), context.now_s)


@then("the prompts are {standings}")
def step_standings(context, standings):
    context.now_s += STRIKE_COLLECTION_S
    context.ledger.expire(context.now_s)
    for expected in standings.split(", "):
        name, standing = expected.split()
        got = type(context.ledger.prompt_status(name, context.now_s)).__name__.lower()
        assert got == standing, (name, got)


@given("{prompts:d} prompts struck by {deaths:d} deaths")
def step_many(context, prompts, deaths):
    context.ledger = PoisonLedger()
    for number in range(prompts):
        strikes = tuple(
            Strike(f"p{number}", f"u{(number + n) % deaths}", "1", START_S)
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


@given("{nodes:d} nodes that gossip before {engines:d} engines")
def step_nodes(context, nodes, engines):
    context.poison = PoisonRig(nodes, engines)


@when("the poison is sent {times:d} times {where} beside {count:d} innocents a node")
def step_resend(context, times, where, count):
    rig = context.poison
    nodes = range(len(rig.nodes))
    match where:
        case "at one node":
            senders = [rig.resend_poison(0, times)]
        case "at each in turn":
            senders = [rig.resend_poison(-1, times)]
        case "at all at once":
            senders = [rig.resend_poison(node, times // len(nodes)) for node in nodes]
    context.innocents = [
        (node, f"innocent {node} {number}") for node in nodes for number in range(count)
    ]
    asked = [rig.ask_until_whole(node, prompt) for node, prompt in context.innocents]
    results = rig.run(*asked, *senders)
    context.answers = results[: len(asked)]
    context.poison_answers = results[len(asked) :]
    rig.run(sleep(5.0))


@then("at most {deaths:d} engines died")
def step_deaths(context, deaths):
    assert 0 < context.poison.deaths <= deaths, context.poison.deaths


@then("every innocent prompt was answered and is not held against")
def step_innocents(context):
    assert set(context.answers) == {"whole"}, context.answers
    for node in context.poison.nodes:
        for _, prompt in context.innocents:
            name = fingerprint("compliance", prompt)
            assert name not in node.poison.ledger.quarantines, prompt


@then("the last answer to the poison is {verdict}")
def step_last(context, verdict):
    for verdicts in context.poison_answers:
        assert verdicts[-1] == verdict, verdicts
    for node in context.poison.nodes:
        name = fingerprint("compliance", POISON)
        assert name in node.poison.ledger.quarantines
    context.poison.close()


@when(
    "{suspects:d} suspects of one death and {others:d} other prompts are asked together"
)
def step_suspects(context, suspects, others):
    rig = context.poison
    names = {f"suspect {number}" for number in range(suspects)}
    now_s = rig.loop.wall_s()
    strikes = tuple(
        Strike(fingerprint("compliance", name), "engine-9", "boot", now_s)
        for name in names
    )
    rig.first.poison.ledger.add(strikes, now_s)
    context.together = 0

    def note(step, engine, stream):
        if step == "accept":
            running = {run.call.prompt for run in engine.runs.values()}
            context.together = max(context.together, len(running & names))

    rig.first.port.on_step = note
    prompts = [*sorted(names), *(f"other {number}" for number in range(others))]
    context.answers = rig.run(*(rig.ask(0, prompt) for prompt in prompts))


@then("every one is answered and no two suspects shared an engine")
def step_apart(context):
    assert set(context.answers) == {"whole"}, context.answers
    assert context.together == 1, context.together
    context.poison.close()


@when("an engine dies under the poison and {count:d} innocents follow")
def step_dies(context, count):
    rig = context.poison
    reach = rig.first.port.on_step
    context.connects = []

    def note(step, engine, stream):
        if step == "connect":
            context.connects.append((engine.url, engine.alive))
        reach(step, engine, stream)

    rig.first.port.on_step = note
    context.task = rig.loop.create_task(rig.ask(0, POISON))
    rig.run(sleep(0.6))
    assert rig.deaths == 1, rig.deaths
    # Long enough that nothing has restarted, and with the first gossip past.
    answers = rig.run(*(rig.ask_until_whole(0, f"after {n}") for n in range(count)))
    assert set(answers) == {"whole"}, answers


@then("nothing was sent to the dead engine")
def step_nothing_sent(context):
    assert all(alive for _, alive in context.connects), context.connects


@then("it is used again once it reports a new run")
def step_used_again(context):
    rig = context.poison
    rig.run(sleep(10.0))
    context.connects.clear()
    rig.run(*(rig.ask(0, f"later {number}") for number in range(4)))
    assert len({url for url, _ in context.connects}) == 2, context.connects
    rig.close()


@then("the poison state machine holds for {examples:d} examples")
def step_machine(context, examples):
    run_poison_machine(examples)
