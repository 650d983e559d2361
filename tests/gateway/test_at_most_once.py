"""A keyed call runs at most once when a gateway, target or the table service fails.

Each fault occurs during the first attempt at one gateway or during the resend to the
other one. The plain service counts how often the call ran.
"""

from __future__ import annotations

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tamarackshelf.dispatch import run_idempotent
from tamarackshelf.errors import OutcomeUnknown, ShelfError
from tamarackshelf.gateway.at_most_once import AtMostOnceExecutor
from tamarackshelf.gateway.caller import Caller
from tamarackshelf.gateway.calls import CallApi
from tamarackshelf.gateway.plain_call import send_call
from tamarackshelf.net import ConnectFailed, ConnectionLost, Request
from tests.support.fleet import MemoryFleet

scenarios("at_most_once.feature")

BODY = b'{"mare": 1}'
RUN_KEY = 'book {"mare": 1}'
CALLER_TIMEOUT_S = 20.0
FINAL_RESEND_AT_S = 900.0
CLAIM_WRITE, SEND, OUTCOME = 1, 2, 3


class GatewayUnderTest:
    """The call interface of one gateway, with its own table client."""

    def __init__(self, fleet, name, use_claims=True):
        self.name = name
        self.table = fleet.build_table(name)
        dispatcher = fleet.build_dispatcher(name)
        executor = AtMostOnceExecutor(name, dispatcher, self.table)
        if not use_claims:
            executor = _RetryingExecutor(dispatcher)
        self.calls = CallApi(dispatcher, executor, "a")
        self.parameters = fleet.parameters

    async def call(self):
        loop = asyncio.get_running_loop()
        caller = Caller(self.parameters, "r1", "k1", loop.time() + CALLER_TIMEOUT_S)
        request = Request("POST", "/", body=BODY)
        return (await self.calls.serve("desk", "book", caller, request)).body


class _RetryingExecutor:
    """Replacement for AtMostOnceExecutor that retries a lost answer without claims."""

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    async def run(self, key, call):
        async def attempt(permit):
            return await send_call(self._dispatcher, permit, call)

        return await run_idempotent(self._dispatcher, call.request, attempt)


class PhaseClassifier:
    """Maps a request of one gateway to its phase: claim write, send, outcome write."""

    def __init__(self, fleet, origin):
        self.fleet = fleet
        self.origin = origin
        self.writes = 0

    def classify(self, origin, address, path):
        if origin != self.origin:
            return None
        if path == "/v1/transactions":
            return CLAIM_WRITE if self.writes == 0 else OUTCOME
        return SEND if path.startswith("/v1/call/") else None


def install_fault(fleet, fault, origin):
    """Install network hooks that cause a fault at the gateway `origin`."""
    classifier = PhaseClassifier(fleet, origin)
    crashed = asyncio.Event()

    async def crash():
        crashed.set()
        await asyncio.Event().wait()

    async def count_writes(request_origin, address, path):
        if request_origin == origin and path == "/v1/transactions":
            classifier.writes += 1

    def on_phase(phase, action, after=False, once=True):
        fired = []

        async def hook(request_origin, address, path):
            if request_origin == origin and crashed.is_set():
                await asyncio.Event().wait()
            if classifier.classify(request_origin, address, path) == phase and not (
                once and fired
            ):
                fired.append(1)
                await action()

        (fleet.network.after if after else fleet.network.before).append(hook)

    async def lose_connection():
        raise ConnectionLost("the connection was lost")

    async def refuse_connection():
        raise ConnectFailed("the connection was refused")

    faults = {
        "gateway crashes before claim write": lambda: on_phase(CLAIM_WRITE, crash),
        "gateway crashes after claim write": lambda: on_phase(
            CLAIM_WRITE, crash, after=True
        ),
        "gateway crashes after send": lambda: on_phase(SEND, crash, after=True),
        "gateway crashes before outcome": lambda: on_phase(OUTCOME, crash),
        "claim write response lost": lambda: on_phase(
            CLAIM_WRITE, lose_connection, after=True
        ),
        "table service slow": lambda: setattr(fleet.table.faults, "delay_s", 0.8),
        "table service down 10 min": lambda: setattr(fleet.table.faults, "down", True),
        "connect refused": lambda: on_phase(SEND, refuse_connection, once=False),
        "connection reset after send": lambda: on_phase(
            SEND, lose_connection, after=True
        ),
        "target answers late": lambda: on_phase(
            SEND, lambda: asyncio.sleep(40), after=True
        ),
        "resent while running": lambda: on_phase(
            SEND, lambda: asyncio.sleep(5), after=True
        ),
        "paused 30 s before send": lambda: on_phase(SEND, lambda: asyncio.sleep(30)),
        "paused 30 s before claim write": lambda: on_phase(
            CLAIM_WRITE, lambda: asyncio.sleep(30)
        ),
    }
    faults[fault]()
    fleet.network.after.append(count_writes)


async def run_scenario(fault, attempt, use_claims=True):
    """Return the fleet and the answer or error that each gateway gave."""
    fleet = MemoryFleet()
    fleet.add_service("p1", "desk")
    first = GatewayUnderTest(fleet, "g1", use_claims)
    second = GatewayUnderTest(fleet, "g2", use_claims)
    for gateway in (first, second):
        await gateway.table.start()
    outcomes = {}

    async def send(gateway):
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S + 5):
                outcomes[gateway.name] = await gateway.call()
        except (ShelfError, TimeoutError) as error:
            outcomes[gateway.name] = error

    if attempt == "first try":
        install_fault(fleet, fault, "g1")
    else:
        install_fault(fleet, "connection reset after send", "g1")
        install_fault(fleet, fault, "g2")
    tasks = [asyncio.ensure_future(send(first))]
    await asyncio.sleep(1.0)
    tasks.append(asyncio.ensure_future(send(second)))
    await asyncio.sleep(600.0)
    fleet.table.faults.down = False
    fleet.table.faults.delay_s = 0.0
    await asyncio.gather(*tasks)
    fleet.network.before.clear()
    fleet.network.after.clear()
    await asyncio.sleep(FINAL_RESEND_AT_S - 600.0)
    last = GatewayUnderTest(fleet, "g3", use_claims)
    await last.table.start()
    await send(last)
    return fleet, outcomes


@pytest.fixture
def context():
    return {}


@given("two gateways in front of one plain service")
def _(context):
    context["use_claims"] = True


@given(parsers.parse('the fault "{fault}" occurs during the {attempt}'))
def _(context, fault, attempt):
    context["scenario"] = (fault, attempt)


@when("a caller sends a keyed call and resends it to the other gateway")
def _(context, run):
    context["result"] = run(run_scenario(*context["scenario"]))


@then("the call ran at most once")
def _(context):
    fleet, outcomes = context["result"]
    assert fleet.count_runs().get(RUN_KEY, 0) <= 1, outcomes


@then('no gateway reported "not run" for a call that it had sent')
def _(context):
    fleet, outcomes = context["result"]
    sent_by = {
        origin for origin, _, path in fleet.network.calls if path.startswith("/v1/call")
    }
    for gateway, outcome in outcomes.items():
        if isinstance(outcome, ShelfError) and outcome.not_run:
            assert gateway not in sent_by, outcome


@then("a final resend gets the answer or an OutcomeUnknown error")
def _(context):
    fleet, outcomes = context["result"]
    last = outcomes["g3"]
    if isinstance(last, bytes):
        assert fleet.count_runs().get(RUN_KEY, 0) == 1
    else:
        assert isinstance(last, OutcomeUnknown), last


@pytest.mark.parametrize(
    "fault",
    [
        "connection reset after send",
        "gateway crashes after send",
        "target answers late",
    ],
)
def test_without_claims_the_same_faults_cause_double_runs(run, fault):
    fleet, _ = run(run_scenario(fault, "first try", use_claims=False))
    assert fleet.count_runs()[RUN_KEY] > 1
