"""Short soak runs with real processes, for a fixed seed and the regression seeds."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.regressions import REGRESSIONS
from tests.soak.run import SoakSize, run_soak

CI_SEEDS = (3,)
SOAK_TIMEOUT_S = 120.0


@pytest.mark.parametrize("seed", [*CI_SEEDS, *REGRESSIONS])
def test_promises_hold_under_faults(seed, tmp_path):
    async def run_with_timeout():
        async with asyncio.timeout(SOAK_TIMEOUT_S):
            return await run_soak(seed, tmp_path, SoakSize())

    result = asyncio.run(run_with_timeout())
    assert result.violations == [], result.format()
    assert result.jobs_accepted > 0
    assert result.calls_served > 0
