"""Steps about requests in crashes of upstreams."""

from dataclasses import replace

from behave import given, then, when

from lagoonhinge_core.forwarding.crashes import Crash, CrashBook, digest_request
from lagoonhinge_core.forwarding.messages import CallerRequest


@given("a node's book of crashes")
def step_book(context):
    context.book = CrashBook()
    context.now_s = 100.0


@when("these events come: {events}")
def step_events(context, events):
    book = context.book
    for event in events.split(", "):
        match event.split():
            case [request, "breaks", "on", instance]:
                book.broke_off(request, instance, context.now_s)
            case [instance, "gone"]:
                book.gone(instance, context.now_s)
            case [instance, "alive"]:
                book.alive(instance)
            case [seconds, "s", "pass"]:
                context.now_s += float(seconds)
            case ["peer", "tells", "of", instance]:
                book.hear((Crash("bad", instance),), context.now_s)
            case [request, "is", "answered"]:
                book.answered(request)
            case _:
                raise AssertionError(event)


@then('the request "{request}" is {standing}')
def step_standing(context, request, standing):
    left_s = context.book.refused_for_s(request, context.now_s)
    assert (left_s > 0) == (standing == "refused"), left_s
    assert not context.book.refused_for_s("good", context.now_s)


@then('"bad" {may} be sent again')
def step_may(context, may):
    assert context.book.may_send_again("bad", context.now_s) == (may == "may")


@then("peers are told of {count:d} crashes")
def step_told(context, count):
    assert len(context.book.news(context.now_s)) == count


@when("{count:d} requests are in a crash, and then bad in {crashes:d}")
def step_many(context, count, crashes):
    for number in range(count):
        context.book.broke_off(f"request {number}", "0", context.now_s)
        context.book.gone("0", context.now_s)
    for number in range(1, crashes + 1):
        context.book.broke_off("bad", str(number), context.now_s)
        context.book.gone(str(number), context.now_s)


@then("the book holds {most:d} crashes at most, and tells peers of {told:d} at most")
def step_bounded(context, most, told):
    assert len(context.book.news(context.now_s)) <= told
    assert len(context.book.crashes) <= most, len(context.book.crashes)


@given("a request to {target} with the body {body} for the account {account}")
def step_request(context, target, body, account):
    context.asked = CallerRequest(
        "a1", "POST", target, "host", (), body.encode(), "key", 1.0, None, None
    )
    context.account = account


@when("another one {differs}")
def step_another(context, differs):
    request, account = context.asked, context.account
    match differs.split():
        case ["has", "another", "attempt", "identity"]:
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
    first = digest_request(context.asked, context.account)
    context.alike = first == digest_request(request, account)


@then("they are {alike}")
def step_alike(context, alike):
    assert context.alike == (alike == "alike")
