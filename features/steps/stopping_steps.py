"""Steps about graceful shutdown and listeners."""

from asyncio import CancelledError, Event, create_task, run, sleep
from http.client import HTTPConnection
from signal import SIGTERM
from socket import create_connection, create_server, socket
from threading import Event as ThreadEvent
from threading import Thread
from time import monotonic
from urllib.error import URLError

from aiohttp import ClientError, ClientSession, web
from behave import given, then, when

from features.support.callers import (
    SEED,
    Completion,
    completion_text,
    post_completion,
    send_plain,
)
from features.support.fleet import (
    PORTS,
    STOP_TIMEOUT_S,
    ZONES,
    Fleet,
    base_text,
    http,
    overlay_text,
)
from features.support.waiting import eventually
from lagoonhinge_core.config import Config, PlainService, TimeBound
from lagoonhinge_core.stopping import longest_request_s
from lagoonhinge_node.addresses import Address
from lagoonhinge_node.listener import MAX_STOP_S, Listener, bind
from lagoonhinge_node.node import Node
from stand_ins.answers import whole_answer

BALANCER_LAG_FLAG = "--balancer-lag-s=1.0"
PROMPT = "Batch dossier of core 76-12."
ANSWER_TOKENS = {"short": 100, "long": 250, "streamed": 200}
SERVICE_TIME_S = 2.5
CALL_INTERVAL_S = 0.05
CALLERS = 3
NON_LOCAL_HOST = "192.0.2.1"
ANSWER_TIMEOUT_S = 2.0
BODY_PART = b"Batch dossier of core 76-12."


@given(
    "a running fleet of {nodes:d} nodes to be stopped, with a slow engine and service"
)
def step_stop_fleet(context, nodes):
    context.fleet = fleet = Fleet()
    fleet.start_platform()
    fleet.start_engine()
    fleet.start_service()
    fleet.start_nodes([ZONES[0]] * nodes, BALANCER_LAG_FLAG)
    folder = fleet.write_config(base_text(), overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr


def _send(context, kind: str) -> None:
    node = context.fleet.nodes[0]
    if kind == "not idempotent":
        answer = send_plain(node, "POST", "/orders/1", b"{}", "order-1")
        context.answer_is_whole = answer.json()["path"] == "/orders/1"
        return
    completion = Completion(PROMPT, ANSWER_TOKENS[kind], is_streamed=kind == "streamed")
    answer = post_completion(node, completion)
    expected = whole_answer(PROMPT, completion.max_tokens, SEED)
    context.answer_is_whole = completion_text(completion, answer) == expected


@when("a node is signalled to stop {times} during a {kind} request")
def step_stop_during(context, times, kind):
    fleet = context.fleet
    node = fleet.nodes[0]
    fleet.services[0].put_faults(slow_s=SERVICE_TIME_S)
    context.answer_is_whole = False
    context.caller = Thread(target=_send, args=(context, kind))
    context.keep_alive = HTTPConnection("127.0.0.1", node.port, timeout=10)
    context.keep_alive.request("GET", "/services/none/x")
    context.first_head = context.keep_alive.getresponse()
    context.first_head.read()
    context.caller.start()

    def in_flight():
        if kind == "not idempotent":
            url = f"{fleet.services[0].url}/control/executions"
            assert http("GET", url).json(), "the call has not arrived"
        else:
            assert fleet.state(node)["InFlightWork"]["by_upstream"]

    eventually(in_flight)
    for _ in range(2 if times == "twice" else 1):
        node.popen.send_signal(SIGTERM)


@then("it is not ready at once, and its answers close their connections")
def step_not_ready(context):
    node = context.fleet.nodes[0]

    def not_ready():
        answer = http("GET", f"http://{node.control_address}/readyz")
        assert (answer.status, b"stopping" in answer.body) == (503, True), answer

    eventually(not_ready)
    assert context.first_head.getheader("Connection") != "close"
    context.keep_alive.request("GET", "/services/none/x")
    answer = context.keep_alive.getresponse()
    assert answer.getheader("Connection") == "close", answer.getheaders()
    context.keep_alive.close()


@then("the {kind} request is answered in full and the node exits with 0")
def step_whole_and_exit(context, kind):
    context.caller.join(STOP_TIMEOUT_S)
    assert context.answer_is_whole
    node = context.fleet.nodes[0]
    assert node.popen.wait(STOP_TIMEOUT_S) == 0, node.log.read_text()[-2000:]


class _Balancer:
    """Callers behind a balancer that sends their requests to ready nodes."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.stopped = ThreadEvent()
        self.failures: list[str] = []
        self.served = 0
        self.ready: list = list(fleet.nodes)

    def check_forever(self) -> None:
        while not self.stopped.is_set():
            self.ready = [n for n in tuple(self.fleet.nodes) if _is_ready(n)]
            self.stopped.wait(0.1)

    def call_forever(self, caller: int) -> None:
        number = 0
        while not self.stopped.is_set():
            number += 1
            ready = self.ready
            if ready:
                self.call(ready[number % len(ready)], f"{PROMPT} {caller} {number}")
            self.stopped.wait(CALL_INTERVAL_S)

    def call(self, node, prompt: str) -> None:
        completion = Completion(prompt, 40)
        try:
            answer = post_completion(node, completion)
            expected = whole_answer(prompt, completion.max_tokens, SEED)
            if answer.status != 200 or completion_text(completion, answer) != expected:
                self.failures.append(f"{node.name}: {answer}")
            self.served += 1
        except URLError as error:
            # Refused before anything was sent: a balancer would try the next node.
            if not isinstance(error.reason, ConnectionRefusedError):
                self.failures.append(f"{node.name}: {error}")
        except OSError as error:
            self.failures.append(f"{node.name}: {error!r}")


def _is_ready(node) -> bool:
    try:
        return (
            http("GET", f"http://{node.control_address}/readyz", timeout_s=2).status
            == 200
        )
    except OSError:
        return False


@when("each node is stopped and replaced in turn while callers send requests")
def step_roll(context):
    fleet = context.fleet
    context.balancer = balancer = _Balancer(fleet)
    threads = [Thread(target=balancer.check_forever)]
    threads += [Thread(target=balancer.call_forever, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    context.exits = []
    try:
        for old in tuple(fleet.nodes):
            peers = ",".join(n.control_address for n in fleet.nodes if n is not old)
            context.exits.append(old.terminate())
            fleet.nodes.remove(old)
            new = fleet.start_node(
                ZONES[0], old.port, old.control_port, peers, BALANCER_LAG_FLAG
            )
            fleet.wait_started()
            eventually(lambda new=new: _assert_ready(new))
    finally:
        balancer.stopped.set()
        for thread in threads:
            thread.join()


def _assert_ready(node) -> None:
    assert _is_ready(node), node.log.read_text()[-2000:]


@then("no request failed and every node exited with 0")
def step_none_failed(context):
    balancer = context.balancer
    assert not balancer.failures, balancer.failures[:3]
    assert context.exits == [0, 0, 0], context.exits
    assert balancer.served > 0


@given("a listener with a request that runs for {seconds:g} s")
def step_listener(context, seconds):
    context.seconds, context.request = seconds, {}


@given("a listener with a request whose body arrives {framing} during {seconds:g} s")
def step_listener_upload(context, framing, seconds):
    is_sized = framing == "with length"
    headers = {"Content-Length": str(2 * len(BODY_PART))} if is_sized else {}
    context.seconds = 0.0
    context.request = {"data": _slow_body(seconds), "headers": headers}


@when("it is stopped with a limit of {limit:g} s")
def step_listener_stop(context, limit):
    context.outcome = run(_stop_listener(context.seconds, limit, context.request))


async def _slow_body(seconds: float):
    yield BODY_PART
    await sleep(seconds)
    yield BODY_PART


async def _stop_listener(
    seconds: float, limit_s: float, request: dict
) -> tuple[bool, bool]:
    started = Event()

    async def handle(http_request: web.Request) -> web.Response:
        started.set()
        body = await http_request.read()
        await sleep(seconds)
        return web.Response(body=body or b"whole")

    app = web.Application()
    app.add_routes([web.post("/", handle)])
    address = Address("127.0.0.1", PORTS.allocate())
    listener = Listener(app, bind(address).unwrap())
    await listener.start()
    async with ClientSession() as session:

        async def call() -> bool:
            expected = 2 * BODY_PART if request else b"whole"
            try:
                async with session.post(f"http://{address}/", **request) as answer:
                    return await answer.read() == expected
            except (ClientError, CancelledError):
                return False

        caller = create_task(call())
        await started.wait()
        finished = await listener.stop(limit_s)
        if not finished:
            caller.cancel()
        return finished, await caller


@when(
    "{count:d} callers connect and send it, and it is stopped {passes:d} passes"
    " of the event loop later"
)
def step_stop_after_connect(context, count, passes):
    context.answers = run(_stop_after_connect(context.seconds, count, passes))


async def _stop_after_connect(seconds: float, count: int, passes: int) -> list[bytes]:
    async def handle(_: web.Request) -> web.Response:
        await sleep(seconds)
        return web.Response(body=b"whole")

    app = web.Application()
    app.add_routes([web.post("/", handle)])
    address = Address("127.0.0.1", PORTS.allocate())
    listener = Listener(app, bind(address).unwrap())
    await listener.start()
    # The event loop gets no pass while they connect.
    callers = [create_connection((address.host, address.port)) for _ in range(count)]
    for caller in callers:
        caller.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        caller.settimeout(ANSWER_TIMEOUT_S)
    for _ in range(passes):
        await sleep(0)
    assert await listener.stop(ANSWER_TIMEOUT_S)
    answers = [_receive(caller) for caller in callers]
    for caller in callers:
        caller.close()
    return answers


def _receive(caller: socket) -> bytes:
    try:
        return caller.recv(65_536)
    except OSError as error:
        return repr(error).encode()


@then("each of them is answered")
def step_each_answered(context):
    assert all(b"200 OK" in answer for answer in context.answers), context.answers


@then("the request is {end}")
def step_request_end(context, end):
    whole = end == "finished"
    assert context.outcome == (whole, whole), context.outcome


@when("the longest time_bound of a configuration is {bound:g} s")
def step_longest_request(context, bound):
    service = PlainService(time_bound=TimeBound(base_s=bound))
    short = PlainService(time_bound=TimeBound(base_s=1.0))
    context.bounded_config = Config(services={"slow": service, "fast": short})


@then("a stop waits at least {bound:g} s, and no library limit is shorter")
def step_limits(context, bound):
    limit_s = longest_request_s(context.bounded_config)
    assert limit_s >= bound, limit_s
    assert Node.shutdown_timeout == MAX_STOP_S > limit_s
    assert run(_runner_limit()) == MAX_STOP_S


async def _runner_limit() -> float:
    address = Address("127.0.0.1", PORTS.allocate())
    listener = Listener(web.Application(), bind(address).unwrap())
    await listener.start()
    limit_s = listener.runner._shutdown_timeout
    await listener.stop(1.0)
    return limit_s


@when("a node is started with a {listener} address that is {defect}")
def step_bad_address(context, listener, defect):
    context.fleet = fleet = Fleet()
    fleet.start_platform()
    fleet.wait_started()
    port, control = PORTS.allocate(), PORTS.allocate()
    flag = "listen" if listener == "listen" else "control-listen"
    taken = port if listener == "listen" else control
    context.address = f"127.0.0.1:{taken}"
    flags = ()
    if defect == "not local":
        context.address = f"{NON_LOCAL_HOST}:{taken}"
        flags = (f"--{flag}={context.address}",)
    with create_server(("127.0.0.1", taken)):
        started_s = monotonic()
        peer = f"127.0.0.1:{control}"
        node = fleet.start_node(ZONES[0], port, control, peer, *flags)
        context.status = node.popen.wait(STOP_TIMEOUT_S)
        assert monotonic() - started_s < STOP_TIMEOUT_S
    context.log = node.log.read_text()


@then("it exits with status 3 and one line that names the address")
def step_named(context):
    assert context.status == 3, context.log
    lines = [line for line in context.log.splitlines() if context.address in line]
    assert len(lines) == 1, context.log
    assert "Traceback" not in context.log, context.log
