"""Gateway program: serves the requests of callers, trainers and operators."""

from __future__ import annotations

from tamarackshelf.gateway.program import Gateway, GatewaySettings

__all__ = ["Gateway", "GatewaySettings"]
