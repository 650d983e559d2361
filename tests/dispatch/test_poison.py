"""A request that crashes its targets takes two of them and no neighbour."""

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
from tests.dispatch.test_completion import build_job, complete, is_true
from tests.support.fleet import FakeViewWatch, MemoryFleet, build_noop_peer_actions
from tests.support.memory import MemoryRpc

ENGINES = 5


def build_gateways(fleet, count, tells_peers=True, delay_s=0.0):
    """Returns dispatchers that share suspects, as gateways do."""
    entries = [fleet.add_entry(f"g{i}") for i in range(count)]
    watch = FakeViewWatch(fleet.build_view())
    handlers = {}
    rpc = MemoryRpc(handlers, delay_s)
    dispatchers = []
    for entry in entries:
        link = QuarantineClient(rpc, watch)
        peers = PeerActions(
            link.isolate, link.release, link.announce_crash, watch.report
        )
        if not tells_peers:
            peers = build_noop_peer_actions()
        dispatcher = fleet.build_dispatcher(entry.name, peers)
        dispatchers.append(dispatcher)
        handlers[entry.gateway_peer] = build_handlers(
            dispatcher, AnswerCache(), KeyRegistry()
        )
    return dispatchers


def build_poison():
    job = build_job(999)
    request = replace(job.request, fingerprint="poison")
    return replace(job, request=request, prompt="poison")


async def play(seed, tells_peers=True, delay_s=0.0):
    """Returns the engines lost, what the caller was told and the neighbours."""
    fleet = MemoryFleet(seed)
    rng = Random(seed)
    engines = [fleet.add_engine(f"e{i}") for i in range(ENGINES)]
    for engine in engines:
        engine.faults.poison = ("poison",)
    gateways = build_gateways(fleet, 4, tells_peers, delay_s)
    neighbours = [
        asyncio.ensure_future(complete(rng.choice(gateways), build_job(i)))
        for i in range(16)
    ]
    await asyncio.sleep(0.02)
    told = []
    for gateway in rng.sample(gateways, len(gateways)):
        try:
            await complete(gateway, build_poison())
        except ShelfError as error:
            told.append(error)
    lost = sum(engine.crashed.is_set() for engine in engines)
    answers = await asyncio.gather(*neighbours, return_exceptions=True)
    return lost, told, answers


@pytest.mark.parametrize("seed", range(8))
def test_two_targets_are_lost_and_all_neighbours_answered(run, seed):
    lost, told, answers = run(play(seed))
    assert lost == 2
    assert len(told) == 4
    assert all(isinstance(error, Quarantined) for error in told)
    for number, builder in enumerate(answers):
        assert is_true(builder, number)


def test_peers_that_are_slow_to_reach_still_hear_in_time(run):
    lost, _, _ = run(play(1, delay_s=1.0))
    assert lost == 2


def test_without_telling_peers_more_targets_are_lost(run):
    lost, _, _ = run(play(1, tells_peers=False))
    assert lost > 2
