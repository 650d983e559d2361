"""Loads of engines that the nodes tell each other on gossip that is sent anyway."""

from __future__ import annotations

import asyncio

from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.policy.shared_loads import SharedLoads

# A start begins with the Unix time in this unit, so its numbers follow those of the
# start before; a node sends fewer datagrams than one in this time.
SEQUENCE_UNIT_MS = 100


def share_loads(fleet: Fleet, targets: TargetRegistry, wall_ms: int) -> None:
    """Start to exchange the requests in flight at engines with the other nodes."""
    shared = SharedLoads(fleet.own.vm, wall_ms // SEQUENCE_UNIT_MS)
    targets.estimate_shared = shared.estimate
    fleet.gossip.build_loads = lambda: shared.build(targets.list_own_loads(), _now_s())
    fleet.gossip.receive_loads = lambda shares: shared.receive(shares, _now_s())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["share_loads"]
