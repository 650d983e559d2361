"""Requests that were in flight when their target crashed."""

from __future__ import annotations

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass

CRASHES_TO_QUARANTINE = 2
MEMORY_S = 3600.0
MAX_FINGERPRINTS = 8192
ISOLATION_S = 30.0


class QuarantineStatus(enum.Enum):
    """How a request may be run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of a target that a request was in flight on.

    `isolated` tells that no other suspect was on the target.
    """

    fingerprint: str
    target: str
    incarnation: int
    isolated: bool = False


def fingerprint_request(organisation: str, service: str, body: bytes) -> str:
    """Returns the name under which the same request is recognised."""
    digest = hashlib.blake2b(body, digest_size=12, person=b"request").hexdigest()
    return f"{organisation}/{service}/{digest}"


@dataclass(frozen=True, slots=True)
class _Seen:
    at_s: float
    isolated: bool


class CrashHistory:
    """Remembers which requests were in flight at which crashes."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, dict[tuple[str, int], _Seen]] = OrderedDict()

    def record_crash(self, crash: Crash, now_s: float) -> bool:
        """Adds a crash; returns False when it was known."""
        seen = self._crashes.setdefault(crash.fingerprint, {})
        self._crashes.move_to_end(crash.fingerprint)
        while len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
        where = (crash.target, crash.incarnation)
        known = seen.get(where)
        isolated = crash.isolated or (known is not None and known.isolated)
        seen[where] = _Seen(now_s, isolated)
        return known is None

    def classify(self, fingerprint: str, now_s: float) -> QuarantineStatus:
        """Returns how the request may be run.

        Only a crash at which it was the one suspect counts against it; others
        may have been a neighbour's doing.
        """
        seen = self._crashes.get(fingerprint, {}).values()
        recent = [crash for crash in seen if now_s - crash.at_s < MEMORY_S]
        was_alone = any(crash.isolated for crash in recent)
        if was_alone and len(recent) >= CRASHES_TO_QUARANTINE:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT if recent else QuarantineStatus.CLEAR

    def clear(self, fingerprint: str) -> None:
        """Forgets a request that was answered whole."""
        self._crashes.pop(fingerprint, None)


class IsolationTable:
    """Grants each target to one suspect at a time."""

    def __init__(self) -> None:
        self._held: dict[str, tuple[str, float]] = {}

    def grant(
        self, fingerprint: str, targets: tuple[str, ...], now_s: float
    ) -> str | None:
        """Returns a target that no other suspect is on, or None."""
        for target in targets:
            holder, until_s = self._held.get(target, ("", 0.0))
            if until_s <= now_s or holder == fingerprint:
                self._held[target] = (fingerprint, now_s + ISOLATION_S)
                return target
        return None

    def release(self, fingerprint: str, target: str) -> None:
        """Gives the target back."""
        if self._held.get(target, ("", 0.0))[0] == fingerprint:
            del self._held[target]


__all__ = [
    "Crash",
    "IsolationTable",
    "CrashHistory",
    "QuarantineStatus",
    "fingerprint_request",
]
