"""Jobs: the samples of one training step, submitted together and run later."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ScoreCall:
    """The request that scores an item's text."""

    call_id: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class JobItem:
    """One sample to generate.

    `expected_tokens` is the caller's estimate of the number of tokens.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    group: str
    expected_tokens: int
    score_call: ScoreCall | None = None


@dataclass(frozen=True, slots=True)
class Job:
    """All items of a step; no text may come from a version below `min_version`."""

    job_id: str
    host: str
    path: str
    model: str
    step: int
    min_version: int
    group_count: int
    items: tuple[JobItem, ...]
    # Organisation that submitted the job, or "" without organisations.
    organisation: str = ""


class JobState(enum.StrEnum):
    """State of a job: unfinished, all results listed, or ended by its caller."""

    OPEN = "open"
    COMPLETE = "whole"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class JobHead:
    """Owner and state of a job; each change of the owner increments `epoch`.

    `total` is the number of items, and `accepted_store_ms` is the time of the store's
    clock when the job was accepted.
    """

    owner: str
    owner_incarnation: int
    epoch: int
    state: JobState
    total: int
    accepted_store_ms: int
    host: str
    path: str
    model: str
    # Sum over the items of the job, used to divide the engines among models.
    expected_tokens: int = 0
    min_version: int = 0
    # Organisation that submitted the job, or "" without organisations.
    organisation: str = ""


def is_same_claim(head: JobHead, other: JobHead) -> bool:
    """Return whether two heads name the same owner in the same epoch."""
    return (head.owner, head.owner_incarnation, head.epoch) == (
        other.owner,
        other.owner_incarnation,
        other.epoch,
    )


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand of the jobs of one model for engines.

    `expected_tokens` is the sum over the jobs accepted recently, `newest_job_age_s` the
    time since the last of them was accepted, and `needed_version` the oldest weight
    version that all open jobs may use.
    """

    expected_tokens: int = 0
    newest_job_age_s: float = math.inf
    needed_version: int = 0


@dataclass(frozen=True, slots=True)
class ItemResult:
    """Result of an item; `versions` are the weight versions that generated its text."""

    item_id: str
    is_complete: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclass(frozen=True, slots=True)
class TextOrigin:
    """The engine that wrote a text's first event, and the version of its software.

    Only engines of the same service with this software may continue the text; none may
    if it is not certain that the engine had it.
    """

    service: str
    engine: str
    incarnation: int
    software: str
    is_certain: bool = True


@dataclass(frozen=True, slots=True)
class ItemProgress:
    """The part of an item's text that has been generated so far.

    `origin` is None if the text is empty, or if a release that did not record it stored
    the text.
    """

    item_id: str
    pieces: tuple[str, ...] = ()
    last_event_id: int = -1
    versions: tuple[int, ...] = ()
    is_whole: bool = False
    origin: TextOrigin | None = None


__all__ = [
    "ItemProgress",
    "ItemResult",
    "Job",
    "JobHead",
    "JobItem",
    "JobState",
    "ModelDemand",
    "ScoreCall",
    "TextOrigin",
    "is_same_claim",
]
