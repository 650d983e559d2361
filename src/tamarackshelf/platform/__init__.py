"""Adapter to the users' platform: its names, formats and calls.

The platform calls a target a worker and a service an upstream.
"""

from __future__ import annotations
