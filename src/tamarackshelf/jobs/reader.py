"""Reads jobs for callers from this node's memory, the store or the owner node."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.errors import NotFound, StoreUnavailable
from tamarackshelf.jobs.registry import JobRegistry
from tamarackshelf.jobs.runner import JobRunner
from tamarackshelf.net import HttpClient
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.peer_jobs import JobReadAnswer, JobReadRequest, read_from_owner
from tamarackshelf.organisations.job_access import list_stored_ids, may_access
from tamarackshelf.store.job_store import JobStore, StoredHead
from tamarackshelf.world.job import ItemResult, Job

# Interval at which a waiting read polls the store.
POLL_INTERVAL_S = 0.12
# The event loop's clock may not advance at all during a shorter wait.
MIN_WAIT_S = 0.001
RETRY_AFTER_S = 0.4
MAX_PAGE_BYTES = 900_000
# Size assumed for the fields of a result other than its text.
RESULT_OVERHEAD_BYTES = 200
MAX_CACHED_JOBS = 24


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from a position on; the next page starts at `next_position`."""

    total: int
    next_position: int
    results: tuple[ItemResult, ...]


class JobReader:
    """Reads any job; `registry` has the heads of all jobs that this node knows.

    `compute_left_s` returns for how long this node still serves; no read waits longer.
    """

    def __init__(
        self,
        store: JobStore,
        runner: JobRunner,
        registry: JobRegistry,
        http: HttpClient,
    ) -> None:
        self.fleet: Fleet | None = None
        self.compute_left_s: Callable[[], float] = lambda: float("inf")
        self._store = store
        self._runner = runner
        self._registry = registry
        self._heads: Mapping[str, StoredHead] = registry.heads
        self._http = http
        self._job_cache: OrderedDict[str, Job] = OrderedDict()

    async def read(
        self, job_id: str, after: int, wait_s: float, organisation: str = ""
    ) -> ResultPage:
        """Return stored results from position `after` on; if none, wait up to `wait_s`.

        Raise NotFound or StoreUnavailable.
        """
        deadline_s = _now_s() + min(wait_s, self.compute_left_s())
        job_id = await self.find_stored_id(job_id, organisation)
        owned = self._runner.jobs.get(job_id)
        # Until this node's claim is stored, another node may list results of the job.
        while owned is not None and not owned.is_closed and owned.pending_claim is None:
            left_s = deadline_s - _now_s()
            if len(owned.listed) > after or left_s <= MIN_WAIT_S:
                return _to_page(len(owned.items), after, owned.listed[after:])
            try:
                async with asyncio.timeout(left_s):
                    await owned.changed.wait()
            except TimeoutError:
                continue
        return await self._read_stored(job_id, after, deadline_s)

    async def read_body(
        self, job_id: str, item_id: str, organisation: str = ""
    ) -> bytes:
        """Return an item's body; raise NotFound or StoreUnavailable."""
        job = await self._find_job(await self.find_stored_id(job_id, organisation))
        for item in job.items:
            if item.item_id == item_id:
                return item.body
        raise NotFound(f"job {job_id} has no item {item_id}; check the id")

    def read_owned(self, request: JobReadRequest) -> JobReadAnswer:
        """Answer a peer from this node's memory.

        Peers ask when the store does not answer them or to check who owns a job.
        """
        owned = self._runner.jobs.get(request.job_id)
        if owned is None:
            return JobReadAnswer(is_owner=False)
        if owned.pending_claim is not None:
            return JobReadAnswer(is_owner=True, knows_results=False)
        page = _to_page(len(owned.items), request.after, owned.listed[request.after :])
        job = owned.job if request.with_job else None
        return JobReadAnswer(True, True, page.total, page.results, job)

    async def read_head(self, job_id: str) -> StoredHead:
        """Read a job's head from the store; raise NotFound or StoreUnavailable."""
        try:
            stored = await self._store.read_head(job_id)
        except RowStoreError as error:
            raise to_unavailable(error) from error
        if stored is None:
            raise NotFound(f"there is no job {job_id}; check the id")
        return stored

    async def find_stored_id(self, job_id: str, organisation: str) -> str:
        """Return the id under which an organisation's job is stored.

        Raise NotFound if the organisation has no such job, whether another one has it
        or not, and StoreUnavailable.
        """
        if not organisation:
            return job_id
        for stored_id in list_stored_ids(job_id, organisation):
            owner = await self._find_organisation(stored_id)
            if owner is not None and may_access(owner, organisation):
                return stored_id
        raise NotFound(f"there is no job {job_id}; check the id")

    async def _find_organisation(self, stored_id: str) -> str | None:
        """Return the organisation of a job, or None if there is no such job."""
        owned = self._runner.jobs.get(stored_id)
        if owned is not None and owned.job.organisation:
            return owned.job.organisation
        try:
            stored = self._heads.get(stored_id)
            if stored is None:
                stored = await self._store.read_head(stored_id)
            if stored is None:
                return None
            return (await self._registry.restore_organisation(stored)).head.organisation
        except RowStoreError as error:
            raise to_unavailable(error) from error

    async def _read_stored(
        self, job_id: str, after: int, deadline_s: float
    ) -> ResultPage:
        total: int | None = None
        while True:
            try:
                known = self._heads.get(job_id)
                if total is None:
                    stored = known or await self._store.read_head(job_id)
                    if stored is None:
                        raise NotFound(f"there is no job {job_id}; check the id")
                    total = stored.head.total
                results = await self._store.read_results(job_id, after)
            except RowStoreError as error:
                answer = await self._ask_owner(JobReadRequest(job_id, after, False))
                if answer is None:
                    raise to_unavailable(error) from error
                total, results = answer.total, list(answer.results)
            if results or after >= total or _now_s() + POLL_INTERVAL_S >= deadline_s:
                return _to_page(total, after, results)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _ask_owner(self, request: JobReadRequest) -> JobReadAnswer | None:
        assert self.fleet is not None
        known = self._heads.get(request.job_id)
        record = self.fleet.find(known.head.owner) if known else None
        if record is None:
            return None
        if record.vm == self.fleet.own.vm:
            answer = self.read_owned(request)
        else:
            answer = await read_from_owner(self._http, record.peers, request)
        return answer if answer.is_owner and answer.knows_results else None

    async def _find_job(self, job_id: str) -> Job:
        owned = self._runner.jobs.get(job_id)
        job = owned.job if owned is not None else self._job_cache.get(job_id)
        if job is not None:
            return job
        try:
            if job_id not in self._heads:
                await self.read_head(job_id)
            job = await self._store.read_job(job_id)
        except RowStoreError as error:
            answer = await self._ask_owner(JobReadRequest(job_id, 0, True))
            if answer is None or answer.job is None:
                raise to_unavailable(error) from error
            job = answer.job
        if job is None:
            raise NotFound(f"there is no job {job_id}; check the id")
        self._job_cache[job_id] = job
        while len(self._job_cache) > MAX_CACHED_JOBS:
            self._job_cache.popitem(last=False)
        return job


def _to_page(total: int, after: int, results: list[ItemResult]) -> ResultPage:
    taken: list[ItemResult] = []
    size = 0
    for result in results:
        size += len(result.text) + RESULT_OVERHEAD_BYTES
        if taken and size > MAX_PAGE_BYTES:
            break
        taken.append(result)
    return ResultPage(total, after + len(taken), tuple(taken))


def to_unavailable(error: Exception) -> StoreUnavailable:
    """Return the error for a caller whose job cannot be read or changed now."""
    message = f"the store does not answer: {error}; send the request again"
    return StoreUnavailable(message, retry_after_s=RETRY_AFTER_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["RETRY_AFTER_S", "JobReader", "ResultPage", "to_unavailable"]
