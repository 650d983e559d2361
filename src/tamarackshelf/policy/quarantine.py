"""Quarantine of requests that crash their targets.

A request that was in flight when its target crashed is suspect. It is then run isolated
from other suspects, and is quarantined when its target crashes again.
"""

from __future__ import annotations

import enum
import hashlib
import sys
from collections import OrderedDict
from dataclasses import dataclass, replace

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
class QuarantineRules:
    """Numbers of crashes after which a request is quarantined.

    It is quarantined after `crashes`, of which it was isolated at `isolated_crashes`,
    or after `max_crashes` of any kind. Once it was isolated at one, it is not run again
    for `pause_s` after each crash.
    """

    crashes: int = CRASHES_TO_QUARANTINE
    isolated_crashes: int = 1
    max_crashes: int = sys.maxsize
    pause_s: float = 0.0
    max_fingerprints: int = MAX_FINGERPRINTS


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of a target while a request was in flight there.

    `isolated` is true when no other suspect was on the target. `seen_by` names the
    process that noticed the crash, at the Unix time `at_ms`, if that is recorded.
    """

    fingerprint: str
    target: str
    incarnation: int
    isolated: bool = False
    seen_by: str = ""
    at_ms: int = 0


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
    crash: Crash


class CrashHistory:
    """Crashes of targets by the fingerprint of each request that was in flight.

    A target's crash counts once for a request, however many processes report it.
    """

    def __init__(self, rules: QuarantineRules = QuarantineRules()) -> None:
        self._rules = rules
        self._crashes: OrderedDict[str, dict[tuple[str, int], _CrashRecord]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of fingerprints with crashes."""
        return len(self._crashes)

    def record_crash(self, crash: Crash, now_s: float) -> bool:
        """Record a crash; return False when it was already known.

        The oldest fingerprints are dropped beyond the maximum number.
        """
        records = self._crashes.setdefault(crash.fingerprint, {})
        self._crashes.move_to_end(crash.fingerprint)
        while len(self._crashes) > self._rules.max_fingerprints:
            self._crashes.popitem(last=False)
        incarnation_key = (crash.target, crash.incarnation)
        known = records.get(incarnation_key)
        if known is not None and known.crash.isolated:
            crash = replace(crash, isolated=True)
        records[incarnation_key] = _CrashRecord(now_s, crash)
        return known is None

    def classify(self, fingerprint: str, now_s: float) -> QuarantineStatus:
        """Return the quarantine status of the request.

        Quarantine needs a crash at which the request was the only suspect, since
        another request on the target may have caused the other crashes.
        """
        if self.find_quarantine_end_s(fingerprint, now_s) > now_s:
            return QuarantineStatus.QUARANTINED
        is_suspect = bool(self._list_recent(fingerprint, now_s))
        return QuarantineStatus.SUSPECT if is_suspect else QuarantineStatus.CLEAR

    def find_quarantine_end_s(self, fingerprint: str, now_s: float) -> float:
        """Return until when the request is quarantined, or -inf if it is not."""
        recent = self._list_recent(fingerprint, now_s)
        isolated_count = sum(record.crash.isolated for record in recent)
        last_s = max((record.at_s for record in recent), default=float("-inf"))
        rules = self._rules
        is_confirmed = (
            len(recent) >= rules.crashes and isolated_count >= rules.isolated_crashes
        )
        if is_confirmed or len(recent) >= rules.max_crashes:
            return last_s + CRASH_RETENTION_S
        return last_s + rules.pause_s if isolated_count else float("-inf")

    def list_crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes that are recorded for a request."""
        return [record.crash for record in self._crashes.get(fingerprint, {}).values()]

    def list_all(self) -> list[Crash]:
        """Return the crashes of all requests."""
        return [crash for name in self._crashes for crash in self.list_crashes(name)]

    def clear(self, fingerprint: str) -> None:
        """Remove the crashes of a request that was answered completely."""
        self._crashes.pop(fingerprint, None)

    def forget(self, crash: Crash) -> None:
        """Remove one crash."""
        records = self._crashes.get(crash.fingerprint, {})
        records.pop((crash.target, crash.incarnation), None)
        if not records:
            self._crashes.pop(crash.fingerprint, None)

    def _list_recent(self, fingerprint: str, now_s: float) -> list[_CrashRecord]:
        """Return all crashes of a request, or none if the last one is too old."""
        records = list(self._crashes.get(fingerprint, {}).values())
        last_s = max((record.at_s for record in records), default=float("-inf"))
        return records if now_s - last_s < CRASH_RETENTION_S else []


class IsolationTable:
    """Targets that are each granted to one suspect at a time."""

    def __init__(self) -> None:
        self._grants: dict[str, tuple[str, float]] = {}

    def grant(
        self,
        fingerprint: str,
        targets: tuple[str, ...],
        now_s: float,
        timeout_s: float = ISOLATION_TIMEOUT_S,
    ) -> str | None:
        """Grant a target that no other suspect holds, and return it or None.

        The grant expires after `timeout_s`, in case it is never released.
        """
        for target in targets:
            holder, until_s = self._grants.get(target, ("", 0.0))
            if until_s <= now_s or holder == fingerprint:
                self._grants[target] = (fingerprint, now_s + timeout_s)
                return target
        return None

    def release(self, fingerprint: str, target: str) -> None:
        """Release the target if this request holds it."""
        if self._grants.get(target, ("", 0.0))[0] == fingerprint:
            del self._grants[target]


__all__ = [
    "CRASH_RETENTION_S",
    "Crash",
    "CrashHistory",
    "IsolationTable",
    "QuarantineRules",
    "QuarantineStatus",
    "fingerprint_call",
    "fingerprint_request",
]
