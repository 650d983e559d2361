"""Gateway: callers' requests, trainers' pulls and operators' edits."""

from __future__ import annotations

from tamarackshelf.gateway.program import Gateway, GatewaySettings

__all__ = ["Gateway", "GatewaySettings"]
