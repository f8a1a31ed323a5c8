"""Operators, a platform in memory and nodes, to step a configuration change by hand."""

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
from lagoonhinge_ctl.accept import NotAccepted, accept_config, bundle_source
from lagoonhinge_http.wire import decode
from lagoonhinge_node.config_controller import COLLECT_S, ConfigController

SITE = "perth"
NODES = ("north", "east", "south")


def source(number: int, overlay: str = 'zones = ["z"]') -> ConfigSource:
    """Return a configuration that differs by its number."""
    return ConfigSource(f"# change {number}\n{base_text()}", {SITE: overlay})


def digest_of(wanted: ConfigSource) -> str:
    """Return the digest under which a configuration is accepted."""
    return bundle_source(wanted).unwrap().manifest.digest


class ManualClock:
    """A clock that moves when told."""

    def __init__(self):
        self.now_s = 0.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s


@dataclass
class Faults:
    """Faults of the platform in force; `once` is for the next call of a kind."""

    down: bool = False
    objects_down: bool = False
    once: str = ""


class MemoryPlatform:
    """Table and object store; calls `hook` as each step of a change is reached."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.accepted: dict[int, AcceptedConfig] = {}
        self.held: list[tuple[str, str, int]] = []
        self.faults = Faults()
        self.hook: Callable[[str], Awaitable[None]] | None = None

    async def reach(self, step: str) -> None:
        if self.hook is not None:
            await self.hook(step)

    def apply_write(self, key: str, value: str, if_version: int) -> Row | None:
        """Write conditionally, and keep every accepted version for the oracle."""
        current = self.rows.get(key, Row(key, 0, ""))
        if current.version != if_version:
            return None
        self.rows[key] = Row(key, if_version + 1, value)
        self.accepted[if_version + 1] = decode(value, AcceptedConfig)
        return self.rows[key]

    def deliver_held(self) -> None:
        """Let the writes that were held up on their way arrive."""
        for write in self.held:
            self.apply_write(*write)
        self.held.clear()

    def _take_once(self, fault: str) -> bool:
        if self.faults.once != fault:
            return False
        self.faults.once = ""
        return True


class Access:
    """One caller's way to the platform, which may be cut off."""

    def __init__(self, platform: MemoryPlatform, who: str):
        self.platform = platform
        self.who = who
        self.cut = False

    def _is_down(self) -> bool:
        return self.cut or self.platform.faults.down

    async def read(self, key):
        platform = self.platform
        old = platform.rows.get(key, Row(key, 0, ""))
        await platform.reach(f"{self.who} row read")
        if self._is_down() or platform._take_once("reply lost"):
            return Failure(Unavailable("down", False))
        if platform._take_once("late reply"):
            return Success(old)
        return Success(platform.rows.get(key, Row(key, 0, "")))

    async def write(self, key, value, if_version):
        platform = self.platform
        await platform.reach(f"{self.who} row write")
        if self._is_down():
            return Failure(Unavailable("down", True))
        if platform._take_once("held up"):
            platform.held.append((key, value, if_version))
            return Failure(Unavailable("timeout", True))
        row = platform.apply_write(key, value, if_version)
        await platform.reach(f"{self.who} row write reply")
        if self._is_down() or platform._take_once("reply lost"):
            return Failure(Unavailable("cut", True))
        return Success(row) if row else Failure(Conflict(platform.rows[key]))

    async def put(self, name, content):
        platform = self.platform
        await platform.reach(f"{self.who} blob put")
        if self._is_down() or platform.faults.objects_down:
            return Failure(Unavailable("down", True))
        platform.objects[name] = content
        await platform.reach(f"{self.who} blob put reply")
        if self._is_down() or platform._take_once("reply lost"):
            return Failure(Unavailable("cut", True))
        return Success(None)

    async def get(self, name):
        platform = self.platform
        await platform.reach(f"{self.who} blob get")
        is_lost = platform._take_once("reply lost")
        if self._is_down() or platform.faults.objects_down or is_lost:
            return Failure(Unavailable("down", False))
        if platform._take_once("late reply"):
            return Success(b"an old answer")
        content = platform.objects.get(name)
        return Success(content) if content is not None else Failure(NotStored(name))


class SimConfigNode:
    """One run of a node's configuration controller."""

    def __init__(self, world: "ConfigWorld", vm: str):
        self.vm = vm
        self.world = world
        self.access = Access(world.platform, "node")
        self.board = Blackboard()
        self.controller = ConfigController(
            self.board,
            self.access,
            self.access,
            self,
            world.clock,
            Random(vm),
            SITE,
            2.0,
        )
        self.cut = False
        self.greatest = 0
        self.controller.on_adopted.append(lambda _: self.check())

    async def fetch_config(self, address, timeout_s):
        """Answer as the peers' client of this node."""
        peer = self.world.nodes[address]
        known = peer.controller.known
        if self.cut or peer.cut or known is None:
            return Failure(PeerUnreachable(address, "cut off"))
        return Success(known)

    async def fetch_blob(self, address, digest, timeout_s):
        """Answer as the peers' client of this node."""
        peer = self.world.nodes[address]
        blob = peer.controller.blobs.get(digest)
        if self.cut or peer.cut or blob is None:
            return Failure(PeerUnreachable(address, "cut off"))
        return Success(blob)

    @property
    def section(self) -> ConfigSection:
        return self.board.read(ConfigSection)

    async def step(self) -> None:
        """Hear every reachable peer, then look at the row."""
        self.hear_peers()
        await self.controller.poll()
        self.check()

    async def learn(self) -> None:
        """Hear every reachable peer, then fetch from the newest one."""
        self.hear_peers()
        await self.controller.learn()
        self.check()

    def hear_peers(self) -> None:
        """Note the versions of the reachable peers."""
        controller = self.controller
        controller.is_learning = True  # digests are only noted here, not followed
        for address, peer in self.world.nodes.items():
            if peer is not self and not (self.cut or peer.cut):
                controller.follow_digest(
                    PeerDigest(f"{address}/1", 1, address, "z", peer.section.version)
                )
        controller.is_learning = False

    def check(self) -> None:
        """Check that the version never fell and is one that was accepted."""
        section = self.section
        assert section.version >= self.greatest, (section, self.greatest)
        self.greatest = section.version
        if section.version:
            accepted = self.world.platform.accepted[section.version]
            assert accepted.digest == section.digest, section


class ConfigWorld:
    """Three nodes, their platform, and operators."""

    def __init__(self):
        self.runner = Runner()
        self.clock = ManualClock()
        self.platform = MemoryPlatform()
        self.nodes = {vm: SimConfigNode(self, vm) for vm in NODES}
        self.results = []

    def run(self, work):
        return self.runner.run(work)

    async def accept(self, number: int, author: str = "ada", overlay: str = ""):
        """Let an operator accept a configuration."""
        access = Access(self.platform, "operator")
        wanted = source(number, overlay) if overlay else source(number)
        match await access.read(CONFIG_KEY):
            case Success(row):
                result = await accept_config(
                    access, access, wanted, author, row, pause_s=0.0
                )
            case Failure(error):
                result = Failure(NotAccepted(error.reason))
        self.results.append(result)
        return result

    def replace_node(self, vm: str) -> None:
        """Replace a node by a new run that knows nothing."""
        cut = self.nodes[vm].cut
        self.nodes[vm] = SimConfigNode(self, vm)
        self.cut_off(vm, cut)

    def cut_off(self, vm: str, cut: bool = True) -> None:
        """Cut a node off from the platform and its peers, or let it back."""
        self.nodes[vm].cut = cut
        self.nodes[vm].access.cut = cut

    async def overtake(self) -> None:
        """Let a rival's change reach the first node by way of a peer."""
        await self.accept(99, "bob")
        await self.nodes[NODES[1]].step()
        await self.nodes[NODES[0]].learn()
        assert self.nodes[NODES[0]].section.version == 3

    def heal(self) -> None:
        """End every fault; what was held up arrives."""
        self.platform.hook = None
        self.platform.faults = Faults()
        self.platform.deliver_held()
        for vm in self.nodes:
            self.cut_off(vm, False)

    async def step_nodes(self, rounds: int = 1) -> None:
        """Let each node look around."""
        for _ in range(rounds):
            for node in tuple(self.nodes.values()):
                await node.step()
            self.clock.now_s += COLLECT_S

    def row(self) -> AcceptedConfig | None:
        """Return what the row says now."""
        row = self.platform.rows.get(CONFIG_KEY)
        return decode(row.value, AcceptedConfig) if row else None

    def check_settled(self) -> None:
        """Check that the row's configuration is in force on every node."""
        wanted = self.row()
        for node in self.nodes.values():
            found = (node.section.version, node.section.digest)
            expected = (wanted.version, wanted.digest) if wanted else (0, "")
            assert found == expected, (node.vm, found, expected)


def changes_of(world: ConfigWorld) -> set[str]:
    """Return the identities of all changes that were ever accepted."""
    return {accepted.change for accepted in world.platform.accepted.values()}
