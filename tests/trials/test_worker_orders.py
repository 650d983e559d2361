"""The decision about workers in a closed loop with a model of slots."""

from __future__ import annotations

import pytest

from tamarackshelf.trials.worker_orders import Trial, run_trial


@pytest.mark.parametrize("estimate", [0.5, 1.0])
def test_few_items_are_late_also_with_an_estimate_that_is_too_low(estimate):
    """Guards against a backlog that grows, because nothing corrects the estimate."""
    late, _ = run_trial(Trial(2.0, 1, estimate))
    assert late < 0.02


def test_reclaims_do_not_make_items_late():
    """Guards against relying on the preemptible workers of one data centre."""
    late, _ = run_trial(Trial(2.0, 1, reclaim_interval_s=30.0))
    assert late < 0.02
