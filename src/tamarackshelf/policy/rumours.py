"""Last-writer-wins facts that nodes spread to each other."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

SPREAD_FACTOR = 3
# Field names, lengths and the version of one rumour in MessagePack.
RUMOUR_OVERHEAD_BYTES = 36


@dataclass(frozen=True, slots=True)
class Rumour:
    """A fact about a subject; the higher version replaces the lower."""

    subject: str
    version: int
    value: str = ""


class RumourMap:
    """Holds the newest rumours and which of them are still to be spread."""

    def __init__(self) -> None:
        self._rumours: dict[str, Rumour] = {}
        self._sends_left: dict[str, int] = {}
        self._digest = 0
        self._news: list[Rumour] = []

    @property
    def digest(self) -> int:
        """Returns a number that is equal on nodes that know the same."""
        return self._digest

    @property
    def has_pending(self) -> bool:
        """Tells whether something is still to be spread."""
        return bool(self._sends_left)

    def get(self, subject: str) -> Rumour | None:
        """Returns the newest rumour about the subject."""
        return self._rumours.get(subject)

    def all(self) -> tuple[Rumour, ...]:
        """Returns all rumours."""
        return tuple(self._rumours.values())

    def put(self, rumour: Rumour, nodes: int, spread: bool = True) -> bool:
        """Takes a rumour; returns False when it is not newer."""
        known = self._rumours.get(rumour.subject)
        if known is not None and known.version >= rumour.version:
            return False
        if known is not None:
            self._digest ^= _hash(known)
        self._digest ^= _hash(rumour)
        self._rumours[rumour.subject] = rumour
        self._news.append(rumour)
        if spread:
            self._sends_left[rumour.subject] = count_sends(nodes)
        else:
            self._sends_left.pop(rumour.subject, None)
        return True

    def drain_new(self) -> list[Rumour]:
        """Returns the rumours taken since the last call."""
        news, self._news = self._news, []
        return news

    def pick(self, max_bytes: int) -> tuple[Rumour, ...]:
        """Returns the least spread rumours that fit and counts the send."""
        picked = []
        for subject in sorted(self._sends_left, key=self._least_sent):
            rumour = self._rumours[subject]
            size = len(subject) + len(rumour.value) + RUMOUR_OVERHEAD_BYTES
            if size > max_bytes:
                continue
            max_bytes -= size
            picked.append(rumour)
            self._sends_left[subject] -= 1
            if self._sends_left[subject] == 0:
                del self._sends_left[subject]
        return tuple(picked)

    def spread_again(self, subjects: Iterable[str], nodes: int) -> None:
        """Spreads known rumours once more."""
        for subject in subjects:
            if subject in self._rumours:
                self._sends_left[subject] = count_sends(nodes)

    def _least_sent(self, subject: str) -> tuple[int, str]:
        return -self._sends_left[subject], subject


def count_sends(nodes: int) -> int:
    """Returns how often each node sends a rumour so that all hear of it."""
    return SPREAD_FACTOR * max(1, math.ceil(math.log2(nodes + 1)))


def _hash(rumour: Rumour) -> int:
    return xxhash.xxh64_intdigest(f"{rumour.subject}\0{rumour.version}".encode())


__all__ = ["Rumour", "RumourMap", "count_sends"]
