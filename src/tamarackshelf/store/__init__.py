"""Access to the row store: failover, table watches, and rows of jobs and nodes."""

from __future__ import annotations
