"""Leases judged by each node's own monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

LEASE_S = 6.0
RENEW_EVERY_S = 2.0
MARGIN_S = 1.0
LONGEST_ORDER_FLIGHT_S = 2.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """What the table keeps of a lease; an empty holder has released it."""

    holder: str
    fencing_number: int
    nonce: str


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of a lease."""

    lease_s: float = LEASE_S
    renew_every_s: float = RENEW_EVERY_S
    margin_s: float = MARGIN_S
    order_flight_s: float = LONGEST_ORDER_FLIGHT_S


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this node holds until `deadline_s` of its own clock."""

    name: str
    fencing_number: int
    revision: int
    deadline_s: float
    granted_at_s: float


def may_act(lease: HeldLease, now_s: float, times: LeaseTimes) -> bool:
    """Tells whether the holder may still send; asked right before each send."""
    return now_s < lease.deadline_s - times.margin_s


def may_order_unfenced(lease: HeldLease, now_s: float, times: LeaseTimes) -> bool:
    """Tells whether orders of an earlier holder can no longer be in flight."""
    return now_s >= lease.granted_at_s + times.order_flight_s


class LeaseWatch:
    """Sees when another holder's lease has lapsed by this node's clock."""

    def __init__(self, times: LeaseTimes) -> None:
        self._times = times
        self._seen: dict[str, tuple[int, float]] = {}

    def may_take(self, name: str, row_revision: int, holder: str, now_s: float) -> bool:
        """Tells whether the lease is free, released or unrenewed for its time."""
        if not holder:
            return True
        revision, since_s = self._seen.get(name, (-1, now_s))
        if revision != row_revision:
            self._seen[name] = (row_revision, now_s)
            return False
        return now_s - since_s >= self._times.lease_s


__all__ = [
    "HeldLease",
    "LeaseRow",
    "LeaseTimes",
    "LeaseWatch",
    "may_act",
    "may_order_unfenced",
]
