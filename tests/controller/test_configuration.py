"""An accepted configuration revision is applied on all nodes and never lost.

The faults are concurrent edits, lost answers of the table, crashed and stale nodes.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from tamarackshelf.controller.api import ControllerApi
from tamarackshelf.controller.configuration_watch import ConfigurationWatch
from tamarackshelf.controller.fleet_state import FleetState
from tamarackshelf.errors import RevisionConflict, StoreUnavailable
from tamarackshelf.gossip.task import GossipSettings, GossipTask
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.state.configuration import accept_edit, read_body, read_head
from tamarackshelf.world import EntryVm, OrganisationParameters, VmRow, VmState
from tests.support.fleet import MemoryFleet
from tests.support.memory import MemoryHttp, new_address

SECRET = "s"
VMS = 12
APPLIED_WITHIN_S = 5.0


class MemoryLink:
    """In-memory link for gossip datagrams that drops the fraction `loss` of them."""

    def __init__(self, links, receiver, rng, loss=0.0):
        self.sent_bytes = 0
        self._links = links
        self._receiver = receiver
        self._rng = rng
        self._loss = loss
        self._address = None

    async def start(self, address):
        self._address = address
        self._links[address] = self
        return address

    async def close(self):
        self._links.pop(self._address, None)

    def send(self, address, datagram):
        link = self._links.get(address)
        if link is not None and self._rng.random() >= self._loss:
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, link._receiver, datagram, self._address)


class Node:
    """The parts of a controller that apply the configuration."""

    def __init__(self, fleet, links, vm, entry, rows):
        rng = Random(vm)
        timeline = Timeline(vm, lambda: 0)
        http = MemoryHttp(fleet.network, vm, {"x-fleet-secret": SECRET})
        self.entry = entry
        self.links = links
        self.fleet = fleet
        self.rows = rows
        self.table = fleet.build_table(vm)
        self.gossip = GossipTask(
            GossipSettings(vm, 1, entry.gossip),
            http,
            timeline,
            rng,
            lambda receiver: MemoryLink(links, receiver, rng),
        )
        self.fleet_state = FleetState(self.gossip.membership)
        self.watch = ConfigurationWatch(
            self.fleet_state, self.gossip, self.table, http, timeline, rng
        )
        self.api = ControllerApi(
            SECRET, self.fleet_state, self.gossip, self.watch, timeline, Metrics()
        )

    @property
    def revision(self):
        return self.fleet_state.configuration.revision

    async def start(self):
        self.fleet.network.add(self.api.handle, self.entry.controller)
        await self.table.start()
        await self.gossip.start()
        self.fleet_state.rows = self.rows
        self.gossip.set_entries(self.fleet_state.entries)
        await self.gossip.join()
        await self.watch.start()

    async def crash(self):
        self.fleet.network.remove(self.entry.controller)
        await self.watch.close()
        await self.gossip.close()
        await self.table.close()


def build_nodes(fleet, count):
    entries = [
        EntryVm(f"v{i}", "a", *(new_address() for _ in range(5))) for i in range(count)
    ]
    rows = tuple(VmRow(e.name, VmState.LIVE, entry=e) for e in entries)
    links = {}
    return [Node(fleet, links, e.name, e, rows) for e in entries]


def build_edit(name):
    def edit(configuration):
        organisations = {
            **configuration.organisations,
            name: OrganisationParameters(name, ()),
        }
        return replace(configuration, organisations=organisations)

    return edit


async def accept_at(node, based_on, name="org", timeout_s=5.0):
    """Accept an edit as a gateway does for an operator; return the revision."""
    edit = build_edit(name)
    result = await accept_edit(node.table, node.entry.name, based_on, edit, timeout_s)
    revision = result.unwrap().revision
    await node.watch.announce_revision(revision)
    return revision


async def start_fleet(count=VMS):
    fleet = MemoryFleet()
    nodes = build_nodes(fleet, count)
    await asyncio.gather(*(node.start() for node in nodes))
    await accept_at(nodes[0], 0)
    await asyncio.sleep(10.0)
    assert {node.revision for node in nodes} == {1}
    assert all(node.fleet_state.ready for node in nodes)
    return fleet, nodes


async def wait_until_applied(nodes, revision):
    started_s = asyncio.get_running_loop().time()
    while {node.revision for node in nodes} != {revision}:
        await asyncio.sleep(0.05)
        assert asyncio.get_running_loop().time() - started_s <= APPLIED_WITHIN_S


def test_a_revision_is_applied_everywhere_within_five_seconds(run):
    async def scenario():
        _, nodes = await start_fleet()
        await accept_at(nodes[3], 1)
        await wait_until_applied(nodes, 2)

    run(scenario())


def test_the_accepting_node_crashes_right_after_the_commit(run):
    async def scenario():
        _, nodes = await start_fleet()
        edit = build_edit("late")
        await accept_edit(nodes[3].table, "op", 1, edit, 5.0)
        await nodes[3].crash()
        await wait_until_applied(nodes[:3] + nodes[4:], 2)

    run(scenario())


def test_table_and_accepting_node_fail_right_after_the_acceptance(run):
    async def scenario():
        fleet, nodes = await start_fleet()
        await accept_at(nodes[3], 1)
        fleet.table.faults.down = True
        await nodes[3].crash()
        survivors = nodes[:3] + nodes[4:]
        applied = [n for n in survivors if n.revision == 2]
        if applied:
            await wait_until_applied(survivors, 2)
        fleet.table.faults.down = False
        await wait_until_applied(survivors, 2)

    run(scenario())


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_a_lost_commit_answer_is_no_conflict(run, lost):
    async def scenario():
        fleet, nodes = await start_fleet(3)
        fleet.table.faults.lose_answers = lost
        assert await accept_at(nodes[0], 1) == 2
        await wait_until_applied(nodes, 2)

    run(scenario())


def test_one_of_concurrent_edits_wins_and_the_others_learn_its_author(run):
    async def scenario():
        _, nodes = await start_fleet(3)
        results = await asyncio.gather(
            *(
                accept_edit(node.table, f"op-{node.entry.name}", 1, edit, 5.0)
                for node, edit in zip(nodes, map(build_edit, "xyz"), strict=True)
            )
        )
        successes = [r for r in results if isinstance(r, Success)]
        failures = [r.failure() for r in results if not isinstance(r, Success)]
        assert len(successes) == 1
        winner = next(iter(set(successes[0].unwrap().organisations) - {"org"}))
        author = f"op-v{'xyz'.index(winner)}"
        for error in failures:
            assert isinstance(error, RevisionConflict)
            assert author in error.message
            assert "accept again" in error.message

    run(scenario())


def test_a_node_that_starts_in_an_outage_applies_the_revision_of_its_peers(run):
    async def scenario():
        fleet, nodes = await start_fleet(5)
        stale = nodes[4]
        await stale.crash()
        await accept_at(nodes[0], 1)
        await wait_until_applied(nodes[:4], 2)
        fleet.table.faults.down = True
        new = Node(fleet, {}, stale.entry.name, stale.entry, stale.rows)
        await new.start()
        await asyncio.sleep(10.0)
        assert new.fleet_state.ready
        assert new.revision == 2

    run(scenario())


def test_a_node_beside_one_stale_peer_is_not_ready_in_an_outage(run):
    async def scenario():
        fleet, nodes = await start_fleet(5)
        for node in nodes[1:]:
            await node.crash()
        await accept_without_announcement(fleet)
        fleet.table.faults.down = True
        new = Node(fleet, {}, "v4", nodes[4].entry, nodes[4].rows)
        await new.start()
        await asyncio.sleep(30.0)
        assert not new.fleet_state.ready
        fleet.table.faults.down = False
        await asyncio.sleep(5.0)
        assert new.fleet_state.ready
        assert new.revision == 2

    run(scenario())


async def accept_without_announcement(fleet):
    table = fleet.build_table("op")
    await table.start()
    await accept_edit(table, "op", 1, build_edit("unseen"), 5.0)
    await table.close()


def test_a_node_never_applies_a_lower_revision(run):
    async def scenario():
        _, nodes = await start_fleet(3)
        old = nodes[0].fleet_state.configuration
        await accept_at(nodes[0], 1)
        await wait_until_applied(nodes, 2)
        assert not nodes[0].watch.apply(old, "an old datagram")
        assert nodes[0].revision == 2

    run(scenario())


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    plan=st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["commit", "lost", "crash", "down", "sleep"]),
        ),
        max_size=8,
    )
)
def test_no_accepted_edit_is_lost(run_on_new_loop, plan):
    """Under concurrent edits and faults, the last body holds all accepted edits."""

    async def scenario():
        fleet = MemoryFleet()
        tables = [fleet.build_table(f"t{i}") for i in range(3)]
        for table in tables:
            await table.start()
        accepted = []

        async def operate(index, number, fault):
            fleet.table.faults.lose_answers += fault == "lost"
            fleet.table.faults.down = fault == "down"
            name = f"n{number}"
            try:
                head = await read_head(tables[index], 0.5)
                based_on = 0 if head is None else head.revision
                edit = build_edit(name)
                call = accept_edit(tables[index], name, based_on, edit, 0.5)
                if fault == "crash":
                    call = asyncio.wait_for(call, 0.003)
                result = await call
            except (StoreUnavailable, TimeoutError):
                return
            finally:
                fleet.table.faults.down = False
            if isinstance(result, Success):
                accepted.append((result.unwrap().revision, name))

        tasks = []
        for number, (index, fault) in enumerate(plan):
            tasks.append(asyncio.ensure_future(operate(index, number, fault)))
            if fault == "sleep":
                await asyncio.gather(*tasks)
        await asyncio.gather(*tasks)
        fleet.table.faults.lose_answers = 0
        head = await read_head(tables[0], 5.0)
        if not accepted:
            return
        revisions = [revision for revision, _ in accepted]
        assert len(set(revisions)) == len(revisions)
        assert head.revision >= max(revisions)
        last = await read_body(tables[0], head.revision)
        assert {name for _, name in accepted} <= last.organisations.keys()

    run_on_new_loop(scenario())


def test_a_node_that_the_others_do_not_list_yet_suspects_nobody(run):
    async def scenario():
        fleet, nodes = await start_fleet(4)
        links = nodes[0].links
        entry = EntryVm("new", "a", *(new_address() for _ in range(5)))
        rows = (*nodes[0].rows, VmRow("new", VmState.LIVE, entry=entry))
        new = Node(fleet, links, "new", entry, rows)
        await new.start()
        await asyncio.sleep(10.0)
        events = new.gossip._timeline.page().events
        assert [e.subject for e in events if e.kind == "member_suspect"] == []

    run(scenario())


def test_a_new_node_knows_the_others_before_it_starts_work(run):
    async def scenario():
        fleet, nodes = await start_fleet(5)
        for node in nodes:
            node.gossip.membership.set_flags(["gateway", "runner"])
        await asyncio.sleep(5.0)
        await nodes[4].crash()
        new = Node(fleet, {}, "v4", nodes[4].entry, nodes[4].rows)
        await new.start()
        views = {view.name: view.flags for view in new.gossip.membership.views()}
        for name in ("v0", "v1", "v2", "v3"):
            assert views[name] == {"gateway", "runner"}

    run(scenario())
