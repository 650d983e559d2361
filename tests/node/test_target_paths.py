"""Paths of a node to its targets while it is cut off from them, and after it."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.contracts.targets import CallKind, TargetCall
from tamarackshelf.net import ConnectFailed, Response
from tamarackshelf.policy.rumours import Rumour
from tests.support.cut_off import run_cluster

REFUSE_LIMIT_S = 0.5


def list_events(node, kind):
    return [event for event in node.timeline.page().events if event.kind == kind]


def count_peer_calls(cluster):
    """Return the number of calls that nodes made to other nodes."""
    return sum(not cluster.is_target(call[1]) for call in cluster.network.calls)


async def cut_off(cluster, *names):
    """Cut nodes off and let them find out."""
    cluster.cut |= set(names)
    for number, name in enumerate(names):
        await cluster.nodes[name].send(f"first-{number}")
    await asyncio.sleep(1.0)


def build_call(kind=CallKind.REQUEST):
    headers = {"x-request-id": "r1"}
    return TargetCall(kind, "POST", "/x", headers, b"", 1.0, "r1")


def test_request_is_sent_to_its_target_once(run):
    async def scenario(cluster):
        await cut_off(cluster, "a", "b")
        cluster.arrivals.clear()
        statuses = [await cluster.nodes["a"].send(f"r{n}") for n in range(10)]
        assert statuses == [200] * 10
        assert sorted(i for _, i in cluster.arrivals) == sorted(
            f"r{n}" for n in range(10)
        )

    run_cluster(run, scenario)


def test_request_that_may_run_once_is_relayed(run):
    async def scenario(cluster):
        await cut_off(cluster, "a", "b")
        cluster.arrivals.clear()
        assert await cluster.nodes["a"].send("once", "/once/x") == 200
        assert [request_id for _, request_id in cluster.arrivals] == ["once"]

    run_cluster(run, scenario)


# During a rolling upgrade some peers run a release that knows no relayed calls.
def test_peers_of_an_older_release_are_gone_round(run):
    async def answer_404(request):
        return Response(404)

    async def scenario(cluster):
        for name in "bcd":
            cluster.network.handlers[cluster.records[name].peers] = answer_404
        await cut_off(cluster, "a")
        # Each refusal avoids the peer for a while.
        assert 200 in [await cluster.nodes["a"].send(f"r{n}") for n in range(2)]
        assert await cluster.nodes["a"].send("r2") == 200

    run_cluster(run, scenario)


# Nodes that are all cut off must not pass a request around.
def test_request_is_refused_at_once_when_no_node_reaches_the_targets(run):
    async def scenario(cluster):
        await cut_off(cluster, *cluster.nodes)
        cluster.network.calls.clear()
        started_s = asyncio.get_running_loop().time()
        assert await cluster.nodes["a"].send("r") == 503
        assert asyncio.get_running_loop().time() - started_s < REFUSE_LIMIT_S
        assert count_peer_calls(cluster) == 0

    run_cluster(run, scenario)


def test_relayed_request_takes_one_hop_at_most(run):
    async def scenario(cluster):
        # The others do not know yet that they are cut off, too.
        cluster.cut |= set(cluster.nodes)
        cluster.network.calls.clear()
        await cluster.nodes["a"].send("r")
        origins = {origin for origin, address, _ in cluster.network.calls}
        assert origins <= {"a"}

    run_cluster(run, scenario)


# Targets judge who gives orders by the connection that an order comes on.
def test_orders_are_not_relayed(run):
    async def scenario(cluster):
        await cut_off(cluster, "a")
        target = cluster.targets["t1"].target
        with pytest.raises(ConnectFailed, match="orders are not relayed"):
            async with cluster.nodes["a"].paths.stream(
                target, build_call(CallKind.ORDER)
            ):
                pass

    run_cluster(run, scenario)


def test_single_unreachable_target_is_no_cut(run):
    async def scenario(cluster):
        cluster.network.remove(cluster.targets["t1"].target.address)
        cluster.network.calls.clear()
        statuses = [await cluster.nodes["a"].send(f"r{n}") for n in range(5)]
        assert statuses == [200] * 5
        assert not cluster.nodes["a"].paths.is_cut_off("app")
        assert count_peer_calls(cluster) == 0

    run_cluster(run, scenario)


# A node without paths took its own cut for crashes of the targets.
@pytest.mark.parametrize("knows", [False, True], ids=["first sign", "known"])
def test_node_that_is_cut_off_reports_no_target_as_crashed(run, knows):
    async def scenario(cluster):
        if knows:
            await cut_off(cluster, "a")
        cluster.cut.add("a")
        target = cluster.targets["t1"].target
        assert not await cluster.nodes["a"].paths.has_ended(target)
        cluster.network.remove(target.address)
        # A sound node tells a crash, although others are cut off.
        assert await cluster.nodes["b"].paths.has_ended(target)

    run_cluster(run, scenario, refuses=True)


def test_target_that_the_peers_no_longer_list_gets_no_relayed_request(run):
    async def scenario(cluster):
        await cut_off(cluster, "a")
        for name in "bcde":
            cluster.nodes[name].registry.remove("t1")
        cluster.arrivals.clear()
        statuses = [await cluster.nodes["a"].send(f"r{n}") for n in range(6)]
        assert statuses.count(200) >= 5
        assert "t1" not in {name for name, _ in cluster.arrivals}

    run_cluster(run, scenario)


def test_directory_leaves_out_nodes_that_are_cut_off_but_never_all(run):
    async def scenario(cluster):
        records = list(cluster.records.values())
        await cut_off(cluster, "a", "b")
        for name in ("a", "e"):
            chosen = cluster.nodes[name].paths.select_entries(records)
            assert [record.vm for record in chosen] == ["c", "d", "e"]
        await cut_off(cluster, "c", "d", "e")
        assert cluster.nodes["c"].paths.select_entries(records) == records

    run_cluster(run, scenario)


def test_own_paths_are_used_again_soon_after_the_cut(run):
    async def scenario(cluster):
        await cut_off(cluster, "a")
        assert await cluster.nodes["a"].send("r1") == 200
        cluster.cut.clear()
        await asyncio.sleep(2.0)
        node = cluster.nodes["a"]
        assert not node.paths.is_cut_off("app")
        cluster.network.calls.clear()
        assert await node.send("r2") == 200
        assert count_peer_calls(cluster) == 0
        records = list(cluster.records.values())
        assert cluster.nodes["e"].paths.select_entries(records) == records
        assert len(list_events(node, "dependency_lost")) == 1
        assert len(list_events(node, "dependency_regained")) == 1

    run_cluster(run, scenario)


def test_peer_that_fails_is_replaced_by_another_one(run):
    async def scenario(cluster):
        await cut_off(cluster, "a")
        for name in "bc":
            cluster.network.remove(cluster.records[name].peers)
        statuses = [await cluster.nodes["a"].send(f"r{n}") for n in range(4)]
        assert statuses == [200] * 4

    run_cluster(run, scenario)


# Connections may live on while new ones are refused; those that hang must not be used.
@pytest.mark.parametrize("refuses", [False, True], ids=["silent", "refuse"])
def test_open_connection_is_used_only_if_new_ones_are_refused(run, refuses):
    async def scenario(cluster):
        await cut_off(cluster, "a")
        node = cluster.nodes["a"]
        address = cluster.targets["t1"].target.address
        node.http.idle.add(address)
        cluster.network.calls.clear()
        async with node.paths.stream(cluster.targets["t1"].target, build_call()):
            pass
        used_own = ("a", address, "/x") in cluster.network.calls
        assert used_own is refuses

    run_cluster(run, scenario, refuses=refuses)


# All nodes were cut off; those whose open connections lived on could have served.
def test_peer_with_open_connections_relays_when_no_other_one_can(run):
    async def scenario(cluster):
        await cut_off(cluster, *"abd")
        cluster.refuses = True
        for record in cluster.targets.values():
            cluster.nodes["e"].http.idle.add(record.target.address)
        await cut_off(cluster, "c", "e")
        cluster.arrivals.clear()
        statuses = [await cluster.nodes["a"].send(f"r{n}") for n in range(4)]
        assert statuses == [200] * 4

    run_cluster(run, scenario)


def test_unreadable_rumour_of_a_cut_is_ignored(run):
    async def scenario(cluster):
        node = cluster.nodes["a"]
        node.fleet.gossip.publish(Rumour("cut-off:b", 10**6, "app,models"))
        await asyncio.sleep(1.0)
        records = list(cluster.records.values())
        assert node.paths.select_entries(records) == records
        assert list_events(node, "rumour_unreadable")

    run_cluster(run, scenario)


# The rumour of the end of a cut was older than that of its start, and ignored.
def test_end_of_a_cut_is_heard_although_the_clock_was_set_back(run):
    async def scenario(cluster):
        records = list(cluster.records.values())
        await cut_off(cluster, "a")
        cluster.clock_offset_ms = -2000
        cluster.cut.clear()
        await asyncio.sleep(2.0)
        assert cluster.nodes["e"].paths.select_entries(records) == records

    run_cluster(run, scenario)
