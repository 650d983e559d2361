"""Quarantine of callers' requests that crash their targets, kept by all nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from tamarackshelf.contracts.rows import RowChange, RowKey, RowStore, RowStoreError
from tamarackshelf.contracts.targets import (
    ConnectionBroken,
    ForwardedRequest,
    OutcomeUnknown,
    TargetClient,
)
from tamarackshelf.decoding import InvalidInput
from tamarackshelf.errors import AnswerLost, QuarantinedNotRun
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.peers.isolation import (
    IsolationAnswer,
    IsolationRelease,
    IsolationRequest,
)
from tamarackshelf.peers.quarantine_client import QuarantineClient, QuarantinePeers
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.policy.quarantine import (
    Crash,
    CrashHistory,
    IsolationTable,
    QuarantineRules,
    QuarantineStatus,
)
from tamarackshelf.store.crash_rows import (
    build_crash_key,
    decode_crash,
    delete_crashes,
    write_crashes,
)
from tamarackshelf.store.table_watch import TableWatch
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Target

# Two isolated crashes out of three: targets also crash by themselves, in bursts, and a
# sound request that was on them must not be refused. The pause is longer than a target
# takes to start again, so that one request never takes all targets of a service.
RULES = QuarantineRules(
    crashes=3,
    isolated_crashes=2,
    max_crashes=6,
    pause_s=10.0,
    max_fingerprints=2048,
)
# A lost answer is blamed on a crash that the list shows while it was current for this
# long: a target is unlisted after three missed heartbeats, which are 1.2 s apart, or it
# is listed anew when it is back, at times later.
UNSETTLED_S = 15.0
MAX_UNSETTLED = 1000
# A node releases a target when a run ends or a stream's first event arrives. It may be
# killed before, and the caller of a request may leave while its node asks.
GRANT_TIMEOUT_S = 5.0
UPKEEP_INTERVAL_S = 2.0
# Rows that one round of upkeep writes or deletes at most.
MAX_UPKEEP_ROWS = 200


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run of a request whose answer was lost, or whose caller left.

    `is_isolated` is true when no other suspect was on the target. `listed_s` is the
    time since then for which the list was current and did not show that the target
    ended.
    """

    request_id: str
    fingerprint: str
    target: Target
    is_isolated: bool
    listed_s: float = 0.0


class RequestQuarantine:
    """Knows which requests were in flight when targets crashed.

    Other nodes are told of a crash before the caller gets its answer, as it may send
    the request again at once. The store keeps the crashes for nodes that start or did
    not hear of them. `wall_s` returns the Unix time.
    """

    def __init__(
        self,
        vm: str,
        targets: TargetRegistry,
        target_client: TargetClient,
        timeline: Timeline,
        metrics: Metrics,
        wall_s: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._targets = targets
        self._target_client = target_client
        self._timeline = timeline
        self._metrics = metrics
        self._wall_s = wall_s
        self._history = CrashHistory(RULES)
        self._isolation = IsolationTable()
        self._unsettled: list[LostRun] = []
        self._unstored: list[Crash] = []
        self._storing: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._upkeep: asyncio.Task[None] | None = None
        self._client: QuarantineClient | None = None
        self._fleet: Fleet | None = None
        self._store: RowStore | None = None
        self._watch: TableWatch | None = None
        targets.on_change(self._settle_lost_runs)

    async def start(
        self, fleet: Fleet, peers: QuarantinePeers, store: RowStore, watch: TableWatch
    ) -> None:
        """Read the stored crashes and start to share those of this node.

        Return when the whole table of crashes is read.
        """
        self._fleet, self._store, self._watch = fleet, store, watch
        self._client = QuarantineClient(peers)
        await watch.loaded.wait()
        rows = watch.rows.values()
        self._apply_rows(tuple(RowChange(r.at, r.value, r.version) for r in rows))
        watch.on_change(self._apply_rows)
        self._upkeep = start_task("quarantine_upkeep", self._run_upkeep)

    async def close(self) -> None:
        """Stop sharing crashes."""
        await stop_tasks(self._upkeep, self._storing, *self._tasks)

    def classify(self, request: ForwardedRequest) -> QuarantineStatus:
        """Return whether a request may run, and whether it must be isolated."""
        if not self._history:
            return QuarantineStatus.CLEAR
        return self._history.classify(request.compute_fingerprint(), self._wall_s())

    def build_refusal(
        self, request: ForwardedRequest, *, may_have_run: bool
    ) -> QuarantinedNotRun | AnswerLost:
        """Return the error for a quarantined request, and count it.

        `may_have_run` is about this attempt at the request.
        """
        fingerprint = request.compute_fingerprint()
        now_s = self._wall_s()
        end_s = self._history.find_quarantine_end_s(fingerprint, now_s)
        crashes = ", ".join(
            f"{crash.target} (seen by {crash.seen_by} "
            f"{now_s - crash.at_ms / 1000:.1f} s ago)"
            for crash in self._history.list_crashes(fingerprint)
        )
        self._metrics.count("requests_quarantined")
        error_class = AnswerLost if may_have_run else QuarantinedNotRun
        return error_class(
            f"targets crashed while request {fingerprint} was in flight on them: "
            f"{crashes}; change the request before sending it again",
            retry_after_s=max(0.0, end_s - now_s),
        )

    async def isolate(self, request: ForwardedRequest, targets: tuple[str, ...]) -> str:
        """Return one of the targets on which no other suspect runs, or ""."""
        fingerprint = request.compute_fingerprint()
        if not targets:
            return ""
        if self._client is None:
            return self.answer_isolation(IsolationRequest(fingerprint, targets)).target
        return await self._client.isolate(fingerprint, targets)

    def release(self, request: ForwardedRequest, target: str) -> None:
        """Release an isolated target, without waiting for the arbiter."""
        fingerprint = request.compute_fingerprint()
        if self._client is None:
            self.accept_release(IsolationRelease(fingerprint, target))
        else:
            self._spawn(self._client.release(fingerprint, target))

    def answer_isolation(self, request: IsolationRequest) -> IsolationAnswer:
        """Grant a target as the arbiter."""
        target = self._isolation.grant(
            request.fingerprint, request.targets, _now_s(), GRANT_TIMEOUT_S
        )
        return IsolationAnswer(target or "")

    def accept_release(self, release: IsolationRelease) -> None:
        """Release a target as the arbiter."""
        self._isolation.release(release.fingerprint, release.target)

    def accept_crash(self, crash: Crash) -> None:
        """Record a crash that a peer noticed."""
        self._record(crash, f"{crash.seen_by} reported the crash")

    def record_answer(self, request: ForwardedRequest) -> None:
        """Clear a request that a target answered completely."""
        if not self._history and not self._unsettled:
            return
        fingerprint = request.compute_fingerprint()
        self._unsettled = [
            run for run in self._unsettled if run.fingerprint != fingerprint
        ]
        crashes = self._history.list_crashes(fingerprint)
        if not crashes:
            return
        self._history.clear(fingerprint)
        self._timeline.record(
            "request_cleared",
            fingerprint,
            "a target answered the request",
            request=request.request_id,
            crashes=len(crashes),
        )
        self._spawn(self._delete([build_crash_key(crash) for crash in crashes]))

    def record_unsettled(self, run: LostRun) -> None:
        """Record a lost run, which is a crash if the target turns out to be gone."""
        self._unsettled = [*self._unsettled, run][-MAX_UNSETTLED:]

    async def record_lost_answer(self, run: LostRun, error: OutcomeUnknown) -> None:
        """Find out whether the target of a lost answer has crashed, and record it.

        A lost connection alone is no crash. If no node is certain now that the target
        has ended, a change in the list may still show it.
        """
        self._timeline.record(
            "answer_lost_at_target",
            run.request_id,
            str(error),
            target=run.target.name,
            incarnation=run.target.incarnation,
            fingerprint=run.fingerprint,
            isolated=run.is_isolated,
        )
        if self._is_leaving(run.target):
            return
        has_ended = False
        if isinstance(error, ConnectionBroken):
            try:
                has_ended = await self._target_client.has_ended(run.target)
            except asyncio.CancelledError:
                # The caller has left, but the request may have crashed the target.
                self.record_unsettled(run)
                raise
        if not has_ended:
            self.record_unsettled(run)
            return
        crash = self._build_crash(run)
        self._record(crash, "the target has ended after a lost answer")
        # All nodes learn of the crash, also if the caller leaves meanwhile.
        await asyncio.shield(self._spawn(self._share(crash)))

    def _settle_lost_runs(self) -> None:
        """Record the lost runs whose target has crashed, by its row in the list."""
        if not self._unsettled:
            return
        unsettled = []
        successors = self._targets.list_newest_by_address()
        for run in self._unsettled:
            if self._is_leaving(run.target):
                continue
            state = self._targets.get(run.target.name)
            successor = successors.get(run.target.address, run.target)
            if state is None:
                reason = "is no longer listed"
            elif state.target.incarnation != run.target.incarnation:
                reason = "has restarted"
            elif successor.incarnation > run.target.incarnation:
                reason = f"has been replaced by {successor.name} at its address"
            else:
                unsettled.append(run)
                continue
            crash = self._build_crash(run)
            if self._record(crash, f"the target {reason} after a lost answer"):
                self._spawn(self._share(crash))
        self._unsettled = unsettled

    def _expire_lost_runs(self) -> None:
        """Drop the lost runs whose target is still listed after UNSETTLED_S."""
        if not self._unsettled or not self._targets.is_list_current():
            return
        aged = [
            replace(run, listed_s=run.listed_s + UPKEEP_INTERVAL_S)
            for run in self._unsettled
        ]
        self._unsettled = [run for run in aged if run.listed_s < UNSETTLED_S]
        for run in aged:
            if run.listed_s >= UNSETTLED_S:
                self._timeline.record(
                    "lost_answer_settled",
                    run.request_id,
                    "the target is listed as before, so it has not crashed",
                    target=run.target.name,
                    incarnation=run.target.incarnation,
                    fingerprint=run.fingerprint,
                )

    def _is_leaving(self, target: Target) -> bool:
        state = self._targets.get(target.name)
        return (
            state is not None
            and state.target.incarnation == target.incarnation
            and state.record.is_leaving
        )

    def _build_crash(self, run: LostRun) -> Crash:
        return Crash(
            run.fingerprint,
            run.target.name,
            run.target.incarnation,
            run.is_isolated,
            self._vm,
            int(self._wall_s() * 1000),
        )

    def _record(self, crash: Crash, reason: str) -> bool:
        """Record a crash; return False if it was known."""
        # The clock of the process that noticed the crash may be ahead.
        at_s = min(crash.at_ms / 1000, self._wall_s())
        if not self._history.record_crash(crash, at_s):
            return False
        self._metrics.count("requests_suspected")
        status = self._history.classify(crash.fingerprint, self._wall_s())
        self._timeline.record(
            "request_suspected",
            crash.fingerprint,
            reason,
            target=crash.target,
            incarnation=crash.incarnation,
            isolated=crash.isolated,
            seen_by=crash.seen_by,
            age_ms=round((self._wall_s() - at_s) * 1000),
            crashes=len(self._history.list_crashes(crash.fingerprint)),
            status=status.value,
        )
        return True

    async def _share(self, crash: Crash) -> None:
        """Tell the live nodes of a crash and wait for them; store it meanwhile."""
        self._unstored.append(crash)
        if self._storing is None or self._storing.done():
            loop = asyncio.get_running_loop()
            self._storing = loop.create_task(self._store_crashes())
        if self._client is not None:
            await self._client.announce_crash(crash)

    def _apply_rows(self, changes: tuple[RowChange, ...]) -> None:
        crashes = []
        for change in changes:
            if change.value is None:
                self._forget_row(change.at)
                continue
            try:
                crashes.append(decode_crash(change.value))
            except InvalidInput as error:
                self._timeline.record("row_unreadable", change.at.key, str(error))
        # The history drops what was recorded first.
        for crash in sorted(crashes, key=lambda crash: crash.at_ms):
            self._record(crash, "the store holds the crash")

    def _forget_row(self, key: RowKey) -> None:
        fingerprint = key.key.partition("/")[0]
        for crash in self._history.list_crashes(fingerprint):
            if build_crash_key(crash) == key:
                self._history.forget(crash)

    async def _run_upkeep(self) -> None:
        """Store the crashes whose write failed, and delete old ones.

        The owner of a request's fingerprint does so, as the node that noticed a crash
        may be gone.
        """
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            self._expire_lost_runs()
            if self._fleet is None or self._watch is None:
                continue
            names = [record.vm for record in self._fleet.list_live_nodes()]
            rows = self._watch.rows
            missing = [
                crash
                for crash in self._history.list_all()
                if build_crash_key(crash) not in rows
            ]
            obsolete = [key for key in list(rows) if self._is_obsolete(key)]
            await self._write(
                [
                    crash
                    for crash in missing[:MAX_UPKEEP_ROWS]
                    if find_owner(names, crash.fingerprint) == self._vm
                ]
            )
            await self._delete(
                [
                    key
                    for key in obsolete[:MAX_UPKEEP_ROWS]
                    if find_owner(names, key.key.partition("/")[0]) == self._vm
                ]
            )

    def _is_obsolete(self, key: RowKey) -> bool:
        """Return whether a row's crash is too old, was cleared or was dropped."""
        fingerprint = key.key.partition("/")[0]
        known = map(build_crash_key, self._history.list_crashes(fingerprint))
        status = self._history.classify(fingerprint, self._wall_s())
        return key not in known or status is QuarantineStatus.CLEAR

    async def _store_crashes(self) -> None:
        """Store the noticed crashes, those of one crash of a target together."""
        while self._unstored:
            crashes, self._unstored = self._unstored, []
            await self._write(crashes)

    async def _write(self, crashes: list[Crash]) -> None:
        if self._store is None or not crashes:
            return
        try:
            await write_crashes(self._store, crashes)
        except RowStoreError as error:
            self._timeline.record("crash_not_stored", self._vm, str(error))

    async def _delete(self, keys: list[RowKey]) -> None:
        if self._store is None or not keys:
            return
        try:
            await delete_crashes(self._store, keys)
        except RowStoreError as error:
            self._timeline.record("crash_not_deleted", self._vm, str(error))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = [
    "RULES",
    "UNSETTLED_S",
    "UPKEEP_INTERVAL_S",
    "LostRun",
    "RequestQuarantine",
]
