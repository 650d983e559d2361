"""The controller program: membership, configuration, leases and orders."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from tamarackshelf.controller.api import ControllerApi
from tamarackshelf.controller.configuration_watch import ConfigurationWatch
from tamarackshelf.controller.fleet_state import FleetState
from tamarackshelf.controller.list_watch import ListWatch
from tamarackshelf.controller.reconciler import Reconciler, WeightUpdateSettings
from tamarackshelf.gossip.link import GossipLink
from tamarackshelf.gossip.task import GossipSettings, GossipTask
from tamarackshelf.net import HttpClient, HttpServer
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.observe.decision_trace import Recorder, record_nothing
from tamarackshelf.policy.lease import LeaseTimes
from tamarackshelf.state import TableClient
from tamarackshelf.state.leases import LeaseManager, LeaseSettings
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Address

ROLE_CHECK_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Settings of a controller process."""

    vm: str
    data_centre: str
    listen: Address
    gossip: Address
    table: Address
    vm_list: Address
    secret: str
    seed: int = 0
    lease: LeaseTimes = LeaseTimes()
    weight_update: WeightUpdateSettings = WeightUpdateSettings()


class Controller:
    """Controller process of one VM; `http` calls the targets and the platform."""

    def __init__(
        self,
        settings: ControllerSettings,
        http: HttpClient,
        timeline: Timeline,
        record: Recorder = record_nothing,
    ) -> None:
        rng = Random(f"{settings.seed}/{settings.vm}")
        self.timeline = timeline
        self.metrics = Metrics()
        self._settings = settings
        self._peer_http = HttpClient(headers={"x-fleet-secret": settings.secret})
        incarnation = time.time_ns() // 1_000_000
        gossip = GossipSettings(settings.vm, incarnation, settings.gossip)
        key = settings.secret.encode()
        self.gossip = GossipTask(
            gossip,
            self._peer_http,
            timeline,
            rng,
            lambda receiver: GossipLink(key, _wall_ms, receiver),
        )
        self.fleet = FleetState(self.gossip.membership)
        self._table = TableClient(http, settings.table)
        self._list_watch = ListWatch(
            self.fleet, self.gossip, http, settings.vm_list, _wall_ms
        )
        self._configuration_watch = ConfigurationWatch(
            self.fleet, self.gossip, self._table, self._peer_http, timeline, rng
        )
        leases = LeaseManager(self._table, LeaseSettings(settings.vm, settings.lease))
        self._reconciler = Reconciler(
            settings.vm,
            self.fleet,
            leases,
            settings.lease,
            http,
            timeline,
            self.gossip.publish,
            settings.weight_update,
            record,
        )
        self._api = ControllerApi(
            settings.secret,
            self.fleet,
            self.gossip,
            self._configuration_watch,
            timeline,
            self.metrics,
        )
        self._server = HttpServer(self._api.handle)
        self._task: asyncio.Task[None] | None = None
        self.address = settings.listen
        self.gossip_address = settings.gossip

    async def start(self) -> None:
        """Listen for requests, then join the fleet and start to reconcile."""
        self.address = await self._server.start(self._settings.listen)
        await self._table.start()
        self.gossip_address = await self.gossip.start()
        await self._list_watch.start()
        await self._configuration_watch.start()
        await self._reconciler.start()
        self._task = start_task("roles", self._publish_roles)

    async def drain(self) -> None:
        """Do nothing; `close` releases the leases."""

    async def close(self) -> None:
        """Release the leases, announce the stop to the members and close the server."""
        await self._reconciler.close()
        await self.gossip.leave()
        await self._stop_tasks()
        await self._server.close(1.0)
        await self._peer_http.close()

    async def abort(self) -> None:
        """Stop at once like a crashed process, without releasing the leases."""
        self._reconciler.abort()
        await self._stop_tasks()
        await self._server.abort()
        await self._peer_http.close()

    async def pause(self) -> None:
        """Stop orders and gossip like a paused process, but keep state and leases."""
        self._reconciler.abort()
        self.gossip.pause()

    async def resume(self) -> None:
        """Continue orders and gossip with the state and leases of before the pause."""
        self.gossip.resume()
        await self._reconciler.start()

    async def _stop_tasks(self) -> None:
        await stop_tasks(self._task)
        await self._configuration_watch.close()
        await self._list_watch.close()
        await self.gossip.close()
        await self._table.close()

    async def _publish_roles(self) -> None:
        while True:
            self._api.publish_running_roles()
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


__all__ = ["Controller", "ControllerSettings"]
