"""Client of the table service with group commit, rate limits and a circuit breaker."""

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
RETRY_INTERVAL_S = 0.1
MAX_QUEUED_TRANSACTIONS = 4096


class Priority(IntEnum):
    """Order of queued transactions; lower values are sent first.

    Transactions queue up when the write budget is exhausted or the table is down.
    """

    CLAIM = 0
    CONFIGURATION = 1
    LEASE = 2
    SLOT = 3
    OTHER = 4


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction was not committed; `rows` are the stored conflicting rows."""

    rows: tuple[Row, ...]

    def find(self, key: str) -> Row | None:
        """Return the conflicting row with this key, or None."""
        return next((row for row in self.rows if row.key == key), None)


CommitResult = Result[Committed, Conflict]


class AmbiguousWrite(StoreUnavailable):
    """The table service did not respond, so the write may be committed."""


@dataclass(frozen=True, slots=True)
class TableLimits:
    """Budget of a process in rows per second, and the limits of a batch.

    A batch holds up to `batch_size` transactions that were queued within `linger_s`.
    """

    reads_per_s: float = 200.0
    writes_per_s: float = 100.0
    batch_size: int = 64
    linger_s: float = 0.002


@dataclass(slots=True)
class _PendingTransaction:
    transaction: Transaction
    result_future: asyncio.Future[TransactionResult]
    is_sent: bool = False


class TableClient:
    """Reads rows and commits transactions for one process.

    Concurrent transactions are sent in one request. All calls wait until the budget
    allows them and are repeated until their timeout if the service does not respond.
    """

    def __init__(
        self, http: HttpClient, address: Address, limits: TableLimits | None = None
    ) -> None:
        self._http = http
        self._address = address
        self._limits = limits or TableLimits()
        self._queue: list[tuple[int, int, _PendingTransaction]] = []
        self._sequence_numbers = itertools.count()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._breaker = CircuitBreaker()
        self._write_bucket = TokenBucket(self._limits.writes_per_s, burst_s=1.0)
        self._read_bucket = TokenBucket(self._limits.reads_per_s, burst_s=1.0)

    async def start(self) -> None:
        """Start the task that commits transactions."""
        self._task = start_task("table_client", self._run)

    async def close(self) -> None:
        """Stop the task; queued transactions fail with StoreUnavailable as not sent."""
        await stop_tasks(self._task)
        for _, _, pending in self._queue:
            if not pending.result_future.done():
                pending.result_future.set_exception(
                    _unavailable("this process is stopping")
                )

    def set_process_count(self, process_count: int) -> None:
        """Set the rates to this process's share of the fleet's budget."""
        self._read_bucket.set_rate(share_budget(FLEET_READS_PER_S, process_count))
        self._write_bucket.set_rate(share_budget(FLEET_WRITES_PER_S, process_count))

    @property
    def is_up(self) -> bool:
        """Whether calls are likely to succeed.

        False from several failures in a row until the next success.
        """
        return self._breaker.is_closed

    async def read(self, *keys: str, timeout_s: float = 2.0) -> dict[str, Row]:
        """Return the rows that exist, by key; raise StoreUnavailable at the timeout."""
        rows = await self._read(ReadRequest(keys=keys), len(keys), timeout_s)
        return {row.key: row for row in rows}

    async def scan(self, prefix: str, timeout_s: float = 5.0) -> tuple[Row, ...]:
        """Return all rows whose key has the prefix, in key order.

        Raise StoreUnavailable at the timeout.
        """
        return await self._read(ReadRequest(prefix=prefix), 1, timeout_s)

    async def commit(
        self,
        transaction: Transaction,
        priority: Priority,
        timeout_s: float,
        is_own_row: Callable[[Row], bool] | None = None,
    ) -> CommitResult:
        """Commit a transaction; retry it until the timeout if there is no response.

        An earlier attempt without a response may have been committed: `is_own_row`
        tells whether such an attempt wrote a conflicting row. Raise AmbiguousWrite if
        the transaction may be committed, StoreUnavailable if it is not.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        is_ambiguous = False
        while True:
            try:
                result = await self._commit_once(transaction, priority, deadline_s)
            except AmbiguousWrite:
                is_ambiguous = True
            except StoreUnavailable:
                if not is_ambiguous and _is_past(deadline_s):
                    raise
            else:
                return _to_result(result, is_ambiguous, is_own_row)
            if _is_past(deadline_s):
                raise AmbiguousWrite(_NO_RESPONSE, retry_after_s=1.0)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _commit_once(
        self, transaction: Transaction, priority: Priority, deadline_s: float
    ) -> TransactionResult:
        if len(self._queue) >= MAX_QUEUED_TRANSACTIONS:
            raise _unavailable("the queue of transactions is full")
        loop = asyncio.get_running_loop()
        pending = _PendingTransaction(transaction, loop.create_future())
        heapq.heappush(self._queue, (priority, next(self._sequence_numbers), pending))
        self._wake.set()
        try:
            async with asyncio.timeout_at(deadline_s):
                return await pending.result_future
        except TimeoutError:
            if pending.is_sent:
                raise AmbiguousWrite(_NO_RESPONSE, retry_after_s=1.0) from None
            raise _unavailable("the transaction was not sent in time") from None

    async def _read(
        self, request: ReadRequest, cost: int, timeout_s: float
    ) -> tuple[Row, ...]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            await asyncio.sleep(self._read_bucket.take(cost, loop.time()))
            if self._breaker.try_acquire(loop.time()):
                with contextlib.suppress(*_CALL_ERRORS):
                    rows = await read_rows(
                        self._http, self._address, request, CALL_TIMEOUT_S
                    )
                    self._breaker.record_success()
                    return rows
                self._breaker.record_failure(loop.time())
            if _is_past(deadline_s):
                raise _unavailable("a read got no response in time")
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                if not self._breaker.try_acquire(loop.time()):
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    self._drop_timed_out()
                    continue
                await asyncio.sleep(self._limits.linger_s)
                batch = self._take_batch()
                if batch:
                    rows = sum(len(p.transaction.writes) for p in batch)
                    await asyncio.sleep(self._write_bucket.take(rows, loop.time()))
                    await self._send(batch)

    def _drop_timed_out(self) -> None:
        waiting = [entry for entry in self._queue if not entry[2].result_future.done()]
        if len(waiting) != len(self._queue):
            heapq.heapify(waiting)
            self._queue = waiting

    def _take_batch(self) -> list[_PendingTransaction]:
        batch: list[_PendingTransaction] = []
        while self._queue and len(batch) < self._limits.batch_size:
            pending = heapq.heappop(self._queue)[2]
            if not pending.result_future.done():
                batch.append(pending)
        return batch

    async def _send(self, batch: list[_PendingTransaction]) -> None:
        batch = [pending for pending in batch if not pending.result_future.done()]
        for pending in batch:
            pending.is_sent = True
        request = Batch(tuple(pending.transaction for pending in batch))
        loop = asyncio.get_running_loop()
        try:
            results = await commit_batch(
                self._http, self._address, request, CALL_TIMEOUT_S
            )
        except ConnectFailed:
            self._breaker.record_failure(loop.time())
            _fail(batch, _unavailable("it refused a connection"))
        except _CALL_ERRORS:
            self._breaker.record_failure(loop.time())
            _fail(batch, AmbiguousWrite(_NO_RESPONSE, retry_after_s=1.0))
        else:
            self._breaker.record_success()
            for pending, result in zip(batch, results, strict=True):
                if not pending.result_future.done():
                    pending.result_future.set_result(result)


def _to_result(
    result: TransactionResult,
    is_ambiguous: bool,
    is_own_row: Callable[[Row], bool] | None,
) -> CommitResult:
    if result.committed:
        return Success(Committed())
    if (
        is_ambiguous
        and is_own_row is not None
        and any(map(is_own_row, result.conflicts))
    ):
        return Success(Committed())
    return Failure(Conflict(result.conflicts))


def _fail(batch: list[_PendingTransaction], error: StoreUnavailable) -> None:
    for pending in batch:
        if not pending.result_future.done():
            pending.result_future.set_exception(error)


def _is_past(deadline_s: float) -> bool:
    return asyncio.get_running_loop().time() >= deadline_s


def _unavailable(reason: str) -> StoreUnavailable:
    text = f"the table service is unavailable: {reason}; send the request again later"
    return StoreUnavailable(text, retry_after_s=1.0)


_NO_RESPONSE = "the table service did not respond; read the rows before trying again"
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
