"""Completions stay complete and correctly attributed when engines fail."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.contracts import Order, OrderKind
from tamarackshelf.dispatch import (
    AdmissionRequest,
    CompletionJob,
    DispatchRequest,
    run_completion,
)
from tamarackshelf.errors import AnswerLost, NoTarget, Overloaded
from tamarackshelf.policy.admission import WorkClass
from tamarackshelf.policy.attribution import AnswerBuilder
from tamarackshelf.policy.routing import TargetRequirements
from tamarackshelf.standin import compute_answer_length, produce_token
from tests.support.fleet import MODEL, MemoryFleet

PROMPT = "a letter"
MAX_TOKENS = 640


def build_job(number=0, deadline_s=60.0, restart=False):
    loop = asyncio.get_running_loop()
    admission = AdmissionRequest(
        TargetRequirements("models"),
        "org",
        WorkClass.CUSTOMER,
        loop.time() + deadline_s,
    )
    request = DispatchRequest(f"r{number}", f"f{number}", admission)
    return CompletionJob(request, MODEL, PROMPT, number, MAX_TOKENS, restart)


async def complete(dispatcher, job):
    builder = AnswerBuilder()
    async for _ in run_completion(dispatcher, job, builder):
        pass
    return builder


def has_expected_tokens(builder, seed=0):
    """Return whether each token is the one that its segment's version generates."""
    length = compute_answer_length(PROMPT, seed, MAX_TOKENS, 0.0)
    expected = [
        produce_token(MODEL, segment.version, PROMPT, seed, i)
        for segment in builder.segments
        for i in range(segment.start, segment.end)
    ]
    return len(builder.tokens) == length and builder.tokens == expected


def inject_fault(engine, fault):
    if fault == "failed weight swap":
        engine.faults.swap_fails = 1
        order = Order(OrderKind.LOAD_VERSION, 1, MODEL, 1)
        asyncio.ensure_future(engine._execute_order(order))
    else:
        name, value = fault
        setattr(engine.faults, name, value)


@pytest.mark.parametrize(
    "fault",
    [
        ("die_after_chunks", 2),
        ("lose_answers", 1),
        ("cross_answers", 1),
        ("omit_version", True),
        ("leaving", True),
        "failed weight swap",
    ],
    ids=str,
)
@pytest.mark.parametrize("restart", [False, True])
def test_completions_are_correct_with_one_faulty_engine_of_two(run, fault, restart):
    async def scenario():
        fleet = MemoryFleet()
        for name in ("e1", "e2"):
            fleet.add_engine(name)
        inject_fault(fleet.standins["e1"], fault)
        dispatcher = fleet.build_dispatcher()
        jobs = [build_job(i, restart=restart) for i in range(8)]
        builders = await asyncio.gather(*(complete(dispatcher, j) for j in jobs))
        for seed, builder in enumerate(builders):
            assert has_expected_tokens(builder, seed)

    run(scenario())


def test_tokens_of_a_crashed_engine_are_kept_and_another_engine_continues(run):
    async def scenario():
        fleet = MemoryFleet()
        old, new = fleet.add_engine("e1"), fleet.add_engine("e2")
        old.state.versions[MODEL] = 3
        new.state.versions[MODEL] = 4
        for engine in (old, new):
            engine.faults.die_after_chunks = 2 if engine is old else 0
        dispatcher = fleet.build_dispatcher()
        dispatcher.pool.avoid(new.target, "not yet", 0.005)
        builder = await complete(dispatcher, build_job())
        assert [segment.version for segment in builder.segments] == [3, 4]
        assert builder.segments[0].end == 16
        assert has_expected_tokens(builder)

    run(scenario())


def test_not_run_is_reported_only_if_no_engine_started_the_request(run):
    async def scenario():
        fleet = MemoryFleet()
        fleet.add_engine("e1").faults.leaving = True
        with pytest.raises(NoTarget) as refused:
            await complete(fleet.build_dispatcher(), build_job(deadline_s=1.0))
        assert refused.value.not_run
        fleet.add_engine("e2").faults.die_after_chunks = 1
        with pytest.raises(AnswerLost) as lost:
            await complete(fleet.build_dispatcher(), build_job(deadline_s=1.0))
        assert not lost.value.not_run

    run(scenario())


def test_full_service_rejects_a_request_and_leaks_no_permit(run):
    async def scenario():
        fleet = MemoryFleet()
        engine = fleet.add_engine("e1", concurrency=1)
        engine.faults.delay_s = 1.0
        dispatcher = fleet.build_dispatcher()
        first = asyncio.ensure_future(complete(dispatcher, build_job(1)))
        await asyncio.sleep(0.1)
        with pytest.raises(Overloaded):
            await complete(dispatcher, build_job(2, deadline_s=0.5))
        assert has_expected_tokens(await first, 1)
        assert has_expected_tokens(await complete(dispatcher, build_job(3)), 3)
        assert dispatcher.pool.waiting_count == 0

    run(scenario())


def test_permit_granted_at_the_moment_of_the_timeout_is_released(run):
    async def scenario():
        fleet = MemoryFleet()
        fleet.add_engine("e1", concurrency=1)
        pool = fleet.build_dispatcher().pool
        loop = asyncio.get_running_loop()
        long_wait = AdmissionRequest(
            TargetRequirements("models"), "org", WorkClass.CUSTOMER, loop.time() + 9
        )
        short_wait = AdmissionRequest(
            TargetRequirements("models"), "org", WorkClass.CUSTOMER, loop.time() + 1
        )
        held = await pool.acquire(long_wait)
        loop.call_at(short_wait.deadline_s, pool.release, held)
        waiting = asyncio.ensure_future(pool.acquire(short_wait))
        await asyncio.wait([waiting])
        if waiting.exception() is None:
            pool.release(waiting.result())
        assert await pool.acquire(long_wait)

    run(scenario())


def test_leaving_engine_gets_no_requests_after_its_first_rejection(run):
    async def scenario():
        fleet = MemoryFleet()
        leaving = fleet.add_engine("e1")
        fleet.add_engine("e2")
        dispatcher = fleet.build_dispatcher()
        leaving.faults.leaving = True
        await asyncio.gather(*(complete(dispatcher, build_job(i)) for i in range(8)))
        before = leaving.requests_seen
        for i in range(20):
            await complete(dispatcher, build_job(i))
        assert leaving.requests_seen == before

    run(scenario())


def test_only_the_organisation_at_its_limit_waits(run):
    async def scenario():
        fleet = MemoryFleet()
        fleet.add_engine("e1", concurrency=8)
        pool = fleet.build_dispatcher().pool
        pool.update(fleet.build_view().targets, ["n"], {"busy": 2})
        deadline_s = asyncio.get_running_loop().time() + 9

        def acquire(organisation):
            requirements = TargetRequirements("models")
            return pool.acquire(
                AdmissionRequest(
                    requirements, organisation, WorkClass.CUSTOMER, deadline_s
                )
            )

        held = [await acquire("busy") for _ in range(2)]
        waiting = asyncio.ensure_future(acquire("busy"))
        assert await acquire("quiet")
        await asyncio.sleep(1.0)
        assert not waiting.done()
        pool.release(held[0])
        assert await waiting

    run(scenario())
