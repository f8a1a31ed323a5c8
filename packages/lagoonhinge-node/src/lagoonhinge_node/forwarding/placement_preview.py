"""Where a node would send a request now, and why, without sending it.

The node's own decisions are made on its present state, with a copy of its generator of
random numbers, so that the next request goes where the preview says. Nothing is
counted, reserved or sent.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf
from random import Random

from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.freshness import Staleness
from lagoonhinge_core.forwarding.messages import CallerRequest, PromptSize
from lagoonhinge_core.forwarding.prompt_placement import DeadlineUnreachable
from lagoonhinge_core.forwarding.routes import Route
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.request_context import Refusal
from lagoonhinge_node.forwarding.request_ending import SHORT_RETRY_AFTER_S
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChoice, UpstreamChooser

DIGITS = 4  # of times in the report, in seconds


@dataclass(frozen=True)
class PlacementQuery:
    """A request as far as its placement depends on it.

    Attributes:
        host: Value of its `Host` header.
        path: Its path.
        account: Name of the client account; empty for a public route.
        prompt_tokens: Length of the prompt, in tokens; 0 for a plain request.
        answer_tokens: Longest answer, in tokens.
        time_limit_s: How long the client waits, in seconds; 0 for the route's time.
    """

    host: str
    path: str
    account: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    time_limit_s: float = 0.0


@dataclass(frozen=True)
class CandidateReport:
    """An upstream of the request's service.

    Attributes:
        upstream: Its name.
        zone: Availability zone.
        role: What it would do: `answers`, `helps`, or empty.
        states: Why it takes few or no requests.
        waiting_s: Predicted time until its assigned prefills are finished, in seconds.
        requests: Open requests of all nodes.
        slots: Requests that it serves concurrently.
        tokens: KV cache that the open requests use, in tokens.
        load_age_s: Age of what is known of the other nodes' requests there, in seconds;
            `None` if it is not known.
    """

    upstream: str
    zone: str
    role: str
    states: tuple[str, ...]
    waiting_s: float
    requests: int
    slots: int
    tokens: int
    load_age_s: float | None


@dataclass(frozen=True)
class PlacementReport:
    """Where a request would go now.

    Attributes:
        node: Name of the node.
        zone: Its availability zone.
        outcome: `sent`, `relayed`, `waits` or `refused`.
        reason: Why it is not sent at once; empty if it is.
        status: Status of the refusal; 0 without one.
        retry_after_s: When the caller may return, in seconds; `None` without a refusal.
        route: Name of the route; empty without one.
        service: Service that the traffic split selects.
        upstream: The upstream that would answer.
        helpers: Upstreams that would prefill parts of the prompt.
        reservations: Memory that would be reserved on helpers, in tokens.
        waiting_s: Predicted time until all of them start, in seconds.
        prefill_s: Predicted time of each part's prefill, in seconds.
        config_version: Version of the configuration in force.
        config_age_s: Age of its last confirmation, in seconds.
        upstreams_age_s: Age of the list of upstreams, in seconds.
        candidates: All listed upstreams of the service.
    """

    node: str
    zone: str
    outcome: str
    reason: str = ""
    status: int = 0
    retry_after_s: float | None = None
    route: str = ""
    service: str = ""
    upstream: str = ""
    helpers: tuple[str, ...] = ()
    reservations: dict[str, int] | None = None
    waiting_s: float = 0.0
    prefill_s: float = 0.0
    config_version: int = 0
    config_age_s: float = inf
    upstreams_age_s: float = inf
    candidates: tuple[CandidateReport, ...] = ()


class PlacementPreview:
    """Previews the placement of requests.

    Args:
        serving: State shared by all requests; stays unchanged.
    """

    def __init__(self, serving: ServingState):
        self.serving = serving

    def preview(self, query: PlacementQuery) -> PlacementReport:
        """Return where a request would go now."""
        random = Random()
        random.setstate(self.serving.random.getstate())
        match self._find_route(query):
            case Failure(refusal):
                return self._report(
                    "refused",
                    reason=refusal.reason,
                    status=refusal.status,
                    retry_after_s=refusal.retry_after_s,
                )
            case Success(route):
                service = route.pick_service(random.random())
                return self._place(query, route, service, random)
        raise AssertionError("not a result")

    def _find_route(self, query: PlacementQuery) -> Result[Route, Refusal]:
        serving = self.serving
        config = serving.board.read(SiteConfigSection).config
        staleness = serving.freshness.staleness(serving.clock())
        if config is None:
            return Failure(Refusal(503, "no configuration", SHORT_RETRY_AFTER_S))
        if staleness in (Staleness.UNKNOWN, Staleness.STALE):
            reason = "the configuration is stale"
            return Failure(Refusal(503, reason, SHORT_RETRY_AFTER_S))
        route = config.routes.find(query.host, query.path)
        if route is None:
            return Failure(Refusal(404, "no such route"))
        names = {account.name for account in config.accounts.values()}
        if config.needs_key and not route.public and query.account not in names:
            return Failure(Refusal(401, "no such client account"))
        return Success(route)

    def _place(
        self, query: PlacementQuery, route: Route, service: str, random: Random
    ) -> PlacementReport:
        serving = self.serving
        size: PromptSize | None = None
        if query.prompt_tokens:
            size = PromptSize(query.prompt_tokens, query.answer_tokens)
        request = CallerRequest(
            "", "", query.path, query.host, (), b"", None, None, size, None
        )
        remaining_s = min(route.timeout_s, query.time_limit_s or inf)
        if service in serving.reach.cut_off:
            return self._report(
                "relayed",
                route,
                service,
                reason="this node reaches no upstream; another node serves it",
            )
        chooser = UpstreamChooser(serving, random)
        with self._unchanged():
            choice = chooser.choose(request, route, service, set(), remaining_s)
            closed_s = chooser.closed_for_s(service, set())
        match choice:
            case UpstreamChoice():
                return self._report("sent", route, service, choice)
            case DeadlineUnreachable(prefill_s):
                return self._report(
                    "refused",
                    route,
                    service,
                    reason=f"its prefill takes {prefill_s:.3f} s of {remaining_s:g} s",
                    status=503,
                    retry_after_s=remaining_s,
                )
            case None:
                return self._report_closed(route, service, closed_s, remaining_s)

    @contextmanager
    def _unchanged(self) -> Iterator[None]:
        """Restore what a choice counts: rotation and permits."""
        serving = self.serving
        rotation_index = serving.rotation_index
        permits = [serving.request_limits.permits]
        if serving.cold.permits is not None:
            permits.append(serving.cold.permits)
        counts = [dict(entry.counts) for entry in permits]
        try:
            yield
        finally:
            serving.rotation_index = rotation_index
            for entry, before in zip(permits, counts, strict=True):
                entry.counts = before

    def _report_closed(
        self, route: Route, service: str, closed_s: float | None, remaining_s: float
    ) -> PlacementReport:
        if closed_s is None:
            return self._report(
                "waits", route, service, reason="no upstream has room for it"
            )
        reason = "all upstreams take no requests"
        if self.serving.is_evacuated(service):
            reason = "all zones of the service are evacuated"
        return self._report(
            "refused",
            route,
            service,
            reason=reason,
            status=503,
            retry_after_s=max(SHORT_RETRY_AFTER_S, min(closed_s, remaining_s)),
        )

    def _report(
        self,
        outcome: str,
        route: Route | None = None,
        service: str = "",
        choice: UpstreamChoice | None = None,
        reason: str = "",
        status: int = 0,
        retry_after_s: float | None = None,
    ) -> PlacementReport:
        serving = self.serving
        config = serving.board.read(SiteConfigSection).config
        reservations = choice.reservations if choice is not None else ()
        return PlacementReport(
            serving.load.node,
            serving.zone,
            outcome,
            reason,
            status,
            retry_after_s,
            "" if route is None else route.name,
            service,
            "" if choice is None else choice.upstream.instance,
            () if choice is None else tuple(h.instance for h in choice.helpers),
            {entry.instance: entry.tokens for entry in reservations},
            0.0 if choice is None else round(choice.waiting_s, DIGITS),
            0.0 if choice is None else round(choice.prefill_s, DIGITS),
            0 if config is None else config.version,
            round(serving.freshness.age_s(serving.clock()), DIGITS),
            round(serving.upstreams_age_s(), DIGITS),
            self._candidates(service, choice),
        )

    def _candidates(
        self, service: str, choice: UpstreamChoice | None
    ) -> tuple[CandidateReport, ...]:
        serving = self.serving
        listed = [
            upstream
            for upstream in serving.directory.by_instance.values()
            if upstream.service == service
        ]
        ejected = serving.ejected(listed)
        return tuple(
            self._describe(upstream, choice, upstream.instance in ejected)
            for upstream in sorted(listed, key=lambda u: (u.zone, u.instance))
        )

    def _describe(
        self, upstream: Upstream, choice: UpstreamChoice | None, is_ejected: bool
    ) -> CandidateReport:
        serving, now_s = self.serving, self.serving.clock()
        load = serving.load.load(upstream.instance, now_s)
        age_s: float | None = max(
            (now_s - peer.received_s for peer in serving.load.peers.values()),
            default=0.0,
        )
        if upstream.zone not in serving.cell:
            summary = serving.load.current_summary(upstream.zone, now_s)
            age_s = None if summary is None else summary.age_s
            if summary is not None:
                load = serving.load.remote_load(upstream.instance, summary, now_s)
        role = ""
        if choice is not None:
            if upstream.instance == choice.upstream.instance:
                role = "answers"
            elif upstream.instance in choice.instances():
                role = "helps"
        return CandidateReport(
            upstream.instance,
            upstream.zone,
            role,
            self._states(upstream, is_ejected),
            round(load.prefill_s, DIGITS),
            load.requests,
            upstream.slots,
            load.tokens,
            None if age_s is None else round(age_s, DIGITS),
        )

    def _states(self, upstream: Upstream, is_ejected: bool) -> tuple[str, ...]:
        """Return why an upstream takes few or no requests."""
        serving, now_s = self.serving, self.serving.clock()
        pause_s = serving.pauses.remaining_s(upstream, now_s)
        limit_per_s = serving.request_limits.limit_per_s(upstream.instance)
        cold_s = serving.cold.remaining_s(upstream, now_s)
        states = {
            "leaving": upstream.leaving or serving.leaving_notices.is_leaving(upstream),
            "evacuated": upstream.zone in serving.evacuations.zones,
            f"paused for {pause_s:.2f} s": bool(pause_s),
            f"limited to {limit_per_s}/s": limit_per_s is not None,
            f"cold for {cold_s:.2f} s": bool(cold_s),
            "unreachable": serving.health.is_unreachable(upstream.instance),
            "partitioned": upstream.zone in serving.partitions.partitioned,
            "ejected": is_ejected,
        }
        return tuple(state for state, is_set in states.items() if is_set)
