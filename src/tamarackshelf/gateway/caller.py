"""What a caller says of itself and its request in HTTP headers."""

from __future__ import annotations

import asyncio
import math
import uuid
from dataclasses import dataclass

from tamarackshelf.errors import BadRequest, Unauthorised
from tamarackshelf.net import Request
from tamarackshelf.policy.admission import WorkClass
from tamarackshelf.world import Configuration, OrganisationParameters, find_organisation

DEFAULT_DEADLINE_S = 30.0
LONGEST_DEADLINE_S = 600.0
ANSWER_MARGIN_S = 0.25
ANSWER_MARGIN_SHARE = 0.1
MAX_KEY_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller with its key and its deadline."""

    organisation: OrganisationParameters
    request_id: str
    key: str
    deadline_s: float
    work_class: WorkClass = WorkClass.CUSTOMER


def identify_caller(request: Request, configuration: Configuration) -> Caller:
    """Returns the caller; raises Unauthorised or BadRequest."""
    organisation = find_organisation(configuration, read_token(request))
    if organisation is None:
        raise Unauthorised(
            "the token belongs to no organisation; send it as a bearer token or ask "
            "an operator for a new one"
        )
    return Caller(
        organisation=organisation,
        request_id=uuid.uuid4().hex[:16],
        key=_read_key(request),
        deadline_s=asyncio.get_running_loop().time() + _read_budget_s(request),
    )


def read_token(request: Request) -> str:
    """Returns the bearer token, or an empty text."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _read_key(request: Request) -> str:
    key = request.headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable() or "/" in key:
        raise BadRequest(
            f"the idempotency key is over {MAX_KEY_CHARACTERS} characters or has "
            "a slash or control characters; use a UUID"
        )
    return key


def _read_budget_s(request: Request) -> float:
    """Returns the time to work in; the rest lets a refusal reach its caller."""
    remaining_s = _read_remaining_s(request)
    return remaining_s - min(ANSWER_MARGIN_S, remaining_s * ANSWER_MARGIN_SHARE)


def _read_remaining_s(request: Request) -> float:
    text = request.headers.get("x-deadline-ms")
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        remaining_s = float(text) / 1000
    except ValueError:
        remaining_s = math.nan
    if not 0 < remaining_s <= LONGEST_DEADLINE_S:
        raise BadRequest(
            "x-deadline-ms is past, not a number or over "
            f"{LONGEST_DEADLINE_S * 1000:.0f}; send the milliseconds that are left"
        )
    return remaining_s


__all__ = ["Caller", "identify_caller", "read_token"]
