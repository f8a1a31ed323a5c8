"""Steps about requests that crash upstreams."""

from dataclasses import replace

from behave import given, then, when

from lagoonhinge_core.forwarding.crashes import Crash, CrashTracker, digest_request
from lagoonhinge_core.forwarding.messages import CallerRequest


@given("the crash tracker of a node")
def step_tracker(context):
    context.tracker = CrashTracker()
    context.now_s = 100.0


@when("these events come: {events}")
def step_events(context, events):
    tracker = context.tracker
    for event in events.split(", "):
        match event.split():
            case [request, "fails", "on", instance]:
                tracker.add_suspect(request, instance, context.now_s)
            case [instance, "ended"]:
                tracker.confirm_crashes(instance, context.now_s)
            case [instance, "running"]:
                tracker.clear_instance(instance)
            case [seconds, "s", "pass"]:
                context.now_s += float(seconds)
            case ["peer", "reports", "crash", instance]:
                tracker.merge((Crash("bad", instance),), context.now_s)
            case [request, "is", "answered"]:
                tracker.clear_request(request)
            case _:
                raise AssertionError(event)


@then('the request "{request}" is {result}')
def step_result(context, request, result):
    remaining_s = context.tracker.remaining_quarantine_s(request, context.now_s)
    assert (remaining_s > 0) == (result == "refused"), remaining_s
    assert not context.tracker.remaining_quarantine_s("good", context.now_s)


@then('"bad" {may} be retried')
def step_may_retry(context, may):
    assert context.tracker.may_retry("bad", context.now_s) == (may == "may")


@then("{count:d} crashes are sent to peers")
def step_gossip(context, count):
    assert len(context.tracker.crashes_to_gossip(context.now_s)) == count


@when("{count:d} requests crash an upstream each, and then bad crashes {crashes:d}")
def step_many_crashes(context, count, crashes):
    for number in range(count):
        context.tracker.add_suspect(f"request {number}", "0", context.now_s)
        context.tracker.confirm_crashes("0", context.now_s)
    for number in range(1, crashes + 1):
        context.tracker.add_suspect("bad", str(number), context.now_s)
        context.tracker.confirm_crashes(str(number), context.now_s)


@then("the tracker holds at most {max_held:d} crashes and gossips at most {max_sent:d}")
def step_bounded(context, max_held, max_sent):
    assert len(context.tracker.crashes_to_gossip(context.now_s)) <= max_sent
    assert len(context.tracker.confirmed) <= max_held, len(context.tracker.confirmed)


@given("a request to {target} with the body {body} for the account {account}")
def step_request(context, target, body, account):
    context.request = CallerRequest(
        "a1", "POST", target, "host", (), body.encode(), "key", 1.0, None, None
    )
    context.account = account


@when("another one {differs}")
def step_other_request(context, differs):
    request, account = context.request, context.account
    match differs.split():
        case ["has", "another", "request", "id"]:
            request = replace(request, request_id="a2")
        case ["has", "another", "key"]:
            request = replace(request, key="other")
        case ["goes", "to", target]:
            request = replace(request, target=target)
        case ["has", "the", "body", body]:
            request = replace(request, body=body.encode())
        case ["is", "for", "the", "account", account]:
            pass
        case _:
            raise AssertionError(differs)
    digest = digest_request(context.request, context.account)
    context.has_same_digest = digest == digest_request(request, account)


@then("their digests are {digests}")
def step_digests(context, digests):
    assert context.has_same_digest == (digests == "same")
