"""Nodes before plain targets that crash, on one row store and a virtual clock."""

from __future__ import annotations

import asyncio
import random

import msgspec

from tamarackshelf.contracts.targets import (
    ConnectionBroken,
    ForwardedRequest,
    NotRun,
    TargetResponse,
)
from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.errors import ShelfError
from tamarackshelf.net import ClientResponse, ConnectFailed, Request
from tamarackshelf.node.quarantine import RequestQuarantine
from tamarackshelf.node.quarantine_peers import (
    CRASH_PATH,
    ISOLATE_PATH,
    RELEASE_PATH,
    FleetQuarantinePeers,
)
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.peers.isolation import IsolationRelease, IsolationRequest
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.store.crash_rows import CRASH_TABLE
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.store.table_watch import TableWatch
from tamarackshelf.world import Address
from tests.support.node import HOST, FakeFleet, build_configuration, build_target

CRASHING = b"crash"
RUN_S = 0.04
RESTART_S = 3.7
PATH = "/score/x"
START_WALL_S = 1_800_000_000.0


class CrashingTargets:
    """Targets of one service, and the client by which nodes call them.

    A request with the body CRASHING crashes its target, which restarts after RESTART_S
    as another incarnation. `crash_times_s` and `run_times_s` are of such requests.
    """

    def __init__(self, names):
        self.incarnations = dict.fromkeys(names, 1)
        self.dead = set()
        self.crash_times_s = []
        self.run_times_s = []
        self.on_restart = lambda name, incarnation: None
        self.fewest_alive = len(names)
        self._in_flight = {name: set() for name in names}
        self._restarts = set()

    async def forward(self, target, request, timeout_s, *, at_most_once):
        name = target.name
        if not self._is_running(target):
            raise NotRun("cannot connect")
        ended = asyncio.get_running_loop().create_future()
        self._in_flight[name].add(ended)
        is_crashing = request.http.body.startswith(CRASHING)
        if is_crashing:
            self.run_times_s.append(_now_s())
        try:
            await asyncio.wait([ended], timeout=RUN_S)
            if ended.done():
                raise ConnectionBroken(f"{name} closed the connection")
            if is_crashing:
                self.crash_times_s.append(_now_s())
                self.crash(name)
                raise ConnectionBroken(f"{name} closed the connection")
            response = ClientResponse(200, {}, request.http.body)
            return TargetResponse(response, is_signed=True)
        finally:
            self._in_flight[name].discard(ended)

    async def has_ended(self, target):
        return not self._is_running(target)

    def crash(self, name):
        """Crash a target with all that is in flight there; it restarts later."""
        if name in self.dead:
            return
        self.dead.add(name)
        self.fewest_alive = min(
            self.fewest_alive, len(self.incarnations) - len(self.dead)
        )
        for ended in self._in_flight[name]:
            if not ended.done():
                ended.set_result(None)
        task = asyncio.get_running_loop().create_task(self._restart(name))
        self._restarts.add(task)

    async def _restart(self, name):
        await asyncio.sleep(RESTART_S)
        self.dead.discard(name)
        self.incarnations[name] += 1
        self.on_restart(name, self.incarnations[name])

    def _is_running(self, target):
        is_same = self.incarnations[target.name] == target.incarnation
        return is_same and target.name not in self.dead


class CrashNode:
    """The parts of one node that forward requests."""

    def __init__(self, name, cluster):
        self.name = name
        self.timeline = Timeline(name, lambda: 0)
        self.store = cluster.store.connect()
        self.registry = TargetRegistry(
            self.timeline, lambda: float("-inf"), random.Random(name)
        )
        for target, incarnation in cluster.targets.incarnations.items():
            self.registry.put(build_target(target, "app", incarnation=incarnation))
        self.quarantine = RequestQuarantine(
            name,
            self.registry,
            cluster.targets,
            self.timeline,
            Metrics(),
            lambda: START_WALL_S + _now_s(),
        )
        self.forwarder = Forwarder(
            self.registry,
            cluster.targets,
            self.quarantine,
            "dc",
            self.timeline,
            Metrics(),
        )
        self._cluster = cluster
        self._watch = TableWatch(self.store, CRASH_TABLE, self.timeline, has_parts=True)
        self._route = RouteTable(build_configuration()).find(HOST, PATH)

    async def start(self):
        cluster = self._cluster
        fleet = FakeFleet(self.name, cluster.records, cluster.dead)
        peers = FleetQuarantinePeers(fleet, cluster, self.timeline)
        await self._watch.start()
        await self.quarantine.start(fleet, peers, self.store, self._watch)

    async def stop(self):
        await self.quarantine.close()
        await self._watch.close()

    async def send(self, body=CRASHING, path=PATH, caller="", request_id="r"):
        """Send a request to this node; return its response or its error."""
        http = Request("POST", path, body=body)
        request = ForwardedRequest(request_id, HOST, http, caller)
        try:
            return await self.forwarder.forward(request, self._route, 1.5)
        except ShelfError as error:
            return error

    def classify(self, body=CRASHING, path=PATH, caller=""):
        http = Request("POST", path, body=body)
        return self.quarantine.classify(ForwardedRequest("q", HOST, http, caller))

    def list_events(self, kind):
        return [e for e in self.timeline.page().events if e.kind == kind]


class CrashCluster:
    """Nodes before targets; it is also the HTTP client of the nodes' calls."""

    def __init__(self, store, nodes=4, targets=("t1", "t2", "t3")):
        self.store = store
        self.targets = CrashingTargets(targets)
        self.targets.on_restart = self._list_restarted
        self.dead = set()
        # Nodes that give no answers to their peers.
        self.silent = set()
        self.records = {
            f"n{n}": NodeRecord(
                f"n{n}", 1, "dc", Address("10.0.0.1", n), Address("10.0.0.2", n)
            )
            for n in range(nodes)
        }
        self.nodes = {name: CrashNode(name, self) for name in self.records}

    async def start(self):
        for node in self.nodes.values():
            await node.start()

    async def restart(self, name):
        """Replace a node by a new process, which knows only what it reads."""
        await self.nodes[name].stop()
        self.nodes[name] = CrashNode(name, self)
        await self.nodes[name].start()

    async def kill(self, name):
        self.dead.add(name)
        await self.nodes[name].stop()

    async def stop(self):
        for name in self.nodes.keys() - self.dead:
            await self.nodes[name].stop()

    async def request(self, address, method, path, *, body, timeout_s):
        await asyncio.sleep(0.001)
        name = next(n for n, r in self.records.items() if r.peers == address)
        if name in self.dead:
            raise ConnectFailed(f"{name} is dead")
        if name in self.silent:
            await asyncio.sleep(timeout_s)
            raise ConnectFailed(f"{name} does not answer")
        quarantine = self.nodes[name].quarantine
        answer = None
        if path == CRASH_PATH:
            quarantine.accept_crash(msgspec.msgpack.decode(body, type=Crash))
        elif path == ISOLATE_PATH:
            asked = msgspec.msgpack.decode(body, type=IsolationRequest)
            answer = quarantine.answer_isolation(asked)
        elif path == RELEASE_PATH:
            released = msgspec.msgpack.decode(body, type=IsolationRelease)
            quarantine.accept_release(released)
        return ClientResponse(200, {}, msgspec.msgpack.encode(answer))

    def _list_restarted(self, name, incarnation):
        for node in self.nodes.values():
            node.registry.put(build_target(name, "app", incarnation=incarnation))


def _now_s():
    return asyncio.get_running_loop().time()


__all__ = ["CRASHING", "PATH", "RESTART_S", "CrashCluster"]
