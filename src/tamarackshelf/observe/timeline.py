"""Ring buffer of events, stamped by a hybrid logical clock."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_EVENTS = 4096

log = logging.getLogger("tamarackshelf")


@dataclass(frozen=True, slots=True)
class Event:
    """Event of a process, ordered by `at_ms` and `counter` of its logical clock.

    `reason` says why the process made the decision that the event records.
    """

    at_ms: int
    counter: int
    process: str
    kind: str
    subject: str
    reason: str = ""
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EventPage:
    """Events in a process's ring buffer; `dropped` counts the overwritten events."""

    process: str
    dropped: int
    events: tuple[Event, ...]


class Timeline:
    """Recorder of the events of one process; keeps the newest `size` events."""

    def __init__(
        self, process: str, wall_ms: Callable[[], int], size: int = MAX_EVENTS
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
        """Add an event to the ring buffer and log it."""
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
        """Advance the clock past a timestamp received from another process."""
        self._advance(max(self._wall_ms(), at_ms))

    def now_ms(self) -> int:
        """Advance the clock and return its time for messages to other processes."""
        self._advance(self._wall_ms())
        return self._at_ms

    def page(self) -> EventPage:
        """Return the events in the ring buffer."""
        dropped = self._recorded - len(self._events)
        return EventPage(self._process, dropped, tuple(self._events))

    def _advance(self, wall_ms: int) -> None:
        if wall_ms > self._at_ms:
            self._at_ms = wall_ms
            self._counter = 0
        else:
            self._counter += 1


def merge_pages(pages: list[EventPage]) -> list[Event]:
    """Merge the events of all processes in the order of their logical clocks."""
    events = [event for page in pages for event in page.events]
    return sorted(events, key=lambda e: (e.at_ms, e.counter, e.process))


__all__ = ["Event", "EventPage", "Timeline", "merge_pages"]
