"""Opaque cursors that name the slots of a step that a trainer has durably received."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from tamarackshelf.errors import BadRequest

CHECKSUM_BYTES = 8


@dataclass(frozen=True, slots=True)
class Cursor:
    """The received slots of one step; bit n of `received` stands for slot n."""

    step: str
    received: int = 0

    def has(self, slot: int) -> bool:
        """Return whether the slot was received."""
        return bool(self.received >> slot & 1)

    def with_slots(self, slots: Iterable[int]) -> Cursor:
        """Return a cursor that also holds these slots."""
        received = self.received
        for slot in slots:
            received |= 1 << slot
        return Cursor(self.step, received)

    @property
    def count(self) -> int:
        """The number of received slots."""
        return self.received.bit_count()


def encode_cursor(cursor: Cursor) -> str:
    """Return the text that a trainer stores and sends with its next pull."""
    size = (cursor.received.bit_length() + 7) // 8
    body = cursor.received.to_bytes(size, "little")
    return base64.urlsafe_b64encode(
        _compute_checksum(cursor.step, body) + body
    ).decode()


def decode_cursor(text: str, step: str, slot_count: int) -> Cursor:
    """Decode a cursor of this step.

    Raise BadRequest when the text is malformed, belongs to another step or names
    slots that the step does not have.
    """
    try:
        data = base64.b64decode(text.encode(), altchars=b"-_", validate=True)
    except (binascii.Error, UnicodeEncodeError) as error:
        raise BadRequest(f"the cursor is not valid: {error}; {_REMEDY}") from error
    checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if checksum != _compute_checksum(step, body):
        raise BadRequest(f"the cursor belongs to another step; {_REMEDY}")
    received = int.from_bytes(body, "little")
    if received.bit_length() > slot_count:
        raise BadRequest(
            f"the cursor names slots that the step does not have; {_REMEDY}"
        )
    return Cursor(step, received)


def _compute_checksum(step: str, body: bytes) -> bytes:
    return xxhash.xxh64_digest(step.encode() + b"\0" + body)


_REMEDY = "send the newest cursor of this step unchanged"

__all__ = ["Cursor", "decode_cursor", "encode_cursor"]
