"""Registry of counters, gauges and histograms."""

import bisect
import itertools
import threading
from collections import Counter

PREFIX = "bramleystair"
# Histogram buckets, chosen around the latency objectives and deadlines of requests.
DURATION_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    float("inf"),
)


class Metrics:
    """Counters, gauges and histograms of one process.

    Parameters
    ----------
    labels : dict of str to str
        Labels added to every metric, for example the node.
    """

    def __init__(self, labels: dict[str, str] | None = None) -> None:
        self._labels = labels or {}
        self._counts: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[tuple[str, str], float] = {}
        self._durations: dict[str, list[int]] = {}
        self._sums_s: Counter[str] = Counter()
        self._lock = threading.Lock()

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Increase the counter `name` with the label `reason` by `amount`."""
        with self._lock:
            self._counts[name, reason] += amount

    def set_gauge(self, name: str, value: float, subject: str = "") -> None:
        """Set the gauge `name`, with the label `subject` if given."""
        with self._lock:
            self._gauges[name, subject] = value

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to the histogram `name`."""
        index = bisect.bisect_left(DURATION_BUCKETS_S, seconds)
        with self._lock:
            counts = self._durations.get(name)
            if counts is None:
                counts = self._durations[name] = [0] * len(DURATION_BUCKETS_S)
            counts[index] += 1
            self._sums_s[name] += seconds

    def get_count(self, name: str, reason: str | None = None) -> int:
        """Return the value of a counter; without a reason, the sum over all reasons."""
        with self._lock:
            return sum(
                value
                for (other_name, other_reason), value in self._counts.items()
                if other_name == name and reason in (None, other_reason)
            )

    def list_counts(self) -> dict[str, int]:
        """Return the values of all counters by ``name{reason}``."""
        with self._lock:
            return {
                f"{name}{{{reason}}}": value
                for (name, reason), value in self._counts.items()
            }

    def render(self, accepts: tuple[str, ...] = ("text/plain",)) -> tuple[bytes, dict]:
        """Return the body and headers of a `/metrics` response."""
        # Imported on first use: it takes 10 MB, and many nodes are never scraped.
        import aioprometheus

        registry = aioprometheus.Registry()
        with self._lock:
            counts = dict(self._counts)
            gauges = dict(self._gauges)
            durations = {name: list(c) for name, c in self._durations.items()}
        for (name, reason), value in counts.items():
            labels = {"reason": reason} if reason else {}
            full_name = f"{PREFIX}_{name}_total"
            collector = self._get_collector(registry, aioprometheus.Counter, full_name)
            collector.set(labels, value)
        for (name, subject), value in gauges.items():
            labels = {"subject": subject} if subject else {}
            collector = self._get_collector(
                registry, aioprometheus.Gauge, f"{PREFIX}_{name}"
            )
            collector.set(labels, value)
        for name, bucket_counts in durations.items():
            collector = aioprometheus.Histogram(
                f"{PREFIX}_{name}_seconds",
                name.replace("_", " "),
                dict(self._labels),
                registry,
                DURATION_BUCKETS_S,
            )
            collector.set_value({}, self._build_histogram(name, bucket_counts))
        return aioprometheus.render(registry, accepts)

    def _build_histogram(self, name: str, counts: list[int]):
        from aioprometheus.histogram import Histogram

        histogram = Histogram(*DURATION_BUCKETS_S)
        histogram.observations = sum(counts)
        histogram.sum = self._sums_s[name]
        for bound, total in zip(
            DURATION_BUCKETS_S, itertools.accumulate(counts), strict=True
        ):
            histogram.buckets[bound] = total
        return histogram

    def _get_collector(self, registry, kind: type, name: str):
        # Pass the registry: otherwise the library adds the collector to its global
        # registry for good.
        if name not in registry.collectors:
            kind(name, name.replace("_", " "), dict(self._labels), registry)
        return registry.get(name)
