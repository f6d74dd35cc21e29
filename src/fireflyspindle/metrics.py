"""Metrics of a gate host, with histograms per tenant and class.

A call only adds to plain counters; aioprometheus' collectors are filled from
them when the metrics are read.
"""

import bisect
import collections
import itertools
from typing import Any

from aioprometheus import collectors
from aioprometheus import renderer
import attrs

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib

LATENCY_BUCKETS_US = (
    100, 200, 300, 500, 700, 1_000, 1_500, 2_000, 3_000, 5_000, 10_000,
    20_000, 50_000, 100_000, 200_000, 500_000, 1_000_000, 2_000_000,
    5_000_000, 10_000_000,
)  # fmt: skip

# Label of a tenant or class that the configuration doesn't know.
OTHER = "other"


@attrs.define
class Series:
    """Counts of latencies by bucket, the last one open above."""

    counts: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BUCKETS_US) + 1)
    )
    sum_us: int = 0

    def observe(self, value_us: int) -> None:
        """Counts one latency."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_US, value_us)] += 1
        self.sum_us += value_us


@attrs.define
class CallSeries:
    """What is counted for one tenant and class."""

    total: Series = attrs.field(factory=Series)
    added: Series = attrs.field(factory=Series)
    target: Series = attrs.field(factory=Series)
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    attempts: int = 0


class _FilledHistogram(collectors.Histogram):
    """A histogram whose cumulative counts are set rather than observed."""

    def __init__(
        self, name: str, doc: str, registry: collectors.Registry
    ) -> None:
        super().__init__(name, doc, registry=registry)
        self._filled: list[tuple[dict[str, str], dict[Any, float]]] = []

    def fill(self, series: list[tuple[dict[str, str], Series]]) -> None:
        """Replaces what the histogram shows."""
        self._filled = [
            (labels, self._cumulative(found)) for labels, found in series
        ]

    def _cumulative(self, series: Series) -> dict[Any, float]:
        running = list(itertools.accumulate(series.counts))
        shown: dict[Any, float] = {
            bound_us / 1e6: float(count)
            for bound_us, count in zip(
                LATENCY_BUCKETS_US, running[:-1], strict=True
            )
        }
        shown[float("inf")] = float(running[-1])
        shown[self.SUM_KEY] = series.sum_us / 1e6
        shown[self.COUNT_KEY] = float(running[-1])
        return shown

    def get_all(self) -> Any:
        """Returns the labels and cumulative counts of every series."""
        return self._filled


class Metrics:
    """The metrics of one gate host, in a registry of its own.

    Attributes:
        registry: Registry of every collector.
        calls: Counts of calls by tenant and class.
        counts: Retries, hedges, probes, claims and the like, by kind.
        errors: Answers of the gate's own, by error.
        gauges: Values that go up and down, by name.
    """

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.counts: collections.Counter[str] = collections.Counter()
        self.errors: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self._log_read_us: dict[str, int] = {}
        self._log_record_us: dict[str, int] = {}
        self.calls: dict[tuple[str, str], CallSeries] = {}
        self._total = self._histogram(
            "call_seconds", "Time from a call's arrival to its end."
        )
        self._added = self._histogram(
            "added_seconds", "Time of a call that was not spent at its target."
        )
        self._target = self._histogram(
            "target_seconds", "Time that a call waited for its target."
        )
        self._outcomes = self._counter("outcomes_total", "Calls by outcome.")
        self._attempts = self._counter(
            "attempts_total", "Requests sent to targets."
        )
        self._events = self._counter(
            "events_total",
            "Retries, hedges, probes, claims and others by kind.",
        )
        self._errors = self._counter(
            "refusals_total", "Answers of the gate's own by error."
        )
        self._state = collectors.Gauge(
            "fireflyspindle_state", "Values of now.", registry=self.registry
        )

    def _histogram(self, name: str, doc: str) -> _FilledHistogram:
        return _FilledHistogram(f"fireflyspindle_{name}", doc, self.registry)

    def _counter(self, name: str, doc: str) -> collectors.Counter:
        return collectors.Counter(
            f"fireflyspindle_{name}", doc, registry=self.registry
        )

    def on_call_finished(self, effect: effects.CallFinished) -> None:
        """Counts a call that has ended."""
        key = (effect.tenant, effect.traffic_class or effect.route)
        series = self.calls.get(key)
        if series is None:
            series = self.calls[key] = CallSeries()
        series.total.observe(effect.total_us)
        series.added.observe(effect.total_us - effect.target_us)
        series.target.observe(effect.target_us)
        series.outcomes[effect.outcome.value] += 1
        series.attempts += effect.attempts

    def on_log_read(self, stream: str, now_us: int, brought: bool) -> None:
        """Notes a read of a stream of the log that succeeded.

        Args:
            stream: Name of the stream.
            now_us: Monotonic time.
            brought: Whether it brought records.
        """
        self._log_read_us[stream] = now_us
        if brought:
            self._log_record_us[stream] = now_us

    def set_state(self, state: state_lib.GateState, now_us: int) -> None:
        """Takes over what is read from the state when metrics are read."""
        config = state.configuration
        self.gauges["configuration_offset"] = config.next_offset
        self.gauges["configuration_known_offset"] = config.known_offset or 0
        self.gauges["configuration_complete"] = float(config.complete)
        stream = configuration.STREAM
        for name, since in (
            ("configuration_age_s", self._log_record_us),
            ("configuration_read_age_s", self._log_read_us),
        ):
            if stream in since:
                self.gauges[name] = (now_us - since[stream]) / 1e6
        self.gauges["calls_in_flight"] = len(state.calls)
        self.gauges["stopping"] = float(state.stopping)
        counters = attrs.asdict(state.claims.counters)
        self.counts.update(
            {
                f"claim_{name}": value - self.counts[f"claim_{name}"]
                for name, value in counters.items()
            }
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics in the text format, and the headers for it."""
        self._fill()
        content, http_headers = renderer.render(self.registry, ["text/plain"])
        return content, dict(http_headers)

    def _fill(self) -> None:
        labelled = [
            ({"tenant": tenant or OTHER, "class": name or OTHER}, series)
            for (tenant, name), series in self.calls.items()
        ]
        self._total.fill([(labels, s.total) for labels, s in labelled])
        self._added.fill([(labels, s.added) for labels, s in labelled])
        self._target.fill([(labels, s.target) for labels, s in labelled])
        for labels, series in labelled:
            self._attempts.set(labels, series.attempts)
            for outcome, count in series.outcomes.items():
                self._outcomes.set({**labels, "outcome": outcome}, count)
        for kind, count in self.counts.items():
            self._events.set({"kind": kind}, count)
        for error, count in self.errors.items():
            self._errors.set({"error": error}, count)
        for name, value in self.gauges.items():
            self._state.set({"name": name}, value)
