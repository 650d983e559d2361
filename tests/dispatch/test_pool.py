"""Routing by the durations of requests that the pool measures."""

from __future__ import annotations

import asyncio

from tamarackshelf.dispatch import AdmissionRequest
from tamarackshelf.policy.admission import WorkClass
from tamarackshelf.policy.routing import TargetRequirements
from tests.support.fleet import MemoryFleet


def test_slower_target_gets_fewer_requests(run):
    async def scenario():
        fleet = MemoryFleet()
        for name in ("fast1", "fast2", "slow"):
            fleet.add_engine(name)
        pool = fleet.build_dispatcher().pool
        deadline_s = asyncio.get_running_loop().time() + 9999
        admission = AdmissionRequest(
            TargetRequirements("models"), "org", WorkClass.CUSTOMER, deadline_s
        )
        counts = {"fast1": 0, "fast2": 0, "slow": 0}

        async def run_request():
            permit = await pool.acquire(admission)
            counts[permit.target.name] += 1
            await asyncio.sleep(5.0 if permit.target.name == "slow" else 0.5)
            pool.release(permit)

        for _ in range(40):
            await asyncio.gather(*(run_request() for _ in range(4)))
        assert counts["slow"] < counts["fast1"] / 3
        assert counts["slow"] < counts["fast2"] / 3

    run(scenario())
