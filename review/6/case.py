"""The owner of a batch submission freezes while the store answers it."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

import msgspec
from small_deployment import (
    BROKEN,
    HELD,
    CaseNotRun,
    Record,
    SmallDeployment,
    is_troubled,
    run_case,
)

from tamarackshelf.contracts.rows import RowTransaction
from tests.soak import responses, workers

# One of 10 groups of 8 items, as `route-rollout` has.
ITEMS, GROUP_SIZE = 80, 8
# Steps of the trainers that ended a moment ago; a node keeps them for 20 s.
EARLIER_JOBS, EARLIER_ITEMS = 8, 4
# `node_freeze` of kis-barge lasts 4.0 s.
FREEZE_S = 4.0
# The store cuts the node's channels this long after the freeze began.
CUT_AFTER_S = 3.5
# The results whose writing the freeze interrupts.
FREEZE_AT_WRITE = 8
# A consumer waits for a batch submission for its time budget and 1.5 s more.
READ_S = 13.5
STABLE_WINDOW_S = 3.0
SETTLE_S = 1.0
MAX_TRIALS = 3


class Trial:
    """One batch submission, read at each node in turn from its start."""

    def __init__(self, deployment: SmallDeployment, record: Record, job: str) -> None:
        self._deployment = deployment
        self._record = record
        self._job = job
        # By position: when it was first read, and the result.
        self._known: dict[int, tuple[float, dict[str, Any]]] = {}
        self._writes = 0
        self._frozen = ""
        self._thawed_s: float | None = None
        self._freeze: asyncio.Task[None] | None = None
        self.owners: list[str] = []
        self.lost = 0
        self.changed = 0

    async def run(self) -> None:
        """Submit, disturb and read; count what broke the rules."""
        deployment = self._deployment
        for number in range(EARLIER_JOBS):
            earlier = f"{self._job}e{number}"
            await deployment.submit("n1", earlier, EARLIER_ITEMS, 4, scored=False)
        await asyncio.sleep(4.0)
        deployment.store.on_commit = self._watch_commit
        await deployment.submit("n1", self._job, ITEMS, GROUP_SIZE)
        until_s = time.monotonic() + READ_S
        await asyncio.gather(*(self._read(n, until_s) for n in deployment.nodes))
        if self._freeze is not None:
            await self._freeze
        deployment.store.on_commit = lambda node, tx: None
        await deployment.call("n2", "DELETE", f"/v1/lots/{self._job}")
        self._record.note(f"end {self._job}")

    def _watch_commit(self, node: str, transaction: RowTransaction) -> None:
        for write in transaction.writes:
            if write.at.part != self._job or write.value is None:
                continue
            if write.at.table == "job":
                head = msgspec.msgpack.decode(write.value)
                self.owners.append(str(head["owner"]))
                self._record.note(
                    f"store: {node} wrote the head of {self._job}: owner "
                    f"{head['owner']}, epoch {head['epoch']}, {head['state']}"
                )
            if write.at.table == "job-result":
                self._record.note(
                    f"store: {node} wrote position {write.at.key} of {self._job}"
                )
                self._writes += 1
        if self._writes >= FREEZE_AT_WRITE and is_troubled() and not self._frozen:
            # The answer to this write is on its way when the machine stands still.
            self._frozen = node
            self._deployment.nodes[node].send_signal(signal.SIGSTOP)
            self._freeze = asyncio.create_task(self._stand_still(node))

    async def _stand_still(self, node: str) -> None:
        link = self._deployment.links[node]
        self._record.note(f"{node} stands still")
        link.faults.is_cut_up = link.faults.is_cut_down = True
        await asyncio.sleep(CUT_AFTER_S)
        self._record.note(f"store: forgets its history and cuts the channels of {node}")
        link.reset_all()
        self._deployment.store.rows.truncate_history()
        await asyncio.sleep(FREEZE_S - CUT_AFTER_S)
        link.faults.is_cut_up = link.faults.is_cut_down = False
        self._deployment.nodes[node].send_signal(signal.SIGCONT)
        self._thawed_s = time.monotonic()
        self._record.note(f"{node} runs again")

    def _is_in_touch(self, node: str, at_s: float) -> bool:
        if node != self._frozen:
            return True
        return self._thawed_s is not None and at_s - self._thawed_s > STABLE_WINDOW_S

    async def _read(self, node: str, until_s: float) -> None:
        after = 0
        while time.monotonic() < until_s and after < ITEMS:
            if node == self._frozen and self._thawed_s is None:
                await asyncio.sleep(0.1)
                continue
            sent_s = time.monotonic()
            path = f"/v1/lots/{self._job}?after={after}"
            answer = await self._deployment.call(node, "GET", path)
            if answer is None or answer.status != 200:
                status = 0 if answer is None else answer.status
                self._record.note(f"read {path} at {node}: {status}")
            else:
                results = msgspec.json.decode(answer.body)["results"]
                ids = ",".join(result["id"] for result in results)
                self._record.note(f"read {path} at {node}: {len(results)} [{ids}]")
                for result in results:
                    self._check_result(node, after, result)
                    after += 1
                if not results:
                    self._check_nothing(node, after, sent_s)
            await asyncio.sleep(0.2)

    def _check_result(self, node: str, position: int, result: dict[str, Any]) -> None:
        known = self._known.setdefault(position, (time.monotonic(), result))
        if known[1] != result:
            self.changed += 1
            self._record.note(
                f"TWICE: position {position} of {self._job} held {known[1]['id']} and "
                f"holds {result['id']} at {node}"
            )

    def _check_nothing(self, node: str, position: int, sent_s: float) -> None:
        known = self._known.get(position)
        if known is None or sent_s - known[0] <= SETTLE_S:
            return
        if self._is_in_touch(node, sent_s):
            self.lost += 1
            self._record.note(
                f"LOST: {node} is in touch and has nothing at position {position} of "
                f"{self._job}, which was read {sent_s - known[0]:.1f} s before"
            )


async def play(record: Record) -> int:
    """Play the case; return its exit status."""
    responses.EVENT_COUNT_RANGE = (10, 40)
    workers.EVENT_INTERVAL_S = 0.06
    deployment = SmallDeployment(record)
    try:
        await deployment.start()
        await asyncio.sleep(3.0)
        has_moved = False
        for number in range(MAX_TRIALS if is_troubled() else 1):
            trial = Trial(deployment, record, f"step{number}")
            await trial.run()
            has_moved = has_moved or len(set(trial.owners)) > 1
            print(f"positions changed: {trial.changed}, nothing at a position: {trial.lost}")
            if trial.lost:
                return BROKEN
            await asyncio.sleep(2.0)
        if is_troubled() and not has_moved:
            raise CaseNotRun("no other node took the batch submission over")
        return HELD
    finally:
        for run in deployment.history.runs:
            record.note(f"run {run.request_id} at {run.worker}")
        await deployment.close()


run_case(play, Path(__file__).parent)
