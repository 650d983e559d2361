"""Adopts jobs that no live node runs, from their rows in the store."""

from __future__ import annotations

import asyncio

from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.jobs.owned_job import OwnedJob
from tamarackshelf.jobs.registry import JobRegistry
from tamarackshelf.jobs.runner import JobRunner
from tamarackshelf.net import HttpClient
from tamarackshelf.node.peer_jobs import JobReadRequest, read_from_owner
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.job_store import HeadChanged, JobStore, StoredHead
from tamarackshelf.world.job import JobState, is_same_claim

# The node that ranks first adopts an orphaned job at once; each later rank waits this
# much longer than the one before it, which may be unable to adopt the job.
RANK_DELAY_S = 1.5


class JobAdoption:
    """Adopts jobs whose owner no longer runs (orphaned jobs) and this node's own ones.

    A job is this node's own when its head names this node as owner.
    """

    def __init__(
        self,
        registry: JobRegistry,
        row_store: FailoverStore,
        store: JobStore,
        runner: JobRunner,
        http: HttpClient,
        timeline: Timeline,
    ) -> None:
        self._registry = registry
        self._row_store = row_store
        self._store = store
        self._runner = runner
        self._http = http
        self._timeline = timeline
        self._orphaned_since_s: dict[str, float] = {}

    def start_adoptions(self) -> None:
        """Start to adopt the open jobs that should run here and do not run yet."""
        fleet = self._registry.fleet
        if fleet is None or fleet.is_leaving or self._runner.is_paused:
            return
        for job_id, stored in self._registry.heads.items():
            if stored.head.state is not JobState.OPEN:
                continue
            if job_id in self._runner.jobs or self._registry.is_in_transition(job_id):
                continue
            if self._should_adopt(stored):
                self._registry.run_exclusively(job_id, self._adopt(stored))

    def forget(self, job_id: str) -> None:
        """Forget a job that was deleted from the store."""
        self._orphaned_since_s.pop(job_id, None)

    def _should_adopt(self, stored: StoredHead) -> bool:
        fleet, own, head = self._registry.fleet, self._registry.own, stored.head
        assert fleet is not None
        if (head.owner, head.owner_incarnation) == (own.vm, own.incarnation):
            return True
        if not fleet.is_gone(head.owner, head.owner_incarnation):
            self._orphaned_since_s.pop(stored.job_id, None)
            return False
        since_s = self._orphaned_since_s.setdefault(stored.job_id, _now_s())
        # No node can claim a job while the store is unreachable, so the wait starts
        # no earlier than the store's recovery.
        since_s = max(since_s, self._row_store.recovered_at_s)
        names = [record.vm for record in fleet.list_live_nodes()]
        rank = rank_owners(names, stored.job_id).index(own.vm)
        return _now_s() - since_s >= rank * RANK_DELAY_S

    async def _adopt(self, stored: StoredHead) -> None:
        """Claim a job, read its rows and run it on from its results and texts."""
        started_s = _now_s()
        job_id = stored.job_id
        try:
            if self._registry.has_organisations():
                stored = await self._registry.restore_organisation(stored)
            claimed = await self._claim(stored)
            if claimed is None:
                return
            job, listed, progress = await asyncio.gather(
                self._store.read_job(job_id),
                self._store.read_all_results(job_id),
                self._store.read_progress(job_id),
            )
        except HeadChanged as error:
            if error.current is not None:
                self._registry.update(error.current)
                await self._runner.update_head(error.current)
            return
        except RowStoreError as error:
            self._timeline.record("job_not_taken", job_id, str(error))
            return
        if job is None:
            self._timeline.record(
                "job_missing", job_id, "the store has no body rows for the job"
            )
            return
        self._registry.update(claimed)
        newest = self._registry.heads[job_id]
        if not is_same_claim(newest.head, claimed.head):
            return
        owned = OwnedJob(job, newest, listed, progress)
        if job_id not in self._runner.jobs:
            self._runner.add(owned, self._registry.compute_due_s(newest.head))
        self._timeline.record(
            "job_adopted",
            job_id,
            "the job's rows were read from the store",
            listed=len(listed),
            with_text=len(progress),
            took_ms=round((_now_s() - started_s) * 1000),
        )

    async def _claim(self, stored: StoredHead) -> StoredHead | None:
        """Store a head with this node as owner, if needed, and return the stored head.

        Return None if another node still runs the job; raise HeadChanged when another
        node changed the head first, and RowStoreError when the store fails.
        """
        own, head = self._registry.own, stored.head
        if (head.owner, head.owner_incarnation) == (own.vm, own.incarnation):
            return await self._reclaim(stored)
        if await self._does_owner_answer(stored):
            return None
        new = self._registry.build_claim_head(head)
        claimed = await self._store.change_head(stored, new)
        self._timeline.record(
            "job_taken_over",
            stored.job_id,
            f"the owner {head.owner} no longer runs",
            epoch=new.epoch,
        )
        return claimed

    async def _reclaim(self, stored: StoredHead) -> StoredHead | None:
        """Take a job back from the peer that accepted it, if that peer lost it.

        Return None while the peer answers as owner.
        """
        successor = self._registry.handed_over.get(stored.job_id)
        if successor is None:
            return stored
        request = JobReadRequest(stored.job_id, stored.head.total, False)
        if (await read_from_owner(self._http, successor.peers, request)).is_owner:
            return None
        # The peer may only be frozen; after this write its own claim will fail.
        new = self._registry.build_claim_head(stored.head)
        claimed = await self._store.change_head(stored, new)
        self._registry.handed_over.pop(stored.job_id, None)
        reason = f"{successor.vm} accepted the job and does not answer as its owner"
        self._timeline.record("job_taken_back", stored.job_id, reason, epoch=new.epoch)
        return claimed

    async def _does_owner_answer(self, stored: StoredHead) -> bool:
        """Ask the owner, which gossip reports dead, whether it still runs the job."""
        assert self._registry.fleet is not None
        record = self._registry.fleet.find(stored.head.owner)
        if record is None or record.incarnation != stored.head.owner_incarnation:
            return False
        request = JobReadRequest(stored.job_id, stored.head.total, False)
        answer = await read_from_owner(self._http, record.peers, request)
        if answer.is_owner:
            # Delays the next question to this owner by at least RANK_DELAY_S.
            self._orphaned_since_s[stored.job_id] = _now_s() + RANK_DELAY_S
            self._timeline.record(
                "owner_answers",
                stored.job_id,
                "gossip reports the owner dead, but it still runs the job",
                owner=record.vm,
            )
        return answer.is_owner


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["JobAdoption"]
