"""Steps for servers whose answers never end."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from random import Random
from threading import Event, Thread
from time import monotonic, sleep

from behave import then, when

from features.steps.platform_node_steps import MARGIN_S, WHOLE_STREAM
from features.support.fleet import HttpAnswer, Process
from features.support.platform_fleet import ACCOUNT, send
from features.support.waiting import eventually
from lagoonhinge_platform.names import ATTEMPT_ID, TOKEN_COUNTS

KINDS = {
    "/read/": ("GET", ("d1", "d2")),
    "/order/": ("POST", ("d1", "d2")),
    "/stream/": ("POST", ("m1", "m2")),
    "/stream/once/": ("POST", ("m1", "m2")),
}
SERVICES = {"desk": ("d1", "d2"), "models": ("m1", "m2")}
MAX_TRIES = 20
MAX_READ_BYTES = 32 << 20  # more than any node may pass on of an endless answer
OTHER_INTERVAL_S = 0.1
KB_PER_MB = 1024
LAST_EVENTS = WHOLE_STREAM[WHOLE_STREAM.index("id: 2") :].encode()
NUMBERS = count(1)


@dataclass(frozen=True)
class Ended:
    """How a request ended, and how long it took, in seconds."""

    answer: HttpAnswer | None
    target: str
    took_s: float

    def outcome(self) -> str:
        """Return a word for a success or a broken answer, or the status of a failure.

        A stream is `resumed` if it ends with the last events of its own.
        """
        answer = self.answer
        if answer is None:
            return "broken"
        if answer.status != 200:
            return str(answer.status)
        if len(answer.body) >= MAX_READ_BYTES:
            return "flood"
        is_stream = self.target.startswith("/stream/")
        own = WHOLE_STREAM if is_stream else f"answer of {self.target}"
        if answer.body in (own.encode(), b"whole"):
            return "whole"
        if is_stream and answer.body.endswith(LAST_EVENTS):
            return "resumed"
        return "wrong bytes"


def _send(node: Process, prefix: str) -> Ended:
    """Send a request that is like no other one."""
    method, number = KINDS[prefix][0], next(NUMBERS)
    target, started_s = f"{prefix}{number}", monotonic()
    body = f"request {number}".encode() if method == "POST" else b""
    headers = {ATTEMPT_ID: f"attempt-{number}"}
    answer = send(node, method, target, body, headers, max_bytes=MAX_READ_BYTES)
    return Ended(answer, target, monotonic() - started_s)


@contextmanager
def _other_requests(context, prefix: str):
    """Send other requests meanwhile, at least one, and keep how they ended."""
    done = Event()
    context.others = others = []

    def run() -> None:
        others.append(_send(context.node, prefix))
        while not done.wait(OTHER_INTERVAL_S):
            others.append(_send(context.node, prefix))

    thread = Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        done.set()
        thread.join()


def _other_prefix(prefix: str) -> str:
    return "/read/" if prefix.startswith("/stream/") else "/stream/"


def _meet_fault(context, prefix: str, fault: str) -> Ended:
    """Send requests until one meets the fault, and return how that one ended."""
    random = Random(prefix)
    for _ in range(MAX_TRIES):
        worker = context.fleet.workers[random.choice(KINDS[prefix][1])]
        worker.put_faults(how=fault, count=1)
        ended = _send(context.node, prefix)
        had_fault = worker.get_json("control/seen")["faults_left"] == 0
        worker.put_faults()
        if had_fault:
            return ended
    raise AssertionError(f"no request to {prefix} met the fault")


@when("other requests are sent while an answer has endless {part}")
def step_each_kind(context, part):
    context.ended, others = {}, []
    for prefix in KINDS:
        with _other_requests(context, _other_prefix(prefix)):
            context.ended[prefix] = _meet_fault(context, prefix, part)
        others += context.others
    context.others = others


@then(
    "GET /read/ ends with {read}, POST /order/ with {order}, POST /stream/ with "
    "{stream} and POST /stream/once/ with {once}"
)
def step_ends_with(context, read, order, stream, once):
    expected = dict(zip(KINDS, (read, order, stream, once), strict=True))
    found = {prefix: ended.outcome() for prefix, ended in context.ended.items()}
    assert found == expected, (found, context.ended)


@then("each of them ends within {limit_s:g} s")
def step_each_within(context, limit_s):
    took_s = {prefix: ended.took_s for prefix, ended in context.ended.items()}
    assert max(took_s.values()) <= limit_s, took_s


@then("POST /stream/ ends with {stream} and POST /stream/once/ with {once}")
def step_streams_end(context, stream, once):
    found = [context.ended[name].outcome() for name in ("/stream/", "/stream/once/")]
    assert found == [stream, once], (found, context.ended)


@then("each stream ends within {limit_s:g} s")
def step_streams_within(context, limit_s):
    took_s = [context.ended[name].took_s for name in ("/stream/", "/stream/once/")]
    assert max(took_s) <= limit_s, took_s


@then("other requests are answered within {limit_s:g} s")
def step_others(context, limit_s):
    assert context.others
    failed = [other for other in context.others if other.outcome() != "whole"]
    assert not failed, failed
    assert max(other.took_s for other in context.others) <= limit_s, context.others


@then("the node has used at most {limit_mb:d} MB")
def step_memory(context, limit_mb):
    assert context.node.popen.poll() is None, context.node.log.read_text()[-2000:]
    peak_mb = _peak_kb(context.node) / KB_PER_MB
    assert peak_mb <= limit_mb, peak_mb


@then("all endless answers are closed within {limit_s:g} s")
def step_closed(context, limit_s):
    def check() -> None:
        records = {
            name: worker.get_json("control/seen")["endless"]
            for name, worker in context.fleet.workers.items()
        }
        records["store"] = context.fleet.store.get_json("control/calls")["endless"]
        assert not any(records.values()), records

    eventually(check, limit_s)


def _peak_kb(node: Process) -> int:
    """Return the largest resident memory that a process has had, in KB."""
    for line in Path(f"/proc/{node.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError("no peak of the resident memory")


@when(
    "{clients:d} clients send {method} {prefix}, and all answers of {service} have "
    "endless {part}"
)
def step_many(context, clients, method, prefix, service, part):
    assert KINDS[prefix][0] == method
    for instance in SERVICES[service]:
        context.fleet.workers[instance].put_faults(how=part)
    with (
        _other_requests(context, _other_prefix(prefix)),
        ThreadPoolExecutor(clients) as pool,
    ):
        context.ended = dict(
            enumerate(pool.map(lambda _: _send(context.node, prefix), range(clients)))
        )


@then("each of them ends with {outcomes} within {limit_s:g} s")
def step_many_end(context, outcomes, limit_s):
    found = {ended.outcome() for ended in context.ended.values()}
    assert found <= set(outcomes.split(" or ")), found
    step_each_within(context, limit_s)


@when(
    "the answers of the store have endless {part} for {seconds:g} s, and requests are "
    "sent"
)
def step_store(context, part, seconds):
    context.fleet.store.put_faults(down=part)
    with _other_requests(context, "/read/"):
        sleep(seconds)
    context.fleet.store.put_faults()


@then("a change of the store is in force within {limit_s:g} s")
def step_change(context, limit_s):
    context.fleet.put_config(version=2, tenants=[{"name": ACCOUNT, "apiKeys": []}])

    def check() -> None:
        assert _send(context.node, "/read/").outcome() == "401"

    eventually(check, limit_s)


@when(
    "the answers to orders have endless {part}, and a prompt over one engine's memory "
    "is sent"
)
def step_orders(context, part):
    for worker in context.fleet.workers.values():
        worker.put_faults(how=f"order {part}")
    headers, started_s = {TOKEN_COUNTS: "500000,100"}, monotonic()
    answer = send(context.node, "POST", "/stream/1", b"large", headers)
    context.prompt = Ended(answer, "/stream/1", monotonic() - started_s)


@then("the prompt is refused within {limit_s:g} s, as not run")
def step_refused(context, limit_s):
    assert context.prompt.outcome() == "503", context.prompt
    assert context.prompt.took_s <= limit_s + MARGIN_S, context.prompt
    assert context.fleet.runs() == []
