"""Completions that survive the loss of the engine that runs them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace

from tamarackshelf.contracts import Chunk, GenerateRequest, RefusedByTarget, TargetFault
from tamarackshelf.contracts.engine import generate
from tamarackshelf.dispatch.dispatcher import Dispatcher, DispatchRequest, HeldPermit
from tamarackshelf.errors import AnswerLost, NoTarget, Overloaded, Unattributable
from tamarackshelf.net import ConnectFailed, ConnectionLost
from tamarackshelf.policy.attribution import AnswerBuilder


@dataclass(frozen=True, slots=True)
class CompletionJob:
    """One completion to run until it is whole.

    `restart_if_unattributable` throws away all tokens when one chunk cannot be
    attributed; otherwise the tokens before it are kept.
    """

    request: DispatchRequest
    model: str
    prompt: str
    seed: int
    max_tokens: int
    restart_if_unattributable: bool = False


class CompletionAbandoned(Exception):
    """The watcher of a completion said that it is not worth going on."""


Watcher = Callable[[AnswerBuilder], str]


def keep_going(builder: AnswerBuilder) -> str:
    """Never abandons a completion."""
    del builder
    return ""


async def run_completion(
    dispatcher: Dispatcher,
    job: CompletionJob,
    builder: AnswerBuilder,
    watch: Watcher = keep_going,
) -> AsyncIterator[Chunk]:
    """Yields the chunks of one whole answer, over several engines if need be.

    After the last chunk the builder holds the whole answer. `watch` may return
    a reason to stop, which raises Abandoned.
    """
    dispatcher.record_request(job.request.admission.organisation)
    may_have_run = False
    excluded: set[str] = set()
    for attempt in itertools.count():
        work = _exclude(job.request, excluded)
        reason = ""
        try:
            async with _place(dispatcher, work, may_have_run) as place:
                try:
                    async for chunk in _stream(dispatcher, job, builder, place):
                        yield chunk
                        stop = watch(builder)
                        if stop:
                            raise CompletionAbandoned(stop)
                except (ConnectFailed, RefusedByTarget) as error:
                    await dispatcher.handle_not_run(place.target, error)
                    reason = str(error)
                except (ConnectionLost, TargetFault) as error:
                    may_have_run = True
                    await dispatcher.handle_lost_answer(job.request, place)
                    reason = str(error)
                except Unattributable as error:
                    may_have_run = True
                    dispatcher.handle_unattributable(place.target, error.message)
                    reason = error.message
                    if job.restart_if_unattributable:
                        builder.clear()
                else:
                    dispatcher.crash_history.clear(job.request.fingerprint)
                    return
                excluded.add(place.target.name)
        except NoTarget:
            if not excluded:
                raise
            excluded.clear()
            reason = "all targets were tried"
        await dispatcher.pause_before_retry(job.request, attempt, reason, may_have_run)


@contextlib.asynccontextmanager
async def _place(
    dispatcher: Dispatcher, work: DispatchRequest, may_have_run: bool
) -> AsyncIterator[HeldPermit]:
    """Holds a place; never says "not run" once an attempt may have run."""
    try:
        async with dispatcher.hold_permit(work) as place:
            yield place
    except (Overloaded, NoTarget) as error:
        is_final = (
            isinstance(error, Overloaded) or not work.admission.requirements.excluded
        )
        if may_have_run and is_final:
            raise AnswerLost(error.message, retry_after_s=error.retry_after_s) from None
        raise


async def _stream(
    dispatcher: Dispatcher,
    job: CompletionJob,
    builder: AnswerBuilder,
    place: HeldPermit,
) -> AsyncIterator[Chunk]:
    builder.start_attempt()
    request = GenerateRequest(
        request_id=job.request.request_id,
        model=job.model,
        prompt=job.prompt,
        seed=job.seed,
        max_tokens=job.max_tokens,
        prefix=tuple(builder.tokens),
        priority=int(job.request.admission.work_class),
    )
    timeout_s = job.request.admission.deadline_s - asyncio.get_running_loop().time()
    address = place.target.address
    stream = generate(dispatcher.http, address, request, timeout_s)
    async with contextlib.aclosing(stream) as lines:
        async for line in lines:
            if line.chunk is not None:
                builder.add(line.chunk)
                yield line.chunk
            if line.end is not None:
                builder.finish(line.end)
                place.load = line.end.load
                return
    raise ConnectionLost(f"{address} ended the stream without an end marker")


def _exclude(work: DispatchRequest, excluded: set[str]) -> DispatchRequest:
    requirements = replace(work.admission.requirements, excluded=frozenset(excluded))
    return replace(work, admission=replace(work.admission, requirements=requirements))


__all__ = ["CompletionAbandoned", "CompletionJob", "Watcher", "run_completion"]
