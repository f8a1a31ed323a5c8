"""Steps for the lease and for orders to upstreams."""

from asyncio import Event, create_task, sleep
from time import monotonic
from time import sleep as sleep_thread

from behave import given, then, when

from features.support.fleet import ZONES, Fleet, base_text, http, overlay_text
from features.support.fuzz import run_machine
from features.support.lease_machine import LeaseMachine
from features.support.orders import TIMES, OrdersSimulation
from lagoonhinge_core.lease import Lease

REACHED_TIMEOUT_S = 60.0


def run(context, coroutine):
    return context.orders.loop.run_until_complete(coroutine)


def load_starts_s(sim) -> list[float]:
    return sorted(
        start_s for engine in sim.engines.values() for start_s in engine.load_starts_s
    )


@given(
    "2 nodes that desire {first} and {second}, "
    "and 1 engine that checks fencing: {checks}"
)
def step_two(context, first, second, checks):
    context.orders = OrdersSimulation(1, checks == "yes")
    context.orders.add_node(first)
    context.orders.add_node(second)


@when("the first holds the lease and is paused at its {step} past the lease")
def step_paused(context, step):
    sim = context.orders
    context.gate = Event()

    async def work():
        first = sim.controllers[0]
        await first.keep_lease()
        sim.gates[step] = context.gate
        context.paused = create_task(first.reconcile())
        await sleep(0.1)
        await sim.run(20, 1)

    run(context, work())
    assert sim.holders() == [1]


@when("the second has acquired the lease and the engine has loaded {version}")
def step_second_holds(context, version):
    assert context.orders.versions() == {version}


@when("the first resumes")
def step_resumes(context):
    context.gate.set()
    run(context, context.paused)


@then("the engine started {count:d} loads and has {version} after {seconds:d} seconds")
def step_loads(context, count, version, seconds):
    sim = context.orders
    run(context, sim.run(seconds, 0, 1))
    assert sim.versions() == {version}, sim.versions()
    assert len(load_starts_s(sim)) == count, load_starts_s(sim)


@when("the platform has the fault {fault} while both nodes run for {seconds:d} seconds")
def step_fault(context, fault, seconds):
    context.orders.fault = fault
    run(context, context.orders.run(seconds, 0, 1))


@then("{count:d} node holds the lease, and the engine has {version}")
def step_holders(context, count, version):
    assert len(context.orders.holders()) == count, context.orders.holders()
    assert context.orders.versions() == {"" if version == "nothing" else version}


@when(
    "both run for {seconds:d} seconds, "
    "then the platform is down and {version} is desired"
)
def step_down_under_holder(context, seconds, version):
    sim = context.orders
    run(context, sim.run(seconds, 0, 1))
    sim.fault = "down"
    for number in range(2):
        sim.desire(number, version)


@then(
    "no order is sent in {seconds:d} seconds, and {version} is reached after the outage"
)
def step_no_order(context, seconds, version):
    sim = context.orders
    before = load_starts_s(sim)
    run(context, sim.run(seconds, 0, 1))
    assert load_starts_s(sim) == before
    assert sim.holders() == []
    sim.fault = ""
    run(context, sim.run(20, 0, 1))
    assert sim.versions() == {version}


@when("the first holds the lease and stops")
def step_stops(context):
    async def work():
        first = context.orders.controllers[0]
        await first.keep_lease()
        context.fencing = first.lease.held.fencing
        await context.orders.controllers[1].keep_lease()
        await first.on_stop()

    run(context, work())


@then("the second holds it after {seconds:d} seconds with a greater fencing number")
def step_second_acquires(context, seconds):
    run(context, context.orders.run(seconds, 1))
    assert context.orders.holders() == [1]
    assert context.orders.controllers[1].lease.held.fencing > context.fencing


@when("the reply to the first node's lease write arrives {seconds:d} seconds late")
def step_late_reply(context, seconds):
    context.leases = first, second = Lease("first", TIMES), Lease("second", TIMES)
    first.observe(0, None, 0.0)
    write = first.next_write(0.0)
    second.observe(1, write.row, 0.0)
    first.observe(1, write.row, float(seconds))


@then(
    "it may send for {seconds:d} more second, "
    "and the second may write after {wait:d} seconds"
)
def step_late_reply_held(context, seconds, wait):
    first, second = context.leases
    end_s = TIMES.duration_s - TIMES.margin_s
    assert first.may_send(end_s - seconds + 0.01, 0.0)
    assert not first.may_send(end_s, 0.0)
    assert second.next_write(wait - 0.01) is None
    assert second.next_write(wait) is not None


@given(
    "{count:d} engines that take {seconds:d} seconds to load, "
    "and {rate:d} tickets a second"
)
def step_many(context, count, seconds, rate):
    context.orders = OrdersSimulation(count, True, load_s=seconds)
    context.orders.tickets_per_s = rate


@when("one node desires a new version")
def step_new_version(context):
    context.orders.add_node("v9")


@then(
    "all have it within {seconds:d} seconds, "
    "at most {limit:d} at a time and {rate:d} loads a second"
)
def step_rolled_out(context, seconds, limit, rate):
    sim = context.orders
    for _ in range(seconds):
        run(context, sim.run(1, 0))
        assert sim.busy_count() <= limit, sim.busy_count()
    assert sim.versions() == {"v9"}
    times = load_starts_s(sim)
    assert len(times) == len(sim.engines)
    intervals_s = [
        later - early for early, later in zip(times, times[rate:], strict=False)
    ]
    assert min(intervals_s) >= 1.0, intervals_s


@then("at most one node may send orders in {examples:d} random runs of {steps:d} steps")
def step_lease_machine(context, examples, steps):
    run_machine(LeaseMachine, examples, steps)


@given("a fleet of 2 nodes and 2 engines that take 1 second to load")
def step_fleet(context):
    context.fleet = fleet = Fleet()
    fleet.start_platform()
    for _ in range(2):
        fleet.start_engine()
    fleet.start_nodes([ZONES[0]] * 2)
    for engine in fleet.engines:
        engine.put_faults(load_s=1.0)


@when("an operator desires version {version} of the model")
def step_desire(context, version):
    fleet = context.fleet
    desired = f'[desired.assistant]\nversion = "{version}"\nadapters = ["tubes"]\n'
    folder = fleet.write_config(base_text(), overlay_text(fleet) + desired)
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr
    context.version = version


@when("the holder is stopped and an operator desires version {version} of the model")
def step_holder_stopped(context, version):
    assert context.holder.terminate() == 0
    context.fleet.nodes.remove(context.holder)
    step_desire(context, version)


@then("the holder reports both engines as reached")
def step_reached(context):
    fleet = context.fleet
    deadline_s = monotonic() + REACHED_TIMEOUT_S
    while True:
        for node in fleet.nodes:
            section = fleet.state(node)["OrdersSection"]
            states = list(section["upstreams"].values())
            if section["is_holder"] and states == ["reached"] * 2:
                versions = [
                    http("GET", f"{engine.url}/v1/orders").json()["version"]
                    for engine in fleet.engines
                ]
                if versions == [context.version] * 2:
                    context.holder = node
                    return
        assert monotonic() < deadline_s, [
            fleet.state(n)["OrdersSection"] for n in fleet.nodes
        ]
        sleep_thread(0.2)
