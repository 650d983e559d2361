"""State in the row store: the link to it, watched tables, jobs and nodes."""

from __future__ import annotations
