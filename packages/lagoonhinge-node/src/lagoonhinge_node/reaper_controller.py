"""Controller that finds memory left over on engines and has it freed."""

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
from lagoonhinge_node.releases import Release, Releaser

SWEEP_INTERVAL_S = 1.0
HOLDINGS_TIMEOUT_S = 2.0
RELEASE_PATIENCE_S = 60.0
MAX_RELEASES_PER_SWEEP = 64
MAX_FINDINGS = 50


class ReaperController(Service):
    """Looks at what the engines of the cell hold, a few of them at a time."""

    def __init__(
        self,
        board: Blackboard,
        engines: EngineClient,
        clock: Clock,
        ledger: InFlightLedger,
        releaser: Releaser,
    ):
        super().__init__()
        self.board = board
        self.engines = engines
        self.clock = clock
        self.ledger = ledger
        self.releaser = releaser
        self.schedule = SweepSchedule()
        self.gone = RemovedVms()
        self.writer = board.writer(ReaperSection(), "reaper")
        self.log_part = PartLogger("reaper")

    @Service.task
    async def _sweep_forever(self) -> None:
        while not self.should_stop:
            await self.sweep()
            await self.sleep(SWEEP_INTERVAL_S)

    async def sweep(self) -> None:
        """Look at the engines that are due and free what nobody uses."""
        node = self.board.read(NodeSection)
        engines = cell_engines(self.board)
        self.schedule.retain_engines(engines)
        due = self.schedule.next_sweep(
            self.clock.monotonic_s(), engines, node.node.vm, self._live_vms(node)
        )
        found = await gather(*(self._look_at(name, engines[name]) for name in due))
        findings = [finding for some in found for finding in some]
        self._post(findings)

    async def _look_at(
        self, name: str, upstream: UpstreamConfig
    ) -> tuple[ReaperFinding, ...]:
        match await self.engines.holdings(upstream.url, HOLDINGS_TIMEOUT_S):
            case Failure(_):
                return ()
            case Success(listed):
                self._post_swept(name)
        # Read only now: what was in flight when the engine answered still is, or has
        # ended since, and then freeing it changes nothing.
        known = self._knowledge()
        found: list[ReaperFinding] = []
        for holding in listed.holdings:
            verdict = holding_verdict(holding, known)
            if verdict != Verdict.KEEP and len(found) < MAX_RELEASES_PER_SWEEP:
                found += self._free(name, upstream.url, holding, verdict)
        return tuple(found)

    def _free(
        self, upstream: str, url: str, holding: Holding, verdict: Verdict
    ) -> tuple[ReaperFinding, ...]:
        if self.releaser.is_pending(url, holding.kind, holding.name):
            return ()
        until_s = self.clock.monotonic_s() + RELEASE_PATIENCE_S
        self.releaser.submit(Release(url, holding.kind, holding.name, until_s))
        self.log_part.warning(
            f"Freeing {holding.kind} {holding.name} of {holding.owner} on {upstream},"
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

    def _knowledge(self) -> OwnerSnapshot:
        node = self.board.read(NodeSection).node
        members = self.board.find(MembersSection()).members
        newest = {vm: member.node.incarnation for vm, member in members.items()}
        newest[node.vm] = node.incarnation
        suspects = (vm for vm, m in members.items() if m.delisted and not m.alive)
        return OwnerSnapshot(
            node=node,
            newest_incarnations=newest,
            removed_vms=self.gone.update(suspects, self.clock.monotonic_s()),
            is_in_flight=self.ledger.open_items.__contains__,
        )

    def _live_vms(self, node: NodeSection) -> tuple[str, ...]:
        section = self.board.find(MembersSection())
        members = section.members
        others = (vm for vm in section.cell if vm in members and members[vm].alive)
        return (node.node.vm, *others)

    def _post_swept(self, name: str) -> None:
        section = self.board.read(ReaperSection)
        swept = {**section.swept_wall_s, name: self.clock.wall_s()}
        self.writer.post(replace(section, swept_wall_s=swept))

    def _post(self, findings: list[ReaperFinding]) -> None:
        section = self.board.read(ReaperSection)
        known = self.schedule.last_sweep_s
        swept = {n: at for n, at in section.swept_wall_s.items() if n in known}
        self.writer.post(
            ReaperSection(
                (*section.findings, *findings)[-MAX_FINDINGS:],
                section.found_tokens + sum(f.tokens for f in findings),
                swept,
            )
        )
