"""Detection of network partitions between availability zones.

Detecting a partition here spares requests a connect timeout for each upstream of the
other zone.
"""

from collections.abc import Iterable
from dataclasses import dataclass

UNREACHABLE_THRESHOLD = 2  # unreachable upstreams at which a zone counts as partitioned
PEER_TIMEOUT_S = 0.7  # three missed updates of a peer
PEER_EXPIRY_S = 10.0  # peers that are silent for longer are ignored


@dataclass(frozen=True)
class ZoneObservation:
    """Evidence of this node about another availability zone.

    Attributes:
        upstreams: Listed upstreams there.
        unreachable: How many of these could not be reached.
        peer_silences_s: Age of the last update of each peer there, in seconds.
    """

    upstreams: int
    unreachable: int
    peer_silences_s: tuple[float, ...] = ()


def is_likely_partitioned(observation: ZoneObservation) -> bool:
    """Return whether a zone is likely partitioned from this node."""
    threshold = min(UNREACHABLE_THRESHOLD, observation.upstreams)
    if threshold and observation.unreachable >= threshold:
        return True
    silences_s = _unexpired(observation.peer_silences_s)
    return len(silences_s) > 1 and min(silences_s) > PEER_TIMEOUT_S


def _unexpired(ages_s: Iterable[float]) -> list[float]:
    return [age_s for age_s in ages_s if age_s < PEER_EXPIRY_S]
