"""Messages of the RPC calls between gateways and runners."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.net.rpc import RpcMethod
from tamarackshelf.peers.isolation import (
    IsolationAnswer,
    IsolationRelease,
    IsolationRequest,
)
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.world import Sample, Step


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Empty response: the message was received."""


@dataclass(frozen=True, slots=True)
class RegisterRequest:
    """Registration of a gateway as the one that runs the request with this key.

    It is sent to the gateway whose registry is responsible for the key. `replaces`
    names the gateway that was registered before and gave no answer.
    """

    key: str
    body_digest: str
    gateway: str
    replaces: str = ""


@dataclass(frozen=True, slots=True)
class RegisterAnswer:
    """Gateway registered for the key; `answer` is empty until its run is complete.

    `body_digest` is that of the registered request; another one is a key conflict.
    """

    gateway: str
    body_digest: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """Request to wait up to `wait_s` for the answer of a request that the peer runs."""

    key: str
    wait_s: float


@dataclass(frozen=True, slots=True)
class AttachAnswer:
    """Complete answer; `is_known` is false if the gateway had none in time."""

    is_known: bool
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class StoreAnswerRequest:
    """Complete answer that the registry responsible for the key keeps for resends."""

    key: str
    answer: bytes


@dataclass(frozen=True, slots=True)
class StepOpened:
    """Notice of an open step; with `body`, runners need not read it from the table."""

    step: str
    body: Step | None = None


@dataclass(frozen=True, slots=True)
class PushSamplesRequest:
    """Samples that a runner sends to the runner that owns their step."""

    samples: tuple[Sample, ...]


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Trainer's pull that a gateway forwards to the runner that owns the step."""

    step: str
    pull_id: str
    cursor: str | None
    newest_version: int
    max_samples: int
    wait_s: float
    rewind: bool = False


@dataclass(frozen=True, slots=True)
class PullAnswer:
    """Samples that the pull's cursor did not contain, and the cursor to send next.

    `is_complete` tells that the new cursor contains all samples of the step.
    """

    pull_id: str
    samples: tuple[Sample, ...]
    cursor: str
    is_complete: bool


NOTE_CRASH = RpcMethod("NoteCrash", Crash, Acknowledged)
ISOLATE = RpcMethod("Isolate", IsolationRequest, IsolationAnswer)
RELEASE_ISOLATION = RpcMethod("ReleaseIsolation", IsolationRelease, Acknowledged)
REGISTER = RpcMethod("Register", RegisterRequest, RegisterAnswer)
ATTACH = RpcMethod("Attach", AttachRequest, AttachAnswer)
STORE_ANSWER = RpcMethod("StoreAnswer", StoreAnswerRequest, Acknowledged)
STEP_OPENED = RpcMethod("StepOpened", StepOpened, Acknowledged)
PUSH_SAMPLES = RpcMethod("Settled", PushSamplesRequest, Acknowledged)
PULL = RpcMethod("Pull", PullRequest, PullAnswer)

__all__ = [
    "ATTACH",
    "ISOLATE",
    "NOTE_CRASH",
    "PULL",
    "REGISTER",
    "RELEASE_ISOLATION",
    "PUSH_SAMPLES",
    "STEP_OPENED",
    "STORE_ANSWER",
    "Acknowledged",
    "AttachAnswer",
    "AttachRequest",
    "IsolationAnswer",
    "IsolationRelease",
    "IsolationRequest",
    "PullAnswer",
    "PullRequest",
    "RegisterAnswer",
    "RegisterRequest",
    "PushSamplesRequest",
    "StepOpened",
    "StoreAnswerRequest",
]
