"""The promises of the users' pages, checked from what the outside saw."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from tests.soak.callers import NOT_RUN_STATUSES
from tests.soak.history import NEVER_S, History, ObservedJob, ObservedResult
from tests.soak.responses import (
    build_plain_body,
    build_stamp,
    count_events,
    is_complete_text,
    parse_versions,
)

# Figures of the platform's settings: drainMs, cancelMs, settleMs, stableWindowMs.
DRAIN_S = 2.0
CANCEL_S = 3.0
SETTLE_S = 1.0
STABLE_WINDOW_S = 3.0
# A planned stop may cut nothing from its signal until a second after its grace.
CLOSE_RACE_S = 0.2
PLANNED_KINDS = ("stop", "hang_up", "configuration")
# Three answers of 500 end an item's right to a result, as its route says.
MAX_ATTEMPTS = 3

Violation = str
Checker = Callable[[History], Iterator[Violation]]


def check_answers_are_whole(history: History) -> Iterator[Violation]:
    """A success is the worker's whole answer to that very request."""
    for call in history.calls:
        if not 200 <= call.status < 300:
            continue
        if call.stamp != build_stamp(call.request_id, call.body):
            yield f"{call.request_id} at {call.node}: wrong stamp"
        if call.answer != build_plain_body(call.request_id, call.body):
            yield f"{call.request_id} at {call.node}: not its own whole answer"


def check_streams_are_in_order(history: History) -> Iterator[Violation]:
    """A stream has each event once and in order, and ends only when it is whole."""
    for stream in history.streams:
        if stream.status != 200:
            continue
        blocks = stream.text.decode().split("\n\n")
        whole, rest = blocks[:-1], blocks[-1]
        where = f"stream {stream.request_id} at {stream.node}"
        for number, block in enumerate(whole):
            if f"data: {stream.request_id}/{number}/" not in block:
                yield f"{where}: event {number} is {block!r}"
                break
        wanted = count_events(stream.request_id)
        if stream.is_ended and (len(whole) != wanted or rest):
            yield f"{where}: ended after {len(whole)} of {wanted} events"


def check_runs_are_asked(history: History) -> Iterator[Violation]:
    """A worker runs only what callers sent, with the same path and body."""
    asked = {call.request_id: (call.path, call.body) for call in history.calls}
    for job in history.jobs.values():
        for item_id, body in job.items.items():
            asked[item_id] = (f"/jobs/{item_id}", body)
    for score_id, body in history.scores.items():
        asked[score_id] = ("/score/x", body)
    for run in history.runs:
        # A call still in flight at the end is in no list of ended calls.
        sent = asked.get(run.request_id)
        if sent is not None and sent != (run.path, run.body):
            yield f"{run.request_id} reached {run.worker} changed"


def check_runs_once(history: History) -> Iterator[Violation]:
    """What is not idempotent runs at most once."""
    counts: dict[str, int] = defaultdict(int)
    for run in history.runs:
        if run.path.startswith("/once/"):
            counts[run.request_id] += 1
    for request_id, count in counts.items():
        if count > 1:
            yield f"{request_id} ran {count} times"


def check_refusals_are_true(history: History) -> Iterator[Violation]:
    """Whoever was told "not run" finds that nothing ran."""
    ran = {run.request_id for run in history.runs}
    for call in history.calls:
        if (
            call.status in NOT_RUN_STATUSES
            and not call.is_idempotent
            and call.request_id in ran
        ):
            yield f"{call.request_id} was answered {call.status} and ran"
    for job in history.jobs.values():
        is_refused = job.statuses and all(s in NOT_RUN_STATUSES for s in job.statuses)
        if is_refused and ran & job.items.keys():
            yield f"job {job.job_id} was refused and items of it ran"


def check_results_stay(history: History) -> Iterator[Violation]:
    """A position keeps its result, and each item stands at one position."""
    for job in history.jobs.values():
        seen: dict[int, ObservedResult] = {}
        for read in job.reads:
            if read.status != 200:
                continue
            if read.total != len(job.items):
                yield f"job {job.job_id}: total {read.total} at {read.node}"
            for position, result in enumerate(read.results, read.after):
                if seen.setdefault(position, result) != result:
                    yield f"job {job.job_id}: position {position} changed"
        items = [result.item_id for result in seen.values()]
        if len(items) != len(set(items)):
            yield f"job {job.job_id}: an item stands at two positions"
        if set(items) - job.items.keys():
            yield f"job {job.job_id}: an item of another job"


def check_results_are_true(history: History) -> Iterator[Violation]:
    """A completed result has its item's whole text, true versions, a true score."""
    failures: dict[str, int] = defaultdict(int)
    for run in history.runs:
        failures[run.request_id] += run.is_answered_500
    for job in history.jobs.values():
        for result in _results(job):
            where = f"job {job.job_id}, item {result.item_id}"
            if result.state == "completed":
                yield from _check_completed(history, job, result, where)
            elif job.ended_s == NEVER_S and (
                failures[result.item_id] < MAX_ATTEMPTS
                and failures[f"{result.item_id}s"] < MAX_ATTEMPTS
            ):
                yield f"{where}: given up without a cause"


def check_scores_come_last(history: History) -> Iterator[Violation]:
    """A score call reaches its worker after the text was whole."""
    whole: dict[str, float] = {}
    for run in history.runs:
        if run.is_complete and run.path.startswith("/jobs/"):
            first = whole.get(run.request_id, NEVER_S)
            whole[run.request_id] = min(first, run.ended_s)
    for run in history.runs:
        if run.path.startswith("/score/"):
            item_id = run.request_id.removesuffix("s")
            if run.started_s < whole.get(item_id, NEVER_S):
                yield f"item {item_id} was scored before its text was whole"


def check_accepted_is_kept(history: History) -> Iterator[Violation]:
    """An accepted job is never unknown, and at the end it is whole."""
    for job in history.jobs.values():
        if job.accepted_s == NEVER_S:
            continue
        for read in job.reads:
            if read.status in (404, 410) and read.at_s > job.accepted_s + SETTLE_S:
                yield f"job {job.job_id}: {read.node} answered {read.status}"
        if not job.reads or job.reads[-1].status != 200:
            yield f"job {job.job_id}: cannot be read at the end"
        elif job.ended_s == NEVER_S and not job.is_fully_read:
            yield f"job {job.job_id}: not whole at the end"
        for item_id, status, body in job.bodies:
            if status == 200 and body != job.items[item_id]:
                yield f"job {job.job_id}: the body of {item_id} changed"


def check_ended_jobs_rest(history: History) -> Iterator[Violation]:
    """No item reaches a worker once the end of its job was confirmed."""
    for job in history.jobs.values():
        for run in history.runs:
            late_s = run.received_s - job.ended_s
            if run.request_id in job.items and late_s > CANCEL_S:
                is_undisturbed = history.is_undisturbed(
                    job.ended_s, run.received_s, STABLE_WINDOW_S
                )
                if is_undisturbed:
                    yield f"{run.request_id} ran {late_s:.1f} s after the end"


def check_leaving_targets_rest(history: History) -> Iterator[Violation]:
    """A worker that leaves gets nothing new after its time, while all is calm."""
    for run in history.runs:
        left_s = history.leaving_since_s.get(run.worker, NEVER_S)
        late_s = run.received_s - left_s
        others = [d for d in history.disruptions if d.affected != run.worker]
        is_undisturbed = not any(
            d.from_s <= run.received_s and d.until_s >= left_s - STABLE_WINDOW_S
            for d in others
        )
        if late_s > DRAIN_S and is_undisturbed:
            yield f"{run.request_id} reached leaving {run.worker} {late_s:.1f} s late"


def check_orders_are_fenced(history: History) -> Iterator[Violation]:
    """A worker sees fencing numbers that never fall, each of one holder."""
    highest: dict[str, int] = {}
    holders: dict[int, str] = {}
    for order in sorted(history.orders, key=lambda o: o.at_s):
        if order.fencing_number < highest.get(order.worker, 0):
            yield f"{order.worker}: fencing number {order.fencing_number} fell"
        highest[order.worker] = order.fencing_number
        holder = holders.setdefault(order.fencing_number, order.holder)
        if holder != order.holder:
            yield f"{holder} and {order.holder} share {order.fencing_number}"


def check_planned_stops_cut_nothing(history: History) -> Iterator[Violation]:
    """A stop that is the only disruption ends no connection without an answer.

    A request that crosses the close and reaches no worker does not count.
    """
    passed_on = {run.request_id for run in history.runs}
    unplanned = [d for d in history.disruptions if d.kind not in PLANNED_KINDS]
    stops = [d for d in history.disruptions if d.kind == "stop"]
    for call in history.calls:
        crossed = call.ended_s - call.sent_s <= CLOSE_RACE_S
        if not call.is_connection_lost or (
            crossed and call.request_id not in passed_on
        ):
            continue
        is_planned = any(
            stop.affected == call.node
            and stop.from_s + CLOSE_RACE_S < call.ended_s <= stop.until_s
            for stop in stops
        )
        harmed = any(
            d.from_s <= call.ended_s and d.until_s >= call.sent_s - STABLE_WINDOW_S
            for d in unplanned
        )
        if is_planned and not harmed:
            yield f"{call.request_id}: cut by the stop of {call.node}"


def check_processes_live(history: History) -> Iterator[Violation]:
    """No process ends by itself, and all serve again once everything is healed."""
    for name in history.unexpected_exits:
        yield f"{name} ended by itself"
    for name in history.unready_nodes:
        yield f"{name} was not ready in time after everything was healed"


CHECKERS: tuple[Checker, ...] = (
    check_answers_are_whole,
    check_streams_are_in_order,
    check_runs_are_asked,
    check_runs_once,
    check_refusals_are_true,
    check_results_stay,
    check_results_are_true,
    check_scores_come_last,
    check_accepted_is_kept,
    check_ended_jobs_rest,
    check_leaving_targets_rest,
    check_orders_are_fenced,
    check_planned_stops_cut_nothing,
    check_processes_live,
)


def find_violations(history: History) -> list[Violation]:
    """Returns a line for each broken promise."""
    return [
        f"{checker.__name__}: {violation}"
        for checker in CHECKERS
        for violation in checker(history)
    ]


def _results(job: ObservedJob) -> dict[ObservedResult, None]:
    return dict.fromkeys(result for read in job.reads for result in read.results)


def _check_completed(
    history: History, job: ObservedJob, result: ObservedResult, where: str
) -> Iterator[Violation]:
    if not is_complete_text(result.item_id, result.text):
        yield f"{where}: not its whole text"
        return
    versions = parse_versions(result.text)
    if list(result.versions) != versions:
        yield f"{where}: says {result.versions}, made by {versions}"
    if versions[0] < job.min_version:
        yield f"{where}: version {versions[0]} is below {job.min_version}"
    score_id = f"{result.item_id}s"
    if result.score != build_stamp(score_id, history.scores[score_id]):
        yield f"{where}: wrong score"


__all__ = ["CHECKERS", "find_violations"]
