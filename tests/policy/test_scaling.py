"""Tests of worker orders against a platform in memory, by pattern of the load."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarackshelf.policy.scaling import (
    CORRECTION_HOLD_S,
    MAX_RETRY_PAUSE_S,
    PEAK_WINDOW_S,
    RETRY_PAUSE_S,
    SURPLUS_HOLD_S,
    OrderOutcome,
    ScalingInputs,
    WorkerScaler,
    WorkerView,
)
from tamarackshelf.policy.slot_demand import (
    JobArrival,
    OfferedLoad,
    WaitingItems,
    compute_needed_slots,
)
from tamarackshelf.policy.worker_plan import (
    PlanBounds,
    WorkerPool,
    compute_margin,
    is_sufficient,
    list_pools,
    plan_workers,
)
from tamarackshelf.world.route import Scaling

TICK_S = 0.5
STARTUP_S = 4.0
PRICES = {"a": 1.0, "b": 1.2, "c": 1.5}
SCALING = Scaling(1, 20, STARTUP_S, 0.18, PRICES)
SLOTS = 6


class Platform:
    """Platform in memory that starts and ends workers as the last orders say."""

    def __init__(self, scaling=SCALING, regular=()):
        self.scaling = scaling
        self.standing = Counter(dict(regular))
        self.present = Counter(dict(regular))
        self.starting = {}
        self.leaving = Counter()
        self.leave_at_s = math.inf
        self.refuses = lambda order: False
        self.ignores = lambda pool: False
        self.orders = []

    def order(self, order, now_s):
        """Execute an order, check its bounds and return its outcome."""
        self.orders.append((now_s, order))
        assert order.count >= 0
        if self.refuses(order):
            return OrderOutcome.REFUSED
        self.standing[order.pool] = order.count
        in_data_centre = sum(
            self.standing[pool] for pool in list_pools(order.pool.data_centre)
        )
        assert in_data_centre <= self.scaling.max_workers
        if not self.ignores(order.pool):
            self.starting[order.pool] = now_s + self.scaling.startup_s
        return OrderOutcome.ACCEPTED

    def advance(self, now_s):
        """Start the workers whose startup time is over, and end reclaimed ones."""
        for pool, at_s in list(self.starting.items()):
            if now_s >= at_s or self.standing[pool] < self.present[pool]:
                del self.starting[pool]
                self.present[pool] = self.standing[pool]
        if now_s >= self.leave_at_s:
            self.leaving.clear()

    def reclaim(self, data_centre, now_s):
        """Announce that all preemptible workers of a data centre end in 2.5 s."""
        pool = WorkerPool(data_centre, True)
        self.leaving[pool] += self.present.pop(pool, 0)
        self.standing[pool] = 0
        self.starting.pop(pool, None)
        self.leave_at_s = now_s + 2.5

    def list_workers(self, slots=SLOTS):
        """Return the worker list."""
        return tuple(
            WorkerView(pool.data_centre, pool.is_preemptible, is_leaving, False, slots)
            for counts, is_leaving in ((self.present, False), (self.leaving, True))
            for pool, count in sorted(counts.items())
            for _ in range(count)
        )


def run(scaler, platform, get_load, start_s, end_s, **inputs):
    """Let the scaler decide every TICK_S; return the orders sent in that time."""
    before = len(platform.orders)
    now_s = start_s
    while now_s < end_s:
        platform.advance(now_s)
        workers = platform.list_workers()
        seen = ScalingInputs(platform.scaling, workers, get_load(now_s), **inputs)
        for order in scaler.decide(seen, now_s):
            scaler.record_outcome(order, platform.order(order, now_s), now_s)
        now_s += TICK_S
    return platform.orders[before:]


def build_steps(trainers=4, item_s=2.0, seed=1, scale=lambda at_s: 1.0):
    """Return the load at a time: steps of 32 to 64 items, every 4 s per trainer."""
    rng = Random(seed)
    steps = [
        (trainer + 4.0 * n + rng.uniform(-0.3, 0.3), rng.randint(32, 64))
        for trainer in range(trainers)
        for n in range(400)
    ]

    def get_load(now_s):
        arrivals = (
            JobArrival(now_s - at_s, round(items * scale(at_s)), item_s, 7.5)
            for at_s, items in steps
            if at_s <= now_s < at_s + 30
        )
        return OfferedLoad(arrivals=tuple(arrivals))

    return get_load


def serve_requests(count):
    return lambda now_s: OfferedLoad(running_requests=count)


def test_bursts_of_steps_get_slots_in_all_data_centres_and_orders_end():
    """Guards against following each burst, and against one data centre with most."""
    scaler, platform = WorkerScaler(), Platform()
    get_load = build_steps()
    run(scaler, platform, get_load, 0, 60)
    slots = SLOTS * sum(platform.present.values())
    assert slots >= compute_needed_slots(get_load(60), slots, STARTUP_S)
    in_data_centre = Counter()
    for pool, count in platform.present.items():
        in_data_centre[pool.data_centre] += count
    assert max(in_data_centre.values()) <= 0.45 * sum(in_data_centre.values())
    # Four trainers submit 240 steps in this time; only a new peak changes the numbers.
    sent = run(scaler, platform, get_load, 60, 60 + 4 * PEAK_WINDOW_S)
    assert len({now_s for now_s, _ in sent}) <= 4


def test_slots_for_one_burst_finish_it_before_it_is_due():
    """Guards against counting the time after which an item can no longer finish."""
    burst = OfferedLoad(arrivals=(JobArrival(0.0, 64, 2.0, 7.5),))
    slots = compute_needed_slots(burst, 0, STARTUP_S)
    assert math.ceil(64 / slots) * 2.0 <= 7.5
    late = OfferedLoad(arrivals=(JobArrival(0.0, 64, 9.0, 7.5),))
    assert compute_needed_slots(late, 0, STARTUP_S) == 64


def test_waiting_items_count_if_a_new_worker_can_still_help():
    """Guards against orders for items that are lost whatever starts."""
    too_late = OfferedLoad(waiting_items=(WaitingItems(60, 2.0, 5.0),))
    assert compute_needed_slots(too_late, 0, STARTUP_S) == 0
    in_time = OfferedLoad(waiting_items=(WaitingItems(60, 2.0, 10.0),))
    assert compute_needed_slots(in_time, 0, STARTUP_S) == 20
    assert compute_needed_slots(in_time, 30, STARTUP_S) == 0


def test_demand_that_grows_is_followed_before_it_is_lost():
    """Guards against workers for the demand before the startup time."""
    scaler, platform = WorkerScaler(), Platform()
    get_load = build_steps(scale=lambda at_s: 1 + max(0.0, at_s - 60) / 60)
    for second in range(40, 160, 5):
        run(scaler, platform, get_load, second, second + 5)
        if second >= 60:
            slots = SLOTS * sum(platform.present.values())
            assert slots >= compute_needed_slots(
                replace(get_load(second + 5), waiting_items=()), slots, STARTUP_S
            )


def test_growth_of_the_work_is_expected_to_go_on():
    """Guards against too few slots for the next jobs, which are larger."""
    ages_s = [0.5 + 2 * n for n in range(12)]
    even = [JobArrival(age_s, 40, 2.0, 7.5) for age_s in ages_s]
    grown = [replace(job, items=20) if job.age_s > 12 else job for job in even]
    slots = [
        compute_needed_slots(OfferedLoad(arrivals=tuple(arrivals)), 0, STARTUP_S)
        for arrivals in (even, grown, grown[:6])
    ]
    assert slots[1] >= 1.4 * slots[2]
    assert slots[0] < slots[1]


def test_workers_reclaimed_between_two_bursts_are_made_up_for_the_next():
    """Guards against the need of the moment, which is low between bursts."""
    scaler, platform = WorkerScaler(), Platform()
    run(scaler, platform, serve_requests(80), 0, 20)
    for data_centre in ("a", "b"):
        platform.reclaim(data_centre, 20)
    run(scaler, platform, serve_requests(0), 20, 30)
    needed = math.ceil(compute_needed_slots(serve_requests(80)(0), 0, 0) / SLOTS)
    assert sum(platform.present.values()) >= needed


def test_lost_requests_raise_the_number_though_the_estimate_is_met():
    """Guards against a wrong duration of requests, with which losses would stay."""
    scaler, platform = WorkerScaler(), Platform()
    run(scaler, platform, serve_requests(20), 0, 30)
    before = sum(platform.present.values())
    assert run(scaler, platform, serve_requests(20), 30, 40) == []
    lossy = OfferedLoad(running_requests=20, lost_per_s=1)
    run(scaler, platform, lambda now_s: lossy, 40, 43)
    run(scaler, platform, serve_requests(20), 43, 60)
    assert before < sum(platform.present.values()) <= math.ceil(1.6 * before)


def test_estimate_that_was_too_low_stays_corrected():
    """Guards against the same loss at each peak, and against a correction for ever."""
    scaler, platform = WorkerScaler(), Platform()
    run(scaler, platform, serve_requests(20), 0, 30)
    lossy = OfferedLoad(running_requests=20, lost_per_s=1)
    run(scaler, platform, lambda now_s: lossy, 30, 42)
    estimated = math.ceil(compute_needed_slots(serve_requests(90)(0), 0, 0) / SLOTS)
    run(scaler, platform, serve_requests(90), 42 + 2 * PEAK_WINDOW_S, 180)
    assert is_sufficient(platform.present, math.ceil(1.2 * estimated))
    later_s = 42 + CORRECTION_HOLD_S
    seen = ScalingInputs(SCALING, (), serve_requests(90)(0))
    assert scaler.decide(seen, later_s)
    assert not is_sufficient(scaler.wanted, math.ceil(1.2 * estimated))


def test_reclaim_of_a_data_centre_leaves_what_is_needed_and_is_made_up_elsewhere():
    """Guards against preemptible workers in one place, and orders where none are."""
    scaler, platform = WorkerScaler(), Platform()
    get_load = serve_requests(80)
    run(scaler, platform, get_load, 0, 30)
    needed = math.ceil(compute_needed_slots(get_load(0), 0, STARTUP_S) / SLOTS)
    (most, reclaimed), *_ = Counter(
        {pool: n for pool, n in platform.present.items() if pool.is_preemptible}
    ).most_common()
    platform.reclaim(most.data_centre, 30)
    platform.refuses = lambda order: order.pool == most
    assert reclaimed > 1
    assert sum(platform.present.values()) >= needed
    sent = run(scaler, platform, get_load, 30, 36)
    assert sent
    assert most not in {order.pool for _, order in sent}
    assert is_sufficient(platform.present, needed)


def test_preemptible_workers_in_one_place_are_not_relied_on():
    """Guards against counting workers that one reclaim would take."""
    bounds = PlanBounds(SCALING)
    plan = plan_workers(8, {WorkerPool("a", True): 10}, ["a", "b", "c"], bounds)
    assert sum(plan.values()) - plan[WorkerPool("a", True)] >= 8


def test_room_of_reclaimed_workers_is_used_by_regular_ones_within_the_bounds():
    """Guards against an earlier order that keeps the room, and against both at once."""
    scaling = Scaling(0, 10, STARTUP_S, 0.18, {"a": 1.0, "b": 1.0})
    scaler, platform = WorkerScaler(), Platform(scaling)
    run(scaler, platform, serve_requests(60), 0, 40)
    for data_centre in ("a", "b"):
        platform.reclaim(data_centre, 40)
    platform.refuses = lambda order: order.pool.is_preemptible and order.count > 0
    run(scaler, platform, serve_requests(60), 40, 60)
    regular = sum(n for pool, n in platform.present.items() if not pool.is_preemptible)
    needed = math.ceil(compute_needed_slots(serve_requests(60)(0), 0, 0) / SLOTS)
    assert regular >= needed


def test_refusals_everywhere_are_repeated_with_growing_pauses():
    """Guards against a flood of calls, and against giving up."""
    scaler, platform = WorkerScaler(), Platform()
    platform.refuses = lambda order: True
    run(scaler, platform, serve_requests(40), 0, 120)
    by_pool = {}
    for now_s, order in platform.orders:
        by_pool.setdefault(order.pool, []).append(now_s)
    assert len(by_pool) == 6
    for times in by_pool.values():
        pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert min(pauses) >= RETRY_PAUSE_S
        assert 3 <= len(times) <= 9
    platform.refuses = lambda order: False
    run(scaler, platform, serve_requests(40), 120, 160)
    assert is_sufficient(platform.present, math.ceil(53 / SLOTS))


@pytest.mark.parametrize("outcome", [OrderOutcome.REFUSED, OrderOutcome.UNANSWERED])
def test_failed_order_is_made_up_elsewhere_first(outcome):
    scaler = WorkerScaler()
    seen = ScalingInputs(SCALING, (), serve_requests(40)(0))
    failed = scaler.decide(seen, 0.0)
    for order in failed:
        is_failing = order.pool.data_centre == "a"
        result = outcome if is_failing else OrderOutcome.ACCEPTED
        scaler.record_outcome(order, result, 0.0)
    later = scaler.decide(seen, 0.5)
    assert later
    assert "a" not in {order.pool.data_centre for order in later}


def test_unanswered_order_keeps_its_room_while_it_may_be_executed():
    """Guards against a late call that takes a data centre above its maximum."""
    scaling = Scaling(0, 4, STARTUP_S, 0.18, {"a": 1.0})
    scaler, seen = WorkerScaler(), ScalingInputs(scaling, (), serve_requests(6)(0))
    unanswered = 0
    for order in scaler.decide(seen, 0.0):
        if order.pool.is_preemptible:
            unanswered = order.count
            scaler.record_outcome(order, OrderOutcome.UNANSWERED, 0.0)
        else:
            scaler.record_outcome(order, OrderOutcome.ACCEPTED, 0.0)
    assert unanswered
    (order,) = scaler.decide(replace(seen, load=serve_requests(30)(0)), 0.5)
    assert not order.pool.is_preemptible
    assert order.count == scaling.max_workers - unanswered


def test_refused_increase_leaves_the_earlier_order_in_force():
    """Guards against giving up workers that start, because no more are available."""
    scaler, seen = WorkerScaler(), ScalingInputs(SCALING, (), serve_requests(40)(0))
    for order in scaler.decide(seen, 0.0):
        scaler.record_outcome(order, OrderOutcome.ACCEPTED, 0.0)
    starting = dict(scaler.wanted)
    more = replace(seen, load=serve_requests(90)(0))
    while orders := scaler.decide(more, 1.0):
        for order in orders:
            assert order.count > starting[order.pool]
            scaler.record_outcome(order, OrderOutcome.REFUSED, 1.0)
    scaler.decide(more, 1.5)
    assert scaler.wanted == starting


def test_accepted_order_without_effect_is_made_up_elsewhere_after_the_startup_time():
    """Guards against waiting for ever, and against a second order meanwhile."""
    scaler, platform = WorkerScaler(), Platform()
    platform.ignores = lambda pool: pool.data_centre == "a"
    run(scaler, platform, serve_requests(40), 0, 5.5)
    assert {now_s for now_s, _ in platform.orders} == {0}
    run(scaler, platform, serve_requests(40), 5.5, 20)
    needed = math.ceil(compute_needed_slots(serve_requests(40)(0), 0, 0) / SLOTS)
    assert sum(platform.present.values()) >= needed


def test_successor_with_the_same_inputs_orders_the_same_numbers():
    """Guards against numbers that depend on what only the last holder knows."""
    get_load = build_steps()
    platform = Platform(regular={WorkerPool("a"): 2, WorkerPool("b"): 2}.items())
    seen = ScalingInputs(SCALING, platform.list_workers(), get_load(30))
    first, second = (WorkerScaler().decide(seen, now_s) for now_s in (0.0, 7.0))
    assert first
    assert first == second


def test_successor_keeps_workers_that_serve_no_load_now():
    """Guards against a reduction by a holder that has not seen the last peak."""
    platform = Platform()
    run(WorkerScaler(), platform, build_steps(), 0, 30)
    before = Counter(platform.present)
    assert run(WorkerScaler(), platform, serve_requests(0), 30, 150) == []
    assert platform.present == before


def test_stale_worker_list_gives_no_orders():
    """Guards against a second order of workers that the list does not show yet."""
    scaler, platform = WorkerScaler(), Platform()
    assert run(scaler, platform, serve_requests(40), 0, 9, list_age_s=3.5) == []
    assert run(scaler, platform, serve_requests(40), 9, 10) != []


def test_service_without_scaling_gets_no_orders():
    platform = Platform(regular={WorkerPool("a"): 2}.items())
    load = OfferedLoad(running_requests=12, lost_per_s=5)
    seen = ScalingInputs(None, platform.list_workers(), load)
    assert WorkerScaler().decide(seen, 0.0) == ()


def test_crashed_worker_is_replaced_only_if_it_does_not_return():
    """Guards against an order for each restart, and against a lost margin."""
    pools = {WorkerPool(name): 5 for name in PRICES}
    scaler, platform = WorkerScaler(), Platform(regular=pools.items())
    run(scaler, platform, serve_requests(53), 0, 20)
    platform.present[WorkerPool("a")] -= 3
    assert run(scaler, platform, serve_requests(53), 20, 23.5) == []
    platform.present[WorkerPool("a")] += 3
    assert run(scaler, platform, serve_requests(53), 23.5, 40) == []
    platform.present[WorkerPool("a")] -= 3
    assert run(scaler, platform, serve_requests(53), 40, 46) != []


def test_failing_worker_is_replaced_within_the_bounds():
    """Guards against a total that the failing worker makes up on paper."""
    scaling = Scaling(0, 3, STARTUP_S, 0.18, {"a": 1.0})
    serving = (WorkerView("a"),) * 2
    seen = ScalingInputs(
        scaling,
        (*serving, WorkerView("a", is_failing=True)),
        OfferedLoad(running_requests=8),
    )
    assert WorkerScaler().decide(seen, 0.0) == ()
    scaler = WorkerScaler()
    scaler.decide(replace(seen, scaling=replace(scaling, max_workers=9)), 0.0)
    needed = math.ceil(compute_needed_slots(seen.load, 0, STARTUP_S) / SLOTS)
    plan = {WorkerPool("a"): scaler.wanted[WorkerPool("a")] - 1}
    plan[WorkerPool("a", True)] = scaler.wanted[WorkerPool("a", True)]
    assert is_sufficient(plan, needed)


def test_node_that_reaches_few_workers_does_not_replace_them():
    """Guards against a holder that is cut off and orders the service once more."""
    workers = tuple(WorkerView(name, is_failing=True) for name in "aabbcc")
    seen = ScalingInputs(SCALING, workers, OfferedLoad(running_requests=6))
    assert WorkerScaler().decide(seen, 0.0) == ()


def test_regular_workers_are_given_up_only_after_a_long_surplus():
    """Guards against giving up workers that the next heavy hour needs."""
    pools = {WorkerPool(name): 6 for name in PRICES}
    scaler, platform = WorkerScaler(), Platform(regular=pools.items())
    assert run(scaler, platform, serve_requests(10), 0, SURPLUS_HOLD_S - 1) == []
    end_s = SURPLUS_HOLD_S + 30
    run(scaler, platform, serve_requests(10), SURPLUS_HOLD_S - 1, end_s)
    assert platform.present[WorkerPool("c")] < 6
    assert min(platform.present[WorkerPool(name)] for name in PRICES) >= 1
    assert is_sufficient(platform.present, math.ceil(17 / SLOTS))
    assert run(scaler, platform, serve_requests(10), end_s, end_s + 120) == []


def test_lowered_maximum_is_kept_at_once():
    """Guards against billing above what the operator allows."""
    pools = {WorkerPool("a"): 6, WorkerPool("a", True): 6}
    platform = Platform(regular=pools.items())
    seen = ScalingInputs(replace(SCALING, max_workers=8), platform.list_workers())
    reduced = {order.pool: order.count for order in WorkerScaler().decide(seen, 0.0)}
    assert reduced == {
        WorkerPool("a", True): 2,
        WorkerPool("b"): 1,
        WorkerPool("c"): 1,
    }


counts = st.integers(0, 12)
pools = st.builds(WorkerPool, st.sampled_from("abcd"), st.booleans())
present_workers = st.dictionaries(pools, counts, max_size=8)


@given(
    needed=st.integers(0, 60),
    present=present_workers,
    least=st.integers(0, 5),
    more=st.integers(0, 20),
    price=st.floats(0.0, 2.0),
    closed=st.sets(pools, max_size=4),
)
@settings(max_examples=100, deadline=None)
def test_plan_is_within_the_bounds_and_does_not_change_when_it_is_carried_out(
    needed, present, least, more, price, closed
):
    scaling = Scaling(least, least + more, STARTUP_S, price, PRICES)
    names = ["a", "b", "c", "d"]
    bounds = PlanBounds(scaling, closed=closed)
    plan = plan_workers(needed, present, names, bounds)
    for name in names:
        total = sum(plan[pool] for pool in list_pools(name))
        assert total <= scaling.max_workers
        assert total >= least or closed & set(list_pools(name))
    for pool in closed:
        assert plan[pool] <= present.get(pool, 0)
    assert plan_workers(needed, plan, names, bounds) == plan
    # Preemptible workers that are there are kept, so they may be reclaimed as well.
    kept = max((n for pool, n in present.items() if pool.is_preemptible), default=0)
    spare = max(kept, compute_margin(needed))
    if not closed and needed + spare <= len(names) * scaling.max_workers:
        assert is_sufficient(plan, needed)


@given(data=st.data(), least=st.integers(0, 3), more=st.integers(0, 8))
@settings(max_examples=100, deadline=None)
def test_orders_keep_the_bounds_whatever_the_platform_does(data, least, more):
    """Platform.order asserts the maximum over all orders; here, the minimum too."""
    scaling = Scaling(least, least + more, STARTUP_S, 0.18, PRICES)
    scaler, platform = WorkerScaler(), Platform(scaling)
    now_s, disturbed_at_s = 0.0, -math.inf
    for _ in range(data.draw(st.integers(1, 25))):
        now_s += data.draw(st.sampled_from([0.5, 3.0, 7.0]))
        platform.advance(now_s)
        load = OfferedLoad(
            running_requests=data.draw(st.integers(0, 150)),
            lost_per_s=data.draw(st.sampled_from([0.0, 2.0])),
        )
        if data.draw(st.booleans()):
            platform.reclaim(data.draw(st.sampled_from("abc")), now_s)
            disturbed_at_s = now_s
        refused = data.draw(st.sets(pools, max_size=3))
        platform.refuses = lambda order, refused=refused: order.pool in refused
        ignored = data.draw(st.sets(pools, max_size=2))
        platform.ignores = ignored.__contains__
        if refused or ignored:
            disturbed_at_s = now_s
        seen = ScalingInputs(scaling, platform.list_workers(), load)
        ordered = []
        while orders := scaler.decide(seen, now_s):
            for order in orders:
                scaler.record_outcome(order, platform.order(order, now_s), now_s)
            ordered += [(order.pool, order.count) for order in orders]
        assert len(set(ordered)) == len(ordered)
        for name in PRICES:
            wanted = sum(scaler.wanted[pool] for pool in list_pools(name))
            assert wanted <= scaling.max_workers
            # While both pools of a data centre pause, its minimum has to wait.
            assert wanted >= least or now_s - disturbed_at_s < MAX_RETRY_PAUSE_S
