"""Steps about requests that crash upstreams."""

from asyncio import sleep
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.support.serving import build_serving_state
from features.support.silence_fuzz import (
    RecordingWriter,
    ScriptedClient,
    UpstreamScript,
    run_request,
)
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.crash_causes import (
    PART_PREFIX,
    PossibleCauses,
    digest_request,
)
from lagoonhinge_core.forwarding.crash_reports import (
    AnswerReport,
    Crash,
    CrashReport,
)
from lagoonhinge_core.forwarding.crash_trials import TrialLedger, TrialReport
from lagoonhinge_core.forwarding.crashes import CrashTracker
from lagoonhinge_core.forwarding.messages import CallerRequest
from lagoonhinge_core.forwarding.routes import EventStream
from lagoonhinge_core.forwarding.site_store import TableRow
from lagoonhinge_core.forwarding.upstreams import Upstream, UpstreamRun
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.site_controllers import UpstreamController


def _causes(request: str) -> PossibleCauses:
    """Return the causes in a request that is written `DIGEST+PART+PART`."""
    digest, *parts = request.split("+")
    return PossibleCauses(digest, tuple(PART_PREFIX + part for part in parts))


def _run(name: str) -> UpstreamRun:
    """Return the run of an upstream that is written `INSTANCE` or `INSTANCE@START`."""
    instance, _, started_ms = name.partition("@")
    return UpstreamRun(instance, int(started_ms or 0))


def _crash_three_times(tracker: CrashTracker, names: list[str], now_s: float) -> None:
    """Record that requests were on the same three upstreams as these ended."""
    for instance in ("1", "2", "3"):
        for name in names:
            tracker.add_suspect(_causes(name), _run(instance), now_s)
        tracker.confirm_crashes(instance, now_s)


def _all_reported(age_s: float, request: str, name: str) -> tuple[CrashReport, ...]:
    run = _run(name)
    return tuple(
        CrashReport(Crash(cause, run.instance, run.started_ms), age_s)
        for cause in _causes(request).all()
    )


@given("the crash tracker of a node")
def step_tracker(context):
    context.tracker = CrashTracker()
    context.now_s = 100.0


@when("these events come: {events}")
def step_events(context, events):
    tracker = context.tracker
    for event in events.split(", "):
        match event.split():
            case [request, "fails", "on", name]:
                tracker.add_suspect(_causes(request), _run(name), context.now_s)
            case [request, "crashes", name]:
                tracker.add_suspect(_causes(request), _run(name), context.now_s)
                tracker.confirm_crashes(_run(name).instance, context.now_s)
            case [name, "ended"]:
                tracker.confirm_crashes(_run(name).instance, context.now_s)
            case [name, "took", "its", "place"]:
                tracker.confirm_crashes(_run(name).instance, context.now_s, _run(name))
            case [name, "running"]:
                tracker.clear_run(_run(name))
            case [seconds, "s", "pass"]:
                context.now_s += float(seconds)
            case ["peer", "reports", "crash", instance]:
                tracker.merge(_all_reported(0.0, "bad", instance), (), context.now_s)
            case ["peer", "reports", request, "on", instance, age_s, "s", "ago"]:
                reports = _all_reported(float(age_s), request, instance)
                tracker.merge(reports, (), context.now_s)
            case ["peer", "answered", request, age_s, "s", "ago"]:
                answers = [
                    AnswerReport(cause, float(age_s))
                    for cause in _causes(request).all()
                ]
                tracker.merge((), answers, context.now_s)
            case [first, "and", second, "crash", "1", "to", "3"]:
                _crash_three_times(tracker, [first, second], context.now_s)
            case [request, "is", "tried", "on", instance]:
                tracker.claim_trial(_causes(request), context.now_s)
                tracker.record_trial(_causes(request), _run(instance), context.now_s)
            case ["peer", "claims", cause]:
                report = TrialReport(cause, "peer", "", 1, 0.0)
                tracker.merge((), (), context.now_s, (report,))
            case ["peer", "tries", cause, "on", instance]:
                report = TrialReport(cause, "peer", instance, 1, 0.0)
                tracker.merge((), (), context.now_s, (report,))
            case ["peer", "tries", cause, "on", instance, "as", "number", number]:
                report = TrialReport(cause, "peer", instance, int(number), 0.0)
                tracker.merge((), (), context.now_s, (report,))
            case [request, "is", "answered"]:
                tracker.record_answer(_causes(request).all(), context.now_s)
            case _:
                raise AssertionError(event)


@then('the request "{request}" is {result}')
def step_result(context, request, result):
    remaining_s = _remaining_s(context, request)
    assert (remaining_s > 0) == (result == "refused"), remaining_s
    assert not _remaining_s(context, "good")


def _remaining_s(context, request: str) -> float:
    tracker, now_s = context.tracker, context.now_s
    return tracker.remaining_quarantine_s(_causes(request), now_s)


@then("{refused} are refused, and {served} are served")
def step_refused_and_served(context, refused, served):
    for requests, is_refused in ((refused, True), (served, False)):
        for request in () if requests == "none" else requests.split(", "):
            remaining_s = _remaining_s(context, request)
            assert (remaining_s > 0) == is_refused, (request, remaining_s)


@then("{tried} may be tried now, and {held} may not")
def step_may_be_tried(context, tried, held):
    tracker, now_s = context.tracker, context.now_s
    for requests, may_be_tried in ((tried, True), (held, False)):
        for request in () if requests == "none" else requests.split(", "):
            due_in_s = tracker.trial_due_in_s(_causes(request), now_s)
            assert (due_in_s == 0) == may_be_tried, (request, due_in_s)
            assert _remaining_s(context, request) > 0, request


@given("a fleet of {count:d} trackers that know the same crashes of a and b")
def step_trackers(context, count):
    context.now_s = 100.0
    context.trackers = {}
    for name in (f"n{number}" for number in range(count)):
        tracker = CrashTracker(trials=TrialLedger(name))
        _crash_three_times(tracker, ["a", "b"], context.now_s)
        context.trackers[name] = tracker


@when("{claims} are claimed, and the claims are told to all but {lost}")
def step_claims(context, claims, lost):
    context.claims = [claim.split(" by ") for claim in claims.split(", ")]
    context.lost = lost
    for request, node in context.claims:
        context.trackers[node].claim_trial(_causes(request), context.now_s)
    _tell_trials(context)


def _tell_trials(context) -> None:
    reports = {
        name: tracker.trials.reports(context.now_s)
        for name, tracker in context.trackers.items()
    }
    for name, tracker in context.trackers.items():
        for sender in set(reports) - {name, context.lost}:
            if name != context.lost:
                tracker.merge((), (), context.now_s, reports[sender])


@then("{begin} begins first, and then {later}")
def step_begins(context, begin, later):
    started = []
    for expected in (begin, later):
        beginning = [
            (request, node)
            for request, node in context.claims
            if context.trackers[node].may_begin_trial(_causes(request), context.now_s)
            and (request, node) not in started
        ]
        names = [" by ".join(claim) for claim in beginning]
        assert names == ([] if expected == "nothing" else [expected]), names
        for request, node in beginning:
            tracker, causes = context.trackers[node], _causes(request)
            tracker.record_trial(causes, _run(f"m{request}"), context.now_s)
            started.append((request, node))
        context.now_s += 0.1
        _tell_trials(context)


@then("{count:d} answers are sent to peers")
def step_answers_sent(context, count):
    reports = context.tracker.answer_reports(context.now_s)
    assert len(reports) == count, reports


@then("a node that hears the evidence refuses {refused} and serves {served}")
def step_evidence(context, refused, served):
    evidence = context.tracker.evidence(context.now_s)
    context.tracker = CrashTracker()
    context.tracker.merge(evidence, (), context.now_s)
    step_refused_and_served(context, refused, served)


def _list_upstream(context, started_ms: int) -> None:
    context.started_ms = started_ms
    context.controller.apply((TableRow("u1", b"", 1),), False)


@given("a node that lists an upstream with the start {started_ms:d}")
def step_listed(context, started_ms):
    context.serving = build_serving_state(lambda: 100.0)
    context.serving.board.writer(SiteConfigSection(), "test")

    def upstream(row: TableRow) -> Upstream:
        return Upstream(
            row.key, "desk", "h", 1, "north", 8, started_ms=context.started_ms
        )

    decoder = SimpleNamespace(upstream=upstream)
    context.controller = UpstreamController(context.serving, decoder)
    _list_upstream(context, started_ms)


@when("a request breaks off on it, and its row has the start {started_ms:d}")
def step_row_changes(context, started_ms):
    run = context.serving.directory.by_instance["u1"].run()
    context.serving.crashes.add_suspect(PossibleCauses("bad"), run, 100.0)
    _list_upstream(context, started_ms)


@then("{count:d} crashes are confirmed")
def step_confirmed(context, count):
    assert len(context.serving.crashes.confirmed) == count


@given("a node at which three upstreams ended under prompts with a part")
def step_part_refused(context):
    context.loop = VirtualLoop()
    context.serving = build_serving_state(context.loop.time)
    crashes, now_s = context.serving.crashes, context.loop.time()
    for number in range(3):
        run, at_s = UpstreamRun(f"ended{number}"), now_s - 4.0 + number
        crashes.add_suspect(_causes(f"bad{number}+base"), run, at_s)
        crashes.confirm_crashes(run.instance, at_s)


@when("one with it is answered with events after {gaps} s, and {end}")
def step_answered(context, gaps, end):
    break_at = int(end.split()[-1]) if end.startswith("breaks off") else 0
    gaps_s = tuple(float(gap) for gap in gaps.split(", "))
    script = UpstreamScript("ok", 0.0, gaps_s, break_at)
    running = run_request(
        context.serving,
        EventStream(False, 0.25),
        ScriptedClient((script,)),
        RecordingWriter(0.0),
        ("base",),
    )
    context.running = context.loop.create_task(running)


@then("the part is {state} after {at_s:g} s")
def step_part_state(context, state, at_s):
    context.loop.run_until_complete(sleep(at_s))
    crashes, now_s = context.serving.crashes, context.loop.time()
    remaining_s = crashes.remaining_quarantine_s(_causes("other+base"), now_s)
    context.loop.run_until_complete(context.running)
    context.loop.close()
    assert (remaining_s > 0) == (state == "refused"), remaining_s


@then('"bad" {may} be retried')
def step_may_retry(context, may):
    assert context.tracker.may_retry(_causes("bad"), context.now_s) == (may == "may")


@then("{count:d} crashes are sent to peers")
def step_gossip(context, count):
    assert len(context.tracker.crash_reports(context.now_s)) == count


@when("{count:d} requests crash an upstream each, and then bad crashes {crashes:d}")
def step_many_crashes(context, count, crashes):
    for number in range(count):
        context.tracker.add_suspect(_causes(f"r{number}"), _run("0"), context.now_s)
        context.tracker.confirm_crashes("0", context.now_s)
    for number in range(1, crashes + 1):
        context.tracker.add_suspect(_causes("bad"), _run(str(number)), context.now_s)
        context.tracker.confirm_crashes(str(number), context.now_s)


@then("the tracker holds at most {max_held:d} crashes and gossips at most {max_sent:d}")
def step_bounded(context, max_held, max_sent):
    assert len(context.tracker.crash_reports(context.now_s)) <= max_sent
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
