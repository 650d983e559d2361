"""Connections, target pool and dispatcher of a gateway or runner."""

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
from tamarackshelf.peers.rpc_quarantine import RpcQuarantinePeers
from tamarackshelf.policy.routing import Router, route
from tamarackshelf.state import TableClient
from tamarackshelf.world import Address


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Identity of the process and addresses of its controller and the table service."""

    vm: str
    role: Role
    controller: Address
    table: Address
    secret: str
    seed: int


class DispatchRuntime:
    """What a gateway or runner needs to follow its controller and dispatch requests.

    `http` is the client for calls to the table service and the targets.
    """

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
        self._controller_http = HttpClient(headers={"x-fleet-secret": settings.secret})
        self.watch = ViewWatch(
            self._controller_http, settings.controller, settings.role
        )
        self.rpc = RpcClient(settings.secret)
        self.table = TableClient(http, settings.table)
        rng = Random(f"{settings.seed}/{settings.vm}/{settings.role}")
        process_name = get_process_name(settings.vm, settings.role)
        self.pool = TargetPool(process_name, rng, router, record)
        quarantine = QuarantineClient(RpcQuarantinePeers(self.rpc, self.watch))
        actions = PeerActions(
            quarantine.isolate,
            quarantine.release,
            quarantine.announce_crash,
            self.watch.report,
        )
        self.dispatcher = Dispatcher(
            self.pool, http, actions, timeline, self.metrics, rng, record
        )

    async def start(self) -> None:
        """Start the table client and start to follow the controller."""
        self.watch.on_change(self._apply_view)
        await self.table.start()
        await self.watch.start()

    async def announce_leaving(self) -> None:
        """Report to the controller that this process is about to stop.

        Other processes then send it no new requests.
        """
        self.timeline.record(
            "drain_started", self._settings.vm, "a planned stop was requested"
        )
        self.watch.stop_announcing()
        role = self._settings.role.value
        await self.watch.report(Report(ReportKind.ROLE_LEAVING, role))

    async def close(self) -> None:
        """Stop following the controller and close all connections."""
        await self.watch.close()
        await self.rpc.close()
        await self.table.close()
        await self._controller_http.close()

    def _apply_view(self, view: View) -> None:
        processes = view.list_dispatching_processes()
        self.pool.update(view.targets, processes, view.compute_limits())
        self.table.set_process_count(len(processes))


__all__ = ["DispatchRuntime", "DispatchSettings"]
