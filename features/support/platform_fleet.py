"""Nodes on the platform, with stand-ins for its store and workers, for a scenario."""

from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from os import environ
from subprocess import DEVNULL, PIPE, Popen
from sys import executable

from msgspec import json

from features.support.fleet import OWN_GROUP, PORTS, Fleet, HttpAnswer, Process, http
from features.support.waiting import eventually
from lagoonhinge_platform.names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    DEADLINE_MS,
    READY_PATH,
    SETTINGS_VARIABLE,
    TOKEN_COUNTS,
)

HOST = "desk.example"
ACCOUNT = "member-firm"
KEY = "key-of-the-member-firm"
# Fast, so that a prompt over its memory is prefilled within the route's timeout.
ENGINE = {
    "slots": 8,
    "kvTokens": 400_000,
    "stride": 34,
    "step_ms": 1.31,
    "read_per_s": 3_080_000.0,
    "pairs_per_m": 0.0081,
    "chunk": 2048,
}
ROUTE_KINDS = {
    "/read/": {"kind": "idempotent", "service": "desk", "maxAttempts": 2},
    "/order/": {"kind": "non_idempotent", "service": "desk"},
    "/stream/": {
        "kind": "stream",
        "service": "models",
        "resumable": True,
        "gapAimMs": 250,
        "maxAttempts": 2,
    },
    "/stream/once/": {"kind": "stream", "service": "models", "gapAimMs": 250},
}
BOUNDS = {
    "revokeMs": 5000,
    "graceS": 8,
    "drainMs": 2000,
    "budgetWindowS": 10,
    "budgetRatio": 0.2,
    "budgetExtra": 106,
}


def config(version: int = 1, **changes) -> dict:
    """Return a configuration in the operator's format."""
    routes = [
        {
            "name": prefix,
            "host": HOST,
            "prefix": prefix,
            "timeoutMs": 3000,
            "targetLatencyMs": 200,
            "priority": 1,
            "public": False,
            **kind,
        }
        for prefix, kind in ROUTE_KINDS.items()
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "maxConnections": 100},
            {"name": "models", "maxConnections": 100, "engine": ENGINE},
        ],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 65_536},
        "tenants": [{"name": ACCOUNT, "apiKeys": [KEY]}],
        **changes,
    }


@dataclass
class PlatformNode(Process):
    """A node of a scenario; `control_port` is its port for readiness checks."""

    operator_port: int = 0


@dataclass(eq=False)
class PlatformFleet(Fleet):
    """The processes of one scenario on the platform.

    Attributes:
        module_path: Module search path of the next nodes; empty for this version.
    """

    module_path: str = ""
    workers: dict[str, Process] = field(default_factory=dict)
    store: Process | None = None

    def start_store(self) -> None:
        """Start the store; `wait_started` waits until it answers."""
        self.store = self._start_stand_in("store", "platform_store", ())

    def start_worker(self, instance: str) -> None:
        """Start a worker; `wait_started` waits until it answers."""
        flags = (f"--instance={instance}",)
        self.workers[instance] = self._start_stand_in(
            instance, "platform_worker", flags
        )

    def list_worker(self, instance: str, service: str, **changes) -> None:
        """Write a worker's entry."""
        entry = {
            "service": service,
            "address": f"127.0.0.1:{self.workers[instance].port}",
            "zone": "north",
            "slots": 8,
            "state": "ready",
            "born": 1,
            **changes,
        }
        self.put_row("servers", instance, json.encode(entry))

    def put_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row of the store."""
        url = f"{self.store.url}/control/rows/{table}/{key}"
        assert http("PUT", url, value).status == 200

    def drop_row(self, table: str, key: str) -> None:
        """Remove a row of the store."""
        url = f"{self.store.url}/control/rows/{table}/{key}"
        assert http("DELETE", url).status == 200

    def put_config(self, **changes) -> None:
        """Write the configuration."""
        self.put_row("op", "config", json.encode(config(**changes)))

    def settings(self, name: str, **changes: str) -> str:
        """Return the text of a node's settings file."""
        fields = {
            "node": name,
            "ip": "127.0.0.1",
            "zone": "north",
            "heartbeatMs": "1200",
            "platform.address": f"127.0.0.1:{self.store.port}",
            **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()},
            **changes,
        }
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    def start_platform_node(
        self, unread_log: bool = False, **changes: str
    ) -> PlatformNode:
        """Start one node with a settings file.

        Args:
            unread_log: Whether its log goes to a pipe that is not read.
            **changes: Changes of its settings.
        """
        name = f"front-{len(self.nodes)}"
        port, ready, control, peers = (PORTS.allocate() for _ in range(4))
        path = self.path / f"{name}.conf"
        path.write_text(
            self.settings(
                name,
                **{
                    "listen.front": f"127.0.0.1:{port}",
                    "listen.ready": f"127.0.0.1:{ready}",
                    "listen.control": f"127.0.0.1:{control}",
                    "portRange": f"{peers},{peers + 1}",
                    **changes,
                },
            )
        )
        arguments = ("-m", "lagoonhinge_platform")
        environment = {SETTINGS_VARIABLE: str(path)}
        if self.module_path:
            environment["PYTHONPATH"] = self.module_path
        if unread_log:
            popen = Popen(
                (executable, *arguments),
                env={**environ, **environment},
                stdin=DEVNULL,
                stdout=PIPE,
                stderr=DEVNULL,
                process_group=OWN_GROUP,
            )
            node = PlatformNode(name, port, popen, self.path / "unread.log")
            self.processes.append(node)
        else:
            started = self._spawn(name, port, arguments, environment)
            node = PlatformNode(name, port, started.popen, started.log)
        node.control_port = ready
        node.operator_port = control
        self.nodes.append(node)
        return node

    def is_ready(self, node: Process) -> bool:
        """Return whether a node reports that it is ready."""
        url = f"http://127.0.0.1:{node.control_port}{READY_PATH}"
        return http("GET", url, timeout_s=2.0).status == 200

    def wait_ready(self, node: Process) -> None:
        """Wait until a node is ready and has logged every worker."""

        def check() -> None:
            log = node.log.read_text()
            assert self.is_ready(node), f"not ready\n{log[-2000:]}"
            missing = [n for n in self.workers if f'"upstream":"{n}"' not in log]
            assert not missing, f"{missing} not logged\n{log[-2000:]}"

        eventually(check)

    def wait_listening(self, node: Process) -> None:
        """Wait until a node answers readiness checks, ready or not."""
        eventually(lambda: self.is_ready(node) or None)

    def worker_record(self, instance: str) -> dict:
        """Return the requests and orders that a worker recorded."""
        return self.workers[instance].get_json("control/seen")

    def runs(self, service_instances: tuple[str, ...] = ()) -> list[dict]:
        """Return all runs of the named workers, or of all."""
        names = service_instances or tuple(self.workers)
        return [run for name in names for run in self.worker_record(name)["runs"]]


def send(
    node: Process,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
    max_bytes: int | None = None,
) -> HttpAnswer | None:
    """Send a client's request unchanged; `None` without a complete answer.

    With `max_bytes`, the client leaves after so many bytes of the body.
    """
    connection = HTTPConnection("127.0.0.1", node.port, timeout=timeout_s)
    connection.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
    sent = {"Host": HOST, **client_headers(), **(headers or {})}
    for name, value in sent.items():
        if value:
            connection.putheader(name, value)
    if body:
        connection.putheader("Content-Length", str(len(body)))
    try:
        connection.endheaders(body or None)
        answer = connection.getresponse()
        return HttpAnswer(
            answer.status, dict(answer.getheaders()), answer.read(max_bytes)
        )
    except (HTTPException, OSError):
        return None
    finally:
        connection.close()


def client_headers(request_id: str = "attempt-1", limit_ms: int = 2500) -> dict:
    """Return the headers that clients of the platform send."""
    return {
        ATTEMPT_ID: request_id,
        DEADLINE_MS: str(limit_ms),
        AUTHORIZATION: f"Bearer {KEY}",
        TOKEN_COUNTS: "4960,100",
    }
