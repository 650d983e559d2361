"""Accepts, reads and ends jobs, whichever node owns them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import replace

from tamarackshelf.contracts.rows import (
    RowChange,
    RowStoreError,
    RowUnreadable,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tamarackshelf.decoding import InvalidInput
from tamarackshelf.errors import NotFound, OutcomeUnknown, StoreUnavailable
from tamarackshelf.jobs.adoption import JobAdoption
from tamarackshelf.jobs.handover import JobHandovers
from tamarackshelf.jobs.owned_job import OwnedJob
from tamarackshelf.jobs.reader import RETRY_AFTER_S, JobReader, to_unavailable
from tamarackshelf.jobs.registry import JobRegistry
from tamarackshelf.jobs.runner import JobRunner
from tamarackshelf.jobs.scorer import RouteTableGetter
from tamarackshelf.net import HttpClient
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.observe import Timeline
from tamarackshelf.organisations.job_access import list_stored_ids, may_access
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.job_store import (
    HEAD_KEY,
    HeadChanged,
    JobStore,
    StoredHead,
    decode_head,
)
from tamarackshelf.store.table_watch import TableWatch
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world.job import Job, JobHead, JobState, ModelDemand

POLL_INTERVAL_S = 0.2
ACCEPT_TIMEOUT_S = 3.0
MAX_CHANGE_ATTEMPTS = 8


class JobManager:
    """Accepts jobs and keeps this node's registry of all jobs up to date."""

    def __init__(
        self,
        row_store: FailoverStore,
        store: JobStore,
        watch: TableWatch,
        runner: JobRunner,
        http: HttpClient,
        get_route_table: RouteTableGetter,
        timeline: Timeline,
    ) -> None:
        self._row_store = row_store
        self._store = store
        self._runner = runner
        self._timeline = timeline
        self._registry = JobRegistry(row_store, store, get_route_table)
        self._adoption = JobAdoption(
            self._registry, row_store, store, runner, http, timeline
        )
        self.handovers = JobHandovers(self._registry, store, runner, http, timeline)
        self.reader = JobReader(store, runner, self._registry, http)
        self._task: asyncio.Task[None] | None = None
        watch.on_change(self._apply_rows)

    @property
    def fleet(self) -> Fleet | None:
        """The fleet, or None before the start."""
        return self._registry.fleet

    @property
    def heads(self) -> Mapping[str, StoredHead]:
        """The heads of all jobs that this node knows, by job id."""
        return self._registry.heads

    def measure_demand(self) -> dict[str, ModelDemand]:
        """Return by model what recently accepted jobs require of its engines."""
        return self._registry.measure_demand()

    async def start(self, fleet: Fleet) -> None:
        """Start to look for jobs that this node should adopt."""
        self._registry.fleet = self.reader.fleet = fleet
        self._task = start_task("job_desk", self._run)

    async def close(self) -> None:
        """Stop adopting jobs, and all hand-overs in progress."""
        await stop_tasks(self._task)
        await self._registry.close()

    async def submit(self, job: Job, due_s: float) -> None:
        """Store a job and start to place it on a node; ignore a job known already.

        `due_s` is when the results are due, on the event loop's clock. If a job of
        another organisation has the id, the job is stored under a second id. Raise
        StoreUnavailable when the job is certainly not stored, OutcomeUnknown when it
        may be stored.
        """
        heads = self._registry.heads
        ids = list_stored_ids(job.job_id, job.organisation)
        for stored in [heads[each] for each in ids if each in heads]:
            try:
                if await self._may_access(stored, job.organisation):
                    return
            except RowStoreError as error:
                raise to_unavailable(error) from error
        for stored_id in ids:
            if stored_id in heads:
                continue
            self._registry.accepting.add(stored_id)
            try:
                if await self._accept(replace(job, job_id=stored_id), due_s):
                    return
            finally:
                self._registry.accepting.discard(stored_id)
        # Only an id that was chosen to be another organisation's second id leads here.
        raise NotFound(f"there is no job {job.job_id}; choose another id")

    async def end(self, job_id: str, organisation: str = "") -> None:
        """Store that a job has ended, and stop its runs if they are at this node.

        Raise NotFound, or StoreUnavailable when the end may not be stored.
        """
        job_id = await self.reader.find_stored_id(job_id, organisation)
        for _ in range(MAX_CHANGE_ATTEMPTS):
            stored = await self.reader.read_head(job_id)
            if stored.head.state is JobState.ENDED:
                return
            try:
                if organisation:
                    stored = await self._registry.restore_organisation(stored)
                ended = replace(stored.head, state=JobState.ENDED)
                changed = await self._store.change_head(stored, ended)
            except HeadChanged:
                continue
            except RowStoreError as error:
                raise to_unavailable(error) from error
            self._timeline.record("job_end_stored", job_id, "the caller ended the job")
            await self._update_head(changed)
            return
        raise StoreUnavailable(
            "the job's head changed during every attempt; send the request again",
            retry_after_s=RETRY_AFTER_S,
        )

    async def refresh_heads(self) -> None:
        """Read the heads of this node's jobs again after the process was frozen.

        Jobs that another node owns now are dropped; while the store fails, wait.
        """
        for job_id in list(self._runner.jobs):
            while True:
                try:
                    stored = await self._store.read_head(job_id)
                    break
                except RowUnreadable as error:
                    # The job's next write finds out whether it is still this node's.
                    self._timeline.record("job_unverified", job_id, str(error))
                    stored = None
                    break
                except RowStoreError as error:
                    self._timeline.record("job_unverified", job_id, str(error))
                    await asyncio.sleep(POLL_INTERVAL_S)
            if stored is not None:
                await self._update_head(stored)

    async def _accept(self, job: Job, due_s: float) -> bool:
        """Store a job; return False if a job of another organisation has the id."""
        head = self._build_head(job)
        is_uncertain = False
        deadline_s = _now_s() + ACCEPT_TIMEOUT_S
        while True:
            try:
                stored = await self._store.insert(job, head)
            except HeadChanged as error:
                current = error.current
                try:
                    is_other = current is not None and not await self._may_access(
                        current, job.organisation
                    )
                except RowStoreError as failure:
                    raise OutcomeUnknown(
                        "the store did not confirm the job; send the job again"
                    ) from failure
                if current is not None and is_other:
                    self._registry.update(current)
                    return False
                self._record_accepted(job, current, "the job was already stored")
                return True
            except StoreOutcomeUnknown:
                is_uncertain = True
            except StoreRefused as error:
                if not is_uncertain:
                    message = f"the job was not stored: {error}; send the job again"
                    raise StoreUnavailable(
                        message, retry_after_s=RETRY_AFTER_S
                    ) from error
            else:
                self._record_accepted(job, stored, "the job is stored")
                if stored.head.owner == self._registry.own.vm:
                    self._start_job(OwnedJob(job, stored), due_s)
                return True
            if _now_s() >= deadline_s:
                raise OutcomeUnknown(
                    "the store did not confirm the job; send the job again"
                )
            await asyncio.sleep(0.05)

    async def _may_access(self, stored: StoredHead, organisation: str) -> bool:
        """Return whether an organisation may use a job; raise RowStoreError."""
        if organisation:
            stored = await self._registry.restore_organisation(stored)
        return may_access(stored.head.organisation, organisation)

    def _start_job(self, owned: OwnedJob, due_s: float) -> None:
        if owned.job_id not in self._runner.jobs:
            self._registry.run_exclusively(
                owned.job_id, self.handovers.place_new_job(owned, due_s)
            )

    def _build_head(self, job: Job) -> JobHead:
        fleet, owner = self._registry.fleet, self._registry.own
        assert fleet is not None
        if fleet.is_leaving:
            # A stopping node accepts jobs on behalf of its peers.
            names = {record.vm: record for record in fleet.peers()}
            ranked = rank_owners(names, job.job_id)
            owner = names[ranked[0]] if ranked else owner
        return JobHead(
            owner=owner.vm,
            owner_incarnation=owner.incarnation,
            epoch=1,
            state=JobState.OPEN,
            total=len(job.items),
            accepted_store_ms=self._row_store.now_store_ms() or 0,
            host=job.host,
            path=job.path,
            model=job.model,
            expected_tokens=sum(item.expected_tokens for item in job.items),
            min_version=job.min_version,
            organisation=job.organisation,
        )

    def _record_accepted(
        self, job: Job, stored: StoredHead | None, reason: str
    ) -> None:
        self._timeline.record(
            "job_accepted",
            job.job_id,
            reason,
            step=job.step,
            model=job.model,
            items=len(job.items),
            min_version=job.min_version,
            owner=stored.head.owner if stored else "",
            organisation=job.organisation,
        )
        if stored is not None:
            self._registry.update(stored)

    async def _update_head(self, stored: StoredHead) -> None:
        self._registry.update(stored)
        await self._runner.update_head(stored)

    def _apply_rows(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            if change.at.key != HEAD_KEY:
                continue
            if change.value is None:
                self._registry.forget(change.at.part)
                self._adoption.forget(change.at.part)
                continue
            try:
                head = decode_head(change.value)
            except InvalidInput as error:
                self._timeline.record("row_unreadable", change.at.part, str(error))
                continue
            stored = StoredHead(change.at.part, head, change.version)
            self._registry.update(stored)
            if stored.job_id in self._runner.jobs:
                loop = asyncio.get_running_loop()
                loop.create_task(self._runner.update_head(stored))
        self._adoption.start_adoptions()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._adoption.start_adoptions()


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["JobManager"]
