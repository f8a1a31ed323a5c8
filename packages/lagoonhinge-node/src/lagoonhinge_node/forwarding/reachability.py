"""Finds out when upstreams that could not be reached can be reached again.

No request has to try for it: a request that does so during a network partition loses
the whole time limit of a connection.
"""

from asyncio import gather, open_connection, wait_for

from mode import Service

from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

CHECK_INTERVAL_S = 0.3  # short beside the seconds that a partition or restart lasts
CONNECT_LIMIT_S = 0.3  # a hundred round trips between availability zones


class ReachabilityController(Service):
    """Opens a connection now and then to upstreams that could not be reached."""

    def __init__(self, state: ServingState):
        super().__init__()
        self.serving = state
        self.log_part = PartLogger("health")

    @Service.timer(CHECK_INTERVAL_S)
    async def check(self) -> None:
        """Try all upstreams that could not be reached."""
        listed = self.serving.directory.by_instance
        # Doubtful zones are tried below with the rest, and avoided until then.
        for zone in {upstream.zone for upstream in listed.values()}:
            if self.serving.eject_partitioned_zone(zone):
                self.log_part.warning("A zone seems to be cut off.", zone=zone)
        names = {
            *self.serving.health.unreachable(),
            *self.serving.crashes.suspected_instances(self.serving.clock()),
        }
        await gather(*(self._try(listed[name]) for name in names if name in listed))

    async def _try(self, upstream: Upstream) -> None:
        try:
            connecting = open_connection(upstream.host, upstream.port)
            _, writer = await wait_for(connecting, CONNECT_LIMIT_S)
        except (OSError, TimeoutError):
            self.serving.record_exit(upstream.instance)
            return
        writer.close()
        self.serving.crashes.clear_instance(upstream.instance)
        if self.serving.health.record_connect(upstream.instance):
            self.log_part.info(
                "An upstream can be reached again.", upstream=upstream.instance
            )
