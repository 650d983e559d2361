"""The positions of a job's results while nodes freeze and the store loses answers."""

from __future__ import annotations

import asyncio
import contextlib

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from tamarackshelf.contracts.rows import StoreOutcomeUnknown
from tamarackshelf.errors import ShelfError
from tamarackshelf.standin.row_store import MemoryRowStore, MemoryRowStoreClient
from tamarackshelf.store.job_store import HEAD_TABLE, RESULT_TABLE, decode_head
from tamarackshelf.world.job import JobState
from tests.support.node import Cluster, SimulatedEngines, build_job

# A node is in touch once neither it nor the store was disturbed for this long.
STABLE_S = 3.0
# Each node in touch has a result this long after it was read at any node.
SETTLE_S = 1.0
DAY_S = 12.0
READ_INTERVAL_S = 0.2
# A thawed process reads the heads of its other jobs first.
REFRESH_DELAY_S = 0.3

NAMES = "abc"
NODES = st.sampled_from(NAMES)
TIMES_S = st.floats(0.2, 6.0).map(lambda value: round(value, 2))
FAULTS = st.one_of(
    st.tuples(st.just("freeze"), TIMES_S, NODES, st.floats(1.0, 4.0), st.booleans()),
    st.tuples(st.just("lose"), TIMES_S, NODES, st.integers(1, 3)),
    st.tuples(st.just("late"), TIMES_S, NODES, st.integers(1, 3)),
    st.tuples(st.just("drop_history"), TIMES_S),
    st.tuples(st.just("down"), TIMES_S, st.floats(0.05, 1.5)),
)


class CheckedStore(MemoryRowStore):
    """A row store that checks each commit, whichever node made it."""

    def __init__(self):
        super().__init__()
        self.violations = []
        self._head = None
        self._results = {}
        self._writers = {}

    def connect(self):
        return FreezableClient(_CheckedAccess(self))

    def check(self, access, transaction):
        for write in transaction.writes:
            if write.at.table == HEAD_TABLE:
                self._check_head(decode_head(write.value))
            if write.at.table == RESULT_TABLE:
                if self._results.setdefault(write.at, write.value) != write.value:
                    self.violations.append(f"{write.at.key} was overwritten")
                if self._writers.setdefault(self._head.epoch, access) is not access:
                    self.violations.append(f"two writers in epoch {self._head.epoch}")

    def _check_head(self, head):
        before, self._head = self._head, head
        if before is None:
            return
        if head.epoch < before.epoch:
            self.violations.append(f"epoch {head.epoch} after {before.epoch}")
        if before.state is JobState.ENDED and head.state is not JobState.ENDED:
            self.violations.append("an ended job is open again")


class _CheckedAccess:
    """One node's access to the store."""

    def __init__(self, store):
        self._store = store

    def __getattr__(self, name):
        return getattr(self._store, name)

    def commit_now(self, transaction):
        done = self._store.commit_now(transaction)
        self._store.check(self, transaction)
        return done


class FreezableClient(MemoryRowStoreClient):
    """A client whose process can stand still while the store's answers are on the way.

    With `loses_answers` these answers are lost.
    """

    def __init__(self, store):
        super().__init__(store)
        self.committed = asyncio.Event()
        self.runs = asyncio.Event()
        self.runs.set()
        self.loses_answers = False

    async def commit(self, transaction):
        await self.runs.wait()
        done = await super().commit(transaction)
        self.committed.set()
        return await self._receive(done)

    async def feed(self, query):
        await self.runs.wait()
        return await self._receive(await super().feed(query))

    async def read(self, query):
        await self.runs.wait()
        return await self._receive(await super().read(query))

    async def _receive(self, answer):
        await asyncio.sleep(0.004)
        if not self.runs.is_set():
            await self.runs.wait()
            if self.loses_answers:
                raise StoreOutcomeUnknown("the connection was lost")
        return answer


class Day:
    """A cluster with one job, whose results are read at all nodes all the time."""

    def __init__(self, items):
        self.store = CheckedStore()
        engines = SimulatedEngines(events_per_item=6)
        self.cluster = Cluster(self.store, engines, NAMES, "dc")
        self.job = build_job(items=items)
        # By position: when it was first read, and the result.
        self.known = {}
        self.disturbed_until_s = dict.fromkeys(NAMES, 0.0)
        self.store_disturbed_until_s = 0.0

    async def play(self, accepted_by, end, faults):
        cluster = self.cluster
        await cluster.start()
        await asyncio.sleep(0.1)
        manager = cluster.nodes[accepted_by].job_manager
        await manager.submit(self.job, _now_s() + 7.5)
        until_s = _now_s() + DAY_S
        tasks = [asyncio.create_task(self._cause(fault)) for fault in faults]
        tasks += [asyncio.create_task(self._read(name, until_s)) for name in NAMES]
        if end is not None:
            tasks.append(asyncio.create_task(self._end(*end)))
        await asyncio.gather(*tasks)
        await cluster.stop()
        assert self.store.violations == []

    async def _end(self, at_s, name):
        await asyncio.sleep(at_s)
        while True:
            with contextlib.suppress(ShelfError):
                await self.cluster.nodes[name].job_manager.end(self.job.job_id)
                return
            await asyncio.sleep(0.1)

    async def _cause(self, fault):
        kind, at_s, *options = fault
        await asyncio.sleep(at_s)
        if kind == "freeze":
            await self._freeze(*options)
        elif kind == "drop_history":
            self.store.truncate_history()
        elif kind == "down":
            self.store.is_down = True
            await asyncio.sleep(options[0])
            self.store.is_down = False
            self.store_disturbed_until_s = _now_s()
        else:
            client = self.cluster.nodes[options[0]].client
            client.late_commit_delay_s = 0.3 if kind == "late" else 0.0
            client.lose_answers = options[1]
            self.store_disturbed_until_s = _now_s()

    async def _freeze(self, name, duration_s, loses_answers):
        node = self.cluster.nodes[name]
        if name in self.cluster.dead:
            return
        # The process freezes as the answer to a write is on its way, if it writes.
        node.client.committed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await node.client.committed.wait()
        node.client.loses_answers = loses_answers
        node.client.runs.clear()
        self.cluster.dead.add(name)
        self.disturbed_until_s[name] = float("inf")
        await asyncio.sleep(duration_s)
        self.cluster.dead.discard(name)
        node.client.runs.set()
        self.disturbed_until_s[name] = _now_s()
        await node.runner.pause()
        await asyncio.sleep(REFRESH_DELAY_S)
        await node.job_manager.refresh_heads()
        node.runner.resume()

    async def _read(self, name, until_s):
        node = self.cluster.nodes[name]
        after = 0
        while _now_s() < until_s:
            await asyncio.sleep(READ_INTERVAL_S)
            await node.client.runs.wait()
            sent_s = _now_s()
            try:
                page = await node.job_manager.reader.read(self.job.job_id, after, 0.0)
            except ShelfError:
                continue
            for position, result in enumerate(page.results, after):
                _, known = self.known.setdefault(position, (_now_s(), result))
                if result != known:
                    self.store.violations.append(f"{name} changed {position}")
            after += len(page.results)
            if not page.results and after in self.known:
                age_s = sent_s - self.known[after][0]
                if age_s > SETTLE_S and self._is_in_touch(name, sent_s):
                    self.store.violations.append(f"{name} has nothing at {after}")

    def _is_in_touch(self, name, at_s):
        disturbed_s = max(self.disturbed_until_s[name], self.store_disturbed_until_s)
        return not self.store.is_down and at_s - disturbed_s > STABLE_S


def _now_s():
    return asyncio.get_running_loop().time()


def interrupt_write(owner, at_s):
    """Return faults: the owner freezes during a write, and its feed loses changes."""
    return [("freeze", at_s, owner, 4.0, True), ("drop_history", at_s + 3.9)]


@settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    items=st.sampled_from([1, 44, 45, 68, 80]),
    accepted_by=NODES,
    end=st.none() | st.tuples(TIMES_S, NODES),
    faults=st.lists(FAULTS, max_size=4),
)
# "c" is the home node of the job's model, so it runs the job.
@example(68, "a", None, interrupt_write("c", 0.3))
@example(80, "a", None, interrupt_write("c", 0.3))
@example(80, "b", None, interrupt_write("c", 0.5))
def test_read_results_keep_their_positions(
    run_on_new_loop, items, accepted_by, end, faults
):
    """The owner froze while the store answered it, and another node took over.

    Both listed results; results that were read were missing at the first owner, or were
    overwritten.
    """
    run_on_new_loop(Day(items).play(accepted_by, end, faults))
