"""Probes of unreachable upstreams.

Requests don't probe them: during a network partition, a request that does so loses the
whole connect timeout.
"""

from asyncio import gather, open_connection, wait_for

from mode import Service

from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

PROBE_INTERVAL_S = 0.3  # partitions and restarts last for seconds
PROBE_TIMEOUT_S = 0.3  # 100 round trips between availability zones


class ReachabilityController(Service):
    """Opens a connection periodically to each unreachable upstream."""

    def __init__(self, serving: ServingState):
        super().__init__()
        self.serving = serving
        self.log_part = PartLogger("health")

    @Service.timer(PROBE_INTERVAL_S)
    async def probe(self) -> None:
        """Probe all unreachable and suspected upstreams."""
        listed = self.serving.directory.by_instance
        # Upstreams of a partitioned zone become unreachable, so they are probed below
        # and avoided until a probe succeeds.
        for zone in {upstream.zone for upstream in listed.values()}:
            if self.serving.eject_partitioned_zone(zone):
                self.log_part.warning(
                    "A zone is likely partitioned; avoiding its upstreams.", zone=zone
                )
        instances = {
            *self.serving.health.unreachable(),
            *self.serving.crashes.suspected_instances(self.serving.clock()),
        }
        await gather(
            *(
                self._probe(listed[instance])
                for instance in instances
                if instance in listed
            )
        )

    async def _probe(self, upstream: Upstream) -> None:
        try:
            connecting = open_connection(upstream.host, upstream.port)
            _, writer = await wait_for(connecting, PROBE_TIMEOUT_S)
        except (OSError, TimeoutError):
            self.serving.record_exit(upstream.instance)
            return
        writer.close()
        self.serving.crashes.clear_instance(upstream.instance)
        if self.serving.health.record_connect(upstream.instance):
            self.log_part.info(
                "An upstream is reachable again.", upstream=upstream.instance
            )
