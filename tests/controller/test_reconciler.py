"""Only a lease holder orders engines, and all engines get the published weights.

The faults are failed orders, paused nodes, and outages of the table.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from tamarackshelf.contracts import Order, OrderFenced, OrderKind
from tamarackshelf.contracts.engine import send_order
from tamarackshelf.controller.fleet_state import FleetState
from tamarackshelf.controller.reconciler import Reconciler, WeightUpdateSettings
from tamarackshelf.observe import Timeline
from tamarackshelf.peers import EntryStatus, EntryView, TargetStatus
from tamarackshelf.policy.lease import LeaseTimes, may_act
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.state.leases import LeaseManager, LeaseSettings
from tamarackshelf.world import VmRow, VmState
from tests.support.fleet import MODEL, MemoryFleet
from tests.support.memory import MemoryHttp

TIMES = LeaseTimes(lease_s=6.0, renew_every_s=2.0, margin_s=1.0, order_flight_s=2.0)
SHARD = "models#0"


class FakeMembership:
    """Fake of the gossip membership: all nodes share one set of rumours."""

    def __init__(self):
        self.rumours = {}

    def publish(self, rumour):
        known = self.rumours.get(rumour.subject)
        if known is None or known.version < rumour.version:
            self.rumours[rumour.subject] = rumour


class Node:
    """The reconciler of one controller and its leases."""

    def __init__(self, fleet, gossip, name, live):
        self.name = name
        self.timeline = Timeline(name, lambda: 0)
        self.table = fleet.build_table(name)
        self.fleet_state = FleetState(gossip)
        self.fleet_state.configuration = fleet.build_view().configuration
        entries = tuple(EntryView(fleet.entries[n], EntryStatus.LIVE, ()) for n in live)
        self.fleet_state.view = replace(fleet.build_view(), entries=entries)
        self.leases = LeaseManager(self.table, LeaseSettings(name, TIMES))
        self.reconciler = Reconciler(
            name,
            self.fleet_state,
            self.leases,
            TIMES,
            MemoryHttp(fleet.network, name),
            self.timeline,
            gossip.publish,
            WeightUpdateSettings(wave_share=0.5, interval_s=0.5),
        )

    async def start(self, fleet):
        await self.table.start()
        self.fleet_state.rows = build_rows(fleet)
        await self.reconciler.start()

    def set_live(self, fleet, live):
        entries = tuple(EntryView(fleet.entries[n], EntryStatus.LIVE, ()) for n in live)
        self.fleet_state.view = replace(self.fleet_state.view, entries=entries)

    def publish(self, version):
        self.fleet_state.view = replace(
            self.fleet_state.view, published={MODEL: version}
        )

    def event_kinds(self):
        return [event.kind for event in self.timeline.page().events]


def build_rows(fleet):
    return tuple(
        VmRow(name, VmState.LIVE, target=standin.target)
        for name, standin in fleet.standins.items()
    )


def build_fleet(engines=4, checks_fencing=True):
    fleet = MemoryFleet()
    fleet.add_entry("a")
    fleet.add_entry("b")
    for i in range(engines):
        engine = fleet.add_engine(f"e{i}")
        engine.target = replace(engine.target, checks_fencing=checks_fencing)
    gossip = FakeMembership()
    owner = find_owner(["a", "b"], SHARD)
    other = "b" if owner == "a" else "a"
    return fleet, gossip, owner, other


def versions(fleet):
    return {engine.state.versions[MODEL] for engine in fleet.standins.values()}


def test_all_engines_reach_the_newest_version_in_waves(run):
    async def scenario():
        fleet, gossip, owner, _ = build_fleet()
        node = Node(fleet, gossip, owner, ["a", "b"])
        await node.start(fleet)
        node.publish(3)
        swapping = []
        for _ in range(70):
            await asyncio.sleep(0.1)
            engines = fleet.standins.values()
            swapping.append(sum(engine.state.swapping for engine in engines))
        assert versions(fleet) == {3}
        assert max(swapping, default=0) <= 2

    run(scenario())


@pytest.mark.parametrize(("fault", "times"), [("swap_fails", 1), ("swap_ignored", 3)])
def test_a_failed_or_ignored_order_takes_the_engine_out_until_it_recovers(
    run, fault, times
):
    async def scenario():
        fleet, gossip, owner, _ = build_fleet()
        setattr(fleet.standins["e1"].faults, fault, times)
        node = Node(fleet, gossip, owner, ["a", "b"])
        await node.start(fleet)
        node.publish(3)
        seen = set()
        for _ in range(400):
            await asyncio.sleep(0.1)
            rumour = gossip.rumours.get("service:e1")
            seen.add(rumour.value if rumour else "")
        assert versions(fleet) == {3}
        assert "out" in seen
        assert gossip.rumours["service:e1"].value == "in"

    run(scenario())


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_an_order_after_a_pause_past_the_lease_has_no_lasting_effect(
    run, checks_fencing
):
    """A holder pauses until its lease has expired, then sends an outdated order."""

    async def scenario():
        fleet, gossip, owner, other = build_fleet(checks_fencing=checks_fencing)
        old = Node(fleet, gossip, owner, ["a", "b"])
        await old.start(fleet)
        old.publish(1)
        await asyncio.sleep(10.0)
        assert versions(fleet) == {1}
        lease = old.leases.held[SHARD]
        old.reconciler.abort()
        new = Node(fleet, gossip, other, [other])
        await new.start(fleet)
        new.publish(2)
        await asyncio.sleep(20.0)
        assert versions(fleet) == {2}
        assert new.leases.held[SHARD].fencing_number > lease.fencing_number
        assert not may_act(lease, asyncio.get_running_loop().time(), TIMES)
        order = Order(OrderKind.LOAD_VERSION, lease.fencing_number, MODEL, 1)
        engine = fleet.standins["e0"]
        http = MemoryHttp(fleet.network, owner)
        if checks_fencing:
            with pytest.raises(OrderFenced):
                await send_order(http, engine.target.address, order, 5.0)
        else:
            await send_order(http, engine.target.address, order, 5.0)
            assert engine.state.versions[MODEL] == 1
        await asyncio.sleep(10.0)
        assert versions(fleet) == {2}

    run(scenario())


def test_two_nodes_never_may_act_on_one_lease_at_the_same_time(run):
    async def scenario():
        fleet, gossip, owner, other = build_fleet()
        nodes = [Node(fleet, gossip, n, ["a", "b"]) for n in (owner, other)]
        for node in nodes:
            await node.start(fleet)
        overlaps, holders = 0, set()
        for step in range(1200):
            await asyncio.sleep(0.1)
            if step % 150 == 0:
                # The nodes disagree for a while on which nodes are live.
                nodes[0].set_live(fleet, ["a", "b"] if step % 300 else [other])
                nodes[1].set_live(fleet, [other])
            if step == 700:
                fleet.table.faults.lose_answers = 3
            now_s = asyncio.get_running_loop().time()
            acting = [
                node.name
                for node in nodes
                if SHARD in node.leases.held
                and may_act(node.leases.held[SHARD], now_s, TIMES)
            ]
            holders.update(acting)
            overlaps += len(acting) > 1
        assert overlaps == 0
        assert holders == {"a", "b"}

    run(scenario())


def test_a_table_outage_longer_than_the_lease_only_stops_orders(run):
    async def scenario():
        fleet, gossip, owner, _ = build_fleet()
        node = Node(fleet, gossip, owner, ["a", "b"])
        await node.start(fleet)
        node.publish(1)
        await asyncio.sleep(10.0)
        fleet.table.faults.down = True
        await asyncio.sleep(10.0)
        node.publish(2)
        await asyncio.sleep(600.0)
        assert versions(fleet) == {1}
        assert "reconcile_paused" in node.event_kinds()
        fleet.table.faults.down = False
        await asyncio.sleep(30.0)
        assert versions(fleet) == {2}

    run(scenario())


@pytest.mark.parametrize("lost", [1, 2])
def test_a_lease_is_held_although_the_answer_to_its_write_is_lost(run, lost):
    async def scenario():
        fleet, gossip, owner, _ = build_fleet()
        fleet.table.faults.lose_answers = lost
        node = Node(fleet, gossip, owner, ["a", "b"])
        await node.start(fleet)
        await asyncio.sleep(TIMES.lease_s / 2)
        assert SHARD in node.leases.held

    run(scenario())


def test_after_a_planned_stop_another_node_acquires_the_lease_at_once(run):
    async def scenario():
        fleet, gossip, owner, other = build_fleet()
        old = Node(fleet, gossip, owner, ["a", "b"])
        await old.start(fleet)
        await asyncio.sleep(3.0)
        await old.reconciler.close()
        new = Node(fleet, gossip, other, [other])
        await new.start(fleet)
        await asyncio.sleep(1.0)
        assert SHARD in new.leases.held

    run(scenario())


def test_a_crashed_engine_gets_no_orders(run):
    async def scenario():
        fleet, gossip, owner, _ = build_fleet()
        fleet.statuses["e0"] = TargetStatus.CRASHED
        node = Node(fleet, gossip, owner, ["a", "b"])
        await node.start(fleet)
        node.publish(1)
        await asyncio.sleep(10.0)
        assert fleet.standins["e0"].state.versions[MODEL] == 0
        assert fleet.standins["e1"].state.versions[MODEL] == 1

    run(scenario())
