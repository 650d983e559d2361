"""Weight orders: one lease holder gives them, and no engine loads needlessly."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from tamarackshelf.contracts.targets import (
    EngineReport,
    NotRun,
    OrderRefused,
    OutcomeUnknown,
)
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.node.weights import LEASE_NAME, WeightCoordinator
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import NodeRecord, acquire_lease, read_lease
from tamarackshelf.world import Address
from tamarackshelf.world.route import RoutingConfiguration, Service
from tests.support.node import FakeFleet, build_target

LEASE_S = 3.0
LOAD_S = 0.9


class FakeEngines:
    """Fake engines that load a version in LOAD_S and count accepted orders."""

    def __init__(self):
        self.versions = {}
        self.accepted = {}
        self.fencing_numbers = {}
        self.orders = []
        self.answers_to_lose = 0
        self.is_unreachable = False

    async def read_report(self, target, timeout_s):
        await asyncio.sleep(0.002)
        if self.is_unreachable:
            raise NotRun("no connection")
        return EngineReport(
            dict(self.versions.get(target.name, {"m": 1, "n": 1})),
            False,
            self.accepted.get(target.name, 0),
        )

    async def order_version(self, target, order, timeout_s):
        now_s = asyncio.get_running_loop().time()
        self.orders.append((now_s, target.name, order))
        name = target.name
        if order.fencing_number < self.fencing_numbers.get(name, 0):
            raise OrderRefused("412", is_fenced=True)
        self.fencing_numbers[name] = order.fencing_number
        if order.orders_accepted != self.accepted.get(name, 0):
            raise OrderRefused("409")
        self.accepted[name] = order.orders_accepted + 1
        asyncio.get_running_loop().call_later(LOAD_S, self._load, name, order)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise OutcomeUnknown("no answer")
        return True

    def _load(self, name, order):
        loaded = self.versions.setdefault(name, {"m": 1, "n": 1})
        loaded[order.model] = order.version


class Environment:
    """A store, engines and the records of nodes, each for one coordinator."""

    def __init__(self, names="ab"):
        self.store = MemoryRowStore()
        self.engines = FakeEngines()
        self.dead = set()
        self.cut_off = set()
        self.clients = {}
        address = Address("10.0.0.1", 1)
        self.records = {
            name: NodeRecord(name, 1, "dc", address, address) for name in names
        }

    def build_coordinator(self, name):
        timeline = Timeline(name, lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(1))
        for number in range(1, 5):
            registry.put(
                build_target(f"e{number}", "models", versions={"m": 1, "n": 1})
            )
        client = self.clients[name] = self.store.connect()
        coordinator = WeightCoordinator(
            FailoverStore(client, timeline),
            FakeFleet(name, self.records, self.dead),
            registry,
            self.engines,
            LEASE_S,
            timeline,
        )
        services = {"models": Service("models", 10, ("m", "n"))}
        configuration = RoutingConfiguration(1, (), services)
        coordinator.get_configuration = lambda: configuration
        coordinator.select_reaching = self._select_reaching
        return coordinator

    def _select_reaching(self, records, services):
        assert services == {"models"}
        return [r for r in records if r.vm not in self.cut_off] or records


@pytest.fixture
def run_scenario(run):
    def run_with_coordinators(scenario, names="ab"):
        async def build_and_run():
            environment = Environment(names)
            coordinators = {n: environment.build_coordinator(n) for n in names}
            for coordinator in coordinators.values():
                await coordinator.start()
            await scenario(environment, coordinators)
            for coordinator in coordinators.values():
                await coordinator.close()

        run(build_and_run())

    return run_with_coordinators


def announce_everywhere(coordinators, model, version):
    for coordinator in coordinators.values():
        coordinator.record_announced_version(model, version)


def test_announced_version_is_loaded_once_on_the_engines_of_its_model(run_scenario):
    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        loaded = [v["m"] for v in environment.engines.versions.values()]
        assert loaded == [2, 2]
        assert len(environment.engines.orders) == 2
        assert len({order.holder for _, _, order in environment.engines.orders}) == 1

    run_scenario(scenario)


def test_lease_is_held_when_the_answer_to_its_claim_is_lost(run_scenario):
    """The store accepts a node's claim of the lease, but the answer is lost.

    In soak seed 11 the node then read its own claim as another holder's, and no node
    gave orders.
    """

    async def scenario(environment, coordinators):
        for client in environment.clients.values():
            client.lose_answers = 1
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(8)
        assert [v["m"] for v in environment.engines.versions.values()] == [2, 2]
        assert len({order.holder for _, _, order in environment.engines.orders}) == 1

    run_scenario(scenario)


def test_engines_of_one_model_load_one_after_the_other(run_scenario):
    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        (first_s, *_), (second_s, *_) = environment.engines.orders
        assert second_s - first_s >= LOAD_S

    run_scenario(scenario)


def test_order_with_a_lost_answer_is_not_executed_twice(run_scenario):
    async def scenario(environment, coordinators):
        environment.engines.answers_to_lose = 1
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(8)
        assert sorted(environment.engines.accepted.values()) == [1, 1]
        assert [v["m"] for v in environment.engines.versions.values()] == [2, 2]

    run_scenario(scenario)


def test_new_holder_waits_until_the_lease_of_a_dead_holder_expires(run_scenario):
    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        holder = environment.engines.orders[0][2].holder
        last_s = environment.engines.orders[-1][0]
        environment.dead.add(holder)
        await coordinators[holder].close()
        announce_everywhere(coordinators, "m", 3)
        await asyncio.sleep(9)
        newer = [entry for entry in environment.engines.orders if entry[2].version == 3]
        assert newer
        assert all(entry[2].holder != holder for entry in newer)
        assert newer[0][0] - last_s >= LEASE_S
        assert newer[0][2].fencing_number > 1

    run_scenario(scenario)


def test_lease_of_a_holder_that_is_alive_is_not_taken(run_scenario):
    """Gossip wrongly considers the lease holder dead."""

    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        holder = environment.engines.orders[0][2].holder
        environment.dead.add(holder)
        for coordinator in coordinators.values():
            coordinator._fleet.responding_vms.add(holder)
        announce_everywhere(coordinators, "m", 3)
        await asyncio.sleep(6)
        assert {order.holder for _, _, order in environment.engines.orders} == {holder}

    run_scenario(scenario)


def test_lease_of_a_restarted_holder_is_taken(run_scenario):
    """The lease holder's VM is restarted while all VMs are restarted in turn.

    Seen in run kis-barge trouble-2.
    """

    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        holder = environment.engines.orders[0][2].holder
        await coordinators[holder].close()
        environment.records[holder] = replace(
            environment.records[holder], incarnation=2
        )
        for coordinator in coordinators.values():
            coordinator._fleet.responding_vms.add(holder)
        # The other coordinator ranks first until the holder's VM is listed again.
        environment.dead.add(holder)
        announce_everywhere(coordinators, "m", 3)
        await asyncio.sleep(9)
        assert any(order.version == 3 for _, _, order in environment.engines.orders)

    run_scenario(scenario)


def test_restarted_holder_gives_orders_without_waiting(run_scenario):
    async def scenario(environment, coordinators):
        client = environment.store.connect()
        free = await read_lease(client, LEASE_NAME)
        for name in "ab":
            # An earlier incarnation of the node that takes the lease holds it.
            environment.records[name] = environment.records[name].__class__(
                name, 2, "dc", Address("10.0.0.1", 1), Address("10.0.0.1", 1)
            )
            coordinators[name]._fleet.own = environment.records[name]
        names = sorted(environment.records, key=lambda n: n)
        first = rank_owners(names, LEASE_NAME)[0]
        await acquire_lease(client, LEASE_NAME, free, first, 1)
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(1.5)
        assert environment.engines.orders

    run_scenario(scenario)


def test_holder_whose_lease_was_taken_gives_no_more_orders(run_scenario):
    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        client = environment.store.connect()
        current = await read_lease(client, LEASE_NAME)
        await acquire_lease(client, LEASE_NAME, current, "c", 1)
        environment.records["c"] = NodeRecord(
            "c", 1, "dc", Address("10.0.0.1", 1), Address("10.0.0.1", 1)
        )
        count = len(environment.engines.orders)
        announce_everywhere(coordinators, "m", 3)
        await asyncio.sleep(5)
        assert len(environment.engines.orders) == count

    run_scenario(scenario)


# No engine got a new version while the holder was cut off from the engines.
def test_holder_that_is_cut_off_from_the_engines_hands_the_lease_over(run_scenario):
    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        holder = environment.engines.orders[0][2].holder
        last_s = environment.engines.orders[-1][0]
        environment.cut_off.add(holder)
        announce_everywhere(coordinators, "m", 3)
        await asyncio.sleep(6)
        newer = [entry for entry in environment.engines.orders if entry[2].version == 3]
        assert newer
        assert all(entry[2].holder != holder for entry in newer)
        assert newer[0][0] - last_s >= LEASE_S
        assert newer[0][2].fencing_number > 1
        # The new holder keeps the lease when the cut has ended.
        environment.cut_off.clear()
        announce_everywhere(coordinators, "m", 4)
        await asyncio.sleep(5)
        assert environment.engines.orders[-1][2].holder == newer[0][2].holder
        assert environment.engines.orders[-1][2].version == 4

    run_scenario(scenario)


# The release may fail at the store, which then still names the cut-off holder.
def test_lease_is_released_again_when_the_store_refused_its_release(run_scenario):
    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        holder = environment.engines.orders[0][2].holder
        environment.cut_off.add(holder)
        environment.store.is_down = True
        announce_everywhere(coordinators, "m", 3)
        await asyncio.sleep(3)
        environment.store.is_down = False
        await asyncio.sleep(8)
        assert environment.engines.orders[-1][2].version == 3
        assert environment.engines.orders[-1][2].holder != holder

    run_scenario(scenario)


# A process that had just restarted did not know when its predecessor gave an order.
def test_restarted_holder_that_is_cut_off_keeps_the_lease_for_its_duration(
    run_scenario,
):
    async def scenario(environment, coordinators):
        client = environment.store.connect()
        free = await read_lease(client, LEASE_NAME)
        first = rank_owners(sorted(environment.records), LEASE_NAME)[0]
        await acquire_lease(client, LEASE_NAME, free, first, 1)
        environment.records[first] = replace(environment.records[first], incarnation=2)
        coordinators[first]._fleet.own = environment.records[first]
        environment.engines.is_unreachable = True
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(1.0)
        environment.cut_off.add(first)
        environment.engines.is_unreachable = False
        await asyncio.sleep(6.0)
        at_s, _, order = environment.engines.orders[0]
        assert order.holder != first
        assert at_s >= LEASE_S

    run_scenario(scenario)


def test_engine_request_loads_the_model_on_one_more_engine(run_scenario):
    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        own = {name for _, name, _ in environment.engines.orders}
        other = next(f"e{n}" for n in range(1, 5) if f"e{n}" not in own)
        for coordinator in coordinators.values():
            coordinator.request_engine("m", other)
        await asyncio.sleep(3)
        assert environment.engines.versions[other]["m"] == 2
        assert len(environment.engines.orders) == 3

    run_scenario(scenario)


# What becomes of a claim of the lease that gets no answer; one that is stored late is
# not there yet when the row is read next.
LOST_CLAIMS = ["not stored", "stored", "stored late"]


@pytest.mark.parametrize("nodes", [2, 12, 58, 195])
@pytest.mark.parametrize("claim", LOST_CLAIMS)
def test_engines_are_ordered_after_a_lost_claim_and_a_change_of_rank(
    run_scenario, claim, nodes
):
    """A node did not know of its lease, and the first in rank left it with that node.

    The claim's answer was lost, and only a node that ranks first read the lease again.
    """
    names = [f"n{number}" for number in range(nodes)]
    first, second = rank_owners(names, LEASE_NAME)[:2]

    async def scenario(environment, coordinators):
        environment.dead.add(first)
        await coordinators[first].close()
        client = environment.clients[second]
        client.is_refused = claim == "not stored"
        client.lose_answers = int(claim != "not stored")
        client.late_commit_delay_s = 1.0 if claim == "stored late" else 0.0
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(0.3)
        client.is_refused = True
        await asyncio.sleep(0.4)
        # The machine that ranks first is back as another process.
        record = replace(environment.records[first], incarnation=2)
        environment.records[first] = record
        environment.dead.discard(first)
        coordinators[first] = environment.build_coordinator(first)
        await coordinators[first].start()
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(1.0)
        client.is_refused = False
        await asyncio.sleep(LEASE_S + 5)
        assert [v["m"] for v in environment.engines.versions.values()] == [2, 2]
        holders = [order.holder for _, _, order in environment.engines.orders]
        assert len(set(holders)) == 1

    run_scenario(scenario, names)


def test_holder_that_an_engine_refused_reads_the_lease_whatever_its_rank(run_scenario):
    """A holder that lost its first rank dropped the lease and never read it again."""

    async def scenario(environment, coordinators):
        announce_everywhere(coordinators, "m", 2)
        await asyncio.sleep(5)
        holder = environment.engines.orders[0][2].holder
        # A third node joins, which ranks first and never takes a lease of a live one.
        first = next(
            name
            for name in (f"x{number}" for number in range(100))
            if rank_owners(["a", "b", name], LEASE_NAME)[0] == name
        )
        environment.records[first] = replace(environment.records["a"], vm=first)
        engine = environment.engines.orders[0][1]
        environment.engines.fencing_numbers[engine] = 9
        announce_everywhere(coordinators, "m", 3)
        await asyncio.sleep(2)
        environment.engines.fencing_numbers.clear()
        await asyncio.sleep(LEASE_S + 5)
        assert [v["m"] for v in environment.engines.versions.values()] == [3, 3]
        assert environment.engines.orders[-1][2].holder == holder

    run_scenario(scenario)
