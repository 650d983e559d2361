"""Adapter to the users' platform: its names, formats and calls."""

from __future__ import annotations
