"""Quarantine of requests that crash the upstreams that run them.

An attempt that breaks off makes its request suspected of crashing the upstream. If that
upstream is then found to have ended, the crash is confirmed, and counts for everything
in the request that may have caused it. A request that has a cause of several crashes is
refused for a while, for all callers and at every node. If the crashes can't tell it
from another one, it is tried.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.crash_causes import (
    CRASHES_TO_QUARANTINE,
    FoundCause,
    PossibleCauses,
    find_causes,
    is_part,
)
from lagoonhinge_core.forwarding.crash_limits import (
    GOSSIP_DURATION_S,
    MAX_ENTRIES,
    MAX_GOSSIPED,
    QUARANTINE_S,
)
from lagoonhinge_core.forwarding.crash_reports import AnswerReport, Crash, CrashReport
from lagoonhinge_core.forwarding.crash_trials import Trial, TrialLedger, TrialReport
from lagoonhinge_core.forwarding.outlived_runs import OutlivedRuns
from lagoonhinge_core.forwarding.timed_entries import drop_old, put_last
from lagoonhinge_core.forwarding.upstreams import UpstreamRun

# Detecting that an upstream ended takes less: its row expires after some seconds, and a
# connection is refused sooner.
SUSPECT_TTL_S = 6.0
# From the last crash until a cause that nothing disputes is tried, at first.
PART_TRIAL_DELAY_S = 10.0
REQUEST_TRIAL_DELAY_S = 60.0
CRASHES_TO_SUSPECT = 2  # sound prompts are often on one upstream that ends
CAUSES_MAX_AGE_S = 0.1  # until causes are found again, as crashes settle


@dataclass
class CrashTracker:
    """Suspected and confirmed crashes at one node, each with a time in seconds.

    Attributes:
        suspected: Time at which the attempt broke off.
        confirmed: Likewise, of crashes that are not contradicted by a later answer.
        gossiped: Crashes that this node detected and still sends to its peers, with
            the time of detection.
        answered: Time of the last answer to a request with each possible cause.
        gossiped_answers: Possible causes whose answers contradict crashes that peers
            may know, with the time since which they are sent.
        trials: Trials of causes that the crashes can't tell apart.
        outlived: Runs that ended while others went on.
        causes: Causes found in the confirmed crashes, and when, in seconds.
    """

    suspected: dict[Crash, float] = field(default_factory=dict)
    confirmed: dict[Crash, float] = field(default_factory=dict)
    gossiped: dict[Crash, float] = field(default_factory=dict)
    answered: dict[str, float] = field(default_factory=dict)
    gossiped_answers: dict[str, float] = field(default_factory=dict)
    trials: TrialLedger = field(default_factory=TrialLedger)
    outlived: OutlivedRuns = field(default_factory=OutlivedRuns)
    causes: tuple[FoundCause, ...] = ()
    causes_found_s: float = float("-inf")

    def is_empty(self) -> bool:
        """Return whether there are no suspected or confirmed crashes."""
        return not self.suspected and not self.confirmed

    def has_reports(self) -> bool:
        """Return whether there is something to send to all peers."""
        return bool(self.gossiped or self.gossiped_answers or self.trials.reported_s)

    def add_suspect(
        self, causes: PossibleCauses, run: UpstreamRun, now_s: float
    ) -> None:
        """Record an attempt that broke off while its upstream ran it."""
        self._expire(now_s)
        for cause in causes.all():
            crash = Crash(cause, run.instance, run.started_ms)
            put_last(self.suspected, crash, now_s)

    def confirm_crashes(
        self, instance: str, now_s: float, successor: UpstreamRun | None = None
    ) -> tuple[Crash, ...]:
        """Confirm the suspected crashes of an upstream that has ended.

        Args:
            instance: The upstream.
            now_s: The time, in seconds.
            successor: The run that took its place, if it started again; that one has
                not ended.

        Returns:
            The crashes confirmed by this call.
        """
        self._expire(now_s)
        ended = [
            crash
            for crash in self.suspected
            if crash.instance == instance and crash.run() != successor
        ]
        times_s = {crash: self.suspected.pop(crash) for crash in ended}
        confirmed = tuple(
            crash for crash in ended if not self._is_contradicted(crash, times_s[crash])
        )
        for crash in confirmed:
            self.confirmed.pop(crash, None)
            self._add_confirmed(crash, times_s[crash])
            put_last(self.gossiped, crash, now_s)
        self._forget_causes()
        return confirmed

    def suspected_instances(self, now_s: float) -> frozenset[str]:
        """Return the upstreams that have suspected crashes."""
        self._expire(now_s)
        return frozenset(crash.instance for crash in self.suspected)

    def clear_run(self, run: UpstreamRun) -> None:
        """Drop the suspected crashes of an upstream that is still running."""
        for crash in [crash for crash in self.suspected if crash.run() == run]:
            del self.suspected[crash]

    def merge(
        self,
        crashes: Iterable[CrashReport],
        answers: Iterable[AnswerReport],
        now_s: float,
        trials: Iterable[TrialReport] = (),
    ) -> None:
        """Add what a peer reports."""
        self.trials.merge(trials, now_s)
        for answer in answers:
            self._record_answer_of_peer(answer.cause, now_s - answer.age_s)
        for report in crashes:
            crash, at_s = report.crash, now_s - report.age_s
            if report.outlived:
                self.outlived.add(crash.run(), now_s)
            if not self._is_contradicted(crash, at_s):
                self._add_confirmed(crash, at_s)
            elif crash.cause not in self.gossiped_answers:
                self.gossiped_answers[crash.cause] = now_s
        self._expire(now_s)
        self._forget_causes()

    def restore(
        self,
        crashes: Iterable[CrashReport],
        trials: Iterable[TrialReport],
        now_s: float,
    ) -> int:
        """Add what the store kept, and tell the peers what is new of it.

        Returns:
            The number of crashes that were not known.
        """
        known = set(self.confirmed)
        self.merge(crashes, (), now_s, trials)
        restored = [crash for crash in self.confirmed if crash not in known]
        for crash in restored:
            put_last(self.gossiped, crash, now_s)
        return len(restored)

    def crash_reports(self, now_s: float) -> tuple[CrashReport, ...]:
        """Return the crashes to send to peers."""
        self._expire(now_s)
        return tuple(
            self._report(crash, now_s)
            for crash in tuple(self.gossiped)[-MAX_GOSSIPED:]
            if crash in self.confirmed
        )

    def answer_reports(self, now_s: float) -> tuple[AnswerReport, ...]:
        """Return the answers to send to peers."""
        self._expire(now_s)
        return tuple(
            AnswerReport(cause, now_s - self.answered[cause])
            for cause in tuple(self.gossiped_answers)[-MAX_GOSSIPED:]
            if cause in self.answered
        )

    def evidence(self, now_s: float) -> tuple[CrashReport, ...]:
        """Return the crashes behind the quarantines, for nodes that missed them."""
        found = self._found_causes(now_s)
        return tuple(
            self._report(crash, now_s)
            for crash in self.confirmed
            if crash.cause in found
        )[-MAX_GOSSIPED:]

    def trial_evidence(self, now_s: float) -> tuple[TrialReport, ...]:
        """Return the trials of causes of quarantines, for nodes that missed them."""
        return self.trials.reports_of(self._found_causes(now_s), now_s)

    def record_answer(self, causes: Iterable[str], now_s: float) -> None:
        """Record a successful answer, which contradicts all earlier crashes."""
        for cause in causes:
            if is_part(cause):
                # Only engines answer prompts with parts, so not all of these ended.
                self.outlived.record_answer(now_s)
            put_last(self.answered, cause, now_s)
            if self._drop_contradicted(cause):
                put_last(self.gossiped_answers, cause, now_s)
        if len(self.answered) > MAX_ENTRIES:
            self._expire(now_s)

    def remaining_quarantine_s(self, causes: PossibleCauses, now_s: float) -> float:
        """Return the rest of a request's quarantine, in seconds; 0 if there is none."""
        held = self._causes_held_by(causes, now_s)
        if not held:
            return 0.0
        return max(0.0, self._newest_crash_s(held) + QUARANTINE_S - now_s)

    def trial_due_in_s(self, causes: PossibleCauses, now_s: float) -> float | None:
        """Return when a request in quarantine may be tried.

        Returns:
            Time until then, in seconds, 0 if now; `None` if it is not tried.
        """
        held = self._held_by(causes, now_s)
        # One that has two causes can't tell them apart.
        if len(held) != 1 or self._has_other_suspect(causes, held[0]):
            return None
        return max(0.0, self._trial_due_s(held[0], now_s) - now_s)

    def claim_trial(self, causes: PossibleCauses, now_s: float) -> None:
        """Claim the trial of a request that may be tried now."""
        self.trials.claim(self._causes_held_by(causes, now_s), now_s)

    def may_begin_trial(self, causes: PossibleCauses, now_s: float) -> bool:
        """Return whether a claimed trial may begin.

        It may not while another trial is to begin first, or if another node has it.
        """
        held = self._causes_held_by(causes, now_s)
        return self.trials.holds(held) and self.trials.is_next(held, now_s)

    def record_trial(
        self, causes: PossibleCauses, run: UpstreamRun, now_s: float
    ) -> None:
        """Record the upstream on which a request is tried."""
        held = self._causes_held_by(causes, now_s)
        self.trials.set_run(held, run, now_s)

    def trial_instances(self, now_s: float) -> frozenset[str]:
        """Return the upstreams on which a trial may still run."""
        return frozenset(
            trial.instance
            for cause, trial in self.trials.newest.items()
            if trial.instance
            and now_s < trial.next_due_s()
            and self.answered.get(cause, float("-inf")) < trial.at_s
        )

    def may_retry(self, causes: PossibleCauses, now_s: float) -> bool:
        """Return whether a request may be retried after an attempt that broke off."""
        if self.remaining_quarantine_s(causes, now_s):
            return False
        crashes = {*self.suspected, *self.confirmed}
        count = sum(crash.cause == causes.digest for crash in crashes)
        return count < CRASHES_TO_QUARANTINE

    def quarantined(self, now_s: float) -> tuple[frozenset[str], ...]:
        """Return the causes whose requests are refused."""
        return tuple(found.causes for found in self._find_causes(now_s))

    def upstreams_of(self, cause: frozenset[str]) -> tuple[str, ...]:
        """Return the upstreams that ended while they ran requests with a cause."""
        return tuple(
            dict.fromkeys(c.instance for c in self.confirmed if c.cause in cause)
        )

    def _held_by(self, causes: PossibleCauses, now_s: float) -> list[FoundCause]:
        """Return the causes of crashes for which a request is refused."""
        present = causes.all()
        return [f for f in self._find_causes(now_s) if f.causes <= present]

    def _causes_held_by(self, causes: PossibleCauses, now_s: float) -> frozenset[str]:
        held = (found.causes for found in self._held_by(causes, now_s))
        return frozenset[str]().union(*held)

    def _found_causes(self, now_s: float) -> frozenset[str]:
        found = (entry.causes for entry in self._find_causes(now_s))
        return frozenset[str]().union(*found)

    def _has_other_suspect(self, causes: PossibleCauses, found: FoundCause) -> bool:
        """Return whether another part of a prompt may crash the trial of a part."""
        if not found.is_part():
            return False
        others = frozenset(causes.parts) - found.causes
        crashes = Counter(c.cause for c in self.confirmed if c.cause in others)
        return any(count >= CRASHES_TO_SUSPECT for count in crashes.values())

    def _trial_due_s(self, found: FoundCause, now_s: float) -> float:
        """Return from when a cause may be tried, in seconds."""
        trials = [
            trial.next_due_s(self._crashed_in_trial(found, trial, now_s))
            for cause in found.causes
            if (trial := self.trials.newest.get(cause)) is not None
        ]
        if trials:
            return max(trials)
        if found.is_disputed:
            return now_s
        # Many sound requests may share a part, but few are the same.
        delay_s = PART_TRIAL_DELAY_S if found.is_part() else REQUEST_TRIAL_DELAY_S
        return self._newest_crash_s(found.causes) + delay_s

    def _newest_crash_s(self, causes: Collection[str]) -> float:
        """Return when an upstream last ended; minus infinity if its crashes are old."""
        return max(
            (at_s for crash, at_s in self.confirmed.items() if crash.cause in causes),
            default=float("-inf"),
        )

    def _crashed_in_trial(self, found: FoundCause, trial: Trial, now_s: float) -> bool:
        """Return whether a trial's upstream ended, and no other cause explains that."""
        ended_s = max(
            self.confirmed.get(
                Crash(cause, trial.instance, trial.started_ms), float("-inf")
            )
            for cause in found.causes
        )
        # One that had ended before was only tried because it was still listed.
        has_ended = trial.run() in found.upstreams and ended_s >= trial.at_s
        return has_ended and not any(
            trial.run() in other.upstreams
            for other in self._find_causes(now_s)
            if other.causes != found.causes
        )

    def _find_causes(self, now_s: float) -> tuple[FoundCause, ...]:
        self._expire(now_s)
        if now_s - self.causes_found_s >= CAUSES_MAX_AGE_S:
            crashes_s: dict[str, dict[UpstreamRun, float]] = {}
            ends_s: dict[UpstreamRun, float] = {}
            for crash, at_s in self.confirmed.items():
                run = crash.run()
                crashes_s.setdefault(crash.cause, {})[run] = ends_s[run] = at_s
            self.outlived.find(ends_s, now_s)
            self.causes = find_causes(crashes_s, now_s, self.outlived.runs.keys())
            self.causes_found_s = now_s
        return self.causes

    def _report(self, crash: Crash, now_s: float) -> CrashReport:
        age_s = now_s - self.confirmed[crash]
        return CrashReport(crash, age_s, crash.run() in self.outlived.runs)

    def _forget_causes(self) -> None:
        self.causes_found_s = float("-inf")

    def _add_confirmed(self, crash: Crash, at_s: float) -> None:
        """Add a crash, unless it is known.

        Nodes of an earlier version report no start, so their reports may be of a crash
        that is known with it, or the reverse.
        """
        if crash.started_ms:
            self.confirmed.pop(Crash(crash.cause, crash.instance), None)
        elif any(
            (known.cause, known.instance) == (crash.cause, crash.instance)
            for known in self.confirmed
        ):
            return
        self.confirmed.setdefault(crash, at_s)

    def _is_contradicted(self, crash: Crash, at_s: float) -> bool:
        return self.answered.get(crash.cause, float("-inf")) >= at_s

    def _drop_contradicted(self, cause: str) -> bool:
        """Drop the crashes before the last answer; return whether one was confirmed."""
        answered_s = self.answered[cause]
        had_confirmed = False
        for entries in (self.suspected, self.confirmed):
            for crash in [
                crash
                for crash, at_s in entries.items()
                if crash.cause == cause and at_s <= answered_s
            ]:
                del entries[crash]
                had_confirmed |= entries is self.confirmed
        if had_confirmed:
            self._forget_causes()
        return had_confirmed

    def _record_answer_of_peer(self, cause: str, answered_s: float) -> None:
        if answered_s <= self.answered.get(cause, float("-inf")):
            return
        put_last(self.answered, cause, answered_s)
        self._drop_contradicted(cause)
        # The peer has told all nodes.
        self.gossiped_answers.pop(cause, None)

    def _expire(self, now_s: float) -> None:
        drop_old(self.suspected, now_s - SUSPECT_TTL_S)
        drop_old(self.confirmed, now_s - QUARANTINE_S)
        drop_old(self.gossiped, now_s - GOSSIP_DURATION_S)
        self.outlived.expire(now_s)
        drop_old(self.answered, now_s - QUARANTINE_S)
        drop_old(self.gossiped_answers, now_s - GOSSIP_DURATION_S)
