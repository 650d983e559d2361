"""What a node's calls to a row store that is away cost, and how soon it is back.

On a day of a large fleet the store refused all nodes for six seconds. Each node asked
two peers for every call of its five feeds, and each of them asked the store: a node
took twenty times the processor time of a calm second, and the day did not end in time.
"""

from __future__ import annotations

import asyncio

from tamarackshelf.contracts.rows import StoreRefused
from tamarackshelf.observe import Timeline
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.table_watch import TableWatch

TABLES = ("op", "servers", "node", "job", "crash")
OUTAGE_S = 10.0


class Node:
    """A node that follows its tables, with two peers that relay its calls."""

    def __init__(self, store, tables=TABLES):
        self.own, self.peer, self.other_peer = (store.connect() for _ in range(3))
        self.timeline = Timeline("n", lambda: 0)
        self.store = FailoverStore(self.own, self.timeline)
        self.store.set_peer_source(lambda: [self.peer, self.other_peer])
        self.watches = [
            TableWatch(self.store, table, self.timeline, has_parts=False)
            for table in tables
        ]

    async def start(self):
        for watch in self.watches:
            await watch.start()

    def count_peer_calls(self):
        return self.peer.calls + self.other_peer.calls

    def count_events(self, kind):
        return sum(event.kind == kind for event in self.timeline.page().events)


def test_peers_are_asked_seldom_while_the_store_refuses_all_nodes(run):
    async def scenario():
        store = MemoryRowStore()
        node = Node(store)
        await node.start()
        await asyncio.sleep(2.0)
        store.is_down = True
        await asyncio.sleep(2.0)
        before, events = node.count_peer_calls(), node.count_events("feed_failed")
        await asyncio.sleep(OUTAGE_S)
        # Both peers once a second, and as many calls for each message as before.
        assert node.count_peer_calls() - before <= 2 * OUTAGE_S + 2
        assert node.count_events("feed_failed") == events

    run(scenario())


def test_node_follows_its_tables_soon_after_the_store_is_back(run):
    async def scenario():
        store = MemoryRowStore()
        node = Node(store)
        await node.start()
        store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        store.is_down = False
        for table in TABLES:
            store.put(table, "k", b"v")
        await asyncio.sleep(0.3)
        assert all(watch.rows for watch in node.watches)

    run(scenario())


def test_node_that_alone_is_refused_follows_its_tables_through_peers(run):
    async def scenario():
        store = MemoryRowStore()
        node = Node(store)
        await node.start()
        node.own.is_refused = True
        await asyncio.sleep(1.0)
        for number in range(20):
            store.put("servers", f"k{number}", b"v")
            await asyncio.sleep(0.5)
            assert len(node.watches[1].rows) == number + 1

    run(scenario())


def test_node_refused_alone_after_an_outage_asks_peers_again_within_a_second(run):
    async def scenario():
        store = MemoryRowStore()
        node = Node(store)
        await node.start()
        store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        node.own.is_refused = True
        store.is_down = False
        store.put("servers", "k", b"v")
        await asyncio.sleep(1.3)
        assert node.watches[1].rows

    run(scenario())


def test_call_that_peers_are_not_asked_for_is_refused_and_not_unknown(run):
    async def scenario():
        store = MemoryRowStore()
        node = Node(store, tables=("op",))
        await node.start()
        store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        for _ in range(20):
            try:
                await node.store.list_parts("op")
            except StoreRefused:
                continue
            raise AssertionError("the call did not fail")

    run(scenario())
