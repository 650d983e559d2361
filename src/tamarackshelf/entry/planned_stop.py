"""Admission of callers' requests while this node stops."""

from __future__ import annotations

import asyncio

from tamarackshelf.errors import Draining

# Share of a planned stop in which requests are taken that may outlast it, such as long
# streams: callers who asked the directory before the stop still come.
LONG_REQUESTS_SHARE = 1 / 3


class PlannedStop:
    """Knows until when this node serves; without a planned stop it is for ever."""

    def __init__(self) -> None:
        self._end_s = float("inf")
        self._takes_long_until_s = float("inf")

    def begin(self, duration_s: float) -> None:
        """Begin a planned stop, which cuts what still runs after `duration_s`."""
        now_s = _now_s()
        self._end_s = now_s + duration_s
        self._takes_long_until_s = now_s + LONG_REQUESTS_SHARE * duration_s

    def compute_left_s(self) -> float:
        """Return for how long this node still serves."""
        return max(0.0, self._end_s - _now_s())

    def bound_s(self, timeout_s: float, typical_s: float | None = None) -> float:
        """Return for how long a request with the timeout may take.

        Raise Draining if it may not end in time. A request that may be repeated is
        taken if the time is enough for its typical duration; others have None there.
        """
        left_s = self.compute_left_s()
        if left_s >= timeout_s:
            return timeout_s
        takes_long = _now_s() < self._takes_long_until_s
        if takes_long or (typical_s is not None and left_s >= typical_s):
            return left_s
        raise Draining(
            f"this node stops in {left_s:.1f} s and the request may take "
            f"{timeout_s:.1f} s; send it to another entry",
            retry_after_s=0.0,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["PlannedStop"]
