"""The duties of a node: counting requests and, with the lease, reporting them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from tamarackshelf.contracts.duties import DutyPlatform
from tamarackshelf.duties.lease import Lease, LeaseFleet
from tamarackshelf.duties.true_time import TrueClock
from tamarackshelf.duties.usage_counts import (
    COUNTS_PATH,
    TABLE_PATH,
    USAGE_SUBJECT,
    UsageCollector,
    UsageRecorder,
    UsageSender,
)
from tamarackshelf.duties.usage_report import UsageReporter
from tamarackshelf.net import HttpClient, Request, Response
from tamarackshelf.node.settings import DutySettings
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world.route import RoutingConfiguration


class DutyFleet(LeaseFleet, Protocol):
    """What the duties ask about the nodes of the fleet."""

    is_leaving: bool


class UsageDuty:
    """Counts this node's requests, collects counts of peers and reports them.

    It does nothing while the configuration names no organisations.
    """

    def __init__(
        self,
        settings: DutySettings,
        store: FailoverStore,
        http: HttpClient,
        platform: DutyPlatform,
        get_configuration: Callable[[], RoutingConfiguration | None],
        timeline: Timeline,
        metrics: Metrics,
        read_wall_s: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._store = store
        self._http = http
        self._platform = platform
        self._get_configuration = get_configuration
        self._timeline = timeline
        self._metrics = metrics
        self._clock = TrueClock(store.now_store_ms, read_wall_s)
        self.recorder = UsageRecorder(self._clock, settings.report_window_s)
        self._collector = UsageCollector(self._clock, settings.report_window_s)
        self._sender: UsageSender | None = None
        self.lease: Lease | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Callable[[Request], Awaitable[Response]]]:
        """The handlers of peers' calls, by path."""
        return {
            COUNTS_PATH: self._collector.answer_counts,
            TABLE_PATH: self._collector.answer_table,
        }

    async def start(self, fleet: DutyFleet, lease_s: float) -> None:
        """Start to send counts and, whenever this node has the lease, to report."""
        sender = UsageSender(
            self.recorder,
            self._collector,
            self._clock,
            fleet,
            self._http,
            self._store,
            self._settings.report_window_s,
            self._metrics,
            self._has_organisations,
        )
        self._collector.count_nodes = lambda: len(fleet.list_live_nodes())
        self.lease = Lease(USAGE_SUBJECT, self._store, fleet, lease_s, self._timeline)
        reporter = UsageReporter(
            self._settings,
            self._store,
            self.lease,
            self._platform,
            self._clock,
            sender.read_tables,
            fleet.own.vm,
            lambda: self._has_organisations() and not fleet.is_leaving,
            self._timeline,
            self._metrics,
        )
        self._sender = sender
        self._tasks = [
            start_task("usage_counts", sender.run),
            start_task("usage_report", reporter.run),
        ]

    def set_lease_s(self, lease_s: float) -> None:
        """Change the duration of the lease."""
        if self.lease is not None:
            self.lease.lease_s = lease_s

    async def close(self) -> None:
        """Stop reporting, and send the last counts; the lease is left as it is."""
        await stop_tasks(*self._tasks)
        if self._sender is not None and self._tasks and self._has_organisations():
            await self._sender.send()
        self._tasks = []

    def _has_organisations(self) -> bool:
        configuration = self._get_configuration()
        return configuration is not None and configuration.organisations is not None


__all__ = ["DutyFleet", "UsageDuty"]
