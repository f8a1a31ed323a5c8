"""Simulated operators, platform and nodes, to step through a configuration change."""

from asyncio import Runner
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from returns.result import Failure, Success

from features.support.fleet import base_text
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config_load import ConfigSource
from lagoonhinge_core.config_row import CONFIG_KEY, AcceptedConfig
from lagoonhinge_core.peer_messages import PeerDigest, PeerUnreachable
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_core.store_messages import Conflict, NotStored, Row, Unavailable
from lagoonhinge_ctl.config_acceptance import NotAccepted, accept_config, bundle_source
from lagoonhinge_http.wire import decode
from lagoonhinge_node.config_controller import MAX_STARTUP_WAIT_S, ConfigController

SITE = "perth"
NODES = ("north", "east", "south")


def source(number: int, overlay: str = 'zones = ["z"]') -> ConfigSource:
    """Return a configuration with a distinct digest for each number."""
    return ConfigSource(f"# change {number}\n{base_text()}", {SITE: overlay})


def digest_of(wanted: ConfigSource) -> str:
    """Return the digest under which a configuration is accepted."""
    return bundle_source(wanted).unwrap().manifest.digest


class ManualClock:
    """A clock that is set explicitly."""

    def __init__(self):
        self.now_s = 0.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s


@dataclass
class Faults:
    """Current faults of the platform; `once` applies to the next suitable call."""

    down: bool = False
    objects_down: bool = False
    once: str = ""


class MemoryPlatform:
    """Table and object store; calls `hook` at each step of a change."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.accepted: dict[int, AcceptedConfig] = {}
        self.delayed_writes: list[tuple[str, str, int]] = []
        self.faults = Faults()
        self.hook: Callable[[str], Awaitable[None]] | None = None

    async def enter_step(self, step: str) -> None:
        if self.hook is not None:
            await self.hook(step)

    def apply_write(self, key: str, value: str, if_version: int) -> Row | None:
        """Write conditionally, and record every accepted version for the checks."""
        current = self.rows.get(key, Row(key, 0, ""))
        if current.version != if_version:
            return None
        self.rows[key] = Row(key, if_version + 1, value)
        self.accepted[if_version + 1] = decode(value, AcceptedConfig)
        return self.rows[key]

    def deliver_delayed(self) -> None:
        """Apply the delayed writes."""
        for write in self.delayed_writes:
            self.apply_write(*write)
        self.delayed_writes.clear()

    def _consume_fault(self, fault: str) -> bool:
        if self.faults.once != fault:
            return False
        self.faults.once = ""
        return True


class PlatformAccess:
    """One caller's access to the platform, which may be cut off."""

    def __init__(self, platform: MemoryPlatform, caller: str):
        self.platform = platform
        self.caller = caller
        self.is_cut_off = False

    def _is_down(self) -> bool:
        return self.is_cut_off or self.platform.faults.down

    async def read(self, key):
        platform = self.platform
        stale_row = platform.rows.get(key, Row(key, 0, ""))
        await platform.enter_step(f"{self.caller} row read")
        if self._is_down() or platform._consume_fault("reply lost"):
            return Failure(Unavailable("down", False))
        if platform._consume_fault("stale reply"):
            return Success(stale_row)
        return Success(platform.rows.get(key, Row(key, 0, "")))

    async def write(self, key, value, if_version):
        platform = self.platform
        await platform.enter_step(f"{self.caller} row write")
        if self._is_down():
            return Failure(Unavailable("down", True))
        if platform._consume_fault("write delayed"):
            platform.delayed_writes.append((key, value, if_version))
            return Failure(Unavailable("timeout", True))
        row = platform.apply_write(key, value, if_version)
        await platform.enter_step(f"{self.caller} row write reply")
        if self._is_down() or platform._consume_fault("reply lost"):
            return Failure(Unavailable("cut", True))
        return Success(row) if row else Failure(Conflict(platform.rows[key]))

    async def put(self, name, content):
        platform = self.platform
        await platform.enter_step(f"{self.caller} blob put")
        if self._is_down() or platform.faults.objects_down:
            return Failure(Unavailable("down", True))
        platform.objects[name] = content
        await platform.enter_step(f"{self.caller} blob put reply")
        if self._is_down() or platform._consume_fault("reply lost"):
            return Failure(Unavailable("cut", True))
        return Success(None)

    async def get(self, name):
        platform = self.platform
        await platform.enter_step(f"{self.caller} blob get")
        is_lost = platform._consume_fault("reply lost")
        if self._is_down() or platform.faults.objects_down or is_lost:
            return Failure(Unavailable("down", False))
        if platform._consume_fault("stale reply"):
            return Success(b"an old answer")
        content = platform.objects.get(name)
        return Success(content) if content is not None else Failure(NotStored(name))


class SimulatedNode:
    """One run of a node's configuration controller."""

    def __init__(self, sim: "ConfigSimulation", vm: str):
        self.vm = vm
        self.sim = sim
        self.access = PlatformAccess(sim.platform, "node")
        self.board = Blackboard()
        self.controller = ConfigController(
            self.board,
            self.access,
            self.access,
            self,
            sim.clock,
            Random(vm),
            SITE,
            2.0,
        )
        self.is_cut_off = False
        self.max_version = 0
        self.controller.on_adopted.append(lambda _: self.check())

    async def fetch_config(self, address, timeout_s):
        """Return the peer's reply to this node."""
        peer = self.sim.nodes[address]
        known = peer.controller.current
        if self.is_cut_off or peer.is_cut_off or known is None:
            return Failure(PeerUnreachable(address, "cut off"))
        return Success(known)

    async def fetch_blob(self, address, digest, timeout_s):
        """Return the peer's reply to this node."""
        peer = self.sim.nodes[address]
        blob = peer.controller.blobs.get(digest)
        if self.is_cut_off or peer.is_cut_off or blob is None:
            return Failure(PeerUnreachable(address, "cut off"))
        return Success(blob)

    @property
    def section(self) -> ConfigSection:
        return self.board.read(ConfigSection)

    async def step(self) -> None:
        """Receive the versions of the reachable peers, then poll the row."""
        self.receive_versions()
        await self.controller.poll()
        self.check()

    async def fetch_from_peers(self) -> None:
        """Receive the versions of the reachable peers, then fetch from the newest."""
        self.receive_versions()
        await self.controller.fetch_from_peers()
        self.check()

    def receive_versions(self) -> None:
        """Pass the digests of the reachable peers to the controller."""
        controller = self.controller
        controller.is_fetching = True  # record digests without starting a fetch
        for address, peer in self.sim.nodes.items():
            if peer is not self and not (self.is_cut_off or peer.is_cut_off):
                controller.handle_digest(
                    PeerDigest(f"{address}/1", 1, address, "z", peer.section.version)
                )
        controller.is_fetching = False

    def check(self) -> None:
        """Check that the version never decreases and was accepted."""
        section = self.section
        assert section.version >= self.max_version, (section, self.max_version)
        self.max_version = section.version
        if section.version:
            accepted = self.sim.platform.accepted[section.version]
            assert accepted.digest == section.digest, section


class ConfigSimulation:
    """Three nodes, their platform, and operators."""

    def __init__(self):
        self.runner = Runner()
        self.clock = ManualClock()
        self.platform = MemoryPlatform()
        self.nodes = {vm: SimulatedNode(self, vm) for vm in NODES}
        self.results = []

    def run(self, coroutine):
        return self.runner.run(coroutine)

    async def accept(self, number: int, author: str = "ada", overlay: str = ""):
        """Accept a configuration as an operator."""
        access = PlatformAccess(self.platform, "operator")
        wanted = source(number, overlay) if overlay else source(number)
        match await access.read(CONFIG_KEY):
            case Success(row):
                result = await accept_config(
                    access, access, wanted, author, row, retry_delay_s=0.0
                )
            case Failure(error):
                result = Failure(NotAccepted(error.reason))
        self.results.append(result)
        return result

    def replace_node(self, vm: str) -> None:
        """Replace a node by a new run without a configuration."""
        is_cut_off = self.nodes[vm].is_cut_off
        self.nodes[vm] = SimulatedNode(self, vm)
        self.cut_off(vm, is_cut_off)

    def cut_off(self, vm: str, is_cut_off: bool = True) -> None:
        """Cut a node off from the platform and its peers, or reconnect it."""
        self.nodes[vm].is_cut_off = is_cut_off
        self.nodes[vm].access.is_cut_off = is_cut_off

    async def deliver_newer_change(self) -> None:
        """Deliver a change by another operator to the first node through a peer."""
        await self.accept(99, "bob")
        await self.nodes[NODES[1]].step()
        await self.nodes[NODES[0]].fetch_from_peers()
        assert self.nodes[NODES[0]].section.version == 3

    def end_faults(self) -> None:
        """End every fault and apply the delayed writes."""
        self.platform.hook = None
        self.platform.faults = Faults()
        self.platform.deliver_delayed()
        for vm in self.nodes:
            self.cut_off(vm, False)

    async def step_nodes(self, rounds: int = 1) -> None:
        """Step each node in turn."""
        for _ in range(rounds):
            for node in tuple(self.nodes.values()):
                await node.step()
            self.clock.now_s += MAX_STARTUP_WAIT_S

    def row(self) -> AcceptedConfig | None:
        """Return the current content of the row."""
        row = self.platform.rows.get(CONFIG_KEY)
        return decode(row.value, AcceptedConfig) if row else None

    def check_settled(self) -> None:
        """Check that the row's configuration is in force on every node."""
        wanted = self.row()
        for node in self.nodes.values():
            actual = (node.section.version, node.section.digest)
            expected = (wanted.version, wanted.digest) if wanted else (0, "")
            assert actual == expected, (node.vm, actual, expected)


def changes_of(sim: ConfigSimulation) -> set[str]:
    """Return the identities of all changes that were ever accepted."""
    return {accepted.change for accepted in sim.platform.accepted.values()}
