"""Decisions as pure functions, closures and small state machines.

Modules here read no clock and open no socket: time and random sources come in
as arguments.
"""

from __future__ import annotations
