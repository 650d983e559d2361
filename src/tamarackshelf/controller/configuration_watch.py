"""Watch of the newest accepted configuration, in the table or at other controllers."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from random import Random

from tamarackshelf.contracts import call_json
from tamarackshelf.controller.fleet_state import FleetState
from tamarackshelf.controller.fleet_view import HEAD_SUBJECT
from tamarackshelf.errors import StoreUnavailable
from tamarackshelf.gossip.task import GossipTask
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.peers.view_watch import CALL_ERRORS
from tamarackshelf.policy.periods import scale_period_s
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.state.configuration import read_body, read_head
from tamarackshelf.state.published import read_published
from tamarackshelf.state.table_client import TableClient
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Configuration, EntryVm

POLL_INTERVAL_S = 2.0
MAX_POLL_INTERVAL_S = 5.0
POLLS_PER_PUBLISHED_READ = 5
PEER_TIMEOUT_S = 1.0
PEERS_PER_PUSH = 3


@dataclass(frozen=True, slots=True)
class RevisionStatus:
    """Configuration revision that a controller has applied, and its readiness."""

    revision: int
    ready: bool


class ConfigurationWatch:
    """Task that applies the newest accepted revision of the configuration.

    It polls the table's head row at intervals, and at once when gossip names a newer
    revision. While the table is unavailable, it asks the other controllers.
    """

    def __init__(
        self,
        fleet: FleetState,
        gossip: GossipTask,
        table: TableClient,
        peer_http: HttpClient,
        timeline: Timeline,
        rng: Random,
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._table = table
        self._peer_http = peer_http
        self._timeline = timeline
        self._rng = rng
        self._poll_count = 0
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that polls the head row."""
        self._gossip.on_change(self._on_rumours_changed)
        self._task = start_task("configuration_watch", self._run)

    async def close(self) -> None:
        """Stop polling."""
        await stop_tasks(self._task)

    def apply(self, configuration: Configuration, source: str) -> bool:
        """Apply and announce a revision; return False if it is not newer."""
        if configuration.revision <= self._fleet.configuration.revision:
            return False
        self._fleet.configuration = configuration
        revision = configuration.revision
        self._timeline.record("configuration_applied", str(revision), source)
        self._gossip.publish(Rumour(HEAD_SUBJECT, revision))
        self._fleet.refresh()
        return True

    async def announce_revision(self, revision: int) -> int:
        """Announce a committed revision by gossip and poll the head row at once.

        Also send it directly to PEERS_PER_PUSH random controllers; return how many of
        them confirmed it.
        """
        self._gossip.publish(Rumour(HEAD_SUBJECT, revision))
        self._wake.set()
        peers = self._list_other_entries()
        chosen = self._rng.sample(peers, min(PEERS_PER_PUSH, len(peers)))
        calls = [self._push_to(entry, revision) for entry in chosen]
        return sum(await asyncio.gather(*calls))

    async def _push_to(self, entry: EntryVm, revision: int) -> bool:
        rumours = (Rumour(HEAD_SUBJECT, revision),)
        try:
            await call_json(
                self._peer_http,
                entry.controller,
                "POST",
                "/v1/sync",
                tuple[Rumour, ...],
                rumours,
                PEER_TIMEOUT_S,
            )
        except CALL_ERRORS:
            return False
        return True

    def _on_rumours_changed(self) -> None:
        rumour = self._gossip.membership.rumours.get(HEAD_SUBJECT)
        if rumour is not None and rumour.version > self._fleet.configuration.revision:
            self._wake.set()
        self._fleet.refresh()

    async def _run(self) -> None:
        while True:
            await self._update()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._compute_poll_interval_s()):
                    await self._wake.wait()
            self._wake.clear()

    async def _update(self) -> None:
        try:
            await self._update_from_table()
        except StoreUnavailable:
            await self._update_from_peers()

    async def _update_from_table(self) -> None:
        head = await read_head(self._table)
        current = self._fleet.configuration.revision
        if head is not None and head.revision > current:
            body = await read_body(self._table, head.revision)
            if body is not None:
                self.apply(body, "read from the table")
        # Gossip announces new weight versions; this read finds those whose rumour was
        # lost.
        if self._poll_count % POLLS_PER_PUBLISHED_READ == 0:
            await self._read_published()
        self._poll_count += 1
        self._set_ready(head is not None, "the table answered")

    async def _read_published(self) -> None:
        published = await read_published(self._table)
        if published != self._fleet.published:
            self._fleet.published = published
            self._fleet.refresh()

    async def _update_from_peers(self) -> None:
        """Apply the highest revision that other controllers have.

        The node becomes ready only if more than half of the listed entry VMs, itself
        included, have answered. Otherwise it might start on an old revision that one
        stale peer still has.
        """
        peers = self._list_other_entries()
        answers = await asyncio.gather(
            *(self._read_revision_status(peer) for peer in peers)
        )
        known = [(a.revision, p) for a, p in zip(answers, peers, strict=True) if a]
        if not known:
            return
        revision, peer = max(known, key=lambda pair: pair[0])
        if revision > self._fleet.configuration.revision:
            await self._fetch_from(peer, revision)
        answered = len(known) + 1
        if 2 * answered > len(peers) + 1 and self._fleet.configuration.revision > 0:
            self._set_ready(True, f"{len(known)} of {len(peers)} peers answered")

    async def _read_revision_status(self, entry: EntryVm) -> RevisionStatus | None:
        try:
            return await call_json(
                self._peer_http,
                entry.controller,
                "GET",
                "/v1/heads",
                RevisionStatus,
                timeout_s=PEER_TIMEOUT_S,
            )
        except CALL_ERRORS:
            return None

    async def _fetch_from(self, entry: EntryVm, revision: int) -> None:
        with contextlib.suppress(*CALL_ERRORS):
            body = await call_json(
                self._peer_http,
                entry.controller,
                "GET",
                "/v1/configuration",
                Configuration,
                timeout_s=PEER_TIMEOUT_S,
            )
            if body.revision >= revision:
                self.apply(body, f"read from {entry.name}")

    def _compute_poll_interval_s(self) -> float:
        return scale_period_s(
            POLL_INTERVAL_S, len(self._fleet.entries), MAX_POLL_INTERVAL_S
        )

    def _list_other_entries(self) -> list[EntryVm]:
        own = self._gossip.membership.name
        entries = self._fleet.entries
        return [entries[name] for name in sorted(entries) if name != own]

    def _set_ready(self, ready: bool, reason: str) -> None:
        if ready and self._gossip.has_joined and not self._fleet.ready:
            self._fleet.ready = True
            self._fleet.refresh()
            self._timeline.record("ready", self._gossip.membership.name, reason)


__all__ = ["ConfigurationWatch", "RevisionStatus"]
