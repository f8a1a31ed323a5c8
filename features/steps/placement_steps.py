"""Steps on placement, sans-IO."""

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
    "{shorts:d} short and {longs:d} long prompts are placed in turn, "
    "{running:d} shorts running"
)
def step_place_mixed(context, shorts, longs, running):
    context.long_names = set()
    context.worst = 0
    started = []
    for number in range(shorts + longs):
        is_long = number % ((shorts + longs) // longs) == 0
        tokens = LONG_TOKENS if is_long else SHORT_TOKENS
        name = context.zone.place(context.policy, tokens)
        if is_long:
            context.long_names.add(name)
        else:
            ahead = context.zone.tokens_before_short(context.policy, name)
            context.worst = max(context.worst, ahead)
        attempt = context.zone.start(name, tokens)
        if not is_long:
            started.append(attempt)
        if len(started) > running:
            context.zone.ledger.finish(started.pop(0))


@then("{least:d} to {most:d} prompt tokens go before the worst placed short prompt")
def step_worst(context, least, most):
    assert least <= context.worst <= most, context.worst


@then("{free:d} or more upstreams carry no long prompt")
def step_free(context, free):
    assert len(context.zone.names) - len(context.long_names) >= free


@given("upstreams a, b, c and d whose state is {state}")
def step_state(context, state):
    context.zone = zone = Zone(["a", "b", "c", "d"])
    context.wanted = {"needs_capacity": True}
    work = {
        "idle": [],
        "d has shorts": [("d", 1500), ("d", 1500)],
        "a has a long": [("a", LONG_TOKENS)],
        "a to c have longs": [(name, LONG_TOKENS) for name in "abc"],
        "a to c have longs, d few shorts": [
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
            context.wanted["cached_tokens"] = {name: SHORT_TOKENS}
        case [name, "is", "reserved"]:
            context.wanted["reserved"] = name
        case [name, "was", "tried"]:
            context.wanted["excluded"] = frozenset(name)


@when("a prompt of {tokens:d} tokens is placed with {preference:f} for long ones")
def step_place(context, tokens, preference):
    policy = LengthAware(long_preference=preference)
    context.chosen = context.zone.place(policy, tokens, **context.wanted)


@then("it goes to {upstream}")
def step_goes_to(context, upstream):
    expected = None if upstream == "none" else upstream
    assert context.chosen == expected, context.chosen


@given("a zone of {count:d} upstreams with {preference:f} for long prompts")
def step_zone(context, count, preference):
    context.upstreams = count
    context.policy = LengthAware(long_preference=preference)
    context.placer = Placer()


@when(
    "long work offers {first:f} upstreams' worth for 60 s, "
    "then {second:f} for {time:d} s"
)
def step_offer(context, first, second, time):
    loads = [first] * 60 + [second] * time
    for now, load in enumerate(loads):
        context.placer.update_split(
            context.policy, "s", context.upstreams, load, float(now)
        )


@then("long prompts may use {size:d} upstreams")
def step_size(context, size):
    found = context.placer.split(context.policy, "s", context.upstreams)
    assert found == size, found


@when(
    "a prompt of {tokens:d} tokens has waited {waited:d} s with {preference:f} for long"
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


@when("a report that was made {age:d} s ago shows {reported:d} queued tokens")
def step_report(context, age, reported):
    report = LoadReport(float(age), 1, 0, reported, 0, 400_000, False, "boot")
    context.found = context.correction.unexplained("a", report, 20.0, 20.0)


@then("{unexplained:d} tokens are unexplained")
def step_unexplained(context, unexplained):
    found = 0 if context.found is None else context.found.prefill_tokens
    assert found == unexplained, context.found


class CacheMachine(RuleBasedStateMachine):
    """An engine whose events arrive late and with gaps; the oracle is its cache.

    A run's events are all kept. Reads may lose any, and an old read may come again.
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

    @rule(upto=st.integers(0, 9), lost=st.integers(0, 12))
    def read(self, upto, lost):
        after = self.index.next_seq("a")
        seen = self.log[after : max(after, len(self.log) - upto)]
        next_seq = after + len(seen)
        kept = tuple(event for event in seen if event.seq != lost)
        self.index.apply("a", CacheEvents(str(self.boots), kept, next_seq))

    @invariant()
    def names_only_what_was_cached(self):
        engine = self.index.engines.get("a")
        if engine is None or engine.boot != str(self.boots):
            return
        cached = set()
        for event in self.log[: engine.next_seq]:
            (cached.add if event.cached else cached.discard)(event.prefix)
        assert engine.prefixes == cached, (engine, cached)


@then("random cache events never make the index name a prefix that is not cached")
def step_cache(context):
    run_machine(CacheMachine, 150)
