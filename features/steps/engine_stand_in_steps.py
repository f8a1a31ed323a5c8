"""Steps that drive the engine stand-in's model without processes."""

from behave import given, then, when

from features.support.fake_engine import FakeClock, make_engine, run_until_idle
from lagoonhinge_core.engine_messages import (
    EngineCall,
    ReservationRequest,
    SpanRequest,
)
from stand_ins.answers import BYTES_PER_TOKEN
from stand_ins.engine_state import EngineFaults, Refusal

OWNER = "vm/1"
OUTPUT_TOKENS = 16
EXPIRY_S = 50.0


def make_prompt(tokens: int, letter: str = "x") -> str:
    """Return a prompt of a length in tokens."""
    return letter * (tokens * BYTES_PER_TOKEN)


def make_call(name, tokens, reservation=None, priority=0, letter="x") -> EngineCall:
    """Return an attempt."""
    return EngineCall(
        attempt=name,
        owner=OWNER,
        model="compliance",
        prompt=make_prompt(tokens, letter),
        max_tokens=OUTPUT_TOKENS,
        seed=1,
        priority=priority,
        expires_s=EXPIRY_S,
        reservation=reservation,
    )


@given("an engine stand-in of {tokens:d} tokens with a clock of its own")
def step_engine(context, tokens):
    context.clock = FakeClock()
    context.engine = make_engine(tokens, context.clock)


@given("the stand-in loses every event with a multiple of {number:d}")
def step_lost(context, number):
    context.engine.set_faults(EngineFaults(lose_every_event=number))


@when("on the stand-in {steps}")
def step_steps(context, steps):
    for step in steps.split(", "):
        _do(context, step.split())


def _do(context, words):
    engine = context.engine
    match words:
        case ["reserve", name, tokens, *end]:
            wanted = ReservationRequest(name, OWNER, int(tokens), EXPIRY_S)
            assert (engine.reserve(wanted) is not None) == (end == ["refused"])
        case ["span", name, tokens, reservation, *end]:
            prompt = make_prompt(int(tokens))
            wanted = SpanRequest(name, OWNER, reservation, prompt, 0, EXPIRY_S)
            answer = engine.add_span(wanted)
            assert isinstance(answer, Refusal) == (end == ["refused"])
        case ["stream", name, tokens, "waits"]:
            assert not engine.accept(make_call(name, int(tokens))).admitted
        case ["stream", name, tokens, *reservation]:
            call = make_call(name, int(tokens), *reservation)
            assert engine.accept(call).admitted
        case ["release", kind, name, *end]:
            assert engine.release(kind, name) == (end != ["unknown"])
        case ["run", seconds]:
            for _ in range(int(seconds) * 100):
                context.clock.now_s += 0.01
                engine.step(0.01)
        case _:
            raise AssertionError(words)


@then("the stand-in uses {tokens:d} tokens")
def step_used(context, tokens):
    assert context.engine.used_tokens == tokens, context.engine.held()


@when("streams of priorities {priorities} are given to the stand-in")
def step_priorities(context, priorities):
    for number in priorities.split(", "):
        call = make_call(number, 300, priority=int(number))
        context.engine.accept(call)


@then("the stand-in finishes them in the order {priorities}")
def step_order(context, priorities):
    assert run_until_idle(context.engine) == priorities.split(", ")


@when("a prompt of {tokens:d} tokens is run twice on the stand-in")
def step_twice(context, tokens):
    context.times = []
    for name in ("first", "second"):
        start = context.clock.now_s
        context.run = context.engine.accept(make_call(name, tokens))
        run_until_idle(context.engine)
        context.times.append(context.clock.now_s - start)


@then("the second run has {tokens:d} cached tokens and is at least 4 times as fast")
def step_fast(context, tokens):
    assert context.run.chunks[-1].usage.cached_tokens == tokens
    assert context.times[0] >= 4 * context.times[1], context.times


@when(
    "a prompt of {tokens:d} tokens is run"
    " and its events from {start:d} on are read after {wait:f} s"
)
def step_events(context, tokens, start, wait):
    context.start = start
    context.engine.accept(make_call("a", tokens))
    # Up to the end of the prefill only, so that the events are not yet old.
    while not context.engine.cache.lengths:
        context.engine.step(0.1)
    context.clock.now_s += wait


@then("the cache events have the numbers {numbers}")
def step_numbers(context, numbers):
    answer = context.engine.published_events(context.start)
    found = ",".join(str(event.seq) for event in answer.events)
    assert (found or "none") == numbers, answer
    assert all(event.cached for event in answer.events)


@when("{count:d} different prompts of {tokens:d} tokens are run on the stand-in")
def step_prompts(context, count, tokens):
    context.prompts = [make_prompt(tokens, chr(ord("a") + i)) for i in range(count)]
    for prompt in context.prompts:
        context.engine.accept(make_call(prompt[0], tokens, letter=prompt[0]))
        run_until_idle(context.engine)


@then("only the last {count:d} of them are cached")
def step_last(context, count):
    cached = [context.engine.cache.cached_tokens(prompt) for prompt in context.prompts]
    assert [tokens > 0 for tokens in cached] == [False] + [True] * count, cached
