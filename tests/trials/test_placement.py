"""Item placement completes steps no later than the simple policies."""

from __future__ import annotations

import statistics

import pytest

from tamarackshelf.trials.placement import (
    STEPS,
    TICK_S,
    build_round_robin,
    place_layered,
    place_least_outstanding,
    simulate,
)

SEEDS = range(20)
BASELINES = {
    "least_outstanding": lambda: place_least_outstanding,
    "round_robin": build_round_robin,
}


@pytest.mark.parametrize("baseline", BASELINES)
@pytest.mark.parametrize("step", STEPS, ids=lambda step: step.name)
def test_step_completes_no_later_than_with_a_simple_policy(step, baseline):
    """The steps are even, long-tailed, on a slow or slowing engine, and crowded."""
    layered = [simulate(step, place_layered, seed) for seed in SEEDS]
    simple = [simulate(step, BASELINES[baseline](), seed) for seed in SEEDS]
    # Durations are multiples of a tick, so they may differ by one tick.
    assert statistics.median(layered) <= statistics.median(simple) + TICK_S
    assert max(layered) <= max(simple) + TICK_S


@pytest.mark.parametrize("step", STEPS, ids=lambda step: step.name)
def test_same_seed_gives_the_same_duration(step):
    assert simulate(step, place_layered, 7) == simulate(step, place_layered, 7)
