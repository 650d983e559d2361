"""Delivery of samples to trainers: each slot once, within the staleness bound."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import replace

from tamarackshelf.errors import (
    CursorRequired,
    NotFound,
    PullSuperseded,
    StoreUnavailable,
)
from tamarackshelf.observe import Timeline
from tamarackshelf.observe.decision_trace import Recorder, record_nothing
from tamarackshelf.peers import ViewWatch
from tamarackshelf.peers.messages import (
    Acknowledged,
    PullAnswer,
    PullRequest,
    PushSamplesRequest,
)
from tamarackshelf.policy.cursor import Cursor, decode_cursor, encode_cursor
from tamarackshelf.policy.delivery import DeliveryPlan, plan_delivery
from tamarackshelf.policy.staleness import Freshness
from tamarackshelf.runner.active_step import ActiveStep
from tamarackshelf.runner.step_executor import StepExecutor
from tamarackshelf.state import TableClient
from tamarackshelf.state.steps import StepState, read_step, update_step
from tamarackshelf.world import Sample

MIN_WAIT_S = 0.001
RESCAN_INTERVAL_S = 2.0
RESCAN_TIMEOUT_S = 0.5
WRITE_TIMEOUT_S = 2.0
WRITE_RETRY_DELAY_S = 0.5
CLOSE_TIMEOUT_S = 10.0


class Delivery:
    """Handler of trainers' pulls.

    The cursor of a pull names the slots whose samples the trainer has received; it
    alone decides which samples are still to be sent.
    """

    def __init__(
        self,
        step_executor: StepExecutor,
        watch: ViewWatch,
        table: TableClient,
        timeline: Timeline,
        wall_s: Callable[[], float],
        record: Recorder = record_nothing,
    ) -> None:
        self._record = record
        self._step_executor = step_executor
        self._watch = watch
        self._table = table
        self._timeline = timeline
        self._wall_s = wall_s
        self._unwritten_cursors: dict[str, Cursor] = {}
        self._writer_task: asyncio.Task[None] | None = None

    async def handle_pushed_samples(self, request: PushSamplesRequest) -> Acknowledged:
        """Store samples that another runner produced, if their steps exist."""
        for sample in request.samples:
            active = await self._step_executor.find_step(sample.step)
            if active is not None:
                active.add_sample(sample)
        return Acknowledged()

    async def pull(self, request: PullRequest) -> PullAnswer:
        """Return samples of slots that the pull's cursor does not contain.

        Wait up to `wait_s` until there is one. Store the pull's cursor later in the
        table, and run the slots of too stale samples again. Raise NotFound for an
        unknown step, BadRequest for an invalid cursor, CursorRequired without a cursor
        on a step that was pulled before, and PullSuperseded if a later pull of the step
        arrives during the wait.
        """
        active = await self._step_executor.find_step(request.step)
        if active is None:
            raise NotFound("the step does not exist; open it first")
        active.pull_number += 1
        number = active.pull_number
        active.notify()
        cursor = self._decode_request_cursor(active, request)
        self._queue_cursor_write(active, cursor)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + request.wait_s
        while True:
            samples = self._collect_samples(active, cursor, request)
            is_done = cursor.count == active.step.slot_count
            remaining_s = deadline_s - loop.time()
            if samples or is_done or remaining_s < MIN_WAIT_S:
                return self._build_answer(active, cursor, request, samples)
            await self._wait_for_samples(active, remaining_s)
            if active.pull_number != number:
                raise PullSuperseded(
                    "a later pull of this step superseded this one; use its answer"
                )

    async def close(self) -> None:
        """Wait until all cursors are written; raise TimeoutError if it takes too long.

        The limit is CLOSE_TIMEOUT_S.
        """
        if self._writer_task is not None:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(self._writer_task, return_exceptions=True)

    def _decode_request_cursor(
        self, active: ActiveStep, request: PullRequest
    ) -> Cursor:
        step = active.step
        if request.cursor is not None:
            return decode_cursor(request.cursor, step.name, step.slot_count)
        if active.last_cursor and not request.rewind:
            raise CursorRequired(
                "the step was pulled before; send its newest cursor, or rewind=true "
                f"to get all samples again; last cursor seen: {active.last_cursor}"
            )
        return Cursor(step.name)

    def _queue_cursor_write(self, active: ActiveStep, cursor: Cursor) -> None:
        text = encode_cursor(cursor)
        if cursor.count == 0 or text == active.last_cursor:
            return
        active.last_cursor = text
        self._unwritten_cursors[active.step.name] = cursor
        if self._writer_task is None or self._writer_task.done():
            loop = asyncio.get_running_loop()
            self._writer_task = loop.create_task(self._write_cursors())

    async def _write_cursors(self) -> None:
        """Write the newest cursor of each step, one write at a time."""
        while self._unwritten_cursors:
            step, cursor = next(iter(self._unwritten_cursors.items()))
            try:
                is_written = await self._write_cursor(cursor)
            except StoreUnavailable:
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
                continue
            if is_written and self._unwritten_cursors.get(step) is cursor:
                del self._unwritten_cursors[step]

    async def _write_cursor(self, cursor: Cursor) -> bool:
        """Write the cursor to the step's row; return False on a conflicting write.

        A step whose cursor contains all slots becomes done.
        """
        known = await read_step(self._table, cursor.step)
        if known is None:
            return True
        is_done = cursor.count == known.row.step.slot_count
        state = StepState.DONE if is_done else known.row.state
        row = replace(known.row, cursor=encode_cursor(cursor), state=state)
        return await update_step(self._table, known, row, WRITE_TIMEOUT_S)

    def _collect_samples(
        self, active: ActiveStep, cursor: Cursor, request: PullRequest
    ) -> tuple[Sample, ...]:
        """Return the samples to deliver; run the slots of too stale ones again."""
        configuration = self._watch.view.configuration
        campaign = configuration.campaigns[active.step.campaign]
        parameters = configuration.organisations[campaign.organisation]
        known = self._watch.view.published.get(campaign.model, 0)
        newest = max(request.newest_version, known)
        freshness = Freshness(newest, self._wall_s())
        plan = plan_delivery(
            active.samples, cursor, parameters, freshness, request.max_samples
        )
        self._record_decision(active, cursor, freshness, request, plan)
        for sample in plan.stale:
            name = f"{sample.step}.{sample.slot}.{sample.generation}"
            reason = f"outside the staleness bound; the newest version is {newest}"
            self._timeline.record("sample_too_old", name, reason)
            self._step_executor.rerun_slot(active, sample)
        return plan.fresh

    def _record_decision(
        self,
        active: ActiveStep,
        cursor: Cursor,
        freshness: Freshness,
        request: PullRequest,
        plan: DeliveryPlan,
    ) -> None:
        if self._record is record_nothing:
            return
        campaign = self._watch.view.configuration.campaigns[active.step.campaign]
        organisations = self._watch.view.configuration.organisations
        given = {
            "samples": [replace(s, tokens=()) for s in active.samples.values()],
            "received": f"{cursor.received:x}",
            "parameters": organisations[campaign.organisation],
            "freshness": freshness,
            "max_samples": request.max_samples,
        }
        fresh = [sample.slot for sample in plan.fresh]
        stale = [sample.slot for sample in plan.stale]
        self._record("hand_over", freshness.now_s, given, [fresh, stale])

    async def _wait_for_samples(self, active: ActiveStep, remaining_s: float) -> None:
        """Wait for new samples; if none arrive, read the slots from the table.

        That finds samples of other runners that were not pushed to this one.
        """
        before = len(active.samples)
        timeout_s = min(RESCAN_INTERVAL_S, remaining_s)
        await active.wait_for_change(timeout_s)
        if len(active.samples) != before:
            return
        # An unavailable table must not delay the pull beyond its own wait time.
        with contextlib.suppress(StoreUnavailable):
            await self._step_executor.load_slots(active, RESCAN_TIMEOUT_S)
        await self._step_executor.offer_step(active)

    def _build_answer(
        self,
        active: ActiveStep,
        cursor: Cursor,
        request: PullRequest,
        samples: tuple[Sample, ...],
    ) -> PullAnswer:
        slots = [sample.slot for sample in samples]
        after = cursor.with_slots(slots)
        self._timeline.record(
            "samples_handed_over",
            active.step.name,
            "the cursor of the pull does not contain them",
            pull=request.pull_id,
            slots=",".join(map(str, slots)),
        )
        is_complete = after.count == active.step.slot_count
        text = encode_cursor(after)
        return PullAnswer(request.pull_id, samples, text, is_complete)


__all__ = ["Delivery"]
