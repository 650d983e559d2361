"""The users' platform: its names, formats and calls, translated to the product's."""

from __future__ import annotations
