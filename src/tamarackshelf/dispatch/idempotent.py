"""Idempotent requests, which are retried until a response is complete."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

from tamarackshelf.contracts import RefusedByTarget, TargetFault
from tamarackshelf.dispatch.dispatcher import Dispatcher, DispatchRequest, HeldPermit
from tamarackshelf.errors import AnswerLost, NoTarget, Overloaded
from tamarackshelf.net import ConnectFailed, ConnectionLost

T = TypeVar("T")


async def run_idempotent(
    dispatcher: Dispatcher,
    request: DispatchRequest,
    attempt: Callable[[HeldPermit], Awaitable[T]],
) -> T:
    """Run an attempt; retry it on other targets within the retry budget.

    If no attempt gets an answer, raise AnswerLost if one may have run, otherwise
    NoTarget or Overloaded. Raise Quarantined if the request must not run again.
    """
    dispatcher.record_request(request.admission.organisation)
    may_have_run = False
    excluded: set[str] = set()
    for retry_number in itertools.count():
        requirements = replace(
            request.admission.requirements, excluded=frozenset(excluded)
        )
        attempt_request = replace(
            request, admission=replace(request.admission, requirements=requirements)
        )
        try:
            async with dispatcher.hold_permit(attempt_request) as held:
                try:
                    answer = await attempt(held)
                except (ConnectFailed, RefusedByTarget) as error:
                    await dispatcher.handle_not_run(held.target, error)
                    reason = str(error)
                except (ConnectionLost, TargetFault) as error:
                    may_have_run = True
                    await dispatcher.handle_lost_answer(request, held)
                    reason = str(error)
                else:
                    dispatcher.clear_crashes(request)
                    return answer
                excluded.add(held.target.name)
        except (NoTarget, Overloaded) as error:
            if isinstance(error, NoTarget) and excluded:
                excluded.clear()
                reason = "all targets were tried"
            elif may_have_run:
                raise AnswerLost(error.message, retry_after_s=1.0) from None
            else:
                raise
        await dispatcher.pause_before_retry(request, retry_number, reason, may_have_run)
    raise AnswerLost("no attempt was made; send the request again")


__all__ = ["run_idempotent"]
