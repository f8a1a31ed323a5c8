"""A registry of metrics, and histogram buckets used by several modules."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    ProcessCollector,
    generate_latest,
)

FIRST_TOKEN_BUCKETS_S = (
    0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0, 1.4, 2.0, 3.5, 5.0, 10.0, 30.0, 100.0, 300.0,
)  # fmt: skip


class RegistryMetrics:
    """Metrics in a registry of their own, with those of the process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    def counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        """Return a new counter."""
        return Counter(name, text, labels, registry=self.registry)
