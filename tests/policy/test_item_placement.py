"""Loads of items on engines, without network: who runs where and who moves."""

from __future__ import annotations

import math
from random import Random

import pytest

from tamarackshelf.policy.engine_assignment import assign_engines
from tamarackshelf.policy.item_placement import (
    EngineCandidate,
    RunningItem,
    WaitingItem,
    choose_moves,
    order_items,
    place_item,
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


def test_items_of_the_job_that_is_due_first_start_first():
    items = [build_item("late", 5000, due_s=20.0), build_item("soon", 10, due_s=5.0)]
    assert order_items(items)[0].item_id == "soon"


def test_item_waits_for_an_engine_that_has_its_version():
    engines = [build_engine("old", version=3), build_engine("full", in_use=8)]
    assert place_item(engines, min_version=4) is None
    assert place_item(engines, min_version=3) == "old"


def test_fast_engine_is_filled_before_a_slow_one():
    engines = [build_engine("a-slow", slowness=2.5), build_engine("b-fast", in_use=7)]
    assert place_item(engines, 0) == "b-fast"


def test_runs_move_only_to_a_much_faster_engine_with_room():
    slow = build_engine("slow", in_use=3, slowness=2.6)
    runs = [RunningItem("j", f"r{n}", "slow", 5, 100 * n) for n in range(3)]
    assert choose_moves(runs, [slow, build_engine("near", slowness=2.0)]) == []
    assert choose_moves(runs, [slow, build_engine("full", in_use=8)]) == []
    assert choose_moves(runs, [slow, build_engine("old", version=4)]) == []
    moved = choose_moves(runs, [slow, build_engine("fast", in_use=6)])
    assert [run.item_id for run in moved] == ["r2", "r1"]


def test_load_of_one_slow_engine_stragglers_end_by_moving():
    """Pattern: one of two engines turns slow while a step's longest item is on it."""
    stays_s, moves_s = _run_step(moves=False), _run_step(moves=True)
    assert moves_s < 0.7 * stays_s
    # Without the slow engine at all the longest item takes its events at full speed.
    assert moves_s < 1.3 * 150 * EVENT_S


def test_shares_of_engines_are_even_and_stay():
    names = ["e1", "e2", "e3", "e4"]
    first = assign_engines(names, ("m0", "m1"), {}, {}, {})
    assert sorted(first.values()) == ["m0", "m0", "m1", "m1"]
    assert assign_engines(names, ("m0", "m1"), {}, first, {}) == first


def test_share_of_a_lost_engine_is_taken_only_from_two_more():
    before = {"e1": "m0", "e2": "m0", "e3": "m1", "e4": "m1", "e5": "m1"}
    after = assign_engines(["e1", "e3", "e4", "e5"], ("m0", "m1"), {}, before, {})
    assert sorted(after.values()) == ["m0", "m0", "m1", "m1"]


def test_new_holder_keeps_the_shares_that_loaded_versions_show():
    versions = {
        "e1": {"m0": 7, "m1": 1},
        "e2": {"m0": 1, "m1": 6},
        "e3": {"m0": 6, "m1": 1},
        "e4": {"m0": 1, "m1": 7},
    }
    shares = assign_engines(list(versions), ("m0", "m1"), versions, {}, {})
    assert shares == {"e1": "m0", "e2": "m1", "e3": "m0", "e4": "m1"}


def test_load_of_steps_that_begin_together_fills_own_engines_first():
    """Pattern: steps of several models begin at once and know nothing of each other."""
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
    # The other model keeps places at its own engine.
    assert placed[12:] == ["a-foreign"] * 3


@pytest.mark.parametrize(
    ("age_s", "named_age_s", "needed", "expected"),
    [
        (0.2, 5.0, 6, 6),
        (0.2, 5.0, 7, 7),
        (1.0, 5.0, 6, 7),
        (9.0, 0.05, 6, 6),
        (math.inf, 1.0, 0, 7),
    ],
    ids=["step begins", "step needs it", "step runs", "just named", "no step"],
)
def test_engines_load_once_the_items_of_a_step_have_places(
    age_s, named_age_s, needed, expected
):
    """Pattern: a trainer names a version and hands its next step in at once."""
    demand = ModelDemand(900, age_s, needed)
    assert choose_version(7, demand, named_age_s) == expected


GROWN = [f"e{n:02d}" for n in range(19)]
# Events of a step each: 56 x 7, 64 x 18, 56 x 21 and 64 x 14.
STEPS = {"short": 392, "long": 1152, "name": 1176, "coin": 896}


def count_shares(shares):
    return {model: list(shares.values()).count(model) for model in STEPS}


def test_load_of_unequal_steps_gives_engines_by_their_work():
    """Pattern: four trainers whose steps differ threefold share 19 engines."""
    before = assign_engines(GROWN, tuple(STEPS), {}, {}, {})
    assert sorted(count_shares(before).values()) == [4, 5, 5, 5]
    after = assign_engines(GROWN, tuple(STEPS), {}, before, STEPS)
    events_an_engine = {m: STEPS[m] / count_shares(after)[m] for m in STEPS}
    assert max(events_an_engine.values()) < 1.25 * min(events_an_engine.values())


def test_shares_stay_while_work_sways():
    rng = Random(5)
    shares = assign_engines(GROWN, tuple(STEPS), {}, {}, STEPS)
    for _ in range(50):
        swayed = {model: work * rng.uniform(0.9, 1.1) for model, work in STEPS.items()}
        after = assign_engines(GROWN, tuple(STEPS), {}, shares, swayed)
        assert sum(after[name] != shares[name] for name in GROWN) <= 1
        shares = after


def test_model_without_work_keeps_an_engine():
    shares = assign_engines(GROWN[:4], ("m0", "m1"), {}, {}, {"m0": 900.0})
    assert sorted(shares.values()).count("m1") == 1


def _run_step(*, moves):
    """Returns when the last of 16 items ends; engine b takes 2.6 times as long."""
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
