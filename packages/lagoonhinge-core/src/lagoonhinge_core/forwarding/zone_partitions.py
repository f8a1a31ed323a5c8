"""Detection of network partitions between availability zones.

Detecting a partition here spares requests a connect timeout for each upstream of the
other zone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Upstreams in a row that can't be reached, at which a zone counts as partitioned.
UNREACHABLE_THRESHOLD = 2
MISSED_UPDATES = 3.5  # of each peer of a zone, at which it counts as partitioned
PEER_EXPIRY_UPDATES = 50.0  # peers that are silent for longer are ignored


@dataclass(frozen=True)
class ZoneObservation:
    """Evidence of this node about another availability zone.

    Attributes:
        upstreams: Listed upstreams there.
        unreachable: How many of these could not be reached since one was.
        update_interval_s: Longest interval between updates of a peer, in seconds.
        peer_silences_s: Age of the last update of each peer there, in seconds.
        contact_age_s: Time since an upstream there was reached, in seconds.
    """

    upstreams: int
    unreachable: int
    update_interval_s: float
    peer_silences_s: tuple[float, ...] = ()
    contact_age_s: float = float("inf")


def is_likely_partitioned(observation: ZoneObservation) -> bool:
    """Return whether a zone is likely partitioned from this node."""
    threshold = min(UNREACHABLE_THRESHOLD, observation.upstreams)
    if threshold and observation.unreachable >= threshold:
        return True
    interval_s = observation.update_interval_s
    most_silence_s = MISSED_UPDATES * interval_s
    if observation.contact_age_s < most_silence_s:
        # All nodes there ended, but the zone can be reached.
        return False
    expiry_s = PEER_EXPIRY_UPDATES * interval_s
    silences_s = _unexpired(observation.peer_silences_s, expiry_s)
    return len(silences_s) > 1 and min(silences_s) > most_silence_s


def _unexpired(ages_s: Iterable[float], expiry_s: float) -> list[float]:
    return [age_s for age_s in ages_s if age_s < expiry_s]


@dataclass
class PartitionTracker:
    """Zones that this node takes for partitioned, and the evidence.

    A partition concerns all upstreams of a zone, so they are neither marked nor probed
    one by one: a few probes a zone tell when it is over.

    Attributes:
        failures: Upstreams of each zone that could not be reached since one was.
        partitioned: Zones that count as partitioned.
        contacts_s: When an upstream of each zone was last reached, in seconds.
    """

    failures: dict[str, set[str]] = field(default_factory=dict)
    partitioned: set[str] = field(default_factory=set)
    contacts_s: dict[str, float] = field(default_factory=dict)

    def record_failure(self, zone: str, instance: str) -> None:
        """Record an upstream that could not be reached."""
        self.failures.setdefault(zone, set()).add(instance)

    def record_contact(self, zone: str, now_s: float) -> bool:
        """Record an upstream that was reached.

        Returns:
            Whether the zone counted as partitioned.
        """
        self.failures.pop(zone, None)
        self.contacts_s[zone] = now_s
        was_partitioned = zone in self.partitioned
        self.partitioned.discard(zone)
        return was_partitioned

    def count_failures(self, zone: str) -> int:
        """Return how many upstreams of a zone could not be reached since one was."""
        return len(self.failures.get(zone, ()))
