"""Dispatch of requests: choice of targets, admission, retries and crash reports."""

from __future__ import annotations

from tamarackshelf.dispatch.completion import (
    CompletionAbandoned,
    CompletionJob,
    run_completion,
)
from tamarackshelf.dispatch.dispatcher import (
    Dispatcher,
    DispatchRequest,
    HeldPermit,
    PeerActions,
    run_at_most_once,
)
from tamarackshelf.dispatch.idempotent import run_idempotent
from tamarackshelf.dispatch.pool import AdmissionRequest, Permit, TargetPool

__all__ = [
    "AdmissionRequest",
    "CompletionAbandoned",
    "CompletionJob",
    "DispatchRequest",
    "Dispatcher",
    "HeldPermit",
    "PeerActions",
    "Permit",
    "TargetPool",
    "run_at_most_once",
    "run_completion",
    "run_idempotent",
]
