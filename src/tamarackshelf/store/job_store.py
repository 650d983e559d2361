"""Rows of jobs: head, body, results and progress, one part of the store per job.

Every write after the insertion has the version of the job's head as a condition, so a
node that has lost a job to another owner can no longer write to it. Results are never
changed once they are written.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from tamarackshelf.contracts.rows import (
    ABSENT_VERSION,
    RowCondition,
    RowConflict,
    RowKey,
    RowQuery,
    RowStore,
    RowStoreError,
    RowTransaction,
    RowUnreadable,
    RowWrite,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.world.job import (
    ItemProgress,
    ItemResult,
    Job,
    JobHead,
    is_same_claim,
)

HEAD_TABLE = "job"
BODY_TABLE = "job-body"
RESULT_TABLE = "job-result"
PROGRESS_TABLE = "job-progress"
HEAD_KEY = "head"
# Size of the rows' values; leaves room for the other fields in a transaction of one
# megabyte.
MAX_TRANSACTION_BYTES = 600_000
# Conditions plus writes of one transaction.
MAX_TRANSACTION_ROWS = 90
# Written rows of one transaction: each may have a condition, and there may be a write
# of the head and a condition on it besides.
MAX_WRITTEN_ROWS = (MAX_TRANSACTION_ROWS - 2) // 2
# Results are due soon after the store is available again, so there is no backoff.
RETRY_PAUSE_S = 0.08

# Submissions of large bodies with the same id at the same moment begin anew this often.
MAX_INSERT_ATTEMPTS = 5

T = TypeVar("T")

log = logging.getLogger("tamarackshelf")


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A job's head and the version of its row."""

    job_id: str
    head: JobHead
    version: int


class HeadChanged(Exception):
    """The job's head has another version; `current` is the stored head, if any."""

    def __init__(self, current: StoredHead | None) -> None:
        super().__init__(
            "the job's head has changed; read it before writing to the job"
        )
        self.current = current


class JobStore:
    """Access to the rows of jobs; the errors of the row store are passed through."""

    def __init__(self, store: RowStore, row_bytes: int) -> None:
        self._store = store
        # Base64 and the store's own fields have to fit into the row's size limit too.
        self._chunk_bytes = min(row_bytes * 3 // 4, 48_000)

    async def insert(self, job: Job, head: JobHead) -> StoredHead:
        """Store a complete job; raise HeadChanged if its id is in use.

        Repeating the call with the same job and head has no further effect.
        """
        body = msgspec.msgpack.encode(job)
        chunks = _split_chunks(body, self._chunk_bytes)
        writes = [
            RowWrite(RowKey(BODY_TABLE, job.job_id, f"{n:04d}"), chunk)
            for n, chunk in enumerate(chunks)
        ]
        for _ in range(MAX_INSERT_ATTEMPTS):
            try:
                version = await self._insert_once(job.job_id, writes, head)
            except RowConflict as conflict:
                current = _find_head(job.job_id, conflict.rows)
                if current is not None and current.head == head:
                    return current
                if _find_head_row(job.job_id, conflict.rows) is not None:
                    raise HeadChanged(current) from conflict
                # Another submission with the id writes its chunks at the same time.
                await asyncio.sleep(random.uniform(0.5, 1.5) * RETRY_PAUSE_S)
            else:
                return StoredHead(job.job_id, head, version)
        raise StoreRefused("other submissions with the job's id are in progress")

    async def _insert_once(
        self, job_id: str, writes: list[RowWrite], head: JobHead
    ) -> int:
        """Write the chunks of a body and then the head; return the head's version.

        Each transaction requires that there is no head and that the first chunk is
        still this call's own, so that bodies of several submissions are never mixed.
        Raise RowConflict if that does not hold.
        """
        key = _head_key(job_id)
        conditions: tuple[RowCondition, ...] = (RowCondition(key, ABSENT_VERSION),)
        *early, last = _batch_writes(writes)
        for number, batch in enumerate(early):
            done = await self._store.commit(RowTransaction(conditions, tuple(batch)))
            if number == 0:
                conditions += (RowCondition(batch[0].at, done.version),)
        last = [*last, RowWrite(key, msgspec.msgpack.encode(head))]
        return (
            await self._store.commit(RowTransaction(conditions, tuple(last)))
        ).version

    async def read_head(self, job_id: str) -> StoredHead | None:
        """Read the head of a job; return None if there is no such job.

        Raise RowUnreadable if there is a row that cannot be decoded, as do the other
        methods that read rows.
        """
        page = await self._store.read(RowQuery(HEAD_TABLE, job_id))
        row = _find_head_row(job_id, page.rows)
        if row is None:
            return None
        head = _decode(f"{HEAD_TABLE}/{job_id}", row.value, JobHead)
        return StoredHead(job_id, head, row.version)

    async def change_head(self, stored: StoredHead, head: JobHead) -> StoredHead:
        """Replace the head; raise HeadChanged if it has changed since it was read."""
        key = _head_key(stored.job_id)
        write = RowWrite(key, msgspec.msgpack.encode(head))
        transaction = RowTransaction((RowCondition(key, stored.version),), (write,))
        try:
            done = await self._store.commit(transaction)
        except RowConflict as conflict:
            current = _find_head(stored.job_id, conflict.rows)
            if current is not None and current.head == head:
                return current
            raise HeadChanged(current) from conflict
        return StoredHead(stored.job_id, head, done.version)

    async def read_job(self, job_id: str) -> Job | None:
        """Read a complete job; return None if its rows do not exist."""
        rows = await self._read_all(BODY_TABLE, job_id, "")
        if not rows:
            return None
        try:
            return decode_msgpack(_join_newest_body(rows), Job)
        except InvalidInput:
            # An earlier release wrote the early chunks again after the head.
            body = b"".join(row.value for row in rows)
            return _decode(f"{BODY_TABLE}/{job_id}", body, Job)

    async def append_results(
        self,
        stored: StoredHead,
        first: int,
        results: Sequence[ItemResult],
        completed_head: JobHead | None = None,
    ) -> tuple[int, StoredHead]:
        """Write results to positions from `first` on; return their number and the head.

        One call writes as many results as fit into a transaction. If they include the
        last of `results`, `completed_head` replaces the head in the same transaction.
        The write is repeated until the store responds. Raise HeadChanged, and write
        nothing more, if the job has another owner now or its head has changed, or, with
        the head of `stored`, if there are other results at these positions. The
        results may be stored even so: the response to the first attempt may have been
        lost before the owner changed.
        """
        writes: list[RowWrite] = []
        count = 0
        for result in results:
            rows = self._encode_result(stored.job_id, first + count, result)
            if count and _is_too_large([*writes, *rows]):
                break
            writes += rows
            count += 1
        conditions = [RowCondition(_head_key(stored.job_id), stored.version)]
        conditions += [RowCondition(w.at, ABSENT_VERSION) for w in writes]
        if completed_head is not None and count == len(results):
            value = msgspec.msgpack.encode(completed_head)
            writes.append(RowWrite(_head_key(stored.job_id), value))
        else:
            completed_head = None
        # A single result of very many rows is written as a whole or not at all, so the
        # condition on its first row is enough.
        conditions = conditions[: max(2, MAX_TRANSACTION_ROWS - len(writes))]
        transaction = RowTransaction(tuple(conditions), tuple(writes))
        while True:
            try:
                done = await self._store.commit(transaction)
            except RowConflict as conflict:
                current = _find_head(stored.job_id, conflict.rows)
                if (
                    current is not None
                    and is_same_claim(current.head, stored.head)
                    and _holds_all(writes, conflict.rows)
                ):
                    return count, current
                raise HeadChanged(current) from None
            except (StoreRefused, StoreOutcomeUnknown):
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                if completed_head is None:
                    return count, stored
                return count, StoredHead(stored.job_id, completed_head, done.version)

    async def read_results(self, job_id: str, first: int) -> list[ItemResult]:
        """Read listed results from a position on, as many as one page holds."""
        query = RowQuery(RESULT_TABLE, job_id, f"{first:06d}")
        page = await self._store.read(query)
        return _decode_results(page.rows, may_be_truncated=page.has_more)

    async def read_all_results(self, job_id: str) -> list[ItemResult]:
        """Read all listed results."""
        rows = await self._read_all(RESULT_TABLE, job_id, "")
        return _decode_results(rows, may_be_truncated=False)

    async def save_progress(
        self, stored: StoredHead, progress: Iterable[ItemProgress]
    ) -> None:
        """Store unfinished texts for the next owner of the job (best effort).

        Texts that are too large for one row are skipped. Raise RowConflict if this node
        no longer owns the job.
        """
        condition = RowCondition(_head_key(stored.job_id), stored.version)
        writes = []
        for item_progress in progress:
            value = msgspec.msgpack.encode(item_progress)
            if len(value) <= self._chunk_bytes:
                key = RowKey(PROGRESS_TABLE, stored.job_id, item_progress.item_id)
                writes.append(RowWrite(key, value))
        for batch in _batch_writes(writes):
            await self._store.commit(RowTransaction((condition,), tuple(batch)))

    async def read_progress(self, job_id: str) -> dict[str, ItemProgress]:
        """Read the unfinished texts, by item id; leave out those that are unreadable.

        An item without a stored text begins anew.
        """
        progress: dict[str, ItemProgress] = {}
        for row in await self._read_all(PROGRESS_TABLE, job_id, ""):
            try:
                progress[row.at.key] = decode_msgpack(row.value, ItemProgress)
            except InvalidInput as error:
                _log_unreadable(row.at, error)
        return progress

    async def delete(self, stored: StoredHead) -> None:
        """Delete a job, its head last; raise HeadChanged if the head has changed."""
        job_id = stored.job_id
        key = _head_key(job_id)
        condition = RowCondition(key, stored.version)
        deletions: list[RowWrite] = []
        for table in (PROGRESS_TABLE, RESULT_TABLE, BODY_TABLE):
            rows = await self._read_all(table, job_id, "")
            deletions += [RowWrite(row.at, None) for row in rows]
        # The head goes last: without it no node would find the remaining rows.
        deletions.append(RowWrite(key, None))
        for batch in _batch_writes(deletions):
            try:
                await self._store.commit(RowTransaction((condition,), tuple(batch)))
            except RowConflict as conflict:
                raise HeadChanged(_find_head(job_id, conflict.rows)) from conflict

    def _encode_result(
        self, job_id: str, position: int, result: ItemResult
    ) -> list[RowWrite]:
        chunks = _split_chunks(msgspec.msgpack.encode(result), self._chunk_bytes)
        return [
            RowWrite(RowKey(RESULT_TABLE, job_id, f"{position:06d}.{n:02d}"), chunk)
            for n, chunk in enumerate(chunks)
        ]

    async def _read_all(self, table: str, part: str, from_key: str) -> list[StoredRow]:
        rows: list[StoredRow] = []
        while True:
            page = await self._store.read(RowQuery(table, part, from_key))
            rows += page.rows
            if not page.has_more or not page.rows:
                return rows
            from_key = page.rows[-1].at.key + "\0"


def decode_head(row_value: bytes) -> JobHead:
    """Decode the row of a head; raise InvalidInput if it is invalid."""
    return decode_msgpack(row_value, JobHead)


def _head_key(job_id: str) -> RowKey:
    return RowKey(HEAD_TABLE, job_id, HEAD_KEY)


def _find_head(job_id: str, rows: Iterable[StoredRow]) -> StoredHead | None:
    """Return the head that made a condition fail; an unreadable one counts as none."""
    row = _find_head_row(job_id, rows)
    if row is None:
        return None
    try:
        return StoredHead(job_id, decode_head(row.value), row.version)
    except InvalidInput as error:
        _log_unreadable(row.at, error)
        return None


def _find_head_row(job_id: str, rows: Iterable[StoredRow]) -> StoredRow | None:
    return next((row for row in rows if row.at == _head_key(job_id)), None)


def _decode(name: str, value: bytes, kind: type[T]) -> T:
    try:
        return decode_msgpack(value, kind)
    except InvalidInput as error:
        raise RowUnreadable(f"{name} cannot be decoded: {error}") from error


def _log_unreadable(at: RowKey, error: InvalidInput) -> None:
    event = {"row": f"{at.table}/{at.part}/{at.key}", "reason": str(error)}
    log.warning("row_unreadable", extra={"event": event})


def _join_newest_body(rows: Sequence[StoredRow]) -> bytes:
    """Return a body without the chunks that a longer, unfinished one left behind it.

    A body's last chunk is written with the head, after all other chunks.
    """
    newest = max(row.version for row in rows)
    end = max(row.at.key for row in rows if row.version == newest)
    return b"".join(row.value for row in rows if row.at.key <= end)


def _holds_all(writes: list[RowWrite], rows: Iterable[StoredRow]) -> bool:
    stored = {row.at: row.value for row in rows}
    return all(stored.get(write.at) == write.value for write in writes)


def _decode_results(
    rows: Sequence[StoredRow], *, may_be_truncated: bool
) -> list[ItemResult]:
    chunks: dict[str, list[bytes]] = {}
    for row in rows:
        chunks.setdefault(row.at.key.partition(".")[0], []).append(row.value)
    values = [b"".join(parts) for parts in chunks.values()]
    if may_be_truncated and len(values) > 1:
        # The last result may continue on the next page.
        values.pop()
    return [_decode(RESULT_TABLE, value, ItemResult) for value in values]


def _split_chunks(data: bytes, size: int) -> list[bytes]:
    return [data[i : i + size] for i in range(0, len(data), size)] or [b""]


def _batch_writes(writes: Sequence[RowWrite]) -> list[list[RowWrite]]:
    groups: list[list[RowWrite]] = [[]]
    for write in writes:
        if groups[-1] and _is_too_large([*groups[-1], write]):
            groups.append([])
        groups[-1].append(write)
    return groups if groups[-1] else []


def _is_too_large(writes: Sequence[RowWrite]) -> bool:
    size = sum(len(write.value or b"") for write in writes)
    return size > MAX_TRANSACTION_BYTES or len(writes) > MAX_WRITTEN_ROWS


__all__ = [
    "HEAD_KEY",
    "HEAD_TABLE",
    "HeadChanged",
    "JobStore",
    "RowStoreError",
    "StoredHead",
    "decode_head",
]
