"""Steps about changes of the configuration."""

from dataclasses import replace
from hashlib import sha256
from threading import Event, Thread
from time import monotonic

from behave import given, then, when
from msgspec import json
from returns.result import Failure, Success

from features.support.config_fuzz import ConfigMachine, check_results
from features.support.config_world import (
    NODES,
    SITE,
    ConfigWorld,
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
from lagoonhinge_ctl.accept import LostRace, NotAccepted, Undecided
from lagoonhinge_node.config_controller import COLLECT_S

SETTLING_ROUNDS = 4
FUZZ_STEPS = 25
ACCOUNTS = 21_000
HEALTH_TIMEOUT_S = 5.0


@given("a world of 3 nodes where change 1 is in force")
def step_world(context):
    context.world = world = ConfigWorld()
    world.run(world.accept(1))
    world.run(world.step_nodes())
    world.check_settled()


@given("a world of 3 nodes without configuration")
def step_world_empty(context):
    context.world = ConfigWorld()


def _inject(world: ConfigWorld, fault: str, rivals: list) -> None:
    faults = world.platform.faults
    match fault:
        case "platform down":
            faults.down = True
        case "objects down":
            faults.objects_down = True
        case "node replaced":
            world.replace_node(NODES[0])
        case "zone cut off":
            world.cut_off(NODES[2])
        case "reply lost" | "held up" | "late reply":
            faults.once = fault
        case "rival operator":
            rivals.append(world.accept(99, "bob"))
        case "overtaken":
            rivals.append(world.overtake())
        case _:
            raise AssertionError(fault)


@when('change 2 is accepted and at "{step}" comes {fault}')
def step_fault_at(context, step, fault):
    world = context.world

    async def hook(reached):
        if reached != step:
            return
        world.platform.hook = None
        rivals = []
        for part in reversed(fault.split(" and ")):
            _inject(world, part, rivals)
            while rivals:
                await rivals.pop()

    world.platform.hook = hook
    context.result = world.run(world.accept(2))
    world.run(world.step_nodes())
    assert world.platform.hook is None, f"{step} was never reached"


@then("the operator of change 2 is told {told}")
def step_told(context, told):
    kinds = {
        "not accepted": NotAccepted,
        "undecided": Undecided,
        "lost race": LostRace,
    }
    match context.result:
        case Success(_):
            assert told == "accepted", context.result
        case Failure(error):
            assert isinstance(error, kinds[told]), context.result


@then("after healing the row's change is in force on every node")
def step_healed(context):
    _settle(context.world)
    check_results(context.world)


@then("change 2 applied again ends in force on every node")
def step_again(context):
    world = context.world
    result = world.run(world.accept(2))
    assert isinstance(result, Success), result
    _settle(world)
    assert world.row().digest == digest_of(source(2))


def _settle(world: ConfigWorld) -> None:
    world.heal()
    world.run(world.step_nodes(SETTLING_ROUNDS))
    world.check_settled()


@when("change 2 stays undecided and its write lands late")
def step_undecided(context):
    world = context.world

    async def hold_every_write(reached):
        if reached == "operator row write":
            world.platform.faults.once = "held up"

    world.platform.hook = hold_every_write
    result = world.run(world.accept(2))
    assert isinstance(result.failure(), Undecided), result
    assert world.row().version == 1
    world.platform.hook = None
    world.platform.deliver_held()


@when("change 2 is applied again")
def step_apply_again(context):
    context.result = context.world.run(context.world.accept(2))


@then("it was accepted exactly once")
def step_once(context):
    _settle(context.world)
    assert context.result.unwrap().version == 2, context.result
    assert context.world.platform.accepted.keys() == {1, 2}


@then("the loser sees its own change and the rival's")
def step_loser(context):
    lost = context.result.failure()
    assert (lost.ours.author, lost.theirs.author) == ("ada", "bob"), lost
    assert lost.theirs == context.world.row(), lost


@given("change 2 is in force everywhere but on a zone that was cut off")
def step_cut_zone(context):
    world = context.world
    world.cut_off(NODES[2])
    world.run(world.accept(2))
    world.run(world.step_nodes())
    versions = [node.section.version for node in world.nodes.values()]
    assert versions == [2, 2, 1], versions
    world.cut_off(NODES[2], False)


@when("{missing} and a node that had change 2 is replaced")
def step_replace_without(context, missing):
    world = context.world
    world.platform.faults.down = "platform" in missing
    world.platform.faults.objects_down = True
    world.replace_node(NODES[0])
    world.cut_off(NODES[1])
    world.run(world.nodes[NODES[0]].step())
    context.seen = [world.nodes[NODES[0]].section.version]
    world.cut_off(NODES[1], False)


@then("it takes change 2 from a peer and never change 1")
def step_takes(context):
    world, node = context.world, context.world.nodes[NODES[0]]
    for _ in range(SETTLING_ROUNDS):
        world.clock.now_s += 1.0
        world.run(node.step())
        context.seen.append(node.section.version)
    assert context.seen[-1] == 2 and 1 not in context.seen, context.seen


@when("a node is replaced while the object store is down")
def step_replace_no_objects(context):
    world = context.world
    context.asked = []

    async def count(reached):
        if reached == "node blob get":
            context.asked.append(reached)

    world.platform.faults.objects_down = True
    world.replace_node(NODES[0])
    world.platform.hook = count
    for _ in range(2):
        world.run(world.nodes[NODES[0]].learn())
        world.clock.now_s += COLLECT_S


@then("it asked the object store once and took the parts from a peer")
def step_asked_store_once(context):
    node = context.world.nodes[NODES[0]]
    assert len(node.controller.blobs) > 2, node.controller.blobs.keys()
    assert (node.section.version, len(context.asked)) == (1, 1), context.asked


@when("the platform is down at a node's look")
def step_down_look(context):
    context.world.platform.faults.down = True
    context.world.run(context.world.nodes[NODES[0]].step())


@then("that node has version 0 and says that the table was not read")
def step_says(context):
    section = context.world.nodes[NODES[0]].section
    assert section.version == 0, section
    assert "the table was not read" in section.last_error, section


@when("a row names a configuration that is {defect}")
def step_bad_row(context, defect):
    world = context.world
    platform = world.platform
    bundle = _bundle(2, is_bad=defect == "bad for the site")
    accepted = next_config(world.row(), bundle.manifest.digest, "change-2", "ada")
    if defect != "missing":
        _store(world, bundle)
    if defect == "not what was accepted":
        name = blob_name(bundle.manifest.digest)
        platform.objects[name] = b"something else"
    assert platform.apply_write(CONFIG_KEY, json.encode(accepted).decode(), 1)
    if defect == "unreadable":
        row = platform.rows[CONFIG_KEY]
        platform.rows[CONFIG_KEY] = type(row)(row.key, row.version, "{")
    world.run(world.step_nodes(2))


def _bundle(number: int, is_bad: bool = False) -> Bundle:
    made = source(number)
    config = load_site(made, SITE).unwrap()
    if is_bad:
        nowhere = UpstreamConfig("http://10.0.0.1:80", "nowhere", "assistant")
        config = replace(config, upstreams={"engine-1": nowhere})
    return make_bundle(Blob(made.digest(), made.encode()), {SITE: config})


def _store(world: ConfigWorld, bundle: Bundle) -> None:
    for blob in (*bundle.blobs, bundle.manifest):
        world.platform.objects[blob_name(blob.digest)] = blob.content


@then("change 1 stays in force and the nodes say {reason}")
def step_stays(context, reason):
    for node in context.world.nodes.values():
        assert node.section.version == 1, node.section
        assert reason in node.section.last_error, node.section.last_error


@then("the next good change is in force on every node")
def step_next_good(context):
    world = context.world
    current = world.platform.accepted[2]
    good = _bundle(3)
    accepted = next_config(current, good.manifest.digest, "change-3", "ada")
    _store(world, good)
    value = json.encode(accepted).decode()
    assert world.platform.apply_write(CONFIG_KEY, value, 2)
    _settle(world)


@when("configuration changes are fuzzed with {examples:d} examples")
def step_fuzz_config(context, examples):
    run_machine(ConfigMachine, examples, FUZZ_STEPS)


@then("no version fell and the accepted change won everywhere")
def step_fuzzed_config(context):
    """The machine checks this itself, after each step and at each end."""


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
    peers = ",".join(node.control for node in fleet.nodes)
    flags = ("--gossip-interval-s=0.3",)
    context.replaced = fleet.start_node(
        ZONES[2], old.port, old.control_port, peers, *flags
    )
    fleet.wait_started()


@then("the replaced node becomes ready with the configuration of its peers")
def step_ready_real(context):
    def ready():
        url = f"http://{context.replaced.control}/readyz"
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
        for n in range(ACCOUNTS)
    )
    folder = fleet.write_config(base_text(), overlay_text(fleet) + "\n" + accounts)
    done = Event()
    context.slowest_s = 0.0
    context.health_failures = []

    def watch_health():
        while not done.is_set():
            for node in fleet.nodes:
                began = monotonic()
                url = f"http://{node.control}/healthz"
                try:
                    http("GET", url, timeout_s=HEALTH_TIMEOUT_S)
                except OSError as error:
                    context.health_failures.append(error)
                context.slowest_s = max(context.slowest_s, monotonic() - began)

    watcher = Thread(target=watch_health)
    watcher.start()
    applied = fleet.ctl("config", "apply", str(folder), "--wait-s=30", timeout_s=60)
    done.set()
    watcher.join()
    assert applied.returncode == 0, applied.stderr


@then("every one of these nodes has it in force and answered health checks throughout")
def step_large_in_force(context):
    for node in context.fleet.nodes:
        section = context.fleet.state(node)["ConfigSection"]
        assert section["version"] == 2, section["version"]
    assert not context.health_failures, context.health_failures
    assert context.slowest_s > 0
