"""Loads in which a model's own engines are not enough, without network."""

from __future__ import annotations

from tamarackshelf.policy.extra_engine import choose_extra_engine
from tamarackshelf.policy.item_placement import EngineCandidate

EVENT_S = 0.036
STEP = [24.0] * 31 + [100.0]


def build_engine(name, version, in_use=0, slowness=1.0):
    return EngineCandidate(name, 8, in_use, version, slowness)


def wish(engines, left_s=7.5, remaining=STEP):
    return choose_extra_engine(remaining, engines, 4, EVENT_S, left_s)


def test_two_own_engines_carry_a_step():
    own = [build_engine("own1", 5), build_engine("own2", 4)]
    assert wish([*own, build_engine("idle", 1)]) is None


def test_load_without_any_engine_of_the_version_takes_the_freest():
    """Pattern: all engines of one model are lost while the other model's idle."""
    engines = [build_engine("busy", 1, in_use=7), build_engine("idle", 1, in_use=1)]
    assert wish(engines) == "idle"


def test_load_on_one_slow_engine_asks_for_a_fast_one():
    """Pattern: of a model's two engines one crashed and the other turned slow."""
    slow = build_engine("slow", 5, in_use=8, slowness=3.7)
    assert wish([slow, build_engine("idle", 1)]) == "idle"


def test_slower_engine_is_no_help():
    full = build_engine("own", 5, in_use=8)
    assert wish([full, build_engine("slow", 1, slowness=3.0)], left_s=2.0) is None


def test_nothing_left_needs_nothing():
    assert wish([build_engine("idle", 1)], remaining=[]) is None


def test_busy_engines_of_others_are_left_alone():
    assert wish([build_engine("busy", 1, in_use=6)]) is None
