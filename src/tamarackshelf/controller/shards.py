"""Shards: groups of engines that only the holder of the shard's lease may order."""

from __future__ import annotations

import math
from dataclasses import dataclass

from tamarackshelf.world import Target, TargetKind

MAX_ENGINES_PER_SHARD = 64


@dataclass(frozen=True, slots=True)
class Shard:
    """Some engines of one service; `name` is also the name of the shard's lease."""

    name: str
    engines: tuple[Target, ...]

    @property
    def service(self) -> str:
        """Service of the engines."""
        return self.name.rpartition("#")[0]


def build_shards(targets: list[Target]) -> list[Shard]:
    """Return the shards of all engines; each holds engines of one service only."""
    by_service: dict[str, list[Target]] = {}
    for target in sorted(targets, key=lambda t: t.name):
        if target.kind is TargetKind.ENGINE:
            by_service.setdefault(target.service, []).append(target)
    shards = []
    for service, engines in sorted(by_service.items()):
        count = math.ceil(len(engines) / MAX_ENGINES_PER_SHARD)
        shards += [
            Shard(f"{service}#{i}", tuple(engines[i::count])) for i in range(count)
        ]
    return shards


__all__ = ["Shard", "build_shards"]
