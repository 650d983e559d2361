"""Jobs: acceptance, ownership, execution, scoring, listing and reading."""

from __future__ import annotations
