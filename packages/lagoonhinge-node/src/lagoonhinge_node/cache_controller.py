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
    """Keeps the prefix index current; engines without events are polled rarely."""

    def __init__(self, board: Blackboard, engines: EngineClient, prefixes: PrefixIndex):
        super().__init__()
        self.board = board
        self.engines = engines
        self.prefixes = prefixes
        self.polls_to_skip: dict[str, int] = {}
        self.polls = 0
        self.last_read_poll: dict[str, int] = {}
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
        engines_to_read = sorted(
            engines, key=lambda name: self.last_read_poll.get(name, 0)
        )
        engines_to_read = engines_to_read[:MAX_READS_PER_POLL]
        self.polls += 1
        self.last_read_poll = {
            name: self.last_read_poll.get(name, 0) for name in engines
        }
        self.last_read_poll.update(dict.fromkeys(engines_to_read, self.polls))
        await gather(*(self._read(name, engines[name].url) for name in engines_to_read))

    async def _read(self, name: str, url: str) -> None:
        remaining_skips = self.polls_to_skip.get(name, 0)
        if remaining_skips > 0:
            self.polls_to_skip[name] = remaining_skips - 1
            return
        after = self.prefixes.next_seq(name)
        match await self.engines.cache_events(url, after, READ_TIMEOUT_S):
            case Success(events):
                if not self.prefixes.apply(name, events):
                    self.log_part.info(
                        f"Cache events of {name} have a gap or are of a new boot; "
                        "its index is rebuilt from event 0."
                    )
            case Failure(Gone()):
                self.polls_to_skip[name] = POLLS_SKIPPED_WITHOUT_EVENTS
            case Failure(_):
                # The index may be outdated, but a wrong hint only costs prefill time.
                pass
