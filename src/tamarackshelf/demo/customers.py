"""Customers of the demo, who send completions and calls with idempotency keys."""

from __future__ import annotations

import asyncio
import uuid
from random import Random

import msgspec

from tamarackshelf.demo.client import CallFailed, DemoClient, NoValidResponse
from tamarackshelf.demo.fleet import DemoFleet
from tamarackshelf.demo.observations import (
    Observations,
    ObservedCall,
    ObservedCompletion,
)
from tamarackshelf.gateway.completions import CompletionReply

MAX_TOKENS = 256
CALL_SHARE = 0.4
PROMPT_COUNT = 24


class Customer:
    """Client that sends one request at a time; the pauses last `think_s` on average."""

    def __init__(
        self, fleet: DemoFleet, observations: Observations, rng: Random, think_s: float
    ) -> None:
        self._deployment = fleet.deployment
        self._observations = observations
        self._rng = rng
        self._think_s = think_s
        self._client = DemoClient(fleet, f"customer-{rng.random()}", observations, rng)

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until `stop` is set, then finish the current one."""
        while not stop.is_set():
            if self._rng.random() < CALL_SHARE:
                await self._call()
            else:
                await self._complete()
            await asyncio.sleep(self._rng.expovariate(1 / self._think_s))
        await self._client.close()

    async def complete(self, prompt: str, timeout_s: float) -> str:
        """Send one completion and record its response.

        Return the kind of the error, or an empty text on success.
        """
        deployment = self._deployment
        model = self._rng.choice(deployment.models)
        seed = self._rng.randrange(2**31)
        body = {
            "model": model,
            "prompt": prompt,
            "seed": seed,
            "max_tokens": MAX_TOKENS,
        }
        started_s = asyncio.get_running_loop().time()
        try:
            reply: CompletionReply = await self._client.call(
                f"/v1/services/{deployment.engine_service}/completions",
                body,
                CompletionReply,
                uuid.UUID(int=self._rng.getrandbits(128)).hex,
                timeout_s,
            )
        except CallFailed as failure:
            self._observations.count_error(failure.error.kind)
            return failure.error.kind
        except NoValidResponse:
            self._observations.count_error("gave_up")
            return "gave_up"
        self._observations.latencies_s.append(
            asyncio.get_running_loop().time() - started_s
        )
        versions = tuple(
            s.version for s in reply.segments for _ in range(s.start, s.end)
        )
        self._observations.completions.append(
            ObservedCompletion(model, prompt, seed, MAX_TOKENS, reply.tokens, versions)
        )
        return ""

    async def send_unrecorded(self, body: object, timeout_s: float) -> str:
        """Send a completion with this body, without a key and without recording it.

        Return the kind of the error, or an empty text on success.
        """
        service = self._deployment.engine_service
        path = f"/v1/services/{service}/completions"
        try:
            await self._client.call(path, body, CompletionReply, "", timeout_s)
        except CallFailed as failure:
            return failure.error.kind
        except NoValidResponse:
            return "gave_up"
        return ""

    async def _complete(self) -> None:
        number = self._rng.randrange(PROMPT_COUNT)
        await self.complete(f"letter {number} of {self._deployment.name}", 20.0)

    async def _call(self) -> None:
        deployment = self._deployment
        key = uuid.UUID(int=self._rng.getrandbits(128)).hex
        body = {"booking": key}
        text = msgspec.json.encode(body).decode()
        path = deployment.call_path
        outcome, not_run, answer = "", False, ""
        try:
            reply: dict[str, str] = await self._client.call(
                f"/v1/services/{deployment.plain_service}/call/{path}",
                body,
                dict[str, str],
                key,
                5.0,
            )
            answer = reply["answer"]
        except CallFailed as failure:
            outcome, not_run = failure.error.kind, failure.error.not_run
            self._observations.count_error(outcome)
        except NoValidResponse:
            outcome = "gave_up"
            self._observations.count_error(outcome)
        self._observations.calls.append(
            ObservedCall(path, text, outcome, not_run, answer)
        )


__all__ = ["MAX_TOKENS", "Customer"]
