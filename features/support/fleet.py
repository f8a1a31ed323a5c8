"""Starts and stops processes on loopback for a scenario or the demo."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import sha256
from os import environ
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGTERM
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from ssl import create_default_context
from subprocess import DEVNULL, Popen, run
from sys import executable
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from urllib.error import HTTPError, URLError
from urllib.request import Request, urlopen

from msgspec import json

OPERATOR_TOKEN = "operator-token-for-tests"
PEER_SECRET = "peer-secret-for-the-tests"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 60.0
PORT_VARIABLE = "LAGOONHINGE_TEST_PORTS"
PORTS_PER_FEATURE = 600
FIRST_PORT = 12_000  # below the ephemeral port range of the kernel
SITE = "perth"
# Value of `Popen` for a process group of its own. When the shell that started the tests
# ends, the kernel continues all stopped processes of the group that it leaves behind.
OWN_GROUP = 0
ZONES = ("perth-north", "perth-east", "perth-south")


@dataclass(frozen=True)
class HttpAnswer:
    """A complete HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the body, decoded from JSON."""
        return json.decode(self.body)


def http(
    method, url, body=None, headers=None, timeout_s=30.0, tls_ca=None
) -> HttpAnswer:
    """Send one request and return its answer, whatever its status."""
    request = Request(url, data=body, method=method, headers=headers or {})
    ssl_context = None if tls_ca is None else create_default_context(cafile=tls_ca)
    try:
        with urlopen(request, timeout=timeout_s, context=ssl_context) as answer:
            return HttpAnswer(answer.status, dict(answer.headers), answer.read())
    except HTTPError as error:
        return HttpAnswer(error.code, dict(error.headers), error.read())


class PortRange:
    """Allocates free ports; the process of each feature has its own range."""

    def __init__(self):
        self.first_port = int(environ.get(PORT_VARIABLE, FIRST_PORT))
        self.allocated = 0

    def allocate(self) -> int:
        """Return the next port that can be bound; the range starts again at its end."""
        while True:
            port = self.first_port + self.allocated % PORTS_PER_FEATURE
            self.allocated += 1
            with socket(AF_INET, SOCK_STREAM) as probe:
                probe.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port


PORTS = PortRange()


@dataclass
class Process:
    """A started process."""

    name: str
    port: int
    popen: Popen
    log: Path
    control_port: int = 0

    @property
    def url(self) -> str:
        """Return the base URL of the process."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def control_address(self) -> str:
        """Return the address of a node's control listener."""
        return f"127.0.0.1:{self.control_port}"

    def kill(self) -> None:
        """Kill the process."""
        self.popen.send_signal(SIGKILL)
        self.popen.wait()

    def terminate(self) -> int:
        """Stop the process gracefully and return its exit status."""
        self.popen.send_signal(SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)

    def get_json(self, path: str) -> dict:
        """Return the JSON that a stand-in serves under a path."""
        return http("GET", f"{self.url}/{path}").json()

    def put_faults(self, **faults) -> None:
        """Set the faults of a stand-in."""
        answer = http("PUT", f"{self.url}/control/faults", json.encode(faults))
        assert answer.status == 200, answer


RUNNING_FLEETS: list["Fleet"] = []


def stop_all_fleets() -> None:
    """Stop every fleet, including those whose start failed."""
    while RUNNING_FLEETS:
        RUNNING_FLEETS[-1].stop()


@dataclass(eq=False)
class Fleet:
    """The processes of one scenario."""

    site: str = SITE
    processes: list[Process] = field(default_factory=list)
    nodes: list[Process] = field(default_factory=list)
    engines: list[Process] = field(default_factory=list)
    services: list[Process] = field(default_factory=list)
    starting_urls: list[str] = field(default_factory=list)

    def __post_init__(self):
        RUNNING_FLEETS.append(self)
        self.config_folder = None
        self.tls_ca = None
        self.temporary_folder = TemporaryDirectory(prefix="lagoonhinge-")
        self.path = Path(self.temporary_folder.name)
        self.platform = None

    def start_platform(self, *flags: str) -> Process:
        """Start the platform stand-in; `wait_started` waits until it answers."""
        self.platform = self._start_stand_in("platform", "platform", flags)
        return self.platform

    def start_engine(self, *flags: str) -> Process:
        """Start one engine stand-in."""
        engine = self._start_stand_in(f"engine-{len(self.engines)}", "engine", flags)
        self.engines.append(engine)
        return engine

    def start_service(self) -> Process:
        """Start one plain service stand-in."""
        service = self._start_stand_in(f"registry-{len(self.services)}", "plain", ())
        self.services.append(service)
        return service

    def start_nodes(self, zones: Sequence[str], *flags: str) -> list[Process]:
        """Start one node in each zone, all peers of each other."""
        self.wait_started()
        ports = [(PORTS.allocate(), PORTS.allocate()) for _ in zones]
        peers = ",".join(f"127.0.0.1:{control_port}" for _, control_port in ports)
        for zone, (port, control_port) in zip(zones, ports, strict=True):
            self.start_node(zone, port, control_port, peers, *flags)
        self.wait_started()
        return self.nodes

    def start_node(
        self, zone: str, port: int, control_port: int, peers: str, *flags: str
    ) -> Process:
        """Start one node; `wait_started` waits until it answers."""
        name = f"node-{port}"
        environment = {
            "LAGOONHINGE_OPERATOR_TOKEN": OPERATOR_TOKEN,
            "LAGOONHINGE_PEER_SECRET": PEER_SECRET,
        }
        arguments = (
            f"--listen=127.0.0.1:{port}",
            f"--control-listen=127.0.0.1:{control_port}",
            f"--site={self.site}",
            f"--zone={zone}",
            f"--vm={name}",
            f"--platform-url={self.platform.url}",
            f"--peer={peers}",
            "--balancer-lag-s=0.2",
            *flags,
        )
        process = self._spawn(
            name, port, ("-m", "lagoonhinge_node.main", *arguments), environment
        )
        process.control_port = control_port
        self.nodes.append(process)
        scheme = "http" if self.tls_ca is None else "https"
        self.starting_urls.append(f"{scheme}://{process.control_address}/healthz")
        return process

    def write_config(self, base: str, overlay: str) -> Path:
        """Write a configuration and return its folder."""
        folder = self.path / "config"
        (folder / "sites").mkdir(parents=True, exist_ok=True)
        (folder / "base.toml").write_text(base)
        (folder / "sites" / f"{self.site}.toml").write_text(overlay)
        return folder

    def ctl(self, *arguments: str, timeout_s: float = 30.0):
        """Run `lagoonctl` against this fleet and return the finished process."""
        environment = {
            **environ,
            "LAGOONHINGE_PLATFORM_URL": self.platform.url if self.platform else "",
            "LAGOONHINGE_NODES": ",".join(node.control_address for node in self.nodes),
            "LAGOONHINGE_OPERATOR_TOKEN": OPERATOR_TOKEN,
        }
        return run(
            (executable, "-m", "lagoonhinge_ctl.main", *arguments),
            env=environment,
            capture_output=True,
            text=True,
            timeout=timeout_s,
            check=False,
        )

    def state(self, node: Process) -> dict:
        """Return the state dump of a node."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return http(
            "GET", f"http://{node.control_address}/state", headers=headers
        ).json()

    def wait_started(self) -> None:
        """Wait until every process started so far answers."""
        while self.starting_urls:
            self.wait_for(self.starting_urls.pop())

    def wait_for(self, url: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a URL answers with success."""
        deadline_s = monotonic() + timeout_s
        while monotonic() < deadline_s:
            try:
                if http("GET", url, timeout_s=2.0, tls_ca=self.tls_ca).status == 200:
                    return
            except (URLError, OSError):
                pass
            sleep(0.05)
        logs = "\n".join(p.log.read_text()[-2000:] for p in self.processes)
        raise AssertionError(f"{url} did not answer in {timeout_s} s\n{logs}")

    def stop(self) -> None:
        """Kill every process."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.popen.send_signal(SIGCONT)
                process.kill()
        self.temporary_folder.cleanup()
        if self in RUNNING_FLEETS:
            RUNNING_FLEETS.remove(self)

    def _start_stand_in(self, name: str, module: str, flags) -> Process:
        port = PORTS.allocate()
        process = self._spawn(
            name, port, ("-m", f"stand_ins.{module}", f"--port={port}", *flags), {}
        )
        path = "vms" if module == "platform" else "healthz"
        self.starting_urls.append(f"{process.url}/{path}")
        return process

    def _spawn(self, name: str, port: int, arguments, environment) -> Process:
        log = self.path / f"{name}.log"
        with log.open("ab") as log_file:
            popen = Popen(
                (executable, *arguments),
                env={**environ, **environment},
                stdin=DEVNULL,
                stdout=log_file,
                stderr=log_file,
                process_group=OWN_GROUP,
            )
        process = Process(name, port, popen, log)
        self.processes.append(process)
        return process


def account_key(name: str) -> str:
    """Return the bearer key of a test account."""
    return f"demo-key-{name}"


def overlay_text(fleet: Fleet, zone: str = ZONES[0], engine_settings: str = "") -> str:
    """Return an overlay with two accounts and all stand-ins in one zone."""
    lines = [f"zones = {json.encode(ZONES).decode()}", ""]
    for name in ("tube-mills", "auditors"):
        digest = sha256(account_key(name).encode()).hexdigest()
        lines += [f"[accounts.{name}]", f'key_sha256 = "{digest}"', ""]
    for upstreams, service in (
        (fleet.engines, "assistant"),
        (fleet.services, "registry"),
    ):
        for upstream in upstreams:
            lines += [
                f"[upstreams.{upstream.name}]",
                f'url = "{upstream.url}"',
                f'zone = "{zone}"',
                f'service = "{service}"',
            ]
            if service == "assistant":
                lines += ["kv_tokens = 400_000", engine_settings]
            lines.append("")
    return "\n".join(lines)


def base_text() -> str:
    """Return the example base file."""
    return (Path(__file__).parents[2] / "examples" / "base.toml").read_text()
