"""Demo of two deployments in one process, with independent checks of guarantees."""

from __future__ import annotations
