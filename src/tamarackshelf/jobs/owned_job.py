"""One job that this node owns: its items and the results in listing order."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import replace

from tamarackshelf.jobs.item_state import ItemStage, ItemState, StopCause
from tamarackshelf.policy.item_placement import GroupState, rank_groups
from tamarackshelf.store.job_store import HeadChanged, StoredHead
from tamarackshelf.world.job import (
    ItemProgress,
    ItemResult,
    Job,
    JobHead,
    JobState,
    is_same_claim,
)


class OwnedJob:
    """State of a job at its owner; a result counts as listed once it is stored."""

    def __init__(
        self,
        job: Job,
        stored: StoredHead,
        listed: Iterable[ItemResult] = (),
        progress: dict[str, ItemProgress] | None = None,
        unlisted: Iterable[ItemResult] = (),
    ) -> None:
        self.job = job
        self.stored = stored
        self.listed = list(listed)
        self.unlisted = list(unlisted)
        self.changed = asyncio.Event()
        self.is_closed = False
        self.shortage_since_s: float | None = None
        self.last_active_at_s = float("-inf")
        # A job that was handed over runs at once, but lists no results until the
        # store holds this head.
        self.pending_claim: JobHead | None = None
        self.claim_stored = asyncio.Event()
        self.claim_stored.set()
        # Engines that were sent an item of the group and so have read its prompt.
        self.engines_by_group: dict[str, set[str]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.listing_task: asyncio.Task[None] | None = None
        self.items = {item.item_id: ItemState(item) for item in job.items}
        for result in (*self.listed, *self.unlisted):
            self.items[result.item_id].stage = ItemStage.DONE
        for item_id, text in (progress or {}).items():
            state = self.items.get(item_id)
            if state is not None and state.stage is ItemStage.WAITING:
                state.restore(text)

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.job.job_id

    @property
    def is_open(self) -> bool:
        """Whether the job's items may still be run."""
        return not self.is_closed and self.stored.head.state is JobState.OPEN

    @property
    def is_fully_listed(self) -> bool:
        """Whether every item is listed."""
        return len(self.listed) == len(self.items)

    def build_complete_head(self, more: int) -> JobHead | None:
        """Return the head to store with `more` results if they are the last ones.

        Return None when other results are missing or the job is not open.
        """
        head = self.stored.head
        is_last = len(self.listed) + more == len(self.items)
        if not is_last or head.state is not JobState.OPEN:
            return None
        return replace(head, state=JobState.COMPLETE)

    def waiting_items(self) -> list[ItemState]:
        """Return the items that wait for an engine or for a score call."""
        return [s for s in self.items.values() if s.stage is ItemStage.WAITING]

    def rank_groups(self) -> dict[str, tuple[int, bool]]:
        """Return by group its rank in the order to start, and whether it is spare."""
        members: dict[str, list[ItemState]] = {}
        for state in self.items.values():
            members.setdefault(state.item.group, []).append(state)
        groups = [
            GroupState(
                group=group,
                waiting=sum(s.stage is ItemStage.WAITING for s in states),
                missing=sum(s.stage is not ItemStage.DONE for s in states),
                tokens=sum(s.item.expected_tokens for s in states),
            )
            for group, states in members.items()
        ]
        return rank_groups(groups, self.job.group_count)

    def partial_texts(self) -> tuple[ItemProgress, ...]:
        """Return the texts of items that have some text and are not done."""
        return tuple(
            state.to_progress()
            for state in self.items.values()
            if state.stage is not ItemStage.DONE and state.has_text
        )

    def add_result(self, result: ItemResult) -> None:
        """Mark an item as done and add its result to those to be listed."""
        self.items[result.item_id].stage = ItemStage.DONE
        self.unlisted.append(result)

    def update_stored(self, stored: StoredHead) -> None:
        """Keep a stored head, unless a newer one has arrived meanwhile.

        Raise HeadChanged if it is newer and has another owner or epoch.
        """
        if stored.version <= self.stored.version:
            return
        if not is_same_claim(stored.head, self.stored.head):
            raise HeadChanged(stored)
        self.stored = stored

    def set_pending_claim(self, head: JobHead) -> None:
        """Hold back the listing of results until the store holds this head."""
        self.pending_claim = head
        self.claim_stored.clear()

    def confirm_claim(self, stored: StoredHead) -> None:
        """Set the claim that the store now holds, and allow results to be listed."""
        if stored.version > self.stored.version:
            self.stored = stored
        self.pending_claim = None
        self.claim_stored.set()

    def mark_listed(self, count: int) -> None:
        """Move the first `count` results from unlisted to listed and wake readers."""
        self.listed += self.unlisted[:count]
        del self.unlisted[:count]
        self.notify_readers()

    def stop_run(self, item_id: str, cause: StopCause = StopCause.OTHER) -> None:
        """Cancel an item's run; the item then waits for another engine."""
        task = self.tasks.get(item_id)
        if task is not None:
            self._set_stop_cause(item_id, cause)
            task.cancel()

    def cancel_all(self, cause: StopCause) -> list[asyncio.Task[None]]:
        """Cancel all runs and score calls and return their tasks."""
        tasks = list(self.tasks.values())
        for item_id in list(self.tasks):
            self.stop_run(item_id, cause)
        return tasks

    def _set_stop_cause(self, item_id: str, cause: StopCause) -> None:
        run = self.items[item_id].run
        if run is not None:
            run.stop_cause = cause

    def discard_task(self, item_id: str, task: asyncio.Task[None]) -> None:
        """Remove an item's ended task, unless a newer task has replaced it."""
        if self.tasks.get(item_id) is task:
            del self.tasks[item_id]

    def notify_readers(self) -> None:
        """Wake all readers that wait for a change of the job."""
        self.changed.set()
        self.changed = asyncio.Event()


__all__ = ["OwnedJob"]
