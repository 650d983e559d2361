"""Short soak runs with real processes, for a fixed seed and the regression seeds."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.regressions import LIMIT_REGRESSIONS, REGRESSIONS
from tests.soak.run import SoakSize, run_soak

CI_SEEDS = (3,)
SOAK_TIMEOUT_S = 120.0


LIMIT_SEEDS = (1, 6)
CRASHING_SEEDS = (2, 5)
SOFTWARE_SEEDS = (1, 3)
CUT_SEEDS = (3,)
DEPARTURE_SEEDS = (1,)
STOP_SEEDS = (3,)
ODD_ROW_SEEDS = (1,)


@pytest.mark.parametrize("seed", [*CI_SEEDS, *REGRESSIONS])
def test_promises_hold_under_faults(seed, tmp_path):
    result = run_in_time(seed, tmp_path, SoakSize())
    assert result.violations == [], result.format()
    assert result.jobs_accepted > 0
    assert result.calls_served > 0


# Workers that named a rate limit got as many requests from the nodes as without one.
@pytest.mark.parametrize("seed", [*LIMIT_SEEDS, *LIMIT_REGRESSIONS])
def test_workers_get_no_more_requests_than_the_limits_that_they_name(seed, tmp_path):
    result = run_in_time(seed, tmp_path, SoakSize(limits=3))
    assert result.violations == [], result.format()
    assert result.calls_served > 0


# A request that ended every target which ran it was sent to targets without end.
@pytest.mark.parametrize("seed", CRASHING_SEEDS)
def test_request_that_crashes_its_targets_is_refused_by_all_nodes(seed, tmp_path):
    result = run_in_time(seed, tmp_path, SoakSize(crashing=1))
    assert result.violations == [], result.format()
    assert result.calls_served > 0


# Texts were continued by workers of another software version than their first event's.
@pytest.mark.parametrize("seed", SOFTWARE_SEEDS)
def test_texts_are_continued_at_their_software_version_only(seed, tmp_path):
    result = run_in_time(seed, tmp_path, SoakSize(engines=5, streams=4, software=2))
    assert result.violations == [], result.format()
    assert result.jobs_accepted > 0


# Nodes that had lost the paths to all workers refused their callers.
@pytest.mark.parametrize("seed", CUT_SEEDS)
def test_nodes_that_are_cut_off_from_the_workers_serve_their_callers(seed, tmp_path):
    result = run_in_time(seed, tmp_path, SoakSize(faults=0, cuts=2, clients=30))
    assert result.violations == [], result.format()
    assert result.calls_served > 0


# Workers that said only in their responses that they leave got requests as before.
@pytest.mark.parametrize("seed", DEPARTURE_SEEDS)
def test_workers_that_say_they_leave_get_no_more_requests(seed, tmp_path):
    result = run_in_time(seed, tmp_path, SoakSize(faults=0, departures=2, clients=30))
    assert result.violations == [], result.format()
    assert result.calls_served > 0


# Requests that came late in a planned stop were cut without an answer at its end.
@pytest.mark.parametrize("seed", STOP_SEEDS)
def test_planned_stops_cut_no_request(seed, tmp_path):
    size = SoakSize(clients=14, faults=0, stops=4, plain_response_s=0.9, window_s=12.0)
    result = run_in_time(seed, tmp_path, size)
    assert result.violations == [], result.format()
    assert result.calls_served > 0


# As above, with a request that crashes workers which are listed late again.
@pytest.mark.parametrize("seed", CRASHING_SEEDS[:1])
def test_crashing_request_is_refused_although_its_targets_are_back_late(seed, tmp_path):
    size = SoakSize(faults=0, cuts=1, crashing=1, worker_restart_s=7.0, window_s=24.0)
    result = run_in_time(seed, tmp_path, size)
    assert result.violations == [], result.format()
    assert result.calls_served > 0


# A row that could not be decoded ended the task that follows the list of workers.
@pytest.mark.parametrize("seed", ODD_ROW_SEEDS)
def test_odd_rows_of_another_writer_cost_nothing_that_is_served(seed, tmp_path):
    result = run_in_time(seed, tmp_path, SoakSize(faults=2, clients=30, odd_rows=6))
    assert result.violations == [], result.format()
    assert result.jobs_accepted > 0
    assert result.calls_served > 0
    logs = "".join(path.read_text() for path in tmp_path.glob("*.log"))
    assert "event=row_unreadable" in logs
    assert "event=task_failed" not in logs
    assert "event=row_failed" not in logs


def run_in_time(seed, folder, size):
    async def run_with_timeout():
        async with asyncio.timeout(SOAK_TIMEOUT_S):
            return await run_soak(seed, folder, size)

    return asyncio.run(run_with_timeout())
