"""Production of samples: generation, attribution to weight versions, scoring."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from tamarackshelf.contracts import ScoreRequest
from tamarackshelf.contracts.platform import score
from tamarackshelf.dispatch import (
    AdmissionRequest,
    CompletionAbandoned,
    CompletionJob,
    Dispatcher,
    DispatchRequest,
    HeldPermit,
    run_completion,
    run_idempotent,
)
from tamarackshelf.peers import ViewWatch
from tamarackshelf.policy.admission import WorkClass
from tamarackshelf.policy.attribution import AnswerBuilder
from tamarackshelf.policy.routing import TargetRequirements
from tamarackshelf.policy.staleness import is_version_in_bound, may_start
from tamarackshelf.world import Campaign, OrganisationParameters, Sample, Step

SAMPLE_DEADLINE_S = 600.0
SCORE_TIMEOUT_S = 5.0
RESTART_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class SlotJob:
    """One run of a slot; `generation` counts its earlier samples that became stale."""

    step: Step
    slot: int
    generation: int
    campaign: Campaign
    parameters: OrganisationParameters

    @property
    def prompt(self) -> str:
        """Prompt that the slot belongs to."""
        return self.step.prompts[self.slot // self.step.group_size]

    @property
    def seed(self) -> int:
        """Seed of the slot, the same on every runner."""
        return xxhash.xxh32_intdigest(f"{self.step.name}/{self.slot}".encode()) >> 1


class Sampler:
    """Producer of samples; `wall_s` returns the Unix time in seconds."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        watch: ViewWatch,
        data_centre: str,
        wall_s: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._watch = watch
        self._data_centre = data_centre
        self._wall_s = wall_s

    async def produce(self, job: SlotJob) -> Sample:
        """Generate and score one sample; start again if it is or would be too stale.

        Errors of the requests are raised.
        """
        attempts = 0
        while True:
            builder = AnswerBuilder()
            name = f"{job.step.name}.{job.slot}.{job.generation}.{attempts}"
            attempts += 1
            try:
                await self._complete(job, name, builder)
                sample = await self._score(job, name, builder)
            except CompletionAbandoned as error:
                self._dispatcher.timeline.record("sample_restarted", name, str(error))
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return sample

    async def _complete(self, job: SlotJob, name: str, builder: AnswerBuilder) -> None:
        request = self._build_request(job, name, job.campaign.service)
        completion = CompletionJob(
            request=request,
            model=job.campaign.model,
            prompt=job.prompt,
            seed=job.seed,
            max_tokens=job.step.max_tokens,
            restart_if_unattributable=True,
        )
        chunks = run_completion(
            self._dispatcher,
            completion,
            builder,
            lambda b: self._find_restart_reason(job, b),
        )
        async for _ in chunks:
            pass

    def _find_restart_reason(self, job: SlotJob, builder: AnswerBuilder) -> str:
        """Return why generation should start again, or an empty string.

        The sample exceeds the staleness bound already, or its first chunk is of a
        weight version on which the organisation wants no sample to start.
        """
        newest = self._watch.view.published.get(job.campaign.model, 0)
        oldest = builder.oldest_version
        if oldest is None:
            return ""
        if not is_version_in_bound(oldest, job.parameters, newest):
            return (
                f"version {oldest} exceeds the staleness bound; the newest is {newest}"
            )
        if builder.is_single_chunk and not may_start(oldest, job.parameters, newest):
            return f"version {oldest} would soon be too stale; the newest is {newest}"
        return ""

    async def _score(self, job: SlotJob, name: str, builder: AnswerBuilder) -> Sample:
        tokens = tuple(builder.tokens)
        score_request = ScoreRequest(name, job.prompt, tokens)
        request = self._build_request(job, name, job.campaign.scorer)

        async def attempt(permit: HeldPermit) -> float:
            address = permit.target.address
            http = self._dispatcher.http
            return (await score(http, address, score_request, SCORE_TIMEOUT_S)).score

        value = await run_idempotent(self._dispatcher, request, attempt)
        return self._build_sample(job, builder, value)

    def _build_sample(
        self, job: SlotJob, builder: AnswerBuilder, value: float
    ) -> Sample:
        return Sample(
            step=job.step.name,
            slot=job.slot,
            generation=job.generation,
            prompt=job.prompt,
            seed=job.seed,
            tokens=tuple(builder.tokens),
            segments=builder.segments,
            score=value,
            produced_at_s=self._wall_s(),
        )

    def _build_request(self, job: SlotJob, name: str, service: str) -> DispatchRequest:
        organisation = job.parameters.organisation
        requirements = TargetRequirements(
            service=service,
            affinity=f"{job.campaign.model}/{job.prompt}",
            data_centre=self._data_centre,
        )
        deadline_s = asyncio.get_running_loop().time() + SAMPLE_DEADLINE_S
        admission = AdmissionRequest(
            requirements, organisation, WorkClass.TRAINER, deadline_s
        )
        # Prompts of a step never crash a target by themselves, so a slot under which
        # targets crashed is still owed to the trainer.
        return DispatchRequest(name, None, admission)


__all__ = ["Sampler", "SlotJob"]
