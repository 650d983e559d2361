"""Rendezvous hashing, which decides the node that owns a key."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import xxhash

HASH_SPACE = 1 << 64


def rank_owners(nodes: Iterable[str], key: str) -> list[str]:
    """Return the nodes ranked for the key; the first one owns it."""
    return sorted(nodes, key=lambda node: _hash(node, key), reverse=True)


def rank_weighted(weights: Mapping[str, float], key: str) -> list[str]:
    """Return the nodes ranked for the key, with ownership in proportion to weight.

    The weights must be greater than zero.
    """
    return sorted(weights, key=lambda node: _draw_exponential(node, key, weights[node]))


def find_owner(nodes: Iterable[str], key: str) -> str | None:
    """Return the owner of the key, or None when there are no nodes."""
    return max(nodes, key=lambda node: _hash(node, key), default=None)


def _draw_exponential(node: str, key: str, weight: float) -> tuple[float, str]:
    """Return an exponentially distributed value with rate `weight`, and the node.

    A node has the smallest value with a probability in proportion to its weight.
    """
    hashed, _ = _hash(node, key)
    return -math.log((hashed + 1) / (HASH_SPACE + 1)) / weight, node


def _hash(node: str, key: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{node}\0{key}".encode()), node


__all__ = ["find_owner", "rank_owners", "rank_weighted"]
