"""Opaque cursors: which slots of a step a trainer has durably received."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from tamarackshelf.errors import BadRequest

CHECK_BYTES = 8


@dataclass(frozen=True, slots=True)
class Cursor:
    """The received slots of one step as a bit mask."""

    step: str
    received: int = 0

    def has(self, slot: int) -> bool:
        """Tells whether the slot was received."""
        return bool(self.received >> slot & 1)

    def with_slots(self, slots: Iterable[int]) -> Cursor:
        """Returns a cursor that holds these slots too."""
        received = self.received
        for slot in slots:
            received |= 1 << slot
        return Cursor(self.step, received)

    @property
    def count(self) -> int:
        """Returns how many slots were received."""
        return self.received.bit_count()


def encode_cursor(cursor: Cursor) -> str:
    """Returns the text that a trainer keeps and sends back."""
    size = (cursor.received.bit_length() + 7) // 8
    body = cursor.received.to_bytes(size, "little")
    return base64.urlsafe_b64encode(_check(cursor.step, body) + body).decode()


def decode_cursor(text: str, step: str, slot_count: int) -> Cursor:
    """Decodes a cursor of this step; raises BadRequest for any other text."""
    try:
        data = base64.b64decode(text.encode(), altchars=b"-_", validate=True)
    except (binascii.Error, UnicodeEncodeError) as error:
        raise BadRequest(f"the cursor is not valid: {error}; {_REMEDY}") from error
    check, body = data[:CHECK_BYTES], data[CHECK_BYTES:]
    if check != _check(step, body):
        raise BadRequest(f"the cursor belongs to another step; {_REMEDY}")
    received = int.from_bytes(body, "little")
    if received.bit_length() > slot_count:
        raise BadRequest(f"the cursor names slots the step lacks; {_REMEDY}")
    return Cursor(step, received)


def _check(step: str, body: bytes) -> bytes:
    return xxhash.xxh64_digest(step.encode() + b"\0" + body)


_REMEDY = "send the newest cursor of this step as it was given"

__all__ = ["Cursor", "decode_cursor", "encode_cursor"]
