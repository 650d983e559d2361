"""Choice of the targets of a large service that a node uses."""

from __future__ import annotations

from collections.abc import Sequence

from tamarackshelf.policy.ownership import rank_owners

SUBSET_SIZE = 64
RING_KEY = "subset"


def choose_subset(
    node: str, nodes: Sequence[str], targets: Sequence[str], size: int = SUBSET_SIZE
) -> frozenset[str]:
    """Return the node's targets, so that all targets have nearly equally many nodes.

    Nodes and targets lie on rings of hashed names, and each node takes a window of the
    targets, so that adding or removing one name shifts most windows only a little.
    """
    if len(targets) <= size:
        return frozenset(targets)
    ranked_targets = rank_owners(targets, RING_KEY)
    ranked_nodes = rank_owners({node, *nodes}, RING_KEY)
    start = ranked_nodes.index(node) * len(ranked_targets) // len(ranked_nodes)
    window = [ranked_targets[(start + i) % len(ranked_targets)] for i in range(size)]
    return frozenset(window)


def count_sharers(nodes: int, targets: int, size: int = SUBSET_SIZE) -> int:
    """Return how many nodes use each target on average, at least 1."""
    if targets <= size:
        return max(1, nodes)
    return max(1, round(nodes * size / targets))


__all__ = ["SUBSET_SIZE", "choose_subset", "count_sharers"]
