"""Controller: membership, configuration, leases, orders and recovery of engines."""

from __future__ import annotations

from tamarackshelf.controller.program import Controller, ControllerSettings

__all__ = ["Controller", "ControllerSettings"]
