"""Which nodes of an availability zone read the platform's store.

Calls to the store are limited and priced, so one node of each zone watches it and
sends updates to the others. Any node can take over: one that has not heard of a
recent state of the store for a random time reads it itself, and its updates keep the
others from doing the same. While the store fails, the nodes whose calls have failed
take turns, so that the rate of calls does not grow with their number.

There is no election and nothing to agree on. Two nodes that watch at the same time
cost calls and nothing else, and the one that is later in a shared order stops.
"""

from dataclasses import dataclass
from random import Random

from lagoonhinge_core.forwarding.upstreams import stable_rank

# Shares of the time within which a change must be in force everywhere.
POLL_SHARE = 0.3
MIN_TAKEOVER_AGE_SHARE = 0.5  # three updates may be lost or late
MAX_TAKEOVER_AGE_SHARE = 0.8  # leaves time to read the change and apply it
UPDATES_PER_POLL = 2
UPSTREAMS_PAUSE_SHARE = 0.25  # for changes that follow, which come in bursts
# Changed rows are in every update for this time, as datagrams may be lost.
REPEAT_SHARE = 0.35
FAILED_CALLS_PER_S = 4.0  # of all nodes of a zone together, while the store fails
FAILURES_OF_OUTAGE = 8  # as many in a row are rarely faults of single nodes
LEAST_RETRY_SPREAD_S = 0.5  # a quarter of the shortest time in force
LEAST_RETRY_S = 0.1  # pause of a node after its own failed call
MOST_RETRY_SPREAD_S = 3.0  # a node that hears no other one retries within this time


@dataclass(frozen=True)
class WatchTimes:
    """Times of the watch, in seconds.

    Attributes:
        poll_s: Wait of each call for a change of the configuration.
        update_interval_s: Interval between updates for the other nodes.
        repeat_s: For how long a changed row is repeated in updates.
        min_takeover_age_s: Least age of the last known state at which a node reads the
            store itself.
        max_takeover_age_s: Greatest such age.
        upstreams_pause_s: Pause after a change of the list of upstreams, so that one
            call reads several changes.
    """

    poll_s: float
    update_interval_s: float
    repeat_s: float
    min_takeover_age_s: float
    max_takeover_age_s: float
    upstreams_pause_s: float


def watch_times(in_force_s: float) -> WatchTimes:
    """Return the times with which a change is in force everywhere within a bound.

    Args:
        in_force_s: The bound, in seconds.
    """
    return WatchTimes(
        POLL_SHARE * in_force_s,
        POLL_SHARE * in_force_s / UPDATES_PER_POLL,
        REPEAT_SHARE * in_force_s,
        MIN_TAKEOVER_AGE_SHARE * in_force_s,
        MAX_TAKEOVER_AGE_SHARE * in_force_s,
        UPSTREAMS_PAUSE_SHARE * in_force_s,
    )


def retry_spread_s(zone_nodes: int, failures: int) -> float:
    """Return the time over which the nodes of a zone spread calls to a failed store.

    The first failures may concern single nodes, so the others hardly wait.

    Args:
        zone_nodes: Listed nodes of the zone.
        failures: Failed calls in the zone since the last answer.
    """
    spread_s = zone_nodes / FAILED_CALLS_PER_S
    spread_s = min(MOST_RETRY_SPREAD_S, max(LEAST_RETRY_SPREAD_S, spread_s))
    return spread_s * min(1.0, failures / FAILURES_OF_OUTAGE)


class WatchRole:
    """Decides when one node reads the store itself.

    Args:
        node: Name of the node.
        times: Times of the watch.
        random: Random number generator.
    """

    def __init__(self, node: str, times: WatchTimes, random: Random):
        self.rank = stable_rank(node)
        self.times = times
        self.random = random
        self.is_watching = False
        self.known_s = float("-inf")
        self.due_s = float("-inf")
        self.failures = 0
        self.has_failed = False

    def start_watching(self) -> None:
        """Record that this node watches the store from now on."""
        self.is_watching = True

    def record_state(self, known_s: float) -> None:
        """Record that the node holds the store's state of a time, in seconds."""
        if known_s > self.known_s:
            self.failures = 0
            self.has_failed = False
            self.known_s = known_s
            self.due_s = known_s + self._takeover_age_s()

    def record_update(self, sender: str, known_s: float) -> None:
        """Record an update of a node that watches the store.

        Args:
            sender: Name of that node.
            known_s: Time of the state that it passed on, in seconds.
        """
        lead_s = known_s - self.known_s
        self.record_state(known_s)
        is_earlier = stable_rank(sender) < self.rank
        # A watcher that is cut off from the store stops for any other one.
        margin_s = self.times.min_takeover_age_s
        if lead_s > margin_s or (is_earlier and lead_s > -margin_s):
            self.is_watching = False

    def record_peer_failure(self, now_s: float, zone_nodes: int) -> None:
        """Record that a call of another node of the zone failed.

        A node whose own calls have not failed is not put off: it may be the only one
        that the store serves.
        """
        self.failures += 1
        if not self.has_failed:
            return
        spread_s = retry_spread_s(zone_nodes, self.failures)
        self.due_s = max(self.due_s, now_s + self.random.uniform(0.0, spread_s))

    def record_failure(self, now_s: float, zone_nodes: int) -> None:
        """Record that a call of this node failed."""
        self.is_watching = False
        self.has_failed = True
        self.failures += 1
        spread_s = retry_spread_s(zone_nodes, FAILURES_OF_OUTAGE)
        self.due_s = now_s + self.random.uniform(LEAST_RETRY_S, spread_s)

    def _takeover_age_s(self) -> float:
        return self.random.uniform(
            self.times.min_takeover_age_s, self.times.max_takeover_age_s
        )
