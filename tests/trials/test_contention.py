"""Owners that contend for slots send few runs that engines refuse or that they move."""

from __future__ import annotations

from tamarackshelf.trials.contention import Scenario, run


def test_many_owners_at_few_engines_send_few_runs_in_vain():
    """Ten owners placed at once; 38 % of their runs were refused, 1.74 sent an item."""
    scenario = Scenario(
        "ten owners",
        engines=5,
        models=1,
        owners=10,
        trainers=10,
        groups=4,
        pause_s=1.0,
        duration_s=6.0,
    )
    report = run(scenario, range(1))
    assert report.refused / report.runs < 0.2
    assert report.runs / report.items < 1.3
    assert report.stops["queued"] + report.stops["slow"] < 0.02 * report.runs


def test_owner_without_contention_sends_each_item_once():
    """Slow-downs of half a second moved runs of a single owner on free engines."""
    scenario = Scenario(
        "one owner", engines=5, models=1, owners=1, trainers=1, duration_s=6.0
    )
    report = run(scenario, range(2))
    assert report.runs <= 1.01 * report.items
    assert min(report.credits_by_kind[7]) == 1.0
