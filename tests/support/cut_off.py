"""Nodes before plain targets; some nodes can lose the paths to all targets.

The nodes call targets and each other on an in-memory network and a virtual clock.
"""

from __future__ import annotations

import asyncio
import random

from tamarackshelf.contracts.targets import ForwardedRequest
from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.errors import ShelfError
from tamarackshelf.net import ConnectFailed, ConnectRefused, Request, Response
from tamarackshelf.node.leaving_targets import LeavingTargets
from tamarackshelf.node.target_paths import TargetPaths
from tamarackshelf.node.target_relay import TargetRelay
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.platform.target_client import PlatformTargetClient
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.store.fleet_rows import NodeRecord
from tests.support.memory import MemoryHttp, Network, new_address
from tests.support.node import (
    HOST,
    FakeFleet,
    build_configuration,
    build_quarantine,
    build_target,
)

RUN_S = 0.04
CONNECT_TIMEOUT_S = 0.2
GOSSIP_S = 0.3
PATH = "/score/x"


class OpenGate:
    """CallGate without limits."""

    def is_limited(self, target):
        return False

    async def admit(self, target, kind):
        return 0.0

    def record_response(self, target, limit, sent_at_s):
        """Do nothing; no target names a limit."""


class FakeGossip:
    """Stand-in for GossipTask; rumours reach the other nodes after GOSSIP_S.

    `newest` holds the version of the newest rumour by subject, for all nodes.
    """

    def __init__(self, listeners, newest):
        self._listeners = listeners
        self._newest = newest

    def on_rumour(self, prefix, listener):
        self._listeners.append((prefix, listener))

    def publish(self, rumour):
        if self._newest.get(rumour.subject, -1) >= rumour.version:
            return
        self._newest[rumour.subject] = rumour.version
        loop = asyncio.get_running_loop()
        for prefix, listener in self._listeners:
            if rumour.subject.startswith(prefix):
                loop.call_later(GOSSIP_S, listener, rumour)


class CutOffNode:
    """The parts of one node that forward requests."""

    def __init__(self, name, cluster):
        self.name = name
        self.timeline = Timeline(name, lambda: 0)
        self.registry = TargetRegistry(
            self.timeline, lambda: float("-inf"), random.Random(name)
        )
        for record in cluster.targets.values():
            self.registry.put(record)
        self.fleet = FakeFleet(name, cluster.records, cluster.dead)
        self.fleet.gossip = FakeGossip(cluster.rumour_listeners, cluster.newest_rumours)
        self.http = http = MemoryHttp(cluster.network, name)
        metrics = Metrics()
        self.paths = TargetPaths(http, http, self.timeline, metrics, cluster.wall_ms)
        self.target_client = PlatformTargetClient(self.paths, OpenGate())
        self.leaving_targets = LeavingTargets(self.registry)
        self.target_client.on_leaving = self.leaving_targets.record
        self.relay = TargetRelay(
            self.registry,
            self.paths.open_direct,
            self.paths.verify_cut_off,
            self.target_client.observe_response,
            self.timeline,
            metrics,
        )
        cluster.network.add(self.relay.answer, cluster.records[name].peers)
        self.forwarder = Forwarder(
            self.registry,
            self.target_client,
            build_quarantine(self.registry, self.target_client, name),
            "dc",
            self.timeline,
            Metrics(),
        )

    async def start(self):
        self.paths.connect(self.fleet, self.registry)
        self.leaving_targets.connect(self.fleet)

    async def stop(self):
        await self.paths.close()

    async def send(self, request_id, path=PATH, timeout_s=1.5):
        """Forward a caller's request and return its status, or its error's status."""
        route = RouteTable(build_configuration()).find(HOST, path)
        http = Request("POST", path, "", {"x-request-id": request_id}, b"body")
        request = ForwardedRequest(request_id, HOST, http)
        try:
            response = await self.forwarder.forward(request, route, timeout_s)
        except ShelfError as error:
            return error.status
        return response.http.status


class CutOffCluster:
    """Nodes that reach each other, and targets that the nodes in `cut` do not reach.

    With `refuses`, connections of such nodes are refused; otherwise they hang.
    `arrivals` holds the node, the target and the request id of each request at a
    target.
    """

    def __init__(self, nodes="abcde", targets=3, *, refuses=False):
        self.network = Network()
        self.network.before.append(self._check_path)
        self.cut = set()
        self.dead = set()
        self.refuses = refuses
        # Targets that say in their answers that they leave, and that refuse requests.
        self.leaving = set()
        self.refusing = set()
        self.arrivals = []
        self.rumour_listeners = []
        self.newest_rumours = {}
        self.clock_offset_ms = 0
        self.records = {
            name: NodeRecord(name, 1, "dc", new_address(), new_address())
            for name in nodes
        }
        names = [f"t{n + 1}" for n in range(targets)]
        self.targets = {name: build_target(name, "app") for name in names}
        self._targets_by_address = {
            record.target.address: name for name, record in self.targets.items()
        }
        for name, record in self.targets.items():
            self.network.add(self._build_handler(name), record.target.address)
        self.nodes = {name: CutOffNode(name, self) for name in nodes}

    async def start(self):
        for node in self.nodes.values():
            await node.start()

    async def stop(self):
        for node in self.nodes.values():
            await node.stop()

    def wall_ms(self):
        return int(asyncio.get_running_loop().time() * 1000) + self.clock_offset_ms

    def is_target(self, address):
        return address in self._targets_by_address

    async def _check_path(self, origin, address, path):
        if not self.is_target(address):
            return
        if origin not in self.cut:
            return
        if self.refuses:
            raise ConnectRefused(f"{address} refuses the connection")
        await asyncio.sleep(CONNECT_TIMEOUT_S)
        raise ConnectFailed(f"cannot connect to {address}")

    def _build_handler(self, name):
        async def serve(request):
            request_id = request.headers["x-request-id"]
            await asyncio.sleep(RUN_S)
            headers = {"x-request-id": request_id}
            if name in self.leaving:
                headers["server-leaving"] = "1"
            self.arrivals.append((name, request_id))
            if name in self.refusing:
                return Response(503, headers={**headers, "x-not-run": "1"})
            headers["x-server-stamp"] = name
            return Response(200, b"ok", headers=headers)

        return serve


__all__ = ["CutOffCluster", "CutOffNode"]
