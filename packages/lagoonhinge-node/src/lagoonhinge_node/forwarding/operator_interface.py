"""The operators' interface of a forwarding node: metrics, state, and previews."""

from http import HTTPStatus
from typing import Any

from aiohttp import web
from msgspec import ValidationError, convert, json, to_builtins

from lagoonhinge_node.forwarding.board_sections import (
    NodeListSection,
    SiteConfigSection,
)
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.placement_preview import (
    PlacementPreview,
    PlacementQuery,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.store_watch import StoreWatch

METRICS_PATH = "/metrics"
STATE_PATH = "/state"
PLACE_PATH = "/place"


class OperatorInterface:
    """Serves metrics, the state dump, and previews of placements.

    Args:
        serving: State shared by all requests.
        metrics: Metrics of the forwarding path.
        watch: Reads the store.
    """

    def __init__(
        self, serving: ServingState, metrics: ForwardingMetrics, watch: StoreWatch
    ):
        self.serving = serving
        self.metrics = metrics
        self.watch = watch

    def server(self) -> web.Server:
        """Return the server for the operators' listener."""
        return web.Server(self.handle, access_log=None)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        match request.path:
            case path if path == METRICS_PATH:
                return web.Response(
                    body=self.metrics.render(), content_type="text/plain"
                )
            case path if path == PLACE_PATH:
                return self._preview(request)
            case path if path == STATE_PATH:
                body = json.encode(self.dump())
                return web.Response(body=body, content_type="application/json")
            case _:
                return web.Response(status=HTTPStatus.NOT_FOUND)

    def _preview(self, request: web.BaseRequest) -> web.Response:
        unknown = request.query.keys() - PlacementQuery.__dataclass_fields__.keys()
        if unknown:
            text = f"unknown fields: {', '.join(sorted(unknown))}"
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=text)
        try:
            query = convert(dict(request.query), PlacementQuery, strict=False)
        except ValidationError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        report = PlacementPreview(self.serving).preview(query)
        return web.Response(body=json.encode(report), content_type="application/json")

    def dump(self) -> dict[str, Any]:
        """Return the state of the node, without any client key."""
        serving, now_s = self.serving, self.serving.clock()
        section = serving.board.read(SiteConfigSection)
        config = section.config
        listed = serving.directory.by_instance
        return {
            "node": serving.load.node,
            "zone": serving.zone,
            "open_requests": serving.open_requests,
            "config": {
                "version": None if config is None else config.version,
                "fault": section.fault,
                "standing": serving.freshness.staleness(now_s).value,
                "age_s": str(round(serving.freshness.age_s(now_s), 3)),
                "hosts": {}
                if config is None
                else {
                    host: sorted(routes)
                    for host, routes in config.routes.by_host.items()
                },
            },
            "store": self.watch.dump(),
            "cell": sorted(serving.cell),
            "other_cells_s": {
                zone: round(now_s - taken_s, 3)
                for zone, (_, taken_s) in serving.load.summaries.items()
            },
            "upstreams": to_builtins(listed),
            "load": {
                name: {
                    "reading_s": round(load.prefill_s, 3),
                    "requests": load.requests,
                    "tokens": load.tokens,
                }
                for name in listed
                for load in (serving.load.load(name, now_s),)
            },
            "said_to_leave": sorted(serving.leaving_notices.known),
            "paused_s": {
                run.instance: round(until_s - now_s, 3)
                for run, until_s in serving.pauses.until_s.items()
                if until_s > now_s
            },
            "limits_per_s": serving.request_limits.limited(),
            "cold_s": {
                run.instance: round(until_s - now_s, 3)
                for run, until_s in serving.cold.until_s.items()
                if until_s > now_s
            },
            "evacuated": sorted(serving.evacuations.zones),
            "health": to_builtins(serving.health.records),
            "cut_off": sorted(serving.reach.cut_off),
            "crashes": to_builtins(list(serving.crashes.confirmed)),
            "quarantined": [
                sorted(cause) for cause in serving.crashes.quarantined(now_s)
            ],
            "nodes": to_builtins(serving.board.read(NodeListSection).nodes),
            "peers_heard_s": {
                name: round(now_s - peer.received_s, 3)
                for name, peer in serving.load.peers.items()
            },
        }
