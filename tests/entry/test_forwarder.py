"""Forwarded requests: retries, hedging, refusals and responses returned unchanged."""

from __future__ import annotations

import asyncio
import random

import pytest

from tamarackshelf.contracts.targets import (
    ForwardedRequest,
    NotRun,
    OutcomeUnknown,
    TargetBusy,
    TargetResponse,
)
from tamarackshelf.entry.forwarder import Forwarder
from tamarackshelf.entry.hedge import HEDGE_BURST
from tamarackshelf.errors import AnswerLost, NoTarget
from tamarackshelf.errors import OutcomeUnknown as CallerOutcomeUnknown
from tamarackshelf.net import ClientResponse, Request
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.route_table import RouteTable
from tests.support.node import (
    HOST,
    build_configuration,
    build_quarantine,
    build_target,
)

NAMES = ("t1", "t2", "t3")


class FakeTargetClient:
    """Responds as `behaviour` says for each target, "*" standing for all others.

    A value is an exception to raise, a status, "unsigned" for a 200 without the
    target's signature, or a float: the seconds before a 200.
    """

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.sent = []

    async def forward(self, target, request, timeout_s, *, at_most_once):
        at_s = asyncio.get_running_loop().time()
        self.sent.append((target.name, timeout_s, at_most_once, at_s))
        action = self.behaviour.get(target.name, self.behaviour.get("*", 200))
        if isinstance(action, float):
            try:
                await asyncio.wait_for(asyncio.sleep(action), timeout_s)
            except TimeoutError:
                raise OutcomeUnknown("no response before the deadline") from None
            action = 200
        await asyncio.sleep(0.01)
        if isinstance(action, Exception):
            raise action
        if action == "unsigned":
            return TargetResponse(ClientResponse(200, {}, b"?"), is_signed=False)
        return TargetResponse(
            ClientResponse(action, {"stamp": target.name}, b"ok"), True
        )


def forward_one(
    run, behaviour, path="/score/x", timeout_s=1.5, attempts=3, names=NAMES
):
    """Forward a request; return its outcome, its duration in seconds and the calls."""
    targets = FakeTargetClient(behaviour)

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in names:
            registry.put(build_target(name, "app"))
        forwarder = Forwarder(
            registry,
            targets,
            build_quarantine(registry, targets),
            "dc",
            timeline,
            Metrics(),
        )
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


def test_idempotent_request_goes_to_another_target_after_a_lost_response(run):
    outcome, _, sent = forward_one(run, {"t1": OutcomeUnknown("reset"), "*": 200})
    assert outcome.http.status == 200
    assert len({name for name, *_ in sent}) == len(sent)


def test_idempotent_request_is_sent_at_most_max_attempts_times(run):
    outcome, _, sent = forward_one(run, {"*": OutcomeUnknown("reset")}, attempts=2)
    assert isinstance(outcome, AnswerLost)
    assert len(sent) == 2


def test_non_idempotent_request_is_sent_once_after_a_lost_response(run):
    outcome, _, sent = forward_one(run, {"*": OutcomeUnknown("reset")}, path="/once/x")
    assert outcome.status in (502, 504)
    assert len(sent) == 1
    assert sent[0][2]


def test_non_idempotent_request_is_sent_again_if_a_target_did_not_run_it(run):
    outcome, _, sent = forward_one(
        run, {"t1": NotRun("refused"), "t2": TargetBusy("full")}, path="/once/x"
    )
    assert outcome.http.status == 200


def test_caller_is_refused_soon_if_no_target_accepts_the_request(run):
    outcome, took_s, _ = forward_one(run, {"*": NotRun("refused")})
    assert isinstance(outcome, NoTarget)
    assert outcome.status == 503
    assert outcome.retry_after_s > 0
    assert took_s < 0.25 * 0.2 + 0.1


def test_caller_is_refused_soon_if_no_target_is_listed(run):
    outcome, took_s, _ = forward_one(run, {}, names=())
    assert isinstance(outcome, NoTarget)
    assert took_s <= 0.1


def test_request_that_may_have_run_is_not_reported_as_not_run(run):
    outcome, _, _ = forward_one(
        run, {"t1": OutcomeUnknown("reset"), "t2": NotRun("x"), "t3": NotRun("x")}
    )
    assert not getattr(outcome, "not_run", False)


def test_response_without_a_signature_is_never_a_success(run):
    outcome, _, _ = forward_one(run, {"*": "unsigned"})
    assert isinstance(outcome, AnswerLost)


def test_error_response_of_the_last_target_is_returned_unchanged(run):
    outcome, _, _ = forward_one(run, {"*": 500})
    assert outcome.http.status == 500
    assert outcome.is_signed


@pytest.mark.parametrize("attempts", [1, 2])
def test_attempts_end_at_the_deadline_of_the_request(run, attempts):
    outcome, took_s, sent = forward_one(run, {"*": 9.0}, attempts=attempts)
    assert isinstance(outcome, CallerOutcomeUnknown)
    assert took_s == pytest.approx(1.5, abs=0.1)
    ends_s = [at_s + timeout_s for _, timeout_s, _, at_s in sent]
    assert max(ends_s) == pytest.approx(1.5, abs=0.1)
    assert len(sent) == attempts


def test_silent_target_costs_about_half_the_time_at_most(run):
    """One of three targets accepts requests and never responds."""
    outcome, took_s, _ = forward_one(run, {"t1": 9.0, "*": 200})
    assert outcome.http.status == 200
    assert took_s < 0.85


def test_request_to_a_slow_target_is_hedged(run):
    """One of three targets takes several times the target latency."""
    outcome, took_s, sent = forward_one(run, {"t1": 0.6, "*": 0.03})
    assert outcome.http.status == 200
    assert took_s < 0.2
    assert len(sent) <= 2


def test_target_that_loses_to_a_hedge_gets_fewer_requests(run):
    """Requests follow each other while one of three targets is slow.

    Its attempts are cancelled when the hedge wins. They have to count as durations of
    the target, or it would be chosen as often as the fast ones.
    """
    targets = FakeTargetClient({"t1": 0.6, "*": 0.03})

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in NAMES:
            registry.put(build_target(name, "app"))
        forwarder = Forwarder(
            registry,
            targets,
            build_quarantine(registry, targets),
            "dc",
            timeline,
            Metrics(),
        )
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
    sent_to_slow_target = [name for name, *_ in targets.sent].count("t1")
    assert sent_to_slow_target <= 60 / 5


def test_hedges_stay_within_their_budget(run):
    """All targets are slow, so unlimited hedges would only add to their load."""
    targets = FakeTargetClient({"*": 0.3})

    async def scenario():
        timeline = Timeline("n", lambda: 0)
        registry = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
        for name in NAMES:
            registry.put(build_target(name, "app"))
        forwarder = Forwarder(
            registry,
            targets,
            build_quarantine(registry, targets),
            "dc",
            timeline,
            Metrics(),
        )
        route = RouteTable(build_configuration()).find(HOST, "/score/x")
        for number in range(100):
            request = ForwardedRequest(f"r{number}", HOST, Request("POST", "/score/x"))
            await forwarder.forward(request, route, 1.5)

    run(scenario())
    assert len(targets.sent) <= 100 * 1.1 + HEDGE_BURST


def test_non_idempotent_request_is_never_hedged(run):
    outcome, _, sent = forward_one(run, {"*": 0.6}, path="/once/x")
    assert outcome.http.status == 200
    assert len(sent) == 1
