"""Correction of the nodes' own counts by load reports, which come late.

A report is compared with the counts of the time it was made, so that work that started
or ended since isn't mistaken for a difference. Only what exceeds the greatest count
near that time is taken as unexplained: own counts win, reports correct them upwards.
"""

from collections import deque
from dataclasses import dataclass

from lagoonhinge_core.engine_messages import LoadReport
from lagoonhinge_core.in_flight import NO_WORK, UpstreamWork

HISTORY_S = 10.0
REPORT_TOLERANCE_S = 1.5
MAX_REPORT_AGE_S = 5.0


@dataclass(frozen=True)
class CountsAt:
    """All counts at one time."""

    at_s: float
    by_upstream: dict[str, UpstreamWork]


class LoadCorrection:
    """Compares load reports with the counts of their time."""

    def __init__(self) -> None:
        self.history: deque[CountsAt] = deque()

    def record(self, now_s: float, by_upstream: dict[str, UpstreamWork]) -> None:
        """Keep the present counts for comparison with later reports."""
        self.history.append(CountsAt(now_s, by_upstream))
        while self.history[0].at_s < now_s - HISTORY_S:
            self.history.popleft()

    def unexplained(
        self, upstream: str, report: LoadReport, received_s: float, now_s: float
    ) -> UpstreamWork | None:
        """Return what a report shows beyond the counts, or `None` for nothing."""
        made_s = received_s - report.age_s
        if now_s - made_s > MAX_REPORT_AGE_S:
            return None
        near = [
            entry.by_upstream.get(upstream, NO_WORK)
            for entry in self.history
            if abs(entry.at_s - made_s) <= REPORT_TOLERANCE_S
        ]
        if not near:
            return None
        prefill = report.queued_tokens - max(work.prefill_tokens for work in near)
        kv = report.kv_used_tokens - max(work.tokens for work in near)
        if prefill <= 0 and kv <= 0:
            return None
        return UpstreamWork(tokens=max(0, kv), prefill_tokens=max(0, prefill))
