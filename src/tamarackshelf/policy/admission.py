"""Fair, bounded and deadline-aware queue of requests that wait for a target."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from enum import IntEnum

MAX_WAITING_PER_ORGANISATION = 256
RELEASE_GAP_SMOOTHING = 0.1
# Callers are spread unevenly over the processes, so one process may hold this many
# times its even share of an organisation's limit.
SKEW_FACTOR = 4.0
INITIAL_RELEASE_GAP_S = 0.01


class WorkClass(IntEnum):
    """The kind of caller that waits; lower values are served first."""

    CUSTOMER = 0
    TRAINER = 1


@dataclass(frozen=True, slots=True)
class Waiter:
    """One request that waits for free capacity at a target."""

    number: int
    organisation: str
    work_class: WorkClass
    deadline_s: float


def compute_limit(max_concurrent: int, processes: int) -> int:
    """Return how many requests of an organisation one process may have in flight."""
    return max(1, math.ceil(SKEW_FACTOR * max_concurrent / max(1, processes)))


class FairQueue:
    """Queue that serves customers before trainers.

    Within a class, the organisation with the fewest requests in flight goes first.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, Waiter] = {}
        self._by_organisation: defaultdict[str, int] = defaultdict(int)
        self._in_flight: defaultdict[str, int] = defaultdict(int)
        self._release_gap_s = INITIAL_RELEASE_GAP_S
        self._last_release_s: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def find_refusal(self, waiter: Waiter, now_s: float) -> str:
        """Return why the request is refused at once, or an empty string.

        It is refused when its organisation has too many waiting requests, or when
        the requests ahead are expected to take until after its deadline.
        """
        waiting = self._by_organisation[waiter.organisation]
        if waiting >= MAX_WAITING_PER_ORGANISATION:
            return f"the organisation already has {waiting} waiting requests"
        ahead = sum(w.work_class <= waiter.work_class for w in self._waiting.values())
        if now_s + ahead * self._release_gap_s > waiter.deadline_s:
            return f"the {ahead} requests ahead take longer than the deadline allows"
        return ""

    def push(self, waiter: Waiter) -> None:
        """Add a waiter to the queue."""
        self._waiting[waiter.number] = waiter
        self._by_organisation[waiter.organisation] += 1

    def remove(self, number: int) -> None:
        """Remove a waiter that gave up or was served; ignore an unknown number."""
        waiter = self._waiting.pop(number, None)
        if waiter is not None:
            self._by_organisation[waiter.organisation] -= 1

    def sort_waiters(self) -> list[Waiter]:
        """Return the waiters in the order in which they are served."""

        def rank(waiter: Waiter) -> tuple[int, int, int]:
            in_flight = self._in_flight[waiter.organisation]
            return waiter.work_class, in_flight, waiter.number

        return sorted(self._waiting.values(), key=rank)

    def record_start(self, organisation: str) -> None:
        """Count a request that was sent to a target."""
        self._in_flight[organisation] += 1

    def record_end(self, organisation: str, now_s: float) -> None:
        """Count a request that left its target and update the time between releases.

        Only releases while requests wait show how fast the queue is served.
        """
        self._in_flight[organisation] -= 1
        if self._last_release_s is not None and self._waiting:
            gap_s = now_s - self._last_release_s
            self._release_gap_s += RELEASE_GAP_SMOOTHING * (gap_s - self._release_gap_s)
        self._last_release_s = now_s

    def in_flight(self, organisation: str) -> int:
        """Return how many requests of the organisation are in flight."""
        return self._in_flight[organisation]


__all__ = ["FairQueue", "Waiter", "WorkClass", "compute_limit"]
