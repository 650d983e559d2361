"""Counts of callers' requests by window and organisation, and their collection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from tamarackshelf.contracts.rows import RowStore, RowStoreError
from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.duties.lease import LeaseFleet, has_majority
from tamarackshelf.duties.true_time import TrueClock, compute_median_s
from tamarackshelf.net import (
    ConnectFailed,
    ConnectionLost,
    HttpClient,
    Request,
    Response,
)
from tamarackshelf.observe import Metrics
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.usage import (
    COLLECTORS,
    DECIDE_DELAY_S,
    ProcessKey,
    compute_send_interval_s,
    find_end_s,
    find_window,
)
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.store.usage_rows import ProcessCounts, store_counts

COUNTS_PATH = "/usage-counts"
TABLE_PATH = "/usage-table"
# Rank of the collectors, and name of the lease for reports.
USAGE_SUBJECT = "usage"
# A live peer answers within milliseconds.
PEER_TIMEOUT_S = 0.5
# Runs wait this long for the true time, which a node learns with its first message.
PENDING_S = 2.0
MAX_PENDING_RUNS = 50_000
# Counts are kept for this long after the end of their window, which is longer than a
# report may be late.
KEEP_S = 30.0
# Windows further ahead are a mistake of a clock.
MAX_AHEAD_S = 10.0
# A node without new counts repeats the distance of its clock at this interval, and the
# collectors forget one that was not repeated.
OFFSET_INTERVAL_S = 50.0
OFFSET_TTL_S = 120.0
# A node whose counts no other node has accepted writes them to the store this long
# after the window's end, which is before the decision.
STORE_AFTER_S = 1.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class UsageCounts:
    """Cumulative counts of one process by window and organisation.

    `wall_offset_s` tells how far the clock of its VM is ahead of the store's.
    """

    vm: str
    incarnation: int
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    wall_offset_s: float | None = None


@dataclass(frozen=True, slots=True)
class UsageCountsAnswer:
    """The median of `wall_offset_s` over the nodes that the collector knows."""

    median_offset_s: float | None = None


@dataclass(frozen=True, slots=True)
class UsageTableRequest:
    """Request for what a collector knows of one window."""

    window: int


@dataclass(frozen=True, slots=True)
class UsageTableAnswer:
    """What a collector knows of one window."""

    processes: tuple[ProcessCounts, ...] = ()


class UsageRecorder:
    """Counts the requests that this node's callers had run, by window."""

    def __init__(self, clock: TrueClock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        # Start of each run on the event loop's clock, while its window is not known.
        self._pending_runs: list[tuple[float, str]] = []
        self._windows: dict[int, dict[str, int]] = {}

    def record_run(self, organisation: str, started_s: float) -> None:
        """Count a request of an organisation that began to run.

        `started_s` is on the event loop's clock. A request without an organisation is
        not counted.
        """
        if organisation:
            self._pending_runs.append((started_s, organisation))

    def list_windows(self) -> Mapping[int, Mapping[str, int]]:
        """Return the cumulative counts of the recent windows."""
        self._date_runs()
        oldest = find_window(self._clock.now_s() - KEEP_S, self._window_s) - 1
        for window in [window for window in self._windows if window < oldest]:
            del self._windows[window]
        return self._windows

    def _date_runs(self) -> None:
        """Add the recent runs to their windows, once the true time is known."""
        if not self._pending_runs:
            return
        is_due = (
            self._clock.is_adjusted
            or len(self._pending_runs) > MAX_PENDING_RUNS
            or _now_s() - self._pending_runs[0][0] > PENDING_S
        )
        if not is_due:
            return
        for started_s, organisation in self._pending_runs:
            window = find_window(self._clock.to_true_s(started_s), self._window_s)
            counts = self._windows.setdefault(window, {})
            counts[organisation] = counts.get(organisation, 0) + 1
        self._pending_runs.clear()


class UsageCollector:
    """Keeps the counts that the nodes send, and the distances of their clocks."""

    def __init__(self, clock: TrueClock, window_s: float) -> None:
        # Returns the number of live nodes.
        self.count_nodes: Callable[[], int] = lambda: 1
        self._clock = clock
        self._window_s = window_s
        self._windows: dict[int, dict[ProcessKey, dict[str, int]]] = {}
        # Distance of each VM's clock from the store's, and when it was received.
        self._offsets: dict[str, tuple[float, float]] = {}

    def accept(self, message: UsageCounts) -> UsageCountsAnswer:
        """Merge the cumulative counts of a process; repeating it has no effect."""
        self._forget_old()
        now_s = self._clock.now_s()
        oldest = find_window(now_s - KEEP_S, self._window_s)
        newest = find_window(now_s + MAX_AHEAD_S, self._window_s)
        process = (message.vm, message.incarnation)
        for window, counts in message.windows.items():
            if oldest <= window <= newest:
                known = self._windows.setdefault(window, {}).setdefault(process, {})
                for organisation, count in counts.items():
                    known[organisation] = max(known.get(organisation, 0), count)
        if message.wall_offset_s is not None:
            self._offsets[message.vm] = (message.wall_offset_s, _now_s())
        # The first few clocks that are known may be those that are wrong.
        if 2 * len(self._offsets) <= self.count_nodes():
            return UsageCountsAnswer()
        median_s = compute_median_s(offset_s for offset_s, _ in self._offsets.values())
        self._clock.set_median(median_s)
        return UsageCountsAnswer(median_s)

    def list_window(self, window: int) -> Mapping[ProcessKey, Mapping[str, int]]:
        """Return the counts of each process in a window."""
        return self._windows.get(window, {})

    async def answer_counts(self, request: Request) -> Response:
        """Answer a peer that sends its counts."""
        answer = self.accept(decode_msgpack(request.body, UsageCounts))
        return Response(200, msgspec.msgpack.encode(answer))

    async def answer_table(self, request: Request) -> Response:
        """Answer the peer that decides the report on a window."""
        asked = decode_msgpack(request.body, UsageTableRequest)
        processes = tuple(
            ProcessCounts(vm, incarnation, dict(counts))
            for (vm, incarnation), counts in self.list_window(asked.window).items()
        )
        return Response(200, msgspec.msgpack.encode(UsageTableAnswer(processes)))

    def _forget_old(self) -> None:
        oldest = find_window(self._clock.now_s() - KEEP_S, self._window_s)
        for window in [window for window in self._windows if window < oldest]:
            del self._windows[window]
        now_s = _now_s()
        for vm, (_, at_s) in list(self._offsets.items()):
            if now_s - at_s > OFFSET_TTL_S:
                del self._offsets[vm]


@dataclass(slots=True)
class _CollectorState:
    """What a collector has accepted of this node's counts."""

    offset_sent_at_s: float = float("-inf")
    has_failed: bool = False
    accepted: dict[int, dict[str, int]] = field(default_factory=dict)


class UsageSender:
    """Sends this node's counts to the collectors, and reads what they collected."""

    def __init__(
        self,
        recorder: UsageRecorder,
        collector: UsageCollector,
        clock: TrueClock,
        fleet: LeaseFleet,
        http: HttpClient,
        store: RowStore,
        window_s: float,
        metrics: Metrics,
        is_enabled: Callable[[], bool],
    ) -> None:
        self._recorder = recorder
        self._collector = collector
        self._clock = clock
        self._fleet = fleet
        self._http = http
        self._store = store
        self._window_s = window_s
        # Counts in the store's rows of this process.
        self._stored: dict[int, dict[str, int]] = {}
        self._metrics = metrics
        self._is_enabled = is_enabled
        self._states: dict[tuple[str, int], _CollectorState] = {}

    async def run(self) -> None:
        """Send changed counts until cancelled."""
        while True:
            nodes = len(self._fleet.list_live_nodes())
            await asyncio.sleep(compute_send_interval_s(nodes))
            if self._is_enabled():
                await self.send()

    async def send(self) -> None:
        """Send the counts that a collector does not have yet to each collector.

        Messages tell the distance of this VM's clock, some of them nothing else.
        """
        collectors = self._list_collectors()
        current = {(record.vm, record.incarnation) for record in collectors}
        self._states = {
            key: state for key, state in self._states.items() if key in current
        }
        windows = {w: dict(c) for w, c in self._recorder.list_windows().items()}
        await asyncio.gather(*(self._send_to(each, windows) for each in collectors))
        await self._store_unaccepted(windows)

    async def _store_unaccepted(self, windows: Mapping[int, dict[str, int]]) -> None:
        """Write the counts of an ended window that no other node has to the store."""
        own, now_s = self._fleet.own, self._clock.now_s()
        self._stored = {w: c for w, c in self._stored.items() if w in windows}
        others = [s for (vm, _), s in self._states.items() if vm != own.vm]
        for window, counts in windows.items():
            age_s = now_s - find_end_s(window, self._window_s)
            if (
                self._fleet.count_listed_nodes() > 1
                and STORE_AFTER_S <= age_s < DECIDE_DELAY_S
                and self._stored.get(window) != counts
                and all(state.accepted.get(window) != counts for state in others)
            ):
                process = ProcessCounts(own.vm, own.incarnation, counts)
                try:
                    await store_counts(self._store, window, process)
                except RowStoreError:
                    return
                self._stored[window] = counts
                self._metrics.count("usage_counts_stored")

    async def read_tables(
        self, window: int
    ) -> tuple[list[Mapping[ProcessKey, Mapping[str, int]]], bool]:
        """Return the tables of a window, and whether they are complete.

        They are not if a live collector gave no answer, or if this node is cut off from
        most nodes, whose counts then lie elsewhere.
        """
        others = [r for r in self._list_collectors() if r.vm != self._fleet.own.vm]
        answers = await asyncio.gather(*(self._read_from(r, window) for r in others))
        tables = [table for table in answers if table is not None]
        is_complete = len(tables) == len(others) and has_majority(self._fleet)
        return [self._collector.list_window(window), *tables], is_complete

    def _list_collectors(self) -> list[NodeRecord]:
        by_name = {record.vm: record for record in self._fleet.list_live_nodes()}
        ranked = rank_owners(by_name, USAGE_SUBJECT)
        return [by_name[name] for name in ranked[:COLLECTORS]]

    async def _send_to(
        self, record: NodeRecord, windows: Mapping[int, dict[str, int]]
    ) -> None:
        own = self._fleet.own
        state = self._states.setdefault(
            (record.vm, record.incarnation), _CollectorState()
        )
        changed = {w: c for w, c in windows.items() if state.accepted.get(w) != c}
        is_offset_known = _now_s() - state.offset_sent_at_s < OFFSET_INTERVAL_S
        if is_offset_known and not changed:
            return
        message = UsageCounts(
            own.vm, own.incarnation, changed, self._clock.measure_wall_offset_s()
        )
        if record.vm == own.vm:
            self._collector.accept(message)
        else:
            answer = await self._post(record, COUNTS_PATH, message, UsageCountsAnswer)
            if answer is None:
                return
            self._clock.set_median(answer.median_offset_s)
        # The distance is not known before the store's first response.
        if message.wall_offset_s is not None:
            state.offset_sent_at_s = _now_s()
        state.accepted = {w: c for w, c in state.accepted.items() if w in windows}
        state.accepted.update(changed)

    async def _read_from(
        self, record: NodeRecord, window: int
    ) -> Mapping[ProcessKey, Mapping[str, int]] | None:
        answer = await self._post(
            record, TABLE_PATH, UsageTableRequest(window), UsageTableAnswer
        )
        if answer is None:
            return None
        return {(p.vm, p.incarnation): p.counts for p in answer.processes}

    async def _post(
        self, record: NodeRecord, path: str, message: object, kind: type[T]
    ) -> T | None:
        """Send a message to a peer and return its answer, or None without a usable one.

        After a failure no pooled connection is used, as the fault may have broken it.
        """
        state = self._states.setdefault(
            (record.vm, record.incarnation), _CollectorState()
        )
        try:
            response = await self._http.request(
                record.peers,
                "POST",
                path,
                body=msgspec.msgpack.encode(message),
                timeout_s=PEER_TIMEOUT_S,
                new_connection=state.has_failed,
            )
            if response.status == 200:
                state.has_failed = False
                return decode_msgpack(response.body, kind)
        except (ConnectFailed, ConnectionLost, InvalidInput):
            state.has_failed = True
        self._metrics.count("usage_messages_failed")
        return None


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = [
    "COUNTS_PATH",
    "TABLE_PATH",
    "USAGE_SUBJECT",
    "UsageCollector",
    "UsageCounts",
    "UsageCountsAnswer",
    "UsageRecorder",
    "UsageSender",
    "UsageTableAnswer",
    "UsageTableRequest",
]
