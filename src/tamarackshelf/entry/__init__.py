"""What callers reach: requests by route, jobs and the directory of entries."""

from __future__ import annotations
