"""Each checker stays silent on a good run and fails on its own kind of harm."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.soak.checkers import CHECKERS, find_violations
from tests.soak.history import (
    Disruption,
    History,
    JobRead,
    ObservedJob,
    ObservedResult,
    ObservedStream,
    Order,
    PlainCall,
    Run,
)
from tests.soak.responses import (
    build_event,
    build_plain_body,
    build_stamp,
    count_events,
)

ITEM = "a1"
TEXT = "\n".join(build_event(ITEM, n, 2) for n in range(count_events(ITEM)))
GOOD_RESULT = ObservedResult(
    ITEM, "completed", TEXT, (2,), build_stamp(f"{ITEM}s", b"score")
)
CALL = PlainCall(
    request_id="r1",
    node="n1",
    path="/once/x",
    body=b"body",
    is_idempotent=False,
    sent_s=10.0,
    ended_s=10.1,
    status=200,
    answer=build_plain_body("r1", b"body"),
    stamp=build_stamp("r1", b"body"),
)


STREAM = b"".join(
    f"id: {n}\ndata: {build_event('t1', n, 2)}\n\n".encode()
    for n in range(count_events("t1"))
)


@pytest.fixture
def history():
    job = ObservedJob(
        "j1", {ITEM: b"item"}, 1, [202], accepted_s=1.0, is_fully_read=True
    )
    job.reads.append(JobRead("n1", 5.0, 200, 0, 1, (GOOD_RESULT,)))
    return History(
        runs=[
            Run("e1", ITEM, f"/jobs/{ITEM}", b"item", 1.9, 2.0, 3.0, is_complete=True),
            Run(
                "d1", f"{ITEM}s", "/score/x", b"score", 3.1, 3.1, 3.2, is_complete=True
            ),
            Run("d1", "r1", "/once/x", b"body", 10.0, 10.0, 10.1, is_complete=True),
        ],
        orders=[Order("e1/1", "n1", 4, 1.0), Order("e1/1", "n2", 5, 2.0)],
        calls=[CALL],
        streams=[ObservedStream("t1", "n1", 200, STREAM, is_ended=True)],
        jobs={"j1": job},
        scores={f"{ITEM}s": b"score"},
    )


def read_again(history, **changes):
    result = replace(GOOD_RESULT, **changes)
    history.jobs["j1"].reads[0] = JobRead("n1", 5.0, 200, 0, 1, (result,))


def call_again(history, **changes):
    history.calls[0] = replace(CALL, **changes)


def change_answer(history):
    call_again(history, answer=CALL.answer[:-1])


def lose_stamp(history):
    call_again(history, stamp="")


def stream_again(history, **changes):
    history.streams[0] = replace(history.streams[0], **changes)


def end_a_stream_early(history):
    stream_again(history, text=STREAM.rpartition(b"id: ")[0])


def skip_an_event(history):
    stream_again(history, text=STREAM.partition(b"\n\n")[2], is_ended=False)


def join_pieces(history):
    stream_again(history, text=STREAM[:30] + STREAM, is_ended=False)


def change_body(history):
    history.runs[2].body = b"other"


def run_twice(history):
    history.runs.append(history.runs[2])


def refuse_what_ran(history):
    call_again(history, status=503)


def refuse_job_that_ran(history):
    history.jobs["j1"].statuses = [503, 503]


def change_a_position(history):
    other = replace(GOOD_RESULT, state="terminated")
    history.jobs["j1"].reads.append(JobRead("n2", 6.0, 200, 0, 1, (other,)))


def list_twice(history):
    history.jobs["j1"].reads.append(JobRead("n2", 6.0, 200, 1, 1, (GOOD_RESULT,)))


def tell_a_wrong_total(history):
    history.jobs["j1"].reads.append(JobRead("n2", 6.0, 200, 1, 7, ()))


def drop_an_event(history):
    read_again(history, text=TEXT.partition("\n")[2])


def tell_a_wrong_version(history):
    read_again(history, versions=(3,))


def use_an_old_version(history):
    history.jobs["j1"].min_version = 3


def tell_a_wrong_score(history):
    read_again(history, score="x")


def give_up(history):
    read_again(history, state="terminated")


def score_early(history):
    history.runs[1].started_s = 2.5


def forget_a_job(history):
    history.jobs["j1"].reads.insert(0, JobRead("n2", 4.0, 404))


def leave_a_job_unread(history):
    history.jobs["j1"].is_fully_read = False


def return_another_body(history):
    history.jobs["j1"].bodies.append((ITEM, 200, b"other"))


def run_after_the_end(history):
    history.jobs["j1"].ended_s = -2.0


def send_to_a_leaving_worker(history):
    history.leaving_since_s["e1"] = -0.5


def lower_a_fence(history):
    history.orders.append(Order("e1/1", "n1", 4, 3.0))


def share_a_fence(history):
    history.orders.append(Order("e1/1", "n3", 5, 3.0))


def cut_at_a_stop(history):
    history.disruptions.append(Disruption("stop", "n1", 9.0, 18.0))
    call_again(history, status=0, is_connection_lost=True)


def cut_late_at_a_stop(history):
    history.disruptions.append(Disruption("stop", "n1", 9.0, 18.0))
    history.runs.pop()
    call_again(history, status=0, is_connection_lost=True, ended_s=CALL.sent_s + 0.3)


def end_by_itself(history):
    history.unexpected_exits.append("n1")


def stay_unready(history):
    history.unready_nodes.append("n1")


HARM = {
    change_answer: "check_answers_are_whole",
    lose_stamp: "check_answers_are_whole",
    end_a_stream_early: "check_streams_are_in_order",
    skip_an_event: "check_streams_are_in_order",
    join_pieces: "check_streams_are_in_order",
    change_body: "check_runs_are_asked",
    run_twice: "check_runs_once",
    refuse_what_ran: "check_refusals_are_true",
    refuse_job_that_ran: "check_refusals_are_true",
    change_a_position: "check_results_stay",
    list_twice: "check_results_stay",
    tell_a_wrong_total: "check_results_stay",
    drop_an_event: "check_results_are_true",
    tell_a_wrong_version: "check_results_are_true",
    use_an_old_version: "check_results_are_true",
    tell_a_wrong_score: "check_results_are_true",
    give_up: "check_results_are_true",
    score_early: "check_scores_come_last",
    forget_a_job: "check_accepted_is_kept",
    leave_a_job_unread: "check_accepted_is_kept",
    return_another_body: "check_accepted_is_kept",
    run_after_the_end: "check_ended_jobs_rest",
    send_to_a_leaving_worker: "check_leaving_targets_rest",
    lower_a_fence: "check_orders_are_fenced",
    share_a_fence: "check_orders_are_fenced",
    cut_at_a_stop: "check_planned_stops_cut_nothing",
    cut_late_at_a_stop: "check_planned_stops_cut_nothing",
    end_by_itself: "check_processes_live",
    stay_unready: "check_processes_live",
}


def test_a_good_run_has_no_violation(history):
    assert find_violations(history) == []


def test_request_that_crosses_a_close_is_no_violation(history):
    """Soak seed 27: no node has a line of the request, and no worker saw it."""
    history.disruptions.append(Disruption("stop", "n1", 9.0, 18.0))
    history.runs.pop()
    call_again(history, status=0, is_connection_lost=True)
    assert find_violations(history) == []


@pytest.mark.parametrize("harm", HARM, ids=lambda harm: harm.__name__)
def test_harm_is_found(history, harm):
    harm(history)
    found = {violation.partition(":")[0] for violation in find_violations(history)}
    assert HARM[harm] in found


def test_every_checker_is_shown_to_fail():
    assert {checker.__name__ for checker in CHECKERS} == set(HARM.values())
