"""State of one item at the node that owns its job."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tamarackshelf.contracts.targets import ItemEvent
from tamarackshelf.node.targets import TargetState
from tamarackshelf.world import Target
from tamarackshelf.world.job import ItemProgress, ItemResult, JobItem, TextOrigin


class ItemStage(enum.Enum):
    """Stage of an item, which only advances or returns to WAITING."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    DONE = "done"


class StopCause(enum.StrEnum):
    """Why this node stopped a run; each is a metric `item_runs_stopped_NAME`."""

    SLOW = "slow"
    QUEUED = "queued"
    SILENT = "silent"
    PAUSED = "paused"
    HANDED_OVER = "handed_over"
    JOB_ENDED = "job_ended"
    SHUTDOWN = "shutdown"
    VERSION = "version"
    OTHER = "other"


class EventOutOfOrder(Exception):
    """An event that does not follow the last event of its item's text."""


@dataclass(slots=True)
class CurrentRun:
    """The place of an item at an engine, and times on the event loop's clock."""

    target: TargetState
    started_s: float
    last_event_at_s: float | None = None
    stop_cause: StopCause = StopCause.OTHER

    @property
    def engine(self) -> str:
        """The name of the engine."""
        return self.target.target.name

    @property
    def service(self) -> str:
        """The service of the engine."""
        return self.target.target.service

    def discount_sleep(self, slept_s: float, now_s: float) -> None:
        """Shift the times by a time in which this process did not run."""
        self.started_s = min(now_s, self.started_s + slept_s)
        if self.last_event_at_s is not None:
            self.last_event_at_s = min(now_s, self.last_event_at_s + slept_s)

    def compute_silence_s(self, now_s: float) -> float:
        """Return the seconds since the last event, or since the start if none came."""
        return now_s - (
            self.started_s if self.last_event_at_s is None else self.last_event_at_s
        )


@dataclass(slots=True)
class ItemState:
    """An item, its text so far and the number of its failures.

    The text consists of pieces, one of each event; the store holds the first
    `saved_pieces` of them. The item does not run before `not_before_s` on the event
    loop's clock. Until `continue_by_s`, its text waits for an engine to continue it.
    """

    item: JobItem
    stage: ItemStage = ItemStage.WAITING
    pieces: list[str] = field(default_factory=list)
    last_event_id: int = -1
    versions: set[int] = field(default_factory=set)
    failures: int = 0
    not_before_s: float = 0.0
    saved_pieces: int = 0
    is_text_complete: bool = False
    run: CurrentRun | None = None
    origin: TextOrigin | None = None
    continue_by_s: float | None = None

    @property
    def has_text(self) -> bool:
        """Whether the item has any text."""
        return bool(self.pieces)

    @property
    def software(self) -> str | None:
        """The software version of engines that may continue the text.

        It is None if there is no text.
        """
        return None if self.origin is None else self.origin.software

    def add(self, event: ItemEvent, engine: Target, *, is_certain: bool = True) -> None:
        """Append the next event, which `engine` wrote.

        `is_certain` tells whether the engine is surely the listed one. Raise
        EventOutOfOrder when the event is not the next one.
        """
        is_first = not self.pieces and self.last_event_id < 0
        if not is_first and event.event_id != self.last_event_id + 1:
            raise EventOutOfOrder(
                f"event {event.event_id} does not follow event {self.last_event_id}"
            )
        if not self.pieces:
            self.origin = TextOrigin(
                service=engine.service,
                engine=engine.name,
                incarnation=engine.incarnation,
                software=engine.software,
                is_certain=is_certain,
            )
        self.continue_by_s = None
        self.pieces.append(event.data)
        self.last_event_id = event.event_id
        self.versions.add(event.version)

    def reset(self) -> None:
        """Discard the text, so that the item's next run starts from the beginning."""
        self.pieces.clear()
        self.versions.clear()
        self.last_event_id = -1
        self.saved_pieces = 0
        self.is_text_complete = False
        self.origin = self.continue_by_s = None

    def restore(self, progress: ItemProgress) -> None:
        """Restore a text that an earlier owner stored or handed over.

        Ignore an unfinished one without an origin, as no engine may continue it.
        """
        if progress.origin is None and not progress.is_whole:
            return
        self.origin = progress.origin
        self.pieces = list(progress.pieces)
        self.last_event_id = progress.last_event_id
        self.versions = set(progress.versions)
        self.saved_pieces = len(self.pieces)
        self.is_text_complete = progress.is_whole

    def to_progress(self) -> ItemProgress:
        """Return the text so far."""
        return ItemProgress(
            self.item.item_id,
            tuple(self.pieces),
            self.last_event_id,
            tuple(sorted(self.versions)),
            self.is_text_complete,
            self.origin,
        )

    def to_result(self, score: str) -> ItemResult:
        """Return the result of a complete text."""
        text = "\n".join(self.pieces)
        versions = tuple(sorted(self.versions))
        return ItemResult(self.item.item_id, True, text, versions, score)


__all__ = ["CurrentRun", "EventOutOfOrder", "ItemStage", "ItemState", "StopCause"]
