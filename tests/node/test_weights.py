"""Orders to engines: one holder, conditional orders, no needless load."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from tamarackshelf.contracts.targets import EngineReport, OrderRefused, OutcomeUnknown
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.node.weights import LEASE_NAME, WeightCoordinator
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import NodeRecord, acquire_lease, read_lease
from tamarackshelf.world import Address
from tamarackshelf.world.route import RoutingConfiguration, Service
from tests.support.node import FleetOf, build_target

LEASE_S = 3.0
LOAD_S = 0.9


class Engines:
    """Engines that load a version in 0.9 s and count accepted orders."""

    def __init__(self):
        self.versions = {}
        self.accepted = {}
        self.fences = {}
        self.orders = []
        self.lose = 0

    async def read_report(self, target, timeout_s):
        await asyncio.sleep(0.002)
        return EngineReport(
            dict(self.versions.get(target.name, {"m": 1, "n": 1})),
            False,
            self.accepted.get(target.name, 0),
        )

    async def order_version(self, target, order, timeout_s):
        now_s = asyncio.get_running_loop().time()
        self.orders.append((now_s, target.name, order))
        name = target.name
        if order.fencing_number < self.fences.get(name, 0):
            raise OrderRefused("412", is_fenced=True)
        self.fences[name] = order.fencing_number
        if order.orders_accepted != self.accepted.get(name, 0):
            raise OrderRefused("409")
        self.accepted[name] = order.orders_accepted + 1
        asyncio.get_running_loop().call_later(LOAD_S, self._load, name, order)
        if self.lose:
            self.lose -= 1
            raise OutcomeUnknown("no answer")
        return True

    def _load(self, name, order):
        loaded = self.versions.setdefault(name, {"m": 1, "n": 1})
        loaded[order.model] = order.version


class Scene:
    def __init__(self):
        self.store = MemoryRowStore()
        self.engines = Engines()
        self.dead = set()
        self.clients = {}
        address = Address("10.0.0.1", 1)
        self.records = {
            name: NodeRecord(name, 1, "dc", address, address) for name in "ab"
        }

    def build_keeper(self, name):
        timeline = Timeline(name, lambda: 0)
        board = TargetRegistry(timeline, lambda: float("-inf"), random.Random(1))
        for number in range(1, 5):
            board.put(build_target(f"e{number}", "models", versions={"m": 1, "n": 1}))
        client = self.clients[name] = self.store.connect()
        keeper = WeightCoordinator(
            FailoverStore(client, timeline),
            FleetOf(name, self.records, self.dead),
            board,
            self.engines,
            LEASE_S,
            timeline,
        )
        services = {"models": Service("models", 10, ("m", "n"))}
        configuration = RoutingConfiguration(1, (), services)
        keeper.get_configuration = lambda: configuration
        return keeper


@pytest.fixture
def play(run):
    def start(scenario):
        async def whole():
            scene = Scene()
            keepers = {name: scene.build_keeper(name) for name in "ab"}
            for keeper in keepers.values():
                await keeper.start()
            await scenario(scene, keepers)
            for keeper in keepers.values():
                await keeper.close()

        run(whole())

    return start


def name_everywhere(keepers, model, version):
    for keeper in keepers.values():
        keeper.note_announced_version(model, version)


def test_named_version_is_loaded_once_on_the_model_s_own_engines(play):
    async def scenario(scene, keepers):
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(5)
        loaded = [v["m"] for v in scene.engines.versions.values()]
        assert loaded == [2, 2]
        assert len(scene.engines.orders) == 2
        assert len({order.holder for _, _, order in scene.engines.orders}) == 1

    play(scenario)


def test_lease_whose_taking_lost_its_answer_is_still_held(play):
    """Soak seed 11: the holder took itself for another node, and nobody gave orders."""

    async def scenario(scene, keepers):
        for client in scene.clients.values():
            client.lose_answers = 1
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(8)
        assert [v["m"] for v in scene.engines.versions.values()] == [2, 2]
        assert len({order.holder for _, _, order in scene.engines.orders}) == 1

    play(scenario)


def test_engines_of_one_model_load_one_after_the_other(play):
    async def scenario(scene, keepers):
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(5)
        (first_s, *_), (second_s, *_) = scene.engines.orders
        assert second_s - first_s >= LOAD_S

    play(scenario)


def test_order_whose_answer_was_lost_is_not_carried_out_twice(play):
    async def scenario(scene, keepers):
        scene.engines.lose = 1
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(8)
        assert sorted(scene.engines.accepted.values()) == [1, 1]
        assert [v["m"] for v in scene.engines.versions.values()] == [2, 2]

    play(scenario)


def test_other_holder_waits_out_the_lease_of_a_dead_one(play):
    async def scenario(scene, keepers):
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(5)
        holder = scene.engines.orders[0][2].holder
        last_s = scene.engines.orders[-1][0]
        scene.dead.add(holder)
        await keepers[holder].close()
        name_everywhere(keepers, "m", 3)
        await asyncio.sleep(9)
        newer = [entry for entry in scene.engines.orders if entry[2].version == 3]
        assert newer
        assert all(entry[2].holder != holder for entry in newer)
        assert newer[0][0] - last_s >= LEASE_S
        assert newer[0][2].fencing_number > 1

    play(scenario)


def test_lease_of_a_holder_that_answers_is_left_alone(play):
    """Pattern: gossip holds the holder for dead while it lives."""

    async def scenario(scene, keepers):
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(5)
        holder = scene.engines.orders[0][2].holder
        scene.dead.add(holder)
        for keeper in keepers.values():
            keeper._fleet.answering.add(holder)
        name_everywhere(keepers, "m", 3)
        await asyncio.sleep(6)
        assert {order.holder for _, _, order in scene.engines.orders} == {holder}

    play(scenario)


def test_lease_of_a_holder_that_started_again_is_taken(play):
    """Pattern: kis-barge trouble-2, the holder's VM is restarted in a rolling stop."""

    async def scenario(scene, keepers):
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(5)
        holder = scene.engines.orders[0][2].holder
        await keepers[holder].close()
        scene.records[holder] = replace(scene.records[holder], incarnation=2)
        for keeper in keepers.values():
            keeper._fleet.answering.add(holder)
        # The other keeper is the first in rank while the holder's VM is listed anew.
        scene.dead.add(holder)
        name_everywhere(keepers, "m", 3)
        await asyncio.sleep(9)
        assert any(order.version == 3 for _, _, order in scene.engines.orders)

    play(scenario)


def test_vm_that_started_again_goes_on_without_waiting(play):
    async def scenario(scene, keepers):
        client = scene.store.connect()
        free = await read_lease(client, LEASE_NAME)
        for name in "ab":
            # The lease stands under an earlier incarnation of whoever takes it.
            scene.records[name] = scene.records[name].__class__(
                name, 2, "dc", Address("10.0.0.1", 1), Address("10.0.0.1", 1)
            )
            keepers[name]._fleet.own = scene.records[name]
        names = sorted(scene.records, key=lambda n: n)
        first = rank_owners(names, LEASE_NAME)[0]
        await acquire_lease(client, LEASE_NAME, free, first, 1)
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(1.5)
        assert scene.engines.orders

    play(scenario)


def test_holder_whose_lease_was_taken_orders_nothing_more(play):
    async def scenario(scene, keepers):
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(5)
        client = scene.store.connect()
        current = await read_lease(client, LEASE_NAME)
        await acquire_lease(client, LEASE_NAME, current, "c", 1)
        scene.records["c"] = NodeRecord(
            "c", 1, "dc", Address("10.0.0.1", 1), Address("10.0.0.1", 1)
        )
        count = len(scene.engines.orders)
        name_everywhere(keepers, "m", 3)
        await asyncio.sleep(5)
        assert len(scene.engines.orders) == count

    play(scenario)


def test_wish_loads_the_model_on_one_more_engine(play):
    async def scenario(scene, keepers):
        name_everywhere(keepers, "m", 2)
        await asyncio.sleep(5)
        own = {name for _, name, _ in scene.engines.orders}
        other = next(f"e{n}" for n in range(1, 5) if f"e{n}" not in own)
        for keeper in keepers.values():
            keeper.request_engine("m", other)
        await asyncio.sleep(3)
        assert scene.engines.versions[other]["m"] == 2
        assert len(scene.engines.orders) == 3

    play(scenario)
