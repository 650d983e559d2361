"""Accepts, adopts, hands over and ends jobs, whoever owns them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import replace
from functools import partial

import msgspec

from tamarackshelf.contracts.rows import (
    RowChange,
    RowStoreError,
    StoreRefused,
    StoreUncertain,
)
from tamarackshelf.errors import OutcomeUnknown, StoreUnavailable
from tamarackshelf.jobs.owned_job import OwnedJob
from tamarackshelf.jobs.reader import RETRY_AFTER_S, JobReader, to_unavailable
from tamarackshelf.jobs.runner import JobRunner
from tamarackshelf.jobs.scorer import TableSource
from tamarackshelf.net import HttpClient
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.peer_jobs import (
    HandoverOutcome,
    JobHandover,
    JobRead,
    ask_owner,
    hand_over_to,
)
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.store.job_store import (
    HEAD_KEY,
    HeadChanged,
    JobStore,
    StoredHead,
    decode_head,
)
from tamarackshelf.store.link import StoreLink
from tamarackshelf.store.table_watch import TableWatch
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world.job import Job, JobHead, JobState

TICK_S = 0.2
CLAIM_GAP_S = 0.08
# The first in rank takes an orphaned job at once; others wait in case it cannot.
RANK_PAUSE_S = 1.5
ACCEPT_TIMEOUT_S = 3.0
CHANGE_TRIES = 8
# Several steps of each trainer, so that their order does not matter.
WORK_WINDOW_S = 20.0
# Peers that are asked in turn to take a job of a node that stops.
HEIRS_TRIED = 3


class JobDesk:
    """Takes jobs in and decides which of them this node runs."""

    def __init__(
        self,
        link: StoreLink,
        store: JobStore,
        watch: TableWatch,
        runner: JobRunner,
        http: HttpClient,
        table: TableSource,
        timeline: Timeline,
    ) -> None:
        self.fleet: Fleet | None = None
        self._link = link
        self._store = store
        self._watch = watch
        self._runner = runner
        self._http = http
        self._timeline = timeline
        self._table = table
        self._heads: dict[str, StoredHead] = {}
        self.reader = JobReader(store, runner, self._heads, http)
        self._orphaned_s: dict[str, float] = {}
        self._accepting: set[str] = set()
        self._taking: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None
        watch.on_change(self._take_rows)

    @property
    def heads(self) -> Mapping[str, StoredHead]:
        """Returns the heads of all jobs that this node knows."""
        return self._heads

    def measure_work(self) -> dict[str, float]:
        """Returns the expected tokens of the jobs accepted lately, by model."""
        now_ms = self._link.now_store_ms() or 0
        work: dict[str, float] = {}
        for stored in self._heads.values():
            head = stored.head
            if now_ms - head.accepted_store_ms <= WORK_WINDOW_S * 1000:
                work[head.model] = work.get(head.model, 0.0) + head.expected_tokens
        return work

    async def start(self, fleet: Fleet) -> None:
        """Starts to look for jobs that this node has to run."""
        self.fleet = self.reader.fleet = fleet
        self._task = start_task("job_desk", self._run)

    async def close(self) -> None:
        """Stops."""
        await stop_tasks(self._task, *self._taking.values())

    async def submit(self, job: Job, due_s: float) -> None:
        """Accepts a job once; returns when it is stored, also for a copy.

        Raises StoreUnavailable when it surely is not stored, OutcomeUnknown when
        that cannot be told.
        """
        if job.job_id in self._heads:
            return
        # The feed may tell of the new row before the store's answer is here.
        self._accepting.add(job.job_id)
        try:
            await self._accept(job, due_s)
        finally:
            self._accepting.discard(job.job_id)

    async def _accept(self, job: Job, due_s: float) -> None:
        head = self._build_head(job)
        is_uncertain = False
        deadline_s = _now_s() + ACCEPT_TIMEOUT_S
        while True:
            try:
                stored = await self._store.insert(job, head)
            except HeadChanged as error:
                self._note_accepted(job, error.current, "it was stored before")
                return
            except StoreUncertain:
                is_uncertain = True
            except StoreRefused as error:
                if not is_uncertain:
                    text = f"the job was not stored: {error}; send it again"
                    raise StoreUnavailable(text, retry_after_s=RETRY_AFTER_S) from error
            else:
                self._note_accepted(job, stored, "it is stored")
                if stored.head.owner == self._own.vm:
                    self._own_job(OwnedJob(job, stored), due_s)
                return
            if _now_s() >= deadline_s:
                raise OutcomeUnknown(
                    "the store did not say whether it took the job; send it again"
                )
            await asyncio.sleep(0.05)

    async def end(self, job_id: str) -> None:
        """Ends a job; raises NotFound or StoreUnavailable."""
        for _ in range(CHANGE_TRIES):
            stored = await self.reader.read_head(job_id)
            if stored.head.state is JobState.ENDED:
                return
            ended = replace(stored.head, state=JobState.ENDED)
            try:
                changed = await self._store.change_head(stored, ended)
            except HeadChanged:
                continue
            except RowStoreError as error:
                raise to_unavailable(error) from error
            self._timeline.record("job_end_stored", job_id, "its caller ended it")
            await self._note_head(changed)
            return
        raise StoreUnavailable(
            "the job's head changed too often; send the request again",
            retry_after_s=RETRY_AFTER_S,
        )

    async def hand_over(self) -> None:
        """Gives every open job of this node to another one."""
        owned = list(self._runner.jobs.values())
        await asyncio.gather(*(self._give(job) for job in owned if job.is_open))

    async def verify(self) -> None:
        """Reads the heads of this node's jobs anew after it stood still."""
        for job_id in list(self._runner.jobs):
            while True:
                try:
                    stored = await self._store.read_head(job_id)
                    break
                except RowStoreError as error:
                    self._timeline.record("job_unverified", job_id, str(error))
                    await asyncio.sleep(TICK_S)
            if stored is not None:
                await self._note_head(stored)

    @property
    def _own(self) -> NodeRecord:
        assert self.fleet is not None
        return self.fleet.own

    def _build_head(self, job: Job) -> JobHead:
        assert self.fleet is not None
        owner = self._own
        if self.fleet.is_leaving:
            # A node that stops accepts jobs for the others.
            names = {record.vm: record for record in self.fleet.peers()}
            ranked = rank_owners(names, job.job_id)
            owner = names[ranked[0]] if ranked else owner
        return JobHead(
            owner=owner.vm,
            owner_incarnation=owner.incarnation,
            epoch=1,
            state=JobState.OPEN,
            total=len(job.items),
            accepted_store_ms=self._link.now_store_ms() or 0,
            host=job.host,
            path=job.path,
            model=job.model,
            expected_tokens=sum(item.expected_tokens for item in job.items),
        )

    def _note_accepted(self, job: Job, stored: StoredHead | None, reason: str) -> None:
        self._timeline.record(
            "job_accepted",
            job.job_id,
            reason,
            step=job.step,
            model=job.model,
            items=len(job.items),
            min_version=job.min_version,
            owner=stored.head.owner if stored else "",
        )
        if stored is not None:
            self._heads.setdefault(job.job_id, stored)

    def _own_job(self, owned: OwnedJob, due_s: float) -> None:
        if owned.job_id not in self._runner.jobs:
            self._runner.add(owned, due_s)

    async def _give(self, job: OwnedJob) -> None:
        """Stops a job's runs and hands it over, over the peers or the store."""
        assert self.fleet is not None
        names = {record.vm: record for record in self.fleet.peers()}
        ranked = rank_owners(names, job.job_id)
        await self._runner.drop(job.job_id, "this node stops")
        handover = JobHandover(
            job.job, job.stored, tuple(job.listed), tuple(job.unlisted), job.texts()
        )
        for name in ranked[:HEIRS_TRIED]:
            outcome = await hand_over_to(self._http, names[name].peers, handover)
            if outcome is HandoverOutcome.REFUSED:
                continue
            # A peer that gave no answer may run the job; a second one must not.
            self._timeline.record(
                "job_handed_over",
                job.job_id,
                "this node stops",
                to=name,
                outcome=outcome.value,
                unlisted=len(job.unlisted),
                texts=len(handover.texts),
            )
            return
        try:
            await self._runner.save_progress(job)
        except (HeadChanged, RowStoreError) as error:
            # The others see this node leave and take the job then.
            self._timeline.record("job_not_handed_over", job.job_id, str(error))

    def take_handover(self, handover: JobHandover) -> bool:
        """Goes on with a job whose owner stops; claims it in the store meanwhile."""
        job_id = handover.job.job_id
        known = self._heads.get(job_id)
        is_stale = known is not None and known.version > handover.stored.version
        if self.fleet is None or self.fleet.is_leaving or is_stale:
            return False
        if job_id in self._runner.jobs or job_id in self._taking:
            return False
        texts = {text.item_id: text for text in handover.texts}
        owned = OwnedJob(
            handover.job, handover.stored, handover.listed, texts, handover.unlisted
        )
        owned.await_claim(self._own_head(handover.stored.head))
        self._own_job(owned, self._compute_due(handover.stored.head))
        self._timeline.record(
            "job_received",
            job_id,
            f"{handover.stored.head.owner} stops",
            unlisted=len(handover.unlisted),
            texts=len(texts),
        )
        task = asyncio.get_running_loop().create_task(self._claim(owned))
        self._taking[job_id] = task
        task.add_done_callback(partial(self._end_take, job_id))
        return True

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
            owned.note_claimed(stored)
            self._note_known(stored)

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
            self._note_known(current)
        await self._runner.drop(owned.job_id, "another node owns it or it has ended")

    def _own_head(self, head: JobHead) -> JobHead:
        own = self._own
        return replace(
            head,
            owner=own.vm,
            owner_incarnation=own.incarnation,
            epoch=head.epoch + 1,
        )

    async def _note_head(self, stored: StoredHead) -> None:
        self._note_known(stored)
        await self._runner.note_head(stored)

    def _note_known(self, stored: StoredHead) -> None:
        known = self._heads.get(stored.job_id)
        if known is None or stored.version > known.version:
            self._heads[stored.job_id] = stored

    def _take_rows(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            if change.at.key != HEAD_KEY:
                continue
            if change.value is None:
                self._heads.pop(change.at.part, None)
                continue
            try:
                head = decode_head(change.value)
            except msgspec.DecodeError as error:
                self._timeline.record("row_unreadable", change.at.part, str(error))
                continue
            stored = StoredHead(change.at.part, head, change.version)
            self._note_known(stored)
            if stored.job_id in self._runner.jobs:
                loop = asyncio.get_running_loop()
                loop.create_task(self._runner.note_head(stored))
        self._look()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._look()

    def _look(self) -> None:
        """Starts to run jobs that are this node's, and takes orphaned ones."""
        if self.fleet is None or self.fleet.is_leaving or self._runner.is_paused:
            return
        for job_id, stored in self._heads.items():
            is_idle = stored.head.state is not JobState.OPEN
            is_taken = job_id in self._taking or job_id in self._accepting
            if is_idle or is_taken or job_id in self._runner.jobs:
                continue
            if self._should_take(stored):
                loop = asyncio.get_running_loop()
                task = loop.create_task(self._adopt(stored))
                self._taking[job_id] = task
                task.add_done_callback(partial(self._end_take, job_id))

    def _end_take(self, job_id: str, _: asyncio.Task[None]) -> None:
        self._taking.pop(job_id, None)

    def _should_take(self, stored: StoredHead) -> bool:
        assert self.fleet is not None
        head = stored.head
        if (head.owner, head.owner_incarnation) == (
            self._own.vm,
            self._own.incarnation,
        ):
            return True
        if not self.fleet.is_gone(head.owner, head.owner_incarnation):
            self._orphaned_s.pop(stored.job_id, None)
            return False
        since_s = self._orphaned_s.setdefault(stored.job_id, _now_s())
        # Nobody can take a job while the store is away, so ranks count from then.
        since_s = max(since_s, self._link.recovered_at_s)
        names = [record.vm for record in self.fleet.living()]
        rank = rank_owners(names, stored.job_id).index(self._own.vm)
        return _now_s() - since_s >= rank * RANK_PAUSE_S

    async def _adopt(self, stored: StoredHead) -> None:
        """Takes a job over and goes on where its results and texts are."""
        started_s = _now_s()
        own, head = self._own, stored.head
        try:
            if (head.owner, head.owner_incarnation) != (own.vm, own.incarnation):
                if await self._does_owner_answer(stored):
                    return
                new = self._own_head(head)
                stored = await self._store.change_head(stored, new)
                self._timeline.record(
                    "job_taken_over",
                    stored.job_id,
                    f"{head.owner} runs no more",
                    epoch=new.epoch,
                )
            job, listed, progress = await asyncio.gather(
                self._store.read_job(stored.job_id),
                self._store.read_all_results(stored.job_id),
                self._store.read_progress(stored.job_id),
            )
        except HeadChanged as error:
            if error.current is not None:
                await self._note_head(error.current)
            return
        except RowStoreError as error:
            self._timeline.record("job_not_taken", stored.job_id, str(error))
            return
        if job is None:
            self._timeline.record(
                "job_missing", stored.job_id, "its body is not stored"
            )
            return
        known = self._heads.get(stored.job_id)
        if known is not None and known.version > stored.version:
            stored = known
            if stored.head.owner != own.vm:
                return
        self._heads[stored.job_id] = stored
        owned = OwnedJob(job, stored, listed, progress)
        self._own_job(owned, self._compute_due(stored.head))
        self._timeline.record(
            "job_adopted",
            stored.job_id,
            "its rows were read",
            listed=len(listed),
            with_text=len(progress),
            took_ms=round((_now_s() - started_s) * 1000),
        )

    async def _does_owner_answer(self, stored: StoredHead) -> bool:
        """Asks an owner that is held for dead; whoever answers keeps its job."""
        assert self.fleet is not None
        record = self.fleet.find(stored.head.owner)
        if record is None or record.incarnation != stored.head.owner_incarnation:
            return False
        request = JobRead(stored.job_id, stored.head.total, False)
        answer = await ask_owner(self._http, record.peers, request)
        if answer.is_owner:
            # Asked again only after a while.
            self._orphaned_s[stored.job_id] = _now_s() + RANK_PAUSE_S
            self._timeline.record(
                "owner_answers",
                stored.job_id,
                "gossip holds it for dead, but it still runs the job",
                owner=record.vm,
            )
        return answer.is_owner

    def _compute_due(self, head: JobHead) -> float:
        now_ms = self._link.now_store_ms()
        age_s = (now_ms - head.accepted_store_ms) / 1000 if now_ms else 0.0
        table = self._table()
        found = None if table is None else table.find(head.host, head.path)
        due_after_s = 0.0 if found is None else found.job_due_s
        return _now_s() - age_s + due_after_s


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["JobDesk"]
