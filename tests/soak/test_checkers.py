"""Each checker accepts a correct history and reports its own kind of violation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.soak.checkers import CHECKERS, find_violations
from tests.soak.history import (
    ALL_NODES,
    CUT_KIND,
    Arrival,
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
from tests.soak.workers import CRASHING_PREFIX

ITEM = "a1"
CRASHING_BODY = CRASHING_PREFIX + b"1"
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


def replace_result(history, **changes):
    result = replace(GOOD_RESULT, **changes)
    history.jobs["j1"].reads[0] = JobRead("n1", 5.0, 200, 0, 1, (result,))


def replace_call(history, **changes):
    history.calls[0] = replace(CALL, **changes)


def truncate_response(history):
    replace_call(history, answer=CALL.answer[:-1])


def remove_stamp(history):
    replace_call(history, stamp="")


def replace_stream(history, **changes):
    history.streams[0] = replace(history.streams[0], **changes)


def end_stream_early(history):
    replace_stream(history, text=STREAM.rpartition(b"id: ")[0])


def skip_stream_event(history):
    replace_stream(history, text=STREAM.partition(b"\n\n")[2], is_ended=False)


def repeat_stream_part(history):
    replace_stream(history, text=STREAM[:30] + STREAM, is_ended=False)


def change_software_in_stream(history):
    first, _, rest = STREAM.partition(b"/a/")
    replace_stream(history, text=first + b"/b/" + rest)


def change_software_in_result(history):
    replace_result(history, text=TEXT.replace("/0/a/", "/0/b/"))


def change_request_body(history):
    history.runs[2].body = b"other"


def run_call_twice(history):
    history.runs.append(history.runs[2])


def refuse_call_that_ran(history):
    replace_call(history, status=503)


def refuse_job_that_ran(history):
    history.jobs["j1"].statuses = [503, 503]


def change_listed_result(history):
    other = replace(GOOD_RESULT, state="terminated")
    history.jobs["j1"].reads.append(JobRead("n2", 6.0, 200, 0, 1, (other,)))


def list_item_twice(history):
    history.jobs["j1"].reads.append(JobRead("n2", 6.0, 200, 1, 1, (GOOD_RESULT,)))


def report_wrong_total(history):
    history.jobs["j1"].reads.append(JobRead("n2", 6.0, 200, 1, 7, ()))


def drop_result_event(history):
    replace_result(history, text=TEXT.partition("\n")[2])


def report_wrong_version(history):
    replace_result(history, versions=(3,))


def use_version_below_minimum(history):
    history.jobs["j1"].min_version = 3


def report_wrong_score(history):
    replace_result(history, score="x")


def give_up_item(history):
    replace_result(history, state="terminated")


def score_before_completion(history):
    history.runs[1].started_s = 2.5


def answer_job_unknown(history):
    history.jobs["j1"].reads.insert(0, JobRead("n2", 4.0, 404))


def leave_job_unread(history):
    history.jobs["j1"].is_fully_read = False


def return_other_item_body(history):
    history.jobs["j1"].bodies.append((ITEM, 200, b"other"))


def run_after_job_end(history):
    history.jobs["j1"].ended_s = -2.0


def send_to_leaving_worker(history):
    history.leaving_since_s["e1"] = -0.5


def send_to_departing_worker(history):
    """The node passed on at 10.1 s that the worker leaves."""
    history.said_leaving_s["d1"] = 9.0
    add_call(history, "r2", "n1", 12.5)


def refuse_at_cut_off_node(history):
    history.disruptions.append(Disruption(CUT_KIND, "n2", 20.0, 60.0))
    for number in range(15):
        add_call(history, f"s{number}", "n1", 30.0 + number)
        add_call(history, f"c{number}", "n2", 30.0 + number, status=503)


def add_call(history, request_id, node, sent_s, status=200):
    is_served = status == 200
    history.calls.append(
        replace(
            CALL,
            request_id=request_id,
            node=node,
            sent_s=sent_s,
            ended_s=sent_s + 0.1,
            status=status,
            answer=build_plain_body(request_id, b"body"),
            stamp=build_stamp(request_id, b"body"),
        )
    )
    if is_served:
        run = Run(
            "d1",
            request_id,
            "/once/x",
            b"body",
            sent_s,
            sent_s,
            sent_s,
            is_complete=True,
        )
        history.runs.append(run)


def lower_fencing_number(history):
    history.orders.append(Order("e1/1", "n1", 4, 3.0))


def exceed_limit(history):
    # Twelve requests in 4 s; a limit of 1 per second allows eleven.
    history.arrivals += [
        Arrival("d1/1", 10.0 + at_s, "/v1/report", 1.0)
        for at_s in (0.0, *(3.0 + n / 3 for n in range(12)))
    ]


def exceed_limit_after_all_nodes_restarted(history):
    # The nodes know the limit again 0.5 s after 31 s; twelve requests follow.
    history.disruptions.append(Disruption("kill", ALL_NODES, 30.0, 30.7))
    history.arrivals += [Arrival("d1/1", 10.0, "/v1/report", 1.0)]
    history.arrivals += [
        Arrival("d1/1", 31.0 + at_s, "/v1/report", 1.0)
        for at_s in (0.0, *(0.6 + n / 4 for n in range(12)))
    ]


def send_crashing_request_again(history):
    # Three crashes, and four runs later than the stable window after the third.
    for number in range(7):
        at_s = 20.0 + number if number < 3 else 30.0 + number
        run = Run("d1", f"c{number}", "/repeat/x", CRASHING_BODY, at_s, at_s, at_s)
        run.has_crashed_worker = True
        history.runs.append(run)


def quarantine_sound_request(history):
    replace_call(history, status=503, answer=b'{"error":"quarantined"}')


def share_fencing_number(history):
    history.orders.append(Order("e1/1", "n3", 5, 3.0))


def lose_connection_at_stop(history):
    history.disruptions.append(Disruption("stop", "n1", 9.0, 18.0))
    replace_call(history, status=0, is_connection_lost=True)


def lose_unforwarded_request_late_at_stop(history):
    history.disruptions.append(Disruption("stop", "n1", 9.0, 18.0))
    history.runs.pop()
    replace_call(history, status=0, is_connection_lost=True, ended_s=CALL.sent_s + 0.3)


def exit_unexpectedly(history):
    history.unexpected_exits.append("n1")


def stay_unready(history):
    history.unready_nodes.append("n1")


CHECKER_BY_VIOLATION = {
    truncate_response: "check_responses_are_complete",
    remove_stamp: "check_responses_are_complete",
    end_stream_early: "check_streams_are_in_order",
    skip_stream_event: "check_streams_are_in_order",
    repeat_stream_part: "check_streams_are_in_order",
    change_software_in_stream: "check_texts_have_one_software_version",
    change_software_in_result: "check_texts_have_one_software_version",
    change_request_body: "check_requests_arrive_unchanged",
    run_call_twice: "check_non_idempotent_requests_run_once",
    refuse_call_that_ran: "check_refused_requests_do_not_run",
    refuse_job_that_ran: "check_refused_requests_do_not_run",
    change_listed_result: "check_results_never_change",
    list_item_twice: "check_results_never_change",
    report_wrong_total: "check_results_never_change",
    drop_result_event: "check_results_are_correct",
    report_wrong_version: "check_results_are_correct",
    use_version_below_minimum: "check_results_are_correct",
    report_wrong_score: "check_results_are_correct",
    give_up_item: "check_results_are_correct",
    score_before_completion: "check_scores_follow_complete_texts",
    answer_job_unknown: "check_accepted_jobs_are_kept",
    leave_job_unread: "check_accepted_jobs_are_kept",
    return_other_item_body: "check_accepted_jobs_are_kept",
    run_after_job_end: "check_ended_jobs_send_no_items",
    send_to_leaving_worker: "check_leaving_targets_get_no_requests",
    send_to_departing_worker: "check_departing_targets_get_no_requests",
    refuse_at_cut_off_node: "check_callers_of_cut_off_nodes_are_served",
    lower_fencing_number: "check_orders_are_fenced",
    share_fencing_number: "check_orders_are_fenced",
    exceed_limit: "check_limits_are_kept",
    exceed_limit_after_all_nodes_restarted: "check_limits_are_kept",
    send_crashing_request_again: "check_crashing_requests_are_stopped",
    quarantine_sound_request: "check_sound_requests_are_not_quarantined",
    lose_connection_at_stop: "check_planned_stops_lose_no_requests",
    lose_unforwarded_request_late_at_stop: "check_planned_stops_lose_no_requests",
    exit_unexpectedly: "check_nodes_keep_running",
    stay_unready: "check_nodes_keep_running",
}


def test_request_to_a_departing_worker_after_a_restart_of_its_node_is_no_violation(
    history,
):
    send_to_departing_worker(history)
    history.disruptions.append(Disruption("kill", "n1", 12.0, 12.7))
    assert find_violations(history) == []


def test_correct_history_has_no_violation(history):
    assert find_violations(history) == []


def test_request_lost_in_close_race_is_no_violation(history):
    """Regression seed 27: a client sent a request just as a stopping node closed.

    The node closed the connection before it read the request, so that no node logged
    the request and no worker received it.
    """
    history.disruptions.append(Disruption("stop", "n1", 9.0, 18.0))
    history.runs.pop()
    replace_call(history, status=0, is_connection_lost=True)
    assert find_violations(history) == []


@pytest.mark.parametrize(
    ("first_s", "last_s", "limits"),
    [(0.0, 2.9, [1.0]), (3.0, 7.5, [1.0]), (3.0, 6.0, [1.0, None]), (3.0, 6.0, [1.5])],
    ids=["just named", "within the limit", "not always named", "higher limit"],
)
def test_requests_within_a_limit_are_no_violation(history, first_s, last_s, limits):
    times_s = [first_s + n * (last_s - first_s) / 11 for n in range(12)]
    history.arrivals += [Arrival("d1/1", 10.0, "/repeat/x", limits[0])]
    history.arrivals += [
        Arrival("d1/1", 10.0 + at_s, "/repeat/x", limits[n % len(limits)])
        for n, at_s in enumerate(times_s)
    ]
    assert find_violations(history) == []


@pytest.mark.parametrize(
    "violate", CHECKER_BY_VIOLATION, ids=lambda violate: violate.__name__
)
def test_checker_reports_its_violation(history, violate):
    violate(history)
    found = {violation.partition(":")[0] for violation in find_violations(history)}
    assert CHECKER_BY_VIOLATION[violate] in found


def test_requests_of_restarted_nodes_that_know_no_limit_are_no_violation(history):
    """All nodes were killed; 13 requests arrive before they can know the limit."""
    history.disruptions.append(Disruption("kill", ALL_NODES, 30.0, 30.7))
    history.arrivals += [Arrival("d1/1", 10.0, "/jobs/x", 1.0)]
    history.arrivals += [
        Arrival("d1/1", 31.0 + n / 50, "/jobs/x", 1.0) for n in range(13)
    ]
    assert find_violations(history) == []


def test_few_retries_of_a_crashing_request_are_no_violation(history):
    send_crashing_request_again(history)
    history.runs.pop()
    assert find_violations(history) == []


def test_every_checker_has_a_violation():
    assert {checker.__name__ for checker in CHECKERS} == set(
        CHECKER_BY_VIOLATION.values()
    )
