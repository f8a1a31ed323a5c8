"""Which availability zones seem to be cut off from this one.

A request should not find that out: connections into a zone that is cut off hang, one
time limit for each upstream there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Upstreams of a zone that can't be reached, from which on the whole zone counts.
UNREACHABLE_TO_SUSPECT = 2
PEER_SILENCE_S = 0.7  # three messages of a peer that are missing
PEER_MEMORY_S = 10.0  # a zone whose peers were silent for longer tells nothing new


@dataclass(frozen=True)
class ZoneSigns:
    """What this node has seen of another availability zone.

    Attributes:
        upstreams: Listed upstreams there.
        unreachable: How many of these could not be reached.
        peers_heard_s: Ages of the last message of each peer there, in seconds.
    """

    upstreams: int
    unreachable: int
    peers_heard_s: tuple[float, ...] = ()


def seems_cut_off(signs: ZoneSigns) -> bool:
    """Return whether a zone seems to be cut off from this node."""
    needed = min(UNREACHABLE_TO_SUSPECT, signs.upstreams)
    if needed and signs.unreachable >= needed:
        return True
    heard = _recent(signs.peers_heard_s)
    return len(heard) > 1 and min(heard) > PEER_SILENCE_S


def _recent(ages_s: Iterable[float]) -> list[float]:
    return [age_s for age_s in ages_s if age_s < PEER_MEMORY_S]
