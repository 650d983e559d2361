"""Distribution of a service's workers over data centres and kinds."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass

from tamarackshelf.world.route import Scaling

# Share of the needed workers that may fail at the same time without a loss. Losing a
# third of the credit in the seconds without free slots costs far more than one worker
# in six does over a day.
FAILURE_MARGIN = 0.15
# Numbers of preemptible workers for each data centre that are compared; more bounds
# only refine the price.
MAX_COMPARED = 100


@dataclass(frozen=True, slots=True, order=True)
class WorkerPool:
    """The workers of one kind in a data centre, which are ordered as one number."""

    data_centre: str
    is_preemptible: bool = False


@dataclass(frozen=True, slots=True)
class PlanBounds:
    """What a plan may change.

    Pools in `closed` get no more workers now. `reserved` holds the number of workers
    that the platform may start in a pool because of an earlier order, and `unusable`
    the workers of a data centre that are billed but do not serve.
    """

    scaling: Scaling
    closed: Set[WorkerPool] = frozenset()
    reserved: Mapping[WorkerPool, int] | None = None
    unusable: Mapping[str, int] | None = None

    def compute_room(self, counts: Mapping[WorkerPool, int], pool: WorkerPool) -> int:
        """Return how many workers the bounds allow to add to a pool."""
        if pool in self.closed:
            return 0
        other = WorkerPool(pool.data_centre, not pool.is_preemptible)
        taken = max(counts.get(other, 0), (self.reserved or {}).get(other, 0))
        room = self.get_limit(pool.data_centre) - taken - counts.get(pool, 0)
        return max(0, room)

    def get_limit(self, data_centre: str) -> int:
        """Return the maximum number of serving workers of a data centre."""
        unusable = (self.unusable or {}).get(data_centre, 0)
        return max(0, self.scaling.max_workers - unusable)

    def get_price(self, pool: WorkerPool) -> float:
        """Return the price per second; that of an unlisted data centre is the highest.

        Without prices all data centres cost the same.
        """
        prices = self.scaling.prices_per_s
        price = prices.get(pool.data_centre, max(prices.values(), default=1.0))
        return price * self.scaling.preemptible_price if pool.is_preemptible else price


def compute_margin(needed: int) -> int:
    """Return the number of workers that may fail without a loss."""
    return math.ceil(needed * FAILURE_MARGIN)


def compute_survivors(counts: Mapping[WorkerPool, int]) -> int:
    """Return the workers left if one data centre's preemptible ones are reclaimed."""
    reclaimed = [n for pool, n in counts.items() if pool.is_preemptible]
    return sum(counts.values()) - max(reclaimed, default=0)


def is_sufficient(counts: Mapping[WorkerPool, int], needed: int) -> bool:
    """Return whether enough workers are left after failures, and after a reclaim."""
    return (
        sum(counts.values()) >= needed + compute_margin(needed)
        and compute_survivors(counts) >= needed
    )


def plan_workers(
    needed: int,
    present: Mapping[WorkerPool, int],
    data_centres: Sequence[str],
    bounds: PlanBounds,
) -> dict[WorkerPool, int]:
    """Return the number of workers of each pool; present ones are kept.

    Only workers above the maximum of their data centre are left out. The minimum is met
    with regular workers, because a reclaim must not take a data centre below it. Of the
    plans that are sufficient, the cheapest is returned; if none is, the one that lacks
    the fewest workers.
    """
    counts = {
        pool: present.get(pool, 0)
        for data_centre in sorted(data_centres)
        for pool in list_pools(data_centre)
    }
    for data_centre in data_centres:
        _clip(counts, data_centre, bounds.get_limit(data_centre))
        _raise_to_minimum(counts, data_centre, bounds)
    ceiling = bounds.scaling.max_workers * len(data_centres)
    needed = min(needed, ceiling)
    if is_sufficient(counts, needed):
        return counts
    most = min(bounds.scaling.max_workers, needed + compute_margin(needed))
    step = max(1, most // MAX_COMPARED)
    plans = [
        _fill(counts, needed, preemptible, bounds)
        for preemptible in [*range(0, most, step), most]
    ]
    return min(plans, key=lambda plan: _rate(plan, needed, bounds))


def trim_workers(
    needed: int, counts: Mapping[WorkerPool, int], bounds: PlanBounds
) -> dict[WorkerPool, int]:
    """Return the numbers without workers that are not needed, the dearest first."""
    trimmed = dict(counts)
    minimum = bounds.scaling.min_workers
    for pool in sorted(counts, key=lambda p: (-bounds.get_price(p), p)):
        while trimmed[pool] > (0 if pool.is_preemptible else minimum):
            fewer = {**trimmed, pool: trimmed[pool] - 1}
            in_data_centre = sum(fewer.get(p, 0) for p in list_pools(pool.data_centre))
            if in_data_centre < minimum or not is_sufficient(fewer, needed):
                break
            trimmed = fewer
    return trimmed


def list_pools(data_centre: str) -> tuple[WorkerPool, WorkerPool]:
    """Return the pools of regular and of preemptible workers of a data centre."""
    return WorkerPool(data_centre), WorkerPool(data_centre, True)


def _clip(counts: dict[WorkerPool, int], data_centre: str, limit: int) -> None:
    """Remove workers above the limit, preemptible ones first."""
    regular, preemptible = list_pools(data_centre)
    counts[regular] = min(counts[regular], limit)
    counts[preemptible] = min(counts[preemptible], limit - counts[regular])


def _raise_to_minimum(
    counts: dict[WorkerPool, int], data_centre: str, bounds: PlanBounds
) -> None:
    regular, preemptible = list_pools(data_centre)
    minimum = bounds.scaling.min_workers
    room = bounds.compute_room(counts, regular)
    counts[regular] += min(room, max(0, minimum - counts[regular]))
    missing = max(0, minimum - counts[regular] - counts[preemptible])
    counts[preemptible] += min(bounds.compute_room(counts, preemptible), missing)


def _fill(
    counts: Mapping[WorkerPool, int],
    needed: int,
    most_preemptible: int,
    bounds: PlanBounds,
) -> dict[WorkerPool, int]:
    """Add workers, with at most this many preemptible ones in a data centre."""
    filled = dict(counts)
    present = [n for pool, n in counts.items() if pool.is_preemptible]
    reclaimed = max(present, default=0)
    target = needed + max(compute_margin(needed), reclaimed, most_preemptible)
    by_price = sorted(filled, key=lambda pool: (bounds.get_price(pool), pool))
    for pool in sorted(by_price, key=lambda pool: not pool.is_preemptible):
        added = min(bounds.compute_room(filled, pool), target - sum(filled.values()))
        if pool.is_preemptible:
            added = min(added, most_preemptible - filled[pool])
        filled[pool] += max(0, added)
    return filled


def _rate(
    counts: Mapping[WorkerPool, int], needed: int, bounds: PlanBounds
) -> tuple[int, int, float, int]:
    """Return the workers that a plan lacks, then its price; lower is better."""
    total = sum(counts.values())
    survivors = compute_survivors(counts)
    lacking = max(0, needed + compute_margin(needed) - total)
    lacking_after_reclaim = max(0, needed - survivors)
    price = sum(n * bounds.get_price(pool) for pool, n in counts.items())
    return lacking, lacking_after_reclaim, price, total - survivors


__all__ = [
    "PlanBounds",
    "WorkerPool",
    "compute_margin",
    "compute_survivors",
    "is_sufficient",
    "list_pools",
    "plan_workers",
    "trim_workers",
]
