"""Retry budgets and back-off with jitter."""

from __future__ import annotations

from random import Random

BUDGET_PER_REQUEST = 0.1
BUDGET_BURST = 32.0
FIRST_DELAY_S = 0.02
LONGEST_DELAY_S = 1.0


class RetryBudget:
    """Lets retries be a bounded share of requests."""

    def __init__(self, burst: float = BUDGET_BURST) -> None:
        self._burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Earns a part of a retry."""
        self._tokens = min(self._burst, self._tokens + BUDGET_PER_REQUEST)

    def take(self) -> bool:
        """Takes one retry, or returns False when the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(attempt: int, rng: Random) -> float:
    """Returns the pause before retry `attempt`, counted from zero."""
    longest_s = min(LONGEST_DELAY_S, FIRST_DELAY_S * 2**attempt)
    return rng.uniform(longest_s / 2, longest_s)


__all__ = ["RetryBudget", "backoff_s"]
