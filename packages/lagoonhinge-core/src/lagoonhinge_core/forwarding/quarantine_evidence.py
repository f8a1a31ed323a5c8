"""What the platform's store keeps of quarantines, for nodes that all end at once.

Nodes tell each other of crashes, and those that start later learn them from the others.
After a power failure at all nodes there is no other one, and prompts that crash
upstreams would reach them again until as many have ended as the first time.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import TypeAlias, TypeVar

from lagoonhinge_core.forwarding.crash_limits import QUARANTINE_S
from lagoonhinge_core.forwarding.crash_reports import Crash, CrashReport
from lagoonhinge_core.forwarding.crash_trials import TrialReport

ReportT = TypeVar("ReportT", CrashReport, TrialReport)
EvidenceContent: TypeAlias = tuple[
    frozenset[Crash], frozenset[tuple[str, str, int, str]]
]


@dataclass(frozen=True)
class QuarantineEvidence:
    """The crashes behind a node's quarantines, and the trials of their causes.

    Attributes:
        store_time_s: Time of the store's clock to which the ages refer, in seconds.
        crashes: The crashes.
        trials: The trials, so that nodes that start don't make them again at once.
    """

    store_time_s: float
    crashes: tuple[CrashReport, ...] = ()
    trials: tuple[TrialReport, ...] = ()

    def content(self) -> EvidenceContent:
        """Return what it says, without ages, to tell whether that has changed."""
        return (
            frozenset(report.crash for report in self.crashes),
            frozenset(
                (trial.cause, trial.node, trial.number, trial.instance)
                for trial in self.trials
            ),
        )

    def at(self, store_time_s: float) -> "QuarantineEvidence":
        """Return it with the ages of a later time of the store's clock, in seconds."""
        # The store's clock may have been set anew.
        elapsed_s = max(0.0, store_time_s - self.store_time_s)
        return QuarantineEvidence(
            store_time_s,
            _aged(self.crashes, elapsed_s),
            _aged(self.trials, elapsed_s),
        )

    def newest_half(self) -> "QuarantineEvidence":
        """Return it with the newer half of the crashes and of the trials."""
        return replace(
            self, crashes=_newest_half(self.crashes), trials=_newest_half(self.trials)
        )


def _newest_half(reports: Sequence[ReportT]) -> tuple[ReportT, ...]:
    by_age = sorted(reports, key=lambda report: report.age_s)
    return tuple(by_age[: len(by_age) // 2])


def _aged(reports: Iterable[ReportT], elapsed_s: float) -> tuple[ReportT, ...]:
    aged = (replace(report, age_s=report.age_s + elapsed_s) for report in reports)
    return tuple(report for report in aged if report.age_s <= QUARANTINE_S)
