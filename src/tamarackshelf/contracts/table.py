"""Contract of the platform's transactional table service."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.contracts.calls import call_json
from tamarackshelf.net import HttpClient
from tamarackshelf.world import Address

ABSENT_REVISION = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A stored row; `revision` rises by one at each write and starts at one."""

    key: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Holds when the row has this revision; ABSENT means that there is none."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets a row's value, or deletes it when the value is None."""

    key: str
    value: str | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """All writes happen, or none does when a condition fails."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Whether it was committed; `conflicts` holds the rows that differed."""

    committed: bool
    conflicts: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class Batch:
    """Independent transactions sent in one request."""

    transactions: tuple[Transaction, ...]


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Asks for rows by key, or for all rows whose key has the prefix."""

    keys: tuple[str, ...] = ()
    prefix: str | None = None


async def commit_batch(
    http: HttpClient, address: Address, batch: Batch, timeout_s: float
) -> tuple[TransactionResult, ...]:
    """Commits each transaction on its own; results are in the same order."""
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
    """Returns the rows that exist."""
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
