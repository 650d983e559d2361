"""Configuration revisions in the table: a head row and one body row per revision."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Result, Success

from tamarackshelf.contracts import ABSENT_REVISION, Condition, Row, Transaction, Write
from tamarackshelf.errors import BadRequest, RevisionConflict
from tamarackshelf.state.table_client import Conflict, Priority, TableClient
from tamarackshelf.world import Configuration

HEAD_KEY = "configuration/head"
BODY_PREFIX = "configuration/body/"


@dataclass(frozen=True, slots=True)
class Head:
    """Head row, which names the newest accepted revision and its author.

    The nonce tells apart edits that compete for the same revision number.
    """

    revision: int
    author: str
    nonce: str


Edit = Callable[[Configuration], Configuration]


async def read_head(table: TableClient, timeout_s: float = 2.0) -> Head | None:
    """Return the head, or None if no revision was accepted yet."""
    rows = await table.read(HEAD_KEY, timeout_s=timeout_s)
    row = rows.get(HEAD_KEY)
    return None if row is None else msgspec.json.decode(row.value, type=Head)


async def read_body(
    table: TableClient, revision: int, timeout_s: float = 2.0
) -> Configuration | None:
    """Return the configuration of a revision, or None if there is none."""
    key = f"{BODY_PREFIX}{revision:08d}"
    row = (await table.read(key, timeout_s=timeout_s)).get(key)
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=Configuration)


async def read_history(
    table: TableClient, newest: int, count: int, timeout_s: float = 5.0
) -> list[Configuration]:
    """Return the last `count` revisions, the newest first."""
    revisions = range(newest, max(0, newest - count), -1)
    keys = [f"{BODY_PREFIX}{revision:08d}" for revision in revisions]
    rows = await table.read(*keys, timeout_s=timeout_s)
    found = [rows[key] for key in keys if key in rows]
    return [msgspec.json.decode(row.value, type=Configuration) for row in found]


async def accept_edit(
    table: TableClient, author: str, based_on: int, edit: Edit, timeout_s: float
) -> Result[Configuration, RevisionConflict]:
    """Commit an edit of revision `based_on` as the next revision.

    Return RevisionConflict as the failure if another edit was accepted first. Raise
    BadRequest if revision `based_on` does not exist.
    """
    current = await read_body(table, based_on, timeout_s)
    if current is None and based_on != 0:
        raise BadRequest(f"revision {based_on} does not exist; read the newest one")
    edited = edit(current or Configuration())
    changed = replace(edited, revision=based_on + 1, author=author)
    head = Head(based_on + 1, author, uuid.uuid4().hex)
    rows = await table.read(HEAD_KEY, timeout_s=timeout_s)
    head_row = rows.get(HEAD_KEY)
    if head_row is not None and _decode_head(head_row).revision != based_on:
        return Failure(_to_conflict(head_row))
    transaction = _build_transaction(head_row, head, changed)
    result = await table.commit(
        transaction, Priority.CONFIGURATION, timeout_s, _match_head(head)
    )
    if isinstance(result, Success):
        return Success(changed)
    return Failure(_to_conflict(_find_head(result.failure())))


def _build_transaction(
    head_row: Row | None, head: Head, changed: Configuration
) -> Transaction:
    revision = ABSENT_REVISION if head_row is None else head_row.revision
    body_key = f"{BODY_PREFIX}{changed.revision:08d}"
    return Transaction(
        conditions=(
            Condition(HEAD_KEY, revision),
            Condition(body_key, ABSENT_REVISION),
        ),
        writes=(
            Write(HEAD_KEY, msgspec.json.encode(head).decode()),
            Write(body_key, msgspec.json.encode(changed).decode()),
        ),
    )


def _match_head(head: Head) -> Callable[[Row], bool]:
    def is_own_row(row: Row) -> bool:
        return row.key == HEAD_KEY and _decode_head(row).nonce == head.nonce

    return is_own_row


def _find_head(conflict: Conflict) -> Row:
    row = conflict.find(HEAD_KEY)
    return conflict.rows[0] if row is None else row


def _to_conflict(row: Row) -> RevisionConflict:
    if row.key != HEAD_KEY or not row.value:
        return RevisionConflict(
            "another edit was accepted first; read the newest revision and retry"
        )
    head = _decode_head(row)
    return RevisionConflict(
        f"{head.author} accepted revision {head.revision} first; read it, apply "
        "your change to it and accept again"
    )


def _decode_head(row: Row) -> Head:
    return msgspec.json.decode(row.value, type=Head)


__all__ = ["Head", "accept_edit", "read_body", "read_head", "read_history"]
