"""VMs of the platform and the targets and entries that run on them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tamarackshelf.world.address import Address


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetKind(enum.StrEnum):
    """Kind of work that a target does."""

    ENGINE = "engine"
    PLAIN = "plain"
    SCORER = "scorer"


@dataclass(frozen=True, slots=True)
class Target:
    """A back end process that serves the requests of a service."""

    name: str
    service: str
    kind: TargetKind
    data_centre: str
    address: Address
    incarnation: int
    concurrency: int
    checks_fencing: bool = True
    # Version of the process's software, not of its weights; versions have no order.
    software: str = ""


@dataclass(frozen=True, slots=True)
class EntryVm:
    """A VM that runs a gateway, a runner and a controller."""

    name: str
    data_centre: str
    gateway: Address
    gateway_peer: Address
    runner_peer: Address
    controller: Address
    gossip: Address
    runner: Address | None = None


@dataclass(frozen=True, slots=True)
class VmRow:
    """A row of the platform's VM list: an entry VM or a target VM."""

    name: str
    state: VmState
    target: Target | None = None
    entry: EntryVm | None = None


__all__ = ["EntryVm", "Target", "TargetKind", "VmRow", "VmState"]
