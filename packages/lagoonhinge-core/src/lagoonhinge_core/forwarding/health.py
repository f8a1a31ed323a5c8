"""Outlier detection: upstreams to avoid because of the results of recent attempts."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

MIN_EJECTION_S = 0.5  # about the time until a connection that was reset can be reopened
MAX_EJECTION_S = 4.0
NEWEST_WEIGHT = 0.25  # of the newest result in the moving average of failures
EJECTION_THRESHOLD = 0.45  # failed share; services fail some calls in normal operation
# If more than this share of a service would be ejected, the cause is overload or this
# node.
MAX_EJECTED_SHARE = 0.5


@dataclass(frozen=True)
class HealthRecord:
    """Results of recent attempts at one upstream.

    Attributes:
        failed_share: Share of failed attempts, as an exponential moving average.
        losses: Consecutive attempts that could not be delivered or broke off.
        rest_until_s: End of its ejection, in seconds.
        unreachable: Whether the last connection to it could not be opened.
    """

    failed_share: float = 0.0
    losses: int = 0
    rest_until_s: float = 0.0
    unreachable: bool = False


NO_FAILURES = HealthRecord()


class HealthTracker:
    """Health records of the upstreams that failed recently, by instance."""

    def __init__(self) -> None:
        self.records: dict[str, HealthRecord] = {}

    def ejected(self, instances: Iterable[str], now_s: float) -> frozenset[str]:
        """Return which of a service's upstreams to avoid.

        Args:
            instances: The service's upstreams.
            now_s: The time, in seconds.
        """
        names = tuple(instances)
        unreachable = frozenset(name for name in names if self.is_unreachable(name))
        outliers = frozenset(
            name
            for name in names
            if now_s < self.records.get(name, NO_FAILURES).rest_until_s
        )
        if len(outliers) > MAX_EJECTED_SHARE * len(names):
            return unreachable
        return outliers | unreachable

    def is_unreachable(self, instance: str) -> bool:
        """Return whether the last connection to an upstream could not be opened."""
        return self.records.get(instance, NO_FAILURES).unreachable

    def unreachable(self) -> tuple[str, ...]:
        """Return the upstreams whose last connection could not be opened."""
        return tuple(name for name, entry in self.records.items() if entry.unreachable)

    def record_answer(self, instance: str, failed: bool, now_s: float) -> None:
        """Record an answer of the upstream itself.

        Args:
            instance: The upstream.
            failed: Whether the answer reports a failure.
            now_s: The time, in seconds.
        """
        record = self.records.get(instance, NO_FAILURES)
        share = _update_average(record.failed_share, failed)
        if not failed and share < NEWEST_WEIGHT / 2:
            self.records.pop(instance, None)
            return
        rest_until_s = (
            now_s + MIN_EJECTION_S if failed and share > EJECTION_THRESHOLD else 0.0
        )
        self.records[instance] = HealthRecord(share, 0, rest_until_s)

    def record_timeout(self, instance: str, now_s: float) -> None:
        """Record an attempt that timed out.

        A single timeout may come from a long queue at the upstream, so only repeated
        ones eject it.
        """
        record = self.records.get(instance, NO_FAILURES)
        share = _update_average(record.failed_share, True)
        ejection_s = MIN_EJECTION_S if share > EJECTION_THRESHOLD else 0.0
        until_s = max(record.rest_until_s, now_s + ejection_s)
        self.records[instance] = replace(
            record, failed_share=share, rest_until_s=until_s
        )

    def record_loss(self, instance: str, now_s: float) -> None:
        """Record an attempt that broke off or was answered by another upstream."""
        self.records[instance] = _after_loss(
            self.records.get(instance, NO_FAILURES), now_s
        )

    def record_connect_failure(self, instance: str, now_s: float) -> None:
        """Record a connection that could not be opened."""
        record = _after_loss(self.records.get(instance, NO_FAILURES), now_s)
        self.records[instance] = replace(record, unreachable=True)

    def record_connect(self, instance: str) -> bool:
        """Record a connection that was opened.

        Returns:
            Whether the upstream was unreachable before.
        """
        record = self.records.get(instance)
        if record is None or not record.unreachable:
            return False
        self.records[instance] = replace(record, unreachable=False, losses=0)
        return True

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the records of upstreams that are no longer listed."""
        for instance in [name for name in self.records if name not in instances]:
            del self.records[instance]


def _update_average(share: float, failed: bool) -> float:
    return share + NEWEST_WEIGHT * (failed - share)


def _after_loss(record: HealthRecord, now_s: float) -> HealthRecord:
    ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2.0**record.losses)
    return HealthRecord(
        _update_average(record.failed_share, True),
        min(record.losses + 1, 10),
        now_s + ejection_s,
        record.unreachable,
    )
