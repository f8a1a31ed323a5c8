"""Which upstreams ended while others went on.

Load pattern: prompts that come together crash several upstreams at the same moment,
which looks like a power failure. After a power failure nothing else answers.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial

from lagoonhinge_core.forwarding.crash_causes import is_soon_after
from lagoonhinge_core.forwarding.crash_limits import QUARANTINE_S
from lagoonhinge_core.forwarding.timed_entries import drop_old
from lagoonhinge_core.forwarding.upstreams import UpstreamRun

# Reports of a crash arrive within this time of it.
ANSWERS_KEPT_S = 6.0
ANSWER_STEP_S = 0.1  # of the times at which answers are recorded
MAX_ANSWERS = round(ANSWERS_KEPT_S / ANSWER_STEP_S)


@dataclass
class OutlivedRuns:
    """Runs soon after whose end another upstream answered, as one node knows them.

    Attributes:
        answers_s: When requests of this node were answered, the last ones, in seconds.
        runs: The runs, with the time at which that became known, in seconds.
    """

    answers_s: deque[float] = field(default_factory=partial(deque, maxlen=MAX_ANSWERS))
    runs: dict[UpstreamRun, float] = field(default_factory=dict)

    def record_answer(self, now_s: float) -> None:
        """Record that an engine answered, or went on with an answer."""
        if not self.answers_s or now_s - self.answers_s[-1] >= ANSWER_STEP_S:
            self.answers_s.append(now_s)

    def add(self, run: UpstreamRun, now_s: float) -> None:
        """Add a run that a peer reports."""
        self.runs.setdefault(run, now_s)

    def find(self, ends_s: Mapping[UpstreamRun, float], now_s: float) -> None:
        """Add the runs soon after whose end there was an answer.

        Args:
            ends_s: When runs ended, in seconds.
            now_s: The time, in seconds.
        """
        for run, end_s in ends_s.items():
            is_recent = now_s - end_s <= ANSWERS_KEPT_S
            if is_recent and run not in self.runs and self._answered_soon_after(end_s):
                self.runs[run] = now_s

    def _answered_soon_after(self, end_s: float) -> bool:
        return any(is_soon_after(end_s, answered_s) for answered_s in self.answers_s)

    def expire(self, now_s: float) -> None:
        """Drop old entries."""
        drop_old(self.runs, now_s - QUARANTINE_S)
