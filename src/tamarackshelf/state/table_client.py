"""Client of the table service: group commit, budgets and circuit breaking."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from returns.result import Failure, Result, Success

from tamarackshelf.contracts import (
    Batch,
    ReadRequest,
    RefusedByTarget,
    Row,
    TargetFault,
    Transaction,
    TransactionResult,
)
from tamarackshelf.contracts.table import commit_batch, read_rows
from tamarackshelf.errors import StoreUnavailable
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.policy.breaker import CircuitBreaker
from tamarackshelf.policy.budget import (
    FLEET_READS_PER_S,
    FLEET_WRITES_PER_S,
    TokenBucket,
    share_budget,
)
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Address

CALL_TIMEOUT_S = 1.0
RETRY_GAP_S = 0.1
MAX_QUEUED_TRANSACTIONS = 4096


class Priority(IntEnum):
    """Which transactions go first when the write budget is short."""

    CLAIM = 0
    CONFIGURATION = 1
    LEASE = 2
    SLOT = 3
    OTHER = 4


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction had no effect; `rows` are as the table has them."""

    rows: tuple[Row, ...]

    def find(self, key: str) -> Row | None:
        """Returns the conflicting row of this key."""
        return next((row for row in self.rows if row.key == key), None)


CommitResult = Result[Committed, Conflict]


class AmbiguousWrite(StoreUnavailable):
    """The table gave no answer; the write may have taken effect."""


@dataclass(frozen=True, slots=True)
class TableLimits:
    """A node's share of the table's budget, in rows a second."""

    reads_per_s: float = 200.0
    writes_per_s: float = 100.0
    batch_size: int = 64
    linger_s: float = 0.002


@dataclass(slots=True)
class _Pending:
    transaction: Transaction
    answer: asyncio.Future[TransactionResult]
    sent: bool = False


class TableClient:
    """Reads rows and commits transactions for one process."""

    def __init__(
        self, http: HttpClient, address: Address, limits: TableLimits | None = None
    ) -> None:
        self._http = http
        self._address = address
        self._limits = limits or TableLimits()
        self._queue: list[tuple[int, int, _Pending]] = []
        self._order = itertools.count()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._breaker = CircuitBreaker()
        self._writes = TokenBucket(self._limits.writes_per_s, burst_s=1.0)
        self._reads = TokenBucket(self._limits.reads_per_s, burst_s=1.0)

    async def start(self) -> None:
        """Starts the committing task."""
        self._task = start_task("table_client", self._run)

    async def close(self) -> None:
        """Stops the committing task; queued transactions fail as not sent."""
        await stop_tasks(self._task)
        for _, _, pending in self._queue:
            if not pending.answer.done():
                pending.answer.set_exception(_unavailable("this process stops"))

    def set_process_count(self, processes: int) -> None:
        """Takes how many processes share the table's budget."""
        self._reads.set_rate(share_budget(FLEET_READS_PER_S, processes))
        self._writes.set_rate(share_budget(FLEET_WRITES_PER_S, processes))

    @property
    def is_up(self) -> bool:
        """Tells whether the last calls were answered."""
        return self._breaker.is_closed

    async def read(self, *keys: str, timeout_s: float = 2.0) -> dict[str, Row]:
        """Returns the rows that exist, by key."""
        rows = await self._read(ReadRequest(keys=keys), len(keys), timeout_s)
        return {row.key: row for row in rows}

    async def scan(self, prefix: str, timeout_s: float = 5.0) -> tuple[Row, ...]:
        """Returns all rows whose key has the prefix, in key order."""
        return await self._read(ReadRequest(prefix=prefix), 1, timeout_s)

    async def commit(
        self,
        transaction: Transaction,
        priority: Priority,
        timeout_s: float,
        owns: Callable[[Row], bool] | None = None,
    ) -> CommitResult:
        """Commits; repeats a lost answer until the timeout.

        `owns` recognises a row that an earlier, unanswered try of this same
        transaction wrote. Raises AmbiguousWrite when it may have taken effect,
        StoreUnavailable when it did not.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        ambiguous = False
        while True:
            try:
                result = await self._commit_once(transaction, priority, deadline_s)
            except AmbiguousWrite:
                ambiguous = True
            except StoreUnavailable:
                if not ambiguous and _is_past(deadline_s):
                    raise
            else:
                return _to_result(result, ambiguous, owns)
            if _is_past(deadline_s):
                raise AmbiguousWrite(_UNAVAILABLE, retry_after_s=1.0)
            await asyncio.sleep(RETRY_GAP_S)

    async def _commit_once(
        self, transaction: Transaction, priority: Priority, deadline_s: float
    ) -> TransactionResult:
        if len(self._queue) >= MAX_QUEUED_TRANSACTIONS:
            raise _unavailable("its queue here is full")
        loop = asyncio.get_running_loop()
        pending = _Pending(transaction, loop.create_future())
        heapq.heappush(self._queue, (priority, next(self._order), pending))
        self._wake.set()
        try:
            async with asyncio.timeout_at(deadline_s):
                return await pending.answer
        except TimeoutError:
            if pending.sent:
                raise AmbiguousWrite(_UNAVAILABLE, retry_after_s=1.0) from None
            raise _unavailable("it did not answer in time") from None

    async def _read(
        self, request: ReadRequest, cost: int, timeout_s: float
    ) -> tuple[Row, ...]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            await asyncio.sleep(self._reads.take(cost, loop.time()))
            if self._breaker.try_acquire(loop.time()):
                with contextlib.suppress(*_CALL_ERRORS):
                    rows = await read_rows(
                        self._http, self._address, request, CALL_TIMEOUT_S
                    )
                    self._breaker.record_success()
                    return rows
                self._breaker.record_failure(loop.time())
            if _is_past(deadline_s):
                raise _unavailable("it did not answer a read in time")
            await asyncio.sleep(RETRY_GAP_S)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                if not self._breaker.try_acquire(loop.time()):
                    await asyncio.sleep(RETRY_GAP_S)
                    self._drop_abandoned()
                    continue
                await asyncio.sleep(self._limits.linger_s)
                batch = self._take_batch()
                if batch:
                    rows = sum(len(p.transaction.writes) for p in batch)
                    await asyncio.sleep(self._writes.take(rows, loop.time()))
                    await self._send(batch)

    def _drop_abandoned(self) -> None:
        live = [entry for entry in self._queue if not entry[2].answer.done()]
        if len(live) != len(self._queue):
            heapq.heapify(live)
            self._queue = live

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        while self._queue and len(batch) < self._limits.batch_size:
            pending = heapq.heappop(self._queue)[2]
            if not pending.answer.done():
                batch.append(pending)
        return batch

    async def _send(self, batch: list[_Pending]) -> None:
        batch = [pending for pending in batch if not pending.answer.done()]
        for pending in batch:
            pending.sent = True
        request = Batch(tuple(pending.transaction for pending in batch))
        loop = asyncio.get_running_loop()
        try:
            results = await commit_batch(
                self._http, self._address, request, CALL_TIMEOUT_S
            )
        except ConnectFailed:
            self._breaker.record_failure(loop.time())
            _fail(batch, _unavailable("it refuses connections"))
        except _CALL_ERRORS:
            self._breaker.record_failure(loop.time())
            _fail(batch, AmbiguousWrite(_UNAVAILABLE, retry_after_s=1.0))
        else:
            self._breaker.record_success()
            for pending, result in zip(batch, results, strict=True):
                if not pending.answer.done():
                    pending.answer.set_result(result)


def _to_result(
    result: TransactionResult, ambiguous: bool, owns: Callable[[Row], bool] | None
) -> CommitResult:
    if result.committed:
        return Success(Committed())
    if ambiguous and owns is not None and any(map(owns, result.conflicts)):
        return Success(Committed())
    return Failure(Conflict(result.conflicts))


def _fail(batch: list[_Pending], error: StoreUnavailable) -> None:
    for pending in batch:
        if not pending.answer.done():
            pending.answer.set_exception(error)


def _is_past(deadline_s: float) -> bool:
    return asyncio.get_running_loop().time() >= deadline_s


def _unavailable(reason: str) -> StoreUnavailable:
    text = f"the table service is unavailable: {reason}; send the request again later"
    return StoreUnavailable(text, retry_after_s=1.0)


_UNAVAILABLE = "the table service gave no answer; read back before trying again"
_CALL_ERRORS = (ConnectFailed, ConnectionLost, RefusedByTarget, TargetFault)

__all__ = [
    "AmbiguousWrite",
    "CommitResult",
    "Committed",
    "Conflict",
    "Priority",
    "TableClient",
    "TableLimits",
]
