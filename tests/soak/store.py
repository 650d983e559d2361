"""Stand-in for the platform's row store over HTTP, with fault injection."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from tamarackshelf.contracts.rows import (
    FeedQuery,
    HistoryLost,
    RowCondition,
    RowConflict,
    RowKey,
    RowQuery,
    RowTransaction,
    RowWrite,
    StoredRow,
)
from tamarackshelf.net import HttpServer, Request, Response, to_json_response
from tamarackshelf.standin.row_store import MemoryRowStore

if TYPE_CHECKING:
    from tamarackshelf.world import Address

RESPONSE_DELAY_S = 0.004
MAX_ROW_BYTES = 65_536
MAX_TRANSACTION_ENTRIES = 100
# Longer than any timeout of a client, so that the client gives up the connection.
SILENCE_S = 60.0
READ_ONLY_TABLES = ("op", "servers")

# Translates a row's value for the node that reads it.
Translation = Callable[[bytes], bytes]


@dataclass(slots=True)
class StoreFaults:
    """Current faults of the store.

    `extra_s` is added to the delay of each response. With `loses_answers`, writes take
    effect but get no response.
    """

    is_down: bool = False
    is_silent: bool = False
    extra_s: float = 0.0
    loses_answers: bool = False
    # Seconds until a write whose response is lost takes effect.
    late_commit_delay_s: float = 0.0


class StoreServer:
    """HTTP server for the rows of an in-memory store."""

    def __init__(self) -> None:
        self.rows = MemoryRowStore()
        self.faults = StoreFaults()
        self._servers: list[HttpServer] = []
        self._late_writes: set[asyncio.Task[None]] = set()

    async def start(self, address: Address, host: str, workers_host: str) -> None:
        """Listen for a node, whose list of workers has `workers_host` for `host`.

        So each node calls the workers at addresses of its own.
        """
        old, new = host.encode(), workers_host.encode()

        async def handle(request: Request) -> Response:
            return await self._handle(request, lambda value: value.replace(old, new))

        server = HttpServer(handle, cancel_on_disconnect=True)
        self._servers.append(server)
        await server.start(address)

    async def close(self) -> None:
        """Stop listening and drop the writes that have not taken effect yet."""
        for task in self._late_writes:
            task.cancel()
        for server in self._servers:
            await server.abort()

    async def _handle(self, request: Request, translate: Translation) -> Response:
        await asyncio.sleep(RESPONSE_DELAY_S + self.faults.extra_s)
        if self.faults.is_silent:
            await asyncio.sleep(SILENCE_S)
        if self.faults.is_down:
            return Response(503)
        if request.path == "/v1/rows-tx":
            return await self._transact(request)
        if request.path == "/v1/rows-get":
            return to_json_response(_to_page(self._read(request), translate))
        if request.path == "/v1/rows-parts":
            table, after = request.parameter("table"), request.parameter("after")
            parts = {at.part for at in self.rows.rows if at.table == table}
            return to_json_response({"parts": sorted(p for p in parts if p > after)})
        if request.path == "/v1/rows-feed":
            return await self._feed(request, translate)
        return Response(404)

    async def _transact(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        error_status = _find_error_status(body)
        if error_status:
            return Response(error_status)
        transaction = _to_transaction(body)
        if self.faults.loses_answers:
            await self._commit_without_response(transaction)
        try:
            commit = self.rows.commit_now(transaction)
        except RowConflict as error:
            return to_json_response(_to_answer(error.rows, 0), 412)
        return to_json_response(
            {"rowVersion": commit.version, "serverTimeMs": commit.store_ms}
        )

    async def _commit_without_response(self, transaction: RowTransaction) -> None:
        task = asyncio.create_task(
            self._commit_late(transaction, self.faults.late_commit_delay_s)
        )
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)
        await asyncio.sleep(SILENCE_S)

    async def _commit_late(self, transaction: RowTransaction, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        try:
            self.rows.commit_now(transaction)
        except RowConflict:
            # The platform's store also drops a write whose conditions no longer hold.
            return

    def _read(self, request: Request) -> Any:
        limit = int(request.parameter("limit", "500"))
        table, part = request.parameter("table"), request.parameter("part")
        return self.rows.read_now(
            RowQuery(table, part, request.parameter("from"), limit)
        )

    async def _feed(self, request: Request, translate: Translation) -> Response:
        wait_s = int(request.parameter("waitMs", "0")) / 1000
        after = int(request.parameter("after", "0"))
        query = FeedQuery(request.parameter("table"), after, wait_s)
        try:
            page = await self.rows.wait_for_changes(query)
        except HistoryLost:
            return Response(410)
        if self.faults.is_down:
            return Response(503)
        records = [
            _to_record(
                c.at, translate(c.value or b""), c.version, is_deleted=c.value is None
            )
            for c in page.changes
        ]
        return to_json_response(
            {
                "records": records,
                "rowVersion": page.version,
                "serverTimeMs": page.store_ms,
            }
        )


def _find_error_status(body: dict[str, Any]) -> int:
    entries = [*body["expectedRev"], *body["writes"], *body["remove"]]
    changed = [*body["writes"], *body["remove"]]
    if len(entries) > MAX_TRANSACTION_ENTRIES:
        return 400
    if len({entry["part"] for entry in entries}) > 1:
        return 400
    if any(entry["table"] in READ_ONLY_TABLES for entry in changed):
        return 403
    if any(len(base64.b64decode(w["value"])) > MAX_ROW_BYTES for w in body["writes"]):
        return 400
    return 0


def _to_transaction(body: dict[str, Any]) -> RowTransaction:
    conditions = tuple(
        RowCondition(_to_key(entry), entry["rowVersion"])
        for entry in body["expectedRev"]
    )
    writes = [
        RowWrite(_to_key(entry), base64.b64decode(entry["value"]))
        for entry in body["writes"]
    ]
    removed = [RowWrite(_to_key(entry), None) for entry in body["remove"]]
    return RowTransaction(conditions, (*writes, *removed))


def _to_key(entry: dict[str, Any]) -> RowKey:
    return RowKey(entry["table"], entry["part"], entry["key"])


def _to_page(page: Any, translate: Translation) -> dict[str, Any]:
    rows = tuple(StoredRow(r.at, translate(r.value), r.version) for r in page.rows)
    return {
        **_to_answer(rows, page.version),
        "hasMore": page.has_more,
        "serverTimeMs": page.store_ms,
    }


def _to_answer(rows: tuple[StoredRow, ...], version: int) -> dict[str, Any]:
    records = [_to_record(row.at, row.value, row.version) for row in rows]
    return {"records": records, "rowVersion": version}


def _to_record(
    at: RowKey, value: bytes, version: int, *, is_deleted: bool = False
) -> dict[str, Any]:
    return {
        "table": at.table,
        "part": at.part,
        "key": at.key,
        "value": base64.b64encode(value).decode(),
        "rowVersion": version,
        "deleted": is_deleted,
    }


__all__ = ["StoreFaults", "StoreServer"]
