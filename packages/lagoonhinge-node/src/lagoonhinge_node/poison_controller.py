"""Controller of strikes and quarantines: merges those of peers, isolates suspects."""

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
STRIKE_PROPAGATION_S = 2.5
RETRACTION_MARGIN_S = 0.5
MAX_CACHED_FINGERPRINTS = 4096
CLEAR = Clear()


class PoisonController(Service):
    """Writes `PoisonSection`, and decides whether and where a prompt may run."""

    def __init__(self, board: Blackboard, clock: Clock):
        super().__init__()
        self.board = board
        self.clock = clock
        self.ledger = PoisonLedger()
        self.recorded_s: dict[UpstreamCrash, float] = {}
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
        """Add the entries of peers, drop expired and disproved ones, and post."""
        now_wall_s = self.clock.wall_s()
        if PeersSection in self.board.sections:
            for digest in self.board.read(PeersSection).digests.values():
                self.ledger.add(digest.strikes, now_wall_s)
                self.ledger.add_quarantines(digest.quarantines, now_wall_s)
        self.ledger.expire(now_wall_s)
        self._retract_disproved_crashes(now_wall_s)
        self._post()

    def prompt_status(self, request: ModelRequest) -> PromptStatus:
        """Return whether a request may run, and under which restriction."""
        if self.ledger.is_empty():
            return CLEAR
        return self.ledger.prompt_status(
            self._fingerprint(request), self.clock.wall_s()
        )

    def propagation_wait_s(self, suspect: Suspect) -> float:
        """Return the time until a suspect's newest strike has reached the peers."""
        return suspect.since_wall_s + STRIKE_PROPAGATION_S - self.clock.wall_s()

    def add_strike(self, request: ModelRequest, upstream: str, boot: str) -> None:
        """Record that an upstream crashed while this request ran on it."""
        prompt = self._fingerprint(request)
        now_wall_s = self.clock.wall_s()
        self.ledger.add((Strike(prompt, upstream, boot, now_wall_s),), now_wall_s)
        self.log_part.warning(
            f"Upstream {upstream} crashed while prompt {prompt} ran on it.",
            request.request_id,
        )
        if isinstance(self.ledger.prompt_status(prompt, now_wall_s), Quarantined):
            self.log_part.warning(
                f"Prompt {prompt} is quarantined; its requests are refused.",
                request.request_id,
            )
        self._post()

    def mark_completed(self, request: ModelRequest) -> None:
        """Clear a prompt that has completed."""
        if not self.ledger.is_empty():
            self.ledger.complete(self._fingerprint(request), self.clock.wall_s())
            self._post()

    def crashed_upstreams(self) -> frozenset[str]:
        """Return the upstreams that crashed and have not reported a new boot."""
        reports = self.board.read(UpstreamsSection).reports
        crashed = set()
        for crash in self.ledger.crashes():
            report = reports.get(crash.upstream)
            if report is not None and report.load and report.load.boot == crash.boot:
                crashed.add(crash.upstream)
        return frozenset(crashed)

    def suspect_upstreams(self, request: ModelRequest) -> frozenset[str]:
        """Return the upstreams on which another suspect runs now."""
        if not self.suspects:
            return frozenset()
        prompt = self._fingerprint(request)
        return frozenset(
            upstream
            for upstream, running in self.suspects.items()
            if any(other != prompt for other in running)
        )

    @contextmanager
    def track_running(self, request: ModelRequest, upstream: str) -> Iterator[None]:
        """Count a request as running on an upstream if it is a suspect."""
        if not isinstance(self.prompt_status(request), Suspect):
            yield
            return
        prompt = self._fingerprint(request)
        running = self.suspects.setdefault(upstream, Counter())
        running[prompt] += 1
        try:
            yield
        finally:
            running[prompt] -= 1
            running += Counter()  # drops prompts with a count of zero
            if not running:
                self.suspects.pop(upstream, None)

    def _retract_disproved_crashes(self, now_wall_s: float) -> None:
        now_s = self.clock.monotonic_s()
        crashes = self.ledger.crashes()
        self.recorded_s = {
            crash: self.recorded_s.get(crash, now_s) for crash in crashes
        }
        reports = self.board.read(UpstreamsSection).reports
        for crash, recorded_s in self.recorded_s.items():
            report = reports.get(crash.upstream)
            if report is None or report.load is None:
                continue
            is_newer = report.received_monotonic_s > recorded_s + RETRACTION_MARGIN_S
            if is_newer and report.load.boot == crash.boot:
                self.ledger.retract_crash(crash, now_wall_s)
                self.log_part.info(
                    f"Upstream {crash.upstream} did not crash; its strikes are dropped."
                )

    def _post(self) -> None:
        section = PoisonSection(
            tuple(self.ledger.strikes.values()), tuple(self.ledger.quarantines.values())
        )
        if section != self.board.read(PoisonSection):
            self.writer.post(section)

    def _fingerprint(self, request: ModelRequest) -> str:
        digest = self.fingerprints.get(request.request_id)
        if digest is None:
            digest = fingerprint(request.model, request.prompt)
            self.fingerprints[request.request_id] = digest
            if len(self.fingerprints) > MAX_CACHED_FINGERPRINTS:
                del self.fingerprints[next(iter(self.fingerprints))]
        return digest
