"""Figures of emulated runs."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from hdrh.histogram import HdrHistogram

from bench.emulator.fleet import Outcome

WINDOW_S = 2.0
MOST_US = 60_000_000


@dataclass(frozen=True)
class KindFigures:
    """Figures of one kind of prompts.

    Attributes:
        asked: Requests.
        in_time: Share answered in time.
        late_first: Share whose first event came late, or never.
        late_pause: Share late only for a pause.
        unserved: Share without a whole answer.
        worth: Earned worth as a share of what was owed.
        p50_s: Median time to the first event, in seconds.
        p99_s: 99th percentile of that time, in seconds.
    """

    asked: int
    in_time: float
    late_first: float
    late_pause: float
    unserved: float
    worth: float
    p50_s: float
    p99_s: float


def kind_figures(outcomes: Iterable[Outcome]) -> KindFigures:
    """Return the figures of some requests."""
    found = list(outcomes)
    times = HdrHistogram(1, MOST_US, 3)
    late_first = late_pause = unserved = 0
    for outcome in found:
        kind = outcome.arrival.kind
        took_s = outcome.first_s - outcome.arrival.at_s
        times.record_value(min(MOST_US, int(min(took_s, 60.0) * 1e6)))
        unserved += not outcome.earned()
        if took_s > kind.target_s:
            late_first += 1
        elif outcome.pause_s > kind.pause_s:
            late_pause += 1
    count = max(1, len(found))
    return KindFigures(
        len(found),
        1 - (late_first + late_pause) / count,
        late_first / count,
        late_pause / count,
        unserved / count,
        share_earned(found),
        times.get_value_at_percentile(50) / 1e6,
        times.get_value_at_percentile(99) / 1e6,
    )


def share_earned(outcomes: Iterable[Outcome]) -> float:
    """Return the earned worth as a share of what was owed."""
    found = list(outcomes)
    owed = sum(outcome.owed() for outcome in found)
    return sum(outcome.earned() for outcome in found) / owed if owed else 1.0


def windows(outcomes: Iterable[Outcome]) -> list[float]:
    """Return the earned share by the time of arrival, in windows of `WINDOW_S`."""
    found = list(outcomes)
    end_s = max((outcome.arrival.at_s for outcome in found), default=0.0)
    groups: list[list[Outcome]] = [[] for _ in range(ceil(end_s / WINDOW_S) or 1)]
    for outcome in found:
        groups[int(outcome.arrival.at_s / WINDOW_S)].append(outcome)
    return [share_earned(group) for group in groups]
