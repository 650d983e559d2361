"""At-most-once execution of keyed calls, based on claim rows in the table service.

Each attempt first waits for free capacity at a target, then writes the claim, then
sends the call. Once a byte was sent, the call is sent again only if the target
reports that it did not run it.
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

CLAIM_WRITE_TIMEOUT_S = 2.0
CLAIM_READ_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1
OUTCOME_RETRY_DURATION_S = 120.0
OUTCOME_RETRY_INTERVAL_S = 0.5
MAX_STORED_ANSWER_CHARACTERS = 64 * 1024
MAX_PENDING_CLAIM_READS = 256


class ClaimHeldElsewhere(Exception):
    """Another attempt with the same key holds the claim."""

    def __init__(self, claim: Claim) -> None:
        super().__init__(claim.key)
        self.claim = claim


class AtMostOnceExecutor:
    """Runs keyed non-idempotent calls and answers resent ones from their claims."""

    def __init__(self, vm: str, dispatcher: Dispatcher, table: TableClient) -> None:
        self.vm = vm
        self.dispatcher = dispatcher
        self.table = table
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_claim_reads = 0

    async def run(self, key: str, call: PlainCall) -> bytes:
        """Return the answer of this call or of the attempt that holds the key's claim.

        Raise OutcomeUnknown if the call may have run and KeyConflict if the key was
        used with another body. Any other error means that this attempt did not run it.
        """
        digest = _compute_digest(call)
        while True:
            existing = await self._read_existing(key, call.request.admission.deadline_s)
            if existing is not None and existing.state is not ClaimState.RELEASED:
                answer = await self._wait_for_outcome(existing, digest, call)
                if answer is not None:
                    return answer
                continue
            try:
                return await _ClaimedExecution(self, key, digest, call).run()
            except ClaimHeldElsewhere as error:
                answer = await self._wait_for_outcome(error.claim, digest, call)
                if answer is not None:
                    return answer

    async def close(self) -> None:
        """Wait until all outcomes are written or their retries have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _read_existing(self, key: str, deadline_s: float) -> Claim | None:
        if self._pending_claim_reads >= MAX_PENDING_CLAIM_READS:
            raise StoreUnavailable(
                "the table service is unavailable and too many calls are waiting for "
                "it; send the call again later",
                retry_after_s=1.0,
            )
        self._pending_claim_reads += 1
        try:
            remaining_s = deadline_s - _now_s()
            return await read_claim(self.table, key, remaining_s)
        finally:
            self._pending_claim_reads -= 1

    async def _wait_for_outcome(
        self, claim: Claim, digest: str, call: PlainCall
    ) -> bytes | None:
        """Wait for the outcome of the attempt that holds the claim.

        Return its answer, or None if it released the claim without running the call.
        Raise OutcomeUnknown if it got no answer or still runs at the deadline.
        """
        if claim.body_digest != digest:
            raise build_key_conflict()
        while True:
            if claim.state is ClaimState.ANSWERED:
                return claim.answer.encode()
            if claim.state is ClaimState.RELEASED:
                return None
            if claim.state is ClaimState.UNKNOWN:
                raise build_outcome_unknown("an earlier attempt received no answer")
            if _now_s() + POLL_INTERVAL_S >= call.request.admission.deadline_s:
                raise build_outcome_unknown(
                    f"an earlier attempt is running at gateway {claim.gateway}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                read = await read_claim(self.table, claim.key, CLAIM_READ_TIMEOUT_S)
            except StoreUnavailable:
                continue
            claim = read or claim

    def store_outcome_in_background(
        self, held: HeldClaim, state: ClaimState, answer: str = ""
    ) -> None:
        """Write the outcome in a task, which retries for OUTCOME_RETRY_DURATION_S."""
        self._retry_in_background(
            lambda: store_claim_outcome(
                self.table, held, state, CLAIM_WRITE_TIMEOUT_S, answer=answer
            )
        )

    def release_in_background(self, claim: Claim) -> None:
        """Release a claim whose write got no response, if it was written after all.

        Its call was not sent; once released, another attempt with the key may run it.
        """

        async def release() -> None:
            stored = await read_claim(self.table, claim.key, CLAIM_WRITE_TIMEOUT_S)
            if stored is not None and stored.nonce == claim.nonce:
                result = await acquire_claim(self.table, claim, CLAIM_WRITE_TIMEOUT_S)
                if isinstance(result, Success):
                    held = result.unwrap()
                    await store_claim_outcome(
                        self.table, held, ClaimState.RELEASED, CLAIM_WRITE_TIMEOUT_S
                    )

        self._retry_in_background(release)

    def _retry_in_background(self, action: Callable[[], Awaitable[object]]) -> None:
        task = asyncio.get_running_loop().create_task(_retry(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _ClaimedExecution:
    """Execution of one call by this gateway, under at most one claim."""

    def __init__(
        self, executor: AtMostOnceExecutor, key: str, digest: str, call: PlainCall
    ) -> None:
        self._executor = executor
        self._key = key
        self._digest = digest
        self._call = call
        self._held_claim: HeldClaim | None = None
        self._is_sent = False

    async def run(self) -> bytes:
        """Run the call and return its answer.

        On an error, release the claim if the call certainly did not run.
        """
        try:
            return await run_at_most_once(
                self._executor.dispatcher, self._call.request, self._attempt
            )
        except (NoTarget, Overloaded, StoreUnavailable, Quarantined):
            self._store_unfinished_outcome()
            raise
        except asyncio.CancelledError:
            # The request was cancelled; a call that was already sent may have run.
            self._store_unfinished_outcome()
            raise

    async def _attempt(self, permit: HeldPermit) -> bytes:
        await self._acquire_claim(permit.target.name)
        assert self._held_claim is not None
        self._is_sent = True
        try:
            body = await send_call(self._executor.dispatcher, permit, self._call)
        except (ConnectFailed, RefusedByTarget, Overloaded):
            self._is_sent = False
            raise
        except (ConnectionLost, TargetFault) as error:
            self._executor.store_outcome_in_background(
                self._held_claim, ClaimState.UNKNOWN
            )
            await self._executor.dispatcher.handle_lost_answer(
                self._call.request, permit
            )
            raise build_outcome_unknown(str(error)) from error
        answer = body.decode()
        if len(answer) > MAX_STORED_ANSWER_CHARACTERS:
            answer = ""
        state = ClaimState.ANSWERED if answer else ClaimState.UNKNOWN
        self._executor.store_outcome_in_background(self._held_claim, state, answer)
        return body

    async def _acquire_claim(self, target: str) -> None:
        """Acquire the claim for a target, or move the claim of an earlier attempt.

        Raise ClaimHeldElsewhere if another attempt with the same key holds it.
        """
        remaining_s = self._call.request.admission.deadline_s - _now_s()
        timeout_s = min(CLAIM_WRITE_TIMEOUT_S, remaining_s)
        if self._held_claim is not None:
            moved = await change_claim_target(
                self._executor.table, self._held_claim, target, timeout_s
            )
            if not isinstance(moved, Success):
                self._held_claim = None
                raise ClaimHeldElsewhere(moved.failure())
            self._held_claim = moved.unwrap()
            return
        claim = build_claim(self._key, self._digest, self._executor.vm, target)
        try:
            acquired = await acquire_claim(self._executor.table, claim, timeout_s)
        except AmbiguousWrite:
            self._executor.release_in_background(claim)
            raise
        if not isinstance(acquired, Success):
            raise ClaimHeldElsewhere(acquired.failure())
        self._held_claim = acquired.unwrap()

    def _store_unfinished_outcome(self) -> None:
        if self._held_claim is None:
            return
        state = ClaimState.UNKNOWN if self._is_sent else ClaimState.RELEASED
        self._executor.store_outcome_in_background(self._held_claim, state)
        self._held_claim = None


async def _retry(action: Callable[[], Awaitable[object]]) -> None:
    deadline_s = _now_s() + OUTCOME_RETRY_DURATION_S
    while _now_s() < deadline_s:
        try:
            await action()
        except ShelfError:
            await asyncio.sleep(OUTCOME_RETRY_INTERVAL_S)
        else:
            return


def _compute_digest(call: PlainCall) -> str:
    body = call.path.encode() + b"\0" + call.body
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["AtMostOnceExecutor"]
