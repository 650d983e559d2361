"""Rollout service that routes callers' requests and jobs to back end processes."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
