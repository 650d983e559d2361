"""Trainers of the demo, which open steps, pull samples and publish weights."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import TypeVar

from tamarackshelf.contracts import WeightEntry
from tamarackshelf.contracts.platform import publish_weights
from tamarackshelf.demo.client import CallFailed, DemoClient, NoValidResponse
from tamarackshelf.demo.deployments import TrainedModel
from tamarackshelf.demo.fleet import DemoFleet
from tamarackshelf.demo.observations import Observations, ObservedSample, ObservedStep
from tamarackshelf.gateway.trainers import StepReply
from tamarackshelf.net import HttpClient
from tamarackshelf.peers.messages import PullAnswer

PROMPTS_PER_STEP = 12
GROUP_SIZE = 4
MAX_TOKENS = 256
TRAIN_S = 0.8
PULL_WAIT_S = 2.0
CALL_TIMEOUT_S = 60.0
RETRY_DELAY_S = 0.2

T = TypeVar("T")


@dataclass(slots=True)
class _OpenStep:
    name: str
    slot_count: int
    cursor: str | None = None
    received: int = 0


class Trainer:
    """Client that trains on one step while the next one is being sampled."""

    def __init__(
        self,
        fleet: DemoFleet,
        trained_model: TrainedModel,
        observations: Observations,
        rng: Random,
    ) -> None:
        self.version = 0
        self._trained_model = trained_model
        self._observations = observations
        self._rng = rng
        self._client = DemoClient(
            fleet, f"trainer-{trained_model.campaign}", observations, rng
        )
        self._weights_http = HttpClient()
        self._weight_store_address = fleet.standins.platform_address
        self._step_number = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Run steps until `stop` is set, then receive all samples of the last one."""
        loop = asyncio.get_running_loop()
        current = await self._open_step()
        while True:
            next_step = None if stop.is_set() else await self._open_step()
            started_s = loop.time()
            await self._receive_step(current)
            self._observations.trainer_waiting_s += loop.time() - started_s
            await asyncio.sleep(TRAIN_S)
            self._observations.training_s += TRAIN_S
            await self._publish_weights()
            if next_step is None:
                break
            current = next_step
        await self._client.close()
        await self._weights_http.close()

    async def _open_step(self) -> _OpenStep:
        self._step_number += 1
        prompts = [
            f"prompt {self._rng.randrange(1000)} of {self._trained_model.campaign}"
            for _ in range(PROMPTS_PER_STEP)
        ]
        body = {
            "name": f"s{self._step_number}",
            "prompts": prompts,
            "group_size": GROUP_SIZE,
            "weight_version": self.version,
            "max_tokens": MAX_TOKENS,
        }
        path = f"/v1/campaigns/{self._trained_model.campaign}/steps"
        reply: StepReply = await self._call_until_accepted(path, body, StepReply)
        return _OpenStep(reply.step, reply.slot_count)

    async def _receive_step(self, step: _OpenStep) -> None:
        """Pull until the step is complete.

        The last pull returns no samples; it confirms the receipt of all others.
        """
        while True:
            body = {
                "cursor": step.cursor,
                "newest_version": self.version,
                "wait_s": PULL_WAIT_S,
            }
            path = f"/v1/steps/{step.name}/pull"
            answer: PullAnswer = await self._call_until_accepted(path, body, PullAnswer)
            step.cursor = answer.cursor
            step.received += len(answer.samples)
            self._observations.samples += [
                ObservedSample(
                    sample, self._trained_model.model, MAX_TOKENS, self.version
                )
                for sample in answer.samples
            ]
            if answer.is_complete and not answer.samples:
                break
        is_complete = step.received == step.slot_count
        self._observations.steps.append(
            ObservedStep(step.name, step.slot_count, is_complete)
        )

    async def _publish_weights(self) -> None:
        self.version += 1
        model = self._trained_model.model
        entry = WeightEntry(model, self.version)
        await publish_weights(self._weights_http, self._weight_store_address, entry)
        path = f"/v1/models/{model}/published"
        await self._call_until_accepted(path, {"version": self.version}, dict[str, int])

    async def _call_until_accepted(self, path: str, body: object, kind: type[T]) -> T:
        while True:
            try:
                answer: T = await self._client.call(
                    path, body, kind, "", CALL_TIMEOUT_S
                )
            except CallFailed as failure:
                self._observations.count_error(f"trainer_{failure.error.kind}")
            except NoValidResponse:
                self._observations.count_error("trainer_gave_up")
            else:
                return answer
            await asyncio.sleep(RETRY_DELAY_S)


__all__ = ["Trainer"]
