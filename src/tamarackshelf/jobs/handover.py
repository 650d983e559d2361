"""Hands running jobs from node to node in memory; the store learns of it meanwhile."""

from __future__ import annotations

import asyncio

from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.jobs.owned_job import OwnedJob
from tamarackshelf.jobs.registry import JobRegistry
from tamarackshelf.jobs.runner import JobRunner
from tamarackshelf.net import HttpClient
from tamarackshelf.node.peer_jobs import (
    HandoverOutcome,
    JobHandover,
    JobReadRequest,
    hand_over_job,
    read_from_owner,
)
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.ownership import rank_weighted
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.store.job_store import HeadChanged, JobStore, StoredHead
from tamarackshelf.world.job import ItemResult, JobState

# Peers that are asked in turn to take a job of a node that stops.
HEIRS_TRIED = 3
CLAIM_GAP_S = 0.08
# A living peer takes a job within milliseconds; until it has, nobody runs it.
HOME_TIMEOUT_S = 0.25


class JobHandovers:
    """Gives this node's jobs away and takes those of others."""

    def __init__(
        self,
        book: JobRegistry,
        store: JobStore,
        runner: JobRunner,
        http: HttpClient,
        timeline: Timeline,
    ) -> None:
        self._book = book
        self._store = store
        self._runner = runner
        self._http = http
        self._timeline = timeline

    async def hand_over_all(self) -> None:
        """Gives every open job of this node to another one."""
        owned = list(self._runner.jobs.values())
        await asyncio.gather(*(self._give(job) for job in owned if job.is_open))

    async def send_home(self, job: OwnedJob, due_s: float) -> None:
        """Gives a new job to its model's home; runs it here when that fails.

        One node for all jobs of a model uses its connections to the engines again.
        """
        home = self._find_home(job.job.model)
        outcome = HandoverOutcome.REFUSED
        if home is not None:
            outcome = await self._offer(home, job)
        if home is not None and outcome is HandoverOutcome.TAKEN:
            # Its claim of the job reaches this node over the store.
            self._book.given[job.job_id] = home
            return
        if outcome is HandoverOutcome.UNCERTAIN:
            # The home may have it; whichever claim is stored first lists results.
            job.await_claim(self._book.build_own_head(job.stored.head))
        if job.job_id not in self._runner.jobs:
            self._runner.add(job, due_s)
            await self._claim(job)

    def accept(self, handover: JobHandover) -> bool:
        """Goes on with a job of another node and claims it in the store meanwhile."""
        job_id = handover.job.job_id
        book = self._book
        known = book.heads.get(job_id)
        is_stale = known is not None and known.version > handover.stored.version
        if book.fleet is None or book.fleet.is_leaving or is_stale:
            return False
        if job_id in self._runner.jobs or book.is_taking(job_id):
            return False
        texts = {text.item_id: text for text in handover.texts}
        head = handover.stored.head
        owned = OwnedJob(
            handover.job, handover.stored, handover.listed, texts, handover.unlisted
        )
        owned.await_claim(book.build_own_head(head))
        self._runner.add(owned, book.compute_due_s(head))
        self._timeline.record(
            "job_received",
            job_id,
            f"{head.owner} gave it",
            unlisted=len(handover.unlisted),
            texts=len(texts),
        )
        book.take(job_id, self._claim(owned))
        return True

    async def _offer(self, home: NodeRecord, job: OwnedJob) -> HandoverOutcome:
        outcome = await hand_over_job(
            self._http, home.peers, _pack(job), HOME_TIMEOUT_S
        )
        self._record(job, home, outcome, f"it is the home of {job.job.model}")
        if outcome is HandoverOutcome.UNCERTAIN:
            request = JobReadRequest(job.job_id, len(job.items), False)
            if (await read_from_owner(self._http, home.peers, request)).is_owner:
                return HandoverOutcome.TAKEN
        return outcome

    def _find_home(self, model: str) -> NodeRecord | None:
        """Returns the node for a model's jobs, or None when it is this one."""
        fleet = self._book.fleet
        assert fleet is not None
        own = self._book.own
        near = {
            record.vm: record
            for record in fleet.list_live_nodes()
            if record.data_centre == own.data_centre
        }
        ranked = rank_weighted({vm: near[vm].cores for vm in near}, model)
        if not ranked or ranked[0] == own.vm:
            return None
        return near[ranked[0]]

    async def _give(self, job: OwnedJob) -> None:
        """Stops a job's runs and hands it over, over the peers or the store."""
        fleet = self._book.fleet
        assert fleet is not None
        peers = {record.vm: record for record in fleet.peers()}
        ranked = rank_weighted({vm: peers[vm].cores for vm in peers}, job.job.model)
        await self._runner.drop(job.job_id, "this node stops")
        handover = _pack(job)
        for name in ranked[:HEIRS_TRIED]:
            outcome = await hand_over_job(self._http, peers[name].peers, handover)
            if outcome is HandoverOutcome.REFUSED:
                continue
            # A peer that gave no answer may run the job; a second one must not.
            self._record(job, peers[name], outcome, "this node stops")
            return
        try:
            await self._runner.save_progress(job)
        except (HeadChanged, RowStoreError) as error:
            # The others see this node leave and take the job then.
            self._timeline.record("job_not_handed_over", job.job_id, str(error))

    async def _claim(self, owned: OwnedJob) -> None:
        """Writes this node into the head of a job that was handed over."""
        claim = owned.claim
        while claim is not None and owned.claim is claim and not owned.is_closed:
            try:
                stored = await self._store.change_head(owned.stored, claim)
            except HeadChanged as error:
                await self._yield_claim(owned, error.current)
                return
            except RowStoreError as error:
                self._timeline.record("job_unclaimed", owned.job_id, str(error))
                await asyncio.sleep(CLAIM_GAP_S)
                continue
            self._book.note(stored)
            await self._begin_listing(owned, stored)

    async def _begin_listing(self, owned: OwnedJob, stored: StoredHead) -> None:
        """Lists results after those that the owner before may have listed meanwhile."""
        while not owned.is_closed:
            try:
                listed = await self._store.read_all_results(owned.job_id)
            except RowStoreError as error:
                self._timeline.record("job_unverified", owned.job_id, str(error))
                await asyncio.sleep(CLAIM_GAP_S)
                continue
            if len(listed) > len(owned.listed):
                await self._renew(owned, stored, listed)
            else:
                owned.note_claimed(stored)
            return

    async def _renew(
        self, owned: OwnedJob, stored: StoredHead, listed: list[ItemResult]
    ) -> None:
        texts = {text.item_id: text for text in owned.texts()}
        known = {result.item_id for result in listed}
        unlisted = [each for each in owned.unlisted if each.item_id not in known]
        await self._runner.drop(owned.job_id, "more of it is listed than was known")
        renewed = OwnedJob(owned.job, stored, listed, texts, unlisted)
        self._runner.add(renewed, self._book.compute_due_s(stored.head))

    async def _yield_claim(self, owned: OwnedJob, current: StoredHead | None) -> None:
        """Gives way to another owner; claims anew when only the job's end changed."""
        before = owned.stored.head
        if current is not None:
            same = (current.head.owner, current.head.epoch) == (
                before.owner,
                before.epoch,
            )
            if same and current.head.state is JobState.OPEN:
                owned.stored = current
                await self._claim(owned)
                return
            self._book.note(current)
        await self._runner.drop(owned.job_id, "another node owns it or it has ended")

    def _record(
        self, job: OwnedJob, to: NodeRecord, outcome: HandoverOutcome, reason: str
    ) -> None:
        self._timeline.record(
            "job_handed_over",
            job.job_id,
            reason,
            to=to.vm,
            outcome=outcome.value,
            unlisted=len(job.unlisted),
            texts=len(job.texts()),
        )


def _pack(job: OwnedJob) -> JobHandover:
    return JobHandover(
        job.job, job.stored, tuple(job.listed), tuple(job.unlisted), job.texts()
    )


__all__ = ["JobHandovers"]
