"""Quarantine of a request that crashes every target it runs on.

The request must crash two targets only, and all other requests must be answered.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

import pytest

from tamarackshelf.dispatch import PeerActions
from tamarackshelf.errors import Quarantined, ShelfError
from tamarackshelf.gateway.answers import AnswerCache, KeyRegistry
from tamarackshelf.gateway.peer_api import build_handlers
from tamarackshelf.peers.quarantine_client import QuarantineClient
from tamarackshelf.peers.rpc_quarantine import RpcQuarantinePeers
from tests.dispatch.test_completion import build_job, complete, has_expected_tokens
from tests.support.fleet import FakeViewWatch, MemoryFleet, build_noop_peer_actions
from tests.support.memory import MemoryRpc

ENGINES = 5


def build_gateways(fleet, count, announces_crashes=True, delay_s=0.0):
    """Return dispatchers that announce crashes to each other, as gateways do."""
    entries = [fleet.add_entry(f"g{i}") for i in range(count)]
    watch = FakeViewWatch(fleet.build_view())
    handlers = {}
    rpc = MemoryRpc(handlers, delay_s)
    dispatchers = []
    for entry in entries:
        quarantine = QuarantineClient(RpcQuarantinePeers(rpc, watch))
        peers = PeerActions(
            quarantine.isolate,
            quarantine.release,
            quarantine.announce_crash,
            watch.report,
        )
        if not announces_crashes:
            peers = build_noop_peer_actions()
        dispatcher = fleet.build_dispatcher(entry.name, peers)
        dispatchers.append(dispatcher)
        handlers[entry.gateway_peer] = build_handlers(
            dispatcher, AnswerCache(), KeyRegistry()
        )
    return dispatchers


def build_crashing_job():
    job = build_job(999)
    request = replace(job.request, fingerprint="poison")
    return replace(job, request=request, prompt="poison")


async def run_scenario(seed, announces_crashes=True, delay_s=0.0):
    """Send a crashing request to each gateway while other requests run.

    Return the number of crashed engines, the errors of the crashing request and the
    answers of the other requests.
    """
    fleet = MemoryFleet(seed)
    rng = Random(seed)
    engines = [fleet.add_engine(f"e{i}") for i in range(ENGINES)]
    for engine in engines:
        engine.faults.poison = ("poison",)
    gateways = build_gateways(fleet, 4, announces_crashes, delay_s)
    others = [
        asyncio.ensure_future(complete(rng.choice(gateways), build_job(i)))
        for i in range(16)
    ]
    await asyncio.sleep(0.02)
    errors = []
    for gateway in rng.sample(gateways, len(gateways)):
        try:
            await complete(gateway, build_crashing_job())
        except ShelfError as error:
            errors.append(error)
    crashed_count = sum(engine.crashed.is_set() for engine in engines)
    answers = await asyncio.gather(*others, return_exceptions=True)
    return crashed_count, errors, answers


@pytest.mark.parametrize("seed", range(8))
def test_two_targets_crash_and_all_other_requests_are_answered(run, seed):
    crashed_count, errors, answers = run(run_scenario(seed))
    assert crashed_count == 2
    assert len(errors) == 4
    assert all(isinstance(error, Quarantined) for error in errors)
    for number, builder in enumerate(answers):
        assert has_expected_tokens(builder, number)


def test_slow_announcements_reach_peers_before_the_request_is_resent(run):
    crashed_count, _, _ = run(run_scenario(1, delay_s=1.0))
    assert crashed_count == 2


def test_more_targets_crash_if_crashes_are_not_announced(run):
    crashed_count, _, _ = run(run_scenario(1, announces_crashes=False))
    assert crashed_count > 2
