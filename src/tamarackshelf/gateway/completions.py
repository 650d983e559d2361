"""Completions of callers: streamed or whole, resumed and reattached."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

import msgspec

from tamarackshelf.contracts import Chunk
from tamarackshelf.dispatch import (
    AdmissionRequest,
    CompletionJob,
    Dispatcher,
    DispatchRequest,
    run_completion,
)
from tamarackshelf.errors import AnswerLost, BadRequest, ShelfError, to_error_body
from tamarackshelf.gateway.answers import (
    AnswerCache,
    AnswerStream,
    CompletionAnswer,
)
from tamarackshelf.gateway.caller import Caller
from tamarackshelf.gateway.key_registry_client import KeyRegistryClient
from tamarackshelf.net import Request, Response, to_json_response
from tamarackshelf.policy.attribution import AnswerBuilder
from tamarackshelf.policy.quarantine import fingerprint_request
from tamarackshelf.policy.routing import TargetRequirements
from tamarackshelf.world import Segment

MAX_TOKENS = 65_536
AFFINITY_CHARACTERS = 256


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """What a caller sends."""

    model: str
    prompt: str
    max_tokens: int = 256
    seed: int | None = None
    stream: bool = False


@dataclass(frozen=True, slots=True)
class CompletionReply:
    """What a caller gets; `length` counts the tokens."""

    request_id: str
    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]
    length: int


class CompletionApi:
    """Runs completions at this gateway and finds those of other gateways."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        book: AnswerCache,
        homes: KeyRegistryClient,
        place: str,
    ) -> None:
        self._dispatcher = dispatcher
        self._book = book
        self._homes = homes
        self._data_centre = place
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, service: str, caller: Caller, request: Request) -> Response:
        """Answers one completion."""
        body = request.decode(CompletionBody)
        _check(body, service, caller)
        if not caller.key:
            progress = AnswerStream("")
            task = self._start(service, caller, body, progress, request.body)
            return await self._reply(caller, body, progress, task)
        progress = await self._find_or_start(service, caller, body, request.body)
        return await self._reply(caller, body, progress, None)

    async def close(self) -> None:
        """Waits for the runs in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _find_or_start(
        self, service: str, caller: Caller, body: CompletionBody, raw: bytes
    ) -> AnswerStream:
        key = f"{caller.organisation.organisation}/{caller.key}"
        digest = hashlib.blake2b(service.encode() + b"\0" + raw).hexdigest()[:32]
        progress = self._book.get(key, digest)
        if progress is not None:
            return progress
        progress = self._book.start(key, digest)
        try:
            answer = await self._homes.find_or_register(key, digest, caller.deadline_s)
        except ShelfError as error:
            self._book.drop(key)
            progress.fail(error)
            raise
        if answer is not None:
            self._adopt(progress, answer)
        else:
            self._start(service, caller, body, progress, raw, key)
        return progress

    def _adopt(self, progress: AnswerStream, data: bytes) -> None:
        answer = msgspec.msgpack.decode(data, type=CompletionAnswer)
        for segment in answer.segments:
            tokens = answer.tokens[segment.start : segment.end]
            progress.add(Chunk(segment.start, tokens, segment.version))
        progress.finish(answer)

    def _start(
        self,
        service: str,
        caller: Caller,
        body: CompletionBody,
        progress: AnswerStream,
        raw: bytes,
        key: str = "",
    ) -> asyncio.Task[None]:
        job = self._build_job(service, caller, body, raw)
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run(job, progress, key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, job: CompletionJob, progress: AnswerStream, key: str) -> None:
        builder = AnswerBuilder()
        started_s = asyncio.get_running_loop().time()
        try:
            async for chunk in run_completion(self._dispatcher, job, builder):
                progress.add(chunk)
        except ShelfError as error:
            if key:
                self._book.drop(key)
            progress.fail(error)
            return
        except Exception:
            # Whoever follows the run must not wait for an end that never comes.
            self._book.drop(key)
            progress.fail(ShelfError("an internal fault ended the run; send it again"))
            raise
        answer = CompletionAnswer(tuple(builder.tokens), builder.segments)
        progress.finish(answer)
        duration_s = asyncio.get_running_loop().time() - started_s
        self._dispatcher.metrics.observe_s("completion", duration_s)
        if key:
            await self._homes.store(key, msgspec.msgpack.encode(answer))

    def _build_job(
        self, service: str, caller: Caller, body: CompletionBody, raw: bytes
    ) -> CompletionJob:
        organisation = caller.organisation.organisation
        need = TargetRequirements(
            service=service,
            affinity=f"{body.model}/{body.prompt[:AFFINITY_CHARACTERS]}",
            data_centre=self._data_centre,
        )
        admission = AdmissionRequest(
            need, organisation, caller.work_class, caller.deadline_s
        )
        fingerprint = fingerprint_request(organisation, service, raw)
        seed = body.seed
        if seed is None:
            seed = int(caller.request_id, 16) % 2**31
        return CompletionJob(
            request=DispatchRequest(caller.request_id, fingerprint, admission),
            model=body.model,
            prompt=body.prompt,
            seed=seed,
            max_tokens=body.max_tokens,
        )

    async def _reply(
        self,
        caller: Caller,
        body: CompletionBody,
        progress: AnswerStream,
        task: asyncio.Task[None] | None,
    ) -> Response:
        if body.stream:
            return await self._reply_stream(progress, task)
        try:
            async with asyncio.timeout_at(caller.deadline_s + 1.0):
                answer = await progress.wait_complete()
        except TimeoutError:
            raise AnswerLost(
                "the answer was not whole at the deadline; send it with a later one"
            ) from None
        finally:
            if task is not None:
                task.cancel()
        return to_json_response(
            CompletionReply(
                caller.request_id, answer.tokens, answer.segments, len(answer.tokens)
            )
        )

    async def _reply_stream(
        self, progress: AnswerStream, task: asyncio.Task[None] | None
    ) -> Response:
        chunks = progress.follow()
        # A refusal before the first chunk still gets its own status.
        first = await anext(chunks, None)
        return Response(200, _to_events(first, chunks, task), "text/event-stream")


async def _to_events(
    first: Chunk | None,
    chunks: AsyncIterator[Chunk],
    task: asyncio.Task[None] | None,
) -> AsyncIterator[bytes]:
    length = 0
    try:
        if first is not None:
            length += len(first.tokens)
            yield _format_event("chunk", first)
        async for chunk in chunks:
            length += len(chunk.tokens)
            yield _format_event("chunk", chunk)
        yield _format_event("end", {"length": length})
    except ShelfError as error:
        yield _format_event("error", to_error_body(error))
    finally:
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.wait([task])


def _format_event(name: str, value: object) -> bytes:
    data = msgspec.json.encode(value)
    return b"event: " + name.encode() + b"\ndata: " + data + b"\n\n"


def _check(body: CompletionBody, service: str, caller: Caller) -> None:
    organisation = caller.organisation
    if service not in organisation.services:
        raise BadRequest(
            f"service {service} is not open to this organisation; ask an operator"
        )
    if body.model not in organisation.models:
        raise BadRequest(
            f"model {body.model} is not open to this organisation; ask an operator"
        )
    if not 1 <= body.max_tokens <= MAX_TOKENS:
        raise BadRequest(f"max_tokens is not between 1 and {MAX_TOKENS}; change it")


__all__ = ["CompletionBody", "CompletionReply", "CompletionApi"]
