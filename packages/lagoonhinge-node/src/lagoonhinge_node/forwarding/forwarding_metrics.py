"""Metrics of the forwarding path; labels never name accounts, upstreams or requests."""

from collections.abc import Callable

from prometheus_client import Gauge, Histogram

from lagoonhinge_core.forwarding.attempts import (
    AttemptFailure,
    Declined,
    Failed,
    Lost,
    NotDelivered,
    NotSent,
)
from lagoonhinge_core.forwarding.messages import CallerRequest
from lagoonhinge_core.forwarding.routes import (
    AtMostOnce,
    EventStream,
    Idempotent,
    RouteKind,
)
from lagoonhinge_core.length_class import length_class
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.store_watch import StoreWatch
from lagoonhinge_node.registry_metrics import FIRST_TOKEN_BUCKETS_S, RegistryMetrics

GAP_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 1.0, 2.0, 5.0)


def kind_label(kind: RouteKind) -> str:
    """Return the label of a route's kind."""
    match kind:
        case Idempotent():
            return "idempotent"
        case AtMostOnce():
            return "at_most_once"
        case EventStream():
            return "stream"


def length_label(request: CallerRequest) -> str:
    """Return the label of a prompt's length class."""
    size = request.size
    return "none" if size is None else length_class(size.prompt_tokens)


def failure_label(failure: AttemptFailure | None) -> str:
    """Return the label of an attempt's failure."""
    match failure:
        case NotSent():
            return "not_sent"
        case NotDelivered():
            return "not_delivered"
        case Declined():
            return "declined"
        case Lost():
            return "lost"
        case Failed():
            return "failed"
        case None:
            return "none"


class ForwardingMetrics(RegistryMetrics):
    """The metrics of the forwarding path."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self.counter(
            "lagoonhinge_requests",
            "Requests by kind of route, length class and how they ended.",
            ("kind", "length", "end"),
        )
        self.attempts = self.counter(
            "lagoonhinge_sends",
            "Sends to upstreams by result and whether the zone is the node's own.",
            ("result", "same_zone"),
        )
        self.interrupted = self.counter(
            "lagoonhinge_interrupted_streams",
            "Streams that were interrupted, by the failure of the last attempt.",
            ("failure",),
        )
        self.relays = self.counter(
            "lagoonhinge_relays",
            "Requests that other nodes were asked to serve, by result.",
            ("result",),
        )
        self.hedges = self.counter(
            "lagoonhinge_hedges",
            "Requests that were slower than usual: hedges by result, or why not sent.",
            ("result",),
        )
        self.crash_trials = self.counter(
            "lagoonhinge_crash_trials",
            "Requests in quarantine that were to be tried: begun, or left to another.",
            ("result",),
        )
        self.refusals = self.counter(
            "lagoonhinge_refusals",
            "Requests that were not admitted, by status.",
            ("status",),
        )
        self.first_event = Histogram(
            "lagoonhinge_first_event_seconds",
            "From a request's arrival to its first event or whole answer.",
            ("kind", "length"),
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.longest_gap = Histogram(
            "lagoonhinge_longest_pause_seconds",
            "Longest pause between two events of a stream.",
            ("length",),
            buckets=GAP_BUCKETS_S,
            registry=self.registry,
        )

    def add_gauges(self, serving: ServingState) -> None:
        """Add gauges that read the current state of the node."""
        now_s = serving.clock
        gauges: dict[str, tuple[str, Callable[[], float]]] = {
            "lagoonhinge_open_requests": (
                "Requests being served.",
                lambda: serving.open_requests,
            ),
            "lagoonhinge_upstreams": (
                "Listed upstreams.",
                lambda: len(serving.directory.by_instance),
            ),
            "lagoonhinge_upstreams_age_seconds": (
                "Age of the list of upstreams.",
                serving.upstreams_age_s,
            ),
            "lagoonhinge_unreachable_upstreams": (
                "Upstreams that could not be reached.",
                lambda: len(serving.health.unreachable()),
            ),
            "lagoonhinge_recorded_crashes": (
                "Recent crashes of upstreams, counted for each possible cause.",
                lambda: len(serving.crashes.confirmed),
            ),
            "lagoonhinge_quarantines": (
                "Causes of crashes whose requests are refused.",
                lambda: len(serving.crashes.quarantined(now_s())),
            ),
            "lagoonhinge_cut_off_services": (
                "Services of which this node reaches no upstream.",
                lambda: len(serving.reach.cut_off),
            ),
            "lagoonhinge_limited_upstreams": (
                "Upstreams that limit their requests.",
                lambda: len(serving.request_limits.limited()),
            ),
            "lagoonhinge_leaving_upstreams": (
                "Listed upstreams that leave, by their rows or answers.",
                lambda: _count_leaving(serving),
            ),
            "lagoonhinge_paused_upstreams": (
                "Listed upstreams that want no requests of this node for a time.",
                lambda: _count_paused(serving),
            ),
            "lagoonhinge_cold_upstreams": (
                "Upstreams that are cold and take few requests.",
                lambda: sum(end_s > now_s() for end_s in serving.cold.until_s.values()),
            ),
            "lagoonhinge_evacuated_zones": (
                "Zones whose upstreams get nothing new.",
                lambda: len(serving.evacuations.zones),
            ),
            "lagoonhinge_nodes_heard": (
                "Nodes that share the upstreams, this one included.",
                lambda: serving.load.count_nodes(now_s()),
            ),
            "lagoonhinge_config_age_seconds": (
                "Age of the last confirmation of the configuration.",
                lambda: serving.freshness.age_s(now_s()),
            ),
            "lagoonhinge_config_version": (
                "Version of the configuration in force.",
                lambda: _config_version(serving),
            ),
        }
        self._add_gauges(gauges)

    def add_store_gauges(self, watch: StoreWatch) -> None:
        """Add gauges of the watch of the store."""
        gauges: dict[str, tuple[str, Callable[[], float]]] = {
            "lagoonhinge_store_calls": (
                "Calls to the store since the start.",
                lambda: watch.serving.store_calls,
            ),
            "lagoonhinge_store_era": (
                "Era of the store; rises with each return from an older copy.",
                lambda: watch.store_replicas.era,
            ),
            "lagoonhinge_watches_store": (
                "Whether this node watches the store for its zone.",
                lambda: int(watch.role.is_watching),
            ),
        }
        self._add_gauges(gauges)

    def _add_gauges(self, gauges: dict[str, tuple[str, Callable[[], float]]]) -> None:
        for name, (help_text, read) in gauges.items():
            Gauge(name, help_text, registry=self.registry).set_function(read)


def _config_version(serving: ServingState) -> int:
    config = serving.board.read(SiteConfigSection).config
    return 0 if config is None else config.version


def _count_leaving(serving: ServingState) -> int:
    listed, notices = serving.directory.by_instance.values(), serving.leaving_notices
    return sum(entry.leaving or notices.is_leaving(entry) for entry in listed)


def _count_paused(serving: ServingState) -> int:
    listed, now_s = serving.directory.by_instance.values(), serving.clock()
    return sum(serving.pauses.remaining_s(entry, now_s) > 0 for entry in listed)
