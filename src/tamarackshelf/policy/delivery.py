"""Selection of the samples that answer a trainer's pull."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from tamarackshelf.policy.cursor import Cursor
from tamarackshelf.policy.staleness import Freshness, is_deliverable
from tamarackshelf.world import OrganisationParameters, Sample


@dataclass(frozen=True, slots=True)
class DeliveryPlan:
    """Samples to deliver and samples to produce again, both in slot order."""

    fresh: tuple[Sample, ...]
    stale: tuple[Sample, ...]


def plan_delivery(
    samples: Mapping[int, Sample],
    cursor: Cursor,
    parameters: OrganisationParameters,
    freshness: Freshness,
    max_samples: int,
) -> DeliveryPlan:
    """Split the samples not yet received by the organisation's staleness bound.

    Slots that the cursor holds are neither delivered nor produced again, even when
    a newer generation of them is known. `max_samples` limits only the fresh samples.
    """
    fresh: list[Sample] = []
    stale: list[Sample] = []
    for slot in sorted(samples):
        if cursor.has(slot):
            continue
        sample = samples[slot]
        is_fresh = is_deliverable(sample, parameters, freshness)
        (fresh if is_fresh else stale).append(sample)
    return DeliveryPlan(tuple(fresh[:max_samples]), tuple(stale))


__all__ = ["DeliveryPlan", "plan_delivery"]
