"""A call to a plain service: the request, sending it, and its errors."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tamarackshelf.contracts.platform import call_plain_service
from tamarackshelf.dispatch import Dispatcher, DispatchRequest, HeldPermit
from tamarackshelf.errors import OutcomeUnknown, Overloaded


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to a plain service; `path` is the part of the URL after /call/."""

    path: str
    body: bytes
    request: DispatchRequest


async def send_call(
    dispatcher: Dispatcher, permit: HeldPermit, call: PlainCall
) -> bytes:
    """Send the call to the target of `permit` and return the body of the answer.

    Raise Overloaded, without sending anything, if the deadline has passed.
    """
    timeout_s = call.request.admission.deadline_s - asyncio.get_running_loop().time()
    if timeout_s <= 0:
        raise Overloaded("the deadline passed before the call was sent; send it again")
    answer = await call_plain_service(
        dispatcher.http,
        permit.target.address,
        call.path,
        call.request.request_id,
        call.body,
        timeout_s,
    )
    return answer.body


def build_outcome_unknown(reason: str) -> OutcomeUnknown:
    """Return the error for a call that may have run; `reason` says what is known."""
    return OutcomeUnknown(
        f"the call may have run ({reason}); resend it later with the same idempotency "
        "key or check its effect before sending a new call"
    )


__all__ = ["PlainCall", "build_outcome_unknown", "send_call"]
