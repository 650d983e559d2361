"""Decisions as pure functions, closures and small state machines.

The modules of this package read no clock and open no socket: callers pass the time
and the random source as arguments.
"""

from __future__ import annotations
