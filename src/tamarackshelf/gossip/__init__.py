"""Gossip between nodes: the datagram socket and the task that owns it."""

from __future__ import annotations

from tamarackshelf.gossip.link import GossipLink
from tamarackshelf.gossip.task import GossipSettings, GossipTask, LinkFactory

__all__ = ["GossipLink", "GossipSettings", "GossipTask", "LinkFactory"]
