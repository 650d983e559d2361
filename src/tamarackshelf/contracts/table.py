"""Client and message types of the platform's transactional table service."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.contracts.calls import call_json
from tamarackshelf.net import HttpClient
from tamarackshelf.world import Address

ABSENT_REVISION = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A stored row; `revision` starts at 1 and each write increments it."""

    key: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Condition on the revision of a row; ABSENT_REVISION means that no row exists."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """Write of a row's value; None deletes the row."""

    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied together, or not at all if a condition fails."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Whether the transaction was committed.

    `conflicts` holds the stored rows for which a condition failed.
    """

    committed: bool
    conflicts: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class Batch:
    """Independent transactions sent in one request."""

    transactions: tuple[Transaction, ...]


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Request for rows by key, or for all rows whose key starts with `prefix`."""

    keys: tuple[str, ...] = ()
    prefix: str | None = None


async def commit_batch(
    http: HttpClient, address: Address, batch: Batch, timeout_s: float
) -> tuple[TransactionResult, ...]:
    """Commit each transaction separately; results are in the order of the batch."""
    return await call_json(
        http,
        address,
        "POST",
        "/v1/transactions",
        tuple[TransactionResult, ...],
        batch,
        timeout_s,
    )


async def read_rows(
    http: HttpClient, address: Address, request: ReadRequest, timeout_s: float
) -> tuple[Row, ...]:
    """Return the requested rows that exist."""
    return await call_json(
        http, address, "POST", "/v1/reads", tuple[Row, ...], request, timeout_s
    )


__all__ = [
    "ABSENT_REVISION",
    "Batch",
    "Condition",
    "ReadRequest",
    "Row",
    "Transaction",
    "TransactionResult",
    "Write",
    "commit_batch",
    "read_rows",
]
