"""Requests while targets say in their answers that they leave and the list is old.

The load is that of our day `leaving-services`: two of three targets leave while the store
is away, so that their rows say nothing.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.support.cut_off import CutOffCluster


def run_cluster(run, scenario, **options):
    async def main():
        cluster = CutOffCluster(**options)
        await cluster.start()
        try:
            return await scenario(cluster)
        finally:
            await cluster.stop()

    return run(main())


async def send_until_arrival(cluster, node, target):
    """Send requests at a node until one has reached the target."""
    for number in range(100):
        await cluster.nodes[node].send(f"before-{node}-{number}")
        if target in {name for name, _ in cluster.arrivals}:
            return
    raise AssertionError(f"no request reached {target}")


async def send_many(cluster, node, count=30):
    """Send requests and return their statuses and the targets that they reached."""
    cluster.arrivals.clear()
    statuses = [await cluster.nodes[node].send(f"{node}-{n}") for n in range(count)]
    return statuses, {name for name, _ in cluster.arrivals}


# Requests went on to a target whose answers said that it leaves.
@pytest.mark.parametrize("refuses", [False, True], ids=["answer", "refusal"])
def test_target_that_says_it_leaves_gets_no_more_requests(run, refuses):
    async def scenario(cluster):
        cluster.leaving |= {"t1", "t2"}
        if refuses:
            cluster.refusing |= {"t1", "t2"}
        await send_until_arrival(cluster, "a", "t1")
        await send_until_arrival(cluster, "a", "t2")
        await asyncio.sleep(0.5)
        statuses, reached = await send_many(cluster, "a")
        assert statuses == [200] * len(statuses)
        assert reached == {"t3"}

    run_cluster(run, scenario)
