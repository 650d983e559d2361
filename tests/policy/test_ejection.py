"""Targets that fail are left out ever longer, but never too many of them."""

from __future__ import annotations

import pytest

from tamarackshelf.policy.ejection import (
    FORGIVEN_AFTER_S,
    PAUSES_S,
    TargetHealth,
    compute_healthy_share,
)


def strike(health, times, now_s=0.0):
    """Lets a fault follow each pause; returns when the last pause began."""
    for _ in range(times):
        now_s = max(now_s, health.ejected_until_s)
        assert health.record_fault("no answer", now_s)
    return now_s


@pytest.mark.parametrize("times", range(1, 8))
def test_pause_grows_with_each_fault_in_a_row(times):
    health = TargetHealth()
    struck_s = strike(health, times)
    pause_s = PAUSES_S[min(times, len(PAUSES_S)) - 1]
    assert health.is_ejected(1.0, struck_s + pause_s - 0.01)
    assert not health.is_ejected(1.0, struck_s + pause_s)


def test_load_of_runs_that_fail_together_is_one_fault():
    """Pattern: an engine goes dark under six runs."""
    health = TargetHealth()
    assert [health.record_fault("silent", 1.0 + n / 100) for n in range(6)] == [
        True,
        *[False] * 5,
    ]
    assert not health.is_ejected(1.0, 1.0 + PAUSES_S[0])


def test_success_ends_the_pause_and_what_was_before():
    health = TargetHealth()
    strike(health, 4)
    health.record_success()
    assert not health.is_ejected(1.0, 0.0)
    strike(health, 1, 20.0)
    assert not health.is_ejected(1.0, 20.0 + PAUSES_S[0])


def test_load_of_a_cut_link_of_this_node_leaves_all_targets_usable_soon():
    """Pattern: this node's own link was cut, so every target looks dead."""
    targets = [TargetHealth() for _ in range(4)]
    struck_s = max(strike(health, 5) for health in targets)
    share = compute_healthy_share(targets, struck_s)
    assert not any(h.is_ejected(share, struck_s + PAUSES_S[0]) for h in targets)


def test_old_fault_counts_no_more():
    health = TargetHealth()
    strike(health, 5)
    later_s = health.ejected_until_s + FORGIVEN_AFTER_S + 0.1
    assert health.is_healthy(later_s)
    strike(health, 1, later_s)
    assert not health.is_ejected(1.0, later_s + PAUSES_S[0])
