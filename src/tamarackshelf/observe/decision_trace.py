"""Recording of decisions with their inputs and outcomes, for replay."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec


@dataclass(frozen=True, slots=True)
class TraceLine:
    """Recorded decision; `given` is its input and `outcome` its result, as JSON."""

    process: str
    at_s: float
    kind: str
    given: msgspec.Raw
    outcome: msgspec.Raw


Recorder = Callable[[str, float, object, object], None]


def record_nothing(kind: str, at_s: float, given: object, outcome: object) -> None:
    """Discard the decision; the recorder used when no trace is written."""
    del kind, at_s, given, outcome


def build_recorder(process: str, write: Callable[[bytes], object]) -> Recorder:
    """Return a recorder that passes each decision to `write` as one JSON line."""

    def record(kind: str, at_s: float, given: object, outcome: object) -> None:
        line = {
            "process": process,
            "at_s": round(at_s, 6),
            "kind": kind,
            "given": given,
            "outcome": outcome,
        }
        write(msgspec.json.encode(line) + b"\n")

    return record


def read_trace(data: bytes) -> list[TraceLine]:
    """Decode the lines of a trace."""
    decoder: Any = msgspec.json.Decoder(TraceLine)
    return [decoder.decode(line) for line in data.splitlines() if line]


__all__ = ["Recorder", "TraceLine", "build_recorder", "read_trace", "record_nothing"]
