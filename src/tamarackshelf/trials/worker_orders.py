"""Late items and price with ordered workers, in a model of slots without a network.

Four trainers submit steps of 32 to 64 items every 4 s, due 7.5 s later. The slots run
the items in the order of their deadlines. Items of a worker that is reclaimed end as
usual. `python -m tamarackshelf.trials.worker_orders` prints a table.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, replace

from tamarackshelf.policy.scaling import (
    OrderOutcome,
    ScalingInputs,
    WorkerScaler,
    WorkerView,
)
from tamarackshelf.policy.slot_demand import JobArrival, OfferedLoad
from tamarackshelf.policy.worker_plan import PlanBounds, WorkerPool
from tamarackshelf.world.route import Scaling

SCALING = Scaling(1, 20, 4.0, 0.18, {"a": 1.0, "b": 1.2, "c": 1.5})
SLOTS = 6
TRAINERS = 4
STEP_S = 4.0
DUE_S = 7.5
DURATION_S = 400.0
# Until then the first workers start, so late items do not count.
SETTLED_S = 60.0
TICK_S = 0.1
TICKS_PER_DECISION = 5
LEAVING_S = 2.5
# Losses are visible for this long after an item was late.
LOSS_VISIBLE_S = 5.0


@dataclass(frozen=True, slots=True)
class Trial:
    """One run; `estimate` is the estimated duration of items relative to the true one.

    With `fixed` there are that many regular workers, and none are ordered.
    """

    item_s: float
    seed: int
    estimate: float = 1.0
    fixed: int = 0
    reclaim_interval_s: float = 0.0


def run_trial(trial: Trial) -> tuple[float, float]:
    """Return the share of late items, and the mean price in regular workers."""
    rng = random.Random(trial.seed)
    steps = sorted(
        (trainer + STEP_S * n + rng.uniform(-0.3, 0.3), rng.randint(32, 64))
        for trainer in range(TRAINERS)
        for n in range(round(DURATION_S / STEP_S))
    )
    scaler, bounds = WorkerScaler(), PlanBounds(SCALING)
    present = Counter({WorkerPool("a"): trial.fixed})
    starting: dict[WorkerPool, tuple[float, int]] = {}
    leaving: list[tuple[float, WorkerPool, int]] = []
    queue: list[tuple[float, float]] = []
    running: list[float] = []
    late = total = submitted = 0
    price, late_at_s = 0.0, float("-inf")
    for tick in range(round(DURATION_S / TICK_S)):
        now_s = tick * TICK_S
        for pool, (at_s, count) in list(starting.items()):
            if now_s >= at_s:
                present[pool] = count
                del starting[pool]
        leaving = [each for each in leaving if each[0] > now_s]
        while submitted < len(steps) and steps[submitted][0] <= now_s:
            at_s, items = steps[submitted]
            submitted += 1
            total += items if at_s > SETTLED_S else 0
            for _ in range(items):
                duration_s = trial.item_s * (0.5 + 0.5 * rng.expovariate(1.0))
                heapq.heappush(queue, (at_s + DUE_S, duration_s))
        running = [end_s for end_s in running if end_s > now_s]
        capacity = SLOTS * (present.total() + sum(n for _, _, n in leaving))
        while queue and len(running) < capacity:
            due_s, duration_s = heapq.heappop(queue)
            if now_s <= due_s:
                running.append(now_s + duration_s)
            if now_s + duration_s > due_s:
                late_at_s = now_s
                late += due_s - DUE_S > SETTLED_S
        price += sum(n * bounds.get_price(pool) for pool, n in present.items())
        interval_ticks = round(trial.reclaim_interval_s / TICK_S)
        if interval_ticks and now_s > SETTLED_S and tick % interval_ticks == 0:
            pool = WorkerPool(rng.choice("abc"), True)
            leaving.append((now_s + LEAVING_S, pool, present.pop(pool, 0)))
            starting.pop(pool, None)
        if trial.fixed or tick % TICKS_PER_DECISION:
            continue
        recent = steps[max(0, submitted - 100) : submitted]
        is_losing = now_s - late_at_s < LOSS_VISIBLE_S and len(running) >= capacity
        load = OfferedLoad(
            arrivals=tuple(
                JobArrival(now_s - at_s, items, trial.item_s * trial.estimate, DUE_S)
                for at_s, items in recent
            ),
            lost_per_s=float(is_losing),
        )
        workers = [
            WorkerView(pool.data_centre, pool.is_preemptible)
            for pool, count in present.items()
            for _ in range(count)
        ]
        workers += [
            WorkerView(pool.data_centre, True, True)
            for _, pool, count in leaving
            for _ in range(count)
        ]
        inputs = ScalingInputs(SCALING, tuple(workers), load)
        for order in scaler.decide(inputs, now_s):
            starting[order.pool] = (now_s + SCALING.startup_s, order.count)
            scaler.record_outcome(order, OrderOutcome.ACCEPTED, now_s)
    return late / total, price * TICK_S / DURATION_S


def main(seeds: int = 5) -> None:
    """Print the mean over the seeds for each duration of items and each variant."""
    variants = {
        "19 regular workers": Trial(0.0, 0, fixed=19),
        "ordered": Trial(0.0, 0),
        "ordered, a reclaim each 30 s": Trial(0.0, 0, reclaim_interval_s=30.0),
        "ordered, estimate 0.7": Trial(0.0, 0, estimate=0.7),
        "ordered, estimate 0.5": Trial(0.0, 0, estimate=0.5),
        "ordered, estimate 1.5": Trial(0.0, 0, estimate=1.5),
    }
    for name, variant in variants.items():
        for item_s in (1.0, 1.5, 2.0, 2.5):
            results = [
                run_trial(replace(variant, item_s=item_s, seed=seed))
                for seed in range(seeds)
            ]
            late = 100 * sum(share for share, _ in results) / seeds
            price = sum(price for _, price in results) / seeds
            print(f"{name}: items {item_s} s late {late:.2f}% price {price:.1f}")


if __name__ == "__main__":
    main()


__all__ = ["Trial", "run_trial"]
