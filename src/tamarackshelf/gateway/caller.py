"""Authentication, idempotency key and deadline from a request's HTTP headers."""

from __future__ import annotations

import asyncio
import math
import uuid
from dataclasses import dataclass

from tamarackshelf.errors import BadRequest, Unauthorised
from tamarackshelf.net import Request
from tamarackshelf.organisations import ConfigurationKeys
from tamarackshelf.policy.admission import WorkClass
from tamarackshelf.world import Configuration, OrganisationParameters

DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 600.0
RESPONSE_MARGIN_S = 0.25
RESPONSE_MARGIN_FRACTION = 0.1
MAX_KEY_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller; `deadline_s` is a time of the event loop's clock."""

    organisation: OrganisationParameters
    request_id: str
    idempotency_key: str
    deadline_s: float
    work_class: WorkClass = WorkClass.CUSTOMER


def identify_caller(request: Request, configuration: Configuration) -> Caller:
    """Return the caller that the request's headers identify.

    Raise Unauthorised for an unknown token and BadRequest for an invalid idempotency
    key or deadline.
    """
    organisation = _TOKENS.find(configuration, read_token(request))
    if organisation is None:
        raise Unauthorised(
            "the token does not belong to any organisation; send a valid one as a "
            "bearer token or ask an operator for a new one"
        )
    return Caller(
        organisation=organisation,
        request_id=uuid.uuid4().hex[:16],
        idempotency_key=_read_idempotency_key(request),
        deadline_s=asyncio.get_running_loop().time() + _compute_remaining_s(request),
    )


def read_token(request: Request) -> str:
    """Return the bearer token, or an empty string when there is none."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _read_idempotency_key(request: Request) -> str:
    key = request.headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable() or "/" in key:
        raise BadRequest(
            f"the idempotency key is longer than {MAX_KEY_CHARACTERS} characters or "
            "contains a slash or control characters; use a UUID"
        )
    return key


def _compute_remaining_s(request: Request) -> float:
    """Return the seconds to the deadline, less a margin for sending the response."""
    remaining_s = _read_deadline_header_s(request)
    return remaining_s - min(RESPONSE_MARGIN_S, remaining_s * RESPONSE_MARGIN_FRACTION)


def _read_deadline_header_s(request: Request) -> float:
    text = request.headers.get("x-deadline-ms")
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        remaining_s = float(text) / 1000
    except ValueError:
        remaining_s = math.nan
    if not 0 < remaining_s <= MAX_DEADLINE_S:
        raise BadRequest(
            "x-deadline-ms is not a number above 0 and up to "
            f"{MAX_DEADLINE_S * 1000:.0f}; send the remaining milliseconds"
        )
    return remaining_s


def _list_owners(
    configuration: Configuration,
) -> list[tuple[OrganisationParameters, tuple[str, ...]]]:
    found = configuration.organisations.values()
    return [(parameters, parameters.token_digests) for parameters in found]


_TOKENS = ConfigurationKeys(_list_owners)

__all__ = ["Caller", "identify_caller", "read_token"]
