"""What all requests of a node share: beliefs about upstreams, budgets, clock."""

from asyncio import Event, Task, create_task
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.forwarding.crashes import CrashTracker
from lagoonhinge_core.forwarding.freshness import Freshness
from lagoonhinge_core.forwarding.health import HealthTracker
from lagoonhinge_core.forwarding.load_tracker import LoadTracker
from lagoonhinge_core.forwarding.retry_window import RetryBound, RetryWindow
from lagoonhinge_core.forwarding.upstreams import Upstream, UpstreamDirectory
from lagoonhinge_core.forwarding.zone_faults import (
    ZoneObservation,
    is_likely_partitioned,
)
from lagoonhinge_node.logs import PartLogger


class ServingState:
    """Beliefs and counts of one node.

    Args:
        board: The blackboard.
        freshness: How far the configuration can be relied on.
        retries: Bound on repeated sends.
        random: Generator of the node's random numbers.
        clock: Returns the time, in seconds; goes on while the VM is suspended.
        node: Name of the node.
        zone: Availability zone of the node.
    """

    def __init__(
        self,
        board: Blackboard,
        freshness: Freshness,
        retries: RetryBound,
        random: Random,
        clock: Callable[[], float],
        node: str,
        zone: str,
    ):
        self.board = board
        self.freshness = freshness
        self.retry_bound = retries
        self.random = random
        self.clock = clock
        self.directory = UpstreamDirectory()
        self.load = LoadTracker(node)
        self.background: set[Task[None]] = set()
        self.health = HealthTracker()
        self.crashes = CrashTracker()
        self.retry_windows: dict[str, RetryWindow] = {}
        self.known_nodes = 1
        self.store_trouble = Event()
        self.zone = zone
        self.zone_of_node: dict[str, str] = {}
        self.turn = 0
        self.open_requests = 0
        self.is_stopping = False
        self.log_part = PartLogger("health")

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that outlives its request."""
        task = create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def tell_store_trouble(self) -> None:
        """End the waits for the store's changes; their connections may be dead too."""
        self.store_trouble.set()
        self.store_trouble = Event()

    def retry_window(self, service: str) -> RetryWindow:
        """Return the window of a service's repeated sends."""
        window = self.retry_windows.get(service)
        if window is None:
            window = self.retry_windows[service] = RetryWindow(self.retry_bound)
        return window

    def use_retry_bound(self, bound: RetryBound) -> None:
        """Take a changed bound on repeated sends; what was counted stays."""
        self.retry_bound = bound
        for window in self.retry_windows.values():
            window.bound = bound

    def allows_repeat(self, service: str) -> bool:
        """Return whether one more repeated send to a service is allowed."""
        # Unheard nodes count too, so that lost contact never raises the part.
        nodes = max(self.known_nodes, self.load.count_nodes(self.clock()))
        return self.retry_window(service).allows_retry(self.clock(), nodes)

    def note_not_reached(self, upstream: Upstream) -> None:
        """Count a failed connection; it may tell of a crash, or of the whole zone."""
        self.note_gone(upstream.instance)
        self.health.record_connect_failure(upstream.instance, self.clock())
        self.avoid_zone_if_cut_off(upstream.zone)

    def note_gone(self, instance: str) -> None:
        """Take that an upstream has ended; a request that it ran may be the cause."""
        for crash in self.crashes.confirm_crashes(instance, self.clock()):
            self.log_part.warning(
                "A request may have crashed an upstream.",
                upstream=instance,
                digest=crash.request,
            )

    def avoid_zone_if_cut_off(self, zone: str) -> bool:
        """Avoid all upstreams of a zone that seems to be cut off from this one.

        Returns:
            Whether any upstream is avoided that was not before.
        """
        if zone == self.zone:
            return False
        listed = [u for u in self.directory.by_instance.values() if u.zone == zone]
        unreachable = frozenset(self.health.unreachable())
        now_s = self.clock()
        signs = ZoneObservation(
            len(listed),
            sum(entry.instance in unreachable for entry in listed),
            tuple(
                now_s - peer.received_s
                for name, peer in self.load.peers.items()
                if self.zone_of_node.get(name) == zone
            ),
        )
        if not is_likely_partitioned(signs):
            return False
        new = [entry for entry in listed if entry.instance not in unreachable]
        for entry in new:
            self.health.record_connect_failure(entry.instance, now_s)
        return bool(new)
