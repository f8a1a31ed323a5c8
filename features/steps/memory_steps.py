"""Steps on the reaper's decisions and on releases, without processes."""

from asyncio import run, sleep, wait_for
from dataclasses import replace
from itertools import pairwise
from random import Random

from behave import given, then, when
from returns.result import Failure, Success

from features.support.fuzz import run_machine
from features.support.memory_machine import MemoryMachine
from lagoonhinge_core.engine_messages import Holding
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.reaper import (
    OwnerSnapshot,
    RemovedVms,
    SweepSchedule,
    holding_verdict,
)
from lagoonhinge_core.upstream_errors import Broken, EngineFault, NotSent, Silent
from lagoonhinge_node.releases import Release, Releaser

OWN = NodeId("vm-own", 100)
OWNERS = {
    "the node itself": "vm-own/100",
    "its predecessor": "vm-own/99",
    "its successor": "vm-own/101",
    "a live peer": "vm-live/50",
    "a silent peer": "vm-silent/50",
    "a restarted peer": "vm-live/49",
    "a peer that is gone": "vm-gone/50",
    "an unknown VM": "vm-unknown/1",
    "no readable owner": "someone",
}
NEWEST = {"vm-own": 100, "vm-live": 50, "vm-silent": 50, "vm-gone": 50}
ERRORS = {
    "the replies of": Broken("cut"),
    "find nobody": NotSent("refused"),
    "stay silent": Silent(2.0),
    "fail inside": EngineFault("status 500"),
}
RELEASE = Release("http://engine", "stream", "vm-own-100-1", 0.0)
LIVENESS_S = 20.0
MACHINE_EXAMPLES = 150
MACHINE_STEPS = 60


@given("a holding of {owner}, {age:d} s old, that expires in {expires:d} s")
def step_holding(context, owner, age, expires):
    context.holding = Holding("stream", "name", OWNERS[owner], 10, expires, age)


@given("the reaper's node uses the name: {used}")
def step_used(context, used):
    context.known = OwnerSnapshot(
        OWN, NEWEST, frozenset(("vm-gone",)), lambda name: used == "yes"
    )


@when("the reaper judges the holding")
def step_judge(context):
    context.verdict = holding_verdict(context.holding, context.known)


@then('the reaper answers "{verdict}"')
def step_verdict(context, verdict):
    assert context.verdict == verdict, context.verdict


@when("at each second of the reaper's clock the VM is {seen}")
def step_seen(context, seen):
    gone = RemovedVms()
    for second in range(len(seen) * 5):
        suspects = ("vm",) if seen[second // 5] == "S" else ()
        context.gone = gone.update(suspects, float(second))


@then("the reaper takes the VM as gone: {gone}")
def step_gone(context, gone):
    assert ("vm" in context.gone) == (gone == "yes"), context.gone


@when("{nodes:d} nodes sweep {engines:d} engines for {seconds:d} s")
def step_sweeps(context, nodes, engines, seconds):
    context.seconds = seconds
    names = [f"engine-{number}" for number in range(engines)]
    cell = [f"vm-{number}" for number in range(nodes)]
    random = Random(7)
    schedules = {vm: SweepSchedule() for vm in cell}
    context.looks = {vm: {name: [] for name in names} for vm in cell}
    context.most = 0
    for second in range(seconds):
        for vm, schedule in schedules.items():
            now_s = second + random.random() / 10
            due = schedule.next_sweep(now_s, names, vm, cell)
            context.most = max(context.most, len(due))
            for name in due:
                context.looks[vm][name].append(now_s)


@then("each engine is looked at by one node at least every {gap:d} s")
def step_gap(context, gap):
    for name in next(iter(context.looks.values())):
        best = max((looks[name] for looks in context.looks.values()), key=len)
        gaps = [b - a for a, b in pairwise(best)]
        assert gaps, name
        assert max(gaps) <= gap, (name, max(gaps))


@then("each node has looked at every engine within {bound:d} s of its start")
def step_first(context, bound):
    for looks in context.looks.values():
        assert all(times and times[0] <= bound for times in looks.values()), looks


@then(
    "each node looks at {most:d} engines at most in one sweep"
    " and at {rate:d} a second on average"
)
def step_rate(context, most, rate):
    assert context.most <= most
    for looks in context.looks.values():
        total = sum(len(times) for times in looks.values())
        assert total / context.seconds <= rate, total


class FakeReleases:
    """The part of the engine client that releases use."""

    def __init__(self, failures, error):
        self.failures = failures
        self.error = error
        self.calls = 0
        self.dropped = 0

    async def release(self, url, kind, name, timeout_s):
        """Fail as often as told, then confirm."""
        self.calls += 1
        return Failure(self.error) if self.calls <= self.failures else Success(None)

    async def drop_connections(self, url):
        """Count the drops."""
        self.dropped += 1


@given("an engine on which every call works")
def step_works(context):
    context.engine = FakeReleases(0, None)


@given("an engine on which {failures:d} calls {error}")
def step_fails(context, failures, error):
    context.engine = FakeReleases(failures, ERRORS[error])


@given("an engine on which the replies of {failures:d} calls are lost")
def step_lost(context, failures):
    context.engine = FakeReleases(failures, ERRORS["the replies of"])


@when("a release is submitted and {event}")
def step_submit(context, event):
    run(_submit(context, event))


async def _submit(context, event):
    context.releaser = Releaser(context.engine)
    await context.releaser.start()
    bound_s = 0.3 if event == "its expiry passes" else 60.0
    release = replace(RELEASE, until_monotonic_s=context.releaser.loop.time() + bound_s)
    context.releaser.submit(release)
    context.releaser.submit(release)
    match event:
        case "1 s pass" | "its expiry passes":
            await wait_for(_until_done(context.releaser), LIVENESS_S)
        case "the node stops at once":
            await context.releaser.stop()
            assert not context.releaser.pending
        case "the node stops impatiently":
            await wait_for(context.releaser.drain(0.2), LIVENESS_S)
            context.left = tuple(context.releaser.pending)
    await context.releaser.stop() if event != "the node stops impatiently" else None
    for future in tuple(context.releaser.pending.values()):
        future.cancel()
    await sleep(0)


async def _until_done(releaser):
    while releaser.pending:
        await sleep(0.01)


@then("the engine's release is confirmed after {calls:d} calls")
def step_confirmed(context, calls):
    assert context.engine.calls == calls, context.engine.calls


@then("the engine's release is left to expire")
def step_expired(context):
    assert context.engine.calls < 999


@then("the engine's release is left pending, and said so")
def step_left(context):
    assert [left.name for left in context.left] == [RELEASE.name], context.left


@then("the pooled connections of the engine were dropped {count:d} times")
def step_dropped(context, count):
    assert context.engine.dropped == count


@then("the state machine of memory, reaper and dying nodes finds no fault")
def step_machine(context):
    run_machine(MemoryMachine, MACHINE_EXAMPLES, MACHINE_STEPS)
