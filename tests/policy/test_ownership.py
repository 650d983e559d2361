"""Weighted rendezvous hashing: proportional, and stable when nodes change."""

from __future__ import annotations

from collections import Counter

import pytest

from tamarackshelf.policy.ownership import rank_weighted

WEIGHTS = {
    **{f"large{n}": 2.15 for n in range(22)},
    **{f"s{n}": 0.5 for n in range(67)},
}
KEYS = [f"key{n}" for n in range(4000)]


def test_keys_are_distributed_by_weight():
    owners = Counter(rank_weighted(WEIGHTS, key)[0] for key in KEYS)
    at_large = sum(count for name, count in owners.items() if name.startswith("large"))
    part = 22 * 2.15 / sum(WEIGHTS.values())
    assert at_large / len(KEYS) == pytest.approx(part, abs=0.03)


def test_removed_node_moves_only_its_own_keys():
    fewer = {name: weight for name, weight in WEIGHTS.items() if name != "large3"}
    for key in KEYS[:500]:
        before = rank_weighted(WEIGHTS, key)[0]
        after = rank_weighted(fewer, key)[0]
        assert after == before or before == "large3"
