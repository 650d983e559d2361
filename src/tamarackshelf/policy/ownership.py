"""Rendezvous hashing: which node owns a key."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import xxhash

HASH_VALUES = 1 << 64


def rank_owners(nodes: Iterable[str], key: str) -> list[str]:
    """Returns the nodes, the owner of the key first."""
    return sorted(nodes, key=lambda node: _weigh(node, key), reverse=True)


def rank_weighted(weights: Mapping[str, float], key: str) -> list[str]:
    """Returns the nodes, each first as often as its weight's part of all.

    Weights must be above zero.
    """
    return sorted(weights, key=lambda node: _draw(node, key, weights[node]))


def find_owner(nodes: Iterable[str], key: str) -> str | None:
    """Returns the owner of the key, or None when there are no nodes."""
    return max(nodes, key=lambda node: _weigh(node, key), default=None)


def _draw(node: str, key: str, weight: float) -> tuple[float, str]:
    """Returns an exponential draw: the least of them is first in proportion."""
    hashed, _ = _weigh(node, key)
    return -math.log((hashed + 1) / (HASH_VALUES + 1)) / weight, node


def _weigh(node: str, key: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{node}\0{key}".encode()), node


__all__ = ["find_owner", "rank_owners", "rank_weighted"]
