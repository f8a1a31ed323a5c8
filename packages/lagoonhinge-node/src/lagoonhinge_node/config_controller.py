"""Controller of the configuration: learns versions and adopts greater ones.

Versions come from the platform's row and from peers of any zone. Blobs are read from
the object store or, while that is down, from a peer; their digests vouch for them.
"""

from asyncio import Lock
from collections.abc import Callable, Mapping
from dataclasses import replace
from math import inf
from random import Random

from mode import Service
from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config_row import CONFIG_KEY, AcceptedConfig
from lagoonhinge_core.peer_messages import PeerDigest
from lagoonhinge_core.ports import Clock, ObjectStore, PeerClient, TableStore
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_core.store_messages import Row
from lagoonhinge_http.wire import BadMessage, decode
from lagoonhinge_node.config_assembly import Assembled, ConfigAssembler, Refused
from lagoonhinge_node.logs import PartLogger

POLL_JITTER_SHARE = 0.2
PEER_FETCH_TIMEOUT_S = 3.0
PEERS_ASKED = 3
COLLECT_S = 2.0


class ConfigController(Service):
    """Keeps the newest accepted configuration of the site in force.

    Args:
        board: The blackboard.
        table: Holds the row that names the accepted configuration.
        objects: Holds the blobs.
        peers: Calls to other nodes.
        clock: Source of time.
        random: Source of chance.
        site: Site whose overlay applies.
        poll_s: Mean time between two looks at the row, in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        table: TableStore,
        objects: ObjectStore,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        site: str,
        poll_s: float,
    ):
        super().__init__()
        self.writer = board.writer(ConfigSection(), "config")
        self.board = board
        self.table = table
        self.assembler = ConfigAssembler(objects, peers, site)
        self.peers = peers
        self.clock = clock
        self.random = random
        self.poll_s = poll_s
        self.known: AcceptedConfig | None = None
        self.blobs: Mapping[str, bytes] = {}
        self.refused: AcceptedConfig | None = None
        self.heard: dict[str, int] = {}
        self.first_heard_s: float | None = None
        self.row_version: float = inf
        self.is_learning = False
        self.adopting = Lock()
        self.on_adopted: list[Callable[[ConfigSection], None]] = []
        self.log_part = PartLogger("config")

    async def on_start(self) -> None:
        """Look once before callers are served."""
        await self.poll()

    @Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            spread = self.random.uniform(1 - POLL_JITTER_SHARE, 1 + POLL_JITTER_SHARE)
            await self.sleep(self.poll_s * spread)
            await self.poll()

    async def poll(self) -> None:
        """Read the row and adopt its version if it is greater."""
        match await self.table.read(CONFIG_KEY):
            case Success(row):
                self.row_version = row.version
                await self._follow_row(row)
            case Failure(error):
                self._note(f"the table was not read: {error.reason}", is_new=False)
        await self.learn()

    def follow_digest(self, digest: PeerDigest) -> None:
        """Note the version in force at a peer, and fetch it if it is greater."""
        if digest.config_version <= self._version():
            self.heard.pop(digest.address, None)
            return
        self.heard[digest.address] = digest.config_version
        if self.first_heard_s is None:
            self.first_heard_s = self.clock.monotonic_s()
        if not self.is_learning:
            self.add_future(self.learn())

    async def learn(self) -> None:
        """Fetch the greatest version that peers have, if it is greater."""
        if self.is_learning or self._must_collect():
            return
        self.is_learning = True
        try:
            for address in self._newest_peers():
                match await self.peers.fetch_config(address, PEER_FETCH_TIMEOUT_S):
                    case Success(accepted):
                        if isinstance(await self.adopt(accepted, address), Success):
                            return
                    case Failure(error):
                        self.heard.pop(address, None)
                        self._note(f"peer {address}: {error.reason}")
        finally:
            self.is_learning = False

    async def adopt(
        self, accepted: AcceptedConfig, peer: str | None = None
    ) -> Result[None, str]:
        """Bring a version into force if it is greater and whole.

        Args:
            accepted: Version and digest.
            peer: Control address of a node that has it in force.

        Returns:
            Success, or why the version is not in force.
        """
        async with self.adopting:
            if accepted.version <= self._version():
                return Failure(f"version {accepted.version} is not greater")
            if accepted == self.refused:
                return Failure(f"version {accepted.version} was refused before")
            match await self.assembler.assemble(accepted.digest, peer):
                case Success(assembled):
                    self._put_in_force(accepted, assembled)
                    return Success(None)
                case Failure(error):
                    if isinstance(error, Refused):
                        self.refused = accepted
                    reason = f"version {accepted.version}: {error}"
                    self._note(reason)
                    return Failure(reason)
        raise AssertionError("not a result")

    async def _follow_row(self, row: Row) -> None:
        if row.version <= self._version():
            return
        try:
            accepted = decode(row.value, AcceptedConfig)
        except BadMessage as error:
            self._note(f"the row at version {row.version} is not readable: {error}")
            return
        if accepted.version != row.version:
            self._note(f"the row at version {row.version} says {accepted.version}")
            return
        await self.adopt(accepted)

    def _put_in_force(self, accepted: AcceptedConfig, assembled: Assembled) -> None:
        assert accepted.version > self._version(), f"{accepted} is not greater"
        self.known = accepted
        self.blobs = assembled.blobs
        section = ConfigSection(
            accepted.version, accepted.digest, assembled.config, self.clock.wall_s()
        )
        self.writer.post(section)
        for follow in self.on_adopted:
            follow(section)
        self.log_part.info(f"Version {accepted.version} is in force.")

    def _must_collect(self) -> bool:
        # A node that just started and has no blob from the platform may hear an old
        # version first; it waits a little for the row's, or for the greatest, so that
        # no version falls over a restart.
        if self._version() > 0 or self.first_heard_s is None:
            return False
        if max(self.heard.values(), default=0) >= self.row_version:
            return False
        return self.clock.monotonic_s() < self.first_heard_s + COLLECT_S

    def _newest_peers(self) -> list[str]:
        greater = [(v, a) for a, v in self.heard.items() if v > self._version()]
        if not greater:
            return []
        newest = max(greater)[0]
        addresses = sorted(address for v, address in greater if v == newest)
        self.random.shuffle(addresses)
        return addresses[:PEERS_ASKED]

    def _note(self, reason: str, is_new: bool = True) -> None:
        section = self.board.read(ConfigSection)
        if section.last_error != reason:
            self.log_part.warning(f"{reason}.")
        if is_new or section.version == 0:
            self.writer.post(replace(section, last_error=reason))

    def _version(self) -> int:
        return self.board.read(ConfigSection).version
