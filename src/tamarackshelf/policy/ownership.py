"""Rendezvous hashing: which node owns a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank_owners(nodes: Iterable[str], key: str) -> list[str]:
    """Returns the nodes, the owner of the key first."""
    return sorted(nodes, key=lambda node: _weigh(node, key), reverse=True)


def find_owner(nodes: Iterable[str], key: str) -> str | None:
    """Returns the owner of the key, or None when there are no nodes."""
    return max(nodes, key=lambda node: _weigh(node, key), default=None)


def _weigh(node: str, key: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{node}\0{key}".encode()), node


__all__ = ["find_owner", "rank_owners"]
