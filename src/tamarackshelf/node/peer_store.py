"""Calls to the row store that a peer relays: the client and the peer's handler."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from tamarackshelf.contracts.rows import (
    Commit,
    FeedPage,
    FeedQuery,
    HistoryLost,
    RowConflict,
    RowPage,
    RowQuery,
    RowTransaction,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient, Response
from tamarackshelf.node.peer_statuses import is_not_carried_out
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.world import Address

RELAY_PATH = "/store"
# Longer than the peer's own call to the store may take.
RELAY_TIMEOUT_S = 1.3
# Feed polls through a peer wait at most this long, so that a broken connection to the
# peer is noticed soon.
RELAYED_FEED_WAIT_S = 0.3


T = TypeVar("T")


class RelayOutcome(enum.StrEnum):
    """The outcome of a relayed call."""

    DONE = "done"
    CONFLICT = "conflict"
    HISTORY_LOST = "history_lost"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A call to the row store; exactly one field is set."""

    commit: RowTransaction | None = None
    read: RowQuery | None = None
    parts_of: str | None = None
    feed: FeedQuery | None = None


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """The outcome of a relayed call and what the call returned."""

    outcome: RelayOutcome
    reason: str = ""
    commit: Commit | None = None
    page: RowPage | None = None
    parts: tuple[str, ...] = ()
    feed: FeedPage | None = None
    rows: tuple[StoredRow, ...] = ()


class PeerStore:
    """A RowStore whose calls one peer relays to the store.

    Each call raises StoreRefused when it certainly was not carried out, and
    StoreOutcomeUnknown when it may have been.
    """

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Commit a transaction; raise RowConflict when a condition fails."""
        answer = await self._call(RelayRequest(commit=transaction))
        return _require(answer.commit)

    async def read(self, query: RowQuery) -> RowPage:
        """Return rows as of one moment."""
        answer = await self._call(RelayRequest(read=query))
        return _require(answer.page)

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of a table that hold rows."""
        answer = await self._call(RelayRequest(parts_of=table))
        return answer.parts

    async def feed(self, query: FeedQuery) -> FeedPage:
        """Return changes as soon as there are some, or none after the wait.

        Raise HistoryLost when the store no longer has the changes asked for.
        """
        wait_s = min(query.wait_s, RELAYED_FEED_WAIT_S)
        short_query = FeedQuery(query.table, query.after, wait_s)
        answer = await self._call(RelayRequest(feed=short_query), wait_s)
        return _require(answer.feed)

    async def _call(self, request: RelayRequest, wait_s: float = 0.0) -> RelayAnswer:
        try:
            answer = await self._http.request(
                self._address,
                "POST",
                RELAY_PATH,
                body=msgspec.msgpack.encode(request),
                timeout_s=RELAY_TIMEOUT_S + wait_s,
                # The fault that cut this node off from the store may have broken pooled
                # connections too.
                new_connection=True,
            )
        except ConnectFailed as error:
            raise StoreRefused(str(error)) from error
        except ConnectionLost as error:
            self._http.close_idle_connections(self._address)
            raise StoreOutcomeUnknown(str(error)) from error
        if answer.status != 200:
            reason = f"peer {self._address} answered status {answer.status}"
            if is_not_carried_out(answer.status):
                raise StoreRefused(reason)
            raise StoreOutcomeUnknown(reason)
        try:
            relayed = decode_msgpack(answer.body, RelayAnswer)
        except InvalidInput as error:
            reason = f"peer {self._address} gave an unreadable answer: {error}"
            raise StoreOutcomeUnknown(reason) from error
        _raise_for_outcome(relayed)
        return relayed


async def answer_relay(row_store: FailoverStore, body: bytes) -> Response:
    """Carry out a peer's call at the store directly, never through another peer."""
    request = decode_msgpack(body, RelayRequest)
    try:
        answer = await _call_store(row_store, request)
    except RowConflict as error:
        answer = RelayAnswer(RelayOutcome.CONFLICT, rows=error.rows)
    except HistoryLost as error:
        answer = RelayAnswer(RelayOutcome.HISTORY_LOST, str(error))
    except StoreOutcomeUnknown as error:
        answer = RelayAnswer(RelayOutcome.UNCERTAIN, str(error))
    except StoreRefused as error:
        answer = RelayAnswer(RelayOutcome.REFUSED, str(error))
    return Response(200, msgspec.msgpack.encode(answer))


async def _call_store(row_store: FailoverStore, request: RelayRequest) -> RelayAnswer:
    done = RelayOutcome.DONE
    if request.commit is not None:
        transaction = request.commit
        commit = await row_store.call_direct(lambda store: store.commit(transaction))
        return RelayAnswer(done, commit=commit)
    if request.read is not None:
        query = request.read
        page = await row_store.call_direct(lambda store: store.read(query))
        return RelayAnswer(done, page=page)
    if request.feed is not None:
        feed_query = request.feed
        feed = await row_store.call_direct(lambda store: store.feed(feed_query))
        return RelayAnswer(done, feed=feed)
    table = request.parts_of or ""
    parts = await row_store.call_direct(lambda store: store.list_parts(table))
    return RelayAnswer(done, parts=parts)


def _raise_for_outcome(answer: RelayAnswer) -> None:
    if answer.outcome is RelayOutcome.CONFLICT:
        raise RowConflict(answer.rows)
    if answer.outcome is RelayOutcome.HISTORY_LOST:
        raise HistoryLost(answer.reason)
    if answer.outcome is RelayOutcome.UNCERTAIN:
        raise StoreOutcomeUnknown(answer.reason)
    if answer.outcome is RelayOutcome.REFUSED:
        raise StoreRefused(answer.reason)


def _require(value: T | None) -> T:
    if value is None:
        raise StoreOutcomeUnknown("the peer's answer contains no result")
    return value


__all__ = ["RELAY_PATH", "PeerStore", "answer_relay"]
