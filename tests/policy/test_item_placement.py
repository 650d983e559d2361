"""Placement and moves of items, and assignment of engines to models."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from tamarackshelf.policy.engine_assignment import assign_engines
from tamarackshelf.policy.item_placement import (
    EngineCandidate,
    GroupState,
    RunningItem,
    WaitingItem,
    choose_moves,
    estimate_remaining,
    order_items,
    place_item,
    rank_groups,
    reserve_capacity,
)
from tamarackshelf.policy.weight_update import choose_version
from tamarackshelf.world.job import ModelDemand

EVENT_S = 0.036


def build_item(name, tokens=1000, due_s=10.0, job="j", begun=False):
    return WaitingItem(
        job_id=job,
        item_id=name,
        group="g",
        due_s=due_s,
        expected_tokens=tokens,
        is_begun=begun,
    )


def build_engine(name, in_use=0, slowness=1.0, version=5, concurrency=8):
    return EngineCandidate(name, concurrency, in_use, version, slowness)


def test_longest_items_start_first():
    items = [build_item("short", 100), build_item("long", 5000)]
    assert [item.item_id for item in order_items(items)] == ["long", "short"]


def test_items_of_the_job_due_first_start_first():
    items = [build_item("late", 5000, due_s=20.0), build_item("soon", 10, due_s=5.0)]
    assert order_items(items)[0].item_id == "soon"


def test_items_that_complete_a_group_start_first():
    """Slots are too few for a step; all its groups stayed incomplete until late."""
    ranks = rank_groups(
        [
            GroupState("whole", 0, 0, 900),
            GroupState("fresh", 8, 8, 4000),
            GroupState("begun", 3, 8, 8000),
        ],
        3,
    )
    assert [ranks[name][0] for name in ("whole", "begun", "fresh")] == [0, 1, 2]
    items = [
        replace(build_item("a", 5000), group_rank=ranks["fresh"][0]),
        replace(build_item("b", 100), group_rank=ranks["begun"][0]),
    ]
    assert [item.item_id for item in order_items(items)] == ["b", "a"]


def test_items_that_the_trainer_does_not_wait_for_start_last():
    """Nine of ten groups are enough; the tenth took slots from a job due later."""
    groups = [GroupState(f"g{n}", n > 8, n > 8, 1000 * n) for n in range(10)]
    ranks = rank_groups(groups, 10)
    assert [name for name in ranks if ranks[name][1]] == ["g9"]
    spare = replace(build_item("spare", due_s=5.0), is_spare=True)
    assert order_items([spare, build_item("needed", due_s=9.0)])[0].item_id == "needed"


def test_no_organisation_falls_below_a_quarter_of_the_slots_of_another():
    """One organisation's items are all due first and would take every slot."""
    items = [
        replace(build_item(f"a{n}", due_s=5.0), model="m", organisation="a")
        for n in range(30)
    ] + [
        replace(build_item(f"b{n}", due_s=9.0), model="m", organisation="b")
        for n in range(30)
    ]
    first = [item.organisation for item in order_items(items)[:20]]
    assert first.count("b") == 4
    # What already runs counts: organisation a has enough of it.
    running = {("m", "a"): 16, ("m", "b"): 0}
    assert [i.organisation for i in order_items(items, running)[:4]] == ["b"] * 4
    # Runs of another model leave this model's engines free.
    running = {("other", "a"): 16}
    assert order_items(items, running)[0].organisation == "a"
    assert len(order_items(items)) == len(items)


def test_item_waits_for_an_engine_with_its_version():
    engines = [build_engine("old", version=3), build_engine("full", in_use=8)]
    assert place_item(engines, min_version=4) is None
    assert place_item(engines, min_version=3) == "old"


def test_fast_engine_is_filled_before_a_slow_one():
    engines = [build_engine("a-slow", slowness=2.5), build_engine("b-fast", in_use=7)]
    assert place_item(engines, 0) == "b-fast"


def test_owners_that_place_at_once_use_all_equal_engines():
    """Many owners place at once on engines whose last reports show them free.

    All of them chose the engine whose name sorts first.
    """
    engines = [build_engine(f"e{n}", slowness=1.0 + 0.001 * n) for n in range(5)]
    chosen = Counter(place_item(engines, 0, rng=Random(n)) for n in range(40))
    assert len(chosen) == 5
    assert max(chosen.values()) <= 16


def test_items_of_a_group_share_an_engine_that_is_not_clearly_more_loaded():
    """Half of the prompt tokens that engines read were shared parts read again."""

    def choose(in_use):
        engines = [build_engine("warm", in_use), build_engine("cold")]
        chosen = [
            place_item(engines, 0, rng=Random(n), preferred={"warm"}) for n in range(9)
        ]
        return set(chosen)

    assert choose(in_use=1) == {"warm"}
    assert choose(in_use=7) == {"cold"}


def test_owners_draw_no_engine_that_is_clearly_slower():
    engines = [build_engine("fast", in_use=6), build_engine("slow", slowness=1.2)]
    assert {place_item(engines, 0, rng=Random(n)) for n in range(20)} == {"fast"}


def test_runs_move_only_to_a_much_faster_engine_with_free_capacity():
    slow = build_engine("slow", in_use=3, slowness=2.6)
    runs = [RunningItem("j", f"r{n}", "slow", 5, 100 * n) for n in range(3)]
    assert choose_moves(runs, [slow, build_engine("near", slowness=2.0)]) == []
    assert choose_moves(runs, [slow, build_engine("full", in_use=8)]) == []
    assert choose_moves(runs, [slow, build_engine("old", version=4)]) == []
    moved = choose_moves(runs, [slow, build_engine("fast", in_use=6)])
    assert [run.item_id for run in moved] == ["r2", "r1"]


def test_run_stays_when_it_would_gain_less_than_a_move_costs():
    """An engine that shares its machine was slower for half a second."""
    slow, fast = build_engine("slow", slowness=2.5), build_engine("fast")
    runs = [RunningItem("j", f"r{n}", "slow", 5, 50 * n) for n in (4, 8)]
    moved = choose_moves(runs, [slow, fast], EVENT_S / 50)
    assert [run.item_id for run in moved] == ["r8"]


def test_text_longer_than_its_estimate_is_expected_to_continue():
    assert estimate_remaining(1000, 400) == 600
    assert estimate_remaining(500, 1000) > 0


def test_moving_runs_off_a_slow_engine_shortens_the_step():
    """One of two engines becomes slow while it runs the longest item of a step."""
    stays_s, moves_s = _run_step(moves=False), _run_step(moves=True)
    assert moves_s < 0.7 * stays_s
    # Without the slow engine, the longest item needs its 150 events at full speed.
    assert moves_s < 1.3 * 150 * EVENT_S


def test_assignments_are_even_and_stable():
    names = ["e1", "e2", "e3", "e4"]
    first = assign_engines(names, ("m0", "m1"), {}, {}, {})
    assert sorted(first.values()) == ["m0", "m0", "m1", "m1"]
    assert assign_engines(names, ("m0", "m1"), {}, first, {}) == first


def test_loss_of_an_engine_reassigns_only_from_a_surplus_of_two():
    before = {"e1": "m0", "e2": "m0", "e3": "m1", "e4": "m1", "e5": "m1"}
    after = assign_engines(["e1", "e3", "e4", "e5"], ("m0", "m1"), {}, before, {})
    assert sorted(after.values()) == ["m0", "m0", "m1", "m1"]


def test_new_holder_derives_the_assignment_from_loaded_versions():
    versions = {
        "e1": {"m0": 7, "m1": 1},
        "e2": {"m0": 1, "m1": 6},
        "e3": {"m0": 6, "m1": 1},
        "e4": {"m0": 1, "m1": 7},
    }
    assignment = assign_engines(list(versions), ("m0", "m1"), versions, {}, {})
    assert assignment == {"e1": "m0", "e2": "m1", "e3": "m0", "e4": "m1"}


def test_own_engines_are_filled_before_those_of_other_models():
    """Steps of several models begin at the same time without knowing of each other."""
    engines = [
        EngineCandidate("a-foreign", 6, 0, 5, serves_other_model=True),
        EngineCandidate("own1", 6, 0, 5),
        EngineCandidate("own2", 6, 0, 5),
    ]
    placed = []
    while (name := place_item(engines, 4)) is not None:
        placed.append(name)
        engines = [reserve_capacity(engine, name) for engine in engines]
    assert "a-foreign" not in placed[:12]
    # The other model keeps reserved capacity on its own engine.
    assert placed[12:] == ["a-foreign"] * 3


@pytest.mark.parametrize(
    ("age_s", "announced_age_s", "needed", "expected"),
    [
        (0.2, 5.0, 6, 6),
        (0.2, 5.0, 7, 7),
        (1.0, 5.0, 6, 7),
        (9.0, 0.05, 6, 6),
        (math.inf, 1.0, 0, 7),
    ],
    ids=["step begins", "step needs it", "step runs", "just announced", "no step"],
)
def test_engines_load_weights_once_the_items_of_a_step_have_started(
    age_s, announced_age_s, needed, expected
):
    """A trainer announces a version and submits its next step immediately after."""
    demand = ModelDemand(900, age_s, needed)
    assert choose_version(7, demand, announced_age_s) == expected


MANY_ENGINES = [f"e{n:02d}" for n in range(19)]
# Events per step and model: 56 x 7, 64 x 18, 56 x 21 and 64 x 14.
STEPS = {"short": 392, "long": 1152, "name": 1176, "coin": 896}


def count_engines(assignment):
    return {model: list(assignment.values()).count(model) for model in STEPS}


def test_engines_are_assigned_in_proportion_to_work():
    """Four trainers whose steps differ threefold in work share 19 engines."""
    before = assign_engines(MANY_ENGINES, tuple(STEPS), {}, {}, {})
    assert sorted(count_engines(before).values()) == [4, 5, 5, 5]
    after = assign_engines(MANY_ENGINES, tuple(STEPS), {}, before, STEPS)
    events_per_engine = {m: STEPS[m] / count_engines(after)[m] for m in STEPS}
    assert max(events_per_engine.values()) < 1.25 * min(events_per_engine.values())


def test_assignment_is_stable_while_work_fluctuates():
    rng = Random(5)
    assignment = assign_engines(MANY_ENGINES, tuple(STEPS), {}, {}, STEPS)
    for _ in range(50):
        fluctuating = {
            model: work * rng.uniform(0.9, 1.1) for model, work in STEPS.items()
        }
        after = assign_engines(MANY_ENGINES, tuple(STEPS), {}, assignment, fluctuating)
        assert sum(after[name] != assignment[name] for name in MANY_ENGINES) <= 1
        assignment = after


def test_model_without_work_keeps_an_engine():
    assignment = assign_engines(MANY_ENGINES[:4], ("m0", "m1"), {}, {}, {"m0": 900.0})
    assert sorted(assignment.values()).count("m1") == 1


def _run_step(*, moves):
    """Return the time when the last of 16 items ends.

    An event takes 2.6 times as long on engine b as on engine a.
    """
    rng = Random(7)
    left = {f"i{n}": rng.choice([10, 20, 40]) for n in range(15)} | {"tail": 150}
    at = {name: "b" if n % 2 else "a" for n, name in enumerate(left)}
    slowness = {"a": 1.0, "b": 2.6}
    now_s = 0.0
    while left:
        now_s += EVENT_S
        for name in list(left):
            left[name] -= 1 / slowness[at[name]]
            if left[name] <= 0:
                del left[name]
        if moves:
            engines = [
                build_engine(e, sum(at[n] == e for n in left), slowness[e])
                for e in slowness
            ]
            runs = [RunningItem("j", n, at[n], 5, int(t)) for n, t in left.items()]
            for run in choose_moves(runs, engines):
                at[run.item_id] = "a"
    return now_s
