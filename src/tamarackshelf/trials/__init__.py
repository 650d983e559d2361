"""Measurements of single mechanisms at sizes that no demo reaches."""

from __future__ import annotations
