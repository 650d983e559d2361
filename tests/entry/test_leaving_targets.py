"""Requests while targets say in their answers that they leave and the list is old.

The load is that of our day `leaving-services`: two of three targets leave while the
store is away, so that their rows say nothing.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.support.cut_off import CutOffCluster
from tests.support.node import build_target

# A quarter of the target latency of the tests' route.
REFUSE_LIMIT_S = 0.05


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


def test_target_that_leaves_stays_so_until_another_start_of_it(run):
    async def scenario(cluster):
        cluster.leaving.add("t1")
        await send_until_arrival(cluster, "a", "t1")
        registry = cluster.nodes["a"].registry
        # A renewed heartbeat, and a row that lapsed and came back.
        registry.put(cluster.targets["t1"])
        assert "t1" not in (await send_many(cluster, "a"))[1]
        registry.remove("t1")
        registry.put(cluster.targets["t1"])
        assert "t1" not in (await send_many(cluster, "a"))[1]
        cluster.leaving.clear()
        registry.put(build_target("t1", "app", incarnation=2))
        assert "t1" in (await send_many(cluster, "a"))[1]

    run_cluster(run, scenario)


def test_other_nodes_hear_of_a_target_that_leaves(run):
    async def scenario(cluster):
        cluster.leaving.add("t1")
        await send_until_arrival(cluster, "a", "t1")
        await asyncio.sleep(1.0)
        for node in "bcde":
            assert "t1" not in (await send_many(cluster, node))[1]

    run_cluster(run, scenario)


# The node that relays a call is the one from which it reaches the target.
def test_relaying_node_learns_from_the_answers_that_it_relays(run):
    async def scenario(cluster):
        cluster.rumour_listeners.clear()
        cluster.cut.add("a")
        cluster.leaving.add("t1")
        await send_until_arrival(cluster, "a", "t1")
        states = [node.registry.get("t1") for node in cluster.nodes.values()]
        assert sum(state.record.is_leaving for state in states) == 2

    run_cluster(run, scenario)


def test_request_is_refused_at_once_when_the_last_target_leaves(run):
    async def scenario(cluster):
        cluster.leaving |= set(cluster.targets)
        for target in cluster.targets:
            await send_until_arrival(cluster, "a", target)
        started_s = asyncio.get_running_loop().time()
        statuses, reached = await send_many(cluster, "a", count=5)
        assert (statuses, reached) == ([503] * 5, set())
        took_s = asyncio.get_running_loop().time() - started_s
        assert took_s < 5 * REFUSE_LIMIT_S
        states = [cluster.nodes["a"].registry.get(name) for name in cluster.targets]
        assert not any(state.health.consecutive_faults for state in states)

    run_cluster(run, scenario)
