"""Which upstreams to avoid, judged by the outcomes of sends to them."""

from dataclasses import dataclass

FIRST_REST_S = 1.0  # about the time in which a restarted upstream is listed again
LONGEST_REST_S = 8.0
FAILURE_WEIGHT = 0.25  # of the newest outcome in the share of failed ones
SUSPECT_SHARE = 0.45  # services fail some calls of their own; more is a fault


@dataclass(frozen=True)
class Record:
    """Outcomes of one upstream.

    Attributes:
        failed_share: Share of failed sends, the newest weighing most.
        losses: Sends in a row that got no answer.
        rest_until_s: Until when it is avoided, in seconds.
    """

    failed_share: float = 0.0
    losses: int = 0
    rest_until_s: float = 0.0


CLEAN = Record()


class HealthBook:
    """Records of the upstreams that failed lately, by instance."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}

    def is_suspect(self, instance: str, now_s: float) -> bool:
        """Return whether an upstream should be avoided if another one will do."""
        record = self.records.get(instance)
        return record is not None and now_s < record.rest_until_s

    def answered(self, instance: str, failed: bool, now_s: float) -> None:
        """Count an answer of the upstream itself.

        Args:
            instance: The upstream.
            failed: Whether the answer tells of a failure.
            now_s: The time, in seconds.
        """
        record = self.records.get(instance, CLEAN)
        share = record.failed_share + FAILURE_WEIGHT * (failed - record.failed_share)
        if not failed and share < FAILURE_WEIGHT / 2:
            self.records.pop(instance, None)
            return
        until_s = record.rest_until_s
        if failed and share > SUSPECT_SHARE:
            until_s = now_s + FIRST_REST_S
        self.records[instance] = Record(share, 0, until_s if failed else 0.0)

    def lost(self, instance: str, now_s: float) -> None:
        """Count a send that got no answer, or not its own."""
        record = self.records.get(instance, CLEAN)
        losses = record.losses + 1
        rest_s = min(LONGEST_REST_S, FIRST_REST_S * 2 ** (losses - 1))
        share = record.failed_share + FAILURE_WEIGHT * (1 - record.failed_share)
        self.records[instance] = Record(share, losses, now_s + rest_s)

    def forget_all_but(self, instances: frozenset[str]) -> None:
        """Drop the records of upstreams that are no longer listed."""
        for instance in [name for name in self.records if name not in instances]:
            del self.records[instance]
