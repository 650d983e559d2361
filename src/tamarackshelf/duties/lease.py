"""Leases: which node acts on a subject, decided by the live nodes and the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from tamarackshelf.contracts.rows import ABSENT_VERSION
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import (
    LeaseRecord,
    NodeRecord,
    StoredLease,
    acquire_lease,
    read_lease,
    release_lease,
)

LEASE_CHECK_S = 0.5
# Added to the lease duration that a new holder waits before it first acts, so that
# the acts of two holders never appear to alternate.
LEASE_MARGIN_S = 0.3
# A call to the platform without a response may be executed for this long after it was
# sent, and its number is checked only then.
LATE_CALL_S = 6.0
# A read of the row confirms the lease for this share of its duration. No other holder
# acts within the whole duration after the read began; the rest is for the act itself.
CONFIRMED_SHARE = 0.5
# A node that reaches no majority of the nodes takes a lease only if its row and its
# holder's progress have not changed for this long. Otherwise the two sides of a cut
# that both reach the store would take the lease from each other again and again.
MINORITY_WAIT_S = 12.0


class LeaseFleet(Protocol):
    """What a lease asks about the nodes of the fleet."""

    own: NodeRecord

    def list_live_nodes(self) -> list[NodeRecord]:
        """Return the nodes not considered dead."""

    def count_listed_nodes(self) -> int:
        """Return the number of nodes that may be alive behind a cut, with this one."""

    def is_gone(self, vm: str, incarnation: int) -> bool:
        """Return whether this incarnation of a node no longer runs."""

    async def check_alive(self, vm: str, incarnation: int) -> bool:
        """Ask a node that may wrongly be considered dead whether it is alive."""


@dataclass(frozen=True, slots=True)
class LeaseWaits:
    """Times that a new holder waits, after its claim was stored, before it acts.

    `restart_s` applies if an earlier process of the same VM held the lease, and
    `takeover_margin_s`, added to the lease duration, if another VM did.
    """

    takeover_margin_s: float = LEASE_MARGIN_S
    restart_s: float = 0.0


def has_majority(fleet: LeaseFleet) -> bool:
    """Return whether most of the nodes that may be alive are known to be."""
    return 2 * len(fleet.list_live_nodes()) > fleet.count_listed_nodes()


class Stopwatch:
    """Time since its creation, by the clock that ran furthest.

    The event loop's clock stops while the VM is suspended; the boot-time clock does
    not.
    """

    def __init__(self, boot_s: Callable[[], float]) -> None:
        self._boot_s = boot_s
        self._loop_started_s = _now_s()
        self._boot_started_s = boot_s()

    def elapsed_s(self) -> float:
        """Return the time in seconds since the stopwatch was created."""
        return max(
            _now_s() - self._loop_started_s, self._boot_s() - self._boot_started_s
        )


class Lease:
    """The lease of one subject, as one node sees it.

    The holder keeps the lease until another node finds that it no longer runs; there is
    no renewal. A new holder waits for the lease duration before it acts, and a holder
    confirms the lease by a read of its row before each act, so that their acts do not
    overlap.
    """

    def __init__(
        self,
        subject: str,
        store: FailoverStore,
        fleet: LeaseFleet,
        lease_s: float,
        timeline: Timeline,
        waits: LeaseWaits | None = None,
        boot_s: Callable[[], float] | None = None,
    ) -> None:
        self.lease_s = lease_s
        # Returns the nodes that may take the lease.
        self.select_nodes: Callable[[Sequence[NodeRecord]], Sequence[NodeRecord]] = (
            lambda nodes: nodes
        )
        # Returns a number that changes while the holder acts. Without it, a node takes
        # the lease from a holder that is gone without regard to majorities.
        self.read_progress: Callable[[], Awaitable[int]] | None = None
        # The lease while this node holds it, as the store last named it.
        self.held: StoredLease | None = None
        # Number of nodes, those that rank first, that take the lease once its holder
        # has given it up. Only the first one takes the lease of a holder that is gone.
        self.candidates = 1
        self._subject = subject
        self._store = store
        self._fleet = fleet
        self._timeline = timeline
        self._waits = waits or LeaseWaits()
        self._boot_s = boot_s or _read_boot_s
        # The lease as it was before a claim whose outcome is not known. While there is
        # one, the store may name this node as holder.
        self._unsettled_claim: StoredLease | None = None
        self._left_holder = LeaseRecord()
        # Version of the row and progress of its holder, and since when they are so.
        self._unchanged: tuple[int, int] | None = None
        self._unchanged_since_s = 0.0
        self._refused_number = -1
        self._confirmed: Stopwatch | None = None
        self._claims_from_s = float("-inf")
        self._acts_allowed_at_s = 0.0
        self._last_act_at_s = float("-inf")
        self._checked_at_s = float("-inf")

    @property
    def is_settled(self) -> bool:
        """Whether the outcome of each claim of this node is known."""
        return self._unsettled_claim is None

    async def ensure(self) -> bool:
        """Take the lease if possible; return whether this node may act now.

        Raise RowStoreError if the store does not respond.
        """
        now_s = _now_s()
        if self.held is not None:
            return now_s >= self._acts_allowed_at_s
        if now_s - self._checked_at_s < LEASE_CHECK_S:
            return False
        self._checked_at_s = now_s
        own = self._fleet.own
        is_candidate = now_s >= self._claims_from_s and self._ranks_among_candidates()
        if not is_candidate and self._unsettled_claim is None:
            return False
        current = await read_lease(self._store, self._subject)
        record = current.record
        is_own = (record.holder, record.holder_incarnation) == (
            own.vm,
            own.incarnation,
        )
        if is_own and record.fencing_number > self._refused_number:
            # The store accepted this node's claim, but the answer was lost.
            return self._record(
                current,
                "the store's answer to this node's claim was lost",
                self.lease_s + self._waits.takeover_margin_s,
            )
        if not is_own and not await self._may_claim(current):
            return False
        self._unsettled_claim = current
        acquired = await acquire_lease(
            self._store, self._subject, current, own.vm, own.incarnation
        )
        self._unsettled_claim = None
        if acquired is None:
            return False
        reason = "the lease was free"
        if is_own:
            reason = "a higher number than this node's was seen"
        elif record.holder:
            reason = f"{record.holder} no longer runs"
        return self._record(acquired, reason, self._compute_wait_s(record.holder))

    async def _may_claim(self, current: StoredLease) -> bool:
        """Return whether this node is to take the lease from the holder in the row."""
        record = current.record
        self._settle_claim(current)
        if _now_s() < self._claims_from_s:
            return False
        is_given_up = not record.holder and current.version != ABSENT_VERSION
        if is_given_up and self._ranks_among_candidates():
            return True
        # The rank may have changed since the claim, or during the read.
        if not self._ranks_first():
            return False
        if record.holder and not self._fleet.is_gone(
            record.holder, record.holder_incarnation
        ):
            self._record_left(record, "runs and keeps the lease")
            return False
        if await self._fleet.check_alive(record.holder, record.holder_incarnation):
            self._record_left(record, "still answers and keeps the lease")
            return False
        if record.holder and not await self._has_majority_view(current):
            self._record_left(record, "may act behind a cut and keeps the lease")
            return False
        return True

    async def _has_majority_view(self, current: StoredLease) -> bool:
        """Return whether this node reaches most nodes, or the holder makes no progress.

        The holder may be alive on the other side of a cut.
        """
        if self.read_progress is None or has_majority(self._fleet):
            return True
        unchanged = (current.version, await self.read_progress())
        if unchanged != self._unchanged:
            self._unchanged, self._unchanged_since_s = unchanged, _now_s()
        return _now_s() - self._unchanged_since_s >= MINORITY_WAIT_S

    async def verify(self, held: StoredLease) -> bool:
        """Read the row; return whether it still is `held`, and drop the lease if not.

        Raise RowStoreError if the store does not respond.
        """
        watch = Stopwatch(self._boot_s)
        current = await read_lease(self._store, self._subject)
        if current == held:
            self._confirmed = watch
            return True
        self.held = None
        self._timeline.record(
            "lease_lost", self._subject, f"{current.record.holder} holds the lease now"
        )
        return False

    async def confirm(self, held: StoredLease) -> bool:
        """Return whether this node may act right now; read the row first.

        A read that took too long, or during which the process was frozen, does not
        count. Raise RowStoreError if the store does not respond.
        """
        return await self.verify(held) and self.is_confirmed()

    def is_confirmed(self) -> bool:
        """Return whether the last read of the row that named this node still counts."""
        return (
            self.held is not None
            and self._confirmed is not None
            and self._confirmed.elapsed_s() < CONFIRMED_SHARE * self.lease_s
        )

    def record_act(self) -> None:
        """Note that this node acts as the holder now."""
        self._last_act_at_s = _now_s()

    def drop(self, held: StoredLease, *, needs_higher: bool = False) -> None:
        """Stop acting, as somebody saw a higher number; the row is read again.

        The store may still name this node. With `needs_higher` the number is not used
        again: if the store still names this node with it, the node claims the next one.
        """
        self.held, self._unsettled_claim = None, held
        if needs_higher:
            self._refused_number = held.record.fencing_number

    async def give_up(
        self, held: StoredLease, reason: str, pause_s: float = 0.0
    ) -> None:
        """Release the lease once the next holder may act at once; else do nothing.

        Acts of two holders then never appear to alternate. This node does not claim
        the lease again for `pause_s`. Raise RowStoreError if the store does not
        respond; call it again then.
        """
        quiet_s = self.lease_s + self._waits.takeover_margin_s
        if _now_s() < self._last_act_at_s + quiet_s:
            return
        await release_lease(self._store, self._subject, held)
        self.held = None
        self._claims_from_s = _now_s() + pause_s
        self._timeline.record(
            "lease_released",
            self._subject,
            reason,
            fencing=held.record.fencing_number,
        )

    def _ranks_first(self) -> bool:
        """Return whether this node is the one to take the lease of a gone holder."""
        return self._rank_nodes()[:1] == [self._fleet.own.vm]

    def _ranks_among_candidates(self) -> bool:
        """Return whether this node is one of those that may take a free lease."""
        return self._fleet.own.vm in self._rank_nodes()[: self.candidates]

    def _rank_nodes(self) -> list[str]:
        nodes = self.select_nodes(self._fleet.list_live_nodes())
        return rank_owners([record.vm for record in nodes], self._subject)

    def _compute_wait_s(self, earlier_holder: str) -> float:
        if not earlier_holder:
            return 0.0
        if earlier_holder == self._fleet.own.vm:
            return self._waits.restart_s
        return self.lease_s + self._waits.takeover_margin_s

    def _settle_claim(self, current: StoredLease) -> None:
        """Forget an unsettled claim once the row was written by another node.

        While the row is as the claim found it, the store may still execute the claim.
        """
        claim = self._unsettled_claim
        if claim is not None and claim.version != current.version:
            self._unsettled_claim = None

    def _record_left(self, record: LeaseRecord, reason: str) -> None:
        """Record once that the lease is left with its holder."""
        if record != self._left_holder:
            self._left_holder = record
            self._timeline.record(
                "lease_left", self._subject, f"{record.holder} {reason}"
            )

    def _record(self, lease: StoredLease, reason: str, wait_s: float) -> bool:
        """Record that this node holds the lease; return whether it may act at once.

        It may act after `wait_s`, when an earlier holder's lease has expired.
        """
        self.held = lease
        self._unsettled_claim = None
        # An earlier process of this VM may have acted until now.
        self._last_act_at_s = _now_s()
        self._acts_allowed_at_s = _now_s() + wait_s
        self._timeline.record(
            "lease_taken",
            self._subject,
            reason,
            fencing=lease.record.fencing_number,
            orders_after_s=wait_s,
        )
        return wait_s == 0.0


def _read_boot_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = [
    "LATE_CALL_S",
    "Lease",
    "LeaseFleet",
    "LeaseWaits",
    "Stopwatch",
    "has_majority",
]
