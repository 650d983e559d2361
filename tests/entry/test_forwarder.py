"""Plain requests: what may be repeated, what is refused at once, what is passed on."""

from __future__ import annotations

import asyncio
import random

import pytest

from tamarackshelf.contracts.targets import (
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    TargetAnswer,
    TargetBusy,
)
from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.entry.hedge import HEDGE_BURST
from tamarackshelf.errors import AnswerLost, NoTarget
from tamarackshelf.errors import OutcomeUnknown as CallerOutcomeUnknown
from tamarackshelf.net import ClientResponse, Request
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.route_table import RouteTable
from tests.support.node import HOST, build_configuration, build_target

NAMES = ("t1", "t2", "t3")


class Targets:
    """Answers by target: an exception, a status, or seconds to wait before 200."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.sent = []

    async def forward(self, target, request, timeout_s, *, at_most_once):
        at_s = asyncio.get_running_loop().time()
        self.sent.append((target.name, timeout_s, at_most_once, at_s))
        does = self.behaviour.get(target.name, self.behaviour.get("*", 200))
        if isinstance(does, float):
            try:
                await asyncio.wait_for(asyncio.sleep(does), timeout_s)
            except TimeoutError:
                raise OutcomeUnknown("no answer before the deadline") from None
            does = 200
        await asyncio.sleep(0.01)
        if isinstance(does, Exception):
            raise does
        if does == "unsigned":
            return TargetAnswer(ClientResponse(200, {}, b"?"), is_signed=False)
        return TargetAnswer(ClientResponse(does, {"stamp": target.name}, b"ok"), True)


def forward(run, behaviour, path="/score/x", timeout_s=1.5, attempts=3, names=NAMES):
    """Returns the outcome, the seconds it took and what was sent."""
    targets = Targets(behaviour)

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        board = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in names:
            board.put(build_target(name, "app"))
        forwarder = Forwarder(board, targets, "dc", timeline, Metrics())
        table = RouteTable(build_configuration(max_attempts=attempts))
        request = ForwardedRequest("r1", HOST, Request("POST", path))
        started_s = asyncio.get_running_loop().time()
        try:
            outcome = await forwarder.forward(
                request, table.find(HOST, path), timeout_s
            )
        except Exception as error:
            outcome = error
        return outcome, asyncio.get_running_loop().time() - started_s

    outcome, took_s = run(scenario())
    return outcome, took_s, targets.sent


def test_idempotent_request_goes_to_another_target_after_a_lost_answer(run):
    outcome, _, sent = forward(run, {"t1": OutcomeUnknown("reset"), "*": 200})
    assert outcome.answer.status == 200
    assert len({name for name, *_ in sent}) == len(sent)


def test_idempotent_request_is_sent_at_most_as_often_as_its_route_allows(run):
    outcome, _, sent = forward(run, {"*": OutcomeUnknown("reset")}, attempts=2)
    assert isinstance(outcome, AnswerLost)
    assert len(sent) == 2


def test_non_idempotent_request_is_sent_once_after_a_lost_answer(run):
    outcome, _, sent = forward(run, {"*": OutcomeUnknown("reset")}, path="/once/x")
    assert outcome.status in (502, 504)
    assert len(sent) == 1
    assert sent[0][2]


def test_non_idempotent_request_moves_on_when_a_target_did_not_run_it(run):
    outcome, _, sent = forward(
        run, {"t1": NotRun("refused"), "t2": TargetBusy("full")}, path="/once/x"
    )
    assert outcome.answer.status == 200


def test_caller_is_refused_at_once_when_no_target_takes_it(run):
    outcome, took_s, _ = forward(run, {"*": NotRun("refused")})
    assert isinstance(outcome, NoTarget)
    assert outcome.status == 503
    assert outcome.retry_after_s > 0
    assert took_s < 0.25 * 0.2 + 0.1


def test_caller_is_refused_at_once_when_no_target_is_listed(run):
    outcome, took_s, _ = forward(run, {}, names=())
    assert isinstance(outcome, NoTarget)
    assert took_s <= 0.1


def test_request_that_may_have_run_is_never_called_not_run(run):
    outcome, _, _ = forward(
        run, {"t1": OutcomeUnknown("reset"), "t2": NotRun("x"), "t3": NotRun("x")}
    )
    assert not getattr(outcome, "not_run", False)


def test_answer_without_a_signature_is_never_a_success(run):
    outcome, _, _ = forward(run, {"*": "unsigned"})
    assert isinstance(outcome, AnswerLost)


def test_failure_of_the_last_target_is_passed_on_as_it_is(run):
    outcome, _, _ = forward(run, {"*": 500})
    assert outcome.answer.status == 500
    assert outcome.is_signed


@pytest.mark.parametrize("attempts", [1, 2])
def test_time_that_is_left_bounds_each_attempt(run, attempts):
    outcome, took_s, sent = forward(run, {"*": 9.0}, attempts=attempts)
    assert isinstance(outcome, CallerOutcomeUnknown)
    assert took_s == pytest.approx(1.5, abs=0.1)
    ends_s = [at_s + timeout_s for _, timeout_s, _, at_s in sent]
    assert max(ends_s) == pytest.approx(1.5, abs=0.1)
    assert len(sent) == attempts


def test_load_of_one_silent_target_costs_half_the_time_at_most(run):
    """Pattern: one of three targets takes requests and never answers."""
    outcome, took_s, _ = forward(run, {"t1": 9.0, "*": 200})
    assert outcome.answer.status == 200
    assert took_s < 0.85


def test_load_of_one_slow_target_is_hedged(run):
    """Pattern: one of three targets takes several times as long as aimed at."""
    outcome, took_s, sent = forward(run, {"t1": 0.6, "*": 0.03})
    assert outcome.answer.status == 200
    assert took_s < 0.2
    assert len(sent) <= 2


def test_target_that_lost_a_race_is_known_to_be_slow(run):
    """Pattern: a stream of requests while one of three targets is slow."""
    targets = Targets({"t1": 0.6, "*": 0.03})

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        board = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in NAMES:
            board.put(build_target(name, "app"))
        forwarder = Forwarder(board, targets, "dc", timeline, Metrics())
        route = RouteTable(build_configuration()).find(HOST, "/score/x")
        loop = asyncio.get_running_loop()
        took_s = []
        for number in range(60):
            request = ForwardedRequest(f"r{number}", HOST, Request("POST", "/score/x"))
            started_s = loop.time()
            await forwarder.forward(request, route, 1.5)
            took_s.append(loop.time() - started_s)
        return took_s

    took_s = run(scenario())
    assert max(took_s) < 0.2
    at_slow = [name for name, *_ in targets.sent].count("t1")
    assert at_slow <= 60 / 5


def test_hedges_stay_within_their_budget(run):
    """Pattern: all targets are slow; more requests would only add to their load."""
    targets = Targets({"*": 0.3})

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        board = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in NAMES:
            board.put(build_target(name, "app"))
        forwarder = Forwarder(board, targets, "dc", timeline, Metrics())
        route = RouteTable(build_configuration()).find(HOST, "/score/x")
        for number in range(100):
            request = ForwardedRequest(f"r{number}", HOST, Request("POST", "/score/x"))
            await forwarder.forward(request, route, 1.5)

    run(scenario())
    assert len(targets.sent) <= 100 * 1.1 + HEDGE_BURST


def test_request_that_may_not_repeat_is_never_hedged(run):
    outcome, _, sent = forward(run, {"*": 0.6}, path="/once/x")
    assert outcome.answer.status == 200
    assert len(sent) == 1
