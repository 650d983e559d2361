"""Deletes ended jobs from the store when their retention time has passed."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.job_store import HeadChanged, JobStore, StoredHead
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world.job import JobState

CHECK_INTERVAL_S = 5.0
# Deleting a job takes several reads and writes, so a node spreads them over checks.
MAX_DELETIONS_PER_CHECK = 4
# Added to the retention time, because callers wait up to 1.5 s longer than the time
# they allow and clocks drift a little.
MARGIN_S = 60.0


class JobRetention:
    """Deletes expired jobs; for each, only the live node that ranks first does so."""

    def __init__(
        self,
        row_store: FailoverStore,
        store: JobStore,
        heads: Mapping[str, StoredHead],
        retention_s: float,
        timeline: Timeline,
    ) -> None:
        """Keep results readable for `retention_s` after their job was accepted."""
        self.retention_s = retention_s
        self._row_store = row_store
        self._store = store
        self._heads = heads
        self._timeline = timeline
        self._task: asyncio.Task[None] | None = None

    async def start(self, fleet: Fleet) -> None:
        """Start to check for expired jobs."""
        self._task = start_task("job_retention", lambda: self._run(fleet))

    async def close(self) -> None:
        """Stop checking for expired jobs."""
        await stop_tasks(self._task)

    async def _run(self, fleet: Fleet) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not fleet.is_leaving and self._row_store.is_up:
                for stored in self._find_expired(fleet)[:MAX_DELETIONS_PER_CHECK]:
                    await self._delete(stored)

    def _find_expired(self, fleet: Fleet) -> list[StoredHead]:
        now_ms = self._row_store.now_store_ms()
        if now_ms is None:
            return []
        accepted_before_ms = now_ms - (self.retention_s + MARGIN_S) * 1000
        names = [record.vm for record in fleet.list_live_nodes()]
        return [
            stored
            for stored in self._heads.values()
            if stored.head.state is JobState.ENDED
            and 0 < stored.head.accepted_store_ms < accepted_before_ms
            and rank_owners(names, stored.job_id)[0] == fleet.own.vm
        ]

    async def _delete(self, stored: StoredHead) -> None:
        try:
            await self._store.delete(stored)
        except (HeadChanged, RowStoreError) as error:
            self._timeline.record("job_not_deleted", stored.job_id, str(error))
            return
        self._timeline.record(
            "job_deleted",
            stored.job_id,
            f"the job has ended and is older than {self.retention_s} s",
        )


__all__ = ["JobRetention"]
