"""Fair, bounded and deadline-aware queues."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from enum import IntEnum

MAX_WAITING_PER_ORGANISATION = 256
SMOOTHING = 0.1
# Callers are spread unevenly, so one process may hold more than an even share.
UNEVENNESS = 4.0
FIRST_SERVICE_S = 0.01


class WorkClass(IntEnum):
    """Who waits; lower values go first."""

    CUSTOMER = 0
    TRAINER = 1


@dataclass(frozen=True, slots=True)
class Waiter:
    """One request that waits for a place at a target."""

    number: int
    organisation: str
    work_class: WorkClass
    deadline_s: float


def compute_limit(max_concurrent: int, processes: int) -> int:
    """Returns how many requests an organisation may have at one process."""
    return max(1, math.ceil(UNEVENNESS * max_concurrent / max(1, processes)))


class FairQueue:
    """Customers before trainers, then the organisation that has the least."""

    def __init__(self) -> None:
        self._waiting: dict[int, Waiter] = {}
        self._by_organisation: defaultdict[str, int] = defaultdict(int)
        self._in_flight: defaultdict[str, int] = defaultdict(int)
        self._gap_s = FIRST_SERVICE_S
        self._last_release_s: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def find_refusal(self, waiter: Waiter, now_s: float) -> str:
        """Returns why the request is refused at once, or an empty text."""
        waiting = self._by_organisation[waiter.organisation]
        if waiting >= MAX_WAITING_PER_ORGANISATION:
            return f"{waiting} requests of the organisation wait already"
        ahead = sum(w.work_class <= waiter.work_class for w in self._waiting.values())
        if now_s + ahead * self._gap_s > waiter.deadline_s:
            return f"{ahead} requests ahead take longer than the deadline allows"
        return ""

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter."""
        self._waiting[waiter.number] = waiter
        self._by_organisation[waiter.organisation] += 1

    def remove(self, number: int) -> None:
        """Removes a waiter that gave up or was served."""
        waiter = self._waiting.pop(number, None)
        if waiter is not None:
            self._by_organisation[waiter.organisation] -= 1

    def sort_waiters(self) -> list[Waiter]:
        """Returns the waiters in the order in which they are served."""

        def rank(waiter: Waiter) -> tuple[int, int, int]:
            held = self._in_flight[waiter.organisation]
            return waiter.work_class, held, waiter.number

        return sorted(self._waiting.values(), key=rank)

    def record_start(self, organisation: str) -> None:
        """Counts a request in flight."""
        self._in_flight[organisation] += 1

    def record_end(self, organisation: str, now_s: float) -> None:
        """Counts a request that left its target."""
        self._in_flight[organisation] -= 1
        if self._last_release_s is not None and self._waiting:
            gap_s = now_s - self._last_release_s
            self._gap_s += SMOOTHING * (gap_s - self._gap_s)
        self._last_release_s = now_s

    def in_flight(self, organisation: str) -> int:
        """Returns how many requests of the organisation are in flight."""
        return self._in_flight[organisation]


__all__ = ["FairQueue", "Waiter", "WorkClass", "compute_limit"]
