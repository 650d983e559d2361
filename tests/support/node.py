"""Job parts of several nodes on one in-memory row store, without a network."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import msgspec

from tamarackshelf.contracts.targets import (
    EngineReport,
    ItemEvent,
    OutcomeUnknown,
    TargetChanged,
    TargetRecord,
)
from tamarackshelf.jobs.manager import JobManager
from tamarackshelf.jobs.runner import JobRunner
from tamarackshelf.jobs.scorer import Scorer
from tamarackshelf.net import ClientResponse, ConnectFailed, ConnectionLost
from tamarackshelf.node import peer_jobs
from tamarackshelf.node.quarantine import RequestQuarantine
from tamarackshelf.node.target_paths import TargetPaths
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.store.job_store import HEAD_TABLE, JobStore
from tamarackshelf.store.table_watch import TableWatch
from tamarackshelf.world import Address, Target, TargetKind
from tamarackshelf.world.job import Job, JobItem, ScoreCall
from tamarackshelf.world.route import (
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    ServiceShare,
)

HOST = "h.example"
EVENT_S = 0.036


def build_configuration(version=1, max_attempts=3):
    def route(name, prefix, kind, service):
        return Route(
            name=name,
            host=HOST,
            path_prefix=prefix,
            kind=kind,
            shares=(ServiceShare(service, 1),),
            timeout_s=2.0,
            target_latency_s=0.2,
            max_attempts=max_attempts,
            job_due_s=7.5,
        )

    routes = (
        route("jobs", "/jobs/", RouteKind.JOB, "models"),
        route("score", "/score/", RouteKind.IDEMPOTENT, "app"),
        route("once", "/once/", RouteKind.NON_IDEMPOTENT, "app"),
    )
    services = {"models": Service("models", 100, ("m",)), "app": Service("app", 100)}
    return RoutingConfiguration(version, routes, services)


def build_target(name, service, places=8, versions=None, incarnation=1, software="a"):
    kind = TargetKind.ENGINE if versions else TargetKind.PLAIN
    address = Address("10.0.0.9", 1000 + int(name[1:]))
    target = Target(
        name, service, kind, "dc", address, incarnation, places, software=software
    )
    return TargetRecord(target, versions=versions or {})


def build_paths(http, timeline=None):
    """Return the paths of a node that has no peers, so that all calls are direct."""
    timeline = timeline or Timeline("n", lambda: 0)
    return TargetPaths(http, http, timeline, Metrics(), lambda: 0)


def build_quarantine(registry, target_client, vm="n", wall_s=lambda: 1e9):
    """Return a node's quarantine that is not connected to other nodes."""
    timeline = Timeline(vm, lambda: 0)
    return RequestQuarantine(vm, registry, target_client, timeline, Metrics(), wall_s)


def build_job(job_id="j1", items=4, min_version=1):
    return Job(
        job_id=job_id,
        host=HOST,
        path="/jobs/1",
        model="m",
        step=1,
        min_version=min_version,
        group_count=1,
        items=tuple(
            JobItem(
                f"{job_id}-{n}",
                f"/jobs/{n}",
                {},
                b"body",
                "g",
                500,
                ScoreCall(f"s{n}", HOST, "/score/x", b""),
            )
            for n in range(items)
        ),
    )


class SimulatedEngines:
    """Stand-in for TargetClient; an item takes `events_per_item` events of 36 ms each.

    `faults` maps an item to the exception that its next run raises, to a list of them
    for its next runs, or to the number of the event before which its stream ends.
    `overlaps` lists items that were run while they were running already.
    """

    def __init__(self, events_per_item=10):
        self.events_per_item = events_per_item
        self.running = {}
        self.runs = []
        self.overlaps = []
        self.score_faults = []
        self.faults = {}
        self.slowness = {}
        # Seconds for which a run waits for a free slot, by engine.
        self.queue_s = {}
        # Engines that produce no events and report no failure.
        self.silent = set()
        # Engines that are not the ones that the list describes.
        self.restarted = set()
        self.version = 1

    async def run_item(self, target, run):
        item_id = run.item.item_id
        self.runs.append((item_id, target.name, run.after_event_id))
        fault = self.faults.pop(item_id, None)
        if isinstance(fault, list):
            fault, *later_faults = fault
            if later_faults:
                self.faults[item_id] = later_faults
        if isinstance(fault, Exception):
            raise fault
        if self.running.get(item_id):
            self.overlaps.append(item_id)
        self.running[item_id] = True
        try:
            await asyncio.sleep(self.queue_s.get(target.name, 0.0))
            for number in range(run.after_event_id + 1, self.events_per_item):
                await asyncio.sleep(EVENT_S * self.slowness.get(target.name, 1.0))
                if target.name in self.silent:
                    await asyncio.sleep(3600)
                if fault is not None and number >= fault:
                    raise OutcomeUnknown("the engine ended the stream early")
                yield ItemEvent(number, f"{item_id}:{number}", self.version)
        finally:
            self.running[item_id] = False

    async def read_report(self, target, timeout_s):
        await asyncio.sleep(0.002)
        if target.name in self.restarted:
            raise TargetChanged(f"{target.name} has restarted")
        return EngineReport({"m": self.version}, False, 0)

    async def score(self, target, call, timeout_s):
        await asyncio.sleep(0.08)
        if self.score_faults:
            raise self.score_faults.pop()
        return f"score-{call.call_id}"


class FakeFleet:
    """Stand-in for one node's Fleet; all nodes share the set of dead nodes.

    `responding_vms` names the nodes that respond to `check_alive`.
    """

    def __init__(self, name, records, dead):
        self.own = records[name]
        self.is_leaving = False
        self.responding_vms = set()
        self._records = records
        self._dead = dead

    def list_live_nodes(self):
        return [r for name, r in self._records.items() if name not in self._dead]

    def peers(self):
        return [r for r in self.list_live_nodes() if r.vm != self.own.vm]

    def count_listed_nodes(self):
        return len(self._records)

    async def check_alive(self, vm, incarnation):
        await asyncio.sleep(0.001)
        record = self._records.get(vm)
        is_same = record is not None and record.incarnation == incarnation
        return is_same and vm in self.responding_vms

    def find(self, vm):
        return self._records.get(vm)

    def is_gone(self, vm, incarnation):
        return vm in self._dead or self._records[vm].incarnation != incarnation


class JobNode:
    """The parts of one node that handle jobs."""

    def __init__(self, name, cluster):
        self.client = cluster.store.connect()
        self.timeline = Timeline(name, lambda: 0)
        self.metrics = Metrics()
        self.failover_store = FailoverStore(self.client, self.timeline)
        self.target_registry = TargetRegistry(
            self.timeline, lambda: self.failover_store.recovered_at_s, random.Random(1)
        )
        table = RouteTable(
            replace(build_configuration(), organisations=cluster.organisations)
        )
        scorer = Scorer(
            self.target_registry, cluster.engines, lambda: table, "dc", self.timeline
        )
        store = JobStore(self.failover_store, 65536)
        self.runner = JobRunner(
            store,
            self.target_registry,
            cluster.engines,
            scorer,
            lambda: table,
            self.timeline,
            self.metrics,
        )
        self.watch = TableWatch(
            self.failover_store, HEAD_TABLE, self.timeline, has_parts=True
        )
        self.job_manager = JobManager(
            self.failover_store,
            store,
            self.watch,
            self.runner,
            cluster,
            lambda: table,
            self.timeline,
        )
        self.fleet = FakeFleet(name, cluster.records, cluster.dead)

    async def start(self):
        for record in (
            build_target("e1", "models", versions={"m": 1}),
            build_target("e2", "models", versions={"m": 1}),
            build_target("a3", "app"),
        ):
            self.target_registry.put(record)
        await self.watch.start()
        await self.runner.start()
        await self.job_manager.start(self.fleet)

    async def stop(self):
        await self.job_manager.close()
        await self.runner.close()
        await self.watch.close()

    def event_kinds(self):
        return [event.kind for event in self.timeline.page().events]


class Cluster:
    """Nodes on one row store; it is also the HTTP client of their peer requests."""

    def __init__(self, store, engines, names="abc", data_centre="", organisations=None):
        """Put each node in its own data centre unless `data_centre` names one."""
        self.organisations = organisations
        self.store = store
        self.engines = engines
        self.dead = set()
        self.handover_answers_to_lose = 0
        # Nodes that do not answer requests to read a job.
        self.unresponsive = set()
        self.records = {
            name: NodeRecord(
                name,
                1,
                data_centre or f"dc-{name}",
                Address("10.0.0.1", n),
                Address("10.0.0.2", n),
            )
            for n, name in enumerate(names, 1)
        }
        self.nodes = {name: JobNode(name, self) for name in names}

    async def start(self):
        for node in self.nodes.values():
            await node.start()

    async def kill(self, name):
        self.dead.add(name)
        await self.nodes[name].stop()

    async def stop(self):
        for name in self.nodes.keys() - self.dead:
            await self.nodes[name].stop()

    async def request(self, address, method, path, *, body, timeout_s):
        name = next(n for n, r in self.records.items() if r.peers == address)
        if name in self.dead:
            raise ConnectFailed(f"{name} is dead")
        job_manager = self.nodes[name].job_manager
        if path == peer_jobs.HANDOVER_PATH:
            handover = msgspec.msgpack.decode(body, type=peer_jobs.JobHandover)
            status = 200 if job_manager.handovers.accept(handover) else 409
            if self.handover_answers_to_lose:
                self.handover_answers_to_lose -= 1
                raise ConnectionLost("the answer to the handover was lost")
            return ClientResponse(status, {}, b"")
        if name in self.unresponsive:
            raise ConnectionLost(f"{name} does not answer")
        read_request = msgspec.msgpack.decode(body, type=peer_jobs.JobReadRequest)
        return ClientResponse(
            200, {}, msgspec.msgpack.encode(job_manager.reader.read_owned(read_request))
        )


__all__ = [
    "Cluster",
    "JobNode",
    "SimulatedEngines",
    "build_configuration",
    "build_job",
    "build_paths",
    "build_quarantine",
    "build_target",
]
