"""Polling periods of nodes that share one read budget."""

from __future__ import annotations

import pytest

from tamarackshelf.policy.periods import fit_period_s


@pytest.mark.parametrize(
    ("pollers", "calls_per_s", "expected_s"),
    [(48, 500, 0.8), (356, 1500, 0.8), (1520, 1500, 1520 / 1500), (10**6, 1500, 10)],
    ids=["48 pollers", "356 pollers", "1520 pollers", "a million pollers"],
)
def test_period_grows_only_when_polls_would_exceed_the_rate(
    pollers, calls_per_s, expected_s
):
    period_s = fit_period_s(0.8, pollers=pollers, calls_per_s=calls_per_s, longest_s=10)
    assert period_s == pytest.approx(expected_s)
