"""Steps about membership, cells and gossip."""

from signal import SIGCONT, SIGSTOP

from behave import given, then, when
from msgspec import json

from features.support.fleet import PEER_SECRET, ZONES, Fleet, http
from features.support.fuzz import run_machine
from features.support.membership import (
    INTERVAL_S,
    VMS,
    MembershipMachine,
    SimNetwork,
    SimNode,
)
from features.support.shared_fleets import shared_fleet
from features.support.waiting import eventually
from lagoonhinge_core.cells import MAX_CELL_NODES, assign_cells
from lagoonhinge_core.gossip_budget import GossipBudget

FUZZ_STEPS = 30
OWN, SAME_ZONE, OTHER_ZONE = VMS[0], VMS[2], VMS[1]


def _sim_digest(vm: str, run: int, seq: int):
    node = SimNode(vm, run, ())
    node.seq = seq - 1
    return node.digest()


@given("a membership with digest {seq:d} of run {run:d} of a VM")
def step_digest_applied(context, run, seq):
    context.membership = SimNode(OWN, 1, ()).membership
    assert context.membership.apply_digest(_sim_digest(SAME_ZONE, run, seq), 0.0)


@when("it receives digest {seq:d} of run {run:d} of that VM")
def step_digest_received(context, run, seq):
    context.membership.apply_digest(_sim_digest(SAME_ZONE, run, seq), 0.0)


@then("it holds digest {seq:d} of run {run:d}")
def step_digest_held(context, run, seq):
    digest = context.membership.peers(0.0).digests[SAME_ZONE]
    assert (digest.node, digest.seq) == (f"{SAME_ZONE}/{run}", seq), digest


@given("a membership with a peer {zone} from {source}")
def step_member_known(context, zone, source):
    context.net = SimNetwork()
    context.node = context.net.start(OWN)
    context.peer = SAME_ZONE if zone == "of the cell" else OTHER_ZONE
    if "list" in source:
        context.net.send_vm_list(OWN, {context.peer})
    if "digest" in source:
        context.net.deliver(context.node, _sim_digest(context.peer, 1, 1))


@when("{seconds:d} s pass and the platform {list_answer}")
def step_time_passes(context, seconds, list_answer):
    context.net.now_s += seconds
    if list_answer == "lists it":
        context.net.send_vm_list(OWN, {context.peer})
    elif list_answer == "lists others":
        context.net.send_vm_list(OWN, {OWN})


@then("that peer is {liveness} and {retention}")
def step_peer_is(context, liveness, retention):
    members = context.node.membership.members(context.net.now_s).members
    member = members.get(context.peer)
    assert (member is None) == (retention == "dropped"), member
    if member is not None:
        assert member.alive == (liveness == "alive"), member
        assert member.delisted == (retention == "kept as delisted"), member


@when("{nodes:d} VMs of a zone are put into cells")
def step_cells(context, nodes):
    context.names = [f"entry-{n}" for n in range(nodes)]
    context.cells = assign_cells(context.names)


@then("every VM is in one of {cells:d} cells of at most 8")
def step_cells_small(context, cells):
    assert context.cells.keys() == set(context.names)
    assert set(context.cells.values()) == set(range(cells))
    sizes = [list(context.cells.values()).count(cell) for cell in range(cells)]
    assert max(sizes) <= MAX_CELL_NODES, sizes


@then("adding one VM moves at most {moved:d} of the others")
def step_cells_moved(context, moved):
    after = assign_cells([*context.names, "entry-more"])
    changed = [name for name in context.names if after[name] != context.cells[name]]
    assert len(changed) <= moved, changed


@when("membership is fuzzed with {examples:d} examples")
def step_fuzz(context, examples):
    run_machine(MembershipMachine, examples, FUZZ_STEPS)


@then("no older run or digest replaced a newer one, and all converged")
def step_fuzz_checked(context):
    """The state machine checks this after each step and in its teardown."""


@when("a cell of 8 nodes gossips for {seconds:d} s with digests of {size:d} bytes")
def step_budget(context, seconds, size):
    budget = GossipBudget()
    context.seconds = seconds
    context.spent_bytes = 0
    for second in range(seconds):
        for _ in range(MAX_CELL_NODES - 1):
            if budget.allows(second * INTERVAL_S):
                budget.spend(2 * size)
                context.spent_bytes += 2 * size


@then("no node begins exchanges of more than {limit:d} bytes per second")
def step_budget_respected(context, limit):
    assert 0 < context.spent_bytes / context.seconds <= limit, context.spent_bytes


def _start_gossiping() -> Fleet:
    fleet = Fleet()
    fleet.start_platform()
    fleet.start_nodes((ZONES[0], ZONES[0], ZONES[1]), "--gossip-interval-s=0.3")
    return fleet


@given("a running fleet of 3 gossiping nodes")
def step_gossiping(context):
    context.running = shared_fleet("gossip", _start_gossiping)


@when("a call to the peers' path {path} has {defect}")
def step_peer_call(context, path, defect):
    secret = "wrong-secret-of-length" if "wrong" in defect else PEER_SECRET
    headers = {} if defect == "no secret" else {"Authorization": f"Bearer {secret}"}
    body = None
    if path == "/peer/digest":
        body = b"{"
    if defect == "a bad identity":
        body = json.encode(
            {"node": "x", "seq": 1, "address": "a", "zone": "z", "config_version": 1}
        )
    url = f"http://{context.running.nodes[0].control_address}{path}"
    method = "GET" if body is None else "POST"
    context.peer_answer = http(method, url, body, headers)


@then("the peers' answer has status {status:d}")
def step_peer_status(context, status):
    assert context.peer_answer.status == status, context.peer_answer


@when("one gossiping node is {fault}")
def step_peer_fault(context, fault):
    fleet = context.running
    _wait_all_alive(fleet)
    context.faulty = fleet.nodes[-1]
    if fault == "frozen":
        context.faulty.popen.send_signal(SIGSTOP)
    else:
        context.faulty.kill()


@then("the other nodes mark it as not alive")
def step_peer_not_alive(context):
    def detected():
        for node in context.running.nodes:
            if node is not context.faulty:
                member = _members(context.running, node)[context.faulty.name]
                assert not member["alive"], member

    eventually(detected)


@then("the other nodes still serve their own state")
def step_others_serve(context):
    for node in context.running.nodes:
        if node is not context.faulty:
            assert context.running.state(node)["NodeSection"]["zone"]


@when("the {fault} node is restored")
def step_peer_restored(context, fault):
    fleet = context.running
    if fault == "frozen":
        context.faulty.popen.send_signal(SIGCONT)
        return
    fleet.nodes.remove(context.faulty)
    peers = ",".join(node.control_address for node in fleet.nodes)
    port, control = context.faulty.port, context.faulty.control_port
    fleet.start_node(ZONES[1], port, control, peers, "--gossip-interval-s=0.3")
    fleet.wait_started()


@then("every node marks every other as alive in its newest run")
def step_all_alive(context):
    _wait_all_alive(context.running)


def _members(fleet: Fleet, node) -> dict:
    return fleet.state(node)["MembersSection"]["members"]


def _wait_all_alive(fleet: Fleet) -> None:
    def all_alive():
        runs = {n.name: fleet.state(n)["NodeSection"]["node"] for n in fleet.nodes}
        for node in fleet.nodes:
            members = _members(fleet, node)
            for name in runs.keys() - {node.name}:
                assert members[name]["alive"], (node.name, members[name])
                assert members[name]["node"] == runs[name], members[name]

    eventually(all_alive)
