"""Requests at nodes that lost the paths to all targets, while their peers have them.

The load is that of the users' day `stranded`: most nodes are cut off at once, and each
of them gets few requests, so that the first one after the cut counts.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.support.cut_off import CutOffCluster

# stableWindowMs of the users' settings: failures count from this time after a cut.
STABLE_WINDOW_S = 3.0
# A share of first tries that may fail at nodes that are cut off.
ALLOWED_FAILURES = 1 / 50


# Callers of nodes that had lost the paths to all targets were refused.
@pytest.mark.parametrize("refuses", [False, True], ids=["silent", "refuse"])
def test_callers_of_nodes_that_are_cut_off_from_the_targets_are_served(run, refuses):
    async def scenario():
        cluster = CutOffCluster(refuses=refuses)
        await cluster.start()
        await asyncio.sleep(1.0)
        cluster.cut |= {"a", "b", "c"}
        statuses = {name: [] for name in cluster.nodes}
        # One of them gets requests before the others do.
        await send_every_second(cluster, "a", 3, [])
        for name in cluster.nodes:
            await send_every_second(cluster, name, 4, statuses[name])
        await cluster.stop()
        return statuses

    statuses = run(scenario())
    for name, found in statuses.items():
        failed = sum(status != 200 for status in found)
        assert failed <= ALLOWED_FAILURES * len(found), (name, found)


async def send_every_second(cluster, name, count, statuses):
    for number in range(count):
        request_id = f"{name}-{len(statuses)}-{number}"
        statuses.append(await cluster.nodes[name].send(request_id))
        await asyncio.sleep(1.0)
