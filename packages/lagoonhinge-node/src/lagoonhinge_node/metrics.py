"""Metrics of the node; no label grows with accounts, upstreams or requests."""

from prometheus_client import Gauge, Histogram

from lagoonhinge_core.engine_messages import Usage
from lagoonhinge_core.length_class import length_class
from lagoonhinge_core.outcome import Failure
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_node.registry_metrics import FIRST_TOKEN_BUCKETS_S, RegistryMetrics

SLOWDOWN_BUCKETS = (1.0, 1.15, 1.3, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0)
QUEUE_BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)


class Metrics(RegistryMetrics):
    """The node's metrics."""

    def __init__(self) -> None:
        super().__init__()
        self.first_token = Histogram(
            "lagoonhinge_time_to_first_token_seconds",
            "From the request's arrival to its first token, by length class.",
            ("length",),
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.slowdown = Histogram(
            "lagoonhinge_slowdown",
            "Time to first token over the nominal time to process the prompt.",
            ("length",),
            buckets=SLOWDOWN_BUCKETS,
            registry=self.registry,
        )
        self.queue = Histogram(
            "lagoonhinge_queue_seconds",
            "Time from arrival to admission.",
            buckets=QUEUE_BUCKETS_S,
            registry=self.registry,
        )
        self.failures = self.counter(
            "lagoonhinge_failures",
            "Requests that got no whole answer, by error code and outcome.",
            ("code", "outcome"),
        )
        self.answers = self.counter(
            "lagoonhinge_answers", "Whole answers, by kind of service.", ("kind",)
        )
        self.tokens = self.counter(
            "lagoonhinge_tokens", "Tokens of whole answers, by kind.", ("kind",)
        )
        self.attempts = self.counter(
            "lagoonhinge_attempts", "Attempts started, by first or retry.", ("kind",)
        )
        self.claims = self.counter(
            "lagoonhinge_claims", "Claims of non-idempotent requests.", ("result",)
        )
        self.control_bytes = self.counter(
            "lagoonhinge_control_bytes",
            "Bytes of calls between nodes, sent and received, by path.",
            ("path",),
        )
        self.config_version = Gauge(
            "lagoonhinge_config_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.config_refused = Gauge(
            "lagoonhinge_config_refused",
            "Whether a newer configuration is known but not in force.",
            registry=self.registry,
        )
        self.members_alive = Gauge(
            "lagoonhinge_members_alive",
            "Other nodes heard from within the heartbeat timeout.",
            registry=self.registry,
        )

    def observe_first_token(
        self, request: ModelRequest, waited_s: float, nominal_s: float
    ) -> None:
        """Record the time to first token of a request.

        Args:
            request: The request.
            waited_s: Time since its arrival, in seconds.
            nominal_s: Time that an idle upstream needs for its prompt, in seconds.
        """
        length = length_class(request.estimate.prompt_tokens)
        self.first_token.labels(length).observe(waited_s)
        self.slowdown.labels(length).observe(waited_s / nominal_s)

    def observe_attempt(self, number: int) -> None:
        """Count an attempt, the first of its request or a retry."""
        self.attempts.labels("first" if number == 1 else "retry").inc()

    def observe_answer(self, usage: Usage) -> None:
        """Count a complete answer of a model."""
        self.answers.labels("model").inc()
        self.tokens.labels("prompt").inc(usage.prompt_tokens)
        self.tokens.labels("cached").inc(usage.cached_tokens)
        self.tokens.labels("completion").inc(usage.completion_tokens)

    def observe_failure(self, failure: Failure) -> None:
        """Count a failure."""
        self.failures.labels(failure.code, failure.outcome).inc()
