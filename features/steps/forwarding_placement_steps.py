"""Steps for the placement of prompts by predicted time."""

from collections import Counter
from random import Random

from behave import given, then, when

from bench.emulator.traffic import PROFILE
from lagoonhinge_core.forwarding.cell_placement import EnginePool, place_long_prompt
from lagoonhinge_core.forwarding.cells import cell_zones
from lagoonhinge_core.forwarding.engine_sampling import (
    position_engines,
    sample_size,
)
from lagoonhinge_core.forwarding.load_tracker import (
    CellSummary,
    Load,
    LoadTracker,
    LoadUpdate,
    OpenWork,
    Prefill,
    peer_timeout_s,
)
from lagoonhinge_core.forwarding.prompt_placement import (
    DeadlineUnreachable,
    EngineCandidate,
    Placement,
    Prompt,
    place_prompt,
)

SHORT = Prompt(4960, 1266, 0.3, 10.0)
LONG = Prompt(100_000, 1000, 3.0, 15.0)
NOW_S = 100.0
ZONES = ("north", "east", "south")
TOLERANCE_S = 0.02


@given("{count:d} idle engines")
def step_engines(context, count):
    context.tracker = LoadTracker("node-1")
    context.names = [f"e{number}" for number in range(1, count + 1)]
    context.recently_failed = set()


@given("engine {number:d} has {load}")
def step_engine_load(context, number, load):
    name = f"e{number}"
    match load:
        case "a long prompt to prefill":
            context.tracker.add_prefill(Prefill(1, name, 1.0, True), NOW_S)
        case "7 open requests" | "8 open requests":
            for _ in range(int(load[0])):
                context.tracker.start_request(name, 5000)
        case "failed recently":
            context.recently_failed.add(name)
        case _:
            raise AssertionError(load)


@given("engines {first:d} to {last:d} decode {count:d} answers each")
def step_engines_decode(context, first, last, count):
    for number in range(first, last + 1):
        for _ in range(count):
            context.tracker.start_request(f"e{number}", 5000)


@given("engine {number:d} failed recently")
def step_engine_failed(context, number):
    context.recently_failed.add(f"e{number}")


def _place(context, prompt: Prompt):
    engines = tuple(
        EngineCandidate(
            name,
            context.tracker.load(name, NOW_S),
            name in context.recently_failed,
            position,
        )
        for position, name in position_engines(context.names)
    )
    placement = place_prompt(PROFILE, engines, prompt)
    if not isinstance(placement, Placement):
        return placement
    number = context.tracker.next_prompt_number()
    context.tracker.start_request(placement.instance, prompt.memory_tokens())
    for name in (placement.instance, *placement.helpers):
        prefill = Prefill(number, name, placement.prefill_s, placement.is_long)
        context.tracker.add_prefill(prefill, NOW_S)
    return placement


@when("a prompt of {tokens:d} tokens with a target of {target:g} s is placed")
def step_place(context, tokens, target):
    context.placement = _place(context, Prompt(tokens, 1000, target, 15.0))


@when("a prompt of {tokens:d} tokens with {left:g} s left is placed")
def step_place_before_deadline(context, tokens, left):
    context.placement = _place(context, Prompt(tokens, 1000, 3.0, left))


@then("it can't meet its deadline")
def step_deadline_unreachable(context):
    assert isinstance(context.placement, DeadlineUnreachable), context.placement


@then("it is prefilled by at most {count:d} engines")
def step_prefilled_by(context, count):
    assert 1 + len(context.placement.helpers) <= count, context.placement


@then("{count:d} engines prefill it, each for at most {seconds:g} s")
def step_prefill_engines(context, count, seconds):
    placement = context.placement
    assert 1 + len(placement.helpers) == count, placement
    assert placement.prefill_s <= seconds + TOLERANCE_S, placement


@then("from {least:d} to {most:d} engines prefill it, within {seconds:g} s")
def step_prefill_engine_range(context, least, most, seconds):
    placement = context.placement
    assert least <= 1 + len(placement.helpers) <= most, placement
    assert placement.prefill_s <= seconds + TOLERANCE_S, placement


@when("{count:d} short prompts are placed one after the other")
def step_place_short(context, count):
    context.placements = [_place(context, SHORT) for _ in range(count)]


@when("{count:d} long prompts are placed one after the other")
def step_place_long(context, count):
    context.placements = [_place(context, LONG) for _ in range(count)]


def _prompt_counts(context) -> Counter[str]:
    return Counter(
        name for p in context.placements for name in (p.instance, *p.helpers)
    )


@then("engine {number:d} gets {count:d} of them")
def step_gets(context, number, count):
    assert _prompt_counts(context)[f"e{number}"] == count, _prompt_counts(context)


@then("every engine gets at least {count:d} of them")
def step_every(context, count):
    prompts = _prompt_counts(context)
    assert all(prompts[name] >= count for name in context.names), prompts


@when("a node with {peers:d} peers places a short prompt on {engines:d} engines")
def step_sample(context, peers, engines):
    context.compared = sample_size(engines, peers)


@then("it compares {count:d} of them")
def step_compared(context, count):
    assert context.compared == count, context.compared


@then("no engine gets more than {count:d} of them")
def step_not_more(context, count):
    prompts = _prompt_counts(context)
    assert max(prompts.values()) <= count, prompts


@then("engines {first:d} to {last:d} get {count:d} of them")
def step_range_gets(context, first, last, count):
    prompts = _prompt_counts(context)
    assert sum(prompts[f"e{n}"] for n in range(first, last + 1)) == count, prompts


@then("at least {count:d} engines prefill none of them")
def step_unused(context, count):
    prompts = _prompt_counts(context)
    unused = [name for name in context.names if not prompts[name]]
    assert len(unused) >= count, prompts


@then("it is held by at most {count:d} engines")
def step_held(context, count):
    placement = context.placement
    reserved = sum(reservation.tokens for reservation in placement.reservations)
    assert placement.reservations and len(placement.reservations) + 1 <= count, (
        placement
    )
    assert all(r.tokens <= PROFILE.kv_tokens for r in placement.reservations), placement
    helpers = {reservation.instance for reservation in placement.reservations}
    assert helpers <= set(placement.helpers), placement
    assert reserved > 0


@given("{busy:d} of {engines:d} engines prefill long prompts for {seconds:g} s")
def step_long_prefills(context, busy, engines, seconds):
    context.names = [f"e{number}" for number in range(engines)]
    context.tracker = LoadTracker("n0")
    for number in range(busy):
        # Each is a little longer than the one before.
        prefill = Prefill(number, f"e{number}", seconds + number / 1000, True)
        context.tracker.add_prefill(prefill, NOW_S)


@then(
    "a node with {peers:d} peers compares {count:d} of the {pool:d} engines with the "
    "shortest long prefills"
)
def step_compares(context, peers, count, pool):
    def describe(name: str, position: float) -> EngineCandidate:
        return EngineCandidate(name, context.tracker.load(name, NOW_S), False, position)

    def prefill_s(name: str) -> float:
        return context.tracker.prefill_s(name, NOW_S)

    engines = EnginePool(context.names, (), peers, prefill_s, describe, None)
    waits_s = sorted(context.tracker.load(n, NOW_S).prefill_s for n in context.names)
    drawn = set()
    for seed in range(100):
        compared = engines.own_candidates(True, Random(seed))
        assert len(compared) == count, compared
        longest_s = max(engine.load.prefill_s for engine in compared)
        assert longest_s <= waits_s[pool - 1], (longest_s, waits_s)
        drawn.update(engine.instance for engine in compared)
    assert len(drawn) == pool, drawn


@then("it has no room")
def step_no_room(context):
    assert context.placement is None, context.placement


@given("an upstream with a prefill of {seconds:g} s")
def step_prefill(context, seconds):
    context.tracker = LoadTracker("node-1")
    context.tracker.add_prefill(Prefill(1, "e1", seconds, True), NOW_S)
    context.now_s = NOW_S


def _cancel(
    tracker: LoadTracker, node: str, number: int, prefill_s: float, pass_s: float
):
    assert tracker.node == node
    tracker.add_prefill(Prefill(number, "e1", prefill_s, True, pass_s), NOW_S)
    tracker.cancel_prefill(number, ("e1",), NOW_S)


@when("at the upstream {event}")
def step_event(context, event):
    tracker = context.tracker
    match event:
        case "nothing happens for 0.5 s":
            context.now_s += 0.5
        case "its first event arrives":
            tracker.finish_prefill(1, ("e1",))
        case "it is 1 s overdue":
            context.now_s += 3.0
        case "it is 6 s overdue without an event":
            context.now_s += 8.0
        case "it is cancelled in a pass of 0.4 s":
            _cancel(tracker, "node-1", 1, 2.0, 0.4)
        case "it was cancelled 0.5 s ago, in a pass of 0.4 s":
            _cancel(tracker, "node-1", 1, 2.0, 0.4)
            context.now_s += 0.5
        case "a peer cancels 3 s in a pass of 0.5 s":
            peer = LoadTracker("node-2")
            _cancel(peer, "node-2", 7, 3.0, 0.5)
            tracker.merge(peer.take_update(), NOW_S)
        case "its first event arrives, and then it is cancelled":
            tracker.finish_prefill(1, ("e1",))
            tracker.cancel_prefill(1, ("e1",), NOW_S)
        case "a peer adds 1 s":
            prefill = Prefill(7, "e1", 1.0, True)
            tracker.merge(LoadUpdate("node-2", (prefill,), (), {}), NOW_S)
        case "a peer's prefill ends":
            prefill = Prefill(7, "e1", 1.0, True)
            tracker.merge(LoadUpdate("node-2", (prefill,), (), {}), NOW_S)
            tracker.merge(LoadUpdate("node-2", (), (7,), {}), NOW_S)
        case _:
            raise AssertionError(event)


@then("its predicted prefill takes {left:g} s")
def step_predicted(context, left):
    predicted_s = context.tracker.load("e1", context.now_s).prefill_s
    assert abs(predicted_s - left) < TOLERANCE_S, predicted_s


@given("a peer with {count:d} requests open on an upstream")
def step_peer(context, count):
    context.tracker = LoadTracker("node-1")
    work = {"e1": OpenWork(count, 1000)}
    context.tracker.merge(LoadUpdate("node-2", (), (), work), NOW_S)
    assert context.tracker.load("e1", NOW_S).requests == count
    context.now_s = NOW_S


@when("it sends nothing for {seconds:g} s")
def step_silence(context, seconds):
    context.now_s += seconds


@then("the upstream has {count:d} open requests")
def step_open_requests(context, count):
    assert context.tracker.load("e1", context.now_s).requests == count


@given("{counts} engines in the zones north, east and south")
def step_zone_engines(context, counts):
    numbers = [
        int(number)
        for number in counts.replace("and", ",").split(",")
        if number.strip()
    ]
    context.engines_by_zone = dict(zip(ZONES, numbers, strict=True))


@then("the cell of a node in {zone} is {cell}")
def step_cell(context, zone, cell):
    expected = {name for name in ZONES if name in cell}
    assert cell_zones(zone, context.engines_by_zone) == expected


def _cell(prefix: str, load: Load, is_remote: bool) -> tuple[EngineCandidate, ...]:
    return tuple(
        EngineCandidate(f"{prefix}{number}", load, is_remote=is_remote)
        for number in range(6)
    )


@given("6 engines of the own cell, each with {amount:g} {what}")
def step_own_cell(context, amount, what):
    context.own_cell = _cell("own", _load(amount, what), False)


@given("6 engines of another cell, each with {amount:g} {what}")
def step_other_cell(context, amount, what):
    context.other_cell = _cell("other", _load(amount, what), True)


def _load(amount: float, what: str) -> Load:
    if what.startswith("open"):
        return Load(requests=int(amount))
    return Load(prefill_s=amount)


@when("a short prompt is placed among both")
def step_place_short_in_cells(context):
    engines = context.own_cell + context.other_cell
    context.placement = place_prompt(PROFILE, engines, SHORT)


@when("a long prompt with a target of {target:g} s is placed among both")
def step_place_long_in_cells(context, target):
    cells = (context.own_cell, context.other_cell)
    prompt = Prompt(182_000, 1000, target, 15.0)
    context.placement = place_long_prompt(PROFILE, cells, prompt)


@then("it goes to the {cell} cell")
def step_goes_to_cell(context, cell):
    names = (context.placement.instance, *context.placement.helpers)
    assert all(name.startswith(cell) for name in names), context.placement


@given(
    "a summary of another cell that is {age:g} s old, with {told:d} open requests "
    "and {prefill:g} s of prefill on an engine"
)
def step_summary(context, age, told, prefill):
    context.tracker = LoadTracker("n1")
    upstreams = {"e1": (round(prefill * 1000), told, 40)}
    context.tracker.merge_summary(CellSummary("east", age, upstreams), NOW_S)


@given("this node has {own:d} open requests there")
def step_own_requests(context, own):
    for _ in range(own):
        context.tracker.start_request("e1", 0)


@then("that engine has {requests:d} open requests and {prefill:g} s of prefill")
def step_remote_load(context, requests, prefill):
    summary = context.tracker.current_summary("east", NOW_S)
    load = context.tracker.remote_load("e1", summary, NOW_S)
    assert (load.requests, round(load.prefill_s, 6)) == (requests, prefill), load


@then("the load of that cell is unknown")
def step_unknown_load(context):
    assert context.tracker.current_summary("east", NOW_S) is None


@given("{updates:d} updates of 30 peers at random times, for seed {seed:d}")
def step_random_updates(context, updates, seed):
    random = Random(seed)
    context.tracker, context.now_s, context.last = LoadTracker("n0"), NOW_S, {}
    for _ in range(updates):
        context.now_s += random.expovariate(10.0)
        peer = f"p{random.randrange(30)}"
        work = {f"e{random.randrange(9)}": OpenWork(random.randrange(1, 4), 100)}
        context.tracker.merge(LoadUpdate(peer, (), (), work), context.now_s)
        context.last[peer] = (work, context.now_s)
        context.tracker.load("e1", context.now_s)


@then("every engine has the load of the peers that were not silent for 3 s")
def step_sums(context):
    now_s, heard = context.now_s, context.last.values()
    for name in (f"e{number}" for number in range(9)):
        works = [work.get(name, OpenWork()) for work, at in heard if now_s - at <= 3.0]
        load = context.tracker.load(name, now_s)
        assert load.requests == sum(work.requests for work in works), name
        assert load.tokens == sum(work.tokens for work in works), name


@then("with {peers:d} peers the load of one is ignored after {timeout:g} s")
def step_peer_timeout(context, peers, timeout):
    assert round(peer_timeout_s(peers), 6) == timeout, peer_timeout_s(peers)
