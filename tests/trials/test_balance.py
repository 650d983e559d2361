"""The chosen way spreads load more evenly than the rule that it replaces."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tamarackshelf.trials.balance import LOADS, WAYS, measure


@pytest.mark.parametrize("used", [0.5, 0.9])
@pytest.mark.parametrize("name", ["engines_all", "engines_12"])
def test_engines_are_loaded_evenly_and_turn_less_away(name, used):
    """Nodes with bursts of items for 19 engines filled the same ones."""
    today = measure(LOADS[name], 24, "today", 0.05, used, seeds=2)
    shared = measure(LOADS[name], 24, "shared", 0.05, used, seeds=2)
    assert shared.peak < today.peak
    assert shared.turned_away <= today.turned_away
    assert shared.turned_away < 0.05
    assert shared.lost < today.lost + 0.05


def test_slow_and_slowed_targets_get_less():
    """Seven targets of unequal and changing speed at half of their capacity."""
    today = measure(LOADS["plain"], 58, "today", 0.05, 0.5, seeds=2)
    estimate = measure(LOADS["plain"], 58, "estimate", 0.05, 0.5, seeds=2)
    assert estimate.lost < today.lost


@pytest.mark.parametrize("way", WAYS)
def test_same_seed_gives_the_same_result_in_each_way(way):
    load = replace(LOADS["few_engines"], burst=4)
    results = [measure(load, 6, way, 0.5, 0.5, seeds=1) for _ in range(2)]
    assert results[0] == results[1]
