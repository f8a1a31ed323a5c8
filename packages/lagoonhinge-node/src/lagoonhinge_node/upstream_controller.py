"""Controller of upstream reports: polls the load of each engine of the zone."""

from asyncio import gather
from dataclasses import replace

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import ModelService, UpstreamConfig
from lagoonhinge_core.ports import Clock, EngineClient
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    UpstreamReport,
    UpstreamsSection,
)
from lagoonhinge_node.logs import PartLogger

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 1.0


class UpstreamController(Service):
    """Keeps the reports of the upstreams current."""

    def __init__(self, board: Blackboard, engines: EngineClient, clock: Clock):
        super().__init__()
        self.board = board
        self.engines = engines
        self.clock = clock
        self.writer = board.writer(UpstreamsSection(), "upstreams")
        self.log_part = PartLogger("upstreams")

    @Service.task
    async def _report_forever(self) -> None:
        while not self.should_stop:
            await self.poll()
            await self.sleep(REPORT_INTERVAL_S)

    async def poll(self) -> None:
        """Ask every engine of this zone for its load and post what is known."""
        config = self.board.read(ConfigSection).config
        zone = self.board.read(NodeSection).zone
        engines = {
            name: upstream
            for name, upstream in config.upstreams.items()
            if upstream.zone == zone
            and isinstance(config.services[upstream.service], ModelService)
        }
        reports = await gather(
            *(self._ask(name, upstream) for name, upstream in engines.items())
        )
        self.writer.post(UpstreamsSection(dict(zip(engines, reports, strict=True))))

    async def _ask(self, name: str, upstream: UpstreamConfig) -> UpstreamReport:
        old = self.board.read(UpstreamsSection).reports.get(name, UpstreamReport())
        match await self.engines.load(upstream.url, REPORT_TIMEOUT_S):
            case Success(load):
                return UpstreamReport(
                    load, self.clock.monotonic_s(), load.leaving, reachable=True
                )
            case Failure(error):
                if old.reachable:
                    self.log_part.warning(f"Upstream {name} did not report: {error}.")
                return replace(old, reachable=False)
        raise AssertionError("not a result")
