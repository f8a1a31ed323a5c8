"""Steps for what workers say of themselves in their answers."""

from time import monotonic

from behave import then, when

from features.steps.request_limits_steps import send_requests
from lagoonhinge_platform.names import RETRY_AFTER


def _arrivals_s(context, worker: str) -> list[float]:
    return context.fleet.worker_record(worker)["arrivals_s"]


def _put_faults(context, workers: str, **faults) -> None:
    for name in workers.split():
        if name in context.fleet.workers:
            context.fleet.workers[name].put_faults(**faults)


@when(
    "{worker} says that it leaves, and {rate:d} requests a second are sent to {target} "
    "for {duration:d} s"
)
def step_leaving(context, worker, rate, target, duration):
    _put_faults(context, worker, leaving=True)
    send_requests(context, rate, duration, target)


@when(
    "its entry has a later start, and {rate:d} requests a second are sent to {target} "
    "for {duration:d} s"
)
def step_started_again(context, rate, target, duration):
    _put_faults(context, "d1")
    context.restarted_s = monotonic()
    context.fleet.list_worker("d1", "desk", born=2)
    send_requests(context, rate, duration, target)


@when(
    "{workers} 503 with Retry-After {retry_after}, and {rate:d} requests a second are "
    "sent to {target} for {duration:d} s"
)
def step_turns_away(context, workers, retry_after, rate, target, duration):
    _put_faults(context, workers, how="shed", retry_after=retry_after)
    send_requests(context, rate, duration, target)


@then("{worker} got a request, and none later than {most_s:g} s after its first answer")
def step_none_later(context, worker, most_s):
    arrivals_s = _arrivals_s(context, worker)
    assert arrivals_s[-1] - arrivals_s[0] <= most_s, arrivals_s


@then("{worker} got a request after its later start")
def step_again(context, worker):
    assert _arrivals_s(context, worker)[-1] > context.restarted_s


@then(
    "{worker} got at most {most:d} requests from {from_s:g} s to {to_s:g} s after its "
    "first answer"
)
def step_at_most_between(context, worker, most, from_s, to_s):
    arrivals_s = _arrivals_s(context, worker)
    passed_s = [at_s - arrivals_s[0] for at_s in arrivals_s]
    assert sum(from_s < at_s < to_s for at_s in passed_s) <= most, passed_s


@then("{worker} got a request later than {least_s:g} s after its first answer")
def step_later(context, worker, least_s):
    arrivals_s = _arrivals_s(context, worker)
    assert arrivals_s[-1] - arrivals_s[0] > least_s, arrivals_s


@then("the last Retry-After is between {least_s:g} and {most_s:g} s")
def step_last_retry_after(context, least_s, most_s):
    answer, _ = context.answers[-1]
    assert least_s <= float(answer.headers[RETRY_AFTER]) <= most_s, answer
