"""Checks of the system's guarantees from the observations of its clients.

A token of the engine stand-in is a hash of its request and of the weight version that
produced it, so the checks need no counters of the system under test.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields

from tamarackshelf.demo.observations import (
    Observations,
    ObservedCall,
    ObservedCompletion,
    ObservedSample,
    ObservedStep,
)
from tamarackshelf.standin import (
    compute_answer_length,
    compute_call_answer,
    produce_token,
    score_tokens,
)

# Error kinds with which a gateway states that the request did not run.
REFUSAL_KINDS = (
    "overloaded",
    "no_target",
    "store_unavailable",
    "draining",
    "not_ready",
)


@dataclass(frozen=True, slots=True)
class Counts:
    """Final counts of one deployment's run."""

    deployment: str
    samples_delivered: int
    samples_duplicated: int
    samples_lost: int
    samples_stale: int
    samples_misattributed: int
    requests_answered: int
    requests_refused_not_run: int
    requests_unknown: int
    requests_failed: int
    requests_wrong: int
    refused_but_run: int
    non_idempotent_double_runs: int
    trainer_idle_ratio: float
    staleness_p50_versions: float
    staleness_p99_versions: float
    latency_p50_ms: float
    latency_p99_ms: float

    @property
    def violations(self) -> list[str]:
        """Names of the counts that must be zero and are not."""
        return [name for name in MUST_BE_ZERO if getattr(self, name)]

    def format(self) -> str:
        """Return the counts as key=value pairs on one line."""
        pairs = []
        for field in fields(self):
            value = getattr(self, field.name)
            text = f"{value:.3f}" if isinstance(value, float) else str(value)
            pairs.append(f"{field.name}={text}")
        return " ".join(pairs)


MUST_BE_ZERO = (
    "samples_duplicated",
    "samples_lost",
    "samples_stale",
    "samples_misattributed",
    "requests_wrong",
    "refused_but_run",
    "non_idempotent_double_runs",
)


def count_duplicated(samples: Iterable[ObservedSample]) -> int:
    """Return the number of deliveries beyond the first one of each slot."""
    deliveries = Counter((s.sample.step, s.sample.slot) for s in samples)
    return sum(count - 1 for count in deliveries.values())


def count_lost(steps: Iterable[ObservedStep], samples: Iterable[ObservedSample]) -> int:
    """Return the number of slots of finished steps that were never delivered."""
    delivered_slots: dict[str, set[int]] = {}
    for s in samples:
        delivered_slots.setdefault(s.sample.step, set()).add(s.sample.slot)
    return sum(
        step.slot_count - len(delivered_slots.get(step.name, ())) for step in steps
    )


def count_stale(samples: Iterable[ObservedSample], bound_versions: int) -> int:
    """Return the number of samples that exceeded the staleness bound at delivery."""
    return sum(compute_staleness(s) > bound_versions for s in samples)


def compute_staleness(observed: ObservedSample) -> int:
    """Return how many versions the sample's oldest token was behind at delivery."""
    oldest = observed.sample.oldest_version
    return 0 if oldest is None else observed.newest_version - oldest


def count_misattributed(
    samples: Iterable[ObservedSample], straggler_share: float
) -> int:
    """Return the number of samples that name versions that did not produce them.

    Incomplete samples and samples with another sample's score are counted as well.
    """
    return sum(not _is_correct_sample(s, straggler_share) for s in samples)


def count_wrong(
    completions: Iterable[ObservedCompletion],
    calls: Iterable[ObservedCall],
    straggler_share: float,
) -> int:
    """Return the number of responses that are incomplete or of another request."""
    wrong = sum(not _is_correct_completion(c, straggler_share) for c in completions)
    return wrong + sum(
        not c.outcome and c.answer != compute_call_answer(c.path, c.body.encode())
        for c in calls
    )


def count_double_runs(runs: Mapping[str, int]) -> int:
    """Return the number of runs beyond the first one of each call."""
    return sum(count - 1 for count in runs.values())


def count_refused_but_run(
    calls: Iterable[ObservedCall], runs: Mapping[str, int]
) -> int:
    """Return the number of calls that ran although the response said `not_run`."""
    return sum(
        bool(call.outcome)
        and call.not_run
        and runs.get(f"{call.path} {call.body}", 0) > 0
        for call in calls
    )


def count_all(
    deployment: str,
    observations: Observations,
    runs: Mapping[str, int],
    bound_versions: int,
    straggler_share: float,
) -> Counts:
    """Return all counts of one deployment.

    `runs` holds the number of runs of each call, as counted by the plain services.
    """
    stalenesses = sorted(compute_staleness(s) for s in observations.samples)
    latencies_s = sorted(observations.latencies_s)
    total_s = observations.trainer_waiting_s + observations.training_s
    answered = len(observations.completions) + sum(
        not c.outcome for c in observations.calls
    )
    refused = sum(observations.errors.get(kind, 0) for kind in REFUSAL_KINDS)
    unknown = observations.errors.get("outcome_unknown", 0)
    errors = sum(
        n for k, n in observations.errors.items() if not k.startswith("trainer_")
    )
    return Counts(
        deployment=deployment,
        samples_delivered=len(observations.samples),
        samples_duplicated=count_duplicated(observations.samples),
        samples_lost=count_lost(observations.steps, observations.samples),
        samples_stale=count_stale(observations.samples, bound_versions),
        samples_misattributed=count_misattributed(
            observations.samples, straggler_share
        ),
        requests_answered=answered,
        requests_refused_not_run=refused,
        requests_unknown=unknown,
        requests_failed=errors - refused - unknown,
        requests_wrong=count_wrong(
            observations.completions, observations.calls, straggler_share
        ),
        refused_but_run=count_refused_but_run(observations.calls, runs),
        non_idempotent_double_runs=count_double_runs(runs),
        trainer_idle_ratio=observations.trainer_waiting_s / total_s if total_s else 0.0,
        staleness_p50_versions=float(find_quantile(stalenesses, 0.5)),
        staleness_p99_versions=float(find_quantile(stalenesses, 0.99)),
        latency_p50_ms=find_quantile(latencies_s, 0.5) * 1000,
        latency_p99_ms=find_quantile(latencies_s, 0.99) * 1000,
    )


def find_quantile(ordered: list[float] | list[int], quantile: float) -> float:
    """Return a quantile of sorted values, or zero if there are none."""
    if not ordered:
        return 0.0
    return float(ordered[min(len(ordered) - 1, int(quantile * len(ordered)))])


def _is_correct_sample(observed: ObservedSample, straggler_share: float) -> bool:
    sample = observed.sample
    if sample.failure:
        return False
    versions = tuple(
        segment.version
        for segment in sample.segments
        for _ in range(segment.start, segment.end)
    )
    completion = ObservedCompletion(
        observed.model,
        sample.prompt,
        sample.seed,
        observed.max_tokens,
        sample.tokens,
        versions,
    )
    is_own_score = sample.score == score_tokens(sample.prompt, sample.tokens)
    return is_own_score and _is_correct_completion(completion, straggler_share)


def _is_correct_completion(
    completion: ObservedCompletion, straggler_share: float
) -> bool:
    length = compute_answer_length(
        completion.prompt, completion.seed, completion.max_tokens, straggler_share
    )
    if not len(completion.tokens) == len(completion.versions) == length:
        return False
    return all(
        token
        == produce_token(
            completion.model, version, completion.prompt, completion.seed, index
        )
        for index, (token, version) in enumerate(
            zip(completion.tokens, completion.versions, strict=True)
        )
    )


__all__ = [
    "MUST_BE_ZERO",
    "Counts",
    "compute_staleness",
    "count_all",
    "count_double_runs",
    "count_duplicated",
    "count_lost",
    "count_misattributed",
    "count_refused_but_run",
    "count_stale",
    "count_wrong",
    "find_quantile",
]
