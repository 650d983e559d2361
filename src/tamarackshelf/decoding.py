"""Decoding of bytes from other processes into checked values, or one typed error."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

# Whole numbers that every encoder here can write again; JSON has larger ones.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# Reasons go into logs; the rest of a longer one is cut off.
MAX_REASON_CHARACTERS = 200
# Whole numbers with more digits may not fit into 63 bits.
MAX_DIGITS = 18

T = TypeVar("T")


class InvalidInput(ValueError):
    """The bytes are not a usable value of the expected type; they are left out.

    The message names the field and what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason[:MAX_REASON_CHARACTERS])


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON; raise InvalidInput if it is not a value of this type."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (ValueError, RecursionError) as error:
        raise InvalidInput(str(error)) from error


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack; raise InvalidInput if it is not a value of this type."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (ValueError, RecursionError) as error:
        raise InvalidInput(str(error)) from error


def parse_number(text: str) -> int:
    """Parse a whole number of up to 63 bits; raise InvalidInput if it is none."""
    if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
        return int(text)
    raise InvalidInput(f"{text!r} is not a whole number")


__all__ = ["Int64", "InvalidInput", "decode_json", "decode_msgpack", "parse_number"]
