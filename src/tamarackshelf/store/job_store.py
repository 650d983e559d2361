"""Rows of jobs: head, body, results and progress, each job in a part of its own.

Every write has the head's version as a condition, so an owner that lost a job can
write nothing more. Results are never changed once they are written.
"""

from __future__ import annotations

import asyncio
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
    RowWrite,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tamarackshelf.world.job import ItemProgress, ItemResult, Job, JobHead

HEAD_TABLE = "job"
BODY_TABLE = "job-body"
RESULT_TABLE = "job-result"
PROGRESS_TABLE = "job-progress"
HEAD_KEY = "head"
# Leaves room for the row's other fields in a transaction of one megabyte.
TRANSACTION_BYTES = 600_000
TRANSACTION_ROWS = 90
# Results are due soon after the store's return, so the pause does not grow.
RETRY_GAP_S = 0.08

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A job's head as stored."""

    job_id: str
    head: JobHead
    version: int


class HeadChanged(Exception):
    """Another node changed the job's head; `current` is what it is now."""

    def __init__(self, current: StoredHead | None) -> None:
        super().__init__("the job's head changed; look at it before going on")
        self.current = current


class JobStore:
    """Reads and writes jobs; errors of the store pass through as RowStoreError."""

    def __init__(self, store: RowStore, row_bytes: int) -> None:
        self._store = store
        # Base64 and the store's own fields stay below the row's limit.
        self._chunk_bytes = min(row_bytes * 3 // 4, 48_000)

    async def insert(self, job: Job, head: JobHead) -> StoredHead:
        """Stores a whole job; raises HeadChanged when the id is taken."""
        body = msgspec.msgpack.encode(job)
        chunks = _split(body, self._chunk_bytes)
        writes = [
            RowWrite(RowKey(BODY_TABLE, job.job_id, f"{n:04d}"), chunk)
            for n, chunk in enumerate(chunks)
        ]
        *early, last = _group(writes)
        for group in early:
            # Chunks without a head are no job; a later copy writes the same bytes.
            await self._store.commit(RowTransaction((), tuple(group)))
        at = _head_key(job.job_id)
        write = RowWrite(at, msgspec.msgpack.encode(head))
        condition = RowCondition(at, ABSENT_VERSION)
        transaction = RowTransaction((condition,), (*last, write))
        try:
            done = await self._store.commit(transaction)
        except RowConflict as conflict:
            current = _find_head(job.job_id, conflict.rows)
            if current is not None and current.head == head:
                return current
            raise HeadChanged(current) from conflict
        return StoredHead(job.job_id, head, done.version)

    async def read_head(self, job_id: str) -> StoredHead | None:
        """Returns the head as stored now, or None when there is no such job."""
        page = await self._store.read(RowQuery(HEAD_TABLE, job_id))
        return _find_head(job_id, page.rows)

    async def change_head(self, stored: StoredHead, head: JobHead) -> StoredHead:
        """Replaces the head; raises HeadChanged when it is another one by now."""
        at = _head_key(stored.job_id)
        write = RowWrite(at, msgspec.msgpack.encode(head))
        transaction = RowTransaction((RowCondition(at, stored.version),), (write,))
        try:
            done = await self._store.commit(transaction)
        except RowConflict as conflict:
            current = _find_head(stored.job_id, conflict.rows)
            if current is not None and current.head == head:
                return current
            raise HeadChanged(current) from conflict
        return StoredHead(stored.job_id, head, done.version)

    async def read_job(self, job_id: str) -> Job | None:
        """Returns a whole job, or None when its rows are not there."""
        rows = await self._read_all(BODY_TABLE, job_id, "")
        if not rows:
            return None
        body = b"".join(row.value for row in rows)
        return msgspec.msgpack.decode(body, type=Job)

    async def append_results(
        self,
        stored: StoredHead,
        first: int,
        results: Sequence[ItemResult],
        whole: JobHead | None = None,
    ) -> tuple[int, StoredHead]:
        """Lists results from position `first` on; returns how many, and the head.

        `whole` replaces the head in the same transaction when it holds the last
        results. Repeats until the store has answered. Raises HeadChanged when this
        node no longer owns the job; what was not written is then not listed.
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
        if whole is not None and count == len(results):
            value = msgspec.msgpack.encode(whole)
            writes.append(RowWrite(_head_key(stored.job_id), value))
        else:
            whole = None
        if len(conditions) + len(writes) > TRANSACTION_ROWS:
            # The head's version alone keeps other owners out.
            conditions = conditions[:1]
        transaction = RowTransaction(tuple(conditions), tuple(writes))
        while True:
            try:
                done = await self._store.commit(transaction)
            except RowConflict as conflict:
                current = _find_head(stored.job_id, conflict.rows)
                if current is not None and _holds_all(writes, conflict.rows):
                    return count, current
                raise HeadChanged(current) from None
            except (StoreRefused, StoreOutcomeUnknown):
                await asyncio.sleep(RETRY_GAP_S)
            else:
                if whole is None:
                    return count, stored
                return count, StoredHead(stored.job_id, whole, done.version)

    async def read_results(self, job_id: str, first: int) -> list[ItemResult]:
        """Returns the listed results from a position on, those of one read."""
        query = RowQuery(RESULT_TABLE, job_id, f"{first:06d}")
        page = await self._store.read(query)
        return _decode_results(page.rows, may_be_cut=page.has_more)

    async def read_all_results(self, job_id: str) -> list[ItemResult]:
        """Returns all listed results."""
        rows = await self._read_all(RESULT_TABLE, job_id, "")
        return _decode_results(rows, may_be_cut=False)

    async def save_progress(
        self, stored: StoredHead, progress: Iterable[ItemProgress]
    ) -> None:
        """Keeps unfinished texts for the next owner; best effort."""
        condition = RowCondition(_head_key(stored.job_id), stored.version)
        writes = []
        for each in progress:
            value = msgspec.msgpack.encode(each)
            if len(value) <= self._chunk_bytes:
                at = RowKey(PROGRESS_TABLE, stored.job_id, each.item_id)
                writes.append(RowWrite(at, value))
        for group in _group(writes):
            await self._store.commit(RowTransaction((condition,), tuple(group)))

    async def read_progress(self, job_id: str) -> dict[str, ItemProgress]:
        """Returns the unfinished texts by item."""
        rows = await self._read_all(PROGRESS_TABLE, job_id, "")
        return {
            row.at.key: msgspec.msgpack.decode(row.value, type=ItemProgress)
            for row in rows
        }

    async def delete(self, stored: StoredHead) -> None:
        """Deletes a job, its head last; raises HeadChanged when the head is another."""
        job_id = stored.job_id
        at = _head_key(job_id)
        condition = RowCondition(at, stored.version)
        deletions: list[RowWrite] = []
        for table in (PROGRESS_TABLE, RESULT_TABLE, BODY_TABLE):
            rows = await self._read_all(table, job_id, "")
            deletions += [RowWrite(row.at, None) for row in rows]
        # Without its head nobody would find the rest.
        deletions.append(RowWrite(at, None))
        for group in _group(deletions):
            try:
                await self._store.commit(RowTransaction((condition,), tuple(group)))
            except RowConflict as conflict:
                raise HeadChanged(_find_head(job_id, conflict.rows)) from conflict

    def _encode_result(
        self, job_id: str, position: int, result: ItemResult
    ) -> list[RowWrite]:
        chunks = _split(msgspec.msgpack.encode(result), self._chunk_bytes)
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
    """Decodes a head row; raises ValueError when it cannot be read."""
    return msgspec.msgpack.decode(row_value, type=JobHead)


def _head_key(job_id: str) -> RowKey:
    return RowKey(HEAD_TABLE, job_id, HEAD_KEY)


def _find_head(job_id: str, rows: Iterable[StoredRow]) -> StoredHead | None:
    for row in rows:
        if row.at == _head_key(job_id):
            return StoredHead(job_id, decode_head(row.value), row.version)
    return None


def _holds_all(writes: list[RowWrite], rows: Iterable[StoredRow]) -> bool:
    stored = {row.at: row.value for row in rows}
    return all(stored.get(write.at) == write.value for write in writes)


def _decode_results(rows: Sequence[StoredRow], *, may_be_cut: bool) -> list[ItemResult]:
    chunks: dict[str, list[bytes]] = {}
    for row in rows:
        chunks.setdefault(row.at.key.partition(".")[0], []).append(row.value)
    values = [b"".join(parts) for parts in chunks.values()]
    if may_be_cut and len(values) > 1:
        # The last result may go on in the next page.
        values.pop()
    return [msgspec.msgpack.decode(value, type=ItemResult) for value in values]


def _split(data: bytes, size: int) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)] or [b""]


def _group(writes: Sequence[RowWrite]) -> list[list[RowWrite]]:
    groups: list[list[RowWrite]] = [[]]
    for write in writes:
        if groups[-1] and _is_too_large([*groups[-1], write]):
            groups.append([])
        groups[-1].append(write)
    return groups if groups[-1] else []


def _is_too_large(writes: Sequence[RowWrite]) -> bool:
    size = sum(len(write.value or b"") for write in writes)
    return size > TRANSACTION_BYTES or len(writes) > TRANSACTION_ROWS // 2


__all__ = [
    "HEAD_KEY",
    "HEAD_TABLE",
    "HeadChanged",
    "JobStore",
    "RowStoreError",
    "StoredHead",
    "decode_head",
]
