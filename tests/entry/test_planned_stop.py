"""Requests that arrive while a node stops end in time, or are refused as not run."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.entry.planned_stop import PlannedStop
from tamarackshelf.errors import Draining

STOP_S = 7.2


# A stopping node took requests that could not end before it did.
@pytest.mark.parametrize(
    ("after_s", "timeout_s", "typical_s", "bound_s"),
    [
        (0.0, 2.0, None, 2.0),
        (0.0, 60.0, None, 7.2),
        (2.3, 60.0, None, 4.9),
        (2.5, 60.0, None, None),
        (5.2, 2.0, None, 2.0),
        (5.3, 2.0, None, None),
        (5.3, 2.0, 0.2, 1.9),
        (7.0, 2.0, 0.1, 0.2),
        (7.1, 2.0, 0.2, None),
        (9.0, 0.1, 0.2, None),
    ],
)
def test_request_is_bounded_by_the_end_or_refused(
    run, after_s, timeout_s, typical_s, bound_s
):
    async def scenario():
        stop = PlannedStop()
        assert stop.bound_s(1e6) == 1e6
        stop.begin(STOP_S)
        await asyncio.sleep(after_s)
        try:
            return stop.bound_s(timeout_s, typical_s)
        except Draining as error:
            assert error.not_run
            assert error.retry_after_s == 0.0
            return None

    assert run(scenario()) == (bound_s if bound_s is None else pytest.approx(bound_s))
