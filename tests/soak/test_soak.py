"""A short soak with real processes, and every seed that ever failed."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.regressions import REGRESSIONS
from tests.soak.run import SoakSize, run_soak

CI_SEEDS = (3,)
SOAK_TIMEOUT_S = 120.0


@pytest.mark.parametrize("seed", [*CI_SEEDS, *REGRESSIONS])
def test_promises_hold_under_faults(seed, tmp_path):
    async def play():
        async with asyncio.timeout(SOAK_TIMEOUT_S):
            return await run_soak(seed, tmp_path, SoakSize())

    result = asyncio.run(play())
    assert result.violations == [], result.format()
    assert result.jobs_accepted > 0
    assert result.calls_served > 0
