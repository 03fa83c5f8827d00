"""Counters by name and reason, and gauges."""

import bisect
import itertools
import threading
from collections import Counter

PREFIX = "bramleystair"
# Bounds in seconds, around the latency objectives and deadlines of requests.
DURATION_BOUNDS_S = (
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
    """Counters and gauges of one process.

    Parameters
    ----------
    labels : dict of str to str
        Labels of every value, for example the node.
    """

    def __init__(self, labels: dict[str, str] | None = None) -> None:
        self._labels = labels or {}
        self._counts: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[tuple[str, str], float] = {}
        self._durations: dict[str, list[int]] = {}
        self._sums_s: Counter[str] = Counter()
        self._lock = threading.Lock()

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Raise the counter `name` with the label `reason` by `amount`."""
        with self._lock:
            self._counts[name, reason] += amount

    def set_gauge(self, name: str, value: float, subject: str = "") -> None:
        """Set the gauge `name`, of `subject` where there are several."""
        with self._lock:
            self._gauges[name, subject] = value

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to the histogram `name`."""
        index = bisect.bisect_left(DURATION_BOUNDS_S, seconds)
        with self._lock:
            counts = self._durations.get(name)
            if counts is None:
                counts = self._durations[name] = [0] * len(DURATION_BOUNDS_S)
            counts[index] += 1
            self._sums_s[name] += seconds

    def get_count(self, name: str, reason: str | None = None) -> int:
        """Return a counter's value, summed over all reasons without one."""
        with self._lock:
            return sum(
                value
                for (known, why), value in self._counts.items()
                if known == name and reason in (None, why)
            )

    def list_counts(self) -> dict[str, int]:
        """Return all counters by ``name{reason}``."""
        with self._lock:
            return {
                f"{name}{{{reason}}}": value
                for (name, reason), value in self._counts.items()
            }

    def render(self, accepts: tuple[str, ...] = ("text/plain",)) -> tuple[bytes, dict]:
        """Return the body and the headers of a response to `/metrics`."""
        # Loaded on the first call, since it takes 10 MB and many nodes are never asked.
        import aioprometheus

        registry = aioprometheus.Registry()
        with self._lock:
            counts = dict(self._counts)
            gauges = dict(self._gauges)
            durations = {name: list(c) for name, c in self._durations.items()}
        for (name, reason), value in counts.items():
            labels = {"reason": reason} if reason else {}
            full_name = f"{PREFIX}_{name}_total"
            collector = self._get(registry, aioprometheus.Counter, full_name)
            collector.set(labels, value)
        for (name, subject), value in gauges.items():
            labels = {"subject": subject} if subject else {}
            collector = self._get(registry, aioprometheus.Gauge, f"{PREFIX}_{name}")
            collector.set(labels, value)
        for name, bucket_counts in durations.items():
            collector = aioprometheus.Histogram(
                f"{PREFIX}_{name}_seconds",
                name.replace("_", " "),
                dict(self._labels),
                registry,
                DURATION_BOUNDS_S,
            )
            collector.set_value({}, self._build_histogram(name, bucket_counts))
        return aioprometheus.render(registry, accepts)

    def _build_histogram(self, name: str, counts: list[int]):
        from aioprometheus.histogram import Histogram

        histogram = Histogram(*DURATION_BOUNDS_S)
        histogram.observations = sum(counts)
        histogram.sum = self._sums_s[name]
        for bound, total in zip(
            DURATION_BOUNDS_S, itertools.accumulate(counts), strict=True
        ):
            histogram.buckets[bound] = total
        return histogram

    def _get(self, registry, kind: type, name: str):
        # Without a registry, a collector enters the library's global one for good.
        if name not in registry.collectors:
            kind(name, name.replace("_", " "), dict(self._labels), registry)
        return registry.get(name)
