"""Correction of the nodes' work counts by delayed load reports.

A report is compared with the counts of the time it was measured, so that work that
started or ended since then isn't a difference. Only the excess over the highest count
around that time is unexplained: reports correct the counts only upwards.
"""

from collections import deque
from dataclasses import dataclass

from lagoonhinge_core.engine_messages import LoadReport
from lagoonhinge_core.in_flight import NO_WORK, UpstreamWork

MAX_SNAPSHOT_AGE_S = 10.0
REPORT_TOLERANCE_S = 1.5  # around the time of measurement
MAX_REPORT_AGE_S = 5.0


@dataclass(frozen=True)
class WorkSnapshot:
    """Work by upstream name at one time."""

    at_s: float
    by_upstream: dict[str, UpstreamWork]


class LoadCorrection:
    """Compares load reports with the counts at their time of measurement."""

    def __init__(self) -> None:
        self.history: deque[WorkSnapshot] = deque()

    def record(self, now_s: float, by_upstream: dict[str, UpstreamWork]) -> None:
        """Store the current counts for comparison with later reports."""
        self.history.append(WorkSnapshot(now_s, by_upstream))
        while self.history[0].at_s < now_s - MAX_SNAPSHOT_AGE_S:
            self.history.popleft()

    def unexplained(
        self, upstream: str, report: LoadReport, received_s: float, now_s: float
    ) -> UpstreamWork | None:
        """Return the work that a report shows beyond the counts, or `None`."""
        measured_s = received_s - report.age_s
        if now_s - measured_s > MAX_REPORT_AGE_S:
            return None
        counts = [
            entry.by_upstream.get(upstream, NO_WORK)
            for entry in self.history
            if abs(entry.at_s - measured_s) <= REPORT_TOLERANCE_S
        ]
        if not counts:
            return None
        prefill = report.queued_tokens - max(work.prefill_tokens for work in counts)
        kv = report.kv_used_tokens - max(work.tokens for work in counts)
        if prefill <= 0 and kv <= 0:
            return None
        return UpstreamWork(tokens=max(0, kv), prefill_tokens=max(0, prefill))
