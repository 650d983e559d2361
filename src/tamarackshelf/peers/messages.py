"""Calls between gateways and runners."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.net.rpc import RpcMethod
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.world import Sample, Step


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The message was taken."""


@dataclass(frozen=True, slots=True)
class IsolationRequest:
    """Asks the arbiter for a target that no other suspect is on."""

    fingerprint: str
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class IsolationAnswer:
    """The granted target, or an empty name to ask again later."""

    target: str


@dataclass(frozen=True, slots=True)
class IsolationRelease:
    """Gives a granted target back."""

    fingerprint: str
    target: str


@dataclass(frozen=True, slots=True)
class RegisterRequest:
    """Asks a key's home which gateway runs the request."""

    key: str
    body_digest: str
    gateway: str
    replaces: str = ""


@dataclass(frozen=True, slots=True)
class RegisterAnswer:
    """The gateway that runs it; `answer` is set once it is done."""

    gateway: str
    body_digest: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """Waits for the whole answer of a request that runs at this gateway."""

    key: str
    wait_s: float


@dataclass(frozen=True, slots=True)
class AttachAnswer:
    """The whole answer; `is_known` is false when the gateway does not run it."""

    is_known: bool
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class StoreAnswerRequest:
    """Leaves a whole answer at the key's home."""

    key: str
    answer: bytes


@dataclass(frozen=True, slots=True)
class StepOpened:
    """A step is in the table; with its body, runners need not read it there."""

    step: str
    body: Step | None = None


@dataclass(frozen=True, slots=True)
class SettledRequest:
    """Samples that were settled by another runner than the step's owner."""

    samples: tuple[Sample, ...]


@dataclass(frozen=True, slots=True)
class PullRequest:
    """A trainer's pull as its gateway forwards it."""

    step: str
    pull_id: str
    cursor: str | None
    newest_version: int
    max_samples: int
    wait_s: float
    rewind: bool = False


@dataclass(frozen=True, slots=True)
class PullAnswer:
    """Samples outside the pull's cursor and the cursor that includes them."""

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
SETTLED = RpcMethod("Settled", SettledRequest, Acknowledged)
PULL = RpcMethod("Pull", PullRequest, PullAnswer)

__all__ = [
    "ATTACH",
    "ISOLATE",
    "NOTE_CRASH",
    "PULL",
    "REGISTER",
    "RELEASE_ISOLATION",
    "SETTLED",
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
    "SettledRequest",
    "StepOpened",
    "StoreAnswerRequest",
]
