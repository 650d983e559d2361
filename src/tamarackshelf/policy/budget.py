"""Token buckets and the shares of the table's budget."""

from __future__ import annotations

FLEET_READS_PER_S = 2_000.0
FLEET_WRITES_PER_S = 400.0
# Few processes are busy at once, so each may take more than an even share.
UNEVENNESS = 4.0
LEAST_PER_S = 2.0


def share_budget(fleet_per_s: float, processes: int) -> float:
    """Returns what one of the processes may use of a budget of the fleet."""
    return max(LEAST_PER_S, UNEVENNESS * fleet_per_s / max(1, processes))


class TokenBucket:
    """Allows `rate_per_s` with a burst; callers sleep the returned time."""

    def __init__(self, rate_per_s: float, burst_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst_s = burst_s
        self._free_at_s = float("-inf")

    def set_rate(self, rate_per_s: float) -> None:
        """Changes the rate from now on."""
        self._rate_per_s = rate_per_s

    def take(self, cost: float, now_s: float) -> float:
        """Takes `cost` and returns the seconds until it is covered."""
        start_s = max(self._free_at_s, now_s - self._burst_s)
        self._free_at_s = start_s + cost / self._rate_per_s
        return max(0.0, self._free_at_s - now_s)


__all__ = ["TokenBucket"]
