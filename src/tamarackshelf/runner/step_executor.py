"""Open steps of a runner, and execution of the slots whose groups it owns."""

from __future__ import annotations

import asyncio
import contextlib

from tamarackshelf.errors import ShelfError, StoreUnavailable
from tamarackshelf.net.rpc import PeerRefused, PeerUnreachable, RpcClient
from tamarackshelf.observe import Timeline
from tamarackshelf.peers import Role, ViewWatch
from tamarackshelf.peers.messages import (
    PUSH_SAMPLES,
    STEP_OPENED,
    PushSamplesRequest,
    StepOpened,
)
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.periods import scale_period_s
from tamarackshelf.runner.active_step import ActiveStep
from tamarackshelf.runner.group_ownership import GroupOwnership
from tamarackshelf.runner.sampler import Sampler, SlotJob
from tamarackshelf.state import TableClient
from tamarackshelf.state.steps import (
    StepState,
    insert_sample,
    read_open_steps,
    read_slots,
    read_step,
)
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Campaign, EntryVm, Sample

SCAN_INTERVAL_S = 2.0
MAX_SCAN_INTERVAL_S = 30.0
SLOT_CHECK_INTERVAL_S = 0.25
MAX_RUNNING_SLOTS = 64
SAMPLE_WRITE_TIMEOUT_S = 2.0
SAMPLE_WRITE_RETRY_DELAY_S = 0.5
PUSH_TIMEOUT_S = 2.0
LOAD_TIMEOUT_S = 1.0
OFFER_INTERVAL_S = 5.0
FAILED_SLOT_DELAY_S = 0.5


class StepExecutor:
    """Open steps that this runner knows, and the tasks that run their slots.

    Each group of a step has one owner that runs its slots, and each step has one owner
    that answers its pulls.
    """

    def __init__(
        self,
        vm: str,
        sampler: Sampler,
        watch: ViewWatch,
        table: TableClient,
        rpc: RpcClient,
        timeline: Timeline,
    ) -> None:
        self.steps: dict[str, ActiveStep] = {}
        self._vm = vm
        self._sampler = sampler
        self._watch = watch
        self._table = table
        self._rpc = rpc
        self._timeline = timeline
        self._slot_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._write_tasks: set[asyncio.Task[None]] = set()
        self._loop_tasks: list[asyncio.Task[None]] = []
        self._groups = GroupOwnership(vm)
        self._wake = asyncio.Event()
        self._is_leaving = False

    async def start(self) -> None:
        """Start to scan the table for open steps and to run slots."""
        self._loop_tasks = [
            start_task("scan_steps", self._scan_steps),
            start_task("run_slots", self._run_slots),
        ]

    async def drain(self) -> None:
        """Start no new slots; wait for the running slots and pending writes."""
        self._is_leaving = True
        await asyncio.gather(*self._slot_tasks.values(), return_exceptions=True)
        await asyncio.gather(*self._write_tasks, return_exceptions=True)

    async def close(self) -> None:
        """Cancel all tasks."""
        await stop_tasks(
            *self._loop_tasks, *self._slot_tasks.values(), *self._write_tasks
        )

    async def find_step(self, name: str) -> ActiveStep | None:
        """Return a step, or None if it does not exist.

        A step that is not known here is read from the table; raise StoreUnavailable if
        the table does not answer. The samples in the table are loaded too, if possible.
        """
        active = self.steps.get(name)
        if active is None:
            known = await read_step(self._table, name)
            if known is None:
                return None
            active = self.steps.setdefault(name, ActiveStep(known.row.step))
            active.last_cursor = active.last_cursor or known.row.cursor
        if not active.is_loaded:
            with contextlib.suppress(StoreUnavailable):
                await self.load_slots(active)
            self._wake.set()
        return active

    async def handle_step_opened(self, message: StepOpened) -> None:
        """Add a step from the message, or from the table if the message has no body.

        The slots that this runner owns are then started.
        """
        if message.body is not None:
            self.steps.setdefault(message.step, ActiveStep(message.body))
        await self.find_step(message.step)

    async def offer_step(self, active: ActiveStep) -> None:
        """Send the step to the other runners, which cannot read it from the table.

        Do nothing while the table is available or within OFFER_INTERVAL_S of the last
        offer.
        """
        now_s = asyncio.get_running_loop().time()
        if self._table.is_up or now_s < active.next_offer_at_s:
            return
        active.next_offer_at_s = now_s + OFFER_INTERVAL_S
        message = StepOpened(active.step.name, active.step)
        runners = self._watch.view.find_entries(Role.RUNNER)
        await asyncio.gather(*(self._offer(e, message) for e in runners))

    async def _offer(self, entry: EntryVm, message: StepOpened) -> None:
        if entry.name == self._vm:
            return
        with contextlib.suppress(PeerUnreachable, PeerRefused):
            await self._rpc.call(
                entry.runner_peer, STEP_OPENED, message, PUSH_TIMEOUT_S
            )

    async def load_slots(
        self, active: ActiveStep, timeout_s: float = LOAD_TIMEOUT_S
    ) -> None:
        """Add the samples that the table holds to the step.

        Raise StoreUnavailable if the table does not answer.
        """
        for sample in await read_slots(self._table, active.step.name, timeout_s):
            active.add_sample(sample)
        active.is_loaded = True

    def drop_step(self, name: str) -> None:
        """Forget a step that is done and cancel its running slots."""
        self.steps.pop(name, None)
        self._groups.drop(name)
        for (step, _), task in list(self._slot_tasks.items()):
            if step == name:
                task.cancel()

    def rerun_slot(self, active: ActiveStep, stale: Sample) -> None:
        """Drop a sample that is too stale; run its slot again unless it is running."""
        active.samples.pop(stale.slot, None)
        if stale.slot not in active.running:
            self._start_slot(active, stale.slot, stale.generation + 1)

    async def _scan_steps(self) -> None:
        while True:
            with contextlib.suppress(StoreUnavailable):
                await self._scan()
            await asyncio.sleep(self._compute_scan_interval_s())

    async def _run_slots(self) -> None:
        while True:
            await self._start_owned_slots()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SLOT_CHECK_INTERVAL_S):
                    await self._wake.wait()
            self._wake.clear()

    def _compute_scan_interval_s(self) -> float:
        """Return the scan interval for a fleet of this size.

        Gateways announce new steps, so a scan only finds steps whose message was lost.
        """
        nodes = len(self._watch.view.entries)
        return scale_period_s(SCAN_INTERVAL_S, nodes, MAX_SCAN_INTERVAL_S)

    async def _scan(self) -> None:
        names = set(await read_open_steps(self._table))
        for name in names - self.steps.keys():
            await self.find_step(name)
        for name in self.steps.keys() - names:
            # A step that is done leaves the open list; a late pull reads it from the
            # table again.
            known = await read_step(self._table, name)
            if known is not None and known.row.state is StepState.DONE:
                self.drop_step(name)

    async def _start_owned_slots(self) -> None:
        if not self._watch.view.ready or self._is_leaving:
            return
        runners = self._watch.view.find_entries(Role.RUNNER)
        self._groups.set_runners(tuple(entry.name for entry in runners))
        for active in list(self.steps.values()):
            groups = self._groups.find_owned(active.step)
            if groups.acquired:
                await self._load_acquired_groups(active, groups.acquired)
            for group in groups.owned:
                for slot in active.list_missing_slots(group):
                    if len(self._slot_tasks) >= MAX_RUNNING_SLOTS:
                        return
                    self._start_slot(active, slot, 0)

    async def _load_acquired_groups(
        self, active: ActiveStep, groups: frozenset[int]
    ) -> None:
        """Load the samples that the previous owners wrote, if the table is available.

        Slots whose samples could not be loaded run again.
        """
        name = active.step.name
        reason = "their previous owner left or crashed"
        self._timeline.record("groups_taken", name, reason, groups=len(groups))
        with contextlib.suppress(StoreUnavailable):
            for group in sorted(groups):
                for sample in await read_slots(
                    self._table, name, LOAD_TIMEOUT_S, group
                ):
                    active.add_sample(sample)
        self._groups.clear_acquired(name)

    def _start_slot(self, active: ActiveStep, slot: int, generation: int) -> None:
        job = self._build_job(active, slot, generation)
        if job is None or self._is_leaving:
            return
        active.running[slot] = generation
        key = (active.step.name, slot)
        task = asyncio.get_running_loop().create_task(self._run_slot(active, job))
        self._slot_tasks[key] = task

        def on_done(_: asyncio.Task[None]) -> None:
            self._slot_tasks.pop(key, None)
            active.running.pop(slot, None)
            self._wake.set()

        task.add_done_callback(on_done)

    def _build_job(
        self, active: ActiveStep, slot: int, generation: int
    ) -> SlotJob | None:
        configuration = self._watch.view.configuration
        campaign: Campaign | None = configuration.campaigns.get(active.step.campaign)
        if campaign is None:
            return None
        parameters = configuration.organisations[campaign.organisation]
        return SlotJob(active.step, slot, generation, campaign, parameters)

    async def _run_slot(self, active: ActiveStep, job: SlotJob) -> None:
        name = f"{job.step.name}.{job.slot}.{job.generation}"
        try:
            sample = await self._sampler.produce(job)
        except ShelfError as error:
            self._timeline.record("sample_failed", name, error.message)
            await asyncio.sleep(FAILED_SLOT_DELAY_S)
            return
        self._timeline.record("sample_produced", name, version=sample.oldest_version)
        chosen = await self._write_sample(active, sample)
        active.add_sample(chosen)
        await self._push_to_owner(chosen)

    async def _write_sample(self, active: ActiveStep, sample: Sample) -> Sample:
        """Write the sample to the table; return the one that was written there first.

        While the table is unavailable, return the sample at once and write it later. It
        may be delivered unwritten, because the trainer's cursor alone makes delivery
        exactly once; if it is lost, the slot only runs again.
        """
        if self._table.is_up:
            with contextlib.suppress(StoreUnavailable):
                group = sample.slot // active.step.group_size
                return await insert_sample(
                    self._table, sample, group, SAMPLE_WRITE_TIMEOUT_S
                )
        self._timeline.record(
            "sample_unwritten",
            f"{sample.step}.{sample.slot}",
            "the table service is unavailable",
        )
        task = asyncio.get_running_loop().create_task(
            self._write_sample_later(sample, sample.slot // active.step.group_size)
        )
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)
        return sample

    async def _write_sample_later(self, sample: Sample, group: int) -> None:
        while sample.step in self.steps:
            try:
                await insert_sample(self._table, sample, group, SAMPLE_WRITE_TIMEOUT_S)
            except StoreUnavailable:
                await asyncio.sleep(SAMPLE_WRITE_RETRY_DELAY_S)
            else:
                return

    async def _push_to_owner(self, sample: Sample) -> None:
        """Send the sample to the step's owner, if that is another runner.

        If the message is lost, the owner finds the sample in the table.
        """
        owner = self.find_owner(sample.step)
        if owner is None or owner.name == self._vm:
            return
        request = PushSamplesRequest((sample,))
        with contextlib.suppress(PeerUnreachable, PeerRefused):
            await self._rpc.call(
                owner.runner_peer, PUSH_SAMPLES, request, PUSH_TIMEOUT_S
            )

    def find_owner(self, step: str) -> EntryVm | None:
        """Return the runner that answers the step's pulls, or None without runners."""
        entries = {e.name: e for e in self._watch.view.find_entries(Role.RUNNER)}
        ranked = rank_owners(entries, step)
        return entries[ranked[0]] if ranked else None


__all__ = ["StepExecutor"]
