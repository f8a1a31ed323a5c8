"""Limits that upstreams name for the requests of all nodes together."""

from collections.abc import Collection

from lagoonhinge_core.forwarding.messages import (
    LimitNotice,
    NoLimit,
    RequestLimit,
    UnreadableLimit,
)


class RequestLimits:
    """The limits in force, by instance.

    Attributes:
        stated: What each upstream last said, and when, in seconds; without those that
            never named a limit.
    """

    def __init__(self) -> None:
        self.stated: dict[str, tuple[float | None, float]] = {}

    def record_answer(self, instance: str, notice: LimitNotice, now_s: float) -> bool:
        """Record an answer of an upstream; return whether its limit changed."""
        before = self.limit_per_s(instance)
        match notice:
            case RequestLimit(per_s):
                self.stated[instance] = (per_s, now_s)
            case NoLimit() if instance in self.stated:
                self.stated[instance] = (None, now_s)
            case NoLimit() | UnreadableLimit():
                pass
        return self.limit_per_s(instance) != before

    def limit_per_s(self, instance: str) -> float | None:
        """Return the limit of an upstream; `None` if it has none."""
        return self.stated.get(instance, (None, 0.0))[0]

    def limited(self) -> dict[str, float]:
        """Return the limits in force."""
        return {
            instance: per_s
            for instance, (per_s, _) in self.stated.items()
            if per_s is not None
        }

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the limits of upstreams that are no longer listed."""
        for instance in [name for name in self.stated if name not in instances]:
            del self.stated[instance]
