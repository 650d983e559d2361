"""Token bucket that tells how long to wait."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate_per_s` with a burst; callers sleep the returned time."""

    def __init__(self, rate_per_s: float, burst_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst_s = burst_s
        self._free_at_s = float("-inf")

    def take(self, cost: float, now_s: float) -> float:
        """Takes `cost` and returns the seconds until it is covered."""
        start_s = max(self._free_at_s, now_s - self._burst_s)
        self._free_at_s = start_s + cost / self._rate_per_s
        return max(0.0, self._free_at_s - now_s)


__all__ = ["TokenBucket"]
