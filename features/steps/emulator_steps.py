"""Steps about the emulator of engines and nodes."""

from behave import given, then, when

from bench.emulate import play
from bench.emulator.clock import VirtualClock
from bench.emulator.engine import EmulatedEngine, EngineRequest
from bench.emulator.policies import POLICIES
from bench.emulator.results import kind_figures, share_earned, windows
from bench.emulator.traffic import PROFILE

ANSWER_TOKENS = 340
OTHERS_PROMPT = 5000
ROUNDING_S = 0.01
NODES = 9
RATE = 1.0
BASELINES = ("round_robin", "least_in_flight")


class Probe:
    """A request and the times of its events."""

    def __init__(self, tokens, answer, engines):
        self.times = []
        held = (0,) * len(engines)
        self.request = EngineRequest(
            tokens, answer, engines, held, self.times.append, lambda at_s: None
        )

    def longest_gap_s(self):
        return max(b - a for a, b in zip(self.times, self.times[1:], strict=False))


def start_others(context, prompt_tokens):
    context.clock = VirtualClock()
    context.engine = EmulatedEngine(PROFILE, context.clock)
    context.others = [
        Probe(prompt_tokens, ANSWER_TOKENS, (context.engine,))
        for _ in range(context.other_count)
    ]
    for other in context.others:
        other.request.send(0.0)
    context.clock.run(0.5 if context.others else 0.0)
    context.now_s = 0.5


@given("an emulated engine that serves {others:d} other answers")
def step_engine(context, others):
    context.other_count = others
    start_others(context, OTHERS_PROMPT)


@given("each of them takes {memory:d} tokens of memory")
def step_memory(context, memory):
    start_others(context, memory - ANSWER_TOKENS)


@when("a prompt of {tokens:d} tokens is prefilled by {engines:d} engines")
def step_prefill(context, tokens, engines):
    helpers = tuple(EmulatedEngine(PROFILE, context.clock) for _ in range(engines - 1))
    context.probe = Probe(tokens, ANSWER_TOKENS, (context.engine, *helpers))
    context.clock.schedule(context.now_s, context.probe.request.send)
    context.clock.run()


@then("its first event comes after {first:g} s, and its gaps are at most {gap:g} s")
def step_first(context, first, gap):
    took_s = context.probe.times[0] - context.now_s
    # Beside others it also waits for the end of a pass.
    max_s = first + (0.05 if context.others else ROUNDING_S)
    assert first - ROUNDING_S <= took_s <= max_s, took_s
    assert context.probe.longest_gap_s() <= gap, context.probe.longest_gap_s()


@then("its first event comes after the others' last event")
def step_after_others(context):
    ends = min(other.times[-1] for other in context.others)
    assert context.probe.times[0] >= ends, (context.probe.times[0], ends)


@when("all their callers disconnect")
def step_disconnect(context):
    for other in context.others:
        other.request.left = True
    context.clock.run()


@then("the engine holds no memory and no request")
def step_empty(context):
    engine = context.engine
    assert not engine.tokens, engine.tokens
    assert not (engine.waiting or engine.reading or engine.writing)


def play_seeds(policy, pattern, engines, seeds):
    return [
        play(policy, pattern, engines, NODES, seed, RATE)
        for seed in range(1, seeds + 1)
    ]


@when('the pattern "{pattern}" is played on {engines:d} engines with {seeds:d} seeds')
def step_play(context, pattern, engines, seeds):
    context.runs = {
        name: play_seeds(policy, pattern, engines, seeds)
        for name, policy in POLICIES.items()
    }


@when(
    'the pattern "{pattern}" is played on {engines:d} engines by {nodes:d} nodes '
    "at {rate:g} of its rates"
)
def step_play_many(context, pattern, engines, nodes, rate):
    run = play(POLICIES["product"], pattern, engines, nodes, 1, rate)
    context.runs = {"product": [run]}


@then('"product" earns at least {share:g} of the worth')
def step_earns_alone(context, share):
    earned = share_earned(all_outcomes(context, "product"))
    assert earned >= share, earned


def all_outcomes(context, name):
    return [outcome for run in context.runs[name] for outcome in run]


def product_kind(context, kind):
    outcomes = [
        o for o in all_outcomes(context, "product") if o.arrival.kind.name == kind
    ]
    return kind_figures(outcomes)


@then('"product" earns more than each baseline, and at least {share:g} of the worth')
def step_earns(context, share):
    shares = {name: share_earned(all_outcomes(context, name)) for name in context.runs}
    product = shares["product"]
    assert product >= share, product
    assert all(product > shares[name] for name in BASELINES), shares


@then("its worst windows earn at least {share:g}")
def step_worst(context, share):
    worst = [sum(sorted(windows(run))[:2]) / 2 for run in context.runs["product"]]
    assert sum(worst) / len(worst) >= share, worst


@then("of its short prompts at most 1 in {part:d} is late only because of a gap")
def step_late_gaps(context, part):
    figures = product_kind(context, "short")
    assert figures.late_pause <= 1 / part, figures


@then("of its long prompts at least {part:d} in {whole:d} are in time")
def step_longs(context, part, whole):
    figures = product_kind(context, "long")
    assert figures.in_time >= part / whole, figures


@when('the pattern "{pattern}" is played twice on {engines:d} engines with one seed')
def step_twice(context, pattern, engines):
    policy = POLICIES["product"]
    context.twice = [play(policy, pattern, engines, NODES, 1, RATE) for _ in range(2)]


@then("both runs are the same")
def step_same(context):
    first, second = context.twice
    assert first == second
