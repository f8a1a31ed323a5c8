"""Result figures of emulated runs."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from hdrh.histogram import HdrHistogram

from bench.emulator.fleet import Outcome

WINDOW_S = 2.0
MAX_US = 60_000_000


@dataclass(frozen=True)
class KindFigures:
    """Figures of one kind of prompts.

    Attributes:
        requests: Number of requests.
        in_time: Share with the first event and all gaps in time.
        late_first_event: Share whose first event is late or missing.
        late_gap: Share that is late only because of a gap between events.
        unserved: Share without a complete answer within the time limit.
        value_share: Value of the answers as a share of their value in time.
        p50_s: Median time to the first event, in seconds.
        p99_s: 99th percentile of that time, in seconds.
    """

    requests: int
    in_time: float
    late_first_event: float
    late_gap: float
    unserved: float
    value_share: float
    p50_s: float
    p99_s: float


def kind_figures(outcomes: Iterable[Outcome]) -> KindFigures:
    """Return the figures of requests of one kind."""
    outcome_list = list(outcomes)
    times = HdrHistogram(1, MAX_US, 3)
    late_first_event = late_gap = unserved = 0
    for outcome in outcome_list:
        kind = outcome.arrival.kind
        first_event_s = outcome.first_s - outcome.arrival.at_s
        times.record_value(min(MAX_US, int(min(first_event_s, 60.0) * 1e6)))
        unserved += not outcome.value()
        if first_event_s > kind.target_s:
            late_first_event += 1
        elif outcome.max_gap_s > kind.gap_limit_s:
            late_gap += 1
    count = max(1, len(outcome_list))
    return KindFigures(
        len(outcome_list),
        1 - (late_first_event + late_gap) / count,
        late_first_event / count,
        late_gap / count,
        unserved / count,
        value_share(outcome_list),
        times.get_value_at_percentile(50) / 1e6,
        times.get_value_at_percentile(99) / 1e6,
    )


def value_share(outcomes: Iterable[Outcome]) -> float:
    """Return the value of the answers as a share of their value in time."""
    outcome_list = list(outcomes)
    max_value = sum(outcome.value_in_time() for outcome in outcome_list)
    return (
        sum(outcome.value() for outcome in outcome_list) / max_value
        if max_value
        else 1.0
    )


def window_shares(outcomes: Iterable[Outcome]) -> list[float]:
    """Return the value share by time of arrival, in windows of `WINDOW_S`."""
    outcome_list = list(outcomes)
    end_s = max((outcome.arrival.at_s for outcome in outcome_list), default=0.0)
    groups: list[list[Outcome]] = [[] for _ in range(ceil(end_s / WINDOW_S) or 1)]
    for outcome in outcome_list:
        groups[int(outcome.arrival.at_s / WINDOW_S)].append(outcome)
    return [value_share(group) for group in groups]
