"""Nodes before plain targets; some nodes can lose the paths to all targets.

The nodes call targets and each other on an in-memory network and a virtual clock.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import replace

from tamarackshelf.contracts.targets import ForwardedRequest
from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.errors import ShelfError
from tamarackshelf.net import ConnectFailed, ConnectRefused, Request, Response
from tamarackshelf.node.leaving_targets import LeavingTargets
from tamarackshelf.node.peer_api import PeerApi
from tamarackshelf.node.quarantine import RequestQuarantine
from tamarackshelf.node.quarantine_peers import FleetQuarantinePeers
from tamarackshelf.node.target_paths import TargetPaths
from tamarackshelf.node.target_relay import TargetRelay
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.platform.target_client import PlatformTargetClient
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.crash_rows import CRASH_TABLE
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.store.table_watch import TableWatch
from tests.support.memory import MemoryHttp, Network, new_address
from tests.support.node import (
    HOST,
    FakeFleet,
    build_configuration,
    build_target,
)

# A request with this body crashes the target that runs it.
CRASHING = b"crash"
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
        self.target_client.on_load = self.registry.record_load
        self.relay = TargetRelay(
            self.registry,
            self.paths.open_direct,
            self.paths.verify_cut_off,
            self.paths.judge,
            self.target_client.observe_response,
            self.timeline,
            metrics,
        )
        self.store = cluster.store.connect()
        self._watch = TableWatch(self.store, CRASH_TABLE, self.timeline, has_parts=True)
        self.quarantine = RequestQuarantine(
            name, self.registry, self.target_client, self.timeline, metrics, _wall_s
        )
        # The parts of a node that these tests do not use are left out.
        api = PeerApi(None, None, None, self.quarantine, None, self.relay, lambda: None)
        cluster.network.add(api.handle, cluster.records[name].peers)
        self.forwarder = Forwarder(
            self.registry,
            self.target_client,
            self.quarantine,
            "dc",
            self.timeline,
            Metrics(),
        )

    async def start(self):
        self.paths.connect(self.fleet, self.registry)
        self.leaving_targets.connect(self.fleet)
        peers = FleetQuarantinePeers(self.fleet, self.http, self.timeline)
        await self._watch.start()
        await self.quarantine.start(self.fleet, peers, self.store, self._watch)

    async def stop(self):
        await self.quarantine.close()
        await self._watch.close()
        await self.paths.close()

    async def send(self, request_id, path=PATH, timeout_s=1.5, body=b"body"):
        """Forward a caller's request and return its status, or its error's status."""
        route = RouteTable(build_configuration()).find(HOST, path)
        http = Request("POST", path, "", {"x-request-id": request_id}, body)
        request = ForwardedRequest(request_id, HOST, http)
        try:
            response = await self.forwarder.forward(request, route, timeout_s)
        except ShelfError as error:
            return error.status
        return response.http.status


class CutOffCluster:
    """Nodes that reach each other, and targets that the nodes in `cut` do not reach.

    With `refuses`, connections of such nodes are refused; otherwise they hang. The
    targets are those of the service "app"; with `engines`, another service has targets.
    `arrivals` holds the node, the target and the request id of each request at a
    target, `crashes_s` and `crashing_runs_s` the times of those that crash it.

    A crashed target comes back `restart_s` later: with its name and a new incarnation,
    or with `renames` under another name at the same address, while the row of the
    crashed one lives until `unlisted_s` after its end.
    """

    def __init__(
        self,
        nodes="abcde",
        targets=3,
        *,
        refuses=False,
        engines=0,
        restart_s=3.7,
        renames=False,
        unlisted_s=4.0,
    ):
        self.store = MemoryRowStore()
        self.crashes_s = []
        self.crashing_runs_s = []
        self._restart_s = restart_s
        self._renames = renames
        self._unlisted_s = unlisted_s
        self._restarts = set()
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
        for n in range(engines):
            name = f"e{100 + n}"
            self.targets[name] = build_target(name, "models", versions={"m": 1})
        self._target_numbers = itertools.count(200)
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

    async def _restart(self, name):
        """Crash a target, start it again later and list it then."""
        record = self.targets[name]
        address = record.target.address
        self.network.remove(address)
        if not self._renames:
            await asyncio.sleep(self._restart_s)
            incarnation = record.target.incarnation + 1
            self._list(name, replace(record.target, incarnation=incarnation))
            return
        unlisting = asyncio.get_running_loop().create_task(self._unlist_later(name))
        self._restarts.add(unlisting)
        await asyncio.sleep(self._restart_s)
        new_name = f"t{next(self._target_numbers)}"
        incarnation = record.target.incarnation + 1
        self._list(
            new_name, replace(record.target, name=new_name, incarnation=incarnation)
        )

    def _list(self, name, target):
        self.targets[name] = replace(
            self.targets.get(name, build_target(name, "app")), target=target
        )
        self.network.add(self._build_handler(name), target.address)
        for node in self.nodes.values():
            node.registry.put(self.targets[name])

    async def _unlist_later(self, name):
        await asyncio.sleep(self._unlisted_s)
        for node in self.nodes.values():
            node.registry.remove(name)

    def _build_handler(self, name):
        async def serve(request):
            request_id = request.headers["x-request-id"]
            if request.headers.get("x-expect-instance", name) != name:
                return Response(421, headers={"x-request-id": request_id})
            if request.body == CRASHING:
                self.crashing_runs_s.append(_now_s())
            await asyncio.sleep(RUN_S)
            if request.body == CRASHING:
                self.crashes_s.append(_now_s())
                restart = asyncio.get_running_loop().create_task(self._restart(name))
                self._restarts.add(restart)
                # The connection ends without an answer.
                await asyncio.Event().wait()
            headers = {"x-request-id": request_id}
            if name in self.leaving:
                headers["server-leaving"] = "1"
            self.arrivals.append((name, request_id))
            if name in self.refusing:
                return Response(503, headers={**headers, "x-not-run": "1"})
            headers["x-server-stamp"] = name
            return Response(200, b"ok", headers=headers)

        return serve


def run_cluster(run, scenario, **options):
    """Run a scenario with a cluster whose nodes have started."""

    async def main():
        cluster = CutOffCluster(**options)
        await cluster.start()
        await asyncio.sleep(1.0)
        try:
            return await scenario(cluster)
        finally:
            await cluster.stop()

    return run(main())


def _now_s():
    return asyncio.get_running_loop().time()


def _wall_s():
    return 1_800_000_000.0 + _now_s()


__all__ = ["CRASHING", "CutOffCluster", "CutOffNode", "run_cluster"]
