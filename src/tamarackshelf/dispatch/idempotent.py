"""Requests that may be run again until one answer is whole."""

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
    work: DispatchRequest,
    attempt: Callable[[HeldPermit], Awaitable[T]],
) -> T:
    """Repeats an attempt at other targets within the retry budget.

    Raises AnswerLost once an attempt may have run, NoTarget or Overloaded when
    none did.
    """
    dispatcher.record_request(work.admission.organisation)
    may_have_run = False
    excluded: set[str] = set()
    for number in itertools.count():
        requirements = replace(
            work.admission.requirements, excluded=frozenset(excluded)
        )
        trial = replace(
            work, admission=replace(work.admission, requirements=requirements)
        )
        try:
            async with dispatcher.hold_permit(trial) as place:
                try:
                    answer = await attempt(place)
                except (ConnectFailed, RefusedByTarget) as error:
                    await dispatcher.handle_not_run(place.target, error)
                    reason = str(error)
                except (ConnectionLost, TargetFault) as error:
                    may_have_run = True
                    await dispatcher.handle_lost_answer(work, place)
                    reason = str(error)
                else:
                    dispatcher.crash_history.clear(work.fingerprint)
                    return answer
                excluded.add(place.target.name)
        except (NoTarget, Overloaded) as error:
            if isinstance(error, NoTarget) and excluded:
                excluded.clear()
                reason = "all targets were tried"
            elif may_have_run:
                raise AnswerLost(error.message, retry_after_s=1.0) from None
            else:
                raise
        await dispatcher.pause_before_retry(work, number, reason, may_have_run)
    raise AnswerLost("no attempt was made; send it again")


__all__ = ["run_idempotent"]
