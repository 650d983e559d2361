"""The node process of one VM: callers, jobs and control in one event loop."""

from __future__ import annotations
