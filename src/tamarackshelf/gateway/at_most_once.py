"""Keyed calls that run at most once, resting on claims in the table.

The order is: wait for a place at a target, write the claim, send. Once a byte
left, the call is never sent again.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from returns.result import Success

from tamarackshelf.contracts import RefusedByTarget, TargetFault
from tamarackshelf.dispatch import Dispatcher, HeldPermit, run_at_most_once
from tamarackshelf.errors import (
    NoTarget,
    Overloaded,
    Quarantined,
    ShelfError,
    StoreUnavailable,
)
from tamarackshelf.gateway.answers import build_key_conflict
from tamarackshelf.gateway.plain_call import PlainCall, build_outcome_unknown, send_call
from tamarackshelf.net import ConnectFailed, ConnectionLost
from tamarackshelf.state import AmbiguousWrite, TableClient
from tamarackshelf.state.claims import (
    Claim,
    ClaimState,
    HeldClaim,
    acquire_claim,
    build_claim,
    change_claim_target,
    read_claim,
    store_claim_outcome,
)

CLAIM_WRITE_S = 2.0
READ_TIMEOUT_S = 1.0
POLL_S = 0.1
SETTLE_FOR_S = 120.0
SETTLE_GAP_S = 0.5
MAX_ANSWER_CHARACTERS = 64 * 1024
MAX_WAITING_FOR_STORE = 256


class ClaimTaken(Exception):
    """Another try of the same key holds the claim."""

    def __init__(self, claim: Claim) -> None:
        super().__init__(claim.key)
        self.claim = claim


class AtMostOnceExecutor:
    """Runs keyed non-idempotent calls and answers their resends."""

    def __init__(self, vm: str, dispatcher: Dispatcher, table: TableClient) -> None:
        self.vm = vm
        self.dispatcher = dispatcher
        self.table = table
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiting_for_store = 0

    async def run(self, key: str, call: PlainCall) -> bytes:
        """Returns the call's one answer.

        Raises OutcomeUnknown when it may have run; every other error means that
        it did not run through this claim.
        """
        digest = _digest(call)
        while True:
            known = await self._read_known(key, call.work.admission.deadline_s)
            if known is not None and known.state is not ClaimState.RELEASED:
                answer = await self._resolve(known, digest, call)
                if answer is not None:
                    return answer
                continue
            try:
                return await _OnceRun(self, key, digest, call).run()
            except ClaimTaken as taken:
                answer = await self._resolve(taken.claim, digest, call)
                if answer is not None:
                    return answer

    async def close(self) -> None:
        """Waits for outcomes that are still to be written."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _read_known(self, key: str, deadline_s: float) -> Claim | None:
        if self._waiting_for_store >= MAX_WAITING_FOR_STORE:
            raise StoreUnavailable(
                "the table service is unavailable and too many calls wait for it; "
                "send the call again later",
                retry_after_s=1.0,
            )
        self._waiting_for_store += 1
        try:
            remaining_s = deadline_s - _now_s()
            return await read_claim(self.table, key, remaining_s)
        finally:
            self._waiting_for_store -= 1

    async def _resolve(
        self, claim: Claim, digest: str, call: PlainCall
    ) -> bytes | None:
        """Returns the answer of the try that holds the claim.

        Returns None when that try released the claim without running.
        """
        if claim.body_digest != digest:
            raise build_key_conflict()
        while True:
            if claim.state is ClaimState.ANSWERED:
                return claim.answer.encode()
            if claim.state is ClaimState.RELEASED:
                return None
            if claim.state is ClaimState.UNKNOWN:
                raise build_outcome_unknown("an earlier try got no answer")
            if _now_s() + POLL_S >= call.work.admission.deadline_s:
                raise build_outcome_unknown(f"an earlier try runs at {claim.gateway}")
            await asyncio.sleep(POLL_S)
            try:
                read = await read_claim(self.table, claim.key, READ_TIMEOUT_S)
            except StoreUnavailable:
                continue
            claim = read or claim

    def settle_in_background(
        self, held: HeldClaim, state: ClaimState, answer: str = ""
    ) -> None:
        """Writes an outcome now, or as soon as the table answers again."""
        self._spawn(
            lambda: store_claim_outcome(
                self.table, held, state, CLAIM_WRITE_S, answer=answer
            )
        )

    def release_in_background(self, claim: Claim) -> None:
        """Releases a claim whose write got no answer and that was not sent."""

        async def release() -> None:
            known = await read_claim(self.table, claim.key, CLAIM_WRITE_S)
            if known is not None and known.nonce == claim.nonce:
                result = await acquire_claim(self.table, claim, CLAIM_WRITE_S)
                if isinstance(result, Success):
                    held = result.unwrap()
                    await store_claim_outcome(
                        self.table, held, ClaimState.RELEASED, CLAIM_WRITE_S
                    )

        self._spawn(release)

    def _spawn(self, action: Callable[[], Awaitable[object]]) -> None:
        task = asyncio.get_running_loop().create_task(_repeat(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _OnceRun:
    """One try of one call: holds at most one claim."""

    def __init__(
        self, owner: AtMostOnceExecutor, key: str, digest: str, call: PlainCall
    ) -> None:
        self._owner = owner
        self._key = key
        self._digest = digest
        self._call = call
        self._held: HeldClaim | None = None
        self._sent = False

    async def run(self) -> bytes:
        """Runs the call; releases the claim when it certainly did not run."""
        try:
            return await run_at_most_once(
                self._owner.dispatcher, self._call.work, self._attempt
            )
        except (NoTarget, Overloaded, StoreUnavailable, Quarantined):
            self._give_up()
            raise
        except asyncio.CancelledError:
            # The caller left; a call that was sent may have run.
            self._give_up()
            raise

    async def _attempt(self, place: HeldPermit) -> bytes:
        await self._claim(place.target.name)
        assert self._held is not None
        self._sent = True
        try:
            body = await send_call(self._owner.dispatcher, place, self._call)
        except (ConnectFailed, RefusedByTarget, Overloaded):
            self._sent = False
            raise
        except (ConnectionLost, TargetFault) as error:
            self._owner.settle_in_background(self._held, ClaimState.UNKNOWN)
            await self._owner.dispatcher.handle_lost_answer(self._call.work, place)
            raise build_outcome_unknown(str(error)) from error
        answer = body.decode()
        if len(answer) > MAX_ANSWER_CHARACTERS:
            answer = ""
        state = ClaimState.ANSWERED if answer else ClaimState.UNKNOWN
        self._owner.settle_in_background(self._held, state, answer)
        return body

    async def _claim(self, target: str) -> None:
        remaining_s = self._call.work.admission.deadline_s - _now_s()
        timeout_s = min(CLAIM_WRITE_S, remaining_s)
        if self._held is not None:
            moved = await change_claim_target(
                self._owner.table, self._held, target, timeout_s
            )
            if not isinstance(moved, Success):
                self._held = None
                raise ClaimTaken(moved.failure())
            self._held = moved.unwrap()
            return
        claim = build_claim(self._key, self._digest, self._owner.vm, target)
        try:
            taken = await acquire_claim(self._owner.table, claim, timeout_s)
        except AmbiguousWrite:
            self._owner.release_in_background(claim)
            raise
        if not isinstance(taken, Success):
            raise ClaimTaken(taken.failure())
        self._held = taken.unwrap()

    def _give_up(self) -> None:
        if self._held is None:
            return
        state = ClaimState.UNKNOWN if self._sent else ClaimState.RELEASED
        self._owner.settle_in_background(self._held, state)
        self._held = None


async def _repeat(action: Callable[[], Awaitable[object]]) -> None:
    deadline_s = _now_s() + SETTLE_FOR_S
    while _now_s() < deadline_s:
        try:
            await action()
        except ShelfError:
            await asyncio.sleep(SETTLE_GAP_S)
        else:
            return


def _digest(call: PlainCall) -> str:
    body = call.path.encode() + b"\0" + call.body
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["AtMostOnceExecutor"]
