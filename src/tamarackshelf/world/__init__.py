"""Immutable data types: VMs, data centres, organisations, targets and samples."""

from __future__ import annotations

from tamarackshelf.world.address import Address, parse_address
from tamarackshelf.world.network_delay import (
    DelayFunction,
    NetworkDelays,
    build_delay_function,
    no_delay,
)
from tamarackshelf.world.organisation import (
    Campaign,
    Configuration,
    Organisation,
    OrganisationParameters,
    digest_token,
    is_operator,
    matches_route,
)
from tamarackshelf.world.sample import Sample, Segment, Step
from tamarackshelf.world.vm import EntryVm, Target, TargetKind, VmRow, VmState

__all__ = [
    "Address",
    "Campaign",
    "Configuration",
    "DelayFunction",
    "EntryVm",
    "NetworkDelays",
    "Organisation",
    "OrganisationParameters",
    "Sample",
    "Segment",
    "Step",
    "Target",
    "TargetKind",
    "VmRow",
    "VmState",
    "build_delay_function",
    "digest_token",
    "is_operator",
    "matches_route",
    "no_delay",
    "parse_address",
]
