"""Controller of the configuration: polls the row and adopts greater versions."""

from collections.abc import Callable
from random import Random

from mode import Service
from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config_load import decode_source, load_site
from lagoonhinge_core.config_row import (
    CONFIG_KEY,
    AcceptedConfig,
    KnownConfig,
    blob_name,
)
from lagoonhinge_core.ports import Clock, ObjectStore, TableStore
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_core.store_messages import Row
from lagoonhinge_http.wire import decode
from lagoonhinge_node.logs import PartLogger

POLL_JITTER_SHARE = 0.2


class ConfigController(Service):
    """Keeps the newest accepted configuration of the site in force."""

    def __init__(
        self,
        board: Blackboard,
        table: TableStore,
        objects: ObjectStore,
        clock: Clock,
        random: Random,
        site: str,
        poll_s: float,
    ):
        super().__init__()
        self.writer = board.writer(ConfigSection(), "config")
        self.board = board
        self.table = table
        self.objects = objects
        self.clock = clock
        self.random = random
        self.site = site
        self.poll_s = poll_s
        self.known: KnownConfig | None = None
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
            case Success(Row(_, version, value)) if version > self._version():
                await self._fetch(decode(value, AcceptedConfig))
            case Failure(error):
                self.log_part.warning(f"The table was not read: {error.reason}.")

    async def _fetch(self, accepted: AcceptedConfig) -> None:
        match await self.objects.get(blob_name(accepted.digest)):
            case Success(blob):
                self.adopt(accepted, blob)
            case Failure(error):
                self.log_part.warning(f"Blob {accepted.digest} was not read: {error}.")

    def adopt(self, accepted: AcceptedConfig, blob: bytes) -> Result[None, str]:
        """Bring a version into force if it is greater and whole.

        Args:
            accepted: Version and digest.
            blob: The blob, from the object store or a peer.

        Returns:
            Success, or why the version is not in force.
        """
        if accepted.version <= self._version():
            return Failure(f"version {accepted.version} is not greater")
        source = decode_source(blob)
        if source.digest() != accepted.digest:
            return Failure(f"the blob does not have digest {accepted.digest}")
        match load_site(source, self.site):
            case Success(config):
                self.known = KnownConfig(accepted, blob)
                section = ConfigSection(
                    accepted.version, accepted.digest, config, self.clock.wall_s()
                )
                self.writer.post(section)
                for follow in self.on_adopted:
                    follow(section)
                self.log_part.info(f"Version {accepted.version} is in force.")
                return Success(None)
            case Failure(errors):
                reason = "; ".join(str(error) for error in errors)
                self.log_part.error(f"Version {accepted.version} is bad: {reason}.")
                return Failure(reason)
        raise AssertionError("not a result")

    def _version(self) -> int:
        return self.board.read(ConfigSection).version
