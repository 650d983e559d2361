"""Checkers of the guarantees; they use only what callers and workers observed."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterator

from tests.soak.callers import NOT_RUN_STATUSES
from tests.soak.history import (
    ALL_NODES,
    CUT_KIND,
    NEVER_S,
    Arrival,
    History,
    ObservedJob,
    ObservedResult,
    Run,
)
from tests.soak.responses import (
    build_plain_body,
    build_stamp,
    count_events,
    is_complete_text,
    parse_software,
    parse_versions,
)
from tests.soak.workers import CRASHING_PREFIX

# The values of drainMs, cancelMs, settleMs and stableWindowMs in the platform settings,
# in this order.
DRAIN_S = 2.0
CANCEL_S = 3.0
SETTLE_S = 1.0
STABLE_WINDOW_S = 3.0
# A node that is stopped must answer every request from its SIGTERM until a second after
# its grace period. A lost connection is no violation if it was lost within this time
# after the SIGTERM, or within this time after a request was sent on it that reached no
# worker.
CLOSE_RACE_S = 0.2
# From STABLE_WINDOW_S after a worker first named a limit, it may get this many times
# what the limit allows in LIMIT_WINDOW_S, and LIMIT_SLACK requests more.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A node has to keep a limit from this time after it passed on a response that names it.
LIMIT_NOTICE_S = 0.5
# A request that has crashed its workers this often may reach them a few times more from
# STABLE_WINDOW_S after the last of these crashes.
ALLOWED_CRASHES = 3
ALLOWED_RETRIES = 3
# First tries that may fail at nodes that are cut off, besides one in fifty of all.
ALLOWED_CUT_FAILURES = 10
RESTART_KINDS = ("kill", "pause", "stop")
PLANNED_KINDS = ("stop", "hang_up", "configuration")
# maxAttempts of the routes: the node gives an item up after this many responses with
# status 500.
MAX_ATTEMPTS = 3

Violation = str
Checker = Callable[[History], Iterator[Violation]]


def check_responses_are_complete(history: History) -> Iterator[Violation]:
    """Check that each 2xx response is the complete one of a worker to that request."""
    for call in history.calls:
        if not 200 <= call.status < 300:
            continue
        if call.stamp != build_stamp(call.request_id, call.body):
            yield f"{call.request_id} at {call.node}: stamp of another request"
        if call.answer != build_plain_body(call.request_id, call.body):
            yield f"{call.request_id} at {call.node}: body is not its complete response"


def check_streams_are_in_order(history: History) -> Iterator[Violation]:
    """Check that a stream has each event once and in order, and ends only after all."""
    for stream in history.streams:
        if stream.status != 200:
            continue
        blocks = stream.text.decode().split("\n\n")
        complete, rest = blocks[:-1], blocks[-1]
        where = f"stream {stream.request_id} at {stream.node}"
        for number, block in enumerate(complete):
            if f"data: {stream.request_id}/{number}/" not in block:
                yield f"{where}: event {number} is {block!r}"
                break
        expected = count_events(stream.request_id)
        if stream.is_ended and (len(complete) != expected or rest):
            yield f"{where}: ended after {len(complete)} of {expected} events"


def check_texts_have_one_software_version(history: History) -> Iterator[Violation]:
    """Check that no text has events of workers of two software versions."""
    for stream in history.streams:
        software = parse_software(stream.text.decode())
        if stream.status == 200 and len(software) > 1:
            yield f"stream {stream.request_id} at {stream.node}: from {software}"
    for job in history.jobs.values():
        for result in _list_distinct_results(job):
            software = parse_software(result.text)
            if len(software) > 1:
                yield f"item {result.item_id} of job {job.job_id}: from {software}"


def check_requests_arrive_unchanged(history: History) -> Iterator[Violation]:
    """Check that requests reach workers with the path and body that callers sent."""
    sent_requests = {call.request_id: (call.path, call.body) for call in history.calls}
    for job in history.jobs.values():
        for item_id, body in job.items.items():
            sent_requests[item_id] = (f"/jobs/{item_id}", body)
    for score_id, body in history.scores.items():
        sent_requests[score_id] = ("/score/x", body)
    for run in history.runs:
        # A call that is still in flight when its client stops is not in the history.
        sent = sent_requests.get(run.request_id)
        if sent is not None and sent != (run.path, run.body):
            yield f"{run.request_id} reached {run.worker} with another path or body"


def check_non_idempotent_requests_run_once(history: History) -> Iterator[Violation]:
    """Check that each request to the non-idempotent route runs at most once."""
    counts: dict[str, int] = defaultdict(int)
    for run in history.runs:
        if run.path.startswith("/once/"):
            counts[run.request_id] += 1
    for request_id, count in counts.items():
        if count > 1:
            yield f"{request_id} ran {count} times"


def check_refused_requests_do_not_run(history: History) -> Iterator[Violation]:
    """Check that no request ran whose caller was told that it did not run."""
    run_ids = {run.request_id for run in history.runs}
    for call in history.calls:
        if (
            call.status in NOT_RUN_STATUSES
            and not call.is_idempotent
            and call.request_id in run_ids
        ):
            yield f"{call.request_id} was answered {call.status} but ran"
    for job in history.jobs.values():
        is_refused = job.statuses and all(s in NOT_RUN_STATUSES for s in job.statuses)
        if is_refused and run_ids & job.items.keys():
            yield f"job {job.job_id} was refused but some of its items ran"


def check_results_never_change(history: History) -> Iterator[Violation]:
    """Check that each position of a job keeps its result and has an item of its own."""
    for job in history.jobs.values():
        by_position: dict[int, ObservedResult] = {}
        for read in job.reads:
            if read.status != 200:
                continue
            if read.total != len(job.items):
                yield f"job {job.job_id}: total {read.total} at {read.node}"
            for position, result in enumerate(read.results, read.after):
                if by_position.setdefault(position, result) != result:
                    yield f"job {job.job_id}: the result at position {position} changed"
        items = [result.item_id for result in by_position.values()]
        if len(items) != len(set(items)):
            yield f"job {job.job_id}: an item has two positions"
        if set(items) - job.items.keys():
            yield f"job {job.job_id}: it lists an item that is not its own"


def check_results_are_correct(history: History) -> Iterator[Violation]:
    """Check the text, the versions and the score of each completed result.

    An item of a job that nobody asked to end may lack a result only after MAX_ATTEMPTS
    responses with status 500.
    """
    failures: dict[str, int] = defaultdict(int)
    for run in history.runs:
        failures[run.request_id] += run.is_answered_500
    for job in history.jobs.values():
        for result in _list_distinct_results(job):
            where = f"job {job.job_id}, item {result.item_id}"
            if result.state == "completed":
                yield from _check_completed(history, job, result, where)
            elif job.end_sent_s == NEVER_S and (
                failures[result.item_id] < MAX_ATTEMPTS
                and failures[f"{result.item_id}s"] < MAX_ATTEMPTS
            ):
                yield f"{where}: given up after fewer than {MAX_ATTEMPTS} failures"


def check_scores_follow_complete_texts(history: History) -> Iterator[Violation]:
    """Check that a score call starts only after its item's text is complete."""
    completed_s: dict[str, float] = {}
    for run in history.runs:
        if run.is_complete and run.path.startswith("/jobs/"):
            first_s = completed_s.get(run.request_id, NEVER_S)
            completed_s[run.request_id] = min(first_s, run.ended_s)
    for run in history.runs:
        if run.path.startswith("/score/"):
            item_id = run.request_id.removesuffix("s")
            if run.started_s < completed_s.get(item_id, NEVER_S):
                yield f"item {item_id} was scored before its text was complete"


def check_accepted_jobs_are_kept(history: History) -> Iterator[Violation]:
    """Check that nodes know an accepted job and that all its results can be read.

    A node may answer 404 or 410 until SETTLE_S after the job was accepted.
    """
    for job in history.jobs.values():
        if job.accepted_s == NEVER_S:
            continue
        for read in job.reads:
            if read.status in (404, 410) and read.at_s > job.accepted_s + SETTLE_S:
                yield f"job {job.job_id}: {read.node} answered {read.status}"
        if not job.reads or job.reads[-1].status != 200:
            yield f"job {job.job_id}: cannot be read at the end"
        elif job.end_sent_s == NEVER_S and not job.is_fully_read:
            yield f"job {job.job_id}: not all results were read at the end"
        for item_id, status, body in job.bodies:
            if status == 200 and body != job.items[item_id]:
                yield f"job {job.job_id}: body of {item_id} differs from the one sent"


def check_ended_jobs_send_no_items(history: History) -> Iterator[Violation]:
    """Check that items reach no worker later than CANCEL_S after their job ended.

    Items that a disruption may have delayed are not checked.
    """
    for job in history.jobs.values():
        for run in history.runs:
            late_s = run.received_s - job.ended_s
            if run.request_id in job.items and late_s > CANCEL_S:
                is_undisturbed = history.is_undisturbed(
                    job.ended_s, run.received_s, STABLE_WINDOW_S
                )
                if is_undisturbed:
                    yield (
                        f"{run.request_id} reached {run.worker} {late_s:.1f} s after "
                        "its job ended"
                    )


def check_leaving_targets_get_no_requests(history: History) -> Iterator[Violation]:
    """Check that a worker gets no request later than DRAIN_S after it began to leave.

    Requests that a disruption of something else may have affected are not checked.
    """
    for run in history.runs:
        leaving_s = history.leaving_since_s.get(run.worker, NEVER_S)
        late_s = run.received_s - leaving_s
        others = [d for d in history.disruptions if d.affected != run.worker]
        is_undisturbed = not any(
            d.from_s <= run.received_s and d.until_s >= leaving_s - STABLE_WINDOW_S
            for d in others
        )
        if late_s > DRAIN_S and is_undisturbed:
            yield (
                f"{run.request_id} reached {run.worker} {late_s:.1f} s after it began "
                "to leave"
            )


def check_departing_targets_get_no_requests(history: History) -> Iterator[Violation]:
    """Check that nodes heed a worker's own word that it leaves.

    A request that a caller sent later than DRAIN_S after its node had passed on such a
    response must not reach the worker, unless the node was disturbed since.
    """
    calls = {call.request_id: call for call in history.calls}
    first_told_s: dict[tuple[str, str], float] = {}
    for run in history.runs:
        call = calls.get(run.request_id)
        said_s = history.said_leaving_s.get(run.worker, NEVER_S)
        # What a worker received before may be answered without the word.
        if call is not None and run.received_s >= said_s and call.status:
            key = (run.worker, call.node)
            first_told_s[key] = min(first_told_s.get(key, NEVER_S), call.ended_s)
    for run in history.runs:
        call = calls.get(run.request_id)
        if call is None:
            continue
        told_s = first_told_s.get((run.worker, call.node), NEVER_S)
        is_restarted = any(
            d.affected in (call.node, ALL_NODES)
            and d.kind in RESTART_KINDS
            and d.until_s >= told_s
            and d.from_s <= call.sent_s
            for d in history.disruptions
        )
        late_s = call.sent_s - told_s
        if late_s > DRAIN_S and not is_restarted:
            yield (
                f"{run.request_id} at {call.node} reached {run.worker} {late_s:.1f} s "
                "after the node had passed on that it leaves"
            )


def check_callers_of_cut_off_nodes_are_served(history: History) -> Iterator[Violation]:
    """Check that nodes without paths to the workers serve callers as others do."""
    cuts = [d for d in history.disruptions if d.kind == CUT_KIND]
    others = [d for d in history.disruptions if d.kind != CUT_KIND]
    outcomes: dict[bool, list[bool]] = {True: [], False: []}
    for call in history.calls:
        since_s = call.sent_s - STABLE_WINDOW_S
        is_disturbed = any(
            d.from_s <= call.ended_s and d.until_s >= since_s for d in others
        )
        active = [d for d in cuts if d.from_s <= since_s and d.until_s >= call.ended_s]
        if is_disturbed or not active:
            continue
        is_cut_off = any(d.affected == call.node for d in active)
        is_partly_cut_off = not is_cut_off and any(
            d.affected == call.node
            and d.from_s <= call.ended_s
            and d.until_s >= since_s
            for d in cuts
        )
        if not is_partly_cut_off:
            outcomes[is_cut_off].append(200 <= call.status < 300)
    cut_off, sound = outcomes[True], outcomes[False]
    if not cut_off or not sound:
        return
    failed = len(cut_off) - sum(cut_off)
    served_share, sound_share = sum(cut_off) / len(cut_off), sum(sound) / len(sound)
    allowed = ALLOWED_CUT_FAILURES + (len(cut_off) + len(sound)) / 50
    if failed > allowed and served_share < sound_share * 2 / 3:
        yield (
            f"nodes that were cut off served {sum(cut_off)} of {len(cut_off)} "
            f"requests, the others {sum(sound)} of {len(sound)}"
        )


def check_orders_are_fenced(history: History) -> Iterator[Violation]:
    """Check that a worker's fencing numbers never fall and that each has one holder."""
    highest: dict[str, int] = {}
    holders: dict[int, str] = {}
    for order in sorted(history.orders, key=lambda o: o.at_s):
        if order.fencing_number < highest.get(order.worker, 0):
            yield f"{order.worker}: fencing number fell to {order.fencing_number}"
        highest[order.worker] = order.fencing_number
        holder = holders.setdefault(order.fencing_number, order.holder)
        if holder != order.holder:
            yield (
                f"{holder} and {order.holder} share fencing number "
                f"{order.fencing_number}"
            )


def check_limits_are_kept(history: History) -> Iterator[Violation]:
    """Check that workers get no more requests than the limits that they name.

    A window is checked if the worker named a limit all the while; the highest one
    counts. After a kill of all nodes, none knows of the limit before the worker named
    it again: arrivals until LIMIT_NOTICE_S after the first one are not counted.
    """
    kills_s = [
        d.from_s
        for d in history.disruptions
        if (d.kind, d.affected) == ("kill", ALL_NODES)
    ]
    by_worker: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda a: a.at_s):
        by_worker[arrival.worker].append(arrival)
    for worker, arrivals in by_worker.items():
        yield from _check_limit(worker, _remove_unaware(arrivals, kills_s))


def _remove_unaware(arrivals: list[Arrival], kills_s: list[float]) -> list[Arrival]:
    """Return the arrivals without those that no node could know a limit for."""
    for kill_s in kills_s:
        first_s = min((a.at_s for a in arrivals if a.at_s >= kill_s), default=NEVER_S)
        until_s = first_s + LIMIT_NOTICE_S
        arrivals = [a for a in arrivals if not kill_s <= a.at_s < until_s]
    return arrivals


def _check_limit(worker: str, arrivals: list[Arrival]) -> Iterator[Violation]:
    named_s = NEVER_S
    window: deque[tuple[float, float]] = deque()
    for arrival in arrivals:
        if arrival.limit_per_s is None:
            named_s = NEVER_S
            window.clear()
            continue
        named_s = min(named_s, arrival.at_s)
        if arrival.at_s < named_s + STABLE_WINDOW_S:
            continue
        window.append((arrival.at_s, arrival.limit_per_s))
        while window[0][0] < arrival.at_s - LIMIT_WINDOW_S:
            window.popleft()
        limit_per_s = max(limit for _, limit in window)
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit_per_s + LIMIT_SLACK
        if len(window) > allowed:
            yield (
                f"{worker} named a limit of {limit_per_s} per second and got "
                f"{len(window)} requests in {LIMIT_WINDOW_S:.0f} s until "
                f"{arrival.at_s:.2f} s, {allowed:.0f} are allowed"
            )
            return


def check_crashing_requests_are_stopped(history: History) -> Iterator[Violation]:
    """Check that a request that crashes its workers is not sent to them for long."""
    runs_by_body: dict[bytes, list[Run]] = defaultdict(list)
    for run in history.runs:
        if run.body.startswith(CRASHING_PREFIX):
            runs_by_body[run.body].append(run)
    for runs in runs_by_body.values():
        ends_s = sorted(run.ended_s for run in runs if run.has_crashed_worker)
        if len(ends_s) < ALLOWED_CRASHES:
            continue
        from_s = ends_s[ALLOWED_CRASHES - 1] + STABLE_WINDOW_S
        late_count = sum(run.received_s > from_s for run in runs)
        if late_count > ALLOWED_RETRIES:
            yield (
                f"{runs[0].path}: sent to workers {late_count} times more after "
                f"{ALLOWED_CRASHES} crashes, which ended {len(ends_s)} workers in all"
            )


def check_sound_requests_are_not_quarantined(history: History) -> Iterator[Violation]:
    """Check that no request is refused as one that crashes its workers by mistake."""
    for call in history.calls:
        if b'"quarantined"' in call.answer:
            yield f"{call.request_id} at {call.node}: {call.answer!r}"


def check_planned_stops_lose_no_requests(history: History) -> Iterator[Violation]:
    """Check that a planned stop without other faults leaves no request unanswered.

    A request is not checked if it reached no worker and its connection was lost within
    CLOSE_RACE_S after it was sent: the stopping node may have closed the connection
    just before the request arrived.
    """
    ids_at_workers = {run.request_id for run in history.runs}
    unplanned = [d for d in history.disruptions if d.kind not in PLANNED_KINDS]
    stops = [d for d in history.disruptions if d.kind == "stop"]
    for call in history.calls:
        is_close_race = call.ended_s - call.sent_s <= CLOSE_RACE_S
        if not call.is_connection_lost or (
            is_close_race and call.request_id not in ids_at_workers
        ):
            continue
        is_planned = any(
            stop.affected == call.node
            and stop.from_s + CLOSE_RACE_S < call.ended_s <= stop.until_s
            for stop in stops
        )
        is_disturbed = any(
            d.from_s <= call.ended_s and d.until_s >= call.sent_s - STABLE_WINDOW_S
            for d in unplanned
        )
        if is_planned and not is_disturbed:
            yield f"{call.request_id}: connection lost in planned stop of {call.node}"


def check_nodes_keep_running(history: History) -> Iterator[Violation]:
    """Check that no node exits by itself and all are ready after the last fault."""
    for name in history.unexpected_exits:
        yield f"{name} ended by itself"
    for name in history.unready_nodes:
        yield f"{name} was not ready in time after the last fault ended"


CHECKERS: tuple[Checker, ...] = (
    check_responses_are_complete,
    check_streams_are_in_order,
    check_texts_have_one_software_version,
    check_requests_arrive_unchanged,
    check_non_idempotent_requests_run_once,
    check_refused_requests_do_not_run,
    check_results_never_change,
    check_results_are_correct,
    check_scores_follow_complete_texts,
    check_accepted_jobs_are_kept,
    check_ended_jobs_send_no_items,
    check_leaving_targets_get_no_requests,
    check_departing_targets_get_no_requests,
    check_callers_of_cut_off_nodes_are_served,
    check_orders_are_fenced,
    check_limits_are_kept,
    check_crashing_requests_are_stopped,
    check_sound_requests_are_not_quarantined,
    check_planned_stops_lose_no_requests,
    check_nodes_keep_running,
)


def find_violations(history: History) -> list[Violation]:
    """Return a line for each violation that starts with the name of its checker."""
    return [
        f"{checker.__name__}: {violation}"
        for checker in CHECKERS
        for violation in checker(history)
    ]


def _list_distinct_results(job: ObservedJob) -> dict[ObservedResult, None]:
    return dict.fromkeys(result for read in job.reads for result in read.results)


def _check_completed(
    history: History, job: ObservedJob, result: ObservedResult, where: str
) -> Iterator[Violation]:
    if not is_complete_text(result.item_id, result.text):
        yield f"{where}: the text is incomplete or out of order"
        return
    versions = parse_versions(result.text)
    if list(result.versions) != versions:
        yield f"{where}: it reports versions {result.versions}, its text {versions}"
    if versions[0] < job.min_version:
        yield f"{where}: version {versions[0]} is below minimum {job.min_version}"
    score_id = f"{result.item_id}s"
    if result.score != build_stamp(score_id, history.scores[score_id]):
        yield f"{where}: the score is not that of this item"


__all__ = ["CHECKERS", "find_violations"]
