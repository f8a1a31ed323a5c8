"""Steps for the node on the platform, run as real processes."""

from gzip import compress
from signal import SIGCONT, SIGHUP, SIGSTOP
from threading import Thread
from time import monotonic, sleep

from behave import given, then, when
from msgspec import json

from features.support.fleet import http
from features.support.platform_fleet import (
    ACCOUNT,
    KEY,
    PlatformFleet,
    client_headers,
    config,
    send,
)
from features.support.raw_callers import RawCaller
from features.support.waiting import eventually
from lagoonhinge_platform.names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    NODES_TABLE,
    RETRY_AFTER,
    ROWS_GET_PATH,
    TOKEN_COUNTS,
)
from stand_ins.platform_worker import EVENT_COUNT

BODY = b'{"fixture": "T8"}'
IN_FORCE_S = 2.0
STORE_PAUSE_S = 3.0  # the node's first calls time out meanwhile
REACTION_LIMIT_S = 0.5
APPLIED_S = 1.0  # half of the time in which a change must be in force
MAX_TRIES = 10
MARGIN_S = 0.3  # for the test's own calls
EVENTS = [f"id: {n}\ndata: token {n}\n\n" for n in range(1, EVENT_COUNT + 1)]
WHOLE_STREAM = "".join(EVENTS)
CHANGES = {
    "nothing changed": {},
    "an unknown host": {"Host": "other.example"},
    "an unknown key": {AUTHORIZATION: "Bearer unknown"},
    "no key": {AUTHORIZATION: ""},
    "no attempt identity": {ATTEMPT_ID: ""},
    "headers over the limit": {"X-Long": "x" * 5000},
    "a body over the limit": {},
    "a body": {},
    "a gzip body": {"Content-Encoding": "gzip"},
    "a body said to be gzip": {"Content-Encoding": "gzip"},
    "a body of encoding br": {"Content-Encoding": "br"},
}
DEEP_LISTS = b"[" * 30_000  # never closed, in a value of at most 64 KB
OTHER_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:1",
    "zone": "north",
    "slots": 8,
    "state": "ready",
    "born": 1,
}
TOO_LARGE = "9" * 400
# Bytes, or changed fields of an entry, in JSON.
OTHER_WRITERS = {
    "that is deeply nested": DEEP_LISTS,
    "with a deeply nested field": b'{"service": "desk", "notes": ' + DEEP_LISTS,
    "with a start time too large": {"born": TOO_LARGE, "state": '"draining"'},
    "with a port out of range": {"address": '"127.0.0.1:70000"'},
    "with a host name too long": {"address": f'"{"x" * 300}:80"'},
}
REQUESTS_AFTER_START = 4
UPLOAD = b"x" * (8 << 20)  # more than the kernel buffers of a connection hold
BODIES = {
    "a body over the limit": b"x" * 70_000,
    "a body": BODY,
    "a gzip body": compress(BODY),
    "a body said to be gzip": BODY,
    "a body of encoding br": BODY,
}


def start_fleet(
    context,
    workers: dict[str, str],
    with_config: bool = True,
    unread_log: bool = False,
    store_pause_s: float = 0.0,
) -> None:
    context.fleet = fleet = PlatformFleet()
    fleet.start_store()
    for instance in workers:
        fleet.start_worker(instance)
    if store_pause_s:
        fleet.store.popen.send_signal(SIGSTOP)
    context.node = fleet.start_platform_node(unread_log)
    if store_pause_s:
        sleep(store_pause_s)
        fleet.store.popen.send_signal(SIGCONT)
    fleet.wait_started()
    if with_config:
        fleet.put_config()
    for instance, service in workers.items():
        fleet.list_worker(instance, service)


def start_nodes(context, count: int) -> None:
    """Start nodes with two workers for each service, and wait until all are ready."""
    workers = {"d1": "desk", "d2": "desk", "m1": "models", "m2": "models"}
    start_fleet(context, workers)
    for _ in range(count - 1):
        context.fleet.start_platform_node()
    for node in context.fleet.nodes:
        context.fleet.wait_ready(node)


@given("a node on the platform with two workers for each service")
def step_two_workers(context):
    start_nodes(context, 1)


@given("a node on the platform that takes bodies of 16 MB")
def step_large_bodies(context):
    start_nodes(context, 1)
    limits = {"maxHeaderBytes": 4096, "maxBodyBytes": 16 << 20}
    context.fleet.put_config(version=2, limits=limits)

    def check() -> None:
        answer = send(context.node, "POST", "/read/1", BODIES["a body over the limit"])
        assert answer is not None and answer.status == 200, answer

    eventually(check)


@given("a node on the platform that started before the store answered")
def step_late_store(context):
    workers = {"d1": "desk", "d2": "desk", "m1": "models", "m2": "models"}
    start_fleet(context, workers, store_pause_s=STORE_PAUSE_S)
    context.fleet.wait_ready(context.node)


@given("a node on the platform with four workers for models")
def step_four_workers(context):
    start_fleet(context, {f"m{number}": "models" for number in range(4)})
    context.fleet.wait_ready(context.node)


@given("a node on the platform whose store has no configuration")
def step_no_config(context):
    start_fleet(context, {"d1": "desk"}, with_config=False)
    context.fleet.wait_listening(context.node)


@then("it is not ready within a second")
def step_not_ready(context):
    deadline_s = monotonic() + 1.0
    while monotonic() < deadline_s:
        assert not context.fleet.is_ready(context.node), context.node.log.read_text()
        sleep(0.05)


@then("it is ready soon after a configuration is written")
def step_ready_after(context):
    context.fleet.put_config()
    context.fleet.wait_ready(context.node)


@when("a client sends {method} {target} with {change}")
def step_send_changed(context, method, target, change):
    context.sent = (method, target, BODIES.get(change, b""))
    context.answer = send(context.node, *context.sent, CHANGES[change])


@then("it gets status {status:d}, and no worker ran it")
def step_status_not_run(context, status):
    assert context.answer is not None
    assert context.answer.status == status, context.answer
    assert context.fleet.runs() == []


@then("the answer has a Retry-After header")
def step_retry_after(context):
    assert float(context.answer.headers[RETRY_AFTER]) > 0


@then("it gets the worker's own answer")
def step_own_answer(context):
    answer = context.answer
    assert answer is not None and answer.status == 200, answer
    _, target, _ = context.sent
    if target.startswith("/stream/"):
        assert answer.body.decode() == WHOLE_STREAM, answer
    else:
        assert answer.body.decode() == f"answer of {target}", answer


@then("the worker got method, target and body unchanged, the account and no key")
def step_unchanged(context):
    (run,) = context.fleet.runs()
    got = (run["method"], run["target"], run["body"].encode("latin-1"))
    assert got == context.sent, (got, context.sent)
    assert run["account"] == ACCOUNT and run["key"] is None, run
    added = {"User-Agent", "Accept", "Accept-Encoding"} & set(run["names"])
    assert not added, added


@when("the next request meets the fault {fault}, and a client sends {method} {target}")
def step_send_with_fault(context, fault, method, target):
    _send_with_fault(context, fault, method, target, BODY if method == "POST" else b"")


@when("the next request meets the fault {fault}, and a client uploads 8 MB to {target}")
def step_upload_with_fault(context, fault, target):
    _send_with_fault(context, fault, "POST", target, UPLOAD)


def _send_with_fault(context, fault, method, target, body) -> None:
    fleet = context.fleet
    services = ("m1", "m2") if target.startswith("/stream/") else ("d1", "d2")
    context.sent = (method, target, body)
    # Only one worker has the fault; requests that the other one gets do not count.
    for tried in range(MAX_TRIES):
        # Twice each, as the node may send to them in turn.
        worker = services[tried // 2 % 2]
        fleet.workers[worker].put_faults(how=fault, count=1)
        runs_before = len(fleet.runs(services))
        sent_s = monotonic()
        context.answer = send(context.node, *context.sent)
        context.waited_s = monotonic() - sent_s
        had_fault = fleet.worker_record(worker)["faults_left"] == 0
        fleet.workers[worker].put_faults()
        if had_fault:
            context.run_count = len(fleet.runs(services)) - runs_before
            return
    raise AssertionError(f"no request met the fault: {context.answer}")


@when("a client's stream breaks off and its next worker answers with the fault {fault}")
def step_break_and_fault(context, fault):
    workers = [context.fleet.workers[name] for name in ("m1", "m2")]
    for _ in range(MAX_TRIES):
        workers[0].put_faults(how="break", count=1)
        workers[1].put_faults(how=fault, count=1)
        context.caller = caller = RawCaller(context.node)
        caller.send_head("POST", "/stream/1", Content_Length="0", Connection="close")
        context.received = caller.read_rest()
        first, second = (worker.get_json("control/seen") for worker in workers)
        if first["arrivals_s"][-1] < second["arrivals_s"][-1]:
            return
    raise AssertionError("the worker whose stream breaks off was never the first one")


@then("the client gets the first two events and sees that the rest is missing")
def step_broken_off(context):
    head, _, chunks = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head
    body, is_complete = _join_chunks(chunks)
    assert body.decode() == "".join(EVENTS[:2]) and not is_complete, body


def _join_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the body in chunks, and whether it is complete."""
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        if not int(size, 16):
            return body, True
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return body, False


@then("it gets {answer} after {runs:d} runs")
def step_answer_after(context, answer, runs):
    got = context.answer
    match answer.split():
        case ["status", status]:
            assert got is not None and got.status == int(status), got
        case ["a", "whole", "stream"]:
            assert got is not None and got.body.decode() == WHOLE_STREAM, got
        case ["a", "whole", "answer"]:
            _, target, _ = context.sent
            assert got is not None and got.status == 200, got
            assert got.body.decode() == f"answer of {target}", got
        case _:
            assert got is None, got
    assert context.run_count == runs, context.run_count


@then("the client waited at most {limit:g} s for it")
def step_waited(context, limit):
    assert context.waited_s <= limit, context.waited_s


@when("a client disconnects while its call is silent at the worker")
def step_disconnect(context):
    for instance in ("d1", "d2"):
        context.fleet.workers[instance].put_faults(how="silent")
    send(context.node, "POST", "/order/1", BODY, timeout_s=0.4)
    context.disconnected_s = monotonic()


@then("the worker's work ends within half a second")
def step_work_ends(context):
    def check() -> None:
        records = [context.fleet.worker_record(name) for name in ("d1", "d2")]
        assert sum(entry["ended"] for entry in records) == 1, records

    eventually(check, REACTION_LIMIT_S + MARGIN_S)


@when("the store is {fault} for {seconds:d} seconds")
def step_store_down(context, fault, seconds):
    context.fleet.store.put_faults(down=fault)
    sleep(seconds)


@then("the node is not ready and refuses requests as not run, with Retry-After")
def step_refuses(context):
    assert not context.fleet.is_ready(context.node)
    answer = send(context.node, "GET", "/read/1")
    assert answer is not None and answer.status == 503, answer
    assert float(answer.headers[RETRY_AFTER]) > 0
    assert context.fleet.runs() == []


@then("it serves again once the store answers")
def step_serves_again(context):
    context.fleet.store.put_faults(down="")

    def check() -> None:
        answer = send(context.node, "GET", "/read/1")
        assert answer is not None and answer.status == 200, answer

    eventually(check)


def _added_route() -> list[dict]:
    routes = config()["routes"]
    return [*routes, {**routes[0], "name": "new", "prefix": "/new/"}]


@when("a route is added")
def step_route_added(context):
    context.fleet.put_config(version=2, routes=_added_route())


@when("the key is removed")
def step_key_removed(context):
    context.fleet.put_config(version=2, tenants=[{"name": ACCOUNT, "apiKeys": []}])


@when("the history is discarded and a route is added")
def step_history_discarded(context):
    http("PUT", f"{context.fleet.store.url}/control/forget")
    context.fleet.put_config(version=2, routes=_added_route())


@when("a worker of the desk is draining")
def step_draining(context):
    context.fleet.list_worker("d1", "desk", state="draining")


@when("a worker of the desk is removed")
def step_removed(context):
    context.fleet.drop_row("servers", "d1")


@when("a worker's entry is unreadable")
def step_unreadable(context):
    context.fleet.put_row("servers", "d1", b"\xff not an entry")


def _other_entry(content: bytes | dict[str, str]) -> bytes:
    match content:
        case bytes():
            return content
        case changes:
            fields = {key: json.encode(value) for key, value in OTHER_ENTRY.items()}
            fields |= {key: value.encode() for key, value in changes.items()}
            return b"{%s}" % b",".join(
                b'"%s":%s' % (k.encode(), v) for k, v in fields.items()
            )


@when("an entry of another writer {entry} is written as a worker starts to drain")
def step_other_writer(context, entry):
    fleet = context.fleet
    # The node pauses after a change, so one answer of the store has both others.
    fleet.list_worker("d2", "desk", slots=9)
    fleet.put_row("servers", "other-1", _other_entry(OTHER_WRITERS[entry]))
    fleet.list_worker("d1", "desk", state="draining")


@then("a node that starts afterwards serves requests")
def step_later_node(context):
    node = context.fleet.start_platform_node()
    context.fleet.wait_ready(node)
    for number in range(REQUESTS_AFTER_START):
        answer = send(node, "GET", f"/read/{number}")
        assert answer is not None and answer.status == 200, answer


@when("nothing changes in the store for {seconds:d} seconds")
def step_quiet(context, seconds):
    sleep(seconds)


@when("the store is silent for {seconds:d} seconds, and a worker's entry expires")
def step_entry_expires(context, seconds):
    fleet = context.fleet
    fleet.store.put_faults(down="silent")
    sleep(seconds)
    fleet.drop_row("servers", "d1")
    fleet.store.put_faults(down="")


def _lists_worker(context, instance: str) -> bool:
    url = f"http://127.0.0.1:{context.node.operator_port}/state"
    return instance in http("GET", url).json()["upstreams"]


@then("the node still lists that worker for a second")
def step_still_listed(context):
    for _ in range(5):
        assert _lists_worker(context, "d1")
        sleep(0.2)


@then("it stops listing the worker if the entry does not return")
def step_unlisted(context):
    def check() -> None:
        assert not _lists_worker(context, "d1") and _lists_worker(context, "d2")

    eventually(check, 10.0)


@then("within two seconds the new route is served")
def step_new_route(context):
    def check() -> None:
        answer = send(context.node, "GET", "/new/1")
        assert answer is not None and answer.status == 200, answer

    eventually(check, IN_FORCE_S)


@then("within two seconds the key is refused with 401")
def step_key_refused(context):
    def check() -> None:
        answer = send(context.node, "GET", "/read/1")
        assert answer is not None and answer.status == 401, answer

    eventually(check, IN_FORCE_S)


@then("within two seconds only the other worker gets requests")
def step_other_worker(context):
    sleep(IN_FORCE_S - MARGIN_S)
    before = len(context.fleet.worker_record("d1")["runs"])
    for number in range(8):
        answer = send(context.node, "GET", f"/read/{number}")
        assert answer is not None and answer.status == 200, answer
    runs = len(context.fleet.worker_record("d1")["runs"])
    assert runs == before, context.node.log.read_text()


@when("a client sends a prompt of {tokens:d} tokens {when}")
def step_huge_prompt(context, tokens, when):
    fleet = context.fleet
    headers = {**client_headers(), TOKEN_COUNTS: f"{tokens},100"}
    timeout_s = 10.0
    if when.startswith("and disconnects"):
        timeout_s = 0.5
    for worker in fleet.workers.values():
        if when.startswith("and disconnects"):
            worker.put_faults(pause_s=0.3)
        if when.startswith("while"):
            worker.put_faults(how="break", count=1)
    context.answer = send(context.node, "POST", "/stream/1", BODY, headers, timeout_s)


@when("a prompt of {tokens:d} tokens arrives at the node with {limit:d} ms left")
def step_unreachable_deadline(context, tokens, limit):
    headers = {**client_headers(limit_ms=limit), TOKEN_COUNTS: f"{tokens},100"}
    started_s = monotonic()
    context.answer = send(context.node, "POST", "/stream/1", BODY, headers)
    assert monotonic() - started_s < REACTION_LIMIT_S


@then("its Retry-After is at least {least:g} s")
def step_min_retry_after(context, least):
    assert float(context.answer.headers[RETRY_AFTER]) >= least, context.answer


@then("memory was reserved for it, and all of it is released afterwards")
def step_memory_free(context):
    def check() -> None:
        records = [context.fleet.worker_record(name) for name in context.fleet.workers]
        details = (context.answer, context.node.log.read_text())
        assert any(entry["orders"] for entry in records), (records, *details)
        assert not any(entry["tickets"] for entry in records), records

    eventually(check, 3.0)
    (run, *_) = context.fleet.runs()
    assert "/" in run["helpers"], run


@when("the node is killed and starts again")
def step_kill_and_start(context):
    context.node.popen.kill()
    context.node.popen.wait()
    context.node = context.fleet.start_platform_node(node=context.node.name)
    context.fleet.wait_ready(context.node)


@then("no two requests used memory of one name")
def step_other_names(context):
    helpers = [run["helpers"].split(",") for run in context.fleet.runs()]
    names = [{h.partition("/")[2] for h in entries} - {""} for entries in helpers]
    assert len(names) == 2 and all(names), helpers
    assert not names[0] & names[1], helpers


@given("another node beside it")
def step_another_node(context):
    context.second = context.fleet.start_platform_node()
    context.fleet.wait_ready(context.second)

    def check() -> None:
        assert all(
            _state_dump(node)["peers_heard_s"]
            for node in (context.node, context.second)
        )

    eventually(check)


@given("every worker crashes when it runs a request")
def step_workers_crash(context):
    for worker in context.fleet.workers.values():
        worker.put_faults(how="crash")


def _state_dump(node):
    return http("GET", f"http://127.0.0.1:{node.operator_port}/state").json()


def _running_workers(context):
    workers = context.fleet.workers.values()
    return [worker for worker in workers if worker.popen.poll() is None]


@when("a client sends the same prompt until three workers have crashed")
def step_send_until_crashed(context):
    for _ in range(MAX_TRIES):
        if len(_running_workers(context)) == 1:
            return
        send(context.node, "POST", "/stream/poison", BODY)
    raise AssertionError(context.node.log.read_text())


@when("a client sends the same prompt {count:d} times without a pause")
def step_send_repeatedly(context, count):
    context.answers = [
        send(context.node, "POST", "/stream/poison", BODY) for _ in range(count)
    ]


@then("{count:d} workers have crashed, and the last answer is a refusal as not run")
def step_crashed_count(context, count):
    workers = len(context.fleet.workers)

    def check() -> None:
        assert len(_running_workers(context)) <= workers - count

    eventually(check)
    assert len(_running_workers(context)) == workers - count, context.answers
    answer = context.answers[-1]
    assert answer is not None and answer.status == 503, answer
    assert float(answer.headers[RETRY_AFTER]) > 1, answer


@then("both nodes refuse it as not run within two seconds")
def step_both_refuse(context):
    def check() -> None:
        for node in (context.node, context.second):
            dump = _state_dump(node)
            crashes = dump["crashes"]
            assert len({crash["instance"] for crash in crashes}) >= 3, (
                dump,
                node.log.read_text(),
            )

    eventually(check, 2.0)
    for node in (context.node, context.second):
        answer = send(node, "POST", "/stream/poison", BODY)
        assert answer is not None and answer.status == 503, answer
        assert float(answer.headers[RETRY_AFTER]) > 1, answer
    (remaining,) = _running_workers(context)
    assert remaining.get_json("control/seen")["runs"] == []


@then("another prompt is served by the remaining worker")
def step_another_prompt(context):
    (remaining,) = _running_workers(context)
    remaining.put_faults(how="")
    answer = send(context.node, "POST", "/stream/1", BODY)
    assert answer is not None and answer.body.decode() == WHOLE_STREAM, answer


@when("the node is stopped during a stream")
def step_stop_during_stream(context):
    for instance in ("m1", "m2"):
        context.fleet.workers[instance].put_faults(pause_s=0.4)
    answers = []
    caller = Thread(
        target=lambda: answers.append(send(context.node, "POST", "/stream/1", BODY))
    )
    caller.start()

    def running() -> None:
        assert context.fleet.runs()

    eventually(running)
    context.exit_status = context.node.terminate()
    caller.join()
    context.answer = answers[0]


@then("the client gets the whole stream and the node exits with status 0")
def step_whole_after_stop(context):
    assert context.answer is not None
    assert context.answer.body.decode() == WHOLE_STREAM, context.answer
    assert context.exit_status == 0, context.exit_status


SETTINGS_CHANGES = {
    "a shorter revocation": "bounds.revokeMs=4000",
    "a bad revocation": "bounds.revokeMs=soon",
}


@when("its settings file gets {change}and it gets SIGHUP")
def step_settings_signal(context, change):
    _change_settings(context, change.strip())
    context.node.popen.send_signal(SIGHUP)


@when("its settings file gets {change}")
def step_settings_change(context, change):
    _change_settings(context, change.strip())


def _change_settings(context, change: str) -> None:
    path = context.fleet.path / f"{context.node.name}.conf"
    path.write_text(path.read_text() + SETTINGS_CHANGES[change] + "\n")


@then('the log contains "{line}" and the node still serves')
def step_log_contains(context, line):
    def check() -> None:
        assert line in context.node.log.read_text()

    eventually(check)
    answer = send(context.node, "GET", "/read/1")
    assert answer is not None and answer.status == 200, answer


@then("metrics and state dump show the request and contain no key")
def step_metrics(context):
    root = f"http://127.0.0.1:{context.node.operator_port}"
    metrics = http("GET", f"{root}/metrics").body.decode()
    ended = (
        'lagoonhinge_requests_total{end="answered",kind="idempotent",length="middle"}'
    )
    assert f"{ended} 1.0" in metrics, metrics
    state = http("GET", f"{root}/state")
    dump = state.json()
    assert dump["config"]["version"] == 1 and set(dump["upstreams"]) == {
        "d1",
        "d2",
        "m1",
        "m2",
    }, dump
    assert dump["store"]["watching"] and dump["cell"] == ["north"], dump
    assert KEY not in state.body.decode() and KEY not in metrics


@given("a node on the platform with a log pipe that is not read")
def step_unread_log(context):
    start_fleet(context, {"d1": "desk"}, unread_log=True)
    eventually(lambda: _assert_serves(context))


def _assert_serves(context) -> None:
    answer = send(context.node, "GET", "/read/1")
    assert answer is not None and answer.status == 200, answer


@when("{count:d} requests are sent to it")
def step_many(context, count):
    context.answers = [send(context.node, "GET", f"/read/{n}") for n in range(count)]


@then("all of them are answered")
def step_all_answered(context):
    assert all(a is not None and a.status == 200 for a in context.answers)


@then("the node still exits with status 0 when stopped")
def step_still_exits(context):
    assert context.node.terminate() == 0


@then('the log\'s lines of that request are "{a}", "{b}", "{c}" and "{d}"')
def step_request_log(context, a, b, c, d):
    def check() -> None:
        lines = [json.decode(x) for x in context.node.log.read_text().splitlines()]
        request_lines = [x for x in lines if x["request_id"] == "attempt-1"]
        assert [x["message"] for x in request_lines[-4:]] == [a, b, c, d], request_lines
        assert all(
            x["part"] == "request" and x["time_s"] > 0 for x in request_lines[-4:]
        )

    eventually(check)


STORE_CHANGES = {
    "nothing is written": lambda _: None,
    "a route is added": step_route_added,
    "the key is removed": step_key_removed,
    "a worker of the desk is draining": step_draining,
}


@when("the store is copied, {change}, and the store comes back from the copy")
def step_copied(context, change):
    store = context.fleet.store
    # The node's own entry is lost, too.
    context.fleet.drop_row("nodes", context.node.name)
    http("PUT", f"{store.url}/control/copy")
    STORE_CHANGES[change](context)
    sleep(APPLIED_S)
    http("PUT", f"{store.url}/control/restore")


@when("{change} after the loss")
def step_after_loss(context, change):
    STORE_CHANGES[change](context)


@then("the store has the node's entry")
def step_has_entry(context):
    url = f"{context.fleet.store.url}{ROWS_GET_PATH}?table={NODES_TABLE}&part="

    def check() -> None:
        rows = http("GET", url).json()["rows"]
        assert context.node.name in [row["key"] for row in rows], rows

    eventually(check)
