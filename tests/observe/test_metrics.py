"""The Prometheus text of a process's counters and histograms."""

from __future__ import annotations

from tamarackshelf.observe import Metrics


def test_counters_and_histograms_are_rendered():
    metrics = Metrics()
    metrics.count("rows_unreadable")
    metrics.count("rows_unreadable", 4)
    metrics.observe_s("list_results", 0.1)
    lines = metrics.render().decode().splitlines()
    assert "tamarackshelf_rows_unreadable_total 5.0" in lines
    assert "tamarackshelf_list_results_seconds_count 1" in lines
    assert any(x.startswith("tamarackshelf_rows_unreadable_created ") for x in lines)


def test_rendering_twice_shows_the_newest_counts():
    metrics = Metrics()
    metrics.count("n")
    metrics.render()
    metrics.count("n")
    assert "tamarackshelf_n_total 2.0" in metrics.render().decode()


def test_gauges_are_rendered_with_their_last_value():
    metrics = Metrics()
    metrics.set("workers_wanted", 3, kind="regular")
    metrics.set("workers_wanted", 2, kind="regular")
    lines = metrics.render().decode().splitlines()
    assert 'tamarackshelf_workers_wanted{kind="regular"} 2.0' in lines
