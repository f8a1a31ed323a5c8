"""Steps for upstreams that are cold."""

from collections import deque
from random import Random

from behave import given, then, when
from msgspec import json

from features.support.serving import build_serving_state
from lagoonhinge_core.forwarding.cold_upstreams import ColdBound, ColdUpstreams
from lagoonhinge_core.forwarding.routes import RouteTable
from lagoonhinge_core.forwarding.sender_permits import SenderPermits
from lagoonhinge_core.forwarding.site_config import ServiceProfile, SiteConfig
from lagoonhinge_core.forwarding.site_store import TableRow
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.site_controllers import (
    EvacuationController,
    UpstreamController,
)

BOUND = ColdBound(1.5, 5.0)
PER_S = 14.0
COLD_S = 20.0
STEP_S = 0.01
HEARD_INTERVAL_S = 0.2
SILENCE_S = 3.0  # after which a peer no longer counts
RESTART_S = 1.0
UPSTREAM = Upstream("e1", "models", "h", 1, "east", 6)


def _new_node(name: str) -> ColdUpstreams:
    cold = ColdUpstreams(SenderPermits(name, BOUND.tolerance()))
    cold.record(UPSTREAM, COLD_S, 0.0)
    return cold


@given(
    "{nodes:d} nodes of a cell with {demand:g} requests a second each, of whose "
    "messages {loss:d} of 100 are lost"
)
def step_cell(context, nodes, demand, loss):
    context.cell = ([f"n{number:02}" for number in range(nodes)], demand, loss / 100)


@when(
    "an upstream that takes 14 a second, 1.5 times that and 5 more in any second, is "
    "cold for 20 s and {fault}"
)
def step_cold(context, fault):
    context.sent_s = [_send_while_cold(*context.cell, fault, s) for s in range(3)]


def _send_while_cold(
    names: list[str], demand: float, loss: float, fault: str, seed: int
) -> list[float]:
    """Return when the upstream gets requests, in seconds."""
    random, sent_s, killed_s = Random(seed), [], 0.0
    nodes = {name: _new_node(name) for name in names}
    heard_s = {name: dict.fromkeys(names, 0.0) for name in names}
    down_until_s = dict.fromkeys(names, 0.0)
    for step in range(int(COLD_S / STEP_S)):
        now_s = step * STEP_S
        if fault.startswith("a sender") and now_s - killed_s >= SILENCE_S:
            killed_s = now_s
            victim = max(
                names, key=lambda n: len(nodes[n].permits.counts) and random.random()
            )
            nodes[victim] = _new_node(victim)
            down_until_s[victim] = now_s + RESTART_S
        for name in names:
            if now_s < down_until_s[name]:
                continue
            if random.random() < STEP_S / HEARD_INTERVAL_S:
                for other in names:
                    if random.random() >= loss:
                        heard_s[other][name] = now_s
            if random.random() >= demand * STEP_S:
                continue
            live = {n for n, at in heard_s[name].items() if now_s - at < SILENCE_S}
            live.add(name)
            if loss == 1.0:
                # Without any message the list of nodes is what is known.
                live = set(names)
            if nodes[name].may_send(UPSTREAM.instance, PER_S, live, now_s):
                nodes[name].record_send(UPSTREAM.instance, PER_S, live, now_s)
                sent_s.append(now_s)
    return sent_s


@then(
    "in any second it got at most {most:d} requests, and in all at least {share:g} of "
    "what it takes"
)
def step_rate(context, most, share):
    for sent_s in context.sent_s:
        window: deque[float] = deque()
        for at_s in sent_s:
            window.append(at_s)
            while window[0] <= at_s - 1.0:
                window.popleft()
            assert len(window) <= most, (at_s, len(window))
        assert len(sent_s) >= share * PER_S * COLD_S, len(sent_s)


class ColdRows:
    """Rows whose values are JSON: for how long the upstream is cold, and its start."""

    def upstream(self, row: TableRow) -> Upstream | None:
        """Return the upstream in a row."""
        cold_s, started_ms = json.decode(row.value or b"")
        return Upstream(
            row.key, "models", "h", 1, "east", 6, started_ms=started_ms, cold_s=cold_s
        )


@given("a node whose configuration lets upstreams be cold for {cold:g} s")
def step_node(context, cold):
    context.now_s = 0.0
    context.serving = serving = build_serving_state(lambda: context.now_s)
    profile = ServiceProfile("models", 8, cold_s=cold, cold_per_s=PER_S)
    config = SiteConfig(1, RouteTable(()), {"models": profile}, {})
    writer = serving.board.writer(SiteConfigSection(), "test")
    writer.post(SiteConfigSection(config))
    serving.set_cold_bound(BOUND)
    context.upstreams = UpstreamController(serving, ColdRows())
    context.evacuations = EvacuationController(serving)


@when("it learns at times in s: {events}")
def step_learn(context, events):
    for version, event in enumerate(events.split(", ")):
        at_s, _, text = event.partition(": ")
        context.now_s = float(at_s)
        match text.split():
            case ["cold", left_s]:
                value = json.encode((float(left_s), 1))
                context.upstreams.apply((TableRow("e1", value, version),), False)
            case ["started", "again"]:
                value = json.encode((0.0, 2))
                context.upstreams.apply((TableRow("e1", value, version),), False)
            case ["evacuated"]:
                context.evacuations.apply((TableRow("east", b"", version),))
            case ["taken", "back"]:
                context.evacuations.apply((TableRow("east", None, version),))


@then("the upstream is cold for {left:g} s at {at:g} s")
def step_left(context, left, at):
    context.now_s = at
    upstream = context.serving.directory.by_instance["e1"]
    remaining_s = context.serving.cold.remaining_s(upstream, at)
    assert abs(remaining_s - left) < 1e-6, remaining_s
    assert (context.serving.cold_per_s(upstream) is not None) == (left > 0)
