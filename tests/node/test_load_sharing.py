"""Two nodes tell each other their requests at engines on their probes."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from tamarackshelf.contracts.targets import TargetLoad
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.load_sharing import share_loads
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Timeline
from tamarackshelf.store.fleet_rows import NodeRecord
from tests.conftest import find_free_address
from tests.node.test_fleet import build_watch
from tests.support.memory import MemoryHttp, Network
from tests.support.node import build_target


class Node:
    """A node's gossip and registry, with one engine."""

    def __init__(self, records, number, slowdown):
        own = records[number]
        others = [record for record in records if record is not own]
        timeline = Timeline(own.vm, lambda: 0)
        self.registry = TargetRegistry(timeline, lambda: -1e9, random.Random(1))
        record = build_target("t1", "models", places=6, versions={"m": 1})
        self.registry.put(record)
        load = TargetLoad(None, None, 6, slowdown)
        self.registry.record_load(record.target, load, has_ended=False)
        settings = SimpleNamespace(peer_address=own.peers)
        http = MemoryHttp(Network(), own.vm)
        self.fleet = Fleet(
            settings, own, build_watch(others), http, timeline, lambda: 0
        )
        self.datagrams = []
        share_loads(self.fleet, self.registry, 0)
        receive = self.fleet.gossip.receive_loads
        self.fleet.gossip.receive_loads = lambda loads: (
            self.datagrams.append(loads),
            receive(loads),
        )

    def count_in_use(self):
        return self.registry.list_engine_candidates("models", "m")[0].in_use


@pytest.mark.parametrize(("slowdown", "in_use"), [(1.0, 5), (None, 0)])
def test_requests_at_an_engine_are_known_to_the_other_node(slowdown, in_use):
    """An engine filled by one node looked idle to all others.

    Without reported slowdowns nothing is told, as in earlier releases.
    """

    async def scenario():
        addresses = [find_free_address() for _ in range(2)]
        records = [
            NodeRecord(f"n{n}", 1, "dc", address, address)
            for n, address in enumerate(addresses)
        ]
        first, second = (Node(records, n, slowdown) for n in range(2))
        first.registry.get("t1").in_flight = 5
        await first.fleet.start()
        await second.fleet.start()
        try:
            async with asyncio.timeout(10.0):
                while first.fleet.gossip.link.received_bytes == 0:
                    await asyncio.sleep(0.01)
                while in_use and not second.datagrams:
                    await asyncio.sleep(0.01)
            assert second.count_in_use() == in_use
            assert bool(second.datagrams) == bool(in_use)
        finally:
            await first.fleet.close()
            await second.fleet.close()

    asyncio.run(scenario())
