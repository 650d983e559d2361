"""Nodes that count and report requests on one in-memory store and network."""

from __future__ import annotations

import asyncio
import contextlib
import json

from tamarackshelf.contracts.duties import DutyCallFailed, DutyFenced
from tamarackshelf.contracts.rows import RowQuery, RowStoreError
from tamarackshelf.duties.program import UsageDuty
from tamarackshelf.net import ConnectFailed, Response
from tamarackshelf.node.peer_store import RELAY_PATH, PeerStore, answer_relay
from tamarackshelf.node.settings import DutySettings
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.platform.duty_client import PlatformDutyClient
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Address
from tamarackshelf.world.organisation import Organisation
from tamarackshelf.world.route import RoutingConfiguration
from tests.support.memory import MemoryHttp, Network
from tests.support.node import FakeFleet

# Unix time at the start of each test, which begins a window.
START_S = 1_000_000_000
FIRST_WINDOW = START_S // 5
LEASE_S = 3.0


class FakePlatform:
    """The platform's side: executes calls, some of them late, and checks the rules.

    `reports` holds (time, holder, number, body) of each executed call. The next calls
    take their behaviour from `behaviours`: "lost" executes a call without an answer,
    "late" executes it 5 s later without an answer, "unheard" never executes it,
    "limited" refuses it, and "slow" answers late.
    """

    def __init__(self, checks_fencing=True):
        self.checks_fencing = checks_fencing
        self.behaviours = []
        self.reports = []
        self.refused = []
        self.highest = 0
        # VMs whose calls the platform refuses.
        self.refused_holders = set()
        # Called with the holder before each call is executed.
        self.on_call = lambda holder: None

    def execute(self, holder, number, body):
        now_s = asyncio.get_running_loop().time()
        if self.checks_fencing and number < self.highest:
            self.refused.append((now_s, holder, number))
            return 409
        self.reports.append((now_s, holder, number, body))
        self.highest = max(self.highest, number)
        return 200

    async def report(self, body, stamp):
        call = (stamp.holder, stamp.fencing_number, body)
        if stamp.holder in self.refused_holders:
            raise DutyCallFailed("503")
        behaviour = self.behaviours.pop(0) if self.behaviours else ""
        self.on_call(stamp.holder)
        if behaviour == "slow":
            await asyncio.sleep(0.6)
        if behaviour == "limited":
            raise DutyCallFailed("429", is_limited=True)
        if behaviour in ("lost", "late", "unheard"):
            if behaviour == "late":
                asyncio.get_running_loop().call_later(5.0, self.execute, *call)
            if behaviour == "lost":
                self.execute(*call)
            await asyncio.sleep(0.5)
            raise DutyCallFailed("no response", may_execute=True)
        await asyncio.sleep(0.005)
        if self.execute(*call) == 409:
            raise DutyFenced("409")

    def find_bodies(self):
        """Return the different reports that were executed, by window."""
        bodies = {}
        for _, _, _, body in self.reports:
            bodies.setdefault(json.loads(body)["window"], set()).add(body)
        return bodies

    def find_counts(self):
        """Return the reported counts by window number from FIRST_WINDOW."""
        assert all(len(each) == 1 for each in self.find_bodies().values())
        return {
            window - FIRST_WINDOW: json.loads(next(iter(bodies)))["replicaCounts"]
            for window, bodies in self.find_bodies().items()
        }

    def assert_rules(self):
        """Check the rules for reports, numbers and holders."""
        assert all(len(bodies) == 1 for bodies in self.find_bodies().values())
        calls = [(at_s, holder, number) for at_s, holder, number, _ in self.reports]
        numbers = [number for _, _, number in calls]
        assert numbers == sorted(numbers)
        assert len({(h, n) for _, h, n in calls}) == len(set(numbers))
        for i, (first_s, first, _) in enumerate(calls):
            for j in range(i + 1, len(calls)):
                for last_s, last, _ in calls[j + 1 :]:
                    is_alternation = first == last != calls[j][1]
                    assert not is_alternation or last_s - first_s > LEASE_S


class DutyNode:
    """One node's duty, with its own store client, clock and connection to peers."""

    def __init__(self, name, duties):
        self.name = name
        self.skew_s = 0.0
        self.client = duties.store.connect()
        self.timeline = Timeline(name, lambda: 0)
        self.metrics = Metrics()
        # Other nodes that this one considers dead.
        self.dead = set()
        self.fleet = FakeFleet(name, duties.records, self.dead)
        http = MemoryHttp(duties.network, name)
        self.failover_store = FailoverStore(self.client, self.timeline)
        self.failover_store.set_peer_source(
            lambda: [PeerStore(http, r.peers) for r in self.fleet.peers()]
        )
        platform = duties.platform
        encoder = PlatformDutyClient(None, Address("10.0.0.3", 1))

        class Client:
            encode_usage = staticmethod(encoder.encode_usage)

            async def report_usage(self, report, stamp, timeout_s):
                await platform.report(report, stamp)

        self.duty = UsageDuty(
            DutySettings(
                Address("10.0.0.3", 1),
                50.0,
                reports_usage=True,
                orders_workers=False,
                checks_fencing=platform.checks_fencing,
                report_window_s=5.0,
                report_late_s=10.0,
            ),
            self.failover_store,
            http,
            Client(),
            lambda: duties.configuration,
            self.timeline,
            self.metrics,
            lambda: START_S + asyncio.get_running_loop().time() + self.skew_s,
        )

    async def start(self):
        self.watch_task = start_task("watch", self._watch_store)
        await self.duty.start(self.fleet, LEASE_S)

    async def close(self):
        await stop_tasks(self.watch_task)
        await self.duty.close()

    def kill(self):
        for task in (self.watch_task, *self.duty._tasks):
            task.cancel()

    async def _watch_store(self):
        """Read the store as a node's watches of tables do, which shows its clock."""
        with contextlib.suppress(RowStoreError):
            await self.failover_store.read(RowQuery("node", ""))
        await asyncio.sleep(1.0)

    async def handle(self, request):
        if request.path == RELAY_PATH:
            return await answer_relay(self.failover_store, request.body)
        handler = self.duty.handlers.get(request.path)
        return Response(404) if handler is None else await handler(request)

    def run_request(self, organisation="org"):
        """Count a request that begins to run now."""
        now_s = asyncio.get_running_loop().time()
        self.duty.recorder.record_run(organisation, now_s)

    def find_events(self, kind):
        return [e for e in self.timeline.page().events if e.kind == kind]


class DutyNodes:
    """A store, a platform, a network, and nodes that perform the duty."""

    def __init__(self, names="abcd", checks_fencing=True):
        self.store = MemoryRowStore()
        self.platform = FakePlatform(checks_fencing)
        self.network = Network()
        # Nodes without a process, and nodes that are cut off from all others.
        self.dead = set()
        self._cut_names = set()
        self.network.before.append(self._refuse_across_cuts)
        organisations = (Organisation("org"), Organisation("small"))
        self.configuration = RoutingConfiguration(1, (), organisations=organisations)
        self.records = {}
        self.nodes = {}
        for name in names:
            self.add(name)

    def add(self, name, incarnation=1):
        async def dispatch(request):
            return await self.nodes[name].handle(request)

        known = self.records.get(name)
        address = self.network.add(dispatch, known and known.peers)
        callers = Address("10.0.0.1", 1)
        self.records[name] = NodeRecord(name, incarnation, "dc", callers, address)
        node = DutyNode(name, self)
        self.nodes[name] = node
        return node

    async def start(self):
        for node in self.nodes.values():
            await node.start()

    async def close(self):
        for name, node in self.nodes.items():
            if name not in self.dead:
                await node.close()

    def kill(self, name, detected_s=2.0):
        """End a node's process at once; the others notice it after `detected_s`."""
        self.nodes[name].kill()
        self.network.remove(self.records[name].peers)
        self.dead.add(name)
        killed = self.nodes[name]

        def detect():
            if self.nodes[name] is killed:
                for node in self.nodes.values():
                    node.dead.add(name)

        asyncio.get_running_loop().call_later(detected_s, detect)

    async def restart(self, name):
        """Start a new process of a node that was killed; the others know it at once."""
        incarnation = self.records[name].incarnation + 1
        node = self.add(name, incarnation)
        self.dead.discard(name)
        for each in self.nodes.values():
            each.dead.discard(name)
        node.dead |= self.dead
        await node.start()

    def cut(self, name):
        """Cut a node off from its peers, so that both sides take the other for dead."""
        for other, node in self.nodes.items():
            if other != name:
                node.dead.add(name)
                self.nodes[name].dead.add(other)
        self._cut_names.add(name)

    def heal(self, name):
        """End the cut of a node."""
        for other, node in self.nodes.items():
            if other != name and not {other, name} & self.dead:
                node.dead.discard(name)
                self.nodes[name].dead.discard(other)
        self._cut_names.discard(name)

    async def _refuse_across_cuts(self, origin, address, path):
        receiver = next(n for n, r in self.records.items() if r.peers == address)
        if origin != receiver and {origin, receiver} & self._cut_names:
            await asyncio.sleep(0.2)
            raise ConnectFailed("the link is cut")

    def find_holder(self):
        """Return the name of the node that reported last."""
        return self.platform.reports[-1][1]


def sleep_until(at_s):
    """Sleep until a time of the test's clock, which begins at 0."""
    return asyncio.sleep(at_s - asyncio.get_running_loop().time())


__all__ = [
    "FIRST_WINDOW",
    "LEASE_S",
    "START_S",
    "DutyNode",
    "DutyNodes",
    "FakePlatform",
    "sleep_until",
]
