"""An in-memory fleet: targets, row table, views, and parts of gateways and runners."""

from __future__ import annotations

from random import Random

from tamarackshelf.dispatch import Dispatcher, PeerActions, TargetPool
from tamarackshelf.errors import NotReady
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.peers import (
    EntryStatus,
    EntryView,
    Role,
    TargetStatus,
    TargetView,
    View,
)
from tamarackshelf.standin import (
    EngineSpeed,
    EngineStandin,
    ServiceStandin,
    TableStandin,
)
from tamarackshelf.state import TableClient, TableLimits
from tamarackshelf.world import (
    Campaign,
    Configuration,
    EntryVm,
    OrganisationParameters,
    Target,
    TargetKind,
    digest_token,
)
from tests.support.memory import MemoryHttp, Network, new_address

TOKEN = "customer-token"
MODEL = "m"
UNLIMITED = TableLimits(reads_per_s=1e6, writes_per_s=1e6)
SPEED = EngineSpeed(chunk_s=0.01, prefill_s=0.0, swap_s=0.05)


class FakeViewWatch:
    """Stand-in for ViewWatch whose view the test sets."""

    def __init__(self, view):
        self.view = view
        self.reports = []

    def get_ready_view(self):
        if not self.view.ready:
            raise NotReady("no configuration yet")
        return self.view

    async def report(self, report):
        self.reports.append(report)
        return True


class MemoryFleet:
    """The network, the table and the targets of one test."""

    def __init__(self, seed=1):
        self.seed = seed
        self.network = Network()
        self.table = TableStandin()
        self.table_address = self.network.add(self.table._handle)
        self.standins = {}
        self.parameters = OrganisationParameters(
            organisation="org",
            services=("models", "desk"),
            models=(MODEL,),
            token_digests=(digest_token(TOKEN),),
            non_idempotent_routes=("desk/book",),
        )
        self.campaign = Campaign("c", "org", "models", MODEL, "scorer")
        self.entries = {}
        self.published = {}
        self.statuses = {}

    def add_engine(self, name, concurrency=8, **options):
        target = self._target(name, "models", TargetKind.ENGINE, concurrency)
        options.setdefault("straggler_share", 0.0)
        engine = EngineStandin(target, {MODEL: 0}, SPEED, **options)
        engine.crash = lambda: self._crash(engine)
        return self._add(engine)

    def add_service(self, name, service, kind=TargetKind.PLAIN, concurrency=8):
        return self._add(
            ServiceStandin(self._target(name, service, kind, concurrency), 0.01)
        )

    def add_entry(self, name):
        entry = EntryVm(name, "a", *(new_address() for _ in range(6)))
        self.entries[name] = entry
        return entry

    def build_view(self):
        roles = (Role.GATEWAY, Role.RUNNER)
        return View(
            number=1,
            ready=True,
            configuration=Configuration(
                revision=1,
                organisations={"org": self.parameters},
                campaigns={"c": self.campaign},
            ),
            targets=tuple(
                TargetView(s.target, self.statuses.get(name, TargetStatus.LIVE))
                for name, s in self.standins.items()
            ),
            entries=tuple(
                EntryView(entry, EntryStatus.LIVE, roles)
                for entry in self.entries.values()
            ),
            published=dict(self.published),
        )

    def build_table(self, origin=""):
        http = MemoryHttp(self.network, origin)
        return TableClient(http, self.table_address, UNLIMITED)

    def build_dispatcher(self, origin="", peers=None, process_count=1):
        rng = Random(f"{self.seed}/{origin}")
        pool = TargetPool(origin, rng)
        pool.update(self.build_view().targets, ["n"] * process_count)
        return Dispatcher(
            pool,
            MemoryHttp(self.network, origin),
            peers or build_noop_peer_actions(),
            Timeline(origin, lambda: 0),
            Metrics(),
            rng,
        )

    def _target(self, name, service, kind, concurrency):
        return Target(name, service, kind, "a", new_address(), 1, concurrency)

    def _add(self, standin):
        self.standins[standin.target.name] = standin
        self.network.add(standin._handle, standin.target.address)
        return standin

    async def _crash(self, engine):
        engine.crashed.set()
        self.network.remove(engine.target.address)

    def count_runs(self):
        """Return how often each call ran at the plain services, by its key."""
        counts = {}
        for standin in self.standins.values():
            if isinstance(standin, ServiceStandin):
                for key, count in standin.runs.items():
                    counts[key] = counts.get(key, 0) + count
        return counts


def build_noop_peer_actions():
    """Return peer actions for a process that has no peers; they send nothing."""

    async def isolate(fingerprint, targets):
        return targets[0]

    async def ignore(*args):
        return None

    return PeerActions(isolate, ignore, ignore, ignore)
