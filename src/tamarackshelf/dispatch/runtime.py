"""What gateways and runners have in common: links, table, pool, dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from tamarackshelf.dispatch.dispatcher import Dispatcher, PeerActions
from tamarackshelf.dispatch.pool import TargetPool
from tamarackshelf.net import HttpClient
from tamarackshelf.net.rpc import RpcClient
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.observe.decision_trace import Recorder, record_nothing
from tamarackshelf.peers import (
    Report,
    ReportKind,
    Role,
    View,
    ViewWatch,
    get_process_name,
)
from tamarackshelf.peers.quarantine_client import QuarantineClient
from tamarackshelf.policy.routing import Router, route
from tamarackshelf.state import TableClient
from tamarackshelf.world import Address


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Who the process is and where its VM's controller and the table are."""

    vm: str
    role: Role
    controller: Address
    table: Address
    secret: str
    seed: int


class DispatchRuntime:
    """Follows the controller and sends work to targets."""

    def __init__(
        self,
        settings: DispatchSettings,
        http: HttpClient,
        timeline: Timeline,
        router: Router = route,
        record: Recorder = record_nothing,
    ) -> None:
        self.metrics = Metrics()
        self.timeline = timeline
        self._settings = settings
        self._internal = HttpClient(headers={"x-fleet-secret": settings.secret})
        self.watch = ViewWatch(self._internal, settings.controller, settings.role)
        self.rpc = RpcClient(settings.secret)
        self.table = TableClient(http, settings.table)
        rng = Random(f"{settings.seed}/{settings.vm}/{settings.role}")
        name = get_process_name(settings.vm, settings.role)
        self.pool = TargetPool(name, rng, router, record)
        link = QuarantineClient(self.rpc, self.watch)
        actions = PeerActions(
            link.isolate, link.release, link.announce_crash, self.watch.report
        )
        self.dispatcher = Dispatcher(
            self.pool, http, actions, timeline, self.metrics, rng, record
        )

    async def start(self) -> None:
        """Starts to follow the controller."""
        self.watch.on_change(self._take_view)
        await self.table.start()
        await self.watch.start()

    async def announce_leaving(self) -> None:
        """Tells the fleet that this process takes no new work soon."""
        self.timeline.record("drain_started", self._settings.vm, "planned stop")
        self.watch.stop_announcing()
        role = self._settings.role.value
        await self.watch.report(Report(ReportKind.ROLE_LEAVING, role))

    async def close(self) -> None:
        """Closes all links."""
        await self.watch.close()
        await self.rpc.close()
        await self.table.close()
        await self._internal.close()

    def _take_view(self, view: View) -> None:
        sharers = view.list_dispatching_processes()
        self.pool.update(view.targets, sharers, view.compute_limits())
        self.table.set_process_count(len(sharers))


__all__ = ["DispatchSettings", "DispatchRuntime"]
