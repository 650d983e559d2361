"""Fault table of keyed calls; the plain service counts the runs."""

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
PATIENCE_S = 20.0
AFTER_ALL_S = 900.0
CLAIM_WRITE, SEND, OUTCOME = 1, 2, 3


class GatewayUnderTest:
    """One gateway's calls; `die` and `pause` act at named points."""

    def __init__(self, fleet, name, claims=True):
        self.name = name
        self.table = fleet.build_table(name)
        dispatcher = fleet.build_dispatcher(name)
        once = AtMostOnceExecutor(name, dispatcher, self.table)
        if not claims:
            once = _WithoutClaims(dispatcher)
        self.calls = CallApi(dispatcher, once, "a")
        self.parameters = fleet.parameters

    async def call(self):
        loop = asyncio.get_running_loop()
        caller = Caller(self.parameters, "r1", "k1", loop.time() + PATIENCE_S)
        request = Request("POST", "/", body=BODY)
        return (await self.calls.serve("desk", "book", caller, request)).body


class _WithoutClaims:
    """The mechanism switched off: a lost answer is simply retried."""

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    async def run(self, key, call):
        async def attempt(place):
            return await send_call(self._dispatcher, place, call)

        return await run_idempotent(self._dispatcher, call.work, attempt)


class Point:
    """Counts the steps of one gateway: claim write, send, outcome write."""

    def __init__(self, fleet, origin):
        self.fleet = fleet
        self.origin = origin
        self.writes = 0

    def name(self, origin, address, path):
        if origin != self.origin:
            return None
        if path == "/v1/transactions":
            return CLAIM_WRITE if self.writes == 0 else OUTCOME
        return SEND if path.startswith("/v1/call/") else None


def strike(fleet, fault, origin):
    """Installs a fault that meets the gateway `origin`."""
    point = Point(fleet, origin)
    dead = asyncio.Event()

    async def sleep_forever():
        dead.set()
        await asyncio.Event().wait()

    async def count(o, address, path):
        if o == origin and path == "/v1/transactions":
            point.writes += 1

    def at(wanted, action, after=False, once=True):
        fired = []

        async def hook(o, address, path):
            if o == origin and dead.is_set():
                await asyncio.Event().wait()
            if point.name(o, address, path) == wanted and not (once and fired):
                fired.append(1)
                await action()

        (fleet.network.after if after else fleet.network.before).append(hook)

    async def lose():
        raise ConnectionLost("lost")

    async def refuse():
        raise ConnectFailed("refused")

    faults = {
        "gateway dies before claim write": lambda: at(CLAIM_WRITE, sleep_forever),
        "gateway dies after claim write": lambda: at(
            CLAIM_WRITE, sleep_forever, after=True
        ),
        "gateway dies after send": lambda: at(SEND, sleep_forever, after=True),
        "gateway dies before outcome": lambda: at(OUTCOME, sleep_forever),
        "claim answer lost": lambda: at(CLAIM_WRITE, lose, after=True),
        "store slow": lambda: setattr(fleet.table.faults, "delay_s", 0.8),
        "store down 10 min": lambda: setattr(fleet.table.faults, "down", True),
        "connect refused": lambda: at(SEND, refuse, once=False),
        "connection reset after send": lambda: at(SEND, lose, after=True),
        "target answers late": lambda: at(SEND, lambda: asyncio.sleep(40), after=True),
        "resent meanwhile": lambda: at(SEND, lambda: asyncio.sleep(5), after=True),
        "paused 30 s before send": lambda: at(SEND, lambda: asyncio.sleep(30)),
        "paused 30 s before claim write": lambda: at(
            CLAIM_WRITE, lambda: asyncio.sleep(30)
        ),
    }
    faults[fault]()
    fleet.network.after.append(count)


async def play(fault, when_, claims=True):
    """Returns the fleet and what each caller was told."""
    fleet = MemoryFleet()
    fleet.add_service("p1", "desk")
    first = GatewayUnderTest(fleet, "g1", claims)
    second = GatewayUnderTest(fleet, "g2", claims)
    for gateway in (first, second):
        await gateway.table.start()
    told = {}

    async def send(gateway):
        try:
            async with asyncio.timeout(PATIENCE_S + 5):
                told[gateway.name] = await gateway.call()
        except (ShelfError, TimeoutError) as error:
            told[gateway.name] = error

    if when_ == "first try":
        strike(fleet, fault, "g1")
    else:
        strike(fleet, "connection reset after send", "g1")
        strike(fleet, fault, "g2")
    tasks = [asyncio.ensure_future(send(first))]
    await asyncio.sleep(1.0)
    tasks.append(asyncio.ensure_future(send(second)))
    await asyncio.sleep(600.0)
    fleet.table.faults.down = False
    fleet.table.faults.delay_s = 0.0
    await asyncio.gather(*tasks)
    fleet.network.before.clear()
    fleet.network.after.clear()
    await asyncio.sleep(AFTER_ALL_S - 600.0)
    last = GatewayUnderTest(fleet, "g3", claims)
    await last.table.start()
    await send(last)
    return fleet, told


@pytest.fixture
def context():
    return {}


@given("two gateways before one plain service")
def _(context):
    context["claims"] = True


@given(parsers.parse('the fault "{fault}" strikes the {when_}'))
def _(context, fault, when_):
    context["play"] = (fault, when_)


@when("a caller sends a keyed call and resends it at the other gateway")
def _(context, run):
    context["result"] = run(play(*context["play"]))


@then("the call ran at most once")
def _(context):
    fleet, told = context["result"]
    assert fleet.count_runs().get(RUN_KEY, 0) <= 1, told


@then('no caller was told "not run" of a call that ran')
def _(context):
    fleet, told = context["result"]
    sent_by = {o for o, _, path in fleet.network.calls if path.startswith("/v1/call")}
    for gateway, outcome in told.items():
        if isinstance(outcome, ShelfError) and outcome.not_run:
            assert gateway not in sent_by, outcome


@then("a last resend gets the answer or is told that the outcome is unknown")
def _(context):
    fleet, told = context["result"]
    last = told["g3"]
    if isinstance(last, bytes):
        assert fleet.count_runs().get(RUN_KEY, 0) == 1
    else:
        assert isinstance(last, OutcomeUnknown), last


@pytest.mark.parametrize(
    "fault",
    ["connection reset after send", "gateway dies after send", "target answers late"],
)
def test_without_claims_the_same_table_sees_double_runs(run, fault):
    fleet, _ = run(play(fault, "first try", claims=False))
    assert fleet.count_runs()[RUN_KEY] > 1
