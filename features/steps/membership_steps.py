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
from features.support.shared import shared_fleet
from features.support.waiting import eventually
from lagoonhinge_core.cells import MAX_CELL_NODES, assign_cells
from lagoonhinge_core.gossip_budget import GossipBudget

FUZZ_STEPS = 30
OWN, SAME_ZONE, OTHER_ZONE = VMS[0], VMS[2], VMS[1]


def _sim_digest(vm: str, run: int, seq: int):
    node = SimNode(vm, run, ())
    node.seq = seq - 1
    return node.digest()


@given("a membership that heard run {run:d} of a VM with digest {seq:d}")
def step_heard(context, run, seq):
    context.membership = SimNode(OWN, 1, ()).membership
    assert context.membership.apply_digest(_sim_digest(SAME_ZONE, run, seq), 0.0)


@when("it hears run {run:d} of that VM with digest {seq:d}")
def step_hears(context, run, seq):
    context.membership.apply_digest(_sim_digest(SAME_ZONE, run, seq), 0.0)


@then("it knows run {run:d} with digest {seq:d}")
def step_knows(context, run, seq):
    digest = context.membership.peers(0.0).digests[SAME_ZONE]
    assert (digest.node, digest.seq) == (f"{SAME_ZONE}/{run}", seq), digest


@given("a membership that knows a peer {zone} from {source}")
def step_peer_known(context, zone, source):
    context.net = SimNetwork()
    context.node = context.net.start(OWN)
    context.peer = SAME_ZONE if zone == "of the cell" else OTHER_ZONE
    if "list" in source:
        context.net.list_to(OWN, {context.peer})
    if "digest" in source:
        context.net.hand(context.node, _sim_digest(context.peer, 1, 1))


@when("{seconds:d} s pass and the platform {answer}")
def step_pass(context, seconds, answer):
    context.net.now_s += seconds
    if answer == "lists it":
        context.net.list_to(OWN, {context.peer})
    elif answer == "lists others":
        context.net.list_to(OWN, {OWN})


@then("that peer is {life} and {memory}")
def step_peer_is(context, life, memory):
    members = context.node.membership.members(context.net.now_s).members
    member = members.get(context.peer)
    assert (member is None) == (memory == "forgotten"), member
    if member is not None:
        assert member.alive == (life == "alive"), member
        assert member.delisted == (memory == "remembered as delisted"), member


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


@then("one VM more moves at most {moved:d} of the others")
def step_cells_moved(context, moved):
    after = assign_cells([*context.names, "entry-more"])
    changed = [name for name in context.names if after[name] != context.cells[name]]
    assert len(changed) <= moved, changed


@when("membership is fuzzed with {examples:d} examples")
def step_fuzz(context, examples):
    run_machine(MembershipMachine, examples, FUZZ_STEPS)


@then("no older run or digest ever replaced a newer one, and all converged")
def step_fuzzed(context):
    """The machine checks this itself, after each step and at each end."""


@when("a cell of 8 nodes gossips for {seconds:d} s with digests of {size:d} bytes")
def step_budget(context, seconds, size):
    budget = GossipBudget()
    context.seconds = seconds
    context.spent = 0
    for second in range(seconds):
        for _ in range(MAX_CELL_NODES - 1):
            if budget.allows(second * INTERVAL_S):
                budget.spend(2 * size)
                context.spent += 2 * size


@then("no node begins exchanges of more than {limit:d} bytes per second")
def step_budget_kept(context, limit):
    assert 0 < context.spent / context.seconds <= limit, context.spent


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
    url = f"http://{context.running.nodes[0].control}{path}"
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


@then("the other nodes hold it for not alive")
def step_peer_dead(context):
    def noticed():
        for node in context.running.nodes:
            if node is not context.faulty:
                member = _members(context.running, node)[context.faulty.name]
                assert not member["alive"], member

    eventually(noticed)


@then("the other nodes go on serving their own state")
def step_others_serve(context):
    for node in context.running.nodes:
        if node is not context.faulty:
            assert context.running.state(node)["NodeSection"]["zone"]


@when("the {fault} node is brought back")
def step_peer_back(context, fault):
    fleet = context.running
    if fault == "frozen":
        context.faulty.popen.send_signal(SIGCONT)
        return
    fleet.nodes.remove(context.faulty)
    peers = ",".join(node.control for node in fleet.nodes)
    port, control = context.faulty.port, context.faulty.control_port
    fleet.start_node(ZONES[1], port, control, peers, "--gossip-interval-s=0.3")
    fleet.wait_started()


@then("every node holds every other for alive in its newest run")
def step_all_back(context):
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
