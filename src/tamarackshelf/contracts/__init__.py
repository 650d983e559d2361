"""Typed clients and message types for targets and platform services."""

from __future__ import annotations

from tamarackshelf.contracts.calls import RefusedByTarget, TargetFault, call_json
from tamarackshelf.contracts.engine import (
    CacheEvent,
    Chunk,
    EngineState,
    GenerateRequest,
    KvHandle,
    Load,
    Order,
    OrderFenced,
    OrderKind,
    StreamEnd,
    StreamLine,
)
from tamarackshelf.contracts.platform import Score, ScoreRequest, WeightEntry
from tamarackshelf.contracts.table import (
    ABSENT_REVISION,
    Batch,
    Condition,
    ReadRequest,
    Row,
    Transaction,
    TransactionResult,
    Write,
)

__all__ = [
    "ABSENT_REVISION",
    "Batch",
    "CacheEvent",
    "Chunk",
    "Condition",
    "EngineState",
    "GenerateRequest",
    "KvHandle",
    "Load",
    "Order",
    "OrderFenced",
    "OrderKind",
    "ReadRequest",
    "RefusedByTarget",
    "Row",
    "Score",
    "ScoreRequest",
    "StreamEnd",
    "StreamLine",
    "TargetFault",
    "Transaction",
    "TransactionResult",
    "WeightEntry",
    "Write",
    "call_json",
]
