"""Client of the platform's row store."""

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
from tamarackshelf.decoding import InvalidInput, decode_json
from tamarackshelf.net import ClientResponse, ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.world import Address

# On its slowest days the store usually responds in 0.5 s. A timeout of ten times that
# would be too long for callers. After the timeout the outcome of a call is unknown.
CALL_TIMEOUT_S = 1.2
# A feed call fails this long after its `wait_s`; the store sends an empty response
# right after the wait.
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


class _RowsResponse(msgspec.Struct, rename="camel"):
    row_version: int = 0
    # The store's monotonic clock, not the time of day.
    server_time_ms: int = 0
    records: list[_Record] = []
    has_more: bool = False


class _PartsResponse(msgspec.Struct, rename="camel"):
    parts: list[str] = []
    has_more: bool = False


class PlatformRowStore:
    """RowStore implementation that calls the platform's store at one address."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Commit the transaction; raise RowConflict if a condition does not hold.

        Like every call, raise StoreRefused if the store did not run the call and
        StoreOutcomeUnknown if its outcome is unknown.
        """
        body = msgspec.json.encode(_encode_transaction(transaction))
        response = await self._call("POST", "/v1/rows-tx", body)
        if response.status == 412:
            raise RowConflict(_to_rows(_decode(response, _RowsResponse)))
        committed = _decode(response, _RowsResponse)
        return Commit(committed.row_version, committed.server_time_ms)

    async def read(self, query: RowQuery) -> RowPage:
        """Return a page of rows, read from one snapshot of the store."""
        parameters = {
            "table": query.table,
            "part": query.part,
            "limit": str(query.limit),
        }
        if query.from_key:
            parameters["from"] = query.from_key
        response = await self._call("GET", f"/v1/rows-get?{urlencode(parameters)}")
        page = _decode(response, _RowsResponse)
        return RowPage(
            _to_rows(page), page.has_more, page.row_version, page.server_time_ms
        )

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of the table's parts that hold rows."""
        names: list[str] = []
        after = ""
        while True:
            path = f"/v1/rows-parts?table={quote(table)}&after={quote(after)}"
            page = _decode(await self._call("GET", path), _PartsResponse)
            names += page.parts
            if len(page.parts) < PARTS_PER_PAGE:
                return tuple(names)
            after = page.parts[-1]

    async def feed(self, query: FeedQuery) -> FeedPage:
        """Return changes as soon as there are any, or an empty page after `wait_s`.

        Raise HistoryLost if the store no longer holds the changes after `query.after`.
        """
        parameters = {
            "table": query.table,
            "after": str(query.after),
            "waitMs": str(int(query.wait_s * 1000)),
        }
        path = f"/v1/rows-feed?{urlencode(parameters)}"
        response = await self._call("GET", path, timeout_s=query.wait_s + FEED_SLACK_S)
        if response.status == 410:
            raise HistoryLost(
                f"the store no longer holds the changes of table {query.table} "
                f"after version {query.after}"
            )
        page = _decode(response, _RowsResponse)
        changes = tuple(_to_change(record) for record in page.records)
        return FeedPage(changes, page.row_version, page.server_time_ms)

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout_s: float | None = None
    ) -> ClientResponse:
        headers = {"content-type": "application/json"} if body else {}
        try:
            # A write whose response was lost may have been committed, so only the code
            # that issued the write may send it again.
            response = await self._http.request(
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
            # The other idle connections have probably failed as well.
            self._http.close_idle_connections(self._address)
            raise StoreOutcomeUnknown(str(error)) from error
        if response.status not in (200, 410, 412):
            raise StoreRefused(f"the store returned {response.status} for {path[:40]}")
        return response


def _encode_transaction(transaction: RowTransaction) -> dict[str, object]:
    writes = [w for w in transaction.writes if w.value is not None]
    return {
        # Despite its name, expectedRev is a list of conditions.
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


def _decode(response: ClientResponse, kind: type[T]) -> T:
    try:
        return decode_json(response.body, kind)
    except InvalidInput as error:
        raise StoreOutcomeUnknown(
            f"the store sent an invalid response: {error}"
        ) from error


def _to_rows(page: _RowsResponse) -> tuple[StoredRow, ...]:
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
        # The code that decodes the row reports the invalid value.
        return text.encode()


__all__ = ["PlatformRowStore"]
