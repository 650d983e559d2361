"""Claim rows, by which a keyed non-idempotent request runs at most once."""

from __future__ import annotations

import enum
import uuid
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Result, Success

from tamarackshelf.contracts import ABSENT_REVISION, Condition, Row, Transaction, Write
from tamarackshelf.state.table_client import (
    Conflict,
    Priority,
    TableClient,
)


class ClaimState(enum.StrEnum):
    """State of a claimed request.

    A CLAIMED request may be running. It did not run if it is RELEASED, has an answer if
    it is ANSWERED, and may or may not have run if it is UNKNOWN.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claim:
    """Row of one idempotency key; `answer` is returned to resent requests.

    The nonce tells the claims of two attempts apart.
    """

    key: str
    nonce: str
    state: ClaimState
    body_digest: str
    gateway: str
    target: str
    answer: str = ""


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """Claim that this gateway holds, with the revision of the row that it wrote."""

    claim: Claim
    revision: int


def build_claim(key: str, body_digest: str, gateway: str, target: str) -> Claim:
    """Return a new claim with a random nonce; nothing is written."""
    nonce = uuid.uuid4().hex
    return Claim(key, nonce, ClaimState.CLAIMED, body_digest, gateway, target)


async def acquire_claim(
    table: TableClient, claim: Claim, timeout_s: float
) -> Result[HeldClaim, Claim]:
    """Insert the claim, or replace a released claim of a request with the same body.

    Return the stored claim as the failure if the key has any other claim. Raise
    AmbiguousWrite or StoreUnavailable if the table service does not respond.
    """
    revision = ABSENT_REVISION
    while True:
        result = await _write(table, claim, revision, timeout_s)
        if isinstance(result, Success):
            return Success(HeldClaim(claim, revision + 1))
        row = result.failure().rows[0]
        other = _decode(row) if row.value else None
        if other is None:
            revision = ABSENT_REVISION
        elif other.nonce == claim.nonce:
            return Success(HeldClaim(claim, row.revision))
        elif _is_replaceable(other, claim):
            revision = row.revision
        else:
            return Failure(other)


async def change_claim_target(
    table: TableClient, held: HeldClaim, target: str, timeout_s: float
) -> Result[HeldClaim, Claim]:
    """Change the target of a claim whose request was not sent yet.

    Return the stored claim as the failure if its row was changed by someone else.
    """
    return await _update(table, held, replace(held.claim, target=target), timeout_s)


async def store_claim_outcome(
    table: TableClient,
    held: HeldClaim,
    state: ClaimState,
    timeout_s: float,
    answer: str = "",
) -> Result[HeldClaim, Claim]:
    """Store the outcome of a claimed request.

    Return the stored claim as the failure if its row was changed by someone else.
    """
    finished = replace(held.claim, state=state, answer=answer)
    return await _update(table, held, finished, timeout_s)


async def read_claim(table: TableClient, key: str, timeout_s: float) -> Claim | None:
    """Return the claim of a key, or None if there is none."""
    row = (await table.read(_to_row_key(key), timeout_s=timeout_s)).get(
        _to_row_key(key)
    )
    return None if row is None else _decode(row)


async def _update(
    table: TableClient, held: HeldClaim, changed: Claim, timeout_s: float
) -> Result[HeldClaim, Claim]:
    result = await _write(table, changed, held.revision, timeout_s)
    if isinstance(result, Success):
        return Success(HeldClaim(changed, held.revision + 1))
    row = result.failure().rows[0]
    return Failure(_decode(row) if row.value else held.claim)


async def _write(
    table: TableClient, claim: Claim, revision: int, timeout_s: float
) -> Result[object, Conflict]:
    key = _to_row_key(claim.key)
    value = msgspec.json.encode(claim).decode()
    transaction = Transaction((Condition(key, revision),), (Write(key, value),))

    def is_own_row(row: Row) -> bool:
        return row.value == value

    return await table.commit(transaction, Priority.CLAIM, timeout_s, is_own_row)


def _is_replaceable(other: Claim, claim: Claim) -> bool:
    is_same_body = other.body_digest == claim.body_digest
    return other.state is ClaimState.RELEASED and is_same_body


def _decode(row: Row) -> Claim:
    return msgspec.json.decode(row.value, type=Claim)


def _to_row_key(key: str) -> str:
    return f"claims/{key}"


__all__ = [
    "Claim",
    "ClaimState",
    "HeldClaim",
    "acquire_claim",
    "build_claim",
    "change_claim_target",
    "read_claim",
    "store_claim_outcome",
]
