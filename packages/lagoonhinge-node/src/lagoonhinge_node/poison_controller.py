"""Controller of strikes and quarantines: merges peers' and keeps suspects apart."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from mode import Service

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.peer_messages import Strike
from lagoonhinge_core.poison import (
    Clear,
    PoisonLedger,
    PromptStatus,
    Quarantined,
    Suspect,
    UpstreamCrash,
    fingerprint,
)
from lagoonhinge_core.ports import Clock
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import PeersSection, PoisonSection, UpstreamsSection
from lagoonhinge_node.logs import PartLogger

MERGE_INTERVAL_S = 0.5
SPREAD_S = 2.5
DISPROOF_MARGIN_S = 0.5
MAX_FINGERPRINTS = 4096
CLEAR = Clear()


class PoisonController(Service):
    """Writes `PoisonSection`; tells the request path how a prompt may run."""

    def __init__(self, board: Blackboard, clock: Clock):
        super().__init__()
        self.board = board
        self.clock = clock
        self.ledger = PoisonLedger()
        self.noted_s: dict[UpstreamCrash, float] = {}
        self.suspects: dict[str, Counter[str]] = {}
        self.fingerprints: dict[str, str] = {}
        self.writer = board.writer(PoisonSection(), "poison")
        self.log_part = PartLogger("poison")

    @Service.task
    async def _merge_forever(self) -> None:
        while not self.should_stop:
            self.merge()
            await self.sleep(MERGE_INTERVAL_S)

    def merge(self) -> None:
        """Take what peers know, drop what is past or disproved, and post."""
        now_s = self.clock.wall_s()
        if PeersSection in self.board.sections:
            for digest in self.board.read(PeersSection).digests.values():
                self.ledger.add(digest.strikes, now_s)
                self.ledger.add_quarantines(digest.quarantines, now_s)
        self.ledger.expire(now_s)
        self._disprove(now_s)
        self._post()

    def standing(self, request: ModelRequest) -> PromptStatus:
        """Return whether a request may run, and how."""
        if self.ledger.is_empty():
            return CLEAR
        return self.ledger.prompt_status(
            self._fingerprint(request), self.clock.wall_s()
        )

    def spread_s(self, suspect: Suspect) -> float:
        """Return how long a suspect waits until peers know of its strike."""
        return suspect.since_wall_s + SPREAD_S - self.clock.wall_s()

    def strike(self, request: ModelRequest, upstream: str, boot: str) -> None:
        """Note that an upstream died with this request on it."""
        name = self._fingerprint(request)
        now_s = self.clock.wall_s()
        self.ledger.add((Strike(name, upstream, boot, now_s),), now_s)
        self.log_part.warning(
            f"Upstream {upstream} died with prompt {name} on it.", request.request_id
        )
        if isinstance(self.ledger.prompt_status(name, now_s), Quarantined):
            self.log_part.warning(f"Prompt {name} is quarantined.", request.request_id)
        self._post()

    def complete(self, request: ModelRequest) -> None:
        """Clear a prompt that has run to its end."""
        if not self.ledger.is_empty():
            self.ledger.complete(self._fingerprint(request), self.clock.wall_s())
            self._post()

    def dead_upstreams(self) -> frozenset[str]:
        """Return the upstreams that died and have not reported a new run yet."""
        reports = self.board.read(UpstreamsSection).reports
        dead = set()
        for death in self.ledger.crashes():
            report = reports.get(death.upstream)
            if report is not None and report.load and report.load.boot == death.boot:
                dead.add(death.upstream)
        return frozenset(dead)

    def suspect_upstreams(self, request: ModelRequest) -> frozenset[str]:
        """Return the upstreams on which another suspect runs now."""
        if not self.suspects:
            return frozenset()
        name = self._fingerprint(request)
        return frozenset(
            upstream
            for upstream, running in self.suspects.items()
            if any(other != name for other in running)
        )

    @contextmanager
    def running(self, request: ModelRequest, upstream: str) -> Iterator[None]:
        """Count a request as running on an upstream while it is a suspect."""
        if not isinstance(self.standing(request), Suspect):
            yield
            return
        name = self._fingerprint(request)
        running = self.suspects.setdefault(upstream, Counter())
        running[name] += 1
        try:
            yield
        finally:
            running[name] -= 1
            running += Counter()  # drops the names at zero
            if not running:
                self.suspects.pop(upstream, None)

    def _disprove(self, now_wall_s: float) -> None:
        now_s = self.clock.monotonic_s()
        deaths = self.ledger.crashes()
        self.noted_s = {death: self.noted_s.get(death, now_s) for death in deaths}
        reports = self.board.read(UpstreamsSection).reports
        for death, noted_s in self.noted_s.items():
            report = reports.get(death.upstream)
            if report is None or report.load is None:
                continue
            is_later = report.received_monotonic_s > noted_s + DISPROOF_MARGIN_S
            if is_later and report.load.boot == death.boot:
                self.ledger.retract_crash(death, now_wall_s)
                self.log_part.info(f"Upstream {death.upstream} had not died.")

    def _post(self) -> None:
        section = PoisonSection(
            tuple(self.ledger.strikes.values()), tuple(self.ledger.quarantines.values())
        )
        if section != self.board.read(PoisonSection):
            self.writer.post(section)

    def _fingerprint(self, request: ModelRequest) -> str:
        known = self.fingerprints.get(request.request_id)
        if known is None:
            known = fingerprint(request.model, request.prompt)
            self.fingerprints[request.request_id] = known
            if len(self.fingerprints) > MAX_FINGERPRINTS:
                del self.fingerprints[next(iter(self.fingerprints))]
        return known
