"""Counters and latency histograms in the Prometheus text form."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Holds the counters and histograms of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(f"tamarackshelf_{name}", name, registry=self._registry)
            self._counters[name] = counter
        counter.inc(amount)

    def observe_s(self, name: str, duration_s: float) -> None:
        """Adds a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, int(duration_s * 1e6)))

    def quantile_s(self, name: str, quantile: float) -> float:
        """Returns a quantile (0 to 100) of a histogram in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return 0.0
        return float(histogram.get_value_at_percentile(quantile)) / 1e6

    def render(self) -> bytes:
        """Returns the metrics page."""
        lines = []
        for name, histogram in self._histograms.items():
            metric = f"tamarackshelf_{name}_seconds"
            lines.append(f"# TYPE {metric} summary")
            for quantile in QUANTILES:
                value_s = histogram.get_value_at_percentile(quantile) / 1e6
                lines.append(f'{metric}{{quantile="{quantile / 100}"}} {value_s}')
            lines.append(f"{metric}_count {histogram.get_total_count()}")
        text = "".join(f"{line}\n" for line in lines)
        return generate_latest(self._registry) + text.encode()


__all__ = ["Metrics"]
