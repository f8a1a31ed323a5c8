"""The operator API: health, readiness, metrics and the state dump."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from hmac import compare_digest
from typing import Any

from aiohttp import web

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.sections import ConfigSection, NodeSection, Readiness
from lagoonhinge_http.wire import encode
from lagoonhinge_node.metrics import Metrics

METRICS_TYPE = "text/plain; version=0.0.4"
JSON_TYPE = "application/json"
HIDDEN_DIGEST = "(hidden)"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True)
class ReadinessAnswer:
    """Answer of `/readyz`."""

    ready: bool
    reason: str


class OperatorApi:
    """Handlers of the operator API on the control listener."""

    def __init__(
        self,
        board: Blackboard,
        metrics: Metrics,
        token: str,
        live_state: Callable[[], dict[str, Any]],
    ):
        self.board = board
        self.metrics = metrics
        self.token = token
        self.live_state = live_state

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/healthz", self.healthz),
            web.get("/readyz", self.readyz),
            web.get("/metrics", self._authenticated(self.show_metrics)),
            web.get("/state", self._authenticated(self.show_state)),
        ]

    async def healthz(self, _: web.Request) -> web.StreamResponse:
        """Answer that the process is running."""
        return web.Response(text="ok\n")

    async def readyz(self, _: web.Request) -> web.StreamResponse:
        """Answer whether callers should be sent here."""
        ready = self.readiness()
        return web.Response(
            body=encode(ready),
            status=200 if ready.ready else 503,
            content_type=JSON_TYPE,
        )

    def readiness(self) -> ReadinessAnswer:
        """Return whether callers should be sent here, and why not."""
        readiness = self.board.read(NodeSection).readiness
        if readiness != Readiness.READY:
            return ReadinessAnswer(False, f"the node is {readiness}")
        config = self.board.read(ConfigSection)
        if config.version == 0:
            detail = f": {config.last_error}" if config.last_error else ""
            return ReadinessAnswer(False, f"no configuration is known yet{detail}")
        return ReadinessAnswer(True, "")

    async def show_metrics(self, _: web.Request) -> web.StreamResponse:
        """Answer the metrics."""
        return web.Response(
            body=self.metrics.render(), headers={"Content-Type": METRICS_TYPE}
        )

    async def show_state(self, _: web.Request) -> web.StreamResponse:
        """Answer the blackboard and the live counts."""
        state = {
            name: _hide_key_digests(section) for name, section in self.board.items()
        }
        state.update(self.live_state())
        return web.Response(body=encode(state), content_type=JSON_TYPE)

    def _authenticated(self, handler: Handler) -> Handler:
        async def check(request: web.Request) -> web.StreamResponse:
            authorization = request.headers.get("Authorization", "")
            if not compare_digest(
                authorization.encode(), f"Bearer {self.token}".encode()
            ):
                return web.Response(status=401, text="operator token missing\n")
            return await handler(request)

        return check


def _hide_key_digests(section: Any) -> Any:
    """Return a section with the digests of account keys hidden."""
    if not isinstance(section, ConfigSection):
        return section
    accounts = {
        name: replace(account, key_sha256=HIDDEN_DIGEST)
        for name, account in section.config.accounts.items()
    }
    return replace(section, config=replace(section.config, accounts=accounts))
