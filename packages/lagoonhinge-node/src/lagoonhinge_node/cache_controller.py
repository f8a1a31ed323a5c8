"""Controller of the prefix index: reads the cache events of the zone's engines."""

from asyncio import gather

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import ModelService
from lagoonhinge_core.ports import EngineClient
from lagoonhinge_core.prefix_index import PrefixIndex
from lagoonhinge_core.sections import ConfigSection, NodeSection
from lagoonhinge_core.upstream_errors import Gone
from lagoonhinge_node.logs import PartLogger

READ_INTERVAL_S = 2.0
READ_TIMEOUT_S = 1.0
POLLS_SKIPPED_WITHOUT_EVENTS = 30


class CacheController(Service):
    """Keeps the prefix index current; an engine without events is asked rarely."""

    def __init__(self, board: Blackboard, engines: EngineClient, prefixes: PrefixIndex):
        super().__init__()
        self.board = board
        self.engines = engines
        self.prefixes = prefixes
        self.polls_to_skip: dict[str, int] = {}
        self.log_part = PartLogger("cache")

    @Service.task
    async def _read_forever(self) -> None:
        while not self.should_stop:
            await self.poll()
            await self.sleep(READ_INTERVAL_S)

    async def poll(self) -> None:
        """Read the new events of every engine of this zone."""
        config = self.board.read(ConfigSection).config
        zone = self.board.read(NodeSection).zone
        urls = {
            name: upstream.url
            for name, upstream in config.upstreams.items()
            if upstream.zone == zone
            and isinstance(config.services[upstream.service], ModelService)
        }
        self.prefixes.keep_only(set(urls))
        await gather(*(self._read(name, url) for name, url in urls.items()))

    async def _read(self, name: str, url: str) -> None:
        skipped = self.polls_to_skip.get(name, 0)
        if skipped > 0:
            self.polls_to_skip[name] = skipped - 1
            return
        after = self.prefixes.next_seq(name)
        match await self.engines.cache_events(url, after, READ_TIMEOUT_S):
            case Success(events):
                if not self.prefixes.observe(name, events):
                    self.log_part.info(f"Events of {name} have a gap; reading anew.")
            case Failure(Gone()):
                self.polls_to_skip[name] = POLLS_SKIPPED_WITHOUT_EVENTS
            case Failure(_):
                # What is known may be old, but a wrong hint costs only time.
                pass
