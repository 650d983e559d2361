"""Stand-in for plain services and scorers."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

import msgspec
import xxhash

from tamarackshelf.contracts import EngineState, Load, Score, ScoreRequest
from tamarackshelf.errors import BadRequest, Overloaded
from tamarackshelf.net import HttpServer, Request, Response, to_json_response
from tamarackshelf.standin.engine import TargetLeaving
from tamarackshelf.standin.faults import FaultChange, TargetFaults, apply_fault_change
from tamarackshelf.world import Address, Target


def score_tokens(prompt: str, tokens: tuple[str, ...]) -> float:
    """Return the score of these tokens, a hash of them and their prompt."""
    text = prompt + "\0" + " ".join(tokens)
    return float(xxhash.xxh32_intdigest(text.encode()) % 10_000) / 10_000


def compute_call_answer(path: str, body: bytes) -> str:
    """Return the answer to this call, a hash of its path and body."""
    return xxhash.xxh64_hexdigest(path.encode() + b"\0" + body)


class ServiceStandin:
    """One plain service or scorer, which counts the runs of each call."""

    def __init__(self, target: Target, service_time_s: float = 0.005) -> None:
        self.target = target
        self.faults = TargetFaults()
        self.runs: Counter[str] = Counter()
        self._service_time_s = service_time_s
        self._running = 0
        self._crash: asyncio.Task[None] | None = None
        self._server = HttpServer(self._handle)

    async def start(self) -> Address:
        """Start to listen and return the bound address."""
        address = await self._server.start(self.target.address)
        self.target = replace(self.target, address=address)
        return address

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close(0.1)

    async def crash(self) -> None:
        """Break all connections and refuse new ones until the restart."""
        await self._server.abort()

    async def restart(self) -> None:
        """Start a new incarnation at the same address, with the same counts of runs."""
        incarnation = self.target.incarnation + 1
        self.target = replace(self.target, incarnation=incarnation)
        self._running = 0
        self._server = HttpServer(self._handle)
        await self.start()

    async def _handle(self, request: Request) -> Response:
        path = request.path
        if path == "/v1/state":
            load = Load(self._running)
            leaving = self.faults.leaving
            incarnation = self.target.incarnation
            return to_json_response(
                EngineState(incarnation, load=load, leaving=leaving)
            )
        if path == "/standin/faults":
            apply_fault_change(self.faults, request.decode(FaultChange))
            return to_json_response({})
        if path == "/standin/runs":
            return to_json_response(dict(self.runs))
        if self.faults.leaving:
            raise TargetLeaving("this service is leaving; use another one")
        if self._running >= 4 * self.target.concurrency:
            raise Overloaded("the service has too many requests; use another one")
        self._running += 1
        try:
            return await self._run(request)
        finally:
            self._running -= 1

    async def _run(self, request: Request) -> Response:
        if request.path == "/v1/score":
            await asyncio.sleep(self._service_time_s + self.faults.delay_s)
            return self._score(request.decode(ScoreRequest))
        if not request.path.startswith("/v1/call/"):
            raise BadRequest("unknown path; use /v1/call/PATH or /v1/score")
        path = request.path.removeprefix("/v1/call/")
        if any(text in request.body.decode() for text in self.faults.poison):
            # The crash cancels this handler's task, so it runs in a task of its own.
            self._crash = asyncio.get_running_loop().create_task(self.crash())
            await asyncio.Event().wait()
        self.runs[f"{path} {request.body.decode()}"] += 1
        await asyncio.sleep(self._service_time_s + self.faults.delay_s)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionError("the response is lost after the run")
        request_id = request.headers.get("x-request-id", "")
        if self.faults.cross_answers > 0:
            self.faults.cross_answers -= 1
            request_id = f"crossed-{request_id}"
        body = msgspec.json.encode({"answer": compute_call_answer(path, request.body)})
        return Response(200, body, headers={"x-request-id": request_id})

    def _score(self, request: ScoreRequest) -> Response:
        sample_id = request.sample_id
        if self.faults.cross_answers > 0:
            self.faults.cross_answers -= 1
            sample_id = f"crossed-{sample_id}"
        score = score_tokens(request.prompt, request.tokens)
        return to_json_response(Score(sample_id, score))


__all__ = ["ServiceStandin", "compute_call_answer", "score_tokens"]
