"""State shared by all requests of a node: upstreams, retry budgets, clock."""

from asyncio import Task, create_task
from collections import Counter
from collections.abc import Callable, Collection, Coroutine, Iterable
from random import Random
from typing import Any

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.forwarding.cells import cell_zones
from lagoonhinge_core.forwarding.cold_upstreams import ColdBound, ColdUpstreams
from lagoonhinge_core.forwarding.crash_trials import TrialLedger
from lagoonhinge_core.forwarding.crashes import CrashTracker
from lagoonhinge_core.forwarding.evacuations import Evacuations
from lagoonhinge_core.forwarding.freshness import Freshness
from lagoonhinge_core.forwarding.health import HealthTracker
from lagoonhinge_core.forwarding.hedging import HedgeTracker
from lagoonhinge_core.forwarding.leaving_notices import LeavingNotices
from lagoonhinge_core.forwarding.load_tracker import (
    IDLE_INTERVAL_S,
    CellSummary,
    LoadTracker,
    peer_timeout_s,
    update_interval_factor,
)
from lagoonhinge_core.forwarding.pauses import UpstreamPauses
from lagoonhinge_core.forwarding.relays import RelayNode
from lagoonhinge_core.forwarding.request_limits import RequestLimits
from lagoonhinge_core.forwarding.retry_window import RetryBound, RetryWindow
from lagoonhinge_core.forwarding.sender_permits import SenderPermits
from lagoonhinge_core.forwarding.site_config import ServiceProfile
from lagoonhinge_core.forwarding.stop_schedule import StopSchedule
from lagoonhinge_core.forwarding.store_contact import StoreContact
from lagoonhinge_core.forwarding.upstream_reach import ReachTracker
from lagoonhinge_core.forwarding.upstreams import (
    Upstream,
    UpstreamDirectory,
    UpstreamRun,
)
from lagoonhinge_core.forwarding.zone_partitions import (
    PartitionTracker,
    ZoneObservation,
    is_likely_partitioned,
)
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.logs import PartLogger


class ServingState:
    """State of one node that its requests share.

    Args:
        board: The blackboard.
        freshness: Time of the last confirmation of the configuration.
        retries: Limit of the retry budgets.
        random: Generator of the node's random numbers.
        clock: Returns the time, in seconds; includes the time that the VM is suspended.
        node: Name of the node.
        zone: Availability zone of the node.
        first_prompt: Number of the first prompt.
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
        first_prompt: int = 1,
    ):
        self.board = board
        self.freshness = freshness
        self.retry_bound = retries
        self.random = random
        self.clock = clock
        self.directory = UpstreamDirectory()
        # Latest time at which the list of upstreams was the store's.
        self.upstreams_known_s = float("-inf")
        self.load = LoadTracker(node, first_prompt)
        self.background_tasks: set[Task[None]] = set()
        self.health = HealthTracker()
        self.request_limits = RequestLimits(node)
        self.leaving_notices = LeavingNotices()
        self.pauses = UpstreamPauses()
        self.evacuations = Evacuations()
        self.cold = ColdUpstreams()
        self.partitions = PartitionTracker()
        self.reach = ReachTracker()
        # Upstreams that a probe reached again, to be told to the cell.
        self.unsent_reachable: list[str] = []
        # Upstreams that answer prompts for which this node holds memory, and how many.
        self.memory_users: Counter[str] = Counter()
        self.crashes = CrashTracker(trials=TrialLedger(node))
        self.hedges = HedgeTracker()
        self.retry_windows: dict[str, RetryWindow] = {}
        self.node_count = 1
        self.store_contact = StoreContact()
        self.store_calls = 0  # since the start
        self.zone = zone
        self.zone_of_node: dict[str, str] = {}
        # Zones whose nodes and engines form one cell with this node.
        self.cell: frozenset[str] = frozenset((zone,))
        self.cell_peers = 0  # other nodes of the cell
        self.rotation_index = 0
        self.open_requests = 0
        self.stop: StopSchedule | None = None  # once the node was told to stop
        self.log_part = PartLogger("health")

    def upstreams_age_s(self) -> float:
        """Return the age of the list of upstreams, in seconds."""
        return self.clock() - self.upstreams_known_s

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that may outlast its request."""
        task = create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def retry_window(self, service: str) -> RetryWindow:
        """Return the retry window of a service."""
        window = self.retry_windows.get(service)
        if window is None:
            window = self.retry_windows[service] = RetryWindow(self.retry_bound)
        return window

    def set_retry_bound(self, bound: RetryBound) -> None:
        """Change the limit of the retry budgets; the counts stay."""
        self.retry_bound = bound
        for window in self.retry_windows.values():
            window.bound = bound

    def set_cold_bound(self, bound: ColdBound | None) -> None:
        """Change how many requests a cold upstream may get."""
        if bound is None:
            self.cold.permits = None
        elif self.cold.permits is None:
            tolerance = bound.tolerance()
            self.cold.permits = SenderPermits(self.load.node, tolerance)
        else:
            self.cold.permits.tolerance = bound.tolerance()

    def cold_profile(self, upstream: Upstream) -> ServiceProfile | None:
        """Return the profile of an upstream's service if a cold one takes few."""
        config = self.board.find(SiteConfigSection()).config
        profile = None if config is None else config.services.get(upstream.service)
        return profile if profile is not None and profile.cold_per_s else None

    def cold_per_s(self, upstream: Upstream) -> float | None:
        """Return the requests a second that a cold upstream takes; else `None`."""
        if not self.cold.remaining_s(upstream, self.clock()):
            return None
        profile = self.cold_profile(upstream)
        return None if profile is None else profile.cold_per_s

    def record_cold(self, upstream: Upstream, left_s: float) -> None:
        """Record that an upstream is cold for some more time, in seconds."""
        if left_s and self.cold.record(upstream, left_s, self.clock()):
            self.log_part.info(
                "An upstream is cold; it takes few requests.",
                upstream=upstream.instance,
                left_s=left_s,
                per_s=self.cold_per_s(upstream),
            )

    def allows_retry(self, service: str) -> bool:
        """Return whether the retry budget of a service allows one more retry."""
        window = self.retry_window(service)
        return window.allows_retry(self.clock(), self.known_nodes())

    def known_nodes(self) -> int:
        """Return the number of nodes that share what all may do together.

        Listed nodes without updates count too, so that a partition never raises this
        node's share.
        """
        return max(self.node_count, self.load.count_nodes(self.clock()))

    def is_restricted(self, service: str) -> bool:
        """Return whether some upstreams of a service take few or no requests now."""
        listed = self.directory.usable(service)
        usable = self.usable(service)
        return len(usable) < len(listed) or len(self.allowed(usable)) < len(usable)

    def update_cell(self, engine_services: Iterable[str]) -> None:
        """Determine the cell of this node anew from the listed engines.

        Args:
            engine_services: Services whose upstreams are model engines.
        """
        engines = [u for name in engine_services for u in self.directory.usable(name)]
        zones = Counter(engine.zone for engine in engines)
        zones_without_engines = dict.fromkeys(self.zone_of_node.values(), 0)
        self.cell = cell_zones(self.zone, {**zones_without_engines, **zones})
        nodes = sum(zone in self.cell for zone in self.zone_of_node.values())
        self.cell_peers = max(0, nodes - 1)
        self.load.peer_timeout_s = peer_timeout_s(self.cell_peers)

    def merge_summary(self, summary: CellSummary) -> None:
        """Record the summary of another cell."""
        now_s = self.clock()
        self.load.merge_summary(summary, now_s)
        self.request_limits.merge(summary.limits, now_s - summary.age_s)

    def usable(self, service: str) -> tuple[Upstream, ...]:
        """Return a service's upstreams for new requests, in an order for all nodes.

        These don't leave, and their zones are not evacuated.
        """
        notices, evacuated = self.leaving_notices, self.evacuations.zones
        listed = self.directory.usable(service)
        if not notices.known and not evacuated:
            return listed
        return tuple(
            entry
            for entry in listed
            if entry.zone not in evacuated and not notices.is_leaving(entry)
        )

    def is_evacuated(self, service: str) -> bool:
        """Return whether all upstreams of a service are in evacuated zones."""
        zones = {entry.zone for entry in self.directory.usable(service)}
        return bool(zones) and zones <= self.evacuations.zones

    def count_upstreams(self, zone: str) -> int:
        """Return the number of listed upstreams in a zone."""
        return sum(u.zone == zone for u in self.directory.by_instance.values())

    def allowed(self, upstreams: tuple[Upstream, ...]) -> tuple[Upstream, ...]:
        """Return which upstreams take a request of this node now."""
        is_any_limited = bool(self.request_limits.statements or self.cold.until_s)
        if not self.pauses.until_s and not is_any_limited:
            return upstreams
        return tuple(entry for entry in upstreams if self.may_send(entry))

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes a request of this node now."""
        if self.pauses.remaining_s(upstream, self.clock()):
            return False
        limits, instance = self.request_limits, upstream.instance
        cold_per_s = self.cold_per_s(upstream)
        if limits.limit_per_s(instance) is None and cold_per_s is None:
            return True
        nodes, now_s = self._nodes_sharing(upstream), self.clock()
        return limits.may_send(instance, nodes, now_s) and (
            cold_per_s is None or self.cold.may_send(instance, cold_per_s, nodes, now_s)
        )

    def any_closed(self, upstreams: Iterable[Upstream]) -> bool:
        """Return whether upstreams stopped taking requests after they were chosen.

        Their limits are left out, since the choice has counted this request.
        """
        return any(
            upstream.zone in self.evacuations.zones
            or self.leaving_notices.is_leaving(upstream)
            or bool(self.pauses.remaining_s(upstream, self.clock()))
            or self.directory.by_instance.get(upstream.instance) != upstream
            for upstream in upstreams
        )

    def record_send(self, upstream: Upstream) -> None:
        """Count a request or a part of one against what its upstream takes."""
        limits, instance = self.request_limits, upstream.instance
        cold_per_s = self.cold_per_s(upstream)
        if limits.limit_per_s(instance) is None and cold_per_s is None:
            return
        nodes, now_s = self._nodes_sharing(upstream), self.clock()
        limits.record_send(instance, nodes, now_s)
        if cold_per_s is not None:
            self.cold.record_send(instance, cold_per_s, nodes, now_s)

    def _nodes_sharing(self, upstream: Upstream) -> frozenset[str]:
        """Return the live nodes that share the limit of an upstream.

        These are the nodes of its cell. Another cell does not know which of them live,
        and leaves the upstream to them.
        """
        own, zones = self.load.node, self.zone_of_node
        if upstream.zone in self.cell:
            live = self.load.live_peers(self.clock())
            return frozenset((own, *(n for n in live if zones.get(n) in self.cell)))
        if upstream.zone in zones.values():
            return frozenset()
        return frozenset((own, *zones))

    def record_connect_failure(self, upstream: Upstream) -> None:
        """Record a failed connection, which a crash or a partition may have caused."""
        self.record_exit(upstream.instance, "no connection")
        self.health.record_connect_failure(upstream.instance, self.clock())
        self.partitions.record_failure(upstream.zone, upstream.instance)
        self.eject_partitioned_zone(upstream.zone)
        self.record_unreached(upstream)

    def record_unreached(self, upstream: Upstream) -> None:
        """Record that an upstream could not be reached, by a request or a probe."""
        listed = self.directory.usable(upstream.service)
        if self.reach.record_failure(upstream, listed):
            zones = self.reach.failures[upstream.service]
            self.log_part.warning(
                "No upstream of a service can be reached.",
                service=upstream.service,
                failures={zone: len(failed) for zone, failed in zones.items()},
            )

    def relay_nodes(self, service: str) -> tuple[RelayNode, ...]:
        """Return the other nodes, which may serve requests for a service."""
        self.load.live_peers(self.clock())
        peers = self.load.peers
        return tuple(
            RelayNode(
                name,
                zone,
                name in peers,
                name in peers and service in peers[name].cut_off,
            )
            for name, zone in self.zone_of_node.items()
            if name != self.load.node
        )

    def record_exit(
        self, instance: str, evidence: str, successor: UpstreamRun | None = None
    ) -> None:
        """Record that an upstream ended; a request that it ran may be the cause.

        Args:
            instance: The upstream.
            evidence: What shows that it ended, for the log.
            successor: The run that took its place, if it started again.
        """
        for crash in self.crashes.confirm_crashes(instance, self.clock(), successor):
            self.log_part.warning(
                "A request may have crashed an upstream.",
                upstream=instance,
                started_ms=crash.started_ms,
                cause=crash.cause,
                evidence=evidence,
            )

    def eject_partitioned_zone(self, zone: str) -> None:
        """Avoid a zone that is likely partitioned from this node's."""
        if zone == self.zone or zone in self.partitions.partitioned:
            return
        now_s = self.clock()
        observation = ZoneObservation(
            self.count_upstreams(zone),
            self.partitions.count_failures(zone),
            IDLE_INTERVAL_S * update_interval_factor(self.cell_peers),
            tuple(
                now_s - peer.received_s
                for name, peer in self.load.peers.items()
                if zone in self.cell and self.zone_of_node.get(name) == zone
            ),
            now_s - self.partitions.contacts_s.get(zone, float("-inf")),
        )
        if not is_likely_partitioned(observation):
            return
        self.partitions.partitioned.add(zone)
        self.log_part.warning(
            "A zone is likely partitioned; avoiding its upstreams.",
            zone=zone,
            unreachable=observation.unreachable,
        )

    def record_contact(self, upstream: Upstream) -> None:
        """Record that an upstream was reached."""
        if self.partitions.record_contact(upstream.zone, self.clock()):
            self.log_part.info(
                "A zone is reachable again.",
                zone=upstream.zone,
                upstream=upstream.instance,
            )
        if self.reach.record_contact(upstream.service):
            self.log_part.info(
                "Upstreams of a service can be reached again.",
                service=upstream.service,
                upstream=upstream.instance,
            )

    def ejected(self, upstreams: Collection[Upstream]) -> frozenset[str]:
        """Return which of a service's upstreams to avoid."""
        names = [upstream.instance for upstream in upstreams]
        ejected = self.health.ejected(names, self.clock())
        zones = self.partitions.partitioned
        if not zones:
            return ejected
        return ejected.union(u.instance for u in upstreams if u.zone in zones)
