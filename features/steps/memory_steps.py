"""Steps for the reaper's decisions and for releases, without processes."""

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
from lagoonhinge_node.releases import Release, ReleaseQueue

OWN = NodeId("vm-own", 100)
OWNERS = {
    "the node itself": "vm-own/100",
    "its predecessor": "vm-own/99",
    "its successor": "vm-own/101",
    "a live peer": "vm-live/50",
    "a silent peer": "vm-silent/50",
    "a restarted peer": "vm-live/49",
    "a removed peer": "vm-removed/50",
    "an unknown VM": "vm-unknown/1",
    "an invalid owner": "not-an-identity",
}
NEWEST = {"vm-own": 100, "vm-live": 50, "vm-silent": 50, "vm-removed": 50}
ERRORS = {
    "the replies of": Broken("cut"),
    "are not sent": NotSent("refused"),
    "time out": Silent(2.0),
    "fail in the engine": EngineFault("status 500"),
}
RELEASE = Release("http://engine", "stream", "vm-own-100-1", 0.0)
COMPLETION_TIMEOUT_S = 20.0
MACHINE_EXAMPLES = 150
MACHINE_STEPS = 60


@given("a holding of {owner}, {age:d} s old, that expires in {expires:d} s")
def step_holding(context, owner, age, expires):
    context.holding = Holding("stream", "name", OWNERS[owner], 10, expires, age)


@given("the reaper's node uses the holding: {used}")
def step_in_use(context, used):
    context.owners = OwnerSnapshot(
        OWN, NEWEST, frozenset(("vm-removed",)), lambda name: used == "yes"
    )


@when("the reaper checks the holding")
def step_check_holding(context):
    context.verdict = holding_verdict(context.holding, context.owners)


@then('the verdict of the reaper is "{verdict}"')
def step_verdict(context, verdict):
    assert context.verdict == verdict, context.verdict


@when("at each second of the reaper's clock the VM is {states}")
def step_vm_states(context, states):
    removed = RemovedVms()
    for second in range(len(states) * 5):
        absent_vms = ("vm",) if states[second // 5] == "S" else ()
        context.removed = removed.update(absent_vms, float(second))


@then("the reaper treats the VM as removed: {removed}")
def step_removed(context, removed):
    assert ("vm" in context.removed) == (removed == "yes"), context.removed


@when("{nodes:d} nodes sweep {engines:d} engines for {seconds:d} s")
def step_sweeps(context, nodes, engines, seconds):
    context.seconds = seconds
    names = [f"engine-{number}" for number in range(engines)]
    cell = [f"vm-{number}" for number in range(nodes)]
    random = Random(7)
    schedules = {vm: SweepSchedule() for vm in cell}
    context.sweep_times = {vm: {name: [] for name in names} for vm in cell}
    context.largest_sweep = 0
    for second in range(seconds):
        for vm, schedule in schedules.items():
            now_s = second + random.random() / 10
            due = schedule.next_sweep(now_s, names, vm, cell)
            context.largest_sweep = max(context.largest_sweep, len(due))
            for name in due:
                context.sweep_times[vm][name].append(now_s)


@then("each engine is swept by one node at least every {gap:d} s")
def step_sweep_gap(context, gap):
    for name in next(iter(context.sweep_times.values())):
        most_frequent = max(
            (sweep_times[name] for sweep_times in context.sweep_times.values()), key=len
        )
        gaps = [b - a for a, b in pairwise(most_frequent)]
        assert gaps, name
        assert max(gaps) <= gap, (name, max(gaps))


@then("each node has swept every engine within {bound:d} s of its start")
def step_first_sweep(context, bound):
    for sweep_times in context.sweep_times.values():
        assert all(times and times[0] <= bound for times in sweep_times.values()), (
            sweep_times
        )


@then(
    "each node sweeps at most {limit:d} engines at once"
    " and {rate:d} a second on average"
)
def step_sweep_rate(context, limit, rate):
    assert context.largest_sweep <= limit
    for sweep_times in context.sweep_times.values():
        total = sum(len(times) for times in sweep_times.values())
        assert total / context.seconds <= rate, total


class FakeReleaseClient:
    """The methods of the engine client that releases use."""

    def __init__(self, failures, error):
        self.failures = failures
        self.error = error
        self.calls = 0
        self.dropped_count = 0

    async def release(self, url, kind, name, timeout_s):
        """Fail `failures` times, then confirm."""
        self.calls += 1
        return Failure(self.error) if self.calls <= self.failures else Success(None)

    async def drop_connections(self, url):
        """Count the calls."""
        self.dropped_count += 1


@given("an engine on which every call works")
def step_no_faults(context):
    context.engine = FakeReleaseClient(0, None)


@given("an engine on which {failures:d} calls {error}")
def step_failing_calls(context, failures, error):
    context.engine = FakeReleaseClient(failures, ERRORS[error])


@given("an engine on which the replies of {failures:d} calls are lost")
def step_lost_replies(context, failures):
    context.engine = FakeReleaseClient(failures, ERRORS["the replies of"])


@when("a release is submitted and {event}")
def step_submit(context, event):
    run(_submit(context, event))


async def _submit(context, event):
    context.releases = ReleaseQueue(context.engine)
    await context.releases.start()
    expires_s = 0.3 if event == "its expiry passes" else 60.0
    release = replace(
        RELEASE, deadline_monotonic_s=context.releases.loop.time() + expires_s
    )
    context.releases.submit(release)
    context.releases.submit(release)
    match event:
        case "1 s pass" | "its expiry passes":
            await wait_for(_until_done(context.releases), COMPLETION_TIMEOUT_S)
        case "the node stops at once":
            await context.releases.stop()
            assert not context.releases.pending
        case "the drain of the node times out":
            await wait_for(context.releases.drain(0.2), COMPLETION_TIMEOUT_S)
            context.still_pending = tuple(context.releases.pending)
    await (
        context.releases.stop()
    ) if event != "the drain of the node times out" else None
    for future in tuple(context.releases.pending.values()):
        future.cancel()
    await sleep(0)


async def _until_done(releases):
    while releases.pending:
        await sleep(0.01)


@then("the engine's release is confirmed after {calls:d} calls")
def step_confirmed(context, calls):
    assert context.engine.calls == calls, context.engine.calls


@then("the engine's release is left to expire")
def step_expired(context):
    assert context.engine.calls < 999


@then("the engine's release is left pending and reported")
def step_left_pending(context):
    assert [release.name for release in context.still_pending] == [RELEASE.name], (
        context.still_pending
    )


@then("the pooled connections of the engine were dropped {count:d} times")
def step_dropped(context, count):
    assert context.engine.dropped_count == count


@then("the state machine of holdings, reaper and node faults finds no failure")
def step_machine(context):
    run_machine(MemoryMachine, MACHINE_EXAMPLES, MACHINE_STEPS)
