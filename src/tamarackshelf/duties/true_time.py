"""Estimate of the true wall-clock time on VMs whose clocks differ or jump."""

from __future__ import annotations

import asyncio
import statistics
from collections import deque
from collections.abc import Callable, Iterable

# An estimate further than this from the VM's own clock is a mistake, such as after a
# restart of the store's clock. The clocks of some VMs are 2 to 3 s off.
MAX_CORRECTION_S = 10.0
SAMPLE_INTERVAL_S = 1.0
SAMPLES = 60
# A call to the store takes less. A sample that is lower by more shows another clock.
MAX_STORE_DELAY_S = 5.0


class TrueClock:
    """The store's steady clock plus the median of all VMs' distances from it.

    `read_store_ms` returns the store's time as last seen, which lags behind by the time
    that the response took; the least lag of the last samples counts. Without the
    store's time or the median, the VM's own clock is used.
    """

    def __init__(
        self,
        read_store_ms: Callable[[], int | None],
        read_wall_s: Callable[[], float],
    ) -> None:
        self._read_store_ms = read_store_ms
        self._read_wall_s = read_wall_s
        # Distances of the store's clock from the event loop's clock.
        self._samples: deque[float] = deque(maxlen=SAMPLES)
        self._sampled_at_s = float("-inf")
        self._median_s: float | None = None

    @property
    def is_adjusted(self) -> bool:
        """Whether the clocks of other VMs are taken into account."""
        return self._find_store_offset_s() is not None and self._median_s is not None

    def measure_wall_offset_s(self) -> float | None:
        """Return how far this VM's clock is ahead of the store's, or None."""
        offset_s = self._find_store_offset_s()
        if offset_s is None:
            return None
        return self._read_wall_s() - _now_s() - offset_s

    def set_median(self, median_s: float | None) -> None:
        """Take over the median of all VMs' distances from the store's clock."""
        if median_s is not None:
            self._median_s = median_s

    def now_s(self) -> float:
        """Return the estimated Unix time."""
        return self.to_true_s(_now_s())

    def to_true_s(self, loop_s: float) -> float:
        """Return the estimated Unix time at a time of the event loop's clock."""
        own_s = self._read_wall_s() - (_now_s() - loop_s)
        offset_s = self._find_store_offset_s()
        if offset_s is None or self._median_s is None:
            return own_s
        true_s = loop_s + offset_s + self._median_s
        return true_s if abs(true_s - own_s) <= MAX_CORRECTION_S else own_s

    def _find_store_offset_s(self) -> float | None:
        self._sample()
        return max(self._samples, default=None)

    def _sample(self) -> None:
        now_s = _now_s()
        if self._samples and now_s - self._sampled_at_s < SAMPLE_INTERVAL_S:
            return
        store_ms = self._read_store_ms()
        if store_ms is None:
            return
        self._sampled_at_s = now_s
        sample_s = store_ms / 1000 - now_s
        if self._samples and abs(sample_s - max(self._samples)) > MAX_STORE_DELAY_S:
            self._samples.clear()
        self._samples.append(sample_s)


def compute_median_s(offsets_s: Iterable[float]) -> float | None:
    """Return the median of the VMs' distances from the store's clock, or None."""
    offsets = list(offsets_s)
    return statistics.median(offsets) if offsets else None


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["TrueClock", "compute_median_s"]
