"""Typed errors that callers receive; each message names the remedy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


class ShelfError(Exception):
    """Base class of all errors that a caller may receive.

    `status` is the HTTP status. `not_run` is true only when no byte of the request
    was sent to any target, or when the target reported that it did not run the
    request.
    """

    kind: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    not_run: ClassVar[bool] = False

    def __init__(self, message: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s


class BadRequest(ShelfError):
    """The request is invalid and can never succeed unchanged."""

    kind = "bad_request"
    status = 400
    not_run = True


class Unauthorised(ShelfError):
    """The token belongs to no organisation or operator."""

    kind = "unauthorised"
    status = 401
    not_run = True


class NotFound(ShelfError):
    """The named service, campaign or step does not exist."""

    kind = "not_found"
    status = 404
    not_run = True


class KeyConflict(ShelfError):
    """The idempotency key was used before with a different body."""

    kind = "key_conflict"
    status = 409
    not_run = True


class RevisionConflict(ShelfError):
    """The edit is based on a revision that another operator's edit replaced."""

    kind = "revision_conflict"
    status = 409
    not_run = True


class CursorRequired(ShelfError):
    """A pull for a step that was pulled before has no cursor."""

    kind = "cursor_required"
    status = 409
    not_run = True


class PullSuperseded(ShelfError):
    """A later pull by the same trainer replaced this pull."""

    kind = "pull_superseded"
    status = 409
    not_run = True


class Quarantined(ShelfError):
    """The request is rejected because earlier runs of it crashed their targets."""

    kind = "quarantined"
    status = 422


class QuarantinedNotRun(Quarantined):
    """The request is rejected like that before this attempt at it ran anywhere."""

    status = 503
    not_run = True


class Overloaded(ShelfError):
    """No target had free capacity before the request's deadline."""

    kind = "overloaded"
    status = 429
    not_run = True


class NoTarget(ShelfError):
    """No known target is allowed to serve the request."""

    kind = "no_target"
    status = 503
    not_run = True


class StoreUnavailable(ShelfError):
    """The platform's table service or row store did not respond in time."""

    kind = "store_unavailable"
    status = 503
    not_run = True


class Draining(ShelfError):
    """This gateway is shutting down and accepts no new requests."""

    kind = "draining"
    status = 503
    not_run = True


class NotReady(ShelfError):
    """This process has not received a configuration yet."""

    kind = "not_ready"
    status = 503
    not_run = True


class OutcomeUnknown(ShelfError):
    """The request may have run, but no complete response was received."""

    kind = "outcome_unknown"
    status = 504


class Unattributable(ShelfError):
    """The engine's stream does not identify the weight version that produced it."""

    kind = "unattributable"
    status = 502


class AnswerLost(ShelfError):
    """All attempts ended without a complete response, and one of them may have run."""

    kind = "answer_lost"
    status = 502


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """JSON body of an error response; `entries` lists other gateways as ip:port."""

    kind: str
    message: str
    not_run: bool
    retry_after_s: float | None = None
    entries: tuple[str, ...] = ()


def to_error_body(error: ShelfError, entries: tuple[str, ...] = ()) -> ErrorBody:
    """Return the JSON body that describes the error to a caller."""
    return ErrorBody(
        kind=error.kind,
        message=error.message,
        not_run=error.not_run,
        retry_after_s=error.retry_after_s,
        entries=entries,
    )


__all__ = [
    "AnswerLost",
    "BadRequest",
    "CursorRequired",
    "Draining",
    "ErrorBody",
    "KeyConflict",
    "NoTarget",
    "NotFound",
    "NotReady",
    "OutcomeUnknown",
    "Overloaded",
    "PullSuperseded",
    "Quarantined",
    "QuarantinedNotRun",
    "RevisionConflict",
    "ShelfError",
    "StoreUnavailable",
    "Unattributable",
    "Unauthorised",
    "to_error_body",
]
