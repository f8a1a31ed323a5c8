"""Controller of upstream reports: polls engines and posts which upstreams leave."""

from collections.abc import Callable, Iterator
from dataclasses import replace

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.cells import owning_vms
from lagoonhinge_core.config import UpstreamConfig
from lagoonhinge_core.leaving import LeavingMarks
from lagoonhinge_core.peer_messages import PeerDigest
from lagoonhinge_core.ports import Clock, EngineClient
from lagoonhinge_core.sections import (
    ConfigSection,
    MembersSection,
    NodeSection,
    PeersSection,
    UpstreamReport,
    UpstreamsSection,
    VmsSection,
)
from lagoonhinge_node.cell_upstreams import cell_engines
from lagoonhinge_node.logs import PartLogger

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 1.0
MAX_UNDIVIDED_CELL_NODES = 3
POLLERS_PER_ENGINE = 2


class UpstreamController(Service):
    """Keeps the reports of the upstreams of this zone current."""

    def __init__(self, board: Blackboard, engines: EngineClient, clock: Clock):
        super().__init__()
        self.board = board
        self.engines = engines
        self.clock = clock
        self.marks = LeavingMarks()
        self.announced_marks: tuple[str, ...] = ()
        self.on_own_marks: list[Callable[[], None]] = []
        self.open_polls: set[str] = set()
        self.writer = board.writer(UpstreamsSection(), "upstreams")
        self.log_part = PartLogger("upstreams")

    @Service.task
    async def _report_forever(self) -> None:
        while not self.should_stop:
            self.begin_round()
            await self.sleep(REPORT_INTERVAL_S)

    def begin_round(self) -> None:
        """Start a poll of each engine assigned to this node."""
        self.refresh()
        for name, upstream in self.assigned_engines():
            if name not in self.open_polls:
                self.open_polls.add(name)
                self.add_future(self._poll(name, upstream))

    def assigned_engines(self) -> Iterator[tuple[str, UpstreamConfig]]:
        """Yield the engines that this node polls; a large cell divides them."""
        members = self.board.find(MembersSection())
        own_vm = self.board.read(NodeSection).node.vm
        live = [vm for vm in members.cell if vm == own_vm or members.members[vm].alive]
        for name, upstream in cell_engines(self.board).items():
            is_divided = len(live) > MAX_UNDIVIDED_CELL_NODES
            if not is_divided or own_vm in owning_vms(name, live, POLLERS_PER_ENGINE):
                yield name, upstream

    def refresh(self) -> None:
        """Post which upstreams are leaving, by VM list, reports and peers' digests."""
        upstreams = self._zone_upstreams()
        self.marks.configure(upstreams)
        self.marks.apply_vm_list(upstreams, self.board.find(VmsSection()))
        digests = self.board.find(PeersSection()).digests
        leaving = self.marks.leaving(digests.values())
        old_reports = self.board.read(UpstreamsSection).reports
        reports = {
            name: replace(
                old_reports.get(name, UpstreamReport()), leaving=name in leaving
            )
            for name in upstreams
        }
        for name in leaving:
            if name not in old_reports or not old_reports[name].leaving:
                self.log_part.info(f"Upstream {name} is leaving.")
        if reports != old_reports:
            self.writer.post(UpstreamsSection(reports))
        own_marks = self.marks.own_marks()
        if set(own_marks) - set(self.announced_marks):
            for callback in self.on_own_marks:
                callback()
        self.announced_marks = own_marks

    def handle_digest(self, digest: PeerDigest) -> None:
        """Apply the leaving upstreams of a peer's digest at once."""
        if digest.leaving:
            self.refresh()

    async def poll_engine(self, name: str, upstream: UpstreamConfig) -> None:
        """Poll one engine for its load and post the report."""
        answer = await self.engines.load(upstream.url, REPORT_TIMEOUT_S)
        old_reports = self.board.read(UpstreamsSection).reports
        report = old_reports.get(name)
        if report is None:
            return  # no longer configured
        match answer:
            case Success(load):
                self.marks.apply_report(name, upstream.generation, load)
                now_s = self.clock.monotonic_s()
                report = UpstreamReport(load, now_s, report.leaving, reachable=True)
            case Failure(error):
                if report.reachable:
                    self.log_part.warning(
                        f"Upstream {name} is unreachable, failed to poll it: {error}."
                    )
                report = replace(report, reachable=False)
        self.writer.post(UpstreamsSection({**old_reports, name: report}))
        if isinstance(answer, Success) and answer.unwrap().leaving != report.leaving:
            self.refresh()

    async def _poll(self, name: str, upstream: UpstreamConfig) -> None:
        try:
            await self.poll_engine(name, upstream)
        finally:
            self.open_polls.discard(name)

    def _zone_upstreams(self) -> dict[str, UpstreamConfig]:
        config = self.board.read(ConfigSection).config
        zone = self.board.read(NodeSection).zone
        return {n: u for n, u in config.upstreams.items() if u.zone == zone}
