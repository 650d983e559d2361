"""Jobs: accepting, owning, running, scoring, listing and reading."""

from __future__ import annotations
