"""Bounds of a node's accepted connections, by who opened them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tamarackshelf.net.connections import ConnectionSlots
from tamarackshelf.node.settings import NodeSettings
from tamarackshelf.policy.descriptors import share_descriptors

# Used if neither the settings nor the system name a limit.
DEFAULT_DESCRIPTORS = 4096


@dataclass(frozen=True, slots=True)
class ConnectionGroups:
    """The connections of a node; a group at its bound takes nothing from another."""

    callers: ConnectionSlots
    peers: ConnectionSlots
    readiness: ConnectionSlots
    metrics: ConnectionSlots


def build_connection_groups(
    settings: NodeSettings, count_event: Callable[[str], None]
) -> ConnectionGroups:
    """Return empty groups with the bounds that follow from the settings."""
    bounds = share_descriptors(
        settings.max_descriptors or DEFAULT_DESCRIPTORS,
        settings.memory_bytes,
        settings.max_caller_connections,
    )
    return ConnectionGroups(
        ConnectionSlots(bounds.callers, "callers", count_event),
        ConnectionSlots(bounds.peers, "peers", count_event),
        ConnectionSlots(bounds.readiness, "readiness", count_event),
        ConnectionSlots(bounds.metrics, "metrics", count_event),
    )


__all__ = ["ConnectionGroups", "build_connection_groups"]
