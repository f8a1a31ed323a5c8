"""Controller of the prefix index: reads the cache events of the zone's engines."""

from asyncio import gather

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.ports import EngineClient
from lagoonhinge_core.prefix_index import PrefixIndex
from lagoonhinge_core.upstream_errors import Gone
from lagoonhinge_node.cell_upstreams import cell_engines
from lagoonhinge_node.logs import PartLogger

READ_INTERVAL_S = 2.0
READ_TIMEOUT_S = 1.0
MAX_READS_PER_POLL = 8
POLLS_SKIPPED_WITHOUT_EVENTS = 30


class CacheController(Service):
    """Keeps the prefix index current; an engine without events is asked rarely."""

    def __init__(self, board: Blackboard, engines: EngineClient, prefixes: PrefixIndex):
        super().__init__()
        self.board = board
        self.engines = engines
        self.prefixes = prefixes
        self.polls_to_skip: dict[str, int] = {}
        self.polls = 0
        self.read_at: dict[str, int] = {}
        self.log_part = PartLogger("cache")

    @Service.task
    async def _read_forever(self) -> None:
        while not self.should_stop:
            await self.poll()
            await self.sleep(READ_INTERVAL_S)

    async def poll(self) -> None:
        """Read the new events of the cell's engines, a bounded number at a time."""
        engines = cell_engines(self.board)
        self.prefixes.retain(set(engines))
        due = sorted(engines, key=lambda name: self.read_at.get(name, 0))
        due = due[:MAX_READS_PER_POLL]
        self.polls += 1
        self.read_at = {name: self.read_at.get(name, 0) for name in engines}
        self.read_at.update(dict.fromkeys(due, self.polls))
        await gather(*(self._read(name, engines[name].url) for name in due))

    async def _read(self, name: str, url: str) -> None:
        skipped = self.polls_to_skip.get(name, 0)
        if skipped > 0:
            self.polls_to_skip[name] = skipped - 1
            return
        after = self.prefixes.next_seq(name)
        match await self.engines.cache_events(url, after, READ_TIMEOUT_S):
            case Success(events):
                if not self.prefixes.apply(name, events):
                    self.log_part.info(f"Events of {name} have a gap; reading anew.")
            case Failure(Gone()):
                self.polls_to_skip[name] = POLLS_SKIPPED_WITHOUT_EVENTS
            case Failure(_):
                # What is known may be old, but a wrong hint costs only time.
                pass
