"""Which upstreams to avoid, judged by the outcomes of sends to them."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

FIRST_REST_S = 0.5  # about what a connection that was reset needs to be possible again
LONGEST_REST_S = 4.0
FAILURE_WEIGHT = 0.25  # of the newest outcome in the share of failed ones
SUSPECT_SHARE = 0.45  # services fail some calls of their own; more is a fault
# If more of a service than this seems bad, the fault is overload or this node's own.
MOST_SUSPECT_SHARE = 0.5


@dataclass(frozen=True)
class Record:
    """Outcomes of one upstream.

    Attributes:
        failed_share: Share of failed sends, the newest weighing most.
        losses: Sends in a row that could not be delivered or broke off.
        rest_until_s: Until when it is avoided, in seconds.
        unreachable: Whether the last connection to it could not be opened.
    """

    failed_share: float = 0.0
    losses: int = 0
    rest_until_s: float = 0.0
    unreachable: bool = False


CLEAN = Record()


class HealthBook:
    """Records of the upstreams that failed lately, by instance."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}

    def suspects(self, instances: Iterable[str], now_s: float) -> frozenset[str]:
        """Return which of a service's upstreams to avoid.

        Args:
            instances: The service's upstreams.
            now_s: The time, in seconds.
        """
        asked = tuple(instances)
        unreachable = frozenset(
            name for name in asked if self.records.get(name, CLEAN).unreachable
        )
        found = frozenset(
            name for name in asked if now_s < self.records.get(name, CLEAN).rest_until_s
        )
        if len(found) > MOST_SUSPECT_SHARE * len(asked):
            return unreachable
        return found | unreachable

    def unreachable(self) -> tuple[str, ...]:
        """Return the upstreams whose last connection could not be opened."""
        return tuple(name for name, entry in self.records.items() if entry.unreachable)

    def answered(self, instance: str, failed: bool, now_s: float) -> None:
        """Count an answer of the upstream itself.

        Args:
            instance: The upstream.
            failed: Whether the answer tells of a failure.
            now_s: The time, in seconds.
        """
        record = self.records.get(instance, CLEAN)
        share = _blend(record.failed_share, failed)
        if not failed and share < FAILURE_WEIGHT / 2:
            self.records.pop(instance, None)
            return
        rest_until_s = now_s + FIRST_REST_S if failed and share > SUSPECT_SHARE else 0.0
        self.records[instance] = Record(share, 0, rest_until_s)

    def silent(self, instance: str, now_s: float) -> None:
        """Count a send that was given up because the upstream was silent.

        One silence may be a long queue there, so only several of them count.
        """
        record = self.records.get(instance, CLEAN)
        share = _blend(record.failed_share, True)
        rest_s = FIRST_REST_S if share > SUSPECT_SHARE else 0.0
        until_s = max(record.rest_until_s, now_s + rest_s)
        self.records[instance] = replace(
            record, failed_share=share, rest_until_s=until_s
        )

    def lost(self, instance: str, now_s: float) -> None:
        """Count a send that broke off, or got an answer that is not its own."""
        self.records[instance] = _after_loss(self.records.get(instance, CLEAN), now_s)

    def not_reached(self, instance: str, now_s: float) -> None:
        """Count a connection that could not be opened."""
        record = _after_loss(self.records.get(instance, CLEAN), now_s)
        self.records[instance] = replace(record, unreachable=True)

    def reached(self, instance: str) -> bool:
        """Count a connection that could be opened.

        Returns:
            Whether the one before it could not.
        """
        record = self.records.get(instance)
        if record is None or not record.unreachable:
            return False
        self.records[instance] = replace(record, unreachable=False, losses=0)
        return True

    def forget_all_but(self, instances: Collection[str]) -> None:
        """Drop the records of upstreams that are no longer listed."""
        for instance in [name for name in self.records if name not in instances]:
            del self.records[instance]


def _blend(share: float, failed: bool) -> float:
    return share + FAILURE_WEIGHT * (failed - share)


def _after_loss(record: Record, now_s: float) -> Record:
    rest_s = min(LONGEST_REST_S, FIRST_REST_S * 2.0**record.losses)
    return Record(
        _blend(record.failed_share, True),
        min(record.losses + 1, 10),
        now_s + rest_s,
        record.unreachable,
    )
