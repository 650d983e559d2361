"""Rate limits of targets: what nodes believe of them, and how one limit is shared out.

A limit holds for all nodes together, so one node, the arbiter, admits the calls to a
target. Two token buckets keep a backlog of one claimant from starving the other.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from dataclasses import dataclass

# Assumed for a target that names a limit which cannot be read.
CAUTIOUS_PER_S = 1.0
# Limits above this are treated as none; no service gets so many requests.
MAX_PER_S = 100_000.0
# A target whose limit is lower still gets a call now and then; without any, no node
# would notice that the limit is gone.
MIN_PER_S = 0.2
# Smaller relative changes of a limit are ignored, so that a figure which differs in
# each response is not spread each time.
IGNORED_CHANGE = 0.05
# Callers are never told to stay away for longer, since a limit may end at any time.
MAX_RETURN_S = 5.0
# Capacity of each claimant's bucket, in calls.
BURST = 1.5
# Admitted calls are counted over this window, to explain a denial, up to a maximum.
COUNT_WINDOW_S = 4.0
MAX_COUNTED = 1000


class Claimant(enum.StrEnum):
    """On whose behalf a call is made; each has half of a limit if both need it."""

    CALLERS = "callers"
    JOBS = "jobs"


@dataclass(frozen=True, slots=True)
class LimitBelief:
    """What a node believes of a target's limit; `per_s` is None when there is none.

    Each change raises `revision`; a higher one replaces a lower one.
    """

    revision: int
    per_s: float | None


@dataclass(frozen=True, slots=True)
class Permit:
    """The decision on a call: it may be sent after `wait_s`, or it is denied.

    A denied claimant may ask again after `wait_s`; `return_s` is when a caller should
    come back, which differs between callers denied at the same time.
    """

    is_granted: bool
    wait_s: float
    return_s: float = 0.0


def observe_limit(known: LimitBelief | None, per_s: float | None) -> LimitBelief | None:
    """Return the belief after a target named `per_s`, or None if nothing changes."""
    if per_s is not None and per_s > MAX_PER_S:
        per_s = None
    if known is None:
        return None if per_s is None else LimitBelief(1, per_s)
    if _is_same(known.per_s, per_s):
        return None
    return LimitBelief(known.revision + 1, per_s)


def merge_beliefs(known: LimitBelief | None, other: LimitBelief) -> LimitBelief | None:
    """Return the belief to hold after hearing of another, or None to keep the known.

    Two nodes may have seen different changes at the same time; then the lower limit
    becomes a new revision.
    """
    if known is None or other.revision > known.revision:
        return other
    if other.revision < known.revision or other == known:
        return None
    if _to_rate(other.per_s) < _to_rate(known.per_s):
        return LimitBelief(known.revision + 1, other.per_s)
    return None


def compute_limit_share(live_nodes: int, listed_nodes: int) -> float:
    """Return the share of a limit that nodes in contact with each other may use.

    A fleet that is cut in two has two arbiters; the smaller side uses only its share.
    """
    if live_nodes * 2 > listed_nodes:
        return 1.0
    return live_nodes / max(1, listed_nodes)


class Allowance:
    """What the arbiter of one target may still admit; times are in seconds.

    It is empty at first and fills at the limit of `per_s` that each call states.
    """

    def __init__(self, now_s: float, per_s: float = 0.0) -> None:
        self._calls = dict.fromkeys(Claimant, 0.0)
        self._returns_s = dict.fromkeys(Claimant, 0.0)
        self._admitted_s: deque[float] = deque(maxlen=MAX_COUNTED)
        self._updated_s = now_s
        self._per_s = max(MIN_PER_S, per_s)

    def ask(
        self, claimant: Claimant, max_wait_s: float, per_s: float, now_s: float
    ) -> Permit:
        """Admit a call under a limit of `per_s` now or within `max_wait_s`, or deny it.

        An admitted call is deducted at once.
        """
        self._refill(now_s)
        self._per_s = max(MIN_PER_S, per_s)
        missing = 1.0 - self._calls[claimant]
        rate_per_s = self._rate_of(claimant)
        wait_s = max(0.0, missing / rate_per_s)
        if wait_s <= max_wait_s:
            self._calls[claimant] -= 1.0
            self._admitted_s.append(now_s)
            return Permit(True, wait_s)
        next_s = self._returns_s[claimant] + 1.0 / rate_per_s
        latest_s = now_s + max(wait_s, MAX_RETURN_S)
        self._returns_s[claimant] = min(latest_s, max(now_s + wait_s, next_s))
        return Permit(False, wait_s, self._returns_s[claimant] - now_s)

    def count_admitted(self, now_s: float) -> int:
        """Return how many calls were admitted in the last COUNT_WINDOW_S."""
        while self._admitted_s and self._admitted_s[0] < now_s - COUNT_WINDOW_S:
            self._admitted_s.popleft()
        return len(self._admitted_s)

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._updated_s) * self._per_s
        self._updated_s = now_s
        for claimant, other in _PAIRS:
            room = max(0.0, BURST - self._calls[claimant])
            self._calls[claimant] += min(room, gained / 2)
            spilled = max(0.0, gained / 2 - room)
            self._calls[other] += min(max(0.0, BURST - self._calls[other]), spilled)

    def _rate_of(self, claimant: Claimant) -> float:
        """Return how fast a claimant's bucket fills, in calls per second."""
        other = Claimant.JOBS if claimant is Claimant.CALLERS else Claimant.CALLERS
        is_alone = self._calls[other] >= BURST
        return self._per_s if is_alone else self._per_s / 2


def _is_same(known: float | None, seen: float | None) -> bool:
    if known is None or seen is None:
        return known is seen
    return abs(known - seen) <= IGNORED_CHANGE * known


def _to_rate(per_s: float | None) -> float:
    return math.inf if per_s is None else per_s


_PAIRS = ((Claimant.CALLERS, Claimant.JOBS), (Claimant.JOBS, Claimant.CALLERS))

__all__ = [
    "CAUTIOUS_PER_S",
    "COUNT_WINDOW_S",
    "MIN_PER_S",
    "Allowance",
    "Claimant",
    "LimitBelief",
    "Permit",
    "compute_limit_share",
    "merge_beliefs",
    "observe_limit",
]
