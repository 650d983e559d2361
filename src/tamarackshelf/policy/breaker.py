"""Circuit breaker that probes whether calls succeed again."""

from __future__ import annotations

FAILURES_TO_OPEN = 3
INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0


class CircuitBreaker:
    """Circuit breaker that opens after consecutive failures.

    While it is open, it allows one probe call per pause; the pause doubles with each
    failure up to `max_pause_s`.
    """

    def __init__(self, max_pause_s: float = MAX_PAUSE_S) -> None:
        self._max_pause_s = max_pause_s
        self._failures = 0
        self._pause_s = INITIAL_PAUSE_S
        self._retry_at_s = 0.0

    @property
    def is_closed(self) -> bool:
        """Whether all calls are allowed."""
        return self._failures < FAILURES_TO_OPEN

    def try_acquire(self, now_s: float) -> bool:
        """Return whether a call is allowed now.

        While the breaker is open, an allowed call is the probe, and the next one is
        allowed only after another pause.
        """
        if self.is_closed:
            return True
        if now_s < self._retry_at_s:
            return False
        self._retry_at_s = now_s + self._pause_s
        return True

    def record_success(self) -> None:
        """Close the breaker and reset the failure count and the pause."""
        self._failures = 0
        self._pause_s = INITIAL_PAUSE_S

    def record_failure(self, now_s: float) -> None:
        """Count a failure; while open, start the pause and double the next one."""
        self._failures += 1
        if not self.is_closed:
            self._retry_at_s = now_s + self._pause_s
            self._pause_s = min(self._max_pause_s, self._pause_s * 2)


__all__ = ["CircuitBreaker"]
