"""Decision about the workers of a service: how many of which kind in which data centre.

One node decides for all, the holder of the duty's lease. Its inputs come from

- the worker list (`TargetRecord`): data centre, kind, leaving, concurrency; whether a
  worker fails is this node's own observation (`TargetHealth`);
- load reports (`TargetLoad`) and the node's own sends: running items and requests,
  waiting requests, and requests lost because all slots were full;
- heads of jobs (`JobHead`): items, age, and with `expected_tokens` and the observed
  seconds per token the duration of an item; open jobs give the waiting items too;
- the operator's configuration (`Service.scaling`): bounds, prices and startup time.

An order names the total wanted of one kind in one data centre. So a successor in the
duty that sees the same workers and the same load orders the same numbers.
"""

from __future__ import annotations

import enum
import math
import statistics
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tamarackshelf.policy.slot_demand import OfferedLoad, compute_needed_slots
from tamarackshelf.policy.worker_plan import (
    PlanBounds,
    WorkerPool,
    compute_margin,
    compute_survivors,
    is_sufficient,
    list_pools,
    plan_workers,
    trim_workers,
)
from tamarackshelf.world.route import Scaling

# Slots of a worker, until one is listed.
DEFAULT_SLOTS = 6
# The highest need of this time counts, because bursts come every few seconds and a
# worker takes as long as that to start.
PEAK_WINDOW_S = 60.0
# An ordered worker is listed this long after its startup time at the latest.
LISTING_DELAY_S = 2.0
# No order is based on an older worker list: present workers would be ordered again.
MAX_LIST_AGE_S = 3.0
# Pause after an order that was refused, got no answer or had no effect. It doubles with
# each failure.
RETRY_PAUSE_S = 2.0
MAX_RETRY_PAUSE_S = 30.0
# After a reclaim, the data centre has no preemptible workers for some seconds.
RECLAIM_PAUSE_S = 5.0
# An order without an answer may be executed up to this long after it was sent.
LATE_CALL_S = 10.0
# Workers are given up if this many times the sufficient number was present for this
# long without a loss.
SURPLUS_FACTOR = 1.5
SURPLUS_HOLD_S = 300.0
# While requests are lost, this many times the workers that a reclaim would leave are
# needed, whatever the estimate says.
LOSS_GROWTH = 1.25
# The factor by which the estimate was too low is kept this long after the last loss. In
# a model of slots, items that took 1.4 times as long as estimated made 73% to 93% of
# them late without it.
CORRECTION_HOLD_S = 1800.0
MAX_CORRECTION = 4.0
# Keeps a product of a quotient from being rounded up to the next worker.
ROUNDING = 1e-9
# A node that cannot reach more than this share of the workers is rather cut off itself.
MAX_FAILING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A listed worker; one that is failing is billed but serves nothing."""

    data_centre: str
    is_preemptible: bool = False
    is_leaving: bool = False
    is_failing: bool = False
    slots: int = DEFAULT_SLOTS

    @property
    def pool(self) -> WorkerPool:
        """The pool that the worker belongs to."""
        return WorkerPool(self.data_centre, self.is_preemptible)


@dataclass(frozen=True, slots=True)
class ScalingInputs:
    """What the holder of the duty sees of a service.

    `scaling` is None if no workers may be ordered, and `list_age_s` the time since the
    worker list was known to be current.
    """

    scaling: Scaling | None
    workers: tuple[WorkerView, ...] = ()
    load: OfferedLoad = OfferedLoad()
    list_age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerOrder:
    """Order of a number of workers: the total wanted of a pool, not a difference."""

    pool: WorkerPool
    count: int
    reason: str


class OrderOutcome(enum.Enum):
    """Outcome of an order; an unanswered one may still be executed later."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class _Attempt:
    """An order whose effect is expected until `until_s`.

    `from_count` is the number of workers that the pool had when it was sent.
    """

    count: int
    from_count: int
    until_s: float

    def has_effect(self, count: int) -> bool:
        """Return whether this number of workers shows that the order was executed."""
        is_increase = self.count > self.from_count
        return count >= self.count if is_increase else count <= self.count


@dataclass(slots=True)
class _PoolState:
    """Orders for a pool; `accepted` is the last number that the platform accepted.

    `earlier` is the attempt in progress when the current one was sent. It goes on if
    the platform refuses the current one.
    """

    attempt: _Attempt | None = None
    earlier: _Attempt | None = None
    accepted: int = 0
    unanswered: int = 0
    unanswered_until_s: float = float("-inf")
    failures: int = 0
    closed_until_s: float = float("-inf")
    withdraw_at_s: float = float("-inf")

    def get_reserved(self, now_s: float) -> int:
        """Return the highest number that the platform may still start."""
        late = self.unanswered if now_s < self.unanswered_until_s else 0
        attempted = self.attempt.count if self.attempt is not None else 0
        return max(self.accepted, late, attempted)

    def pause(self, now_s: float) -> None:
        """Close the pool after a failed order."""
        pause_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2.0**self.failures)
        if pause_s < MAX_RETRY_PAUSE_S:
            self.failures += 1
        self.closed_until_s = max(self.closed_until_s, now_s + pause_s)

    def settle(self, count: int, now_s: float) -> None:
        """End the attempt if the pool has the number, or has not got it in time."""
        if self.attempt is None:
            return
        if self.attempt.has_effect(count):
            self.attempt = None
            self.failures = 0
        elif now_s >= self.attempt.until_s:
            self.attempt = None
            self.pause(now_s)

    def expect(self, count: int) -> int:
        """Return the number of workers that the pool will have without more orders."""
        if self.attempt is None:
            return count
        is_increase = self.attempt.count > self.attempt.from_count
        return (max if is_increase else min)(count, self.attempt.count)


class _Present:
    """Listed workers by pool, and pools of which workers are being reclaimed."""

    def __init__(self, workers: tuple[WorkerView, ...]) -> None:
        staying = [worker for worker in workers if not worker.is_leaving]
        failing = [worker for worker in staying if worker.is_failing]
        if len(failing) > MAX_FAILING_SHARE * len(staying):
            failing, serving = [], staying
        else:
            serving = [worker for worker in staying if not worker.is_failing]
        self.serving_slots = [worker.slots for worker in serving]
        # All workers that are billed and do not leave.
        self.counts = Counter(worker.pool for worker in staying)
        self.failing = Counter(worker.pool for worker in failing)
        self.data_centres = {worker.data_centre for worker in workers}
        self.reclaimed = {
            worker.pool
            for worker in workers
            if worker.is_leaving and worker.is_preemptible
        }


class WorkerScaler:
    """Decisions for one service. All times are of one monotonic clock."""

    def __init__(self) -> None:
        # Numbers that the last decision wants by pool, with failing workers.
        self.wanted: dict[WorkerPool, int] = {}
        self._pools: dict[WorkerPool, _PoolState] = {}
        self._peaks: deque[tuple[float, int]] = deque()
        self._correction = 1.0
        self._lost_at_s = float("-inf")
        self._margin_short_since_s: float | None = None
        self._surplus_since_s: float | None = None
        self._surplus_need = 0

    def decide(self, inputs: ScalingInputs, now_s: float) -> tuple[WorkerOrder, ...]:
        """Return the orders to send now, one after the other.

        The outcome of each is recorded before the next decision. Workers get the room
        of others only once these have ended, so the bounds hold between two orders.
        """
        scaling = inputs.scaling
        if scaling is None:
            self.wanted = {}
            return ()
        if inputs.list_age_s > MAX_LIST_AGE_S:
            return ()
        present = _Present(inputs.workers)
        data_centres = sorted({*scaling.prices_per_s, *present.data_centres})
        pools = [pool for name in data_centres for pool in list_pools(name)]
        self._settle(pools, present, now_s)
        expected = {
            pool: max(
                0,
                self._pools[pool].expect(present.counts[pool]) - present.failing[pool],
            )
            for pool in pools
        }
        needed = self._track_need(inputs, scaling, present, expected, now_s)
        bounds = self._build_bounds(scaling, present, now_s)
        plan = plan_workers(needed, expected, data_centres, bounds)
        is_lacking = not is_sufficient(plan, needed) or _is_below_minimum(
            plan, data_centres, scaling
        )
        is_urgent = (
            sum(expected.values()) < needed
            or inputs.load.lost_per_s > 0
            or bool(present.reclaimed)
            or _is_below_minimum(expected, data_centres, scaling)
        )
        if self._may_wait(plan, expected, scaling, now_s) and not is_urgent:
            plan = {pool: min(plan[pool], expected[pool]) for pool in pools}
        if self._has_long_surplus(plan, expected, needed, inputs.load, now_s):
            plan = trim_workers(max(1, self._surplus_need), plan, bounds)
        self.wanted = {pool: plan[pool] + present.failing[pool] for pool in pools}
        reason = f"{needed} needed, {sum(expected.values())} serving or starting"
        changed = [
            pool
            for pool in pools
            if plan[pool] != expected[pool]
            and now_s >= self._pools[pool].closed_until_s
        ]
        if is_lacking:
            changed += self._list_withdrawn(pools, present, changed, now_s)
        for pool in changed:
            state = self._pools[pool]
            state.earlier = state.attempt
            state.attempt = _Attempt(
                self.wanted[pool],
                present.counts[pool],
                now_s + scaling.startup_s + LISTING_DELAY_S,
            )
        return tuple(WorkerOrder(pool, self.wanted[pool], reason) for pool in changed)

    def record_outcome(
        self, order: WorkerOrder, outcome: OrderOutcome, now_s: float
    ) -> None:
        """Record the outcome of an order; one that was not sent counts as refused."""
        state = self._pools[order.pool]
        if outcome is OrderOutcome.ACCEPTED:
            state.accepted = order.count
            return
        if outcome is OrderOutcome.UNANSWERED:
            state.unanswered = state.get_reserved(now_s)
            state.unanswered_until_s = now_s + LATE_CALL_S
        state.attempt = state.earlier
        state.pause(now_s)

    def _settle(
        self, pools: Iterable[WorkerPool], present: _Present, now_s: float
    ) -> None:
        """Compare earlier orders with the workers that are there."""
        for pool in pools:
            state = self._pools.setdefault(pool, _PoolState())
            state.settle(present.counts[pool], now_s)
            if pool in present.reclaimed:
                state.attempt = None
                reopens_at_s = now_s + RECLAIM_PAUSE_S
                state.closed_until_s = max(state.closed_until_s, reopens_at_s)

    def _track_need(
        self,
        inputs: ScalingInputs,
        scaling: Scaling,
        present: _Present,
        expected: Mapping[WorkerPool, int],
        now_s: float,
    ) -> int:
        """Return the highest number of workers needed within the window.

        While requests are lost and no ordered workers are starting, the correction of
        the estimate rises.
        """
        slots = present.serving_slots
        per_worker = max(1, statistics.median_low(slots or [DEFAULT_SLOTS]))
        needed_slots = compute_needed_slots(inputs.load, sum(slots), scaling.startup_s)
        estimate = math.ceil(needed_slots / per_worker)
        while self._peaks and self._peaks[-1][1] <= estimate:
            self._peaks.pop()
        self._peaks.append((now_s, estimate))
        while self._peaks[0][0] <= now_s - PEAK_WINDOW_S:
            self._peaks.popleft()
        peak = self._peaks[0][1]
        if now_s - self._lost_at_s >= CORRECTION_HOLD_S:
            self._correction = 1.0
        least = 0
        if inputs.load.lost_per_s > 0:
            self._lost_at_s = now_s
            if sum(expected.values()) <= len(slots):
                # The estimate is too low, or the workers are not used evenly.
                least = math.ceil(compute_survivors(expected) * LOSS_GROWTH)
                correction = min(MAX_CORRECTION, least / max(1, peak))
                self._correction = max(self._correction, correction)
        return max(least, math.ceil(peak * self._correction - ROUNDING))

    def _build_bounds(
        self, scaling: Scaling, present: _Present, now_s: float
    ) -> PlanBounds:
        unusable: Counter[str] = Counter()
        for pool, count in present.failing.items():
            unusable[pool.data_centre] += count
        return PlanBounds(
            scaling=scaling,
            closed={p for p, s in self._pools.items() if now_s < s.closed_until_s},
            # A worker counts until it has ended, also if a lower number is ordered.
            reserved={
                pool: max(present.counts[pool], state.get_reserved(now_s))
                - present.failing[pool]
                for pool, state in self._pools.items()
            },
            unusable=unusable,
        )

    def _may_wait(
        self,
        plan: Mapping[WorkerPool, int],
        expected: Mapping[WorkerPool, int],
        scaling: Scaling,
        now_s: float,
    ) -> bool:
        """Return whether workers have been lacking for less than the startup time.

        A worker that restarts, or that the platform replaces, is back by then.
        """
        if all(plan[pool] <= expected[pool] for pool in plan):
            self._margin_short_since_s = None
            return False
        if self._margin_short_since_s is None:
            self._margin_short_since_s = now_s
        return now_s - self._margin_short_since_s < scaling.startup_s

    def _has_long_surplus(
        self,
        plan: Mapping[WorkerPool, int],
        expected: Mapping[WorkerPool, int],
        needed: int,
        load: OfferedLoad,
        now_s: float,
    ) -> bool:
        """Return whether far too many workers were present for SURPLUS_HOLD_S.

        The hold starts again afterwards, and with a new holder of the duty.
        """
        sufficient = needed + compute_margin(needed)
        is_surplus = (
            sum(expected.values()) > SURPLUS_FACTOR * sufficient
            and load.lost_per_s == 0
            and plan == expected
        )
        if not is_surplus:
            self._surplus_since_s = None
            return False
        if self._surplus_since_s is None:
            self._surplus_since_s = now_s
            self._surplus_need = 0
        self._surplus_need = max(self._surplus_need, needed)
        if now_s - self._surplus_since_s < SURPLUS_HOLD_S:
            return False
        self._surplus_since_s = None
        return True

    def _list_withdrawn(
        self,
        pools: Iterable[WorkerPool],
        present: _Present,
        changed: list[WorkerPool],
        now_s: float,
    ) -> list[WorkerPool]:
        """Return pools whose earlier order takes room that other workers need.

        Such an order names workers that were reclaimed or never came; the platform may
        still start them.
        """
        withdrawn = []
        for pool in pools:
            state = self._pools[pool]
            least = max(self.wanted[pool], present.counts[pool])
            if (
                pool not in changed
                and state.attempt is None
                and state.accepted > least
                and now_s >= state.withdraw_at_s
            ):
                state.withdraw_at_s = now_s + RETRY_PAUSE_S
                withdrawn.append(pool)
        return withdrawn


def _is_below_minimum(
    counts: Mapping[WorkerPool, int], data_centres: Iterable[str], scaling: Scaling
) -> bool:
    return any(
        sum(counts[pool] for pool in list_pools(name)) < scaling.min_workers
        for name in data_centres
    )


__all__ = [
    "OrderOutcome",
    "ScalingInputs",
    "WorkerOrder",
    "WorkerScaler",
    "WorkerView",
]
