"""A node's registry of jobs: all known heads, and jobs that change their owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from functools import partial

from tamarackshelf.jobs.scorer import RouteTableGetter
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.store.job_store import JobStore, StoredHead
from tamarackshelf.tasks import stop_tasks
from tamarackshelf.world.job import JobHead, JobState, ModelDemand

# Spans several steps of each trainer, so that it does not matter whose step came last.
DEMAND_WINDOW_S = 20.0


class JobRegistry:
    """State shared by the parts that accept, adopt and hand over jobs."""

    def __init__(
        self,
        row_store: FailoverStore,
        store: JobStore,
        get_route_table: RouteTableGetter,
    ) -> None:
        self.heads: dict[str, StoredHead] = {}
        # Jobs that this node is accepting. The store's feed may report a job before the
        # acceptance ends, and the job must not be adopted then.
        self.accepting: set[str] = set()
        # By job id: the peer that accepted a job of this node but has not claimed it in
        # the store yet.
        self.handed_over: dict[str, NodeRecord] = {}
        self.fleet: Fleet | None = None
        self._row_store = row_store
        self._store = store
        # By id of a job whose head has no organisation: the one in the job's body.
        self._body_organisations: dict[str, str] = {}
        self._get_route_table = get_route_table
        self._transfers: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Stop all adoptions and hand-overs in progress."""
        await stop_tasks(*self._transfers.values())

    @property
    def own(self) -> NodeRecord:
        """This node's record; available only after the start."""
        assert self.fleet is not None
        return self.fleet.own

    def update(self, stored: StoredHead) -> None:
        """Keep a head unless a newer one is known."""
        known = self.heads.get(stored.job_id)
        if known is None or stored.version > known.version:
            if known is not None and not stored.head.organisation:
                # A node of an earlier release writes heads without the name.
                stored = _set_organisation(stored, known.head.organisation)
            self.heads[stored.job_id] = stored
            if self.fleet is not None and stored.head.owner != self.own.vm:
                self.handed_over.pop(stored.job_id, None)

    def forget(self, job_id: str) -> None:
        """Forget a job that was deleted from the store."""
        self.heads.pop(job_id, None)
        self._body_organisations.pop(job_id, None)

    def has_organisations(self) -> bool:
        """Return whether callers need the API key of an organisation."""
        table = self._get_route_table()
        return table is not None and table.configuration.organisations is not None

    async def restore_organisation(self, stored: StoredHead) -> StoredHead:
        """Return a head with the organisation in the job's body if it names none.

        A node of an earlier release writes heads without the name, which would open
        the job to every organisation. Raise RowStoreError if the body is not readable.
        """
        if stored.head.organisation:
            return stored
        job_id = stored.job_id
        name = self._body_organisations.get(job_id)
        if name is None:
            job = await self._store.read_job(job_id)
            name = "" if job is None else job.organisation
            if job is not None and job_id in self.heads:
                self._body_organisations[job_id] = name
        known = self.heads.get(job_id)
        if name and known is not None and not known.head.organisation:
            self.heads[job_id] = _set_organisation(known, name)
        return _set_organisation(stored, name)

    def is_in_transition(self, job_id: str) -> bool:
        """Return whether this node is accepting, adopting or handing over a job."""
        return job_id in self._transfers or job_id in self.accepting

    def run_exclusively(self, job_id: str, work: Coroutine[None, None, None]) -> None:
        """Start adopting or handing over a job, in transition until `work` ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._transfers[job_id] = task
        task.add_done_callback(partial(self._end_transfer, job_id))

    def build_claim_head(self, head: JobHead) -> JobHead:
        """Return a head that names this node as the next owner."""
        return replace(
            head,
            owner=self.own.vm,
            owner_incarnation=self.own.incarnation,
            epoch=head.epoch + 1,
        )

    def compute_due_s(self, head: JobHead) -> float:
        """Return when a job's results are due, on the event loop's clock."""
        now_ms = self._row_store.now_store_ms()
        age_s = (now_ms - head.accepted_store_ms) / 1000 if now_ms else 0.0
        route_table = self._get_route_table()
        route = None if route_table is None else route_table.find(head.host, head.path)
        due_after_s = 0.0 if route is None else route.job_due_s
        return asyncio.get_running_loop().time() - age_s + due_after_s

    def measure_demand(self) -> dict[str, ModelDemand]:
        """Return by model what recently accepted jobs require of its engines."""
        now_ms = self._row_store.now_store_ms() or 0
        demands: dict[str, ModelDemand] = {}
        for stored in self.heads.values():
            head = stored.head
            age_s = (now_ms - head.accepted_store_ms) / 1000
            if age_s <= DEMAND_WINDOW_S:
                before = demands.get(head.model, ModelDemand())
                demands[head.model] = _add_demand(before, head, max(0.0, age_s))
        return demands

    def _end_transfer(self, job_id: str, _: asyncio.Task[None]) -> None:
        self._transfers.pop(job_id, None)


def _set_organisation(stored: StoredHead, organisation: str) -> StoredHead:
    return replace(stored, head=replace(stored.head, organisation=organisation))


def _add_demand(before: ModelDemand, head: JobHead, age_s: float) -> ModelDemand:
    is_open = head.state is JobState.OPEN
    return ModelDemand(
        before.expected_tokens + head.expected_tokens,
        min(before.newest_job_age_s, age_s),
        max(before.needed_version, head.min_version if is_open else 0),
    )


__all__ = ["JobRegistry"]
