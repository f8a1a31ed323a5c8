"""Controller of the configuration: finds newer versions and adopts them.

Versions come from the platform's row and from peers of any zone. Blobs are read from
the object store or, while that is down, from a peer, and verified by their digests.
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
from lagoonhinge_node.config_assembly import (
    AssembledConfig,
    ConfigAssembler,
    InvalidConfig,
)
from lagoonhinge_node.logs import PartLogger

POLL_JITTER_SHARE = 0.2
PEER_FETCH_TIMEOUT_S = 3.0
MAX_PEERS_TRIED = 3
MAX_STARTUP_WAIT_S = 2.0


class ConfigController(Service):
    """Keeps the newest accepted configuration of the site in force.

    Args:
        board: The blackboard.
        table: Table with the row that names the accepted configuration.
        objects: Object store with the blobs.
        peers: Client of other nodes.
        clock: Monotonic and wall clock.
        random: Random number generator.
        site: Site whose overlay applies.
        poll_s: Mean time between two reads of the row, in seconds.
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
        self.current: AcceptedConfig | None = None
        self.blobs: Mapping[str, bytes] = {}
        self.refused: AcceptedConfig | None = None
        self.peer_versions: dict[str, int] = {}
        self.first_peer_version_s: float | None = None
        self.row_version: float = inf
        self.is_fetching = False
        self.adopt_lock = Lock()
        self.on_adopted: list[Callable[[ConfigSection], None]] = []
        self.log_part = PartLogger("config")

    async def on_start(self) -> None:
        """Poll once before callers are served."""
        await self.poll()

    @Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            jitter = self.random.uniform(1 - POLL_JITTER_SHARE, 1 + POLL_JITTER_SHARE)
            await self.sleep(self.poll_s * jitter)
            await self.poll()

    async def poll(self) -> None:
        """Read the row and adopt its version if it is greater."""
        match await self.table.read(CONFIG_KEY):
            case Success(row):
                self.row_version = row.version
                await self._adopt_row(row)
            case Failure(error):
                self._report_error(
                    f"the table was not read: {error.reason}", is_new=False
                )
        await self.fetch_from_peers()

    def handle_digest(self, digest: PeerDigest) -> None:
        """Record the version in force at a peer, and fetch it if it is greater."""
        if digest.config_version <= self._version():
            self.peer_versions.pop(digest.address, None)
            return
        self.peer_versions[digest.address] = digest.config_version
        if self.first_peer_version_s is None:
            self.first_peer_version_s = self.clock.monotonic_s()
        if not self.is_fetching:
            self.add_future(self.fetch_from_peers())

    async def fetch_from_peers(self) -> None:
        """Fetch the greatest version that peers have, if it is greater."""
        if self.is_fetching or self._is_waiting_for_versions():
            return
        self.is_fetching = True
        try:
            for address in self._newest_peers():
                match await self.peers.fetch_config(address, PEER_FETCH_TIMEOUT_S):
                    case Success(accepted):
                        if isinstance(await self.adopt(accepted, address), Success):
                            return
                    case Failure(error):
                        self.peer_versions.pop(address, None)
                        self._report_error(f"peer {address}: {error.reason}")
        finally:
            self.is_fetching = False

    async def adopt(
        self, accepted: AcceptedConfig, peer: str | None = None
    ) -> Result[None, str]:
        """Put a version in force if it is greater and can be assembled.

        Args:
            accepted: Version and digest.
            peer: Control address of a node that has it in force.

        Returns:
            Success, or why the version is not in force.
        """
        async with self.adopt_lock:
            if accepted.version <= self._version():
                return Failure(f"version {accepted.version} is not greater")
            if accepted == self.refused:
                return Failure(f"version {accepted.version} was refused before")
            match await self.assembler.assemble(accepted.digest, peer):
                case Success(assembled):
                    self._put_in_force(accepted, assembled)
                    return Success(None)
                case Failure(error):
                    if isinstance(error, InvalidConfig):
                        self.refused = accepted
                    reason = f"version {accepted.version}: {error}"
                    self._report_error(reason)
                    return Failure(reason)
        raise AssertionError("not a result")

    async def _adopt_row(self, row: Row) -> None:
        if row.version <= self._version():
            return
        try:
            accepted = decode(row.value, AcceptedConfig)
        except BadMessage as error:
            self._report_error(
                f"the row at version {row.version} is not readable: {error}"
            )
            return
        if accepted.version != row.version:
            self._report_error(
                f"the row at version {row.version} says {accepted.version}"
            )
            return
        await self.adopt(accepted)

    def _put_in_force(
        self, accepted: AcceptedConfig, assembled: AssembledConfig
    ) -> None:
        assert accepted.version > self._version(), f"{accepted} is not greater"
        self.current = accepted
        self.blobs = assembled.blobs
        section = ConfigSection(
            accepted.version, accepted.digest, assembled.config, self.clock.wall_s()
        )
        self.writer.post(section)
        for callback in self.on_adopted:
            callback(section)
        self.log_part.info(f"Version {accepted.version} is in force.")

    def _is_waiting_for_versions(self) -> bool:
        # A node that just started and has no blob from the platform may receive an old
        # version first. Wait for the version of the row or the greatest of the peers,
        # so that the version does not decrease across a restart.
        if self._version() > 0 or self.first_peer_version_s is None:
            return False
        if max(self.peer_versions.values(), default=0) >= self.row_version:
            return False
        return self.clock.monotonic_s() < self.first_peer_version_s + MAX_STARTUP_WAIT_S

    def _newest_peers(self) -> list[str]:
        greater = [(v, a) for a, v in self.peer_versions.items() if v > self._version()]
        if not greater:
            return []
        newest = max(greater)[0]
        addresses = sorted(address for v, address in greater if v == newest)
        self.random.shuffle(addresses)
        return addresses[:MAX_PEERS_TRIED]

    def _report_error(self, reason: str, is_new: bool = True) -> None:
        section = self.board.read(ConfigSection)
        if section.last_error != reason:
            self.log_part.warning(f"{reason}.")
        if is_new or section.version == 0:
            self.writer.post(replace(section, last_error=reason))

    def _version(self) -> int:
        return self.board.read(ConfigSection).version
