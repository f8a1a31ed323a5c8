"""Steps for nodes that reach no upstream."""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep

from behave import given, then, when

from features.support.fleet import http
from features.support.platform_fleet import send
from features.support.split_fleet import SplitFleet
from features.support.waiting import eventually
from lagoonhinge_platform.names import ATTEMPT_ID

WORKERS = {"d1": "desk", "d2": "desk", "m1": "models", "m2": "models", "m3": "models"}
TARGETS = (("GET", "/read/"), ("POST", "/order/"), ("POST", "/stream/"))
CUT_AFTER_S = 1.0
STABLE_S = 3.0
SENDERS = 16


@given("a zone with two nodes, and another one whose node loses its links")
def step_zones(context):
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
        url = f"http://127.0.0.1:{context.far.operator_port}/state"
        assert len(http("GET", url).json()["nodes"]) == len(fleet.nodes)

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
