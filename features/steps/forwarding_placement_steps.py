"""Steps about the placement of prompts by predicted time."""

from collections import Counter
from random import Random

from behave import given, then, when

from bench.emulator.traffic import PROFILE
from lagoonhinge_core.forwarding.compared_engines import compared_engines, sample_size
from lagoonhinge_core.forwarding.load_book import (
    LoadTracker,
    LoadUpdate,
    OpenWork,
    Prefill,
)
from lagoonhinge_core.forwarding.prompt_placement import (
    EngineChoice,
    Placement,
    Prompt,
    TooLate,
    is_short,
    place_prompt,
)

SHORT = Prompt(4960, 1266, 0.3, 10.0)
LONG = Prompt(100_000, 1000, 3.0, 15.0)
NOW_S = 100.0
ROUNDING_S = 0.02


@given("{count:d} idle engines")
def step_engines(context, count):
    context.book = LoadTracker("node-1")
    context.names = [f"e{number}" for number in range(1, count + 1)]
    context.suspects = set()


@given("engine {number:d} has {load}")
def step_engine_load(context, number, load):
    name = f"e{number}"
    match load:
        case "a long prompt to read":
            context.book.add_prefill(Prefill(1, name, 1.0, True), NOW_S)
        case "7 open requests" | "8 open requests":
            for _ in range(int(load[0])):
                context.book.start_request(name, 5000)
        case "failed lately":
            context.suspects.add(name)
        case _:
            raise AssertionError(load)


@given("engines {first:d} to {last:d} write {count:d} answers each")
def step_engines_write(context, first, last, count):
    for number in range(first, last + 1):
        for _ in range(count):
            context.book.start_request(f"e{number}", 5000)


@given("engine {number:d} failed lately")
def step_engine_failed(context, number):
    context.suspects.add(f"e{number}")


def _place(context, prompt: Prompt):
    short = is_short(PROFILE, prompt)
    engines = tuple(
        EngineChoice(
            name,
            context.book.load(name, NOW_S),
            name in context.suspects,
            place,
        )
        for place, name in compared_engines(context.names, short, 0, Random(1))
    )
    placement = place_prompt(PROFILE, engines, prompt)
    if not isinstance(placement, Placement):
        return placement
    number = context.book.next_prompt_number()
    context.book.start_request(placement.instance, prompt.size())
    for name in (placement.instance, *placement.helpers):
        reading = Prefill(number, name, placement.part_s, placement.is_long)
        context.book.add_prefill(reading, NOW_S)
    return placement


@when("a prompt of {tokens:d} tokens with a target of {target:g} s is placed")
def step_place(context, tokens, target):
    context.placement = _place(context, Prompt(tokens, 1000, target, 15.0))


@when("a prompt of {tokens:d} tokens with {left:g} s left is placed")
def step_place_late(context, tokens, left):
    context.placement = _place(context, Prompt(tokens, 1000, 3.0, left))


@then("it is too late")
def step_too_late(context):
    assert isinstance(context.placement, TooLate), context.placement


@then("it is read by {count:d} engines at most")
def step_read_by(context, count):
    assert 1 + len(context.placement.helpers) <= count, context.placement


@then("{parts:d} engines read it, each for at most {part:g} s")
def step_parts(context, parts, part):
    placement = context.placement
    assert 1 + len(placement.helpers) == parts, placement
    assert placement.part_s <= part + ROUNDING_S, placement


@then("from {least:d} to {most:d} engines read it, within {seconds:g} s")
def step_readers(context, least, most, seconds):
    placement = context.placement
    assert least <= 1 + len(placement.helpers) <= most, placement
    assert placement.part_s <= seconds + ROUNDING_S, placement


@when("{count:d} short prompts are placed one after the other")
def step_short(context, count):
    context.placements = [_place(context, SHORT) for _ in range(count)]


@when("{count:d} long prompts are placed one after the other")
def step_long(context, count):
    context.placements = [_place(context, LONG) for _ in range(count)]


def _readers(context) -> Counter[str]:
    return Counter(
        name for p in context.placements for name in (p.instance, *p.helpers)
    )


@then("engine {number:d} gets {count:d} of them")
def step_gets(context, number, count):
    assert _readers(context)[f"e{number}"] == count, _readers(context)


@then("every engine gets {count:d} of them at least")
def step_every(context, count):
    readers = _readers(context)
    assert all(readers[name] >= count for name in context.names), readers


@when("a node with {peers:d} peers places a short prompt on {engines:d} engines")
def step_sample(context, peers, engines):
    context.compared = sample_size(engines, peers)


@then("it compares {count:d} of them")
def step_compared(context, count):
    assert context.compared == count, context.compared


@then("no engine gets more than {count:d} of them")
def step_not_more(context, count):
    readers = _readers(context)
    assert max(readers.values()) <= count, readers


@then("engines {first:d} to {last:d} get {count:d} of them")
def step_range_gets(context, first, last, count):
    readers = _readers(context)
    assert sum(readers[f"e{n}"] for n in range(first, last + 1)) == count, readers


@then("{count:d} engines at least read none of them")
def step_spared(context, count):
    readers = _readers(context)
    spared = [name for name in context.names if not readers[name]]
    assert len(spared) >= count, readers


@then("it is held by {count:d} engines at most")
def step_held(context, count):
    placement = context.placement
    held = sum(holding.tokens for holding in placement.holdings)
    assert placement.holdings and len(placement.holdings) + 1 <= count, placement
    assert all(h.tokens <= PROFILE.kv_tokens for h in placement.holdings), placement
    helpers = {holding.instance for holding in placement.holdings}
    assert helpers <= set(placement.helpers), placement
    assert held > 0


@then("it finds no room")
def step_no_room(context):
    assert context.placement is None, context.placement


@given("an upstream that reads a prompt of {seconds:g} s")
def step_reading(context, seconds):
    context.book = LoadTracker("node-1")
    context.book.add_prefill(Prefill(1, "e1", seconds, True), NOW_S)
    context.now_s = NOW_S


def _give_up(book: LoadTracker, node: str, number: int, read_s: float, pass_s: float):
    assert book.node == node
    book.add_prefill(Prefill(number, "e1", read_s, True, pass_s), NOW_S)
    book.cancel_prefill(number, ("e1",), NOW_S)


@when("at the upstream {event}")
def step_event(context, event):
    book = context.book
    match event:
        case "nothing happens for 0.5 s":
            context.now_s += 0.5
        case "its first event comes":
            book.finish_prefill(1, ("e1",))
        case "it is 1 s late":
            context.now_s += 3.0
        case "it is 6 s late and nothing was heard":
            context.now_s += 8.0
        case "it is given up in a pass of 0.4 s":
            _give_up(book, "node-1", 1, 2.0, 0.4)
        case "it is given up 0.5 s ago, in a pass of 0.4 s":
            _give_up(book, "node-1", 1, 2.0, 0.4)
            context.now_s += 0.5
        case "a peer gives up 3 s in a pass of 0.5 s":
            peer = LoadTracker("node-2")
            _give_up(peer, "node-2", 7, 3.0, 0.5)
            book.merge(peer.take_update(), NOW_S)
        case "its first event comes, and then it is given up":
            book.finish_prefill(1, ("e1",))
            book.cancel_prefill(1, ("e1",), NOW_S)
        case "a peer gives it 1 s more":
            reading = Prefill(7, "e1", 1.0, True)
            book.merge(LoadUpdate("node-2", (reading,), (), {}), NOW_S)
        case "a peer's prompt there is read":
            reading = Prefill(7, "e1", 1.0, True)
            book.merge(LoadUpdate("node-2", (reading,), (), {}), NOW_S)
            book.merge(LoadUpdate("node-2", (), (7,), {}), NOW_S)
        case _:
            raise AssertionError(event)


@then("its predicted reading is {left:g} s")
def step_predicted(context, left):
    found = context.book.load("e1", context.now_s).prefill_s
    assert abs(found - left) < ROUNDING_S, found


@given("a peer with {count:d} requests open on an upstream")
def step_peer(context, count):
    context.book = LoadTracker("node-1")
    work = {"e1": OpenWork(count, 1000)}
    context.book.merge(LoadUpdate("node-2", (), (), work), NOW_S)
    assert context.book.load("e1", NOW_S).requests == count
    context.now_s = NOW_S


@when("nothing is heard of it for {seconds:g} s")
def step_silence(context, seconds):
    context.now_s += seconds


@then("the upstream has {count:d} open requests")
def step_open(context, count):
    assert context.book.load("e1", context.now_s).requests == count
