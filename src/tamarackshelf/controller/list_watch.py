"""Watch of the platform's VM list, which is read directly or learnt from gossip."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from tamarackshelf.contracts.platform import list_vms
from tamarackshelf.controller.fleet_state import FleetState
from tamarackshelf.gossip.task import GossipTask
from tamarackshelf.net import HttpClient
from tamarackshelf.peers.view_watch import CALL_ERRORS
from tamarackshelf.policy.listing import (
    FULL_READ_INTERVAL_S,
    VmRowChange,
    apply_changes,
    compute_period_s,
    find_changes,
    is_list_reader,
)
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Address, VmRow

ROW_PREFIX = "row:"
CHECK_INTERVAL_S = 1.0
# The platform's list may be up to 30 s out of date when it is read, so only rumours
# that are at least 30 s older than the read are ignored.
LIST_LAG_ALLOWANCE_MS = 30_000


class ListWatch:
    """Rows of the VM list, kept up to date in FleetState and GossipTask.

    A few members, the list readers, read the list often and publish its changes as
    rumours; the others apply the rumours and read the full list seldom.
    """

    def __init__(
        self,
        fleet: FleetState,
        gossip: GossipTask,
        http: HttpClient,
        address: Address,
        wall_ms: Callable[[], int],
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._http = http
        self._address = address
        self._wall_ms = wall_ms
        self._rows: dict[str, VmRow] = {}
        self._versions: dict[str, int] = {}
        self._baseline_ms = 0
        self._list_bytes = 0
        self._next_read_at_s = 0.0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that reads the list, and apply rumours about its rows."""
        self._gossip.on_rumour(ROW_PREFIX, self._handle_row_rumour)
        self._task = start_task("list_watch", self._run)

    async def close(self) -> None:
        """Stop reading the list."""
        await stop_tasks(self._task)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self._next_read_at_s:
                await self._read()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _read(self) -> None:
        read_ms = self._wall_ms()
        try:
            rows = await list_vms(self._http, self._address)
        except CALL_ERRORS:
            # The last known list stays in use while the platform does not answer.
            return
        self._list_bytes = len(msgspec.json.encode(rows))
        changes = find_changes(self._rows, rows)
        is_first = self._baseline_ms == 0
        self._baseline_ms = read_ms - LIST_LAG_ALLOWANCE_MS
        self._apply(changes)
        if is_first:
            await self._gossip.join()
            self._fleet.refresh()
        elif self._is_list_reader():
            self._publish(changes, read_ms)
        self._schedule_next_read()

    def _schedule_next_read(self) -> None:
        period_s = FULL_READ_INTERVAL_S
        if self._is_list_reader():
            period_s = compute_period_s(self._list_bytes)
        self._next_read_at_s = asyncio.get_running_loop().time() + period_s

    def _is_list_reader(self) -> bool:
        return is_list_reader(
            self._gossip.membership.name, self._gossip.list_live_members()
        )

    def _publish(self, changes: list[VmRowChange], read_ms: int) -> None:
        for change in changes:
            value = ""
            if change.row is not None:
                value = msgspec.json.encode(change.row).decode()
            self._versions[change.name] = read_ms
            self._gossip.publish(Rumour(ROW_PREFIX + change.name, read_ms, value))

    def _handle_row_rumour(self, rumour: Rumour) -> None:
        name = rumour.subject.removeprefix(ROW_PREFIX)
        if rumour.version <= max(self._baseline_ms, self._versions.get(name, 0)):
            return
        self._versions[name] = rumour.version
        row = msgspec.json.decode(rumour.value, type=VmRow) if rumour.value else None
        self._apply([VmRowChange(name, row)])

    def _apply(self, changes: list[VmRowChange]) -> None:
        if not changes:
            return
        self._rows = apply_changes(self._rows, changes)
        self._fleet.rows = tuple(self._rows[name] for name in sorted(self._rows))
        self._gossip.set_entries(self._fleet.entries)
        # This node may have become a list reader because another one has left.
        if self._is_list_reader():
            period_s = compute_period_s(self._list_bytes)
            now_s = asyncio.get_running_loop().time()
            self._next_read_at_s = min(self._next_read_at_s, now_s + period_s)
        self._fleet.refresh()


__all__ = ["ListWatch"]
