"""Faults that can be injected into the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class TableFaults:
    """Faults of the table service.

    If `down` is set, all requests fail; `delay_s` is added to each response time. The
    next `lose_answers` batches that write a key with the prefix `lose_writes_under` are
    committed, but their responses are lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_writes_under: str = ""


@dataclass(slots=True)
class TargetFaults:
    """Faults of an engine, a plain service or a scorer.

    `lose_answers`, `cross_answers`, `swap_fails` and `swap_ignored` are the numbers of
    requests or weight swaps that the fault still affects. A response affected by
    `cross_answers` carries a wrong request id, and a failed swap leaves an engine
    that produces tokens of two versions. A target crashes when a request contains a
    text of `poison`, or when it has sent `die_after_chunks` chunks of a stream unless
    this number is 0. `delay_s` is added to each chunk of a stream and each run.
    `omit_version` omits the version from chunks, and `cache_event_gaps` skips sequence
    numbers of cache events.
    """

    leaving: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    cross_answers: int = 0
    die_after_chunks: int = 0
    poison: tuple[str, ...] = ()
    swap_fails: int = 0
    swap_ignored: int = 0
    omit_version: bool = False
    cache_event_gaps: bool = False


@dataclass(slots=True)
class VmListFaults:
    """Faults of the VM list; a change is listed after `lag_s`."""

    down: bool = False
    lag_s: float = 1.0


@dataclass(frozen=True, slots=True)
class FaultChange:
    """Body of an HTTP request that sets a stand-in's faults, by field name."""

    values: dict[str, bool | int | float | str | list[str]] = field(
        default_factory=dict
    )


def apply_fault_change(faults: object, change: FaultChange) -> None:
    """Set the named fields of `faults`; raise AttributeError for an unknown name."""
    for name, value in change.values.items():
        getattr(faults, name)
        setattr(faults, name, tuple(value) if isinstance(value, list) else value)


__all__ = [
    "FaultChange",
    "TableFaults",
    "TargetFaults",
    "VmListFaults",
    "apply_fault_change",
]
