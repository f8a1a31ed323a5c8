"""Steps that explain requests from recorded logs."""

from pathlib import Path
from subprocess import run
from sys import executable
from tempfile import mkdtemp

from behave import given, then, when
from msgspec import json

LOST = "Lost(reason='reset')"
NOT_DELIVERED = "NotDelivered(reason='refused')"


def line(at_s, part, request, message, **inputs):
    fields = {
        "time_s": at_s,
        "level": "info",
        "part": part,
        "request_id": request,
        "message": message,
    }
    return fields | inputs


NORTH = (
    line(1.0, "config", "-", "A configuration is in force.", version=6),
    line(2.0, "config", "-", "A configuration is in force.", version=7),
    line(3.0, "health", "-", "A zone seems to be cut off.", zone="east"),
    line(3.1, "health", "-", "An upstream can be reached again.", upstream="i-9"),
    line(4.0, "request", "full", "Sent.", upstream="i-1"),
    line(4.1, "request", "full", "A send failed.", failure=NOT_DELIVERED),
    line(4.2, "request", "full", "Sent.", upstream="i-2"),
    line(4.3, "request", "full", "A send failed.", failure=NOT_DELIVERED),
    line(4.4, "request", "full", "Refused, not run.", took_s=0.4),
    line(5.0, "request", "good", "Sent.", upstream="i-1"),
    line(5.1, "request", "good", "First event.", took_s=0.1),
    line(5.9, "request", "good", "Stream done.", took_s=0.9),
    line(6.0, "request", "late", "Sent.", upstream="i-1"),
    line(9.0, "request", "late", "Out of time.", sends=1),
    line(9.1, "request", "never", "Out of time.", sends=0),
    line(9.2, "request", "cut", "Sent.", upstream="i-1"),
    line(
        9.2,
        "upstreams",
        "-",
        "A peer was told that an upstream leaves.",
        upstream="i-6",
    ),
    line(9.3, "store", "-", "The store came back from an older copy.", era=2),
    line(9.4, "upstreams", "other", "An upstream says that it leaves.", upstream="i-7"),
    line(
        9.5,
        "upstreams",
        "other",
        "An upstream wants no requests for a time.",
        upstream="i-8",
        pause_s=4.0,
    ),
    line(
        9.6,
        "upstreams",
        "-",
        "An upstream changed the limit of its requests.",
        upstream="i-8",
        per_s=0.5,
    ),
    line(
        9.7,
        "request",
        "closed",
        "No upstream has capacity; ending the request.",
        closed_s=3.8,
    ),
    line(9.7, "request", "closed", "Refused, not run.", took_s=0.0),
    line(9.8, "request", "again", "Sent.", upstream="i-7"),
    line(9.9, "request", "again", "Answered.", took_s=0.1),
)
SOUTH = (
    line(1.5, "upstreams", "-", "An upstream is leaving.", upstream="i-1"),
    line(
        2.0,
        "request",
        "stale",
        "Refused.",
        status=503,
        reason="the configuration is stale",
    ),
    # The first two lines were logged late, when the request failed.
    line(7.0, "request", "broken", "Sent.", upstream="i-1", ago_s=5.0),
    line(7.0, "request", "broken", "First event.", took_s=0.2, ago_s=4.8),
    line(6.9, "request", "broken", "A send failed.", failure=LOST, upstream="i-1"),
    line(6.95, "request", "broken", "Sent.", upstream="i-2"),
    line(7.1, "request", "broken", "Broke off.", runs=2),
    line(7.5, "config", "-", "A configuration is in force.", version=8),
    line(8.0, "request", "open", "Sent.", upstream="i-3"),
    line(8.1, "request", "open", "A send failed.", failure=LOST),
    line(8.2, "request", "open", "Failed.", runs=1),
)


def write_logs(context, prefix="", other_lines=()):
    folder = Path(mkdtemp(dir=context.folder))
    context.logs = []
    for name, lines in (("north", NORTH), ("south", SOUTH)):
        texts = [
            prefix + json.encode(fields | {"node": name}).decode() for fields in lines
        ]
        path = folder / f"{name}.log"
        path.write_text("\n".join([*other_lines, *texts]) + "\n")
        context.logs.append(str(path))


@given("recorded logs of two nodes")
def step_logs(context):
    context.folder = mkdtemp()
    write_logs(context)


@given("a log collector adds a prefix to each line, and lines of its own")
def step_collector(context):
    write_logs(
        context, prefix="2026-12-01T00:00:00Z north ", other_lines=("-- rotated --",)
    )


def run_explain(context, request, files, *options):
    context.completed = run(
        (
            executable,
            "-m",
            "lagoonhinge_ctl.main",
            "explain",
            request,
            *files,
            *options,
        ),
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@when('"lagoonctl explain" is asked for {request}')
def step_explain(context, request):
    if request.endswith(" as JSON"):
        run_explain(context, request.removesuffix(" as JSON"), context.logs, "--json")
        return
    request, _, files = request.partition(" in ")
    run_explain(
        context, request, ["missing.log"] if "missing" in files else context.logs
    )


@then('it prints the cause "{cause}"')
def step_cause(context, cause):
    assert not context.completed.returncode, context.completed
    assert f"cause: {cause}" in context.completed.stdout, context.completed.stdout


def request_lines(context):
    timeline = context.completed.stdout.partition("cause:")[0]
    return timeline.splitlines()[1:]


@then("it prints {count:d} lines of the request")
def step_count(context, count):
    assert len(request_lines(context)) == count, context.completed.stdout


@then('the output {shows:w} "{text}"')
def step_shows(context, shows, text):
    is_shown = text in context.completed.stdout
    assert is_shown == (shows == "shows"), context.completed.stdout


@then('the lines of the request come in the order "{messages}"')
def step_order(context, messages):
    lines = request_lines(context)
    expected = messages.split(",")
    assert len(lines) == len(expected), lines
    for text, message in zip(lines, expected, strict=True):
        assert message in text, (text, message)


@then('it reports on standard error "{text}"')
def step_reports(context, text):
    assert text in context.completed.stderr, context.completed


@then('it exits with {status:d} and reports an error with "{error}"')
def step_error(context, status, error):
    assert context.completed.returncode == status, context.completed
    assert error in context.completed.stderr, context.completed


@then("its JSON has the request {request} with {count:d} lines")
def step_json(context, request, count):
    report = json.decode(context.completed.stdout)
    assert report["request_id"] == request and len(report["lines"]) == count, report
