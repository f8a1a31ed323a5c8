"""Starts nodes as the deploy file says, and plays a case."""

from asyncio import CancelledError, current_task, get_running_loop, run, sleep
from collections.abc import Awaitable, Callable
from os import environ
from pathlib import Path
from random import randrange
from signal import SIGCONT, SIGKILL, SIGTERM
from socket import SOCK_DGRAM, SOCK_STREAM, socket
from subprocess import Popen
from tempfile import TemporaryDirectory
from time import monotonic
from traceback import format_exc
from typing import Any

from stands.http import Channel, Cut

ROOT = Path(__file__).parents[2]
COMMAND = ("python3", "-S", "-m", "lagoonhinge_platform")
PORTS = range(30_100, 32_700)  # not those of the features, below the ephemeral ones
HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = environ.get("TROUBLE", "1") != "0"
# As on the sheet of `wapso-tubeline`.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stabilityMs": 3000,
    "ackMs": 4000,
    "catchupS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": "true",
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 106,
    "recoverS": 12,
    "passMs": 120,
    "againS": 0,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "freeMs": 4000,
    "idleMaxMs": 9000,
}
MEMORY_MB = 300
used_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free for TCP and UDP and was not returned before."""
    while True:
        port = randrange(PORTS.start, PORTS.stop)
        if port in used_ports:
            continue
        with socket(type=SOCK_STREAM) as tcp, socket(type=SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        used_ports.add(port)
        return port


class Record:
    """Writes what happens, with the time since the start of the case.

    Args:
        path: The file.
    """

    def __init__(self, path: Path):
        self.started_s = monotonic()
        self.file = path.open("w", encoding="utf-8")

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{monotonic() - self.started_s:8.3f} {event} {text}\n")
        self.file.flush()


class Node:
    """One machine with its node.

    Args:
        name: Name of the machine.
        zone: Its zone.
        store_port: Port of the store.
        folder: Folder for its settings and log.
        record: The record of the case.
    """

    def __init__(
        self, name: str, zone: str, store_port: int, folder: Path, record: Record
    ):
        self.name, self.zone, self.record = name, zone, record
        self.port, self.ready_port = free_port(), free_port()
        self.metrics_port, peer_port = free_port(), free_port()
        self.settings, self.log = folder / f"{name}.conf", folder / f"{name}.log"
        self.process: Popen[bytes] | None = None
        fields: dict[str, Any] = {
            "node": name,
            "role": "node",
            "machineClass": "front",
            "serves": "front,control",
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "perth",
            "listen.front": f"127.0.0.1:{self.port}",
            "listen.ready": f"127.0.0.1:{self.ready_port}",
            "listen.control": f"127.0.0.1:{free_port()}",
            "portRange": f"{peer_port},{peer_port}",
            "bootstrap": "true",
            "limits.memoryMb": MEMORY_MB,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "platform.address": f"127.0.0.1:{store_port}",
            "platform.form": "table",
        }
        for key, value in BOUNDS.items():
            fields[f"bounds.{key}"] = value
        lines = (f"{key}={value}\n" for key, value in fields.items())
        self.settings.write_text("".join(lines))

    def start(self) -> None:
        """Start the process."""
        kept = {n: environ[n] for n in ("PATH", "HOME", "LANG") if n in environ}
        environment = {
            **kept,
            "PYTHONPATH": "target/deps",
            "LAGOONHINGE_BOOT": str(self.settings),
            "LAGOONHINGE_METRICS_PORT": str(self.metrics_port),
        }
        with self.log.open("ab") as log:
            self.process = Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("node_started", node=self.name, pid=self.process.pid)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write("signal", node=self.name, number=int(number))
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.is_running():
            self.process.send_signal(SIGCONT)
            self.process.send_signal(SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        channel = Channel(self.ready_port)
        try:
            answer = await channel.send("GET", "/lagoonhinge/readyz", {"Host": "n"})
            return answer.status == 200
        except Cut:
            return False
        finally:
            channel.close()


async def wait_ready(nodes: list[Node], limit_s: float = 20.0) -> None:
    """Wait until all nodes say that they are ready.

    Raises:
        TimeoutError: If one doesn't in time.
    """
    end_s = monotonic() + limit_s
    while not all([await node.is_ready() for node in nodes]):
        if monotonic() > end_s:
            raise TimeoutError("a node is not ready")
        await sleep(0.05)


Play = Callable[[Path, Record, list[Node]], Awaitable[bool]]


def run_case(folder: Path, play: Play) -> int:
    """Play a case; return the exit status.

    Args:
        folder: Folder of the case.
        play: Plays it with a temporary folder, the record, and a list for its nodes;
            returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    nodes: list[Node] = []

    async def main(temporary: Path) -> int:
        task = current_task()
        assert task is not None
        get_running_loop().add_signal_handler(SIGTERM, task.cancel)
        try:
            return HELD if await play(temporary, record, nodes) else BROKEN
        finally:
            for node in nodes:
                node.end()
            for node in nodes:
                if node.log.exists():
                    text = node.log.read_text(errors="replace")
                    errors = [x for x in text.splitlines() if '"error"' in x]
                    for line in errors[:5]:
                        record.write("log", node=node.name, line=line)

    with TemporaryDirectory(prefix="review-") as temporary:
        try:
            status = run(main(Path(temporary)))
        except (Exception, CancelledError):
            record.write("could_not_run", error=format_exc())
            status = NOT_RUN
    record.write("exit", status=status, trouble=HAS_TROUBLE)
    return status
