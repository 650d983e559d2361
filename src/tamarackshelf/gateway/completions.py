"""HTTP interface for completions, streamed or in one response.

A caller that resends a request with the same idempotency key gets the same answer
from any gateway.
"""

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
AFFINITY_PREFIX_CHARACTERS = 256


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """JSON body of a completion request."""

    model: str
    prompt: str
    max_tokens: int = 256
    seed: int | None = None
    stream: bool = False


@dataclass(frozen=True, slots=True)
class CompletionReply:
    """JSON body of a completion response; `length` is the number of tokens."""

    request_id: str
    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]
    length: int


class CompletionApi:
    """Runs completions at this gateway and fetches keyed ones from other gateways."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        cache: AnswerCache,
        registry_client: KeyRegistryClient,
        data_centre: str,
    ) -> None:
        self._dispatcher = dispatcher
        self._cache = cache
        self._registry_client = registry_client
        self._data_centre = data_centre
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, service: str, caller: Caller, request: Request) -> Response:
        """Answer one completion request; raise BadRequest if it is invalid.

        A keyed request goes on running when its caller disconnects; others are
        cancelled.
        """
        body = request.decode(CompletionBody)
        _validate(body, service, caller)
        if not caller.idempotency_key:
            stream = AnswerStream("")
            task = self._start_run(service, caller, body, stream, request.body)
            return await self._reply(caller, body, stream, task)
        stream = await self._find_or_start(service, caller, body, request.body)
        return await self._reply(caller, body, stream, None)

    async def close(self) -> None:
        """Wait for the completions in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _find_or_start(
        self, service: str, caller: Caller, body: CompletionBody, raw_body: bytes
    ) -> AnswerStream:
        """Return the answer of a keyed request, which may run here or elsewhere.

        Start the request here if no other gateway runs or has run it.
        """
        key = f"{caller.organisation.organisation}/{caller.idempotency_key}"
        digest = hashlib.blake2b(service.encode() + b"\0" + raw_body).hexdigest()[:32]
        stream = self._cache.get(key, digest)
        if stream is not None:
            return stream
        stream = self._cache.start(key, digest)
        try:
            answer = await self._registry_client.find_or_register(
                key, digest, caller.deadline_s
            )
        except ShelfError as error:
            self._cache.remove(key)
            stream.fail(error)
            raise
        if answer is not None:
            self._replay(stream, answer)
        else:
            self._start_run(service, caller, body, stream, raw_body, key)
        return stream

    def _replay(self, stream: AnswerStream, data: bytes) -> None:
        answer = msgspec.msgpack.decode(data, type=CompletionAnswer)
        for segment in answer.segments:
            tokens = answer.tokens[segment.start : segment.end]
            stream.add(Chunk(segment.start, tokens, segment.version))
        stream.finish(answer)

    def _start_run(
        self,
        service: str,
        caller: Caller,
        body: CompletionBody,
        stream: AnswerStream,
        raw_body: bytes,
        key: str = "",
    ) -> asyncio.Task[None]:
        job = self._build_job(service, caller, body, raw_body)
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run(job, stream, key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, job: CompletionJob, stream: AnswerStream, key: str) -> None:
        builder = AnswerBuilder()
        started_s = asyncio.get_running_loop().time()
        try:
            async for chunk in run_completion(self._dispatcher, job, builder):
                stream.add(chunk)
        except ShelfError as error:
            if key:
                self._cache.remove(key)
            stream.fail(error)
            return
        except Exception:
            # Without an error, the readers of the answer would wait forever.
            self._cache.remove(key)
            stream.fail(
                ShelfError("an internal error ended the request; send it again")
            )
            raise
        answer = CompletionAnswer(tuple(builder.tokens), builder.segments)
        stream.finish(answer)
        duration_s = asyncio.get_running_loop().time() - started_s
        self._dispatcher.metrics.observe_s("completion", duration_s)
        if key:
            await self._registry_client.store(key, msgspec.msgpack.encode(answer))

    def _build_job(
        self, service: str, caller: Caller, body: CompletionBody, raw_body: bytes
    ) -> CompletionJob:
        organisation = caller.organisation.organisation
        requirements = TargetRequirements(
            service=service,
            affinity=f"{body.model}/{body.prompt[:AFFINITY_PREFIX_CHARACTERS]}",
            data_centre=self._data_centre,
        )
        admission = AdmissionRequest(
            requirements, organisation, caller.work_class, caller.deadline_s
        )
        fingerprint = fingerprint_request(organisation, service, raw_body)
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
        stream: AnswerStream,
        task: asyncio.Task[None] | None,
    ) -> Response:
        """Return the response; `task` is set only for a request without a key.

        Such a task is cancelled when its response ends, completely or early.
        """
        if body.stream:
            return await self._reply_stream(stream, task)
        try:
            async with asyncio.timeout_at(caller.deadline_s + 1.0):
                answer = await stream.wait_complete()
        except TimeoutError:
            raise AnswerLost(
                "the answer was incomplete at the deadline; send the request again "
                "with a later deadline"
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
        self, stream: AnswerStream, task: asyncio.Task[None] | None
    ) -> Response:
        chunks = stream.follow()
        # An error before the first chunk can still be sent with its own HTTP status.
        try:
            first = await anext(chunks, None)
        except BaseException:
            if task is not None:
                task.cancel()
            raise
        return Response(200, _encode_events(first, chunks, task), "text/event-stream")


def is_unkeyed_completion(request: Request) -> bool:
    """Return whether a request is a completion that ends when its caller leaves."""
    is_completion = request.path.rstrip("/").endswith("/completions")
    return is_completion and not request.headers.get("idempotency-key")


async def _encode_events(
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


def _validate(body: CompletionBody, service: str, caller: Caller) -> None:
    organisation = caller.organisation
    if service not in organisation.services:
        raise BadRequest(
            f"service {service} is not enabled for this organisation; ask an operator"
        )
    if body.model not in organisation.models:
        raise BadRequest(
            f"model {body.model} is not enabled for this organisation; ask an operator"
        )
    if not 1 <= body.max_tokens <= MAX_TOKENS:
        raise BadRequest(f"max_tokens is not between 1 and {MAX_TOKENS}; change it")


__all__ = [
    "CompletionApi",
    "CompletionBody",
    "CompletionReply",
    "is_unkeyed_completion",
]
