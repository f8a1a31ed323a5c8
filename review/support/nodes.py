"""Starts the nodes of a case as the deploy file says, each as a process of its own."""

from asyncio import sleep
from os import environ
from pathlib import Path
from random import randrange
from signal import SIGCONT, SIGKILL, SIGTERM
from socket import SOCK_DGRAM, SOCK_STREAM, socket
from subprocess import Popen
from time import monotonic

from support.clients import Channel
from support.record import Record

ROOT = Path(__file__).parents[2]
COMMAND = ("python3", "-S", "-m", "lagoonhinge_platform")
FIRST_PORT, LAST_PORT = 30_100, 32_700
TAKEN_PORTS: set[int] = set()  # by the nodes of this case, also before they start
READY_PATH = "/lagoonhinge/readyz"
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


def free_port() -> int:
    """Return a port below the ephemeral range that is free for TCP and UDP."""
    while True:
        port = randrange(FIRST_PORT, LAST_PORT)
        if port in TAKEN_PORTS:
            continue
        with socket(type=SOCK_STREAM) as tcp, socket(type=SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            TAKEN_PORTS.add(port)
            return port


class Node:
    """One machine with its node.

    Args:
        name: Name of the machine.
        zone: Its zone.
        store_port: Port of the platform's store.
        folder: Folder for its settings and log.
        record: The record of the case.
    """

    def __init__(
        self, name: str, zone: str, store_port: int, folder: Path, record: Record
    ):
        self.name = name
        self.zone = zone
        self.port, self.ready_port, control, peers = (free_port() for _ in range(4))
        self.metrics_port = free_port()
        self.record = record
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process: Popen[bytes] | None = None
        fields = {
            "node": name,
            "role": "node",
            "machineClass": "front",
            "serves": "front,control",
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "perth",
            "listen.front": f"127.0.0.1:{self.port}",
            "listen.ready": f"127.0.0.1:{self.ready_port}",
            "listen.control": f"127.0.0.1:{control}",
            "portRange": f"{peers},{peers}",
            "discovery": "platform",
            "heartbeatMs": 1200,
            "platform.address": f"127.0.0.1:{store_port}",
            "platform.form": "table",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }
        self.settings.write_text(
            "".join(f"{key}={value}\n" for key, value in fields.items())
        )

    def start(self) -> None:
        """Start the process, as the platform does."""
        environment = {
            name: environ[name] for name in ("PATH", "HOME", "LANG") if name in environ
        }
        environment |= {
            "PYTHONPATH": "target/deps",
            "LAGOONHINGE_BOOT": str(self.settings),
            "LAGOONHINGE_METRICS_PORT": str(self.metrics_port),
        }
        with self.log.open("ab") as log:
            self.process = Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("start", node=self.name, pid=self.process.pid)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        assert self.process is not None
        self.record.write("SIGKILL", node=self.name)
        self.process.send_signal(SIGKILL)
        self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM."""
        assert self.process is not None
        self.record.write("SIGTERM", node=self.name)
        self.process.send_signal(SIGTERM)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.is_running():
            self.process.send_signal(SIGCONT)
            self.process.send_signal(SIGKILL)
            self.process.wait()

    def record_errors(self) -> None:
        """Write the end of the process and the first errors in its log."""
        status = None if self.process is None else self.process.returncode
        self.record.write("ended", node=self.name, status=status)
        lines = self.log.read_text(errors="replace").splitlines()
        for line in lines[-3:]:
            if not line.startswith("{"):
                self.record.write("log", node=self.name, line=line)
        for line in [text for text in lines if '"level":"error"' in text][:5]:
            self.record.write("log", node=self.name, line=line)

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        channel = Channel(self.ready_port)
        try:
            answer = await channel.send("GET", READY_PATH, {"Host": "node"}, 1.0)
            return answer.status == 200
        finally:
            channel.close()


async def wait_ready(nodes: list[Node], limit_s: float = 20.0) -> bool:
    """Wait until all nodes say that they are ready; return whether they did."""
    end_s = monotonic() + limit_s
    while monotonic() < end_s:
        if all([await node.is_ready() for node in nodes]):
            return True
        await sleep(0.05)
    return False
