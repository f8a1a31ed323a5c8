"""Controller of upstream reports: polls engines and notes which upstreams leave."""

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
UNSHARED_CELL_NODES = 3
POLLERS = 2


class UpstreamController(Service):
    """Keeps the reports of the upstreams of this zone current."""

    def __init__(self, board: Blackboard, engines: EngineClient, clock: Clock):
        super().__init__()
        self.board = board
        self.engines = engines
        self.clock = clock
        self.marks = LeavingMarks()
        self.told: tuple[str, ...] = ()
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
        """Ask the engines that are this node's duty, each on its own."""
        self.refresh()
        for name, upstream in self.duties():
            if name not in self.open_polls:
                self.open_polls.add(name)
                self.add_future(self._poll(name, upstream))

    def duties(self) -> Iterator[tuple[str, UpstreamConfig]]:
        """Return the engines that this node asks; a large cell shares them out."""
        members = self.board.find(MembersSection())
        own = self.board.read(NodeSection).node.vm
        live = [vm for vm in members.cell if vm == own or members.members[vm].alive]
        for name, upstream in cell_engines(self.board).items():
            is_shared = len(live) > UNSHARED_CELL_NODES
            if not is_shared or own in owning_vms(name, live, POLLERS):
                yield name, upstream

    def refresh(self) -> None:
        """Post which upstreams are leaving, by everything known now."""
        upstreams = self._of_zone()
        self.marks.configure(upstreams)
        self.marks.apply_vm_list(upstreams, self.board.find(VmsSection()))
        digests = self.board.find(PeersSection()).digests
        leaving = self.marks.leaving(digests.values())
        old = self.board.read(UpstreamsSection).reports
        reports = {
            name: replace(old.get(name, UpstreamReport()), leaving=name in leaving)
            for name in upstreams
        }
        for name in leaving:
            if name not in old or not old[name].leaving:
                self.log_part.info(f"Upstream {name} is leaving.")
        if reports != old:
            self.writer.post(UpstreamsSection(reports))
        own = self.marks.own_marks()
        if set(own) - set(self.told):
            for follow in self.on_own_marks:
                follow()
        self.told = own

    def follow_digest(self, digest: PeerDigest) -> None:
        """Take the leaving upstreams that a peer tells of, at once."""
        if digest.leaving:
            self.refresh()

    async def ask(self, name: str, upstream: UpstreamConfig) -> None:
        """Ask one engine for its load and post the answer."""
        answer = await self.engines.load(upstream.url, REPORT_TIMEOUT_S)
        old = self.board.read(UpstreamsSection).reports
        report = old.get(name)
        if report is None:
            return  # no longer configured
        match answer:
            case Success(load):
                self.marks.apply_report(name, upstream.generation, load)
                now_s = self.clock.monotonic_s()
                report = UpstreamReport(load, now_s, report.leaving, reachable=True)
            case Failure(error):
                if report.reachable:
                    self.log_part.warning(f"Upstream {name} did not report: {error}.")
                report = replace(report, reachable=False)
        self.writer.post(UpstreamsSection({**old, name: report}))
        if isinstance(answer, Success) and answer.unwrap().leaving != report.leaving:
            self.refresh()

    async def _poll(self, name: str, upstream: UpstreamConfig) -> None:
        try:
            await self.ask(name, upstream)
        finally:
            self.open_polls.discard(name)

    def _of_zone(self) -> dict[str, UpstreamConfig]:
        config = self.board.read(ConfigSection).config
        zone = self.board.read(NodeSection).zone
        return {n: u for n, u in config.upstreams.items() if u.zone == zone}
