"""Hands running jobs from node to node by direct calls between them.

The new owner runs a job at once and stores its ownership afterwards.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.jobs.item_state import StopCause
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
from tamarackshelf.world.job import ItemResult, JobState, is_same_claim

# A stopping node offers a job to this many peers, one after another.
MAX_PEERS_TRIED = 3
CLAIM_RETRY_DELAY_S = 0.08
# Short, because no node runs the job until the home node has accepted it, which takes a
# live node only milliseconds.
HOME_HANDOVER_TIMEOUT_S = 0.25


class JobHandovers:
    """Hands this node's jobs to peers and accepts jobs from peers."""

    def __init__(
        self,
        registry: JobRegistry,
        store: JobStore,
        runner: JobRunner,
        http: HttpClient,
        timeline: Timeline,
    ) -> None:
        self._registry = registry
        self._store = store
        self._runner = runner
        self._http = http
        self._timeline = timeline

    async def hand_over_all(self) -> None:
        """Stop the runs of every open job of this node and hand the job to a peer."""
        owned = list(self._runner.jobs.values())
        await asyncio.gather(*(self._hand_over(job) for job in owned if job.is_open))

    async def place_new_job(self, job: OwnedJob, due_s: float) -> None:
        """Hand a new job to the home node of its model, or run it here if that fails.

        The home node runs all jobs of the model, so that its open connections to the
        engines are reused. `due_s` is a time on the event loop's clock.
        """
        home = self._find_home_node(job.job.model)
        outcome = HandoverOutcome.REFUSED
        if home is not None:
            outcome = await self._offer(home, job)
        if home is not None and outcome is HandoverOutcome.TAKEN:
            # The entry is removed when the store reports the home node's claim.
            self._registry.handed_over[job.job_id] = home
            return
        # The job may have ended, or the home node have claimed it, meanwhile.
        newest = self._registry.heads.get(job.job_id, job.stored)
        if not is_same_claim(newest.head, job.stored.head):
            return
        job.update_stored(newest)
        if outcome is HandoverOutcome.UNCERTAIN:
            # The home node may run the job too. Only the node whose claim is stored
            # first may list results.
            job.set_pending_claim(self._registry.build_claim_head(job.stored.head))
        if job.job_id not in self._runner.jobs:
            self._runner.add(job, due_s)
            await self._claim(job)

    def accept(self, handover: JobHandover) -> bool:
        """Continue a job of another node, and claim it in the store in the background.

        Return False when this node leaves, knows a newer head or has the job already.
        """
        job_id = handover.job.job_id
        registry = self._registry
        known = registry.heads.get(job_id)
        is_stale = known is not None and known.version > handover.stored.version
        if registry.fleet is None or registry.fleet.is_leaving or is_stale:
            return False
        if job_id in self._runner.jobs or registry.is_in_transition(job_id):
            return False
        texts = {text.item_id: text for text in handover.texts}
        job, stored = handover.job, handover.stored
        if known is not None and not job.organisation:
            # A node of an earlier release hands jobs over without the name.
            name = known.head.organisation
            job = replace(job, organisation=name)
            stored = replace(stored, head=replace(stored.head, organisation=name))
        head = stored.head
        owned = OwnedJob(job, stored, handover.listed, texts, handover.unlisted)
        owned.set_pending_claim(registry.build_claim_head(head))
        self._runner.add(owned, registry.compute_due_s(head))
        self._timeline.record(
            "job_received",
            job_id,
            f"{head.owner} handed the job over",
            unlisted=len(handover.unlisted),
            texts=len(texts),
        )
        registry.run_exclusively(job_id, self._claim(owned))
        return True

    async def _offer(self, home: NodeRecord, job: OwnedJob) -> HandoverOutcome:
        outcome = await hand_over_job(
            self._http, home.peers, _build_handover(job), HOME_HANDOVER_TIMEOUT_S
        )
        self._record_handover(
            job, home, outcome, f"{home.vm} is the home node of {job.job.model}"
        )
        if outcome is HandoverOutcome.UNCERTAIN:
            request = JobReadRequest(job.job_id, len(job.items), False)
            if (await read_from_owner(self._http, home.peers, request)).is_owner:
                return HandoverOutcome.TAKEN
        return outcome

    def _find_home_node(self, model: str) -> NodeRecord | None:
        """Return the home node of a model's jobs, or None if it is this node.

        It is the node that ranks first for the model in this node's data centre.
        """
        fleet = self._registry.fleet
        assert fleet is not None
        own = self._registry.own
        candidates = {
            record.vm: record
            for record in fleet.list_live_nodes()
            if record.data_centre == own.data_centre
        }
        ranked = rank_weighted({vm: candidates[vm].cores for vm in candidates}, model)
        if not ranked or ranked[0] == own.vm:
            return None
        return candidates[ranked[0]]

    async def _hand_over(self, job: OwnedJob) -> None:
        """Stop a job's runs and hand the job to a peer, or store its texts instead."""
        fleet = self._registry.fleet
        assert fleet is not None
        peers = {record.vm: record for record in fleet.peers()}
        ranked = rank_weighted({vm: peers[vm].cores for vm in peers}, job.job.model)
        await self._runner.drop(
            job.job_id, "this node is stopping", StopCause.HANDED_OVER
        )
        handover = _build_handover(job)
        for name in ranked[:MAX_PEERS_TRIED]:
            outcome = await hand_over_job(self._http, peers[name].peers, handover)
            if outcome is HandoverOutcome.REFUSED:
                continue
            # A peer whose answer was lost may run the job, so no other peer may get it.
            self._record_handover(job, peers[name], outcome, "this node is stopping")
            return
        try:
            await self._runner.save_progress(job)
        except (HeadChanged, RowStoreError) as error:
            # A peer adopts the job once gossip reports that this node has left.
            self._timeline.record("job_not_handed_over", job.job_id, str(error))

    async def _claim(self, owned: OwnedJob) -> None:
        """Store a claim, which names this node as owner, then allow listing.

        Retry while the store fails, and stop once the job is dropped. Each attempt is
        built from the head on which it depends: the job may have ended meanwhile.
        """
        while owned.pending_claim is not None and not owned.is_closed:
            if not owned.stored.head.organisation:
                await self._restore_organisation(owned)
                if owned.pending_claim is None or owned.is_closed:
                    return
            if not owned.is_open:
                await self._runner.drop(
                    owned.job_id, "the job is not open", StopCause.JOB_ENDED
                )
                return
            claim = self._registry.build_claim_head(owned.stored.head)
            owned.pending_claim = claim
            try:
                stored = await self._store.change_head(owned.stored, claim)
            except HeadChanged as error:
                await self._resolve_claim_conflict(owned, error.current)
                return
            except RowStoreError as error:
                self._timeline.record("job_unclaimed", owned.job_id, str(error))
                await asyncio.sleep(CLAIM_RETRY_DELAY_S)
                continue
            self._registry.update(stored)
            await self._resume_listing(owned, stored)

    async def _restore_organisation(self, owned: OwnedJob) -> None:
        """Take the organisation from the stored body if the hand-over named none.

        While the body is not readable the job is claimed without it; access is decided
        by the body then.
        """
        if not self._registry.has_organisations():
            return
        try:
            restored = await self._registry.restore_organisation(owned.stored)
        except RowStoreError as error:
            self._timeline.record("job_unverified", owned.job_id, str(error))
            return
        name = restored.head.organisation
        if not name:
            return
        owned.job = replace(owned.job, organisation=name)
        head = replace(owned.stored.head, organisation=name)
        owned.stored = replace(owned.stored, head=head)

    async def _resume_listing(self, owned: OwnedJob, stored: StoredHead) -> None:
        """Allow the job's results to be listed after those that the store holds.

        The previous owner may have listed more results than it handed over.
        """
        while not owned.is_closed:
            try:
                listed = await self._store.read_all_results(owned.job_id)
            except RowStoreError as error:
                self._timeline.record("job_unverified", owned.job_id, str(error))
                await asyncio.sleep(CLAIM_RETRY_DELAY_S)
                continue
            if len(listed) > len(owned.listed):
                await self._rebuild(owned, stored, listed)
            else:
                owned.confirm_claim(stored)
            return

    async def _rebuild(
        self, owned: OwnedJob, stored: StoredHead, listed: list[ItemResult]
    ) -> None:
        """Replace a job by one that starts from the results that the store lists."""
        texts = {text.item_id: text for text in owned.partial_texts()}
        known = {result.item_id for result in listed}
        unlisted = [each for each in owned.unlisted if each.item_id not in known]
        await self._runner.drop(
            owned.job_id,
            "the store lists more results of the job than this node knew",
            StopCause.HANDED_OVER,
        )
        renewed = OwnedJob(owned.job, stored, listed, texts, unlisted)
        self._runner.add(renewed, self._registry.compute_due_s(stored.head))

    async def _resolve_claim_conflict(
        self, owned: OwnedJob, current: StoredHead | None
    ) -> None:
        """Drop the job if its owner changed or it is not open; else claim it again."""
        if current is not None:
            is_unclaimed = is_same_claim(current.head, owned.stored.head)
            if is_unclaimed and current.head.state is JobState.OPEN:
                owned.update_stored(current)
                await self._claim(owned)
                return
            self._registry.update(current)
        await self._runner.drop(
            owned.job_id,
            "another node owns the job, or the job is not open",
            StopCause.HANDED_OVER,
        )

    def _record_handover(
        self, job: OwnedJob, to: NodeRecord, outcome: HandoverOutcome, reason: str
    ) -> None:
        self._timeline.record(
            "job_handed_over",
            job.job_id,
            reason,
            to=to.vm,
            outcome=outcome.value,
            unlisted=len(job.unlisted),
            texts=len(job.partial_texts()),
        )


def _build_handover(job: OwnedJob) -> JobHandover:
    return JobHandover(
        job.job, job.stored, tuple(job.listed), tuple(job.unlisted), job.partial_texts()
    )


__all__ = ["JobHandovers"]
