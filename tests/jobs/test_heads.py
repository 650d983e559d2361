"""The head of a job under ends, hand-overs and faults of the store at any moment."""

from __future__ import annotations

import asyncio
import contextlib

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from tamarackshelf.errors import ShelfError
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.job_store import HEAD_TABLE, decode_head
from tamarackshelf.world.job import JobState
from tests.support.node import Cluster, SimulatedEngines, build_job

# An end that was confirmed takes effect at all nodes within this time of a sound store.
CANCEL_S = 3.0
DAY_S = 4.0

NAMES = "abcd"
NODES = st.sampled_from(NAMES)
TIMES_S = st.floats(0.0, DAY_S).map(lambda value: round(value, 2))
FAULTS = st.one_of(
    st.tuples(st.just("down"), TIMES_S, st.floats(0.05, 2.0)),
    st.tuples(st.just("refuse"), TIMES_S, NODES, st.floats(0.05, 2.0)),
    st.tuples(st.just("lose"), TIMES_S, NODES, st.integers(1, 3)),
    st.tuples(st.just("late"), TIMES_S, NODES, st.integers(1, 3)),
    st.tuples(st.just("stop"), TIMES_S, NODES),
    st.tuples(st.just("freeze"), TIMES_S, NODES, st.floats(0.8, 3.0)),
)


def refuse_all_but(reaching, stopping):
    """Return faults: one node stops while the store refuses all nodes but one."""
    refused = [name for name in NAMES if name != reaching]
    refusals = [("refuse", 0.5, name, 1.5) for name in refused]
    return [*refusals, ("stop", 0.6, stopping)]


class Day:
    """A cluster with one job, to which faults happen until the job is ended."""

    def __init__(self):
        engines = SimulatedEngines(events_per_item=400)
        self.cluster = Cluster(MemoryRowStore(), engines, NAMES, "dc")
        self.job = build_job()

    async def play(self, accepted_by, ends, faults):
        cluster = self.cluster
        await cluster.start()
        await asyncio.sleep(0.1)
        now_s = asyncio.get_running_loop().time
        manager = cluster.nodes[accepted_by].job_manager
        await manager.submit(self.job, now_s() + 7.5)
        tasks = [asyncio.create_task(self._cause(fault)) for fault in faults]
        tasks.append(asyncio.create_task(self._end(*ends)))
        await asyncio.gather(*tasks)
        cluster.store.is_down = False
        for node in cluster.nodes.values():
            node.client.lose_answers = 0
        await asyncio.sleep(CANCEL_S)
        runs = len(cluster.engines.runs)
        await asyncio.sleep(2.0)
        assert cluster.engines.runs[runs:] == []
        self._check_heads()
        await cluster.stop()

    async def _end(self, at_s, name):
        """End the job at a node, as often as it takes."""
        await asyncio.sleep(at_s)
        while True:
            with contextlib.suppress(ShelfError):
                await self.cluster.nodes[name].job_manager.end(self.job.job_id)
                return
            await asyncio.sleep(0.1)

    async def _cause(self, fault):
        kind, at_s, *options = fault
        await asyncio.sleep(at_s)
        cluster = self.cluster
        if kind == "down":
            cluster.store.is_down = True
            await asyncio.sleep(options[0])
            cluster.store.is_down = False
            return
        node = cluster.nodes[options[0]]
        if kind in ("lose", "late"):
            node.client.late_commit_delay_s = 0.3 if kind == "late" else 0.0
            node.client.lose_answers = options[1]
        elif kind == "refuse":
            node.client.is_refused = True
            await asyncio.sleep(options[1])
            node.client.is_refused = False
        elif kind == "freeze":
            await node.runner.pause()
            await asyncio.sleep(options[1])
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5.0):
                    await node.job_manager.refresh_heads()
            node.runner.resume()
        elif len(cluster.dead) < 2 and options[0] not in cluster.dead:
            node.fleet.is_leaving = True
            await node.job_manager.handovers.hand_over_all()
            await cluster.kill(options[0])

    def _check_heads(self):
        """Check that the job never opens again and its epoch never goes back."""
        changes = self.cluster.store._changes
        rows = [c.value for c in changes if c.at.table == HEAD_TABLE and c.value]
        heads = [decode_head(value) for value in rows]
        for before, after in zip(heads, heads[1:], strict=False):
            assert after.epoch >= before.epoch
            assert before.state is JobState.OPEN or after.state is before.state
        assert heads[-1].state is JobState.ENDED


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    accepted_by=NODES,
    ends=st.tuples(TIMES_S, NODES),
    faults=st.lists(FAULTS, max_size=4),
)
# A planned stop while the store refuses its peers; the end is stored by another node
# before the new owner's claim.
@example("a", (1.2, "b"), refuse_all_but("b", stopping="c"))
@example("a", (1.2, "c"), refuse_all_but("c", stopping="b"))
@example("a", (1.2, "d"), refuse_all_but("d", stopping="c"))
@example("a", (1.2, "a"), refuse_all_but("a", stopping="c"))
def test_ended_job_never_opens_again(run_on_new_loop, accepted_by, ends, faults):
    """The claim of a hand-over was built before the end and stored after it.

    Items of a submission whose end was confirmed ran on to their last event.
    """
    run_on_new_loop(Day().play(accepted_by, ends, faults))
