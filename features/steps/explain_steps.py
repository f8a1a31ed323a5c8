"""Steps about the stories of requests."""

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
    line(
        3.0,
        "health",
        "-",
        "A zone is likely partitioned; avoiding its upstreams.",
        zone="east",
    ),
    line(3.1, "health", "-", "An upstream is reachable again.", upstream="i-9"),
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
    # The first two lines were kept back until the request failed.
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


def write_logs(context, prefix="", foreign=()):
    folder = Path(mkdtemp(dir=context.folder))
    context.logs = []
    for name, lines in (("north", NORTH), ("south", SOUTH)):
        texts = [
            prefix + json.encode(fields | {"node": name}).decode() for fields in lines
        ]
        path = folder / f"{name}.log"
        path.write_text("\n".join([*foreign, *texts]) + "\n")
        context.logs.append(str(path))


@given("the logs of two nodes on a played day")
def step_logs(context):
    context.folder = mkdtemp()
    write_logs(context)


@given("a collector puts its own time before each line, and lines of its own")
def step_collector(context):
    write_logs(
        context, prefix="2026-12-01T00:00:00Z north ", foreign=("-- rotated --",)
    )


def explain(context, request, files, *options):
    context.done = run(
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
        explain(context, request.removesuffix(" as JSON"), context.logs, "--json")
        return
    request, _, files = request.partition(" in ")
    explain(context, request, ["missing.log"] if "missing" in files else context.logs)


@then('it prints the cause "{cause}"')
def step_cause(context, cause):
    assert not context.done.returncode, context.done
    assert f"cause: {cause}" in context.done.stdout, context.done.stdout


def own_lines(context):
    story = context.done.stdout.partition("cause:")[0]
    return story.splitlines()[1:]


@then("it prints {count:d} lines of the request")
def step_count(context, count):
    assert len(own_lines(context)) == count, context.done.stdout


@then('the story {shows:w} "{text}"')
def step_shows(context, shows, text):
    found = text in context.done.stdout
    assert found == (shows == "shows"), context.done.stdout


@then('the lines of the request come in the order "{messages}"')
def step_order(context, messages):
    lines = own_lines(context)
    wanted = messages.split(",")
    assert len(lines) == len(wanted), lines
    for text, message in zip(lines, wanted, strict=True):
        assert message in text, (text, message)


@then('it reports on standard error "{text}"')
def step_reports(context, text):
    assert text in context.done.stderr, context.done


@then('it exits with {status:d} and reports an error with "{error}"')
def step_error(context, status, error):
    assert context.done.returncode == status, context.done
    assert error in context.done.stderr, context.done


@then("its JSON has the request {request} with {count:d} lines")
def step_json(context, request, count):
    story = json.decode(context.done.stdout)
    assert story["request_id"] == request and len(story["lines"]) == count, story
