"""Stand-ins for the platform's services and for targets, for tests and the demo."""

from __future__ import annotations

from tamarackshelf.standin.engine import (
    EngineSpeed,
    EngineStandin,
    compute_answer_length,
    produce_token,
)
from tamarackshelf.standin.faults import (
    FaultChange,
    TableFaults,
    TargetFaults,
    VmListFaults,
)
from tamarackshelf.standin.platform import PlatformStandin
from tamarackshelf.standin.services import (
    ServiceStandin,
    compute_call_answer,
    score_tokens,
)
from tamarackshelf.standin.table import TableStandin

__all__ = [
    "EngineSpeed",
    "EngineStandin",
    "FaultChange",
    "PlatformStandin",
    "ServiceStandin",
    "TableFaults",
    "TableStandin",
    "TargetFaults",
    "VmListFaults",
    "compute_call_answer",
    "compute_answer_length",
    "produce_token",
    "score_tokens",
]
