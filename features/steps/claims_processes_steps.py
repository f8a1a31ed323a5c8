"""Steps of orders through real processes that are killed, suspended or cut off."""

from concurrent.futures import ThreadPoolExecutor
from itertools import count
from signal import SIGCONT, SIGSTOP
from time import monotonic, sleep

from behave import given, then, when

from features.support.callers import send_plain
from features.support.fleet import ZONES, Fleet, base_text, http, overlay_text
from features.support.shared_fleets import shared_fleet

TIME_BOUND_BASE_S = 6.0
MAX_ANSWER_BYTES = 10_000
KEY_NUMBERS = count(1)
EXECUTOR = ThreadPoolExecutor(4)


def order_fleet() -> Fleet:
    fleet = Fleet()
    fleet.start_platform()
    fleet.start_service()
    fleet.start_nodes([ZONES[0]] * 2)
    base = base_text().replace("base_s = 10.0", f"base_s = {TIME_BOUND_BASE_S}")
    limit = f"[services.registry]\nmax_answer_bytes = {MAX_ANSWER_BYTES}\n"
    folder = fleet.write_config(base, overlay_text(fleet) + limit)
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr
    return fleet


def new_key() -> str:
    return f"order-{next(KEY_NUMBERS)}"


def send_order(fleet, node: int, key: str | None, method="POST", path="/orders"):
    return send_plain(fleet.nodes[node], method, path, b"{}", key, timeout_s=20.0)


def result_of(answer) -> str:
    if answer.status == 200:
        return "replayed" if "Idempotent-Replayed" in answer.headers else "answered"
    return answer.json()["error"]["code"]


def final_result(fleet, key: str) -> str:
    """Resend an order until it is no longer in progress, and return its result."""
    deadline_s = monotonic() + 20.0
    while (result := result_of(send_order(fleet, 1, key))) == "in_progress":
        assert monotonic() < deadline_s, result
        sleep(0.2)
    return result


def executions(fleet, call_name: str) -> int:
    return (
        http("GET", f"{fleet.services[0].url}/control/executions")
        .json()
        .get(call_name, 0)
    )


def wait_executed(fleet, key: str) -> None:
    deadline_s = monotonic() + 10.0
    while executions(fleet, key) == 0:
        assert monotonic() < deadline_s, "the order did not reach the service"
        sleep(0.02)


def start_slow_order(context, key: str, seconds: float, node: int = 0):
    """Start an order of some seconds, and return once the service executes it."""
    context.running.services[0].put_faults(slow_s=seconds)
    pending_order = EXECUTOR.submit(send_order, context.running, node, key)
    wait_executed(context.running, key)
    context.running.services[0].put_faults()
    return pending_order


@given("a shared fleet of 2 nodes and 1 order service")
def step_shared(context):
    context.running = shared_fleet("orders", order_fleet)


@given("a separate fleet of 2 nodes and 1 order service")
def step_separate(context):
    context.fleet = context.running = order_fleet()


@when("the order service {fault} during a {method} call without a key")
def step_fault(context, fault, method):
    faults = {
        "cuts after execution": {"cut": "after"},
        "cuts before execution": {"cut": "before"},
        "refuses": {"refuse": True},
    }[fault]
    service = context.running.services[0]
    path = f"/{new_key()}"
    service.put_faults(**faults)
    context.answer = send_order(context.running, 0, None, method, path)
    service.put_faults()
    context.call_name = f"{method} {path}"


@then(
    "the service has executed that call {runs:d} times"
    " and the caller received {outcome}"
)
def step_executed(context, runs, outcome):
    assert executions(context.running, context.call_name) == runs
    assert context.answer.json()["error"]["outcome"] == outcome, context.answer


@when("the first node is killed while an order of {seconds:d} seconds runs")
def step_killed(context, seconds):
    context.key = new_key()
    context.pending_order = start_slow_order(context, context.key, seconds)
    context.running.nodes[0].kill()
    assert context.pending_order.exception(20.0) is not None


@when(
    "the first node is suspended and resumed while an order of {seconds:d} seconds runs"
)
def step_suspended(context, seconds):
    context.key = new_key()
    context.pending_order = start_slow_order(context, context.key, seconds)
    context.running.nodes[0].popen.send_signal(SIGSTOP)
    sleep(seconds)


@then("the same order at the second node returns {codes}")
def step_returns(context, codes):
    first, second = codes.split(", ")
    assert result_of(send_order(context.running, 1, context.key)) == first
    node = context.running.nodes[0].popen
    if node.poll() is None:
        node.send_signal(SIGCONT)
    assert final_result(context.running, context.key) == second


@then("the service has {runs:d} execution of that order")
def step_executed_order(context, runs):
    assert executions(context.running, context.key) == runs


@when("a caller disconnects during its order of {seconds:d} seconds and resends it")
def step_disconnects(context, seconds):
    context.key = new_key()
    context.running.services[0].put_faults(slow_s=seconds)
    try:
        send_plain(
            context.running.nodes[0],
            "POST",
            "/orders",
            b"{}",
            context.key,
            timeout_s=0.5,
        )
        raise AssertionError("the caller did not disconnect")
    except TimeoutError:
        pass
    context.running.services[0].put_faults()
    sleep(seconds + 0.5)
    context.answer = send_order(context.running, 1, context.key)


@then(
    "it receives the stored answer,"
    " and the service has {runs:d} execution of that order"
)
def step_stored(context, runs):
    assert result_of(context.answer) == "replayed", context.answer
    assert executions(context.running, context.key) == runs


@when("the platform is down, an order is refused as not run within {bound:d} seconds")
def step_down(context, bound):
    context.keys = [new_key()]
    context.running.platform.put_faults(down=True)
    started = monotonic()
    answer = send_order(context.running, 0, context.keys[0])
    assert monotonic() - started < bound
    error = answer.json()["error"]
    assert error["code"] == "store_unavailable", error
    assert error["outcome"] == "not-run", error
    assert "Retry-After" in answer.headers, answer
    assert executions(context.running, context.keys[0]) == 0
    lookup_answer = send_order(context.running, 0, None, "GET", "/lookup")
    assert result_of(lookup_answer) == "answered", lookup_answer
    context.running.platform.put_faults()


@when(
    "the platform fails during an order of {seconds:d} seconds, "
    "which is answered nevertheless"
)
def step_fails(context, seconds):
    context.keys.append(new_key())
    pending_order = start_slow_order(context, context.keys[1], seconds)
    context.running.platform.put_faults(down=True)
    assert result_of(pending_order.result(20.0)) == "answered"
    context.running.platform.put_faults()


@then("both orders have {runs:d} execution each when resent after the outage")
def step_both(context, runs):
    # The claim of the refused order may have been stored, and is then settled first.
    for key, settled in zip(context.keys, ("answered", "replayed"), strict=True):
        assert final_result(context.running, key) == settled, key
    counts = [executions(context.running, key) for key in context.keys]
    assert counts == [runs, runs], counts


@when("an order's answer exceeds the limit")
def step_long_answer(context):
    context.key = new_key()
    context.running.services[0].put_faults(padding=MAX_ANSWER_BYTES)
    context.answers = [
        send_order(context.running, node, context.key) for node in (0, 1)
    ]
    context.running.services[0].put_faults()


@then("the order fails with {code} and outcome {outcome}, also when resent")
def step_long_fails(context, code, outcome):
    first, second = (answer.json()["error"] for answer in context.answers)
    assert (first["code"], first["outcome"]) == (code, outcome), first
    assert "more than" in first["message"] and "more than" in second["message"], second
    assert second["outcome"] == outcome, second
    assert executions(context.running, context.key) == 1


@when("the first node is stopped while an order of {seconds:d} seconds runs")
def step_stopped(context, seconds):
    context.key = new_key()
    context.pending_order = start_slow_order(context, context.key, seconds)
    context.status = context.running.nodes[0].terminate()


@then("that order is answered, the node exits with 0, and a resend is replayed")
def step_stopped_whole(context):
    assert context.status == 0, context.status
    assert result_of(context.pending_order.result(20.0)) == "answered"
    assert result_of(send_order(context.running, 1, context.key)) == "replayed"
    assert executions(context.running, context.key) == 1
