"""Completions, which continue on another engine when their engine fails."""

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
    """Completion to run until its answer is complete.

    If a chunk cannot be attributed to a weight version, another attempt continues
    after the tokens before it; with `restart_if_unattributable` they are discarded.
    """

    request: DispatchRequest
    model: str
    prompt: str
    seed: int
    max_tokens: int
    restart_if_unattributable: bool = False


class CompletionAbandoned(Exception):
    """The stop check of a completion returned a reason to stop."""


StopCheck = Callable[[AnswerBuilder], str]


def never_stop(builder: AnswerBuilder) -> str:
    """Return no reason to stop."""
    del builder
    return ""


async def run_completion(
    dispatcher: Dispatcher,
    job: CompletionJob,
    builder: AnswerBuilder,
    find_stop_reason: StopCheck = never_stop,
) -> AsyncIterator[Chunk]:
    """Yield the chunks of one complete answer, which several engines may generate.

    After the last chunk the builder holds the complete answer. `find_stop_reason` is
    called after each chunk; if it returns a reason, raise CompletionAbandoned. Raise
    AnswerLost if an attempt may have run, otherwise NoTarget or Overloaded; raise
    Quarantined if the request must not run again.
    """
    dispatcher.record_request(job.request.admission.organisation)
    may_have_run = False
    excluded: set[str] = set()
    for retry_number in itertools.count():
        request = _exclude_targets(job.request, excluded)
        reason = ""
        try:
            async with _hold_permit(dispatcher, request, may_have_run) as held:
                try:
                    async for chunk in _stream(dispatcher, job, builder, held):
                        yield chunk
                        stop_reason = find_stop_reason(builder)
                        if stop_reason:
                            raise CompletionAbandoned(stop_reason)
                except (ConnectFailed, RefusedByTarget) as error:
                    await dispatcher.handle_not_run(held.target, error)
                    reason = str(error)
                except (ConnectionLost, TargetFault) as error:
                    may_have_run = True
                    await dispatcher.handle_lost_answer(job.request, held)
                    reason = str(error)
                except Unattributable as error:
                    may_have_run = True
                    dispatcher.handle_unattributable(held.target, error.message)
                    reason = error.message
                    if job.restart_if_unattributable:
                        builder.clear()
                else:
                    dispatcher.clear_crashes(job.request)
                    return
                excluded.add(held.target.name)
        except NoTarget:
            if not excluded:
                raise
            excluded.clear()
            reason = "all targets were tried"
        await dispatcher.pause_before_retry(
            job.request, retry_number, reason, may_have_run
        )


@contextlib.asynccontextmanager
async def _hold_permit(
    dispatcher: Dispatcher, request: DispatchRequest, may_have_run: bool
) -> AsyncIterator[HeldPermit]:
    """Hold a permit while the context is open.

    If an attempt may have run, raise AnswerLost in place of Overloaded and NoTarget;
    only a NoTarget while tried targets are excluded stays, as those are tried again.
    """
    try:
        async with dispatcher.hold_permit(request) as held:
            yield held
    except (Overloaded, NoTarget) as error:
        is_final = (
            isinstance(error, Overloaded) or not request.admission.requirements.excluded
        )
        if may_have_run and is_final:
            raise AnswerLost(error.message, retry_after_s=error.retry_after_s) from None
        raise


async def _stream(
    dispatcher: Dispatcher,
    job: CompletionJob,
    builder: AnswerBuilder,
    held: HeldPermit,
) -> AsyncIterator[Chunk]:
    """Add the chunks of one attempt to the builder and yield them.

    The engine continues after the tokens that the builder already holds.
    """
    builder.start_attempt()
    generate_request = GenerateRequest(
        request_id=job.request.request_id,
        model=job.model,
        prompt=job.prompt,
        seed=job.seed,
        max_tokens=job.max_tokens,
        prefix=tuple(builder.tokens),
        priority=int(job.request.admission.work_class),
    )
    timeout_s = job.request.admission.deadline_s - asyncio.get_running_loop().time()
    address = held.target.address
    stream = generate(dispatcher.http, address, generate_request, timeout_s)
    async with contextlib.aclosing(stream) as lines:
        async for line in lines:
            if line.chunk is not None:
                builder.add(line.chunk)
                yield line.chunk
            if line.end is not None:
                builder.finish(line.end)
                held.load = line.end.load
                return
    raise ConnectionLost(f"{address} ended the stream without an end marker")


def _exclude_targets(request: DispatchRequest, excluded: set[str]) -> DispatchRequest:
    requirements = replace(request.admission.requirements, excluded=frozenset(excluded))
    return replace(
        request, admission=replace(request.admission, requirements=requirements)
    )


__all__ = ["CompletionAbandoned", "CompletionJob", "StopCheck", "run_completion"]
