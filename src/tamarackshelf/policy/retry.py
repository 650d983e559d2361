"""Retry budgets and exponential back-off with jitter."""

from __future__ import annotations

from random import Random

BUDGET_PER_REQUEST = 0.1
BUDGET_BURST = 32.0
INITIAL_DELAY_S = 0.02
MAX_DELAY_S = 1.0


class RetryBudget:
    """Budget that bounds retries to a share of the requests, plus a burst."""

    def __init__(self, burst: float = BUDGET_BURST) -> None:
        self._burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Add BUDGET_PER_REQUEST retries to the budget, up to the burst."""
        self._tokens = min(self._burst, self._tokens + BUDGET_PER_REQUEST)

    def take(self) -> bool:
        """Consume one retry; return False when the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(attempt: int, rng: Random) -> float:
    """Return the seconds to wait before retry `attempt`, counted from zero."""
    longest_s = min(MAX_DELAY_S, INITIAL_DELAY_S * 2**attempt)
    return rng.uniform(longest_s / 2, longest_s)


__all__ = ["RetryBudget", "backoff_s"]
