"""Leases whose expiry each node decides by its own monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

LEASE_S = 6.0
RENEW_EVERY_S = 2.0
MARGIN_S = 1.0
MAX_ORDER_FLIGHT_S = 2.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Row of a lease in the table; `holder` is empty once the lease is released."""

    holder: str
    fencing_number: int
    nonce: str


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of a lease.

    The holder stops acting `margin_s` before its lease ends, and an order that it sent
    is delivered within `order_flight_s`.
    """

    lease_s: float = LEASE_S
    renew_every_s: float = RENEW_EVERY_S
    margin_s: float = MARGIN_S
    order_flight_s: float = MAX_ORDER_FLIGHT_S


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this node holds until `deadline_s` on its own clock."""

    name: str
    fencing_number: int
    revision: int
    deadline_s: float
    granted_at_s: float


def may_act(lease: HeldLease, now_s: float, times: LeaseTimes) -> bool:
    """Return whether the holder may still send; check right before each send."""
    return now_s < lease.deadline_s - times.margin_s


def may_order_unfenced(lease: HeldLease, now_s: float, times: LeaseTimes) -> bool:
    """Return whether orders may go to targets that do not check fencing numbers.

    They may once no order of an earlier holder can still be in flight.
    """
    return now_s >= lease.granted_at_s + times.order_flight_s


class LeaseWatch:
    """Detector of leases of other holders that have expired by this node's clock.

    A lease expires when its row keeps the same revision for `lease_s`.
    """

    def __init__(self, times: LeaseTimes) -> None:
        self._times = times
        self._last_revisions: dict[str, tuple[int, float]] = {}

    def may_take(self, name: str, row_revision: int, holder: str, now_s: float) -> bool:
        """Return whether the lease is released or was not renewed for its duration.

        The revision is remembered with the time when this node first saw it.
        """
        if not holder:
            return True
        revision, since_s = self._last_revisions.get(name, (-1, now_s))
        if revision != row_revision:
            self._last_revisions[name] = (row_revision, now_s)
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
