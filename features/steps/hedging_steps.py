"""Steps for hedged requests."""

from asyncio import sleep
from dataclasses import replace
from random import Random

from behave import given, then, when

from features.support.notice_fleet import DESK, FakeUpstream, NoticeFleet
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.hedging import (
    Alternative,
    HedgeBound,
    HedgeBudget,
    HedgeGroup,
    HedgeSituation,
    HedgeTracker,
    decide_hedge,
)

GROUP = HedgeGroup("desk", "idempotent", "none")
SITUATION = HedgeSituation(True, False, False, True, True, 0.1, Alternative(0.05, 0, 8))
AMPLE_PER_S = 1000.0
STEP_S = 0.1
WARM_UP_S = 10.0
DRAIN_S = 5.0
SENT = {"result": "sent"}


@given("a short repeatable request that takes longer than its predicted 0.1 s")
def step_situation(context):
    context.situation = SITUATION


@given("its prefill delays other answers")
def step_long(context):
    context.situation = replace(context.situation, is_long=True)


@given("nothing else")
def step_nothing_else(context):
    assert context.situation == SITUATION


@given("it may not run on another upstream")
def step_once(context):
    context.situation = replace(context.situation, may_run_again=False)


@given("upstreams of its service are limited")
def step_limited(context):
    context.situation = replace(context.situation, is_restricted=True)


@given("the other upstream serves {requests:d} of {slots:d} requests")
def step_other_busy(context, requests, slots):
    alternative = Alternative(0.05, requests, slots)
    context.situation = replace(context.situation, alternative=alternative)


@given("the other upstream is ready after {ready:g} s")
def step_other_ready(context, ready):
    alternative = Alternative(ready, 0, 8)
    context.situation = replace(context.situation, alternative=alternative)


@given("there is no other upstream")
def step_no_other(context):
    context.situation = replace(context.situation, alternative=None)


@given("the {budget} budget is spent")
def step_spent(context, budget):
    fields = {f"within_{budget}_budget": False}
    context.situation = replace(context.situation, **fields)


@then("the decision is {decision}")
def step_decision(context, decision):
    assert decide_hedge(context.situation).value == decision


@given("hedging of {share:g} of the requests")
def step_share(context, share):
    context.tracker = HedgeTracker()
    context.tracker.set_bound(HedgeBound(share, AMPLE_PER_S))


@when("answers are {delays} ms later than predicted")
def step_delays(context, delays):
    first, last, step = map(int, delays.split())
    for delay_ms in range(first, last + step, step):
        context.tracker.record_delay(GROUP, delay_ms / 1000)


@then("a request with a predicted time of {predicted:d} ms is hedged after {due}")
def step_due(context, predicted, due):
    due_s = context.tracker.due_in_s(GROUP, predicted / 1000)
    if due == "never":
        assert due_s is None, due_s
    else:
        assert due_s is not None
        assert abs(due_s * 1000 - int(due.split()[0])) <= 1.0, due_s


@given(
    "hedging of {share:g} of the requests, and of {rate:g} a second of all {nodes:d} "
    "nodes"
)
def step_fleet(context, share, rate, nodes):
    context.bound, context.node_count = HedgeBound(share, rate), nodes


@when(
    "each node gets {demand:g} requests a second for {duration:d} s, and wants to "
    "hedge {wanted:g} of them, and {fault}"
)
def step_fleet_run(context, demand, duration, wanted, fault):
    random, count = Random(1), context.node_count
    budgets = [HedgeBudget(context.bound) for _ in range(count)]
    context.duration_s, context.requests, context.hedges = duration, 0, 0
    context.starts = count
    for step in range(int(duration / STEP_S)):
        now_s = step * STEP_S
        if fault.startswith("nodes are restarted") and now_s and now_s % 20.0 < STEP_S:
            budgets = [HedgeBudget(context.bound) for _ in range(count)]
            context.starts += count
        # A node that is cut off still counts the nodes of its list.
        for budget in budgets:
            if random.random() >= demand * STEP_S:
                continue
            context.requests += 1
            budget.count_request()
            if random.random() < wanted and budget.allows_hedge(now_s, count):
                budget.count_hedge()
                context.hedges += 1


def _allowed(context) -> float:
    by_share = context.bound.share * context.requests
    return min(by_share, context.bound.per_s * context.duration_s)


@then("all hedges are within the share and the rate, but for two of each node")
def step_fleet_bound(context):
    assert context.hedges <= _allowed(context) + 2 * context.starts, context.hedges


@then("they are at least {least:g} of what both allow")
def step_fleet_least(context, least):
    assert context.hedges >= least * _allowed(context), (
        context.hedges,
        _allowed(context),
    )


@given("a node before ten upstreams that answer within {delay:g} s")
def step_upstreams(context, delay):
    context.delays_s = [delay] * 10


@given("{count:d} of them answer within {delay:g} s instead")
def step_slow(context, count, delay):
    context.delays_s[:count] = [delay] * count


@when(
    "{rate:d} requests a second are sent for {duration:d} s, of which {share:g} may be "
    "hedged"
)
def step_load(context, rate, duration, share):
    context.loop = loop = VirtualLoop()
    names = [f"d{number}" for number in range(len(context.delays_s))]
    upstreams = {
        name: FakeUpstream(DESK, delay_s=delay_s)
        for name, delay_s in zip(names, context.delays_s, strict=True)
    }
    fleet = NoticeFleet(loop, Random(1), ("n0",), upstreams)
    loop.run_until_complete(fleet.start_node("n0"))
    node = fleet.nodes["n0"]
    node.serving.hedges.set_bound(HedgeBound(share, AMPLE_PER_S))
    context.took_s, random = [], Random(2)
    registry = node.runner.metrics.registry

    def count_hedges() -> float:
        value = registry.get_sample_value("lagoonhinge_hedges_total", SENT)
        return value or 0.0

    async def run() -> None:
        end_s = loop.time() + duration
        measured_s, hedged = loop.time() + WARM_UP_S, 0.0
        while loop.time() < end_s:
            sent_s = loop.time()
            if sent_s < measured_s:
                hedged = count_hedges()
            node.start_request(None)

            def record(_, sent_s=sent_s) -> None:
                if sent_s >= measured_s:
                    context.took_s.append(loop.time() - sent_s)

            node.requests[-1].add_done_callback(record)
            await sleep(random.expovariate(rate))
        await sleep(DRAIN_S)
        context.hedged = count_hedges() - hedged

    loop.run_until_complete(run())
    loop.run_until_complete(node.stop())


@then("of 100 requests, {percentile:d} are answered within {within:g} s")
def step_percentile(context, percentile, within):
    took_s = sorted(context.took_s)
    found_s = took_s[int(len(took_s) * percentile / 100)]
    assert found_s <= within, found_s


@then("at most {share:g} of the requests are hedged, and at least {least:g}")
def step_hedged(context, share, least):
    requests = len(context.took_s)
    assert least * requests <= context.hedged, (context.hedged, requests)
    saved = 2 if share else 0
    assert context.hedged <= share * requests + saved, (context.hedged, requests)
