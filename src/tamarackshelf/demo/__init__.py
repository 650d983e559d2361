"""Both deployments in one process, with independent checks of the promises."""

from __future__ import annotations
