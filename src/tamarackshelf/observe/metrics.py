"""Counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from prometheus_client.core import Metric

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class _Counter:
    """A counter and the Unix time of its first use."""

    created_s: float
    value: int = 0


class Metrics:
    """Counters, gauges and histograms of one process, created on first use."""

    def __init__(self) -> None:
        # By name and labels.
        self._counters: dict[str, dict[tuple[tuple[str, str], ...], _Counter]] = {}
        self._gauges: dict[str, dict[tuple[tuple[str, str], ...], float]] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter by `amount`.

        All calls with a name have the same labels; their values must be bounded.
        """
        series = self._counters.setdefault(name, {})
        key = tuple(labels.items())
        counter = series.get(key)
        if counter is None:
            counter = series[key] = _Counter(time.time())
        counter.value += amount

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge; what `count` says of labels applies here too."""
        self._gauges.setdefault(name, {})[tuple(labels.items())] = value

    def observe_s(self, name: str, duration_s: float) -> None:
        """Record a duration in a histogram.

        Durations below 1 µs count as 1 µs; those above one hour are not recorded.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self._histograms[name] = histogram
        histogram.record_value(max(MIN_DURATION_US, int(duration_s * 1e6)))

    def percentile_s(self, name: str, percentile: float) -> float:
        """Return a percentile (0 to 100) of a histogram in seconds, or 0 if empty."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / 1e6

    def collect(self) -> Iterator[Metric]:
        """Return counters and gauges, as a collector of prometheus_client does."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, series in self._counters.items():
            labels = [label for label, _ in next(iter(series))]
            family = CounterMetricFamily(f"tamarackshelf_{name}", name, labels=labels)
            for key, counter in series.items():
                values = [value for _, value in key]
                family.add_metric(values, counter.value, created=counter.created_s)
            yield family
        for name, gauges in self._gauges.items():
            labels = [label for label, _ in next(iter(gauges))]
            gauge = GaugeMetricFamily(f"tamarackshelf_{name}", name, labels=labels)
            for key, number in gauges.items():
                gauge.add_metric([value for _, value in key], number)
            yield gauge

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # It imports an HTTP server and TLS, which most starts of a node never need.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        lines = []
        for name, histogram in self._histograms.items():
            metric = f"tamarackshelf_{name}_seconds"
            lines.append(f"# TYPE {metric} summary")
            for percentile in PERCENTILES:
                value_s = histogram.get_value_at_percentile(percentile) / 1e6
                lines.append(f'{metric}{{quantile="{percentile / 100}"}} {value_s}')
            lines.append(f"{metric}_count {histogram.get_total_count()}")
        text = "".join(f"{line}\n" for line in lines)
        return generate_latest(registry) + text.encode()


__all__ = ["Metrics"]
