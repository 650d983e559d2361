"""Quarantine of requests that crash their targets.

A request that was in flight when its target crashed is suspect. It is then run isolated
from other suspects, and is quarantined when its target crashes again.
"""

from __future__ import annotations

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass

CRASHES_TO_QUARANTINE = 2
CRASH_RETENTION_S = 3600.0
MAX_FINGERPRINTS = 8192
ISOLATION_TIMEOUT_S = 30.0


class QuarantineStatus(enum.Enum):
    """Status of a request: a suspect runs isolated, a quarantined one does not run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of a target while a request was in flight there.

    `isolated` is true when no other suspect was on the target.
    """

    fingerprint: str
    target: str
    incarnation: int
    isolated: bool = False


def fingerprint_request(organisation: str, service: str, body: bytes) -> str:
    """Return a fingerprint by which a repeated request is recognised."""
    return f"{organisation}/{service}/{_compute_digest(body)}"


def fingerprint_call(
    caller: str, method: str, host: str, path: str, body: bytes
) -> str:
    """Return the fingerprint of a call that is forwarded unchanged, without its id.

    `path` includes the query.
    """
    head = "\0".join((caller, method, host, path))
    return _compute_digest(head.encode("utf-8", "surrogateescape") + b"\0" + body)


def _compute_digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=12, person=b"request").hexdigest()


@dataclass(frozen=True, slots=True)
class _CrashRecord:
    at_s: float
    isolated: bool


class CrashHistory:
    """Crashes of targets by the fingerprint of each request that was in flight."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, dict[tuple[str, int], _CrashRecord]] = (
            OrderedDict()
        )

    def record_crash(self, crash: Crash, now_s: float) -> bool:
        """Record a crash; return False when it was already known.

        The oldest fingerprints are dropped beyond the maximum number.
        """
        records = self._crashes.setdefault(crash.fingerprint, {})
        self._crashes.move_to_end(crash.fingerprint)
        while len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
        incarnation_key = (crash.target, crash.incarnation)
        known = records.get(incarnation_key)
        isolated = crash.isolated or (known is not None and known.isolated)
        records[incarnation_key] = _CrashRecord(now_s, isolated)
        return known is None

    def classify(self, fingerprint: str, now_s: float) -> QuarantineStatus:
        """Return the quarantine status of the request.

        Quarantine needs a crash at which the request was the only suspect, since
        another request on the target may have caused the other crashes.
        """
        records = self._crashes.get(fingerprint, {}).values()
        recent = [crash for crash in records if now_s - crash.at_s < CRASH_RETENTION_S]
        was_isolated = any(crash.isolated for crash in recent)
        if was_isolated and len(recent) >= CRASHES_TO_QUARANTINE:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT if recent else QuarantineStatus.CLEAR

    def clear(self, fingerprint: str) -> None:
        """Remove the crashes of a request that was answered completely."""
        self._crashes.pop(fingerprint, None)


class IsolationTable:
    """Targets that are each granted to one suspect at a time."""

    def __init__(self) -> None:
        self._grants: dict[str, tuple[str, float]] = {}

    def grant(
        self, fingerprint: str, targets: tuple[str, ...], now_s: float
    ) -> str | None:
        """Grant a target that no other suspect holds, and return it or None.

        The grant expires after a timeout, in case it is never released.
        """
        for target in targets:
            holder, until_s = self._grants.get(target, ("", 0.0))
            if until_s <= now_s or holder == fingerprint:
                self._grants[target] = (fingerprint, now_s + ISOLATION_TIMEOUT_S)
                return target
        return None

    def release(self, fingerprint: str, target: str) -> None:
        """Release the target if this request holds it."""
        if self._grants.get(target, ("", 0.0))[0] == fingerprint:
            del self._grants[target]


__all__ = [
    "Crash",
    "CrashHistory",
    "IsolationTable",
    "QuarantineStatus",
    "fingerprint_call",
    "fingerprint_request",
]
