"""Stand-in for the platform's transactional table service."""

from __future__ import annotations

import asyncio

from tamarackshelf.contracts import (
    ABSENT_REVISION,
    Batch,
    ReadRequest,
    Row,
    Transaction,
    TransactionResult,
)
from tamarackshelf.errors import BadRequest
from tamarackshelf.net import HttpServer, Request, Response, to_json_response
from tamarackshelf.net.http_server import ServerLimits
from tamarackshelf.standin.faults import FaultChange, TableFaults, apply_fault_change
from tamarackshelf.world import Address

BODY_LIMIT_BYTES = 64 * 1024 * 1024


class TableStandin:
    """Table service that keeps its rows in memory and counts rows and requests."""

    def __init__(self) -> None:
        self.faults = TableFaults()
        self.rows: dict[str, Row] = {}
        self.rows_read = 0
        self.rows_written = 0
        self.requests = 0
        limits = ServerLimits(body_bytes=BODY_LIMIT_BYTES)
        self._server = HttpServer(self._handle, limits)

    async def start(self, address: Address) -> Address:
        """Start to listen and return the bound address."""
        return await self._server.start(address)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close(0.1)

    async def _handle(self, request: Request) -> Response:
        if request.path == "/standin/faults":
            apply_fault_change(self.faults, request.decode(FaultChange))
            return to_json_response({})
        self.requests += 1
        if self.faults.down:
            raise ConnectionError("the table service is down")
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if request.path == "/v1/reads":
            return to_json_response(self.read(request.decode(ReadRequest)))
        if request.path == "/v1/transactions":
            batch = request.decode(Batch)
            results = tuple(self.commit(t) for t in batch.transactions)
            self._lose_answer(batch)
            return to_json_response(results)
        raise BadRequest("unknown path; use /v1/reads or /v1/transactions")

    def read(self, request: ReadRequest) -> tuple[Row, ...]:
        """Return the rows with the requested keys and those with the prefix."""
        found = [self.rows[key] for key in request.keys if key in self.rows]
        if request.prefix is not None:
            keys = sorted(k for k in self.rows if k.startswith(request.prefix))
            found += [self.rows[key] for key in keys]
        self.rows_read += max(1, len(found))
        return tuple(found)

    def commit(self, transaction: Transaction) -> TransactionResult:
        """Apply the writes if all conditions hold, otherwise return the conflicts."""
        conflicts = []
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            revision = ABSENT_REVISION if row is None else row.revision
            if revision != condition.revision:
                conflicts.append(row or Row(condition.key, "", ABSENT_REVISION))
        if conflicts:
            return TransactionResult(False, tuple(conflicts))
        for write in transaction.writes:
            self._write(write.key, write.value)
        return TransactionResult(True)

    def _write(self, key: str, value: str | None) -> None:
        self.rows_written += 1
        if value is None:
            self.rows.pop(key, None)
            return
        row = self.rows.get(key)
        revision = ABSENT_REVISION if row is None else row.revision
        self.rows[key] = Row(key, value, revision + 1)

    def _lose_answer(self, batch: Batch) -> None:
        if self.faults.lose_answers <= 0:
            return
        prefix = self.faults.lose_writes_under
        keys = [w.key for t in batch.transactions for w in t.writes]
        if any(key.startswith(prefix) for key in keys):
            self.faults.lose_answers -= 1
            raise ConnectionError("the response is lost after the write")


__all__ = ["TableStandin"]
