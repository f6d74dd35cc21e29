"""Metrics of a gate host, with histograms per tenant and class."""

from aioprometheus import collectors
from aioprometheus import renderer

LATENCY_BUCKETS_S = (
    0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
    0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
)  # fmt: skip


class Metrics:
    """The metrics of one gate host, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.total_s = self._histogram(
            "fireflyspindle_call_seconds", "Time from arrival to the end."
        )
        self.added_s = self._histogram(
            "fireflyspindle_added_seconds", "Time added by the gate host."
        )
        self.outcomes = collectors.Counter(
            "fireflyspindle_outcomes_total",
            "Calls by outcome.",
            registry=self.registry,
        )

    def _histogram(self, name: str, doc: str) -> collectors.Histogram:
        return collectors.Histogram(
            name, doc, buckets=list(LATENCY_BUCKETS_S), registry=self.registry
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics in the text format, and the headers for it."""
        content, http_headers = renderer.render(self.registry, ["text/plain"])
        return content, dict(http_headers)
