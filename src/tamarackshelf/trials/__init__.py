"""Measurements, simulations and replays of single parts of the system.

Some of them run at sizes that the demo does not reach.
"""

from __future__ import annotations
