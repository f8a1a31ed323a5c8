"""Controller that finds leaked holdings of engines and releases them."""

from asyncio import gather
from dataclasses import replace

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import UpstreamConfig
from lagoonhinge_core.engine_messages import Holding
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.ports import Clock, EngineClient
from lagoonhinge_core.reaper import (
    OwnerSnapshot,
    RemovedVms,
    SweepSchedule,
    Verdict,
    holding_verdict,
)
from lagoonhinge_core.sections import (
    MembersSection,
    NodeSection,
    ReaperFinding,
    ReaperSection,
)
from lagoonhinge_node.cell_upstreams import cell_engines
from lagoonhinge_node.logs import PartLogger
from lagoonhinge_node.releases import Release, ReleaseQueue

SWEEP_INTERVAL_S = 1.0
HOLDINGS_TIMEOUT_S = 2.0
RELEASE_RETRY_TIMEOUT_S = 60.0
MAX_RELEASES_PER_SWEEP = 64
MAX_LISTED_FINDINGS = 50


class ReaperController(Service):
    """Sweeps the holdings of the cell's engines, a few engines at a time."""

    def __init__(
        self,
        board: Blackboard,
        engines: EngineClient,
        clock: Clock,
        ledger: InFlightLedger,
        releases: ReleaseQueue,
    ):
        super().__init__()
        self.board = board
        self.engines = engines
        self.clock = clock
        self.ledger = ledger
        self.releases = releases
        self.schedule = SweepSchedule()
        self.removed_vms = RemovedVms()
        self.writer = board.writer(ReaperSection(), "reaper")
        self.log_part = PartLogger("reaper")

    @Service.task
    async def _sweep_forever(self) -> None:
        while not self.should_stop:
            await self.sweep()
            await self.sleep(SWEEP_INTERVAL_S)

    async def sweep(self) -> None:
        """Sweep the engines that are due, and release holdings without a user."""
        node = self.board.read(NodeSection)
        engines = cell_engines(self.board)
        self.schedule.retain_engines(engines)
        due = self.schedule.next_sweep(
            self.clock.monotonic_s(), engines, node.node.vm, self._live_vms(node)
        )
        engine_findings = await gather(
            *(self._sweep_engine(name, engines[name]) for name in due)
        )
        findings = [finding for of_engine in engine_findings for finding in of_engine]
        self._post_findings(findings)

    async def _sweep_engine(
        self, name: str, upstream: UpstreamConfig
    ) -> tuple[ReaperFinding, ...]:
        match await self.engines.holdings(upstream.url, HOLDINGS_TIMEOUT_S):
            case Failure(_):
                return ()
            case Success(holdings):
                self._post_sweep_time(name)
        # Read after the engine's list: what was in flight when the engine replied is
        # still in flight, or has ended since, and then a release changes nothing.
        owners = self._owner_snapshot()
        findings: list[ReaperFinding] = []
        for holding in holdings.holdings:
            verdict = holding_verdict(holding, owners)
            if verdict != Verdict.KEEP and len(findings) < MAX_RELEASES_PER_SWEEP:
                findings += self._release(name, upstream.url, holding, verdict)
        return tuple(findings)

    def _release(
        self, upstream: str, url: str, holding: Holding, verdict: Verdict
    ) -> tuple[ReaperFinding, ...]:
        if self.releases.is_pending(url, holding.kind, holding.name):
            return ()
        deadline_s = self.clock.monotonic_s() + RELEASE_RETRY_TIMEOUT_S
        self.releases.submit(Release(url, holding.kind, holding.name, deadline_s))
        self.log_part.warning(
            f"Releasing {holding.kind} {holding.name} of {holding.owner} on {upstream},"
            f" {holding.tokens} tokens: {verdict}."
        )
        finding = ReaperFinding(
            upstream,
            holding.kind,
            holding.name,
            holding.owner,
            holding.tokens,
            verdict,
            self.clock.wall_s(),
        )
        return (finding,)

    def _owner_snapshot(self) -> OwnerSnapshot:
        node = self.board.read(NodeSection).node
        members = self.board.find(MembersSection()).members
        newest_incarnations = {
            vm: member.node.incarnation for vm, member in members.items()
        }
        newest_incarnations[node.vm] = node.incarnation
        absent_vms = (vm for vm, m in members.items() if m.delisted and not m.alive)
        return OwnerSnapshot(
            node=node,
            newest_incarnations=newest_incarnations,
            removed_vms=self.removed_vms.update(absent_vms, self.clock.monotonic_s()),
            is_in_flight=self.ledger.open_items.__contains__,
        )

    def _live_vms(self, node: NodeSection) -> tuple[str, ...]:
        section = self.board.find(MembersSection())
        members = section.members
        others = (vm for vm in section.cell if vm in members and members[vm].alive)
        return (node.node.vm, *others)

    def _post_sweep_time(self, name: str) -> None:
        section = self.board.read(ReaperSection)
        sweep_times = {**section.swept_wall_s, name: self.clock.wall_s()}
        self.writer.post(replace(section, swept_wall_s=sweep_times))

    def _post_findings(self, findings: list[ReaperFinding]) -> None:
        section = self.board.read(ReaperSection)
        current = self.schedule.last_sweep_s
        sweep_times = {n: at for n, at in section.swept_wall_s.items() if n in current}
        self.writer.post(
            ReaperSection(
                (*section.findings, *findings)[-MAX_LISTED_FINDINGS:],
                section.found_tokens + sum(f.tokens for f in findings),
                sweep_times,
            )
        )
