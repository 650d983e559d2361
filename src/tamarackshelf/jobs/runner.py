"""Runs the items of the jobs that this node owns."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Coroutine
from functools import partial

from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.contracts.targets import (
    ItemEvent,
    ItemFailed,
    ItemRejected,
    ItemRun,
    NotRun,
    OutcomeUnknown,
    TargetBusy,
    TargetChanged,
    TargetClient,
    TargetLimited,
)
from tamarackshelf.jobs.continuation import EngineUnverified, TextContinuation
from tamarackshelf.jobs.item_state import (
    CurrentRun,
    EventOutOfOrder,
    ItemStage,
    ItemState,
    StopCause,
)
from tamarackshelf.jobs.owned_job import OwnedJob
from tamarackshelf.jobs.scorer import RouteTableGetter, Scorer, ScoringFailed
from tamarackshelf.jobs.stragglers import StragglerMitigation
from tamarackshelf.net.buffers import Buffer, BuffersFull, hold
from tamarackshelf.node.targets import TargetRegistry, TargetState
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.item_placement import (
    EngineCandidate,
    WaitingItem,
    mark_full,
    order_items,
    reserve_capacity,
)
from tamarackshelf.store.job_store import HeadChanged, JobStore, StoredHead
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Target
from tamarackshelf.world.job import ItemResult, JobState, is_same_claim
from tamarackshelf.world.route import Route

# Items are placed at least this often, even when nothing wakes the runner.
TICK_S = 0.1
# An engine sends its first event within one decoding step and the prefill, unless it
# is stuck or loads weights.
FIRST_EVENT_TIMEOUT_S = 2.5
# Several times the longest time between two events of a slow engine, and longer than a
# weight load.
NEXT_EVENT_TIMEOUT_S = 1.3
FULL_ENGINE_BACKOFF_S = 0.12
# Pause before results are written again after the job's head has changed.
CHANGED_HEAD_PAUSE_S = 0.08
FAILED_ITEM_DELAY_S = 0.05
# With less time left, or while engines refuse runs, items that complete groups start
# before longer ones. Otherwise the longest start first, which ends a step sooner that
# is in time: it takes 1 to 2 s on free engines.
GROUPS_FIRST_S = 6.0
# Texts of unfinished items are stored at this interval, for a node that adopts the job.
SAVE_INTERVAL_S = 1.5
MIN_UNSAVED_PIECES = 8
# A trainer reads a job for about this long after its last item has run.
SETTLED_RETENTION_S = 20.0


class VersionMismatch(Exception):
    """Weights older than the job allows, or changed during a single-version text."""


class JobRunner:
    """Places items on engines, collects their texts and lists the results."""

    def __init__(
        self,
        store: JobStore,
        targets: TargetRegistry,
        target_client: TargetClient,
        scorer: Scorer,
        get_route_table: RouteTableGetter,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.jobs: dict[str, OwnedJob] = {}
        self._store = store
        self._targets = targets
        self._target_client = target_client
        self._scorer = scorer
        self._get_route_table = get_route_table
        self._timeline = timeline
        self._metrics = metrics
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._due_s: dict[str, float] = {}
        self.is_paused = False
        self._continuation = TextContinuation(targets, target_client, timeline, metrics)
        self.stragglers = StragglerMitigation(targets, get_route_table, timeline)
        targets.on_change(self._wake.set)

    async def start(self) -> None:
        """Start to place items and to save their texts."""
        self._tasks = [
            start_task("job_runner", self._run),
            start_task("job_progress", self._save_periodically),
        ]

    async def close(self) -> None:
        """Stop all runs and drop all jobs."""
        await stop_tasks(*self._tasks)
        for job in list(self.jobs.values()):
            await self.drop(job.job_id, "this process is stopping", StopCause.SHUTDOWN)

    def add(self, job: OwnedJob, due_s: float) -> None:
        """Add a job; its results are due at `due_s` on the event loop's clock."""
        self.jobs[job.job_id] = job
        job.last_active_at_s = _now_s()
        self._due_s[job.job_id] = due_s
        self._start_listing(job)
        self._wake.set()

    async def drop(
        self, job_id: str, reason: str, cause: StopCause = StopCause.OTHER
    ) -> None:
        """Stop a job's runs, remove it from memory and wake its readers.

        The stopped runs are counted under `cause`.
        """
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        del self._due_s[job_id]
        job.is_closed = True
        self._timeline.record("job_dropped", job_id, reason)
        await stop_tasks(*job.cancel_all(cause), job.listing_task)
        job.notify_readers()

    async def pause(self) -> None:
        """Stop all runs; after `resume` items continue from their texts so far."""
        self.is_paused = True
        # A job may be added or dropped while the runs of another one stop.
        for job in list(self.jobs.values()):
            await stop_tasks(*job.cancel_all(StopCause.PAUSED))

    def resume(self) -> None:
        """Allow items to run again."""
        self.is_paused = False
        self._wake.set()

    async def update_head(self, stored: StoredHead) -> None:
        """Apply a newer head from the store; drop the job if another node owns it."""
        job = self.jobs.get(stored.job_id)
        if job is None or stored.version <= job.stored.version:
            return
        if job.pending_claim is not None and stored.head == job.pending_claim:
            # The task that stored the claim must read the listed results first.
            return
        if not is_same_claim(stored.head, job.stored.head):
            reason = f"{stored.head.owner} owns the job now"
            await self.drop(stored.job_id, reason, StopCause.HANDED_OVER)
            return
        job.stored = stored
        if stored.head.state is JobState.ENDED:
            self._timeline.record(
                "job_ended", stored.job_id, "the end of the job was stored"
            )
            await stop_tasks(*job.cancel_all(StopCause.JOB_ENDED))
            job.notify_readers()

    async def save_progress(self, job: OwnedJob, min_pieces: int = 1) -> None:
        """Store texts that have at least `min_pieces` pieces not stored yet.

        Raise RowStoreError when not all of them are known to be stored.
        """
        unsaved = [
            state
            for state in job.items.values()
            if state.stage in (ItemStage.RUNNING, ItemStage.WAITING)
            and len(state.pieces) - state.saved_pieces >= min_pieces
        ]
        if not unsaved:
            return
        lengths = [len(state.pieces) for state in unsaved]
        await self._store.save_progress(
            job.stored, [state.to_progress() for state in unsaved]
        )
        for state, length in zip(unsaved, lengths, strict=True):
            state.saved_pieces = length

    async def _save_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            for job in list(self.jobs.values()):
                if not job.is_open or job.pending_claim is not None:
                    continue
                try:
                    await self.save_progress(job, MIN_UNSAVED_PIECES)
                except RowStoreError as error:
                    self._timeline.record(
                        "progress_unsaved", job.job_id, str(error) or repr(error)
                    )

    async def _run(self) -> None:
        awake_at_s = _now_s()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            self._wake.clear()
            now_s = _now_s()
            self._discount_sleep(now_s - awake_at_s - TICK_S, now_s)
            awake_at_s = now_s
            self._targets.drop_missing()
            self._evict_settled(now_s)
            if not self.is_paused:
                self._place_all()

    def _discount_sleep(self, slept_s: float, now_s: float) -> None:
        """Discount a time in which this process read nothing from all silences."""
        if slept_s <= 0.0:
            return
        for job in self.jobs.values():
            for state in job.items.values():
                if state.run is not None:
                    state.run.discount_sleep(slept_s, now_s)

    def _evict_settled(self, now_s: float) -> None:
        """Remove complete and ended jobs from memory; the store keeps them."""
        for job_id, job in list(self.jobs.items()):
            if job.is_open or job.unlisted or job.tasks:
                job.last_active_at_s = now_s
            elif now_s - job.last_active_at_s >= SETTLED_RETENTION_S:
                del self.jobs[job_id], self._due_s[job_id]

    def _place_all(self) -> None:
        now_s = _now_s()
        self._resume_scoring()
        self.stragglers.count_unstarted(self.jobs.values(), now_s)
        engines: dict[tuple[str, str], list[EngineCandidate]] = {}
        for waiting in order_items(self._list_waiting(now_s), self._count_running()):
            job = self.jobs[waiting.job_id]
            state = job.items[waiting.item_id]
            route = self._find_route(job, state)
            if route is None:
                continue
            service = self._continuation.choose_service(state, route)
            key = (service, job.job.model)
            if key not in engines:
                engines[key] = [
                    engine
                    if self.stragglers.may_send(engine.name, now_s)
                    else mark_full(engine)
                    for engine in self._targets.list_engine_candidates(*key)
                ]
            name = self._continuation.choose_engine(
                state,
                service,
                engines[key],
                job.job.min_version,
                now_s,
                job.engines_by_group.get(state.item.group, ()),
            )
            target = self._targets.get(name) if name is not None else None
            if target is None:
                continue
            self._start_run(job, state, target, route)
            self.stragglers.unstarted[target.target.name] += 1
            chosen = target.target.name
            engines[key] = [
                mark_full(reserve_capacity(e, chosen))
                if e.name == chosen and not self.stragglers.may_send(chosen, now_s)
                else reserve_capacity(e, chosen)
                for e in engines[key]
            ]
        self.stragglers.check(self.jobs.values(), self._due_s, now_s)

    def _list_waiting(self, now_s: float) -> list[WaitingItem]:
        waiting = []
        for job in self.jobs.values():
            if not job.is_open:
                continue
            startable = [
                state
                for state in job.waiting_items()
                if not state.is_text_complete and state.not_before_s <= now_s
            ]
            ranks = job.rank_groups() if startable else {}
            left_s = self._due_s[job.job_id] - now_s
            is_crowded = left_s < GROUPS_FIRST_S or self.stragglers.is_contended(now_s)
            for state in startable:
                item = state.item
                rank, is_spare = ranks[item.group]
                waiting.append(
                    WaitingItem(
                        job_id=job.job_id,
                        item_id=item.item_id,
                        group=item.group,
                        due_s=self._due_s[job.job_id],
                        expected_tokens=item.expected_tokens,
                        is_begun=state.has_text,
                        model=job.job.model,
                        organisation=job.job.organisation,
                        group_rank=rank if is_crowded else 0,
                        is_spare=is_spare,
                    )
                )
        return waiting

    def _count_running(self) -> Counter[tuple[str, str]]:
        """Return the number of running items by model and organisation."""
        return Counter(
            (job.job.model, job.job.organisation)
            for job in self.jobs.values()
            for state in job.items.values()
            if state.run is not None
        )

    def _resume_scoring(self) -> None:
        """Score the complete texts of waiting items whose score call was stopped."""
        for job in self.jobs.values():
            if job.is_open:
                for state in job.waiting_items():
                    if state.is_text_complete:
                        state.stage = ItemStage.SCORING
                        self._start_item_task(job, state, self._score(job, state))

    def _start_item_task(
        self, job: OwnedJob, state: ItemState, work: Coroutine[None, None, None]
    ) -> None:
        item_id = state.item.item_id
        task = asyncio.get_running_loop().create_task(work, name=f"item_{item_id}")
        job.tasks[item_id] = task
        task.add_done_callback(partial(self._end_item_task, job, state))

    def _end_item_task(
        self, job: OwnedJob, state: ItemState, task: asyncio.Task[None]
    ) -> None:
        """Give back what the item holds, so that it waits again unless it is done.

        A callback does so, as a task that is cancelled before its first step runs
        nothing of its coroutine.
        """
        self._end_run(state)
        if state.stage is not ItemStage.DONE:
            state.stage = ItemStage.WAITING
        job.discard_task(state.item.item_id, task)

    def _end_run(self, state: ItemState) -> None:
        """Give back the place that the item's run has at its engine, if any."""
        if state.run is not None:
            state.run.target.in_flight -= 1
            state.run = None
            self._wake.set()

    def _find_route(self, job: OwnedJob, state: ItemState) -> Route | None:
        route_table = self._get_route_table()
        if route_table is None:
            return None
        return route_table.find(job.job.host, state.item.path)

    def _start_run(
        self, job: OwnedJob, state: ItemState, target: TargetState, route: Route
    ) -> None:
        state.stage = ItemStage.RUNNING
        job.engines_by_group.setdefault(state.item.group, set()).add(target.target.name)
        target.in_flight += 1
        state.run = CurrentRun(target, _now_s())
        self._start_item_task(job, state, self._run_item(job, state, target, route))

    async def _run_item(
        self, job: OwnedJob, state: ItemState, target: TargetState, route: Route
    ) -> None:
        """Run an item once and, if its text is then complete, score it."""
        is_complete = await self._attempt_run(job, state, target, route)
        self._end_run(state)
        if is_complete:
            state.is_text_complete = True
            state.stage = ItemStage.SCORING
            await self._score(job, state)

    async def _attempt_run(
        self, job: OwnedJob, state: ItemState, target: TargetState, route: Route
    ) -> bool:
        """Run an item once on a target; return whether its text is complete."""
        name = target.target.name
        first_piece = len(state.pieces)
        started_s = _now_s()
        reason = "this node stopped the run"
        run = state.run
        try:
            with hold() as held:
                await self._stream_events(job, state, target.target, route, held)
            reason = "whole"
            return True
        except asyncio.CancelledError:
            self._count_stop(StopCause.OTHER if run is None else run.stop_cause)
            raise
        except BuffersFull as error:
            # No engine could continue the text without exceeding the memory again.
            state.reset()
            self._targets.record_fault(name, str(error))
            reason = str(error)
        except NotRun as error:
            # An engine with free slots loads weights: it takes runs in less than 1 s.
            if isinstance(error, TargetBusy) and self._targets.is_full(name):
                self.stragglers.record_refusal(name, _now_s())
            self._targets.record_not_run(name, error, FULL_ENGINE_BACKOFF_S)
            self._metrics.count(f"item_runs_not_run_{_name_refusal(error)}")
            reason = str(error)
        except (OutcomeUnknown, EventOutOfOrder) as error:
            self._targets.record_fault(name, str(error))
            reason = str(error)
        except VersionMismatch as error:
            self._count_stop(StopCause.VERSION)
            reason = str(error)
        except EngineUnverified as error:
            reason = str(error)
            state.reset()
        except ItemFailed as error:
            state.failures += 1
            state.not_before_s = _now_s() + FAILED_ITEM_DELAY_S
            reason = str(error)
            if state.failures >= route.max_attempts:
                self._give_up(job, state, reason)
        except ItemRejected as error:
            reason = str(error)
            self._give_up(job, state, reason)
        finally:
            self._metrics.count("item_runs")
            self._metrics.observe_s("item_run", _now_s() - started_s)
            self._timeline.record(
                "item_run",
                state.item.item_id,
                reason,
                job=job.job_id,
                target=name,
                after=first_piece,
                pieces=len(state.pieces),
                took_ms=round((_now_s() - started_s) * 1000),
            )
        return False

    def _count_stop(self, cause: StopCause) -> None:
        self._metrics.count(f"item_runs_stopped_{cause}")

    async def _stream_events(
        self,
        job: OwnedJob,
        state: ItemState,
        target: Target,
        route: Route,
        held: Buffer,
    ) -> None:
        """Add the events of a run to the item's text, which `held` counts."""
        run = ItemRun(
            item=state.item,
            host=job.job.host,
            after_event_id=state.last_event_id,
            first_event_timeout_s=FIRST_EVENT_TIMEOUT_S,
            next_event_timeout_s=NEXT_EVENT_TIMEOUT_S,
            organisation=job.job.organisation,
        )
        last_s: float | None = None
        is_certain: bool | None = None
        held.add(sum(len(piece) for piece in state.pieces))
        async with contextlib.aclosing(
            self._target_client.run_item(target, run)
        ) as events:
            async for event in events:
                held.add(len(event.data))
                self._check_version(job, state, target, route, event)
                if is_certain is None:
                    is_certain = await self._continuation.verify(state, target)
                state.add(event, target, is_certain=is_certain)
                self._targets.record_success(target.name)
                now_s = _now_s()
                if state.run is not None:
                    if state.run.last_event_at_s is None:
                        self.stragglers.record_start(state.run, now_s)
                    state.run.last_event_at_s = now_s
                if last_s is not None:
                    self._targets.record_duration(target.name, now_s - last_s)
                last_s = now_s
        if not state.pieces:
            raise OutcomeUnknown(f"{target.name} ended the stream without any event")

    def _check_version(
        self,
        job: OwnedJob,
        state: ItemState,
        target: Target,
        route: Route,
        event: ItemEvent,
    ) -> None:
        """Record the target's version; raise VersionMismatch if unusable.

        The text is discarded when a route allows a single version and it has changed.
        """
        self._targets.record_version(target.name, job.job.model, event.version)
        if event.version < job.job.min_version:
            raise VersionMismatch(
                f"{target.name} runs version {event.version}, "
                f"the job requires at least {job.job.min_version}"
            )
        is_mixed = bool(state.versions - {event.version})
        if route.is_single_version and is_mixed:
            state.reset()
            raise VersionMismatch(
                f"{target.name} changed to version {event.version}, "
                "the route allows a single version in a text"
            )

    async def _score(self, job: OwnedJob, state: ItemState) -> None:
        call = state.item.score_call
        started_s = _now_s()
        if call is None:
            self._finish_item(job, state.to_result(""))
            return
        try:
            score = await self._scorer.score(call)
        except ScoringFailed as error:
            self._give_up(job, state, str(error))
            return
        self._metrics.observe_s("score", _now_s() - started_s)
        self._finish_item(job, state.to_result(score))

    def _give_up(self, job: OwnedJob, state: ItemState, reason: str) -> None:
        self._timeline.record(
            "item_given_up", state.item.item_id, reason, job=job.job_id
        )
        self._finish_item(job, ItemResult(state.item.item_id, is_complete=False))

    def _finish_item(self, job: OwnedJob, result: ItemResult) -> None:
        job.add_result(result)
        self._start_listing(job)

    def _start_listing(self, job: OwnedJob) -> None:
        if job.unlisted and (job.listing_task is None or job.listing_task.done()):
            loop = asyncio.get_running_loop()
            job.listing_task = loop.create_task(self._list_results(job))

    async def _list_results(self, job: OwnedJob) -> None:
        await job.claim_stored.wait()
        while job.unlisted:
            first, batch = len(job.listed), list(job.unlisted)
            started_s, before = _now_s(), job.stored
            try:
                count, stored = await self._store.append_results(
                    before, first, batch, job.build_complete_head(len(batch))
                )
            except HeadChanged as error:
                if not await self._handle_head_change(job, before, error.current):
                    return
                await asyncio.sleep(CHANGED_HEAD_PAUSE_S)
                continue
            job.update_stored(stored)
            self._metrics.observe_s("list_results", _now_s() - started_s)
            self._timeline.record(
                "results_listed",
                job.job_id,
                "the store holds these results",
                first=first,
                count=count,
                epoch=stored.head.epoch,
                items=",".join(result.item_id for result in batch[:count]),
                took_ms=round((_now_s() - started_s) * 1000),
            )
            job.mark_listed(count)
            self._metrics.count("results_listed", count)
        if job.is_fully_listed:
            self._timeline.record("job_whole", job.job_id, "every item is listed")

    async def _handle_head_change(
        self, job: OwnedJob, before: StoredHead, current: StoredHead | None
    ) -> bool:
        """Apply the head that a write of results met, which had `before` as condition.

        Return whether results may still be listed under it. The job is dropped when
        another node owns it now, when it is no longer open, and when its next positions
        are filled: the store holds, or may hold, more of its results than this node
        knows of.
        """
        if current is None:
            self._timeline.record(
                "job_missing", job.job_id, "the store has no head of the job"
            )
            return False
        # Dropping the job cancels this task, so each drop runs in a task of its own.
        loop = asyncio.get_running_loop()
        if not is_same_claim(current.head, job.stored.head):
            loop.create_task(self.update_head(current))
            return False
        if current.head.state is not JobState.OPEN:
            reason = "a write of results met a job that is no longer open"
            loop.create_task(self.drop(job.job_id, reason, StopCause.JOB_ENDED))
            return False
        if current.version == before.version:
            # A write of this node, made before it read the results, came later.
            reason = "the store holds other results at the next positions"
            loop.create_task(self.drop(job.job_id, reason))
            return False
        job.update_stored(current)
        return True


def _name_refusal(error: NotRun) -> str:
    """Return why an engine did not run an item, one of four names of metrics."""
    if isinstance(error, TargetBusy):
        return "busy"
    if isinstance(error, TargetLimited):
        return "limited"
    return "replaced" if isinstance(error, TargetChanged) else "unreachable"


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["JobRunner"]
