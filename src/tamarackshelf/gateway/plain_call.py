"""One call to a plain service and its errors."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tamarackshelf.contracts.platform import call_plain_service
from tamarackshelf.dispatch import Dispatcher, DispatchRequest, HeldPermit
from tamarackshelf.errors import OutcomeUnknown, Overloaded


@dataclass(frozen=True, slots=True)
class PlainCall:
    """One call to a plain service."""

    path: str
    body: bytes
    work: DispatchRequest


async def send_call(
    dispatcher: Dispatcher, place: HeldPermit, call: PlainCall
) -> bytes:
    """Sends a call to the place's target and returns the answer's body."""
    timeout_s = call.work.admission.deadline_s - asyncio.get_running_loop().time()
    if timeout_s <= 0:
        raise Overloaded("the deadline passed before the call was sent; send it again")
    answer = await call_plain_service(
        dispatcher.http,
        place.target.address,
        call.path,
        call.work.request_id,
        call.body,
        timeout_s,
    )
    return answer.body


def build_outcome_unknown(reason: str) -> OutcomeUnknown:
    """Returns the error for a call that may have run."""
    return OutcomeUnknown(
        f"the call may have run ({reason}); ask with the same idempotency key later "
        "or check its effect before sending a new one"
    )


__all__ = ["PlainCall", "build_outcome_unknown", "send_call"]
