"""Calls to the platform's metadata store."""

from __future__ import annotations

import base64
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from tamarackshelf.contracts.rows import (
    Commit,
    FeedPage,
    FeedQuery,
    HistoryLost,
    RowChange,
    RowConflict,
    RowKey,
    RowPage,
    RowQuery,
    RowTransaction,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tamarackshelf.net import ClientResponse, ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.world import Address

# Ten times the store's ordinary answer on its slowest days (0.5 s) is too long for
# callers; a call without an answer by then counts as uncertain.
CALL_TIMEOUT_S = 1.2
# An empty answer to a feed comes right after its wait.
FEED_SLACK_S = 0.6
PARTS_PER_PAGE = 1000

T = TypeVar("T")


class _Record(msgspec.Struct, rename="camel"):
    table: str
    key: str
    row_version: int = 0
    part: str = ""
    # The row's bytes in base64.
    value: str = ""
    deleted: bool = False


class _Answer(msgspec.Struct, rename="camel"):
    row_version: int = 0
    # A steady clock of the store, not the time of day.
    server_time_ms: int = 0
    records: list[_Record] = []
    has_more: bool = False


class _Parts(msgspec.Struct, rename="camel"):
    parts: list[str] = []
    has_more: bool = False


class PlatformRowStore:
    """The row store at one address; implements the RowStore port."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Commits or raises RowConflict."""
        body = msgspec.json.encode(_encode_transaction(transaction))
        answer = await self._call("POST", "/v1/rows-tx", body)
        if answer.status == 412:
            raise RowConflict(_to_rows(_decode(answer, _Answer)))
        taken = _decode(answer, _Answer)
        return Commit(taken.row_version, taken.server_time_ms)

    async def read(self, query: RowQuery) -> RowPage:
        """Returns rows as of one moment."""
        words = {"table": query.table, "part": query.part, "limit": str(query.limit)}
        if query.from_key:
            words["from"] = query.from_key
        answer = await self._call("GET", f"/v1/rows-get?{urlencode(words)}")
        page = _decode(answer, _Answer)
        return RowPage(
            _to_rows(page), page.has_more, page.row_version, page.server_time_ms
        )

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Returns the parts of a table that hold rows."""
        found: list[str] = []
        after = ""
        while True:
            path = f"/v1/rows-parts?table={quote(table)}&after={quote(after)}"
            page = _decode(await self._call("GET", path), _Parts)
            found += page.parts
            if len(page.parts) < PARTS_PER_PAGE:
                return tuple(found)
            after = page.parts[-1]

    async def feed(self, query: FeedQuery) -> FeedPage:
        """Returns changes as soon as there are some, or none after the wait."""
        words = {
            "table": query.table,
            "after": str(query.after),
            "waitMs": str(int(query.wait_s * 1000)),
        }
        path = f"/v1/rows-feed?{urlencode(words)}"
        answer = await self._call("GET", path, timeout_s=query.wait_s + FEED_SLACK_S)
        if answer.status == 410:
            raise HistoryLost(f"no changes of {query.table} after {query.after}")
        page = _decode(answer, _Answer)
        changes = tuple(_to_change(record) for record in page.records)
        return FeedPage(changes, page.row_version, page.server_time_ms)

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout_s: float | None = None
    ) -> ClientResponse:
        headers = {"content-type": "application/json"} if body else {}
        try:
            # A write whose answer was lost must not go out again unseen.
            answer = await self._http.request(
                self._address,
                method,
                path,
                headers=headers,
                body=body,
                timeout_s=timeout_s or CALL_TIMEOUT_S,
                resend=method == "GET",
            )
        except ConnectFailed as error:
            raise StoreRefused(str(error)) from error
        except ConnectionLost as error:
            # The other idle connections are probably as silent as this one.
            self._http.close_idle_connections(self._address)
            raise StoreOutcomeUnknown(str(error)) from error
        if answer.status not in (200, 410, 412):
            raise StoreRefused(f"the store answered {answer.status} to {path[:40]}")
        return answer


def _encode_transaction(transaction: RowTransaction) -> dict[str, object]:
    writes = [w for w in transaction.writes if w.value is not None]
    return {
        # The platform's name suggests one revision; it is a list of conditions.
        "expectedRev": [
            {**_encode_key(c.at), "rowVersion": c.version}
            for c in transaction.conditions
        ],
        "writes": [
            {**_encode_key(w.at), "value": base64.b64encode(w.value or b"").decode()}
            for w in writes
        ],
        "remove": [_encode_key(w.at) for w in transaction.writes if w.value is None],
    }


def _encode_key(at: RowKey) -> dict[str, str]:
    return {"table": at.table, "part": at.part, "key": at.key}


def _decode(answer: ClientResponse, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreOutcomeUnknown(f"the store sent a broken answer: {error}") from error


def _to_rows(page: _Answer) -> tuple[StoredRow, ...]:
    rows = (
        StoredRow(_to_key(r), _to_bytes(r.value), r.row_version)
        for r in page.records
        if not r.deleted and r.row_version
    )
    return tuple(rows)


def _to_change(record: _Record) -> RowChange:
    value = None if record.deleted else _to_bytes(record.value)
    return RowChange(_to_key(record), value, record.row_version)


def _to_key(record: _Record) -> RowKey:
    return RowKey(record.table, record.part, record.key)


def _to_bytes(text: str) -> bytes:
    try:
        return base64.b64decode(text)
    except ValueError:
        # The reader of the row reports bytes that it cannot understand.
        return text.encode()


__all__ = ["PlatformRowStore"]
