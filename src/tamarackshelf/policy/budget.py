"""Token buckets, and each process's share of the table service's request budget."""

from __future__ import annotations

FLEET_READS_PER_S = 2_000.0
FLEET_WRITES_PER_S = 400.0
# Few processes are busy at the same time, so each may use this many times its even
# share.
SKEW_FACTOR = 4.0
MIN_RATE_PER_S = 2.0


def share_budget(fleet_per_s: float, processes: int) -> float:
    """Return the rate per second that one process may use of the fleet's budget."""
    return max(MIN_RATE_PER_S, SKEW_FACTOR * fleet_per_s / max(1, processes))


class TokenBucket:
    """Token bucket that allows `rate_per_s` and a burst of `burst_s` seconds of it.

    It does not block: callers sleep for the time that `take` returns.
    """

    def __init__(self, rate_per_s: float, burst_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst_s = burst_s
        self._free_at_s = float("-inf")

    def set_rate(self, rate_per_s: float) -> None:
        """Change the rate for later calls of `take`."""
        self._rate_per_s = rate_per_s

    def take(self, cost: float, now_s: float) -> float:
        """Consume `cost` tokens and return the seconds until they are available."""
        start_s = max(self._free_at_s, now_s - self._burst_s)
        self._free_at_s = start_s + cost / self._rate_per_s
        return max(0.0, self._free_at_s - now_s)


__all__ = ["TokenBucket"]
