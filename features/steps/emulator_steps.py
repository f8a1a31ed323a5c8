"""Steps for the emulator of engines and nodes."""

from behave import given, then, when

from bench.emulate import run_pattern
from bench.emulator.clock import VirtualClock
from bench.emulator.engine import EmulatedEngine, EngineRequest
from bench.emulator.policies import POLICIES
from bench.emulator.results import kind_figures, value_share, window_shares
from bench.emulator.traffic import PROFILE

ANSWER_TOKENS = 340
OTHERS_PROMPT_TOKENS = 5000
ROUNDING_S = 0.01
NODES = 9
RATE = 1.0
BASELINES = ("round_robin", "least_in_flight")


class Probe:
    """Request that records the times of its events."""

    def __init__(self, prompt_tokens, answer_tokens, engines):
        self.times = []
        reserved_tokens = (0,) * len(engines)
        self.request = EngineRequest(
            prompt_tokens,
            answer_tokens,
            engines,
            reserved_tokens,
            self.times.append,
            lambda at_s: None,
        )

    def max_gap_s(self):
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
    start_others(context, OTHERS_PROMPT_TOKENS)


@given("each of them uses {memory:d} tokens of memory")
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
    # With other answers, it also waits for the end of the current pass.
    most_s = first + (0.05 if context.others else ROUNDING_S)
    assert first - ROUNDING_S <= took_s <= most_s, took_s
    assert context.probe.max_gap_s() <= gap, context.probe.max_gap_s()


@then("its first event comes after the others' last event")
def step_after_others(context):
    first_end_s = min(other.times[-1] for other in context.others)
    assert context.probe.times[0] >= first_end_s, (context.probe.times[0], first_end_s)


@when("all their callers disconnect")
def step_disconnect(context):
    for other in context.others:
        other.request.cancelled = True
    context.clock.run()


@then("the engine holds no memory and no request")
def step_empty(context):
    engine = context.engine
    assert not engine.used_tokens, engine.used_tokens
    assert not (engine.waiting or engine.own_parts or engine.decoding)


def run_seeds(policy, pattern, engines, seeds):
    return [
        run_pattern(policy, pattern, engines, NODES, seed, RATE)
        for seed in range(1, seeds + 1)
    ]


@when('the pattern "{pattern}" runs on {engines:d} engines with {seeds:d} seeds')
def step_run(context, pattern, engines, seeds):
    context.runs = {
        name: run_seeds(policy, pattern, engines, seeds)
        for name, policy in POLICIES.items()
    }


@when(
    'the pattern "{pattern}" runs on {engines:d} engines by {nodes:d} nodes '
    "at {rate:g} of its rates"
)
def step_run_many_nodes(context, pattern, engines, nodes, rate):
    run = run_pattern(POLICIES["product"], pattern, engines, nodes, 1, rate)
    context.runs = {"product": [run]}


@when(
    'the pattern "{pattern}" runs on {engines:d} engines by {nodes:d} nodes '
    "in {zones:d} zones, with {shares} of the requests"
)
def step_run_zones(context, pattern, engines, nodes, zones, shares):
    weights = () if shares == "equal parts" else (2.0, 1.0, 1.0)
    run = run_pattern(
        POLICIES["product"], pattern, engines, nodes, 1, 0.7, zones, weights, 5
    )
    context.runs = {"product": [run]}


@then('"product" has a value share of at least {share:g}')
def step_value_share(context, share):
    actual_share = value_share(all_outcomes(context, "product"))
    assert actual_share >= share, actual_share


def all_outcomes(context, name):
    return [outcome for run in context.runs[name] for outcome in run]


def product_figures(context, kind):
    outcomes = [
        o for o in all_outcomes(context, "product") if o.arrival.kind.name == kind
    ]
    return kind_figures(outcomes)


@then('"product" has a higher value share than each baseline, at least {share:g}')
def step_beats_baselines(context, share):
    shares = {name: value_share(all_outcomes(context, name)) for name in context.runs}
    product = shares["product"]
    assert product >= share, product
    assert all(product > shares[name] for name in BASELINES), shares


@then("the value share of its worst windows is at least {share:g}")
def step_worst_windows(context, share):
    worst = [sum(sorted(window_shares(run))[:2]) / 2 for run in context.runs["product"]]
    assert sum(worst) / len(worst) >= share, worst


@then("of its short prompts at most 1 in {count:d} is late only because of a gap")
def step_gaps(context, count):
    figures = product_figures(context, "short")
    assert figures.late_gap <= 1 / count, figures


@then("of its long prompts at least {count:d} in {total:d} are in time")
def step_longs(context, count, total):
    figures = product_figures(context, "long")
    assert figures.in_time >= count / total, figures


@when('the pattern "{pattern}" runs twice on {engines:d} engines with one seed')
def step_run_twice(context, pattern, engines):
    policy = POLICIES["product"]
    context.repeated_runs = [
        run_pattern(policy, pattern, engines, NODES, 1, RATE) for _ in range(2)
    ]


@then("both runs are the same")
def step_same(context):
    first, second = context.repeated_runs
    assert first == second
