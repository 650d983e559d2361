"""Last-writer-wins facts that nodes spread to each other by gossip."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash

from tamarackshelf.decoding import Int64

SPREAD_FACTOR = 3
# Bytes of the field names, lengths and version of one rumour in MessagePack.
RUMOUR_OVERHEAD_BYTES = 36


@dataclass(frozen=True, slots=True)
class Rumour:
    """A fact about a subject; a higher version replaces a lower one."""

    subject: str
    version: Int64
    value: str = ""


class RumourMap:
    """The newest rumour of each subject, and how often each must still be sent."""

    def __init__(self) -> None:
        self._rumours: dict[str, Rumour] = {}
        self._sends_left: dict[str, int] = {}
        self._digest = 0
        self._new_rumours: list[Rumour] = []

    @property
    def digest(self) -> int:
        """A hash that is equal on nodes that know the same rumours."""
        return self._digest

    @property
    def has_pending(self) -> bool:
        """Whether any rumour must still be sent."""
        return bool(self._sends_left)

    def get(self, subject: str) -> Rumour | None:
        """Return the newest rumour about the subject, or None."""
        return self._rumours.get(subject)

    def all(self) -> tuple[Rumour, ...]:
        """Return the newest rumour of every subject."""
        return tuple(self._rumours.values())

    def put(self, rumour: Rumour, nodes: int, spread: bool = True) -> bool:
        """Store a rumour; return False when it is not newer than the known one.

        With `spread`, it is queued for sending to the other nodes.
        """
        known = self._rumours.get(rumour.subject)
        if known is not None and known.version >= rumour.version:
            return False
        if known is not None:
            self._digest ^= _hash(known)
        self._digest ^= _hash(rumour)
        self._rumours[rumour.subject] = rumour
        self._new_rumours.append(rumour)
        if spread:
            self._sends_left[rumour.subject] = count_sends(nodes)
        else:
            self._sends_left.pop(rumour.subject, None)
        return True

    def discard(self, is_obsolete: Callable[[str], bool]) -> None:
        """Remove the rumours whose subject is obsolete."""
        for subject in [name for name in self._rumours if is_obsolete(name)]:
            self._digest ^= _hash(self._rumours.pop(subject))
            self._sends_left.pop(subject, None)

    def drain_new(self) -> list[Rumour]:
        """Return the rumours stored since the last call."""
        new_rumours, self._new_rumours = self._new_rumours, []
        return new_rumours

    def pick(self, max_bytes: int) -> tuple[Rumour, ...]:
        """Return the least often sent rumours that fit, and count them as sent once."""
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
        """Queue the known rumours about these subjects for sending again."""
        for subject in subjects:
            if subject in self._rumours:
                self._sends_left[subject] = count_sends(nodes)

    def _least_sent(self, subject: str) -> tuple[int, str]:
        return -self._sends_left[subject], subject


def count_sends(nodes: int) -> int:
    """Return how often each node must send a rumour so that it reaches all nodes."""
    return SPREAD_FACTOR * max(1, math.ceil(math.log2(nodes + 1)))


def _hash(rumour: Rumour) -> int:
    return xxhash.xxh64_intdigest(f"{rumour.subject}\0{rumour.version}".encode())


__all__ = ["Rumour", "RumourMap", "count_sends"]
