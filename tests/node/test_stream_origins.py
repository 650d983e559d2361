"""Streams that callers resume at other nodes go on at the software that began them."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from tamarackshelf.contracts.targets import Resumption
from tamarackshelf.net import ClientResponse, ConnectFailed, ConnectionLost
from tamarackshelf.node.stream_origins import (
    FIND_ORIGIN_PATH,
    ORIGIN_PATH,
    ORIGIN_TTL_S,
    StreamOrigin,
    StreamOrigins,
)
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.software_history import SoftwareHistory, SoftwareSpan
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.world import Address
from tests.support.node import FakeFleet, build_target

SERVICE = "models"
START_WALL_S = 1_800_000_000.0


class Cluster:
    """Nodes that list the same targets; it is also the HTTP client of their calls."""

    def __init__(self, count):
        self.store = MemoryRowStore()
        self.dead = set()
        self.calls = []
        self.records = {
            f"n{n}": NodeRecord(
                f"n{n}", 1, "dc", Address("10.0.0.1", n), Address("10.0.0.2", n)
            )
            for n in range(count)
        }
        self.targets = {}
        self.registries = {}
        self.nodes = {}
        self.clients = {}
        # Nodes that reach no peer, and nodes that see no change of the list.
        self.cut_off = set()
        self.out_of_step = set()

    async def start(self, name):
        timeline = Timeline(name, lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(1))
        self.registries[name] = registry
        for record in self.targets.values():
            registry.put(record)
        self.nodes[name] = StreamOrigins(
            registry, PeerLink(self, name), timeline, Metrics(), wall_s
        )
        fleet = FakeFleet(name, self.records, self.dead)
        self.clients[name] = self.store.connect()
        await self.nodes[name].start(fleet, self.clients[name])

    async def kill(self, name):
        self.dead.add(name)
        await self.nodes[name].close()

    async def restart(self, name):
        await self.kill(name)
        self.dead.discard(name)
        await self.start(name)

    def list_target(self, name, software):
        self.targets[name] = build_target(
            name, SERVICE, versions={"m": 1}, software=software
        )
        for node in self.registries.keys() - self.out_of_step:
            self.registries[node].put(self.targets[name])

    def unlist_target(self, name):
        del self.targets[name]
        for registry in self.registries.values():
            registry.remove(name)

    def unlist_targets(self, *names):
        for name in names:
            self.unlist_target(name)

    async def request(self, origin, address, path, body, timeout_s):
        await asyncio.sleep(0.001)
        name = next(n for n, r in self.records.items() if r.peers == address)
        if name in self.dead:
            raise ConnectFailed(f"{name} is dead")
        if {origin, name} & self.cut_off:
            await asyncio.sleep(timeout_s)
            raise ConnectionLost(f"{name} does not answer {origin}")
        self.calls.append(path)
        answer = None
        if path == ORIGIN_PATH:
            self.nodes[name].accept(msgspec.msgpack.decode(body, type=StreamOrigin))
        elif path == FIND_ORIGIN_PATH:
            answer = self.nodes[name].answer(msgspec.msgpack.decode(body, type=str))
        return ClientResponse(200, {}, msgspec.msgpack.encode(answer))


class PeerLink:
    """The HTTP client of one node."""

    def __init__(self, cluster, name):
        self._cluster = cluster
        self._name = name

    async def request(self, address, method, path, *, body, timeout_s):
        return await self._cluster.request(self._name, address, path, body, timeout_s)


def wall_s():
    return START_WALL_S + asyncio.get_running_loop().time()


@pytest.fixture
def run_cluster(run):
    """Run a scenario with nodes before the targets t1 and t2 of software a."""

    def run_scenario(scenario, nodes=6, targets="aa"):
        async def main():
            cluster = Cluster(nodes)
            for number, software in enumerate(targets, 1):
                cluster.list_target(f"t{number}", software)
            for name in cluster.records:
                await cluster.start(name)
            await asyncio.sleep(2 * ORIGIN_TTL_S)
            try:
                return await scenario(cluster)
            finally:
                for name in cluster.nodes.keys() - cluster.dead:
                    await cluster.nodes[name].close()

        return run(main())

    return run_scenario


async def find(cluster, name, attempt_id, services=(SERVICE,)):
    """Return the software that a node finds for a stream, or None."""
    origin = await cluster.nodes[name].find(Resumption(attempt_id), services)
    return None if origin is None else origin.software


# The node that began the stream was killed, and another one resumed it by chance.
@pytest.mark.parametrize("software", ["a", "b"])
def test_any_node_finds_the_origin_after_the_serving_node_was_killed(
    run_cluster, software
):
    async def scenario(cluster):
        await cluster.nodes["n0"].record("s1", SERVICE, software)
        await cluster.kill("n0")
        others = sorted(cluster.nodes.keys() - cluster.dead)
        return [await find(cluster, name, "s1") for name in others]

    assert set(run_cluster(scenario, targets="ab")) == {software}


def test_attempt_that_resumed_a_stream_can_be_resumed_itself(run_cluster):
    async def scenario(cluster):
        await cluster.nodes["n0"].record("s1", SERVICE, "b")
        software = await find(cluster, "n1", "s1")
        await cluster.nodes["n1"].record("s2", SERVICE, software)
        await cluster.kill("n0")
        await cluster.kill("n1")
        return await find(cluster, "n2", "s2")

    assert run_cluster(scenario, targets="ab") == "b"


# A node that was cut off, or stood still, while a target of a new version joined took
# up a stream which had begun there through another node, and let it go on at the old
# version: the list that it had seen last had a single one.
@pytest.mark.parametrize("outage_s", [0.0, 1.0, 3.0, 6.0])
@pytest.mark.parametrize("serving_node", ["alive", "killed"])
@pytest.mark.parametrize("store", ["reached", "cut"])
def test_node_that_is_out_of_step_does_not_guess_the_old_version(
    run_cluster, outage_s, serving_node, store
):
    async def scenario(cluster):
        cluster.out_of_step.add("n1")
        cluster.cut_off.add("n1")
        cluster.clients["n1"].is_refused = store == "cut"
        await asyncio.sleep(outage_s / 2)
        cluster.list_target("t3", "b")
        await cluster.nodes["n0"].record("s1", SERVICE, "b")
        await asyncio.sleep(outage_s / 2)
        if serving_node == "killed":
            await cluster.kill("n0")
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) is None


# A node that stood still wakes with its old list; its peers answer again.
@pytest.mark.parametrize("frozen_s", [1.0, 4.0, 6.0])
def test_node_that_stood_still_asks_the_homes_of_a_stream(run_cluster, frozen_s):
    async def scenario(cluster):
        cluster.out_of_step.add("n1")
        cluster.list_target("t3", "b")
        await cluster.nodes["n0"].record("s1", SERVICE, "b")
        await asyncio.sleep(frozen_s)
        await cluster.kill("n0")
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) == "b"


# The homes were told nothing, as the serving node was cut off from them; it alone had
# seen the new version, and the others took the old one for the stream's.
@pytest.mark.parametrize("is_peer_known", [True, False])
def test_stream_of_a_new_version_that_no_home_can_be_told_of_does_not_begin(
    run_cluster, is_peer_known
):
    async def scenario(cluster):
        cluster.cut_off.add("n0")
        if not is_peer_known:
            cluster.nodes["n0"]._fleet.peers = list
        cluster.list_target("t3", "b")
        is_new_told = await cluster.nodes["n0"].record("s1", SERVICE, "b")
        is_old_told = await cluster.nodes["n0"].record("s2", SERVICE, "a")
        await cluster.kill("n0")
        await asyncio.sleep(2.0)
        return is_new_told, is_old_told, await find(cluster, "n1", "s2")

    # The others infer the old version, so a stream of it may begin.
    assert run_cluster(scenario) == (False, True, "a")


@pytest.mark.parametrize("is_cut_off", [True, False])
def test_streams_go_on_at_a_node_without_peers_while_there_is_a_single_version(
    run_cluster, is_cut_off
):
    """The store shows that no other version was served."""

    async def scenario(cluster):
        await cluster.nodes["n0"].record("s1", SERVICE, "a")
        if is_cut_off:
            cluster.cut_off.add("n1")
        else:
            for name in cluster.nodes.keys() - {"n1"}:
                await cluster.kill(name)
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) == "a"


@pytest.mark.parametrize("seed", range(5))
def test_most_streams_go_on_after_a_third_of_the_nodes_was_killed(run_cluster, seed):
    async def scenario(cluster):
        rng = random.Random(seed)
        names = sorted(cluster.nodes)
        for number in range(60):
            await cluster.nodes[rng.choice(names)].record(f"s{number}", SERVICE, "b")
        for name in rng.sample(names, 4):
            await cluster.restart(name)
        return [await find(cluster, rng.choice(names), f"s{n}") for n in range(60)]

    found = run_cluster(scenario, nodes=12, targets="ab")
    assert set(found) <= {"b", None}
    assert found.count("b") >= 0.9 * len(found)


def test_no_origin_is_told_while_a_service_has_a_single_version(run_cluster):
    async def scenario(cluster):
        await cluster.nodes["n0"].record("s1", SERVICE, "a")
        assert cluster.calls == []
        software = await find(cluster, "n1", "s1")
        return software, set(cluster.calls)

    assert run_cluster(scenario) == ("a", {FIND_ORIGIN_PATH})


def test_stream_from_before_the_second_version_is_known_by_inference(run_cluster):
    async def scenario(cluster):
        await cluster.nodes["n0"].record("s1", SERVICE, "a")
        cluster.list_target("t3", "b")
        await asyncio.sleep(3.0)
        await cluster.kill("n0")
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) == "a"


def test_origin_is_unknown_if_either_version_was_alone_lately(run_cluster):
    """The last target of the old version has left, and no home knows the stream."""

    async def scenario(cluster):
        cluster.list_target("t3", "b")
        await asyncio.sleep(3.0)
        cluster.unlist_target("t1")
        cluster.unlist_target("t2")
        await asyncio.sleep(3.0)
        early = await find(cluster, "n1", "s1")
        await asyncio.sleep(ORIGIN_TTL_S)
        return early, await find(cluster, "n1", "s1")

    assert run_cluster(scenario) == (None, "b")


# A home that had just started did not know the stream, which was taken as untold.
def test_homes_that_started_lately_do_not_prove_that_no_origin_was_told(run_cluster):
    async def scenario(cluster):
        cluster.list_target("t3", "b")
        await asyncio.sleep(3.0)
        await cluster.nodes["n0"].record("s1", SERVICE, "b")
        for name in ("n1", "n2", "n3", "n4", "n5", "n0"):
            await cluster.restart(name)
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) is None


@pytest.mark.parametrize("second", [None, "b"])
def test_nodes_that_all_start_anew_know_the_versions_of_before(run_cluster, second):
    """With one version streams go on; with two it is not guessed."""

    async def scenario(cluster):
        if second:
            cluster.list_target("t3", second)
            await asyncio.sleep(5.0)
            cluster.unlist_target("t3")
            await asyncio.sleep(5.0)
        for name in list(cluster.nodes):
            await cluster.kill(name)
        for name in list(cluster.nodes):
            cluster.dead.discard(name)
            await cluster.start(name)
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) == (None if second else "a")


# After a kill of all nodes the first one that was back knew no peer, and took the
# version that had once been alone for the one that began the stream.
@pytest.mark.parametrize("leaves_s", [None, -1.0, 0.0, 1.0])
@pytest.mark.parametrize("kills", [1, 2])
def test_node_that_knows_no_peer_after_a_kill_of_all_does_not_guess(
    run_cluster, kills, leaves_s
):
    """The old version's targets leave `leaves_s` after the kill, or not at all."""

    async def scenario(cluster):
        cluster.list_target("t3", "b")
        await asyncio.sleep(5.0)
        await cluster.nodes["n0"].record("s1", SERVICE, "b")
        if leaves_s is not None and leaves_s <= 0.0:
            cluster.unlist_targets("t1", "t2")
            await asyncio.sleep(-leaves_s)
        for _ in range(kills):
            for name in list(cluster.nodes):
                await cluster.kill(name)
            cluster.dead.discard("n1")
            await cluster.start("n1")
        if leaves_s is not None and leaves_s > 0.0:
            await asyncio.sleep(leaves_s)
            cluster.unlist_targets("t1", "t2")
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) is None


# A version that came and went within a moment around the kill was not in the store.
@pytest.mark.parametrize("slow_s", [0.0, 0.1])
def test_version_whose_first_stream_was_served_is_known_after_a_kill_of_all(
    run_cluster, slow_s
):
    async def scenario(cluster):
        cluster.list_target("t3", "b")
        await asyncio.sleep(slow_s)
        await cluster.nodes["n0"].record("s1", SERVICE, "b")
        for name in list(cluster.nodes):
            await cluster.kill(name)
        cluster.unlist_target("t3")
        for name in list(cluster.nodes):
            cluster.dead.discard(name)
            await cluster.start(name)
        await asyncio.sleep(1.0)
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) is None


# The serving node had just listed the new version, and the resuming one not yet.
def test_homes_are_asked_before_a_single_version_is_taken_for_the_origin(run_cluster):
    async def scenario(cluster):
        cluster.registries["n0"].put(
            build_target("t3", SERVICE, versions={"m": 1}, software="b")
        )
        await cluster.nodes["n0"].record("s1", SERVICE, "b")
        await cluster.kill("n0")
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) == "b"


def test_list_that_is_not_current_is_not_trusted(run_cluster):
    """The serving node knows of the second version, the resuming one does not."""

    async def scenario(cluster):
        for name in cluster.nodes.keys() - {"n0"}:
            cluster.registries[name].is_list_current = lambda: False
        cluster.registries["n0"].put(
            build_target("t3", SERVICE, versions={"m": 1}, software="b")
        )
        await cluster.nodes["n0"].record("s1", SERVICE, "b")
        return await find(cluster, "n1", "s1")

    assert run_cluster(scenario) == "b"


def test_versions_of_several_services_say_nothing_about_a_stream(run_cluster):
    async def scenario(cluster):
        return await find(cluster, "n1", "s1", (SERVICE, "other"))

    assert run_cluster(scenario) is None


@pytest.mark.parametrize(
    ("spans", "sole"),
    [
        ([("a", 0, 50)], "a"),
        ([("a", 0, 50), ("b", 30, 50)], "a"),
        ([("a", 0, 30), ("b", 0, 50)], "b"),
        ([("a", 0, 30), ("b", 20, 50)], None),
        ([("a", 0, 50), ("b", 0, 50)], None),
    ],
)
def test_sole_version_is_the_only_one_that_was_ever_alone(spans, sole):
    history = SoftwareHistory()
    for software, first_s, last_s in spans:
        history.merge(SoftwareSpan(SERVICE, software, first_s, last_s))
    assert history.find_sole(SERVICE, 0.0) == sole
