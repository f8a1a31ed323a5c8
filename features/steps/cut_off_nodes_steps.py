"""Steps for nodes that reach no upstream."""

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from time import monotonic, sleep

from behave import given, then, when

from features.support.fleet import http
from features.support.platform_fleet import client_headers, send
from features.support.serving import build_serving_state
from features.support.split_fleet import SplitFleet
from features.support.waiting import eventually
from lagoonhinge_core.forwarding.relays import RelayNode, relay_candidates
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_platform.names import ATTEMPT_ID

WORKERS = {"d1": "desk", "d2": "desk", "m1": "models", "m2": "models", "m3": "models"}
TARGETS = (("GET", "/read/"), ("POST", "/order/"), ("POST", "/stream/"))
CUT_AFTER_S = 1.0
STABLE_S = 3.0
SENDERS = 16
ORDER_LIMIT_MS = 1000
LOG_CHARACTERS = 3000  # of each node, in the text of a failure
SLOW_EVENT_S = 0.5
GONE_S = 0.5
BACK_S = 2.0
DIRECT_REQUESTS = 5


@given("a zone with two nodes, and another one whose node loses its links")
def step_zones(context):
    _start_zones(context)


@given("a zone with two nodes, and another one whose node reaches no worker")
def step_zones_cut(context):
    _start_zones(context)
    context.fleet.list_far_workers(context.fleet.closed_addresses())
    eventually(lambda: _find_out_cut_off(context.far))


def _find_out_cut_off(node) -> None:
    """Send a request, from whose failures a node learns that it is cut off."""
    send(node, "GET", "/read/0")
    assert "desk" in _state(node)["cut_off"]


def _state(node) -> dict:
    return http("GET", f"http://127.0.0.1:{node.operator_port}/state").json()


def _start_zones(context) -> None:
    context.fleet = fleet = SplitFleet(services=WORKERS)
    fleet.start_store()
    for instance in WORKERS:
        fleet.start_worker(instance)
    near = [fleet.start_platform_node() for _ in range(2)]
    fleet.wait_started()
    fleet.put_config()
    for instance, service in WORKERS.items():
        fleet.list_worker(instance, service)
    context.far = fleet.start_far_node()
    fleet.list_far_workers(fleet.true_addresses())
    for node in (*near, context.far):
        fleet.wait_ready(node)

    def check_entries() -> None:
        fleet.exchange_node_entries()
        assert len(_state(context.far)["nodes"]) == len(fleet.nodes)

    eventually(check_entries)


@when(
    "its links to all workers {fault}, and {rate:d} requests a second are sent to it "
    "for {duration:d} s"
)
def step_cut(context, fault, rate, duration):
    fleet = context.fleet
    addresses = {
        "refuse new connections": fleet.closed_addresses,
        "hang": fleet.hanging_addresses,
    }[fault]()
    started_s = monotonic()
    context.cut_s = started_s + CUT_AFTER_S

    def send_one(number: int) -> tuple[float, str, int | None]:
        sleep(max(0.0, started_s + number / rate - monotonic()))
        method, prefix = TARGETS[number % len(TARGETS)]
        sent_s = monotonic()
        headers = {ATTEMPT_ID: f"attempt-{number}"}
        answer = send(context.far, method, f"{prefix}{number}", headers=headers)
        return sent_s, prefix, None if answer is None else answer.status

    with ThreadPoolExecutor(SENDERS) as pool:
        sent = [pool.submit(send_one, number) for number in range(duration * rate)]
        sleep(max(0.0, context.cut_s - monotonic()))
        fleet.list_far_workers(addresses)
        context.sent = [future.result() for future in sent]


@then("all that are sent later than 3 s after that are answered with 200")
def step_answered(context):
    late = [entry for entry in context.sent if entry[0] > context.cut_s + STABLE_S]
    assert late
    others = [entry for entry in late if entry[2] != 200]
    assert not others, (len(others), len(late), others[:3])


@then("no order ran twice")
def step_orders_once(context):
    ids = [run["id"] for run in context.fleet.runs() if "/order/" in run["target"]]
    assert len(ids) == len(set(ids)), sorted(ids)


@when(
    "a client sends {method} {target} to it, and the same to a node that reaches them"
)
def step_send_to_both(context, method, target):
    context.answers, context.runs = [], []
    for node in (context.far, context.fleet.nodes[0]):
        before = context.fleet.runs()
        headers = {"X-Own": "kept"}
        context.answers.append(send(node, method, target, b"order", headers))
        after = context.fleet.runs()
        assert len(after) == len(before) + 1, after
        (run,) = _added(before, after)
        # What is left of the time depends on the way.
        context.runs.append({**run, "limit_ms": None})


def _added(before: list[dict], after: list[dict]) -> list[dict]:
    """Return the runs of a list that are not in an earlier one, which it contains."""
    added = list(after)
    for run in before:
        added.remove(run)
    return added


@then("both get the same answer, and workers see the same request")
def step_same(context):
    (far, near), (far_run, near_run) = context.answers, context.runs
    assert far is not None and near is not None
    assert (far.status, far.body) == (near.status, near.body)
    assert far.headers.keys() == near.headers.keys(), (far.headers, near.headers)
    assert far_run == near_run, (far_run, near_run)


@when("every worker has the fault {fault}, and a client sends POST /order/1 to it")
def step_fault(context, fault):
    context.runs_before = len(context.fleet.runs())
    for worker in context.fleet.workers.values():
        worker.put_faults(how=fault)
    context.answer = send(
        context.far, "POST", "/order/1", headers=client_headers(limit_ms=ORDER_LIMIT_MS)
    )


@then("it gets status {status:d}, and the order ran once")
def step_order_ran(context, status):
    runs = len(context.fleet.runs()) - context.runs_before
    assert context.answer is not None and context.answer.status == status, (
        context.answer,
        runs,
        *(node.log.read_text()[-LOG_CHARACTERS:] for node in context.fleet.nodes),
    )
    assert runs == 1, runs


@when("a client leaves it during a stream")
def step_leave(context):
    for worker in context.fleet.workers.values():
        worker.put_faults(pause_s=SLOW_EVENT_S)
    context.runs_before = len(context.fleet.runs())
    send(context.far, "POST", "/stream/1", max_bytes=1)


@then("the worker's run ends within half a second")
def step_run_ended(context):
    assert len(context.fleet.runs()) == context.runs_before + 1

    def check() -> None:
        records = [context.fleet.worker_record(name) for name in WORKERS]
        assert all(len(record["runs"]) == record["ended"] for record in records)

    eventually(check, GONE_S)


@when("its links are back")
def step_links_back(context):
    context.fleet.list_far_workers(context.fleet.true_addresses())


@then("it sends requests to the workers itself within 2 s")
def step_direct(context):
    def check() -> None:
        assert not _state(context.far)["cut_off"]

    eventually(check, BACK_S)
    for number in range(DIRECT_REQUESTS):
        headers = {ATTEMPT_ID: f"direct-{number}"}
        answer = send(context.far, "GET", "/read/1", headers=headers)
        assert answer is not None and answer.status == 200, answer
    lines = context.far.log.read_text().splitlines()
    sent = [line for line in lines if '"Sent."' in line and '"direct-' in line]
    assert len(sent) >= DIRECT_REQUESTS, sent


@when("the other nodes lose their links too")
def step_all_cut(context):
    fleet = context.fleet
    for instance, address in fleet.closed_addresses().items():
        fleet.list_worker(instance, WORKERS[instance], address=address)
    for node in fleet.nodes[:2]:
        eventually(partial(_find_out_cut_off, node))


@then("a client of each node gets status 503 within {most_s:g} s")
def step_all_refused(context, most_s):
    for node in context.fleet.nodes:
        started_s = monotonic()
        answer = send(node, "POST", "/order/1")
        assert answer is not None and answer.status == 503, answer
        assert monotonic() - started_s <= most_s


@given("a node in zone a of the cell {cell}")
def step_candidate_cell(context, cell):
    context.cell = frozenset(cell.split())


@when("the other nodes are {nodes}")
def step_candidates(context, nodes):
    entries = (
        RelayNode(text.strip("-?"), text[0], "?" not in text, "-" in text)
        for text in nodes.split(", ")
    )
    context.asked = relay_candidates(entries, "a", context.cell)


@then("it may ask {asked}")
def step_asked(context, asked):
    names = () if asked == "none" else tuple(asked.split())
    assert context.asked == names, context.asked


@given("upstreams a1, a2, a3 in zone a and b1 in zone b, and m1 of another service")
def step_upstreams(context):
    context.serving = serving = build_serving_state(lambda: 100.0, zone="a")
    upstreams = [
        Upstream(name, "models" if name == "m1" else "desk", "127.0.0.1", 1, name[0], 8)
        for name in ("a1", "a2", "a3", "b1", "m1")
    ]
    serving.directory.update(upstreams, ())


@when("these events come at a node of zone a: {events}")
def step_reach_events(context, events):
    serving = context.serving
    for event in events.split(", "):
        name, _, what = event.partition(" ")
        upstream = serving.directory.by_instance[name]
        if what == "fails":
            serving.record_connect_failure(upstream)
        else:
            serving.record_contact(upstream)


@then("it {result} cut off")
def step_is_cut_off(context, result):
    cut_off = context.serving.reach.cut_off
    assert ("desk" in cut_off) == (result == "is"), cut_off
