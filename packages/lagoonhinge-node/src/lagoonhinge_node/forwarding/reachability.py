"""Probes of unreachable upstreams.

Requests don't probe them: during a network partition, a request that does so loses the
whole connect timeout.
"""

from asyncio import gather, open_connection, wait_for
from collections.abc import Iterable

from mode import Service

from lagoonhinge_core.forwarding.load_tracker import update_interval_factor
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.task_guards import guarded_timer
from lagoonhinge_node.logs import PartLogger

PROBE_INTERVAL_S = 0.3  # partitions and restarts last for seconds
PROBE_TIMEOUT_S = 0.3  # 100 round trips between availability zones
# Upstreams of a partitioned zone that are probed; one of them may have ended.
PROBES_PER_ZONE = 2


class ReachabilityController(Service):
    """Opens connections to unreachable upstreams, to learn when they are back.

    The nodes of a cell share these probes: the more nodes, the more rarely each of
    them probes an upstream, and it tells the others which ones it reached.
    """

    def __init__(self, serving: ServingState):
        super().__init__()
        self.serving = serving
        self.log_part = PartLogger("health")

    @Service.timer(PROBE_INTERVAL_S)
    @guarded_timer
    async def probe(self) -> None:
        """Probe upstreams that are unreachable, suspected or in partitioned zones."""
        listed = self.serving.directory.by_instance
        for zone in {upstream.zone for upstream in listed.values()}:
            self.serving.eject_partitioned_zone(zone)
        checks = self._cut_off_checks()
        instances = self.due_instances() - checks
        await gather(
            *(self._probe(listed[instance]) for instance in instances),
            *(self._check_cut_off(listed[instance]) for instance in checks),
        )

    def due_instances(self) -> set[str]:
        """Return the upstreams to probe now."""
        listed = self.serving.directory.by_instance
        suspected = self.serving.crashes.suspected_instances(self.serving.clock())
        return {
            *self._unreachable_in_turn(),
            *(instance for instance in suspected if instance in listed),
            *self._in_partitioned_zones(),
        }

    def _unreachable_in_turn(self) -> list[str]:
        """Return the unreachable upstreams that are this node's turn to probe.

        Those that answer prompts with reserved memory always are, since the memory is
        released if they stay unreachable.
        """
        random = self.serving.random
        turn_share = 1 / update_interval_factor(self.serving.cell_peers)
        listed = self.serving.directory.by_instance
        zones = self.serving.partitions.partitioned
        return [
            instance
            for instance in self.serving.health.unreachable()
            if instance in listed
            and (
                instance in self.serving.memory_users
                or (listed[instance].zone not in zones and random.random() < turn_share)
            )
        ]

    def _in_partitioned_zones(self) -> list[str]:
        listed = self.serving.directory.by_instance.values()
        zones = self.serving.partitions.partitioned
        return [name for zone in zones for name in self._sample(zone, listed)]

    def _cut_off_checks(self) -> set[str]:
        """Return upstreams to probe of services of which perhaps none is reached."""
        checks: set[str] = set()
        for service in self.serving.reach.services_to_check():
            listed = self.serving.directory.usable(service)
            for zone in sorted({upstream.zone for upstream in listed}):
                checks.update(self._sample(zone, listed))
        return checks

    def _sample(self, zone: str, upstreams: Iterable[Upstream]) -> list[str]:
        """Return a few of some upstreams in a zone."""
        instances = [entry.instance for entry in upstreams if entry.zone == zone]
        count = min(PROBES_PER_ZONE, len(instances))
        return self.serving.random.sample(instances, count)

    async def _check_cut_off(self, upstream: Upstream) -> None:
        if not await self._probe(upstream):
            self.serving.record_unreached(upstream)

    async def _probe(self, upstream: Upstream) -> bool:
        """Probe an upstream; return whether it was reached."""
        try:
            connecting = open_connection(upstream.host, upstream.port)
            _, writer = await wait_for(connecting, PROBE_TIMEOUT_S)
        except (OSError, TimeoutError):
            self.serving.record_exit(upstream.instance, "no connection")
            return False
        writer.close()
        self.serving.crashes.clear_run(upstream.run())
        self.serving.record_contact(upstream)
        if self.serving.health.record_connect(upstream.instance):
            self.serving.unsent_reachable.append(upstream.instance)
            self.log_part.info(
                "An upstream is reachable again.", upstream=upstream.instance
            )
        return True
