"""Simulated gossip members as the peers of one real controller process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random

from tamarackshelf.gossip.link import GossipLink
from tamarackshelf.gossip.task import GossipSettings, GossipTask
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.standin import PlatformStandin, TableStandin
from tamarackshelf.trials.scaling import build_view_inputs
from tamarackshelf.world import Address, EntryVm, VmRow

SECRET = "secret-of-the-crowd"
# Name and addresses of the VM that the real controller process runs on.
CONTROLLER_VM = "vm-0001"
CONTROLLER_GOSSIP = Address("127.0.0.1", 29_998)
CONTROLLER_LISTEN = Address("127.0.0.1", 29_999)
ANY_PORT = Address("127.0.0.1", 0)
PUBLISH_INTERVAL_S = 10.0


async def run_simulated_members(
    members: int, targets: int, duration_s: float, log: Callable[[str], None]
) -> None:
    """Run all members but one, and log the command that runs a controller as that one.

    After `duration_s`, log the load on the table service and stop the members.
    """
    platform = PlatformStandin()
    table = TableStandin()
    platform_address = await platform.start(ANY_PORT)
    table_address = await table.start(ANY_PORT)
    rows = build_view_inputs(members, targets).rows
    entries = [row.entry for row in rows if row.entry is not None]
    tasks = {e.name: _build_task(e) for e in entries if e.name != CONTROLLER_VM}
    bound_addresses = {name: await task.bind() for name, task in tasks.items()}
    updated_entries = {
        entry.name: _with_bound_address(entry, bound_addresses) for entry in entries
    }
    for row in rows:
        platform.put_vm(_with_entry(row, updated_entries))
    platform.skip_list_lag()
    known = [task.membership.rumours.all() for task in tasks.values()]
    for task in tasks.values():
        task.set_entries(updated_entries)
        # All members know each other, as after a long run; joining is not measured.
        for rumours in known:
            task.merge_rumours(rumours, spread=False)
    log(
        f"TAMARACKSHELF_SECRET={SECRET} tamarackshelf-controller --vm={CONTROLLER_VM} "
        f"--data-centre=dc1 --listen={CONTROLLER_LISTEN} --gossip={CONTROLLER_GOSSIP} "
        f"--table={table_address} --vm-list={platform_address}"
    )
    for task in tasks.values():
        task.run()
    await _publish_rumours(list(tasks.values()), duration_s)
    requests, read, written = table.requests, table.rows_read, table.rows_written
    log(f"table requests={requests} rows_read={read} rows_written={written}")
    for task in tasks.values():
        await task.close()
    await platform.close()
    await table.close()


async def _publish_rumours(tasks: list[GossipTask], duration_s: float) -> None:
    """Publish a rumour at regular intervals, as in normal operation."""
    for number in range(int(duration_s / PUBLISH_INTERVAL_S)):
        await asyncio.sleep(PUBLISH_INTERVAL_S)
        rumour = Rumour(f"target:engine-{number:04d}", 5)
        tasks[number % len(tasks)].publish(rumour)


def _build_task(entry: EntryVm) -> GossipTask:
    settings = GossipSettings(entry.name, 1, ANY_PORT)
    timeline = Timeline(entry.name, _wall_ms, size=16)
    return GossipTask(
        settings,
        HttpClient(),
        timeline,
        Random(entry.name),
        lambda receiver: GossipLink(SECRET.encode(), _wall_ms, receiver),
    )


def _with_bound_address(entry: EntryVm, bound_addresses: dict[str, Address]) -> EntryVm:
    gossip = bound_addresses.get(entry.name, CONTROLLER_GOSSIP)
    return replace(entry, gossip=gossip, controller=CONTROLLER_LISTEN)


def _with_entry(row: VmRow, updated_entries: dict[str, EntryVm]) -> VmRow:
    return row if row.entry is None else replace(row, entry=updated_entries[row.name])


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


__all__ = ["run_simulated_members"]
