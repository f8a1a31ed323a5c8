"""Metrics of the node; no label grows with the number of client accounts."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


class Metrics:
    """The node's metrics in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.failures = Counter(
            "lagoonhinge_failures",
            "Requests that got no answer, by error code and outcome.",
            ("code", "outcome"),
            registry=self.registry,
        )

        self.control_bytes = Counter(
            "lagoonhinge_control_bytes",
            "Bytes of calls between nodes, sent and received, by path.",
            ("path",),
            registry=self.registry,
        )

        self.config_version = Gauge(
            "lagoonhinge_config_version",
            "Version of the configuration in force; 0 while none is known.",
            registry=self.registry,
        )
        self.config_refused = Gauge(
            "lagoonhinge_config_refused",
            "Whether a newer configuration is known but not in force.",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
