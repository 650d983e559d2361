"""State kept in the platform's transactional table service."""

from __future__ import annotations

from tamarackshelf.state.table_client import (
    AmbiguousWrite,
    CommitResult,
    Committed,
    Conflict,
    Priority,
    TableClient,
    TableLimits,
)

__all__ = [
    "AmbiguousWrite",
    "CommitResult",
    "Committed",
    "Conflict",
    "Priority",
    "TableClient",
    "TableLimits",
]
