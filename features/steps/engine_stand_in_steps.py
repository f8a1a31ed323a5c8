"""Steps that drive the model of the engine stand-in without processes."""

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
    """Return a prompt of `tokens` tokens."""
    return letter * (tokens * BYTES_PER_TOKEN)


def make_call(name, tokens, reservation=None, priority=0, letter="x") -> EngineCall:
    """Return an attempt with the given name."""
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


@given("an engine stand-in of {tokens:d} tokens with a fake clock")
def step_make_engine(context, tokens):
    context.clock = FakeClock()
    context.engine = make_engine(tokens, context.clock)


@given("the stand-in omits events whose number is a multiple of {number:d}")
def step_omit_events(context, number):
    context.engine.set_faults(EngineFaults(lose_every_event=number))


@when("on the stand-in {steps}")
def step_run_steps(context, steps):
    for step in steps.split(", "):
        _run_step(context, step.split())


def _run_step(context, operation):
    engine = context.engine
    match operation:
        case ["reserve", name, tokens, *expected]:
            request = ReservationRequest(name, OWNER, int(tokens), EXPIRY_S)
            assert (engine.reserve(request) is not None) == (expected == ["refused"])
        case ["span", name, tokens, reservation, *expected]:
            prompt = make_prompt(int(tokens))
            request = SpanRequest(name, OWNER, reservation, prompt, 0, EXPIRY_S)
            answer = engine.add_span(request)
            assert isinstance(answer, Refusal) == (expected == ["refused"])
        case ["stream", name, tokens, "waits"]:
            assert not engine.accept(make_call(name, int(tokens))).admitted
        case ["stream", name, tokens, *reservation]:
            call = make_call(name, int(tokens), *reservation)
            assert engine.accept(call).admitted
        case ["release", kind, name, *expected]:
            assert engine.release(kind, name) == (expected != ["unknown"])
        case ["run", seconds]:
            for _ in range(int(seconds) * 100):
                context.clock.now_s += 0.01
                engine.step(0.01)
        case _:
            raise AssertionError(operation)


@then("the stand-in uses {tokens:d} tokens")
def step_used_tokens(context, tokens):
    assert context.engine.used_tokens == tokens, context.engine.list_holdings()


@when("streams with priorities {priorities} are submitted to the stand-in")
def step_submit_streams(context, priorities):
    for priority in priorities.split(", "):
        call = make_call(priority, 300, priority=int(priority))
        context.engine.accept(call)


@then("the stand-in finishes them in the order {priorities}")
def step_finish_order(context, priorities):
    assert run_until_idle(context.engine) == priorities.split(", ")


@when("a prompt of {tokens:d} tokens is run twice on the stand-in")
def step_run_twice(context, tokens):
    context.durations_s = []
    for name in ("first", "second"):
        start_s = context.clock.now_s
        context.last_run = context.engine.accept(make_call(name, tokens))
        run_until_idle(context.engine)
        context.durations_s.append(context.clock.now_s - start_s)


@then("the second run has {tokens:d} cached tokens and is at least 4 times as fast")
def step_cached_run_is_faster(context, tokens):
    assert context.last_run.chunks[-1].usage.cached_tokens == tokens
    assert context.durations_s[0] >= 4 * context.durations_s[1], context.durations_s


@when(
    "a prompt of {tokens:d} tokens is run"
    " and its events from number {from_seq:d} on are read after {wait_s:f} s"
)
def step_read_events(context, tokens, from_seq, wait_s):
    context.from_seq = from_seq
    context.engine.accept(make_call("a", tokens))
    # Stop at the end of the prefill, so that the events are not published yet.
    while not context.engine.cache.prefix_tokens:
        context.engine.step(0.1)
    context.clock.now_s += wait_s


@then("the cache events have the numbers {numbers}")
def step_event_numbers(context, numbers):
    answer = context.engine.published_events(context.from_seq)
    published = ",".join(str(event.seq) for event in answer.events)
    assert (published or "none") == numbers, answer
    assert all(event.cached for event in answer.events)


@when("{count:d} different prompts of {tokens:d} tokens are run on the stand-in")
def step_run_prompts(context, count, tokens):
    context.prompts = [make_prompt(tokens, chr(ord("a") + i)) for i in range(count)]
    for prompt in context.prompts:
        context.engine.accept(make_call(prompt[0], tokens, letter=prompt[0]))
        run_until_idle(context.engine)


@then("only the last {count:d} of them are cached")
def step_last_cached(context, count):
    cached = [context.engine.cache.cached_tokens(prompt) for prompt in context.prompts]
    assert [tokens > 0 for tokens in cached] == [False] + [True] * count, cached
