"""Groups of engines that one controller orders at a time."""

from __future__ import annotations

import math
from dataclasses import dataclass

from tamarackshelf.world import Target, TargetKind

MAX_ENGINES_PER_SHARD = 64


@dataclass(frozen=True, slots=True)
class Shard:
    """Some engines of one service; its name is that of its lease."""

    name: str
    engines: tuple[Target, ...]

    @property
    def service(self) -> str:
        """Returns the service that the engines answer for."""
        return self.name.rpartition("#")[0]


def build_shards(targets: list[Target]) -> list[Shard]:
    """Returns the shards of all engines, one or more for each service."""
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
