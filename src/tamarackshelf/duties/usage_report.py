"""Decision and delivery of usage reports by the node that holds their lease."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence

from tamarackshelf.contracts.duties import (
    DutyCallFailed,
    DutyFenced,
    DutyPlatform,
    DutyStamp,
)
from tamarackshelf.contracts.rows import RowStoreError
from tamarackshelf.duties.lease import LATE_CALL_S, LEASE_CHECK_S, Lease
from tamarackshelf.duties.true_time import TrueClock
from tamarackshelf.duties.usage_counts import USAGE_SUBJECT
from tamarackshelf.node.settings import DutySettings
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.usage import (
    ProcessKey,
    find_end_s,
    find_window,
    list_decidable,
    merge_counts,
)
from tamarackshelf.store.failover import FailoverStore
from tamarackshelf.store.fleet_rows import StoredLease
from tamarackshelf.store.usage_rows import (
    LeaseChanged,
    StoredReport,
    UsageReport,
    delete_reports,
    mark_answered,
    read_counts,
    read_reports,
    store_report,
)

TICK_S = 0.2
# Two calls fit into the time between the decision and the time when a report is due.
CALL_TIMEOUT_S = 2.5
# Pause after a call that was not accepted. One node makes these calls, so it stays far
# below the rate that the platform takes from all nodes.
RETRY_PAUSE_S = 0.4
# Share of the platform's rate that this duty may use; the rest is for other duties.
RATE_SHARE = 0.25
MIN_CALLS_PER_S = 0.2
# While the counts are known to be incomplete, the decision waits until this time after
# the window's end.
DECIDE_LATEST_S = 6.0
# A holder whose calls fail for this long gives the lease up, as the platform may be
# unreachable for some nodes only, and does not claim it again for RECLAIM_PAUSE_S.
FAILING_S = 2.5
RECLAIM_PAUSE_S = 12.0
# Nodes that take a lease that was given up.
CANDIDATES = 4
# Rows are kept this long, and deleted at this interval.
KEEP_ROWS_S = 600.0
DELETE_INTERVAL_S = 60.0

Table = Mapping[ProcessKey, Mapping[str, int]]
# Returns the tables of a window, and whether they are complete.
TableReader = Callable[[int], Awaitable[tuple[Sequence[Table], bool]]]


class UsageReporter:
    """Reports the requests of each window while this node holds the lease.

    Each report is stored with a conditional write before it is first sent, so that all
    holders send the same bytes for a window.
    """

    def __init__(
        self,
        settings: DutySettings,
        store: FailoverStore,
        lease: Lease,
        platform: DutyPlatform,
        clock: TrueClock,
        read_tables: TableReader,
        own_vm: str,
        is_enabled: Callable[[], bool],
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._store = store
        self._lease = lease
        self._platform = platform
        self._clock = clock
        self._read_tables = read_tables
        self._own_vm = own_vm
        self._is_enabled = is_enabled
        self._timeline = timeline
        self._metrics = metrics
        # The lease under which the stored reports were read.
        self._read_under: StoredLease | None = None
        self._reports: dict[int, StoredReport] = {}
        self._accepted: set[int] = set()
        # When a call with a report was last lost, on the event loop's clock.
        self._lost_at_s: dict[int, float] = {}
        self._next_due = 0
        self._next_call_at_s = 0.0
        self._delete_at_s = 0.0
        # When calls began to fail, on the event loop's clock, or None.
        self._failing_since_s: float | None = None
        # When this node's last accepted report was accepted, on the event loop's clock.
        self._accepted_at_s = float("nan")
        lease.read_progress = self._read_progress
        lease.candidates = CANDIDATES

    async def run(self) -> None:
        """Report the windows whenever this node holds the lease, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if not self._is_enabled():
                continue
            self._metrics.set("usage_lease_held", float(self._lease.held is not None))
            age_s = _now_s() - self._accepted_at_s
            self._metrics.set("usage_report_age_seconds", age_s)
            try:
                if await self._lease.ensure() and self._lease.held is not None:
                    await self._report(self._lease.held)
            except RowStoreError as error:
                self._timeline.record("lease_unknown", USAGE_SUBJECT, str(error))
                await asyncio.sleep(LEASE_CHECK_S)

    async def _report(self, held: StoredLease) -> None:
        if self._read_under != held:
            await self._read_stored(held)
        settings = self._settings
        now_s = self._clock.now_s()
        for window in list_decidable(
            now_s, settings.report_window_s, settings.report_late_s
        ):
            if window not in self._reports and self._lease.held == held:
                await self._decide(window, held)
        self._close_windows()
        await self._mark_accepted(held)
        if self._is_failing():
            await self._lease.give_up(
                held, "calls to the platform fail", RECLAIM_PAUSE_S
            )
        else:
            await self._send_next(held)
        await self._delete_old()

    async def _read_stored(self, held: StoredLease) -> None:
        """Read the reports of earlier holders once this node may act as the holder.

        Whether an earlier holder's calls with a report that is not marked as answered
        can still be executed is not known.
        """
        # A call with a report that is no longer in time may still be executed.
        self._reports = await read_reports(self._store, self._find_oldest(LATE_CALL_S))
        self._accepted = {
            w for w, stored in self._reports.items() if stored.report.is_answered
        }
        now_s = _now_s()
        self._lost_at_s = dict.fromkeys(self._reports.keys() - self._accepted, now_s)
        if self._lost_at_s and not self._settings.checks_fencing:
            self._next_call_at_s = now_s + LATE_CALL_S
        self._next_due = self._find_oldest()
        self._failing_since_s = None
        self._read_under = held

    async def _read_progress(self) -> int:
        """Return the newest window with a stored report, of those still in time."""
        return max(await read_reports(self._store, self._find_oldest()), default=0)

    async def _decide(self, window: int, held: StoredLease) -> None:
        """Store the report on a window, unless there is one."""
        tables, is_complete = await self._read_tables(window)
        age_s = self._clock.now_s() - find_end_s(window, self._settings.report_window_s)
        if not is_complete and age_s < DECIDE_LATEST_S:
            return
        stored_counts = await read_counts(self._store, window)
        table = {(each.vm, each.incarnation): each.counts for each in stored_counts}
        counts = merge_counts([*tables, table])
        report = UsageReport(
            window, self._platform.encode_usage(window, counts), counts
        )
        try:
            stored = await store_report(self._store, report, USAGE_SUBJECT, held)
        except LeaseChanged:
            await self._lease.verify(held)
            return
        self._reports[window] = stored
        self._metrics.count("usage_reports_decided")
        self._timeline.record(
            "usage_decided",
            str(window),
            "all live collectors answered"
            if is_complete
            else "not all counts could be read in time",
            requests=sum(stored.report.counts.values()),
            organisations=len(stored.report.counts),
            age_ms=round(age_s * 1000),
        )

    async def _send_next(self, held: StoredLease) -> None:
        """Send the oldest report that was not accepted and is still in time."""
        window = self._find_unsent()
        if window is None or _now_s() < self._next_call_at_s:
            return
        if not await self._lease.confirm(held):
            return
        stamp = DutyStamp(self._own_vm, held.record.fencing_number)
        self._lease.record_act()
        outcome = "accepted"
        try:
            await self._platform.report_usage(
                self._reports[window].report.body, stamp, CALL_TIMEOUT_S
            )
        except DutyFenced as error:
            outcome = str(error)
            self._lease.drop(held, needs_higher=True)
        except DutyCallFailed as error:
            outcome = str(error)
            if error.may_execute:
                self._lost_at_s[window] = _now_s()
            # A platform that takes calls but answers late is slow for all nodes, and
            # the next holder would wait before its first call.
            is_refusal = not (error.is_limited or error.may_execute)
            if is_refusal and self._failing_since_s is None:
                self._failing_since_s = _now_s()
        else:
            self._accepted.add(window)
            self._failing_since_s = None
            self._accepted_at_s = _now_s()
        is_accepted = window in self._accepted
        pause_s = 0.0 if is_accepted else RETRY_PAUSE_S
        rate_per_s = max(MIN_CALLS_PER_S, RATE_SHARE * self._settings.calls_per_s)
        spacing_s = 1.0 / rate_per_s
        self._next_call_at_s = _now_s() + max(pause_s, spacing_s)
        self._metrics.count(
            "usage_reports_sent" if is_accepted else "usage_calls_failed"
        )
        end_s = find_end_s(window, self._settings.report_window_s)
        self._timeline.record(
            "usage_sent",
            str(window),
            outcome,
            accepted=is_accepted,
            fencing=held.record.fencing_number,
            age_ms=round((self._clock.now_s() - end_s) * 1000),
        )

    def _is_failing(self) -> bool:
        """Return whether the calls of this node have failed for a while."""
        since_s = self._failing_since_s
        return since_s is not None and _now_s() - since_s >= FAILING_S

    async def _mark_accepted(self, held: StoredLease) -> None:
        """Mark the accepted reports of which no call can still be executed."""
        for window in sorted(self._accepted):
            stored = self._reports.get(window)
            if stored is None or stored.report.is_answered:
                continue
            lost_at_s = self._lost_at_s.get(window, float("-inf"))
            if _now_s() < lost_at_s + LATE_CALL_S:
                continue
            try:
                self._reports[window] = await mark_answered(
                    self._store, stored, USAGE_SUBJECT, held
                )
            except LeaseChanged:
                await self._lease.verify(held)
                return

    def _find_unsent(self) -> int | None:
        oldest = self._find_oldest()
        return min(
            (w for w in self._reports if w >= oldest and w not in self._accepted),
            default=None,
        )

    def _find_oldest(self, ago_s: float = 0.0) -> int:
        """Return the oldest window whose report was still in time `ago_s` ago."""
        settings = self._settings
        return find_window(
            self._clock.now_s() - ago_s - settings.report_late_s,
            settings.report_window_s,
        )

    def _close_windows(self) -> None:
        """Count the windows whose time has passed, and forget those long past."""
        oldest = self._find_oldest()
        for window in range(self._next_due, oldest):
            if window not in self._accepted:
                self._metrics.count("usage_windows_missed")
                self._timeline.record(
                    "usage_missed", str(window), "its report was not accepted in time"
                )
        self._next_due = max(self._next_due, oldest)
        oldest_kept = self._find_oldest(2 * LATE_CALL_S)
        for window in [w for w in self._reports if w < oldest_kept]:
            del self._reports[window]
            self._accepted.discard(window)
            self._lost_at_s.pop(window, None)

    async def _delete_old(self) -> None:
        if _now_s() < self._delete_at_s:
            return
        self._delete_at_s = _now_s() + DELETE_INTERVAL_S
        before = find_window(
            self._clock.now_s() - KEEP_ROWS_S, self._settings.report_window_s
        )
        await delete_reports(self._store, before)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["UsageReporter"]
