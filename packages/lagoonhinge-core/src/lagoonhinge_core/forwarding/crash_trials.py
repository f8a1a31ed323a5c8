"""Trials that tell apart what may have crashed upstreams.

Causes with the same crashes are all held back, so no answer to them can show which one
is sound. A trial sends one request that has only one of them, on an upstream where no
other trial runs: an answer clears it, and one more crash shows that it is guilty.

Load pattern: a request that crashes its upstreams and a sound one are sent together
each time, at the same node or at different ones, and run on the same upstreams. A part
that all prompts share is refused, so no answer can show that it is sound.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from lagoonhinge_core.forwarding.crash_limits import (
    GOSSIP_DURATION_S,
    MAX_ENTRIES,
    MAX_GOSSIPED,
    QUARANTINE_S,
)
from lagoonhinge_core.forwarding.upstreams import UpstreamRun

# From the claim of a trial to its start: nodes that claim one at the same time learn of
# each other. The reports of large fleets go out each third of a second.
CLAIM_S = 0.6
MAX_TURN_WAIT_S = 0.8  # after that, for trials that were claimed beside it
# A claim that chose no upstream by then was left; 0.6 s more for a busy node.
CLAIM_TTL_S = CLAIM_S + MAX_TURN_WAIT_S + 0.6
# Until a trial that had no result is repeated, at first, so that a sound request is
# served within 10 s of its first refusal.
FIRST_INTERVAL_S = 5.0
INTERVAL_GROWTH = 3.0
# Each trial of what crashes upstreams ends one, so after a crash they are rare: at most
# two in 90 s, where callers' upstreams may get three such requests.
GROWTHS_AFTER_CRASH = 2
MAX_GROWTHS = 5  # an interval longer than a quarantine has no effect


@dataclass(frozen=True)
class Trial:
    """A trial of a cause.

    Attributes:
        node: The node that makes it.
        instance: The upstream; empty until it is chosen.
        at_s: When it was claimed, in seconds.
        number: Number of the trial of this cause, from 1; claims that were left before
            an upstream was chosen don't count.
        started_ms: Start of the upstream's run, in milliseconds since the epoch; 0 if
            it or a peer does not report it.
    """

    node: str
    instance: str
    at_s: float
    number: int
    started_ms: int = 0

    def run(self) -> UpstreamRun:
        """Return the run of the upstream."""
        return UpstreamRun(self.instance, self.started_ms)

    def is_same(self, node: str, number: int) -> bool:
        """Return whether it is the trial of this number by a node."""
        return (self.node, self.number) == (node, number)

    def next_due_s(self, has_crashed: bool = False) -> float:
        """Return from when another one may be made.

        Args:
            has_crashed: Whether its upstream ended, for no other known cause.
        """
        if not self.instance:
            return self.at_s + CLAIM_TTL_S
        growths = self.number - 1 + GROWTHS_AFTER_CRASH * has_crashed
        growths = min(growths, MAX_GROWTHS)
        return self.at_s + FIRST_INTERVAL_S * INTERVAL_GROWTH**growths


@dataclass(frozen=True)
class TrialReport:
    """A trial that a node tells its peers.

    Attributes:
        cause: The cause.
        node: The node that makes it.
        instance: The upstream; empty until it is chosen.
        number: Number of the trial of this cause, from 1.
        age_s: Time since it was claimed, in seconds.
        started_ms: Start of the upstream's run, in milliseconds since the epoch; 0 if
            it is not reported.
    """

    cause: str
    node: str
    instance: str
    number: int
    age_s: float
    started_ms: int = 0


@dataclass
class TrialLedger:
    """The newest trial of each cause, as far as one node knows.

    Attributes:
        node: Name of this node.
        newest: The trials, by cause, in the order in which they were learnt.
        reported_s: Causes whose trials by this node are sent to peers, and since when,
            in seconds.
    """

    node: str = ""
    newest: dict[str, Trial] = field(default_factory=dict)
    reported_s: dict[str, float] = field(default_factory=dict)

    def claim(self, causes: Iterable[str], now_s: float) -> None:
        """Claim the next trial of causes for this node."""
        for cause in causes:
            earlier = self.newest.get(cause)
            number = 1
            if earlier is not None:
                number = earlier.number + bool(earlier.instance)
            self._put(cause, Trial(self.node, "", now_s, number), now_s)
            self.reported_s[cause] = now_s

    def holds(self, causes: Iterable[str]) -> bool:
        """Return whether the newest trials of causes are this node's."""
        trials = [self.newest.get(cause) for cause in causes]
        return all(trial is not None and trial.node == self.node for trial in trials)

    def is_next(self, causes: Collection[str], now_s: float) -> bool:
        """Return whether no other claimed trial chooses its upstream before.

        They choose in turn, which is the same at all nodes. At the same time, nodes
        would choose the same upstream, as they choose by the same loads.
        """
        first = min(causes, default="")
        return not any(
            cause < first and not trial.instance and now_s < trial.next_due_s()
            for cause, trial in self.newest.items()
            if cause not in causes
        )

    def set_run(self, causes: Iterable[str], run: UpstreamRun, now_s: float) -> None:
        """Record the upstream of this node's trial of causes."""
        for cause in causes:
            trial = self.newest.get(cause)
            if trial is not None and trial.node == self.node:
                begun = replace(trial, instance=run.instance, started_ms=run.started_ms)
                self._put(cause, begun, now_s)
                self.reported_s[cause] = now_s

    def reports(self, now_s: float) -> tuple[TrialReport, ...]:
        """Return the trials of this node to send to peers."""
        for cause, since_s in tuple(self.reported_s.items()):
            if now_s - since_s > GOSSIP_DURATION_S or cause not in self.newest:
                del self.reported_s[cause]
        return self.reports_of(tuple(self.reported_s)[-MAX_GOSSIPED:], now_s)

    def reports_of(
        self, causes: Collection[str], now_s: float
    ) -> tuple[TrialReport, ...]:
        """Return the trials of causes, of any node."""
        return tuple(
            TrialReport(
                cause,
                trial.node,
                trial.instance,
                trial.number,
                age_s,
                trial.started_ms,
            )
            for cause in causes
            if (trial := self.newest.get(cause)) is not None
            and (age_s := now_s - trial.at_s) <= QUARANTINE_S
        )[:MAX_GOSSIPED]

    def merge(self, reports: Iterable[TrialReport], now_s: float) -> None:
        """Add the trials that a peer reports."""
        for report in reports:
            at_s = now_s - report.age_s
            known = self.newest.get(report.cause)
            if known is not None and known.is_same(report.node, report.number):
                # Each peer that passes it on adds the delay of a message.
                at_s = min(at_s, known.at_s)
            trial = Trial(
                report.node, report.instance, at_s, report.number, report.started_ms
            )
            if self._supersedes(trial, known, now_s):
                self._put(report.cause, trial, now_s)

    def _supersedes(self, trial: Trial, known: Trial | None, now_s: float) -> bool:
        if known is None:
            return True
        if known.is_same(trial.node, trial.number):
            return bool(trial.instance) and trial.node != self.node
        if known.node == self.node and now_s - known.at_s < CLAIM_S:
            # Of nodes that claim one at the same time, the first by name has it.
            return trial.node < self.node and now_s - trial.at_s < CLAIM_TTL_S
        return trial.at_s > known.at_s

    def _put(self, cause: str, trial: Trial, now_s: float) -> None:
        self.newest.pop(cause, None)
        self.newest[cause] = trial
        while self.newest:
            oldest, first = next(iter(self.newest.items()))
            if now_s - first.at_s <= QUARANTINE_S and len(self.newest) <= MAX_ENTRIES:
                break
            del self.newest[oldest]
