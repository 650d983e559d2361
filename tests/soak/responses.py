"""Responses of the simulated workers; each one identifies its request."""

from __future__ import annotations

import msgspec
import xxhash

EVENT_COUNT_RANGE = (4, 24)


def count_events(item_id: str) -> int:
    """Return the number of events in the complete text of an item."""
    minimum, maximum = EVENT_COUNT_RANGE
    return minimum + xxhash.xxh32_intdigest(item_id.encode()) % (maximum - minimum)


def build_event(item_id: str, number: int, version: int, software: str = "a") -> str:
    """Return the data field of one event of an item's text.

    `version` is that of the model, `software` that of the worker's software.
    """
    return f"{item_id}/{number}/{software}/{version}"


def is_complete_text(item_id: str, text: str) -> bool:
    """Return whether the text has each event of the item once and in order."""
    lines = text.split("\n")
    return len(lines) == count_events(item_id) and all(
        line.startswith(f"{item_id}/{n}/") for n, line in enumerate(lines)
    )


def parse_versions(text: str) -> list[int]:
    """Return the model versions that produced the events of a text, in order."""
    return sorted({int(line.rpartition("/")[2]) for line in text.split("\n")})


def parse_software(text: str) -> list[str]:
    """Return the software versions of the workers that produced a text's events."""
    lines = [line for line in text.split("\n") if line.count("/") >= 3]
    return sorted({line.split("/")[-2] for line in lines})


def build_stamp(request_id: str, body: bytes) -> str:
    """Return the stamp of a response, which identifies its request."""
    return f"{xxhash.xxh64_hexdigest(request_id.encode() + body)}"


def build_plain_body(request_id: str, body: bytes) -> bytes:
    """Return the body of a plain response."""
    return msgspec.json.encode({"id": request_id, "size": len(body)}) * 12


__all__ = [
    "build_event",
    "build_plain_body",
    "build_stamp",
    "count_events",
    "is_complete_text",
    "parse_software",
    "parse_versions",
]
