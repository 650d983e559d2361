"""A node's copies of the store's tables while other writers leave odd rows there."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from tamarackshelf.node.configuration_view import ConfigurationView
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.platform.row_handlers import build_platform_tables
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import (
    NODE_TABLE,
    UNKNOWN_HOLDER,
    NodeRecord,
    acquire_lease,
    read_lease,
    register_node,
)
from tamarackshelf.store.table_watch import TableWatch
from tamarackshelf.world import Address
from tests.platform.test_records import CONFIGURATION, WORKER
from tests.support.odd_input import ODD_BYTES, list_edited

ODD_WORKERS = [*ODD_BYTES, *map(msgspec.json.encode, list_edited(WORKER))]
ODD_CONFIGURATIONS = [*ODD_BYTES, *map(msgspec.json.encode, list_edited(CONFIGURATION))]
VERSION = {"model": "m", "version": 4}
ODD_VERSIONS = [*ODD_BYTES, *map(msgspec.json.encode, list_edited(VERSION))]


class RecordedVersions:
    """Stand-in for WeightCoordinator that keeps what was announced."""

    def __init__(self):
        self.announced = {}

    def record_announced_version(self, model, version):
        self.announced[model] = version


class Follower:
    """The tables of one node, followed by the platform's listeners."""

    def __init__(self, store):
        self.timeline = Timeline("n", lambda: 0)
        self.store = FailoverStore(store.connect(), self.timeline)
        self.registry = TargetRegistry(
            self.timeline, lambda: float("-inf"), random.Random(1)
        )
        self.view = ConfigurationView(self.timeline)
        self.versions = RecordedVersions()
        self.metrics = Metrics()
        tables = build_platform_tables(self.metrics, checks_fencing=True)
        self.watches = [
            self._watch(
                tables.targets_table, tables.build_target_listener(self.registry)
            ),
            self._watch(
                tables.operator_table,
                tables.build_operator_listener(self.view, self.versions),
            ),
        ]

    def _watch(self, table, listener):
        watch = TableWatch(self.store, table, self.timeline, has_parts=False)
        watch.on_change(listener)
        return watch

    async def start(self):
        for watch in self.watches:
            await watch.start()

    def list_names(self):
        return {target.name for target in self.registry.list_all()}


def put_worker(store, name, **changes):
    store.put("servers", name, msgspec.json.encode({**WORKER, **changes}))


# A row that could not be decoded ended the task that follows the list, which read the
# same row again after each restart: the node saw no change any more.
@pytest.mark.parametrize("is_there_at_start", [True, False])
def test_node_follows_the_tables_past_odd_rows(run, is_there_at_start):
    async def scenario():
        store = MemoryRowStore()
        follower = Follower(store)
        put_worker(store, "i-0")
        if not is_there_at_start:
            await follower.start()
            await asyncio.sleep(1.0)
        for number, value in enumerate(ODD_WORKERS):
            store.put("servers", f"odd-{number:04d}", value)
        for value in ODD_CONFIGURATIONS:
            store.put("op", "config", value)
        for number, value in enumerate(ODD_VERSIONS):
            store.put("op", f"version/odd-{number}", value)
        put_worker(store, "z-1")
        store.put("op", "version/good", msgspec.json.encode({**VERSION, "model": "z"}))
        newest = {**CONFIGURATION, "version": 2**40}
        store.put("op", "config", msgspec.json.encode(newest))
        if is_there_at_start:
            await follower.start()
        await asyncio.sleep(1.0)
        assert {"i-0", "z-1"} <= follower.list_names()
        assert follower.versions.announced["z"] == 4
        assert follower.view.configuration.version == 2**40
        # Later changes arrive at once, not after restarts of the tasks.
        put_worker(store, "z-2")
        await asyncio.sleep(0.1)
        assert "z-2" in follower.list_names()

    run(scenario())


def test_listed_targets_are_fit_to_be_called_and_told_to_peers(run):
    async def scenario():
        store = MemoryRowStore()
        follower = Follower(store)
        for number, value in enumerate(ODD_WORKERS):
            store.put("servers", f"odd-{number:04d}", value)
        for key in ("", "a\nb", "ü", "x y\r\nz: 1"):
            put_worker(store, key)
        await follower.start()
        await asyncio.sleep(1.0)
        for target in follower.registry.list_all():
            record = follower.registry.get(target.name).record
            msgspec.msgpack.encode(record)
            assert 1 <= target.address.port <= 65535
            assert 1 <= target.concurrency <= 10_000
            assert 0 <= target.incarnation < 2**53
            assert target.name.isascii() and target.name.isprintable() and target.name
            for text in (target.service, target.data_centre, target.software):
                assert len(text.encode()) <= 200
            assert all(0 <= v < 2**53 for v in record.versions.values())

    run(scenario())


def test_worker_whose_row_turns_odd_gets_no_new_work_until_its_row_is_good(run):
    async def scenario():
        store = MemoryRowStore()
        follower = Follower(store)
        put_worker(store, "i-0")
        put_worker(store, "i-1")
        await follower.start()
        await asyncio.sleep(0.5)
        store.put("servers", "i-0", ODD_BYTES[-2])
        await asyncio.sleep(0.5)
        assert follower.list_names() == {"i-1"}
        put_worker(store, "i-0")
        await asyncio.sleep(0.5)
        assert follower.list_names() == {"i-0", "i-1"}

    run(scenario())


def test_row_that_fails_in_a_listener_costs_only_itself(run):
    async def scenario():
        store = MemoryRowStore()
        watch = TableWatch(
            store.connect(), "t", Timeline("n", lambda: 0), has_parts=False
        )
        seen = []

        def listen(changes):
            seen.extend(int(change.value) for change in changes)

        watch.on_change(listen)
        for key, value in (("a", b"1"), ("b", b"x"), ("c", b"2")):
            store.put("t", key, value)
        await watch.start()
        await asyncio.sleep(0.5)
        store.put("t", "d", b"y")
        store.put("t", "e", b"3")
        await asyncio.sleep(0.1)
        assert set(seen) == {1, 2, 3}

    run(scenario())


# An unreadable row under the node's own name ended the node at each of its starts.
@pytest.mark.parametrize("value", ODD_BYTES)
def test_node_registers_over_an_unreadable_row_of_its_own(run, value):
    async def scenario():
        store = MemoryRowStore()
        store.put(NODE_TABLE, "n", value)
        address = Address("10.0.0.1", 1)
        record = await register_node(
            store.connect(), NodeRecord("n", 1, "dc", address, address)
        )
        assert record.incarnation > 1

    run(scenario())


# Targets that check fencing numbers refuse a number below one that they have seen.
@pytest.mark.parametrize("value", ODD_BYTES)
def test_unreadable_lease_is_taken_with_a_higher_fencing_number(run, value):
    async def scenario():
        store = MemoryRowStore()
        client = store.connect()
        lease = await acquire_lease(
            client, "weights", await read_lease(client, "weights"), "a", 1
        )
        for _ in range(5):
            lease = await acquire_lease(client, "weights", lease, "a", 1)
        store.put("lease", "weights", value)
        unreadable = await read_lease(client, "weights")
        # Its holder may act until the lease runs out, so that the next one waits.
        assert unreadable.record.holder == UNKNOWN_HOLDER
        after = await acquire_lease(client, "weights", unreadable, "b", 1)
        assert after.record.fencing_number > lease.record.fencing_number

    run(scenario())
