"""Messages and views that the processes of the fleet exchange."""

from __future__ import annotations

from tamarackshelf.peers.view import (
    EntryStatus,
    EntryView,
    Report,
    ReportKind,
    Role,
    TargetStatus,
    TargetView,
    View,
    ViewAnswer,
    get_process_name,
)
from tamarackshelf.peers.view_watch import ViewWatch

__all__ = [
    "EntryStatus",
    "EntryView",
    "Report",
    "ReportKind",
    "Role",
    "TargetStatus",
    "TargetView",
    "View",
    "ViewAnswer",
    "ViewWatch",
    "get_process_name",
]
