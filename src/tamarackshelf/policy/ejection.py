"""Ejection of failing targets and their return.

The first fault ejects a target for a short time, since it may be a single lost answer;
only further faults without a success between them lengthen the ejection. After it, the
target gets one request at a time until one succeeds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# Ejection time after the first, second, ... consecutive fault. The first lasts about as
# long as a connection reset or a restart of the target's process; the last keeps trial
# requests to a target that is gone rare.
EJECTION_TIMES_S = (0.3, 1.0, 2.0, 4.0, 8.0)
# When a smaller share of the targets is healthy, the fault is probably this node's own,
# and each ejection ends after the first ejection time.
MIN_HEALTHY_SHARE = 0.5
# A fault expires this long after its ejection ended: without a request since then, it
# says nothing about the target's present state.
FAULT_EXPIRY_S = 10.0


@dataclass(slots=True)
class TargetHealth:
    """Health of one target as seen by this node's own requests.

    Times are those of the event loop's clock.
    """

    consecutive_faults: int = 0
    last_fault_at_s: float = float("-inf")
    ejected_until_s: float = float("-inf")
    reason: str = ""

    def is_healthy(self, now_s: float) -> bool:
        """Return whether there is no fault since the last success or it has expired."""
        return (
            self.consecutive_faults == 0
            or now_s - self.ejected_until_s > FAULT_EXPIRY_S
        )

    def record_fault(self, reason: str, now_s: float) -> bool:
        """Record a fault and eject the target; return False when it is ejected already.

        Requests that fail during an ejection belong to the fault that caused it, unless
        they were sent because few targets are healthy: these start the short ejection
        anew.
        """
        if now_s < self.ejected_until_s:
            if now_s >= self.last_fault_at_s + EJECTION_TIMES_S[0]:
                self.last_fault_at_s = now_s
            return False
        if self.is_healthy(now_s):
            self.consecutive_faults = 0
        ejection_s = EJECTION_TIMES_S[
            min(self.consecutive_faults, len(EJECTION_TIMES_S) - 1)
        ]
        self.consecutive_faults += 1
        self.last_fault_at_s = now_s
        self.ejected_until_s = now_s + ejection_s
        self.reason = reason
        return True

    def record_success(self) -> None:
        """Record a successful request; end the ejection and reset the fault count."""
        self.consecutive_faults = 0
        self.ejected_until_s = float("-inf")

    def is_ejected(self, healthy_share: float, now_s: float) -> bool:
        """Return whether the target gets no requests now.

        With `healthy_share` below the minimum, only the first ejection time counts.
        """
        if healthy_share >= MIN_HEALTHY_SHARE:
            return now_s < self.ejected_until_s
        return now_s < min(
            self.ejected_until_s, self.last_fault_at_s + EJECTION_TIMES_S[0]
        )


def compute_healthy_share(targets: Sequence[TargetHealth], now_s: float) -> float:
    """Return the share of a service's targets that is healthy, 0.0 to 1.0."""
    healthy = sum(target.is_healthy(now_s) for target in targets)
    return healthy / max(1, len(targets))


__all__ = ["EJECTION_TIMES_S", "TargetHealth", "compute_healthy_share"]
