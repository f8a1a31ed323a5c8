"""Steps for changes of the configuration."""

from dataclasses import replace
from hashlib import sha256
from threading import Event, Thread
from time import monotonic

from behave import given, then, when
from msgspec import json
from returns.result import Failure, Success

from features.support.config_fuzz import ConfigMachine, check_results
from features.support.config_simulation import (
    NODES,
    SITE,
    ConfigSimulation,
    digest_of,
    source,
)
from features.support.fleet import ZONES, Fleet, base_text, http, overlay_text
from features.support.fuzz import run_machine
from features.support.waiting import eventually
from lagoonhinge_core.config import UpstreamConfig
from lagoonhinge_core.config_load import load_site
from lagoonhinge_core.config_parts import Blob, Bundle, make_bundle
from lagoonhinge_core.config_row import CONFIG_KEY, blob_name, next_config
from lagoonhinge_ctl.config_acceptance import (
    ChangeConflict,
    NotAccepted,
    OutcomeUnknown,
)
from lagoonhinge_node.config_controller import MAX_STARTUP_WAIT_S

SETTLING_ROUNDS = 4
FUZZ_STEPS = 25
ACCOUNT_COUNT = 21_000
HEALTH_TIMEOUT_S = 5.0


@given("3 simulated nodes with change 1 in force")
def step_simulation(context):
    context.sim = sim = ConfigSimulation()
    sim.run(sim.accept(1))
    sim.run(sim.step_nodes())
    sim.check_settled()


@given("3 simulated nodes without configuration")
def step_unconfigured_simulation(context):
    context.sim = ConfigSimulation()


def _inject(sim: ConfigSimulation, fault: str, operator_calls: list) -> None:
    faults = sim.platform.faults
    match fault:
        case "platform down":
            faults.down = True
        case "object store down":
            faults.objects_down = True
        case "node replaced":
            sim.replace_node(NODES[0])
        case "zone cut off":
            sim.cut_off(NODES[2])
        case "reply lost" | "write delayed" | "stale reply":
            faults.once = fault
        case "concurrent operator":
            operator_calls.append(sim.accept(99, "bob"))
        case "newer change from peer":
            operator_calls.append(sim.deliver_newer_change())
        case _:
            raise AssertionError(fault)


@when('change 2 is applied with fault "{fault}" at "{step}"')
def step_fault_at(context, step, fault):
    sim = context.sim

    async def inject_at_step(current_step):
        if current_step != step:
            return
        sim.platform.hook = None
        operator_calls = []
        for part in reversed(fault.split(" and ")):
            _inject(sim, part, operator_calls)
            while operator_calls:
                await operator_calls.pop()

    sim.platform.hook = inject_at_step
    context.result = sim.run(sim.accept(2))
    sim.run(sim.step_nodes())
    assert sim.platform.hook is None, f"{step} was never reached"


@then("the operator of change 2 gets {result}")
def step_result(context, result):
    error_classes = {
        "not accepted": NotAccepted,
        "undecided": OutcomeUnknown,
        "lost race": ChangeConflict,
    }
    match context.result:
        case Success(_):
            assert result == "accepted", context.result
        case Failure(error):
            assert isinstance(error, error_classes[result]), context.result


@then("after the faults the row's change is in force on every node")
def step_after_faults(context):
    _settle(context.sim)
    check_results(context.sim)


@then("change 2 applied again is in force on every node")
def step_again(context):
    sim = context.sim
    result = sim.run(sim.accept(2))
    assert isinstance(result, Success), result
    _settle(sim)
    assert sim.row().digest == digest_of(source(2))


def _settle(sim: ConfigSimulation) -> None:
    sim.end_faults()
    sim.run(sim.step_nodes(SETTLING_ROUNDS))
    sim.check_settled()


@when("change 2 stays undecided and its write is applied late")
def step_undecided(context):
    sim = context.sim

    async def delay_every_write(current_step):
        if current_step == "operator row write":
            sim.platform.faults.once = "write delayed"

    sim.platform.hook = delay_every_write
    result = sim.run(sim.accept(2))
    assert isinstance(result.failure(), OutcomeUnknown), result
    assert sim.row().version == 1
    sim.platform.hook = None
    sim.platform.deliver_delayed()


@when("change 2 is applied again")
def step_apply_again(context):
    context.result = context.sim.run(context.sim.accept(2))


@then("it was accepted exactly once")
def step_once(context):
    _settle(context.sim)
    assert context.result.unwrap().version == 2, context.result
    assert context.sim.platform.accepted.keys() == {1, 2}


@then("the losing operator gets its own change and the other one")
def step_losing_operator(context):
    conflict = context.result.failure()
    assert (conflict.ours.author, conflict.theirs.author) == ("ada", "bob"), conflict
    assert conflict.theirs == context.sim.row(), conflict


@given("change 2 is in force in all zones except one that was cut off")
def step_cut_zone(context):
    sim = context.sim
    sim.cut_off(NODES[2])
    sim.run(sim.accept(2))
    sim.run(sim.step_nodes())
    versions = [node.section.version for node in sim.nodes.values()]
    assert versions == [2, 2, 1], versions
    sim.cut_off(NODES[2], False)


@when("{missing} and a node that had change 2 is replaced")
def step_replace_without(context, missing):
    sim = context.sim
    sim.platform.faults.down = "platform" in missing
    sim.platform.faults.objects_down = True
    sim.replace_node(NODES[0])
    sim.cut_off(NODES[1])
    sim.run(sim.nodes[NODES[0]].step())
    context.versions = [sim.nodes[NODES[0]].section.version]
    sim.cut_off(NODES[1], False)


@then("it adopts change 2 from a peer and never change 1")
def step_adopts(context):
    sim, node = context.sim, context.sim.nodes[NODES[0]]
    for _ in range(SETTLING_ROUNDS):
        sim.clock.now_s += 1.0
        sim.run(node.step())
        context.versions.append(node.section.version)
    assert context.versions[-1] == 2 and 1 not in context.versions, context.versions


@when("a node is replaced while the object store is down")
def step_replace_no_objects(context):
    sim = context.sim
    context.store_calls = []

    async def count_store_calls(current_step):
        if current_step == "node blob get":
            context.store_calls.append(current_step)

    sim.platform.faults.objects_down = True
    sim.replace_node(NODES[0])
    sim.platform.hook = count_store_calls
    for _ in range(2):
        sim.run(sim.nodes[NODES[0]].fetch_from_peers())
        sim.clock.now_s += MAX_STARTUP_WAIT_S


@then("it called the object store once and got the parts from a peer")
def step_store_called_once(context):
    node = context.sim.nodes[NODES[0]]
    assert len(node.controller.blobs) > 2, node.controller.blobs.keys()
    assert (node.section.version, len(context.store_calls)) == (1, 1), (
        context.store_calls
    )


@when("the platform is down while a node polls")
def step_down_at_poll(context):
    context.sim.platform.faults.down = True
    context.sim.run(context.sim.nodes[NODES[0]].step())


@then("that node has version 0 and reports that the table was not read")
def step_reports(context):
    section = context.sim.nodes[NODES[0]].section
    assert section.version == 0, section
    assert "the table was not read" in section.last_error, section


@when("a row names a configuration that is {defect}")
def step_bad_row(context, defect):
    sim = context.sim
    platform = sim.platform
    bundle = _bundle(2, is_invalid=defect == "invalid for the site")
    accepted = next_config(sim.row(), bundle.manifest.digest, "change-2", "ada")
    if defect != "missing":
        _store(sim, bundle)
    if defect == "other than accepted":
        name = blob_name(bundle.manifest.digest)
        platform.objects[name] = b"something else"
    assert platform.apply_write(CONFIG_KEY, json.encode(accepted).decode(), 1)
    if defect == "unreadable":
        row = platform.rows[CONFIG_KEY]
        platform.rows[CONFIG_KEY] = type(row)(row.key, row.version, "{")
    sim.run(sim.step_nodes(2))


def _bundle(number: int, is_invalid: bool = False) -> Bundle:
    config_source = source(number)
    config = load_site(config_source, SITE).unwrap()
    if is_invalid:
        unknown_zone = UpstreamConfig("http://10.0.0.1:80", "nowhere", "assistant")
        config = replace(config, upstreams={"engine-1": unknown_zone})
    return make_bundle(
        Blob(config_source.digest(), config_source.encode()), {SITE: config}
    )


def _store(sim: ConfigSimulation, bundle: Bundle) -> None:
    for blob in (*bundle.blobs, bundle.manifest):
        sim.platform.objects[blob_name(blob.digest)] = blob.content


@then("change 1 stays in force and the nodes report {reason}")
def step_stays(context, reason):
    for node in context.sim.nodes.values():
        assert node.section.version == 1, node.section
        assert reason in node.section.last_error, node.section.last_error


@then("the next good change is in force on every node")
def step_next_good(context):
    sim = context.sim
    current = sim.platform.accepted[2]
    good = _bundle(3)
    accepted = next_config(current, good.manifest.digest, "change-3", "ada")
    _store(sim, good)
    value = json.encode(accepted).decode()
    assert sim.platform.apply_write(CONFIG_KEY, value, 2)
    _settle(sim)


@when("configuration changes are fuzzed with {examples:d} examples")
def step_fuzz_config(context, examples):
    run_machine(ConfigMachine, examples, FUZZ_STEPS)


@then("no version decreased and the accepted change is in force everywhere")
def step_fuzzed_config(context):
    """The machine checks this after each step and at the end of each run."""


@given("a running fleet of 3 nodes in 3 zones with a configuration")
def step_zones_fleet(context):
    context.fleet = fleet = Fleet()
    fleet.start_platform()
    fleet.start_nodes(ZONES, "--gossip-interval-s=0.3")
    folder = fleet.write_config(base_text(), overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr


@when("the platform goes down and one of these nodes is replaced")
def step_replace_real(context):
    fleet = context.fleet
    fleet.platform.put_faults(down=True)
    old = fleet.nodes.pop()
    old.kill()
    peers = ",".join(node.control_address for node in fleet.nodes)
    flags = ("--gossip-interval-s=0.3",)
    context.replaced = fleet.start_node(
        ZONES[2], old.port, old.control_port, peers, *flags
    )
    fleet.wait_started()


@then("the replaced node becomes ready with the configuration of its peers")
def step_ready_real(context):
    def ready():
        url = f"http://{context.replaced.control_address}/readyz"
        assert http("GET", url).status == 200

    eventually(ready)
    versions = [
        context.fleet.state(node)["ConfigSection"]["version"]
        for node in context.fleet.nodes
    ]
    assert versions == [1, 1, 1], versions


@when("the platform is back and a change of 21000 accounts is applied")
def step_large_change(context):
    fleet = context.fleet
    fleet.platform.put_faults(down=False)
    accounts = "\n".join(
        f"[accounts.account-{n}]\n"
        f'key_sha256 = "{sha256(str(n).encode()).hexdigest()}"\n'
        for n in range(ACCOUNT_COUNT)
    )
    folder = fleet.write_config(base_text(), overlay_text(fleet) + "\n" + accounts)
    done = Event()
    context.slowest_s = 0.0
    context.health_failures = []

    def poll_health():
        while not done.is_set():
            for node in fleet.nodes:
                started_s = monotonic()
                url = f"http://{node.control_address}/healthz"
                try:
                    http("GET", url, timeout_s=HEALTH_TIMEOUT_S)
                except OSError as error:
                    context.health_failures.append(error)
                context.slowest_s = max(context.slowest_s, monotonic() - started_s)

    poller = Thread(target=poll_health)
    poller.start()
    applied = fleet.ctl("config", "apply", str(folder), "--wait-s=30", timeout_s=60)
    done.set()
    poller.join()
    assert applied.returncode == 0, applied.stderr


@then("every one of these nodes has it in force and answered health checks throughout")
def step_large_in_force(context):
    for node in context.fleet.nodes:
        section = context.fleet.state(node)["ConfigSection"]
        assert section["version"] == 2, section["version"]
    assert not context.health_failures, context.health_failures
    assert context.slowest_s > 0
