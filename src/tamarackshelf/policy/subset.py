"""Which targets of a large service a node uses."""

from __future__ import annotations

from collections.abc import Sequence

from tamarackshelf.policy.ownership import rank_owners

SUBSET_SIZE = 64
RING_KEY = "subset"


def choose_subset(
    node: str, nodes: Sequence[str], targets: Sequence[str], size: int = SUBSET_SIZE
) -> frozenset[str]:
    """Returns the node's targets; each target has nearly equally many nodes.

    Nodes and targets lie on rings of hashed names, and each node takes a window
    of the targets, so that a change of one name moves few windows far.
    """
    if len(targets) <= size:
        return frozenset(targets)
    ring = rank_owners(targets, RING_KEY)
    ranked = rank_owners({node, *nodes}, RING_KEY)
    start = ranked.index(node) * len(ring) // len(ranked)
    window = [ring[(start + i) % len(ring)] for i in range(size)]
    return frozenset(window)


def count_sharers(nodes: int, targets: int, size: int = SUBSET_SIZE) -> int:
    """Returns how many nodes use each target."""
    if targets <= size:
        return max(1, nodes)
    return max(1, round(nodes * size / targets))


__all__ = ["SUBSET_SIZE", "choose_subset", "count_sharers"]
