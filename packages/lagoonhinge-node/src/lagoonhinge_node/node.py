"""The node: builds its components, starts them, and stops them gracefully."""

from asyncio import gather, sleep
from collections.abc import Callable
from dataclasses import dataclass, replace
from socket import socket

from aiohttp import web
from mode import Service
from mode.types import ServiceT

from lagoonhinge_core.sections import ConfigSection, NodeSection, Readiness
from lagoonhinge_core.stopping import longest_request_s
from lagoonhinge_node.control_plane import ControlPlane
from lagoonhinge_node.data_plane import DataPlane
from lagoonhinge_node.listener import MAX_STOP_S, Listener
from lagoonhinge_node.logs import PartLogger
from lagoonhinge_node.operator_api import OperatorApi
from lagoonhinge_node.settings import NodeSettings
from lagoonhinge_node.shared_components import build_shared
from lagoonhinge_node.tls import listener_tls

MAX_BODY_BYTES = 64 << 20
CONTROL_STOP_TIMEOUT_S = 2.0
FLUSH_TIMEOUT_S = 10.0
FLUSH_POLL_S = 0.05


@dataclass(frozen=True)
class NodeSockets:
    """Listening sockets, bound before the node starts."""

    callers: socket
    control: socket


class Node(Service):
    """Root service of the process."""

    # mode aborts a stop after 60 s by default; long prompts run longer.
    shutdown_timeout = MAX_STOP_S

    def __init__(self, settings: NodeSettings, sockets: NodeSockets):
        super().__init__()
        self.settings = settings
        self.sockets = sockets
        self.longest_request_s = 0.0
        self.pending_counts: list[Callable[[], int]] = []
        self.log_part = PartLogger("node")

    def on_init_dependencies(self) -> list[ServiceT]:
        """Build the components and return the services among them."""
        self.shared = shared = build_shared(self.settings)
        self.control_plane = ControlPlane(shared)
        self.data_plane = DataPlane(shared, self.control_plane.poison)
        self.control_plane.config.on_adopted.append(self._apply_config)
        self.pending_counts.append(lambda: len(shared.releases.pending))
        self._build_listeners()
        return [
            shared.releases,
            *self.control_plane.services(),
            *self.data_plane.services(),
        ]

    async def on_started(self) -> None:
        """Start the listeners once every controller is running."""
        await self.control_listener.start()
        await self.caller_listener.start()
        self._post_readiness(Readiness.READY)
        self.log_part.info(f"Serving callers on {self.settings.listen}.")

    async def on_stop(self) -> None:
        """Wait until the balancer stops sending, then finish the running requests."""
        self._post_readiness(Readiness.STOPPING)
        self.log_part.info("Stopping after the running requests have finished.")
        self.caller_listener.drain()
        await gather(
            self.control_plane.membership.push_to_cell(),
            sleep(self.settings.balancer_lag_s),
        )
        if await self.caller_listener.stop(self.longest_request_s):
            self.log_part.info("All requests have finished.")
        else:
            limit_s = self.longest_request_s
            self.log_part.error(
                f"Requests still ran after {limit_s} s; stopping anyway."
            )
        await self._flush()

    async def on_shutdown(self) -> None:
        """Close the control listener and the clients."""
        await self.control_listener.stop(CONTROL_STOP_TIMEOUT_S)
        await self.shared.engines.close()
        await self.control_plane.peers.close()
        await self.data_plane.plain_client.close()
        await self.shared.session.close()

    async def _flush(self) -> None:
        # Releases and other writes that outlive their request are still retried.
        deadline_s = self.loop.time() + FLUSH_TIMEOUT_S
        while any(count() for count in self.pending_counts):
            if self.loop.time() > deadline_s:
                self.log_part.warning(
                    "Some releases were not sent; the held resources will expire."
                )
                return
            await sleep(FLUSH_POLL_S)

    def _apply_config(self, section: ConfigSection) -> None:
        # Requests admitted under an older configuration may run longer.
        longest_s = longest_request_s(section.config)
        self.longest_request_s = max(self.longest_request_s, longest_s)
        models = section.config.models
        self.shared.estimator.reconfigure(
            {name: model.bytes_per_token for name, model in models.items()}
        )

    def _build_listeners(self) -> None:
        operators = OperatorApi(
            self.shared.board,
            self.shared.metrics,
            self.settings.operator_token,
            self.data_plane.live_state,
        )
        control = web.Application(client_max_size=MAX_BODY_BYTES)
        control.add_routes(operators.routes())
        control.add_routes(self.control_plane.peer_api().routes())
        callers = self.data_plane.caller_api().app(MAX_BODY_BYTES)
        tls = listener_tls(self.settings)
        self.caller_listener = Listener(callers, self.sockets.callers, tls)
        self.control_listener = Listener(control, self.sockets.control, tls)

    def _post_readiness(self, readiness: Readiness) -> None:
        section = self.shared.board.read(NodeSection)
        self.shared.node_writer.post(replace(section, readiness=readiness))
