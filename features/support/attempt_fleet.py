"""A node and two engines, each behind a relay that can inject faults."""

from dataclasses import dataclass, replace
from http.client import HTTPConnection
from signal import SIGCONT, SIGSTOP
from time import monotonic, sleep

from msgspec import json

from features.support.callers import Completion
from features.support.fleet import (
    ZONES,
    Fleet,
    Process,
    account_key,
    base_text,
    http,
    overlay_text,
)
from features.support.relays import RelayThread
from stand_ins.relay import Relay, RelayMode

STALL_TIMEOUT_CONFIG = 'model = "compliance"\nstall_timeout_s = 1.0\n'
RELEASE_TIMEOUT_S = 30.0
DECODE_TOKENS_PER_S = 20
ANSWER_TOKENS = 40


class AttemptFleet:
    """The processes, and the relays between the node and the engines."""

    def __init__(self):
        self.fleet = Fleet()
        self.relays = RelayThread()
        self.fleet.start_platform()
        for _ in range(2):
            self.fleet.start_engine(f"--decode-tokens-per-s={DECODE_TOKENS_PER_S}")
        self.fleet.start_nodes([ZONES[0]])
        self.engines = tuple(self.fleet.engines)
        self.relays_by_engine = {
            e.name: self.relays.start(e.port) for e in self.engines
        }
        self.fleet.engines = [
            replace(e, port=self.relays_by_engine[e.name].port) for e in self.engines
        ]
        overlay = overlay_text(self.fleet)
        base = base_text().replace('model = "compliance"\n', STALL_TIMEOUT_CONFIG)
        folder = self.fleet.write_config(base, overlay)
        applied = self.fleet.ctl("config", "apply", str(folder))
        assert applied.returncode == 0, applied.stderr

    @property
    def node(self) -> Process:
        """Return the node."""
        return self.fleet.nodes[0]

    def busy_engine(self) -> Process:
        """Return the engine that holds memory for an attempt."""
        return next(e for e in self.engines if self.used_tokens(e))

    def relay(self, engine: Process) -> Relay:
        """Return the relay before an engine."""
        return self.relays_by_engine[engine.name]

    def used_tokens(self, engine: Process) -> int:
        """Return the tokens in use in an engine's memory ledger."""
        return http("GET", f"{engine.url}/control/ledger").json()["used_tokens"]

    def inject_fault(self, fault: str) -> None:
        """Inject a fault into the engine that runs an attempt, or into the node."""
        engine = self.busy_engine()
        relay = self.relay(engine)
        match fault:
            case "a cut of open connections":
                self.relays.set_mode(relay, RelayMode.CUT)
                self.relays.set_mode(relay, RelayMode.PASS)
            case "a silence of open connections":
                self.relays.set_mode(relay, RelayMode.STALL_OPEN)
            case "a silence of one engine":
                self.relays.set_mode(relay, RelayMode.STALL_ALL)
            case "a frozen engine":
                engine.popen.send_signal(SIGSTOP)
            case "a pause of the node":
                self.pause_node(2.0)
            case "a killed engine":
                engine.kill()
            case _:
                raise AssertionError(fault)

    def pause_node(self, seconds: float) -> None:
        """Suspend the node's process for a time, in seconds."""
        self.node.popen.send_signal(SIGSTOP)
        sleep(seconds)
        self.node.popen.send_signal(SIGCONT)

    def recover(self) -> None:
        """End the faults of all relays and engines that still run."""
        for engine in self.engines:
            self.relays.set_mode(self.relay(engine), RelayMode.PASS)
            engine.popen.send_signal(SIGCONT)

    def wait_released(self) -> None:
        """Wait until neither the node nor a running engine holds anything."""
        deadline_s = monotonic() + RELEASE_TIMEOUT_S
        while monotonic() < deadline_s:
            held = self.holdings()
            if not any(held):
                return
            sleep(0.1)
        raise AssertionError(f"still held: {held}")

    def holdings(self) -> tuple:
        """Return what is held, as values that are false when empty."""
        state = self.fleet.state(self.node)
        running = [e for e in self.engines if e.popen.poll() is None]
        # Releases to a killed engine are retried until their expiry.
        pending = len(running) == len(self.engines) and state["PendingReleases"]
        return (
            state["InFlightWork"]["by_upstream"],
            state["AdmittedRequests"],
            pending,
            *(self.used_tokens(engine) for engine in running),
        )

    def stop(self) -> None:
        """Stop the processes and the relays."""
        self.fleet.stop()
        self.relays.stop()


@dataclass
class OpenCompletion:
    """A requested completion whose answer is read in steps."""

    completion: Completion
    connection: HTTPConnection
    response: object = None

    def read_head(self) -> None:
        """Wait for the head of the answer."""
        self.response = self.connection.getresponse()

    def read_first_event(self) -> bytes:
        """Read the first event."""
        return self.response.readline() + self.response.readline()

    def read_rest(self) -> bytes:
        """Read to the end."""
        return self.response.read()


def send_completion(node: Process, form: str, headers=None) -> OpenCompletion:
    """Request a completion from a node."""
    completion = Completion(
        "Season audit", ANSWER_TOKENS, is_streamed=form == "streamed"
    )
    connection = HTTPConnection("127.0.0.1", node.port, timeout=60.0)
    authorization = {"Authorization": f"Bearer {account_key('tube-mills')}"}
    connection.request(
        "POST",
        completion.path(),
        completion.body(),
        {**authorization, **(headers or {})},
    )
    return OpenCompletion(completion, connection)


def last_event(body: bytes):
    """Return the last event of a stream."""
    lines = [line for line in body.split(b"\n") if line]
    return json.decode(lines[-1].removeprefix(b"data: "))
