"""Steps for upstreams that limit their requests, with real processes."""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep

from behave import given, then, when

from features.steps.platform_node_steps import start_nodes
from features.support.platform_fleet import send
from lagoonhinge_platform.names import ATTEMPT_ID, RETRY_AFTER

WINDOW_S = 4.0
STABLE_S = 3.0  # after which a limit holds
SENDERS = 32


@given("{count:d} nodes on the platform with two workers for each service")
def step_nodes(context, count):
    start_nodes(context, count)


@when("{workers} a limit of {limit}, and {rate:d} requests a second are sent for 9 s")
def step_limit(context, workers, limit, rate):
    fleet = context.fleet
    context.limited = [word for word in workers.split() if word in fleet.workers]
    for name in context.limited:
        fleet.workers[name].put_faults(limit=limit)
    context.started_s = monotonic()

    def send_one(number: int):
        wait_s = context.started_s + number / rate - monotonic()
        sleep(max(0.0, wait_s))
        node = fleet.nodes[number % len(fleet.nodes)]
        sent_s = monotonic()
        answer = send(node, "GET", "/read/1", headers={ATTEMPT_ID: f"attempt-{number}"})
        return answer, monotonic() - sent_s

    with ThreadPoolExecutor(SENDERS) as pool:
        context.answers = list(pool.map(send_one, range(9 * rate)))


@then("every request is answered with {status:d}")
def step_all_answered(context, status):
    others = [a for a, _ in context.answers if a is None or a.status != status]
    assert not others, others


@then(
    "{worker} got at most {most:d} requests in any 4 s from 3 s on, and at least "
    "{least:d} in all"
)
def step_within_limit(context, worker, most, least):
    arrivals_s = context.fleet.worker_record(worker)["arrivals_s"]
    assert len(arrivals_s) >= least, arrivals_s
    from_s = arrivals_s[0] + STABLE_S
    counts = [
        sum(end_s - WINDOW_S < at_s <= end_s for at_s in arrivals_s)
        for end_s in arrivals_s
        if end_s >= from_s
    ]
    assert max(counts, default=0) <= most, counts


@then("the other requests are refused with 503 and a Retry-After within {most_s:g} s")
def step_refused(context, most_s):
    refused = [(a, took_s) for a, took_s in context.answers if a.status != 200]
    assert refused
    assert all(a.status == 503 and RETRY_AFTER in a.headers for a, _ in refused)
    assert max(took_s for _, took_s in refused) <= most_s, refused
