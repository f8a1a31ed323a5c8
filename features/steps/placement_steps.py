"""Steps on placement decisions without I/O."""

from behave import given, then, when
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from features.support.fuzz import run_machine
from features.support.placing import LONG_TOKENS, POLICIES, SHORT_TOKENS, Zone
from lagoonhinge_core.config import LengthAware
from lagoonhinge_core.engine_messages import CacheEvent, CacheEvents, LoadReport
from lagoonhinge_core.in_flight import UpstreamWork
from lagoonhinge_core.load_correction import LoadCorrection
from lagoonhinge_core.placement import Placer, engine_priority
from lagoonhinge_core.prefix_index import PrefixIndex, prefixes_of

PROMPT = "core strength, line by line. " * 400


@given("{count:d} upstreams of {kv:d} tokens under {policy}")
def step_upstreams(context, count, kv, policy):
    context.zone = Zone([f"engine-{n}" for n in range(count)], kv)
    context.policy = POLICIES[policy]


@when(
    "{short_count:d} short and {long_count:d} long prompts are placed in turn, "
    "{max_running:d} short ones running"
)
def step_place_mixed(context, short_count, long_count, max_running):
    context.long_upstreams = set()
    context.max_tokens_ahead = 0
    started = []
    for number in range(short_count + long_count):
        is_long = number % ((short_count + long_count) // long_count) == 0
        tokens = LONG_TOKENS if is_long else SHORT_TOKENS
        name = context.zone.place(context.policy, tokens)
        if is_long:
            context.long_upstreams.add(name)
        else:
            ahead = context.zone.tokens_before_short(context.policy, name)
            context.max_tokens_ahead = max(context.max_tokens_ahead, ahead)
        attempt = context.zone.start(name, tokens)
        if not is_long:
            started.append(attempt)
        if len(started) > max_running:
            context.zone.ledger.finish(started.pop(0))


@then("{least:d} to {most:d} prompt tokens are ahead of the worst placed short prompt")
def step_tokens_ahead(context, least, most):
    assert least <= context.max_tokens_ahead <= most, context.max_tokens_ahead


@then("{free:d} or more upstreams carry no long prompt")
def step_free(context, free):
    assert len(context.zone.names) - len(context.long_upstreams) >= free


@given("upstreams a, b, c and d whose state is {state}")
def step_upstream_state(context, state):
    context.zone = zone = Zone(["a", "b", "c", "d"])
    context.requirements = {"needs_capacity": True}
    work = {
        "idle": [],
        "d has short prompts": [("d", 1500), ("d", 1500)],
        "a has a long prompt": [("a", LONG_TOKENS)],
        "a to c have long prompts": [(name, LONG_TOKENS) for name in "abc"],
        "a to c have long prompts, d a short one": [
            *((name, LONG_TOKENS) for name in "abc"),
            ("d", 550),
        ],
        "d is full": [("d", 399_000)],
        "all are full": [(name, 399_000) for name in "abcd"],
    }
    for name, tokens in work.get(state, []):
        zone.start(name, tokens)
    match state.split():
        case [name, "caches", *_]:
            context.requirements["cached_tokens"] = {name: SHORT_TOKENS}
        case [name, "is", "reserved"]:
            context.requirements["reserved"] = name
        case [name, "was", "tried"]:
            context.requirements["excluded"] = frozenset(name)


@when("a prompt of {tokens:d} tokens is placed with long preference {preference:f}")
def step_place(context, tokens, preference):
    policy = LengthAware(long_preference=preference)
    context.placed_on = context.zone.place(policy, tokens, **context.requirements)


@then("it goes to {upstream}")
def step_placed_on(context, upstream):
    expected = None if upstream == "none" else upstream
    assert context.placed_on == expected, context.placed_on


@given("a zone of {count:d} upstreams with long preference {preference:f}")
def step_zone(context, count, preference):
    context.upstreams = count
    context.policy = LengthAware(long_preference=preference)
    context.placer = Placer()


@when("long work needs {first:f} upstreams for 60 s, then {second:f} for {time:d} s")
def step_long_demand(context, first, second, time):
    loads = [first] * 60 + [second] * time
    for now, load in enumerate(loads):
        context.placer.update_split(
            context.policy, "s", context.upstreams, load, float(now)
        )


@then("long prompts may use {size:d} upstreams")
def step_split_size(context, size):
    actual = context.placer.split(context.policy, "s", context.upstreams)
    assert actual == size, actual


@when(
    "a prompt of {tokens:d} tokens waited {waited:d} s "
    "with long preference {preference:f}"
)
def step_waited(context, tokens, waited, preference):
    policy = LengthAware(long_preference=preference)
    context.priority = engine_priority(policy, tokens, float(waited))


@then("its engine priority is {priority:d}")
def step_priority(context, priority):
    assert context.priority == priority, context.priority


@given("counts of {before:d} prompt tokens until 3 s ago and {now:d} since")
def step_counts(context, before, now):
    context.correction = LoadCorrection()
    for second in range(21):
        tokens = before if second <= 17 else now
        work = {"a": UpstreamWork(prefill_tokens=tokens)}
        context.correction.record(float(second), work)


@when("a report measured {age:d} s ago shows {reported:d} queued tokens")
def step_report(context, age, reported):
    report = LoadReport(float(age), 1, 0, reported, 0, 400_000, False, "boot")
    context.excess = context.correction.unexplained("a", report, 20.0, 20.0)


@then("{unexplained:d} tokens are unexplained")
def step_unexplained(context, unexplained):
    actual = 0 if context.excess is None else context.excess.prefill_tokens
    assert actual == unexplained, context.excess


class CacheMachine(RuleBasedStateMachine):
    """Compares the index with the cache of an engine with delayed and lost events.

    All events of a run are logged. A read may lose any event and may be repeated.
    """

    def __init__(self):
        super().__init__()
        self.index = PrefixIndex()
        self.digests = [prefix.digest for prefix in prefixes_of(PROMPT)]
        self.boots = 0
        self.restart()

    @rule()
    def restart(self):
        self.boots += 1
        self.log = []

    @rule(data=st.data())
    def change(self, data):
        digest = data.draw(st.sampled_from(self.digests))
        event = CacheEvent(len(self.log), digest, data.draw(st.booleans()))
        self.log.append(event)

    @rule(delayed=st.integers(0, 9), lost=st.integers(0, 12))
    def read(self, delayed, lost):
        after = self.index.next_seq("a")
        events = self.log[after : max(after, len(self.log) - delayed)]
        next_seq = after + len(events)
        received = tuple(event for event in events if event.seq != lost)
        self.index.apply("a", CacheEvents(str(self.boots), received, next_seq))

    @invariant()
    def index_matches_cache(self):
        engine = self.index.engines.get("a")
        if engine is None or engine.boot != str(self.boots):
            return
        cached = set()
        for event in self.log[: engine.next_seq]:
            (cached.add if event.cached else cached.discard)(event.prefix)
        assert engine.prefixes == cached, (engine, cached)


@then("under random cache events the index never lists a prefix that is not cached")
def step_cache(context):
    run_machine(CacheMachine, 150)
