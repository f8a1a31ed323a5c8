"""Steps for nodes of earlier versions, built from the repository's history."""

from io import BytesIO
from pathlib import Path
from signal import SIGTERM
from subprocess import run
from tarfile import open as open_tar
from threading import Event, Thread
from time import monotonic, sleep

from behave import given, then, when

from features.support.fleet import HttpAnswer
from features.support.platform_fleet import (
    HOST,
    PlatformFleet,
    PlatformNode,
    config,
    send,
)
from features.support.waiting import eventually
from lagoonhinge_platform.names import (
    ATTEMPT_ID,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
)

ROOT = Path(__file__).parents[2]
PRESENT = "present"
SOURCES = (
    "packages/lagoonhinge-core/src",
    "packages/lagoonhinge-http/src",
    "packages/lagoonhinge-node/src",
    "platform/src",
)
KINDS = (("GET", "/read/1"), ("POST", "/order/1"), ("POST", "/stream/1"))
REQUEST_INTERVAL_S = 0.05
FIRST_REPLACED_S = 3.0
REPLACE_INTERVAL_S = 4.0
DRAIN_AT_S = 8.0
ADDED = "/added/"


def _source_path(fleet: PlatformFleet, version: str) -> str:
    """Return the module search path of a version, extracted from the history."""
    if version == PRESENT:
        return ""
    folder = fleet.path / version
    if not folder.exists():
        command = ("git", "archive", "--format=tar", version, "packages", "platform")
        done = run(command, cwd=ROOT, capture_output=True)
        assert not done.returncode, (
            f"commit {version} is not in this clone: {done.stderr.decode()}"
        )
        with open_tar(fileobj=BytesIO(done.stdout)) as archive:
            archive.extractall(folder, filter="data")
    return ":".join(str(folder / source) for source in SOURCES)


def _start_node(context, version: str) -> PlatformNode:
    fleet = context.fleet
    fleet.module_path = _source_path(fleet, version)
    return fleet.start_platform_node()


@given("{count:d} nodes on the platform, of version {version}")
def step_nodes(context, count, version):
    context.fleet = fleet = PlatformFleet()
    fleet.start_store()
    workers = {"d1": "desk", "d2": "desk", "m1": "models", "m2": "models"}
    for instance in workers:
        fleet.start_worker(instance)
    for _ in range(count):
        _start_node(context, version)
    fleet.wait_started()
    fleet.put_config()
    for instance, service in workers.items():
        fleet.list_worker(instance, service)
    for node in fleet.nodes:
        fleet.wait_ready(node)


@when(
    "requests are sent for {duration:d} s, and the nodes are replaced by nodes of {to}"
)
def step_replace(context, duration, to):
    fleet = context.fleet
    context.serving, context.answers = list(fleet.nodes), []
    context.added_s, context.drained_s, context.late_nodes = 0.0, 0.0, []
    context.duration_s, context.to = duration, to


@when(
    "meanwhile a route is added, an upstream drains, and a zone without upstreams is "
    "evacuated"
)
def step_run(context):
    done = Event()
    threads = [
        Thread(target=_send_requests, args=(context, kind, done)) for kind in KINDS
    ]
    for thread in threads:
        thread.start()
    try:
        _operate(context)
    finally:
        done.set()
        for thread in threads:
            thread.join()


def _send_requests(context, kind: tuple[str, str], done: Event) -> None:
    method, target = kind
    number = 0
    while not done.wait(REQUEST_INTERVAL_S):
        number += 1
        node = context.serving[number % len(context.serving)]
        headers = {ATTEMPT_ID: f"{target}-{number}"}
        body = b"request" if method == "POST" else b""
        answer = send(node, method, target, body, headers)
        context.answers.append((target, node.name, answer))


def _operate(context) -> None:
    fleet, started_s = context.fleet, monotonic()
    old = list(context.serving)
    events = [
        (1.0, "add"),
        (2.0, "evacuate"),
        (DRAIN_AT_S, "drain"),
        *(
            (FIRST_REPLACED_S + REPLACE_INTERVAL_S * number, "replace")
            for number in range(len(old))
        ),
    ]
    for at_s, event in sorted(events):
        sleep(max(0.0, started_s + at_s - monotonic()))
        match event:
            case "add":
                _add_route(fleet)
                check_s = monotonic() + 3.0
            case "evacuate":
                fleet.put_row(OPERATOR_TABLE, EVACUATION_PREFIX + "nowhere", b"{}")
            case "drain":
                context.late_nodes += _without_route(context, check_s)
                fleet.list_worker("d2", "desk", state="draining")
                context.drained_s = monotonic()
            case "replace":
                node = _start_node(context, context.to)
                fleet.wait_ready(node)
                stopped = old.pop(0)
                context.serving = [*(n for n in context.serving if n != stopped), node]
                stopped.popen.send_signal(SIGTERM)
    sleep(max(0.0, started_s + context.duration_s - monotonic()))
    context.late_nodes += _without_route(context, check_s)


def _add_route(fleet: PlatformFleet) -> None:
    changed = config(version=2)
    changed["routes"].append(
        {**changed["routes"][0], "name": ADDED, "host": HOST, "prefix": ADDED}
    )
    fleet.put_config(version=2, routes=changed["routes"])


def _without_route(context, check_s: float) -> list[str]:
    sleep(max(0.0, check_s - monotonic()))
    late = []
    for node in context.serving:
        answer = send(
            node, "GET", f"{ADDED}1", headers={ATTEMPT_ID: f"add-{node.name}"}
        )
        if answer is None or answer.status != 200:
            late.append(f"{node.name}: {answer}")
    return late


@then(
    "every request is answered, or refused as not run, and at least {share:d} of 100 "
    "are answered"
)
def step_answered(context, share):
    answers: list[tuple[str, str, HttpAnswer | None]] = context.answers
    others = [
        entry
        for entry in answers
        if entry[2] is None or entry[2].status not in (200, 503)
    ]
    assert not others, others[:5]
    served = sum(entry[2].status == 200 for entry in answers)
    assert served * 100 >= share * len(answers), (served, len(answers))


@then("the route was served by every node within 3 s")
def step_route(context):
    assert not context.late_nodes, context.late_nodes


@then("the draining upstream got nothing later than {limit:g} s after its row")
def step_drained(context, limit):
    arrivals_s = context.fleet.worker_record("d2")["arrivals_s"]
    late_s = [at - context.drained_s for at in arrivals_s]
    assert max(late_s, default=0.0) <= limit, max(late_s)


@then("no node ignored a message of another")
def step_messages(context):
    def check() -> None:
        ignored = [
            node.name
            for node in context.fleet.nodes
            if "Ignored an unreadable update" in node.log.read_text()
        ]
        assert not ignored, ignored

    eventually(check, 1.0)
