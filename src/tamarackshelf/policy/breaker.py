"""Circuit breaker with probing."""

from __future__ import annotations

FAILURES_TO_OPEN = 3
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0


class CircuitBreaker:
    """Opens after failures in a row and lets one probe through per pause."""

    def __init__(self, longest_pause_s: float = LONGEST_PAUSE_S) -> None:
        self._longest_pause_s = longest_pause_s
        self._failures = 0
        self._pause_s = FIRST_PAUSE_S
        self._retry_at_s = 0.0

    @property
    def is_closed(self) -> bool:
        """Tells whether calls go through freely."""
        return self._failures < FAILURES_TO_OPEN

    def try_acquire(self, now_s: float) -> bool:
        """Tells whether a call may be made now; reserves the probe if so."""
        if self.is_closed:
            return True
        if now_s < self._retry_at_s:
            return False
        self._retry_at_s = now_s + self._pause_s
        return True

    def record_success(self) -> None:
        """Closes the breaker."""
        self._failures = 0
        self._pause_s = FIRST_PAUSE_S

    def record_failure(self, now_s: float) -> None:
        """Counts a failure; doubles the pause while open."""
        self._failures += 1
        if not self.is_closed:
            self._retry_at_s = now_s + self._pause_s
            self._pause_s = min(self._longest_pause_s, self._pause_s * 2)


__all__ = ["CircuitBreaker"]
