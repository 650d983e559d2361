"""A bounded ring of typed events with a hybrid logical clock."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

RING_SIZE = 4096

log = logging.getLogger("tamarackshelf")


@dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened; `reason` tells why it was decided so."""

    at_ms: int
    counter: int
    process: str
    kind: str
    subject: str
    reason: str = ""
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EventPage:
    """What a process still holds of its events; `dropped` were overwritten."""

    process: str
    dropped: int
    events: tuple[Event, ...]


class Timeline:
    """Records the events of one process."""

    def __init__(
        self, process: str, wall_ms: Callable[[], int], size: int = RING_SIZE
    ) -> None:
        self._process = process
        self._wall_ms = wall_ms
        self._events: deque[Event] = deque(maxlen=size)
        self._at_ms = 0
        self._counter = 0
        self._recorded = 0

    def record(
        self, kind: str, subject: str, reason: str = "", **fields: object
    ) -> Event:
        """Adds an event and writes its log line."""
        self._advance(self._wall_ms())
        texts = {name: str(value) for name, value in fields.items()}
        event = Event(
            self._at_ms, self._counter, self._process, kind, subject, reason, texts
        )
        self._events.append(event)
        self._recorded += 1
        extra = {"process": self._process, "subject": subject, "reason": reason}
        log.info(kind, extra={"event": {**extra, **texts}})
        return event

    def update_clock(self, at_ms: int) -> None:
        """Moves the clock past a time stamp seen from another process."""
        self._advance(max(self._wall_ms(), at_ms))

    def now_ms(self) -> int:
        """Returns the clock's time for messages to other processes."""
        self._advance(self._wall_ms())
        return self._at_ms

    def page(self) -> EventPage:
        """Returns the events that are still held."""
        dropped = self._recorded - len(self._events)
        return EventPage(self._process, dropped, tuple(self._events))

    def _advance(self, wall_ms: int) -> None:
        if wall_ms > self._at_ms:
            self._at_ms = wall_ms
            self._counter = 0
        else:
            self._counter += 1


def merge_pages(pages: list[EventPage]) -> list[Event]:
    """Returns the events of all processes in one order."""
    events = [event for page in pages for event in page.events]
    return sorted(events, key=lambda e: (e.at_ms, e.counter, e.process))


__all__ = ["Event", "EventPage", "Timeline", "merge_pages"]
