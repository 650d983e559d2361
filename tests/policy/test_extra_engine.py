"""Choice of an extra engine when a model's own engines are not enough."""

from __future__ import annotations

from tamarackshelf.policy.extra_engine import choose_extra_engine
from tamarackshelf.policy.item_placement import EngineCandidate

EVENT_S = 0.036
STEP = [24.0] * 31 + [100.0]


def build_engine(name, version, in_use=0, slowness=1.0):
    return EngineCandidate(name, 8, in_use, version, slowness)


def choose(engines, left_s=7.5, remaining=STEP):
    return choose_extra_engine(remaining, engines, 4, EVENT_S, left_s)


def test_no_extra_engine_when_two_own_engines_suffice():
    own = [build_engine("own1", 5), build_engine("own2", 4)]
    assert choose([*own, build_engine("idle", 1)]) is None


def test_freest_engine_is_chosen_when_none_has_the_version():
    """All engines of one model are lost while those of another model idle."""
    engines = [build_engine("busy", 1, in_use=7), build_engine("idle", 1, in_use=1)]
    assert choose(engines) == "idle"


def test_fast_engine_is_chosen_when_the_own_one_is_slow():
    """One of a model's two engines crashes and the other one becomes slow."""
    slow = build_engine("slow", 5, in_use=8, slowness=3.7)
    assert choose([slow, build_engine("idle", 1)]) == "idle"


def test_slower_engine_is_not_chosen():
    full = build_engine("own", 5, in_use=8)
    assert choose([full, build_engine("slow", 1, slowness=3.0)], left_s=2.0) is None


def test_no_extra_engine_without_unfinished_items():
    assert choose([build_engine("idle", 1)], remaining=[]) is None


def test_busy_engines_of_other_models_are_not_chosen():
    assert choose([build_engine("busy", 1, in_use=6)]) is None
