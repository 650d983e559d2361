"""When a target that failed is left out, for how long, and how it comes back.

One fault costs a target the pause that a single lost answer deserves; only faults
without a success between them make it longer. After its pause a target gets one request
at a time until one succeeds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# After the first fault, about as long as a reset or a restart of its process lasts; a
# target that is gone costs its later trials seldom.
PAUSES_S = (0.3, 1.0, 2.0, 4.0, 8.0)
# With fewer sound targets than this share the fault is probably this node's own, and
# pauses stay at the first one.
SOUND_SHARE = 0.5
# A fault that nobody has looked into since says nothing any more.
FORGIVEN_AFTER_S = 10.0


@dataclass(slots=True)
class TargetHealth:
    """What a node's own requests tell of one target; times of the loop's clock."""

    consecutive_faults: int = 0
    last_fault_at_s: float = float("-inf")
    ejected_until_s: float = float("-inf")
    reason: str = ""

    def is_healthy(self, now_s: float) -> bool:
        """Tells whether no fault is known since the last success, or for long."""
        return (
            self.consecutive_faults == 0
            or now_s - self.ejected_until_s > FORGIVEN_AFTER_S
        )

    def record_fault(self, reason: str, now_s: float) -> bool:
        """Takes a fault; returns False when it belongs to one already counted."""
        if now_s < self.ejected_until_s:
            return False
        if self.is_healthy(now_s):
            self.consecutive_faults = 0
        pause_s = PAUSES_S[min(self.consecutive_faults, len(PAUSES_S) - 1)]
        self.consecutive_faults += 1
        self.last_fault_at_s = now_s
        self.ejected_until_s = now_s + pause_s
        self.reason = reason
        return True

    def record_success(self) -> None:
        """Takes that a request ended well."""
        self.consecutive_faults = 0
        self.ejected_until_s = float("-inf")

    def is_ejected(self, sound_share: float, now_s: float) -> bool:
        """Tells whether the target gets no request now."""
        if sound_share >= SOUND_SHARE:
            return now_s < self.ejected_until_s
        return now_s < min(self.ejected_until_s, self.last_fault_at_s + PAUSES_S[0])


def compute_healthy_share(targets: Sequence[TargetHealth], now_s: float) -> float:
    """Returns which part of the targets of a service is sound."""
    sound = sum(target.is_healthy(now_s) for target in targets)
    return sound / max(1, len(targets))


__all__ = ["PAUSES_S", "TargetHealth", "compute_healthy_share"]
