"""What the owner of a job knows of one item."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tamarackshelf.contracts.targets import ItemEvent
from tamarackshelf.world.job import ItemProgress, ItemResult, JobItem


class ItemStage(enum.Enum):
    """Where an item stands; it only moves on, or back to WAITING."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    DONE = "done"


class EventOutOfOrder(Exception):
    """An event does not go on where the text ends."""


@dataclass(slots=True)
class CurrentRun:
    """Where an item runs and since when; seconds of the loop's clock."""

    engine: str
    service: str
    started_s: float
    # When its last event came.
    last_event_at_s: float | None = None

    def compute_silence_s(self, now_s: float) -> float:
        """Returns for how long nothing came of it."""
        return now_s - (
            self.started_s if self.last_event_at_s is None else self.last_event_at_s
        )


@dataclass(slots=True)
class ItemState:
    """An item, its text so far and how often it failed."""

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

    @property
    def has_text(self) -> bool:
        """Tells whether some text exists."""
        return bool(self.pieces)

    def add(self, event: ItemEvent) -> None:
        """Takes the next event; raises EventOutOfOrder when it is another one."""
        is_first = not self.pieces and self.last_event_id < 0
        if not is_first and event.event_id != self.last_event_id + 1:
            raise EventOutOfOrder(
                f"event {event.event_id} came after event {self.last_event_id}"
            )
        self.pieces.append(event.data)
        self.last_event_id = event.event_id
        self.versions.add(event.version)

    def reset(self) -> None:
        """Forgets the text; the item starts from nothing."""
        self.pieces.clear()
        self.versions.clear()
        self.last_event_id = -1
        self.saved_pieces = 0
        self.is_text_complete = False

    def restore(self, progress: ItemProgress) -> None:
        """Takes over a text that an earlier owner stored."""
        self.pieces = list(progress.pieces)
        self.last_event_id = progress.last_event_id
        self.versions = set(progress.versions)
        self.saved_pieces = len(self.pieces)
        self.is_text_complete = progress.is_whole

    def to_progress(self) -> ItemProgress:
        """Returns the text so far."""
        return ItemProgress(
            self.item.item_id,
            tuple(self.pieces),
            self.last_event_id,
            tuple(sorted(self.versions)),
            self.is_text_complete,
        )

    def to_result(self, score: str) -> ItemResult:
        """Returns the complete result."""
        text = "\n".join(self.pieces)
        versions = tuple(sorted(self.versions))
        return ItemResult(self.item.item_id, True, text, versions, score)


__all__ = ["CurrentRun", "EventOutOfOrder", "ItemStage", "ItemState"]
