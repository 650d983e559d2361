"""Number of slots that the load offered to a service needs.

A slot runs one request or one item at a time. Jobs arrive in bursts whose items may
wait until shortly before the job is due; requests that find no free slot are lost.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Jobs accepted within this time predict the next ones. It covers six steps of a trainer
# that submits one every 4 s.
ARRIVAL_WINDOW_S = 24.0
# Bounds the time of one computation, which grows with the square of the jobs.
MAX_ARRIVALS = 100
# Demand counts as growing if the work of the newer half of the window exceeds that of
# the older half by this factor. Steps of 32 to 64 items from four trainers alone made
# the halves differ by more than a quarter within a minute.
GROWTH_THRESHOLD = 1.4
MAX_GROWTH = 1.6
MIN_ARRIVALS_PER_HALF = 3
# Right after the first jobs, or if only open jobs are visible, the older half is not
# complete, which would look like growth.
MIN_OBSERVED_SHARE = 0.85
# Square-root staffing: with this many standard deviations of a Poisson number above its
# mean, about 2% of the requests find no free slot.
STAFFING_DEVIATIONS = 2.0


@dataclass(frozen=True, slots=True)
class JobArrival:
    """A job accepted `age_s` ago, whose results are due `due_s` after that.

    `item_s` is the mean time for which one of its items occupies a slot.
    """

    age_s: float
    items: int
    item_s: float
    due_s: float


@dataclass(frozen=True, slots=True)
class WaitingItems:
    """Items that wait for a slot and are due in `due_in_s`."""

    count: int
    item_s: float
    due_in_s: float


@dataclass(frozen=True, slots=True)
class OfferedLoad:
    """Load that callers and trainers offer to a service.

    Items count as running if a slot runs them. `lost_per_s` is the rate of requests
    refused because all slots were full, and `request_s` the mean time for which a
    request occupies a slot.
    """

    arrivals: tuple[JobArrival, ...] = ()
    waiting_items: tuple[WaitingItems, ...] = ()
    running_items: int = 0
    running_requests: int = 0
    waiting_requests: int = 0
    lost_per_s: float = 0.0
    request_s: float = 0.0


def compute_needed_slots(
    load: OfferedLoad, present_slots: int, startup_s: float
) -> int:
    """Return the number of slots that serve the load in time, without a margin.

    `present_slots` work on the waiting items until new workers start in `startup_s`.
    """
    recent = _select_recent(load.arrivals)
    bursts = _compute_burst_slots(recent) * _compute_growth(recent)
    backlog = _compute_backlog_slots(load, present_slots, startup_s)
    requests = _compute_request_slots(load)
    return math.ceil(max(bursts, backlog) + requests)


def _select_recent(arrivals: Sequence[JobArrival]) -> list[JobArrival]:
    """Return the jobs of the window that need slots, the newest first."""
    recent = [
        arrival
        for arrival in arrivals
        if arrival.age_s < ARRIVAL_WINDOW_S and arrival.items > 0 and arrival.item_s > 0
    ]
    recent.sort(key=lambda arrival: (arrival.age_s, arrival.items, arrival.item_s))
    return recent[:MAX_ARRIVALS]


def _compute_burst_slots(arrivals: Sequence[JobArrival]) -> float:
    """Return the slots that finish each job in time if the jobs arrive again.

    For each interval from an acceptance to a time when results are due, the jobs that
    lie within it must fit. The last items start one item's duration before its end.
    """
    needed = 0.0
    by_due = sorted(arrivals, key=lambda arrival: arrival.due_s - arrival.age_s)
    for first in arrivals:
        items, work_s, longest_s = 0, 0.0, 0.0
        for arrival in by_due:
            if arrival.age_s > first.age_s:
                continue
            items += arrival.items
            work_s += arrival.items * arrival.item_s
            longest_s = max(longest_s, arrival.item_s)
            usable_s = arrival.due_s - arrival.age_s + first.age_s - longest_s
            # More slots than items are of no use, however little time there is.
            slots = min(items, work_s / usable_s) if usable_s > 0 else items
            needed = max(needed, slots)
    return needed


def _compute_growth(arrivals: Sequence[JobArrival]) -> float:
    """Return the factor by which work grows within half a window, at least 1.0.

    The jobs are in the order of their age.
    """
    half_s = ARRIVAL_WINDOW_S / 2
    newer = [a.items * a.item_s for a in arrivals if a.age_s < half_s]
    older = [a.items * a.item_s for a in arrivals if a.age_s >= half_s]
    if min(len(newer), len(older)) < MIN_ARRIVALS_PER_HALF:
        return 1.0
    if arrivals[-1].age_s < MIN_OBSERVED_SHARE * ARRIVAL_WINDOW_S:
        return 1.0
    growth = sum(newer) / sum(older)
    return min(growth, MAX_GROWTH) if growth > GROWTH_THRESHOLD else 1.0


def _compute_backlog_slots(
    load: OfferedLoad, present_slots: int, startup_s: float
) -> float:
    """Return the slots that finish the waiting items for which a new worker can help.

    The runs in progress count as half done.
    """
    needed = 0.0
    waiting = sorted(load.waiting_items, key=lambda each: each.due_in_s)
    mean_s = max((each.item_s for each in waiting), default=0.0)
    items, work_s = 0, load.running_items * mean_s / 2
    for each in waiting:
        items += each.count
        work_s += each.count * each.item_s
        after_startup_s = each.due_in_s - startup_s
        if after_startup_s < each.item_s or after_startup_s <= 0:
            continue
        slots = (work_s - present_slots * startup_s) / after_startup_s
        needed = max(needed, min(slots, present_slots + items))
    return needed


def _compute_request_slots(load: OfferedLoad) -> float:
    """Return the slots with which few requests find none free."""
    offered = (
        load.running_requests + load.waiting_requests + load.lost_per_s * load.request_s
    )
    return offered + STAFFING_DEVIATIONS * math.sqrt(offered)


__all__ = [
    "ARRIVAL_WINDOW_S",
    "JobArrival",
    "OfferedLoad",
    "WaitingItems",
    "compute_needed_slots",
]
