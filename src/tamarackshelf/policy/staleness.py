"""Rules on whether a sample is fresh enough, now or by the time it is finished."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.world import OrganisationParameters, Sample


@dataclass(frozen=True, slots=True)
class Freshness:
    """Newest weight version and current time when a sample's staleness is checked."""

    newest_version: int
    now_s: float


def is_deliverable(
    sample: Sample, parameters: OrganisationParameters, freshness: Freshness
) -> bool:
    """Return whether the sample is within the organisation's staleness bound."""
    oldest = sample.oldest_version
    if oldest is None:
        return True
    if not is_version_in_bound(oldest, parameters, freshness.newest_version):
        return False
    bound_s = parameters.staleness_bound_s
    return bound_s is None or freshness.now_s - sample.produced_at_s <= bound_s


def is_version_in_bound(
    version: int, parameters: OrganisationParameters, newest_version: int
) -> bool:
    """Return whether tokens of this weight version may still be delivered."""
    return newest_version - version <= parameters.staleness_bound_versions


def may_start(
    version: int, parameters: OrganisationParameters, newest_version: int
) -> bool:
    """Return whether a sample may start on this weight version.

    For organisations that weigh staleness above idle time, the version must stay
    within the bound after one more publication.
    """
    margin = int(parameters.staleness_weight > parameters.idle_weight)
    allowed = max(0, parameters.staleness_bound_versions - margin)
    return newest_version - version <= allowed


__all__ = ["Freshness", "is_deliverable", "is_version_in_bound", "may_start"]
