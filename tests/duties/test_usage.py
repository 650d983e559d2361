"""Usage reports: each request is counted once and each window has one report."""

from __future__ import annotations

import asyncio
import json
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarackshelf.contracts.duties import DutyCallFailed
from tamarackshelf.contracts.rows import StoreRefused
from tamarackshelf.duties.lease import Lease
from tamarackshelf.duties.usage_counts import TABLE_PATH, USAGE_SUBJECT, UsageCounts
from tamarackshelf.net import ConnectFailed
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.usage import list_decidable, merge_counts
from tamarackshelf.store.fleet_rows import acquire_lease, read_lease
from tests.support.duties import FIRST_WINDOW, LEASE_S, DutyNodes, sleep_until

NAMES = "abcd"
FIRST, SECOND, THIRD, LAST = rank_owners(NAMES, USAGE_SUBJECT)


def run_nodes(run, scenario, **options):
    """Run a scenario with started nodes and check the platform's rules at its end."""

    async def build_and_run():
        nodes = DutyNodes(NAMES, **options)
        await nodes.start()
        await scenario(nodes)
        await nodes.close()
        nodes.platform.assert_rules()

    run(build_and_run())


async def run_requests(nodes, until_s, interval_s=0.1):
    """Run one request at each live node per interval, from 0 s on."""
    at_s = interval_s / 2
    while at_s < until_s:
        await sleep_until(at_s)
        for name, node in nodes.nodes.items():
            if name not in nodes.dead:
                node.run_request()
        at_s += interval_s


def test_each_window_is_reported_with_the_requests_of_all_nodes(run):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        await sleep_until(6.0)
        nodes.nodes["b"].run_request("small")
        nodes.nodes["b"].run_request("")
        await sleep_until(20.0)
        counts = nodes.platform.find_counts()
        assert counts[0] == {"org": 200}
        assert counts[1] == {"small": 1}
        assert counts[2] == {}
        assert {holder for _, holder, _, _ in nodes.platform.reports} == {FIRST}
        metrics = nodes.nodes[FIRST].metrics.render()
        assert b"tamarackshelf_usage_lease_held 1.0" in metrics
        assert b"tamarackshelf_usage_report_age_seconds 1." in metrics
        assert b"usage_lease_held 0.0" in nodes.nodes[LAST].metrics.render()

    run_nodes(run, scenario)


# A successor that counted again would report other numbers for the same window.
@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("behaviour", ["unheard", "lost"])
def test_successor_sends_what_a_killed_holder_decided(run, behaviour, checks_fencing):
    """The holder dies between deciding and sending, or between sending and answer."""

    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        nodes.platform.behaviours = [behaviour]
        nodes.platform.on_call = lambda holder: holder == FIRST and nodes.kill(FIRST)
        await sleep_until(8.8)
        assert FIRST in nodes.dead
        # A request that was counted late must not change the stored report.
        nodes.nodes[LAST].duty.recorder.record_run("org", 4.5)
        await sleep_until(14.99)
        assert checks_fencing == (nodes.find_holder() == SECOND)
        await sleep_until(30.0)
        counts = nodes.platform.find_counts()
        assert counts.get(0, {"org": 200}) == {"org": 200}
        assert nodes.find_holder() == SECOND

    run_nodes(run, scenario, checks_fencing=checks_fencing)


# The platform executes such calls with their old number after calls of a successor.
@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("is_killed", [True, False])
def test_call_executed_late_breaks_no_rule(run, is_killed, checks_fencing):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        await sleep_until(8.0)
        nodes.platform.behaviours = ["late"]
        await sleep_until(8.7)
        if is_killed:
            nodes.kill(FIRST, detected_s=0.5)
        await sleep_until(30.0)
        assert nodes.platform.find_counts()[0] == {"org": 200}
        assert nodes.platform.find_counts()[3] == {}

    run_nodes(run, scenario, checks_fencing=checks_fencing)


# Acts of two holders must not alternate within the duration of the lease.
def test_new_holder_waits_for_the_duration_of_the_lease(run):
    async def scenario(nodes):
        await sleep_until(8.4)
        nodes.platform.behaviours = ["unheard"]
        nodes.platform.on_call = lambda holder: (
            holder == FIRST and nodes.kill(FIRST, detected_s=0.1)
        )
        await sleep_until(20.0)
        first_s = min(
            at_s for at_s, name, _, _ in nodes.platform.reports if name == SECOND
        )
        assert 8.5 + LEASE_S < first_s < 8.5 + LEASE_S + 1.5

    run_nodes(run, scenario)


# The report was due by then, so the new holder did not read its row.
def test_late_call_for_a_window_that_is_no_longer_in_time_breaks_no_rule(run):
    async def scenario(nodes):
        await sleep_until(8.0)
        nodes.platform.behaviours = ["limited"] * 30
        await sleep_until(12.4)
        nodes.platform.behaviours = ["late"]
        await sleep_until(12.95)
        assert not nodes.platform.behaviours
        nodes.kill(FIRST, detected_s=0.1)
        await sleep_until(30.0)
        assert 0 in nodes.platform.find_counts()
        assert nodes.find_holder() == SECOND

    run_nodes(run, scenario, checks_fencing=False)


# A read of the lease row that was answered before a freeze says nothing after it.
def test_holder_that_was_frozen_past_its_lease_sends_nothing(run):
    async def scenario(nodes):
        holder = nodes.nodes[FIRST]
        await sleep_until(8.0)
        read, confirm = holder.client.read, holder.duty.lease.confirm

        async def read_and_freeze(query):
            page = await read(query)
            await asyncio.sleep(14.0)
            return page

        async def confirm_and_freeze(held):
            holder.client.read = read_and_freeze
            return await confirm(held)

        holder.duty.lease.confirm = confirm_and_freeze
        await sleep_until(8.3)
        for node in nodes.nodes.values():
            node.dead.add(FIRST)
        await sleep_until(22.0)
        holder.client.read, holder.duty.lease.confirm = read, confirm
        for node in nodes.nodes.values():
            node.dead.discard(FIRST)
        await sleep_until(35.0)
        # Windows before the start are reported too, by the first holder.
        holders = [holder for _, holder, _, _ in nodes.platform.reports]
        assert holders == sorted(holders, key=[FIRST, SECOND].index)
        assert holders[-1] == SECOND
        assert holder.find_events("lease_lost")

    run_nodes(run, scenario, checks_fencing=False)


# The event loop's clock stands still while a VM is suspended.
def test_lease_is_not_confirmed_by_a_read_from_before_a_suspension(run):
    async def scenario(nodes):
        node = nodes.nodes[FIRST]
        boot_s = iter([0.0, 0.1, 0.2, 9.0])
        lease = Lease(
            "x",
            node.failover_store,
            node.fleet,
            LEASE_S,
            node.timeline,
            boot_s=lambda: next(boot_s),
        )
        lease.select_nodes = lambda records: [node.fleet.own]
        assert await lease.ensure()
        assert await lease.confirm(lease.held)
        assert not await lease.confirm(lease.held)
        assert lease.held is not None

    run_nodes(run, scenario)


# Clocks of some VMs are up to 3 s ahead or behind.
@pytest.mark.parametrize("skew_s", [3.0, -3.0])
@pytest.mark.parametrize("name", [FIRST, LAST])
def test_requests_at_a_boundary_are_counted_by_true_time(run, name, skew_s):
    async def scenario(nodes):
        nodes.nodes[name].skew_s = skew_s
        await run_requests(nodes, 10.0)
        await sleep_until(25.0)
        counts = nodes.platform.find_counts()
        # At most 2 ms of the store's time are lost in rounding.
        assert [counts[0], counts[1], counts[2]] == [{"org": 200}, {"org": 200}, {}]
        first_s = next(
            at_s for at_s, _, _, body in nodes.platform.reports if b'"org":200' in body
        )
        assert 8.4 < first_s < 9.5

    run_nodes(run, scenario)


@pytest.mark.parametrize("refused_from_s", [0.0, 6.0])
def test_holder_that_the_store_refuses_reports_through_a_peer(run, refused_from_s):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        await sleep_until(refused_from_s)
        nodes.nodes[FIRST].client.is_refused = True
        await sleep_until(20.0)
        assert nodes.platform.find_counts()[0] == {"org": 200}
        assert {holder for _, holder, _, _ in nodes.platform.reports} == {FIRST}

    run_nodes(run, scenario)


# The platform may be unreachable for some of the nodes only.
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_holder_that_the_platform_refuses_gives_the_lease_up(run, checks_fencing):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        nodes.platform.refused_holders = {FIRST, SECOND}
        await sleep_until(60.0)
        counts = nodes.platform.find_counts()
        assert {4, 5, 6, 7, 8, 9} <= counts.keys()
        assert nodes.find_holder() in {THIRD, LAST}
        # Windows are reported again once the platform has been away for all nodes.
        nodes.platform.refused_holders = set(NAMES)
        await sleep_until(90.0)
        nodes.platform.refused_holders = set()
        await sleep_until(125.0)
        assert {21, 22} <= nodes.platform.find_counts().keys()

    run_nodes(run, scenario, checks_fencing=checks_fencing)


def test_holder_without_a_store_sends_nothing_and_misses_windows(run):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        nodes.store.is_down = True
        await sleep_until(21.0)
        nodes.store.is_down = False
        await sleep_until(30.0)
        counts = nodes.platform.find_counts()
        assert not {0, 1} & counts.keys()
        assert {2, 3, 4} <= counts.keys() | {2}
        metrics = nodes.nodes[FIRST].metrics.render()
        assert b"usage_windows_missed_total 2.0" in metrics

    run_nodes(run, scenario)


# Both nodes write the row at the same version; only one write is accepted.
def test_one_of_two_concurrent_claims_holds_the_lease(run):
    async def scenario(nodes):
        client = nodes.store.connect()
        before = await read_lease(client, "x")
        claims = await asyncio.gather(
            *(acquire_lease(client, "x", before, name, 1) for name in "ab")
        )
        assert len([claim for claim in claims if claim is not None]) == 1

    run_nodes(run, scenario)


# Callers of a node that is cut off from its peers are served on.
def test_counts_of_a_node_that_reaches_no_peer_pass_through_the_store(run):
    async def scenario(nodes):
        await sleep_until(1.0)
        nodes.cut(LAST)
        await run_requests(nodes, 10.0)
        await sleep_until(25.0)
        assert nodes.platform.find_counts()[0] == {"org": 200}
        assert nodes.platform.find_counts()[1] == {"org": 200}
        stored = {at.key for at in nodes.store.rows if at.table == "usage-counts"}
        assert stored == {f"{FIRST_WINDOW + n:015d}/{LAST}/1" for n in (0, 1)}

    run_nodes(run, scenario)


# Each side took the lease from the other, and neither acted.
@pytest.mark.parametrize("name", [FIRST, LAST])
def test_node_that_is_cut_off_from_its_peers_leaves_the_lease_alone(run, name):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        await sleep_until(5.5)
        nodes.cut(name)
        await sleep_until(26.0)
        nodes.heal(name)
        await sleep_until(45.0)
        counts = nodes.platform.find_counts()
        assert counts[0] == {"org": 200}
        assert {1, 2, 3, 4, 5, 6} <= counts.keys()
        numbers = [number for _, _, number, _ in nodes.platform.reports]
        assert numbers[-1] <= 2

    run_nodes(run, scenario)


# The two halves of a cut may both reach the store and the platform.
def test_halves_of_a_fleet_report_each_window_at_most_once(run):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        half = {FIRST, SECOND}
        for name, node in nodes.nodes.items():
            node.dead |= set(NAMES) - half if name in half else half
        await sleep_until(40.0)
        assert {0, 1, 2, 3, 4} <= nodes.platform.find_counts().keys()
        assert {holder for _, holder, _, _ in nodes.platform.reports} == {FIRST}

    run_nodes(run, scenario)


def test_counts_that_arrive_twice_or_late_are_counted_once(run):
    async def scenario(nodes):
        collector = nodes.nodes[SECOND].duty._collector
        newer = UsageCounts("x", 1, {FIRST_WINDOW: {"org": 3, "small": 1}})
        older = UsageCounts("x", 1, {FIRST_WINDOW: {"org": 2}})
        restarted = UsageCounts("x", 2, {FIRST_WINDOW: {"org": 5}})
        for message in (newer, older, newer, restarted, restarted):
            collector.accept(message)
        table = collector.list_window(FIRST_WINDOW)
        assert merge_counts([table, table, {}]) == {"org": 8, "small": 1}

    run_nodes(run, scenario)


@pytest.mark.parametrize("name", [FIRST, SECOND, THIRD])
def test_counts_survive_the_death_of_a_collector(run, name):
    """Its own requests of the last 0.3 s are lost, and no others."""

    async def scenario(nodes):
        await run_requests(nodes, 3.0)
        await sleep_until(3.6)
        nodes.kill(name)
        nodes.nodes[LAST].run_request("small")
        await sleep_until(20.0)
        assert nodes.platform.find_counts()[0] == {"org": 120, "small": 1}

    run_nodes(run, scenario)


# A new collector starts empty and must get the counts that the others have.
def test_counts_are_sent_again_to_a_new_collector(run):
    async def scenario(nodes):
        await run_requests(nodes, 3.0)
        await sleep_until(3.6)
        for name in (FIRST, SECOND, THIRD):
            nodes.kill(name, detected_s=0.1)
            await nodes.restart(name)
        await sleep_until(25.0)
        # The restarted nodes have lost their own counts.
        assert nodes.platform.find_counts()[0] == {"org": 30}

    run_nodes(run, scenario)


# A node that was cut off for a moment sends its counts late.
def test_counts_that_arrive_before_the_decision_are_in_the_report(run):
    async def scenario(nodes):
        await sleep_until(1.0)
        nodes.cut(LAST)
        nodes.nodes[LAST].run_request()
        await sleep_until(7.5)
        nodes.heal(LAST)
        await sleep_until(20.0)
        assert nodes.platform.find_counts()[0] == {"org": 1}

    run_nodes(run, scenario)


# The holder lacked the counts that only the other collectors had.
def test_decision_waits_for_collectors_that_do_not_answer(run):
    async def scenario(nodes):
        first = nodes.records[FIRST].peers

        async def refuse(origin, address, path):
            now_s = asyncio.get_running_loop().time()
            if now_s < 10.0 and (origin == FIRST or address == first):
                raise ConnectFailed("no connection")

        nodes.network.before.append(refuse)
        await run_requests(nodes, 5.0)
        await sleep_until(14.9)
        assert nodes.platform.find_counts()[0] == {"org": 200}
        # It does not wait until the report is late.
        nodes.network.before[-1] = partial(refuse_tables, FIRST)
        await sleep_until(24.9)
        assert {1, 2} <= nodes.platform.find_counts().keys()

    run_nodes(run, scenario)


async def refuse_tables(holder, origin, address, path):
    if origin == holder and path == TABLE_PATH:
        raise ConnectFailed("no connection")


def test_failed_calls_are_repeated_within_the_rate(run):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        nodes.platform.behaviours = ["limited"] * 9
        calls = []
        nodes.platform.on_call = lambda holder: calls.append(
            asyncio.get_running_loop().time()
        )
        await sleep_until(16.0)
        assert nodes.platform.find_counts()[0] == {"org": 200}
        assert all(b - a >= 0.4 for a, b in zip(calls[:9], calls[1:10], strict=True))

    run_nodes(run, scenario)


# Calls with a refused number cost once another machine has used a higher one.
def test_holder_that_is_refused_uses_no_refused_number_again(run):
    async def scenario(nodes):
        await sleep_until(1.0)
        nodes.platform.highest = 3
        await sleep_until(30.0)
        numbers = [number for _, _, number in nodes.platform.refused]
        assert numbers == sorted(set(numbers))
        assert {1, 2, 3, 4} <= nodes.platform.find_counts().keys()

    run_nodes(run, scenario)


def test_nothing_is_sent_without_organisations(run):
    async def scenario(nodes):
        nodes.configuration = None
        await run_requests(nodes, 5.0)
        await sleep_until(15.0)
        assert not nodes.platform.reports
        assert not nodes.network.calls
        assert not nodes.store.rows

    run_nodes(run, scenario)


def test_windows_are_decided_after_their_end_and_before_they_are_due():
    assert list_decidable(20.0, 5.0, 10.0) == [2]
    assert list_decidable(23.5, 5.0, 10.0) == [2, 3]
    assert list_decidable(25.0, 5.0, 10.0) == [3]


FAULTS = st.tuples(
    st.sampled_from(["kill", "cut", "refuse", "lose commits", "slow reads", "calls"]),
    st.sampled_from(NAMES),
    st.floats(0.1, 4.0),
    st.floats(0.5, 6.0),
)


@settings(max_examples=25, deadline=None, database=None)
@given(
    faults=st.lists(FAULTS, min_size=1, max_size=8),
    behaviours=st.lists(
        st.sampled_from(["", "", "lost", "late", "unheard", "limited", "slow"]),
        max_size=12,
    ),
    checks_fencing=st.booleans(),
)
def test_no_window_gets_two_different_reports(
    run_on_new_loop, faults, behaviours, checks_fencing
):
    """Nodes crash, are cut off or slow, and commits and calls are lost or late."""

    async def scenario(nodes):
        nodes.platform.behaviours = list(behaviours)
        requests = asyncio.get_running_loop().create_task(run_requests(nodes, 40.0))
        for kind, name, pause_s, length_s in faults:
            await asyncio.sleep(pause_s)
            await cause_fault(nodes, kind, name, length_s)
        await asyncio.sleep(8.0)
        requests.cancel()

    run_nodes(run_on_new_loop, scenario, checks_fencing=checks_fencing)


async def cause_fault(nodes, kind, name, length_s):
    """Begin a fault of a node that ends after `length_s`."""
    loop = asyncio.get_running_loop()
    node = nodes.nodes[name]
    if name in nodes.dead:
        await nodes.restart(name)
    elif kind == "kill":
        nodes.kill(name, detected_s=min(length_s, 2.0))
    elif kind == "cut":
        nodes.cut(name)
        loop.call_later(length_s, nodes.heal, name)
    elif kind == "refuse":
        node.client.is_refused = True
        loop.call_later(length_s, setattr, node.client, "is_refused", False)
    elif kind == "lose commits":
        node.client.lose_answers = 2
        node.client.late_commit_delay_s = length_s
    elif kind == "slow reads":
        slow_down(node.client, length_s, loop.time() + length_s)
    else:
        nodes.platform.behaviours += ["late", "lost", "unheard"]


def slow_down(client, delay_s, until_s):
    """Answer reads with what they found `delay_s` ago, or not at all after 3 s."""
    read = type(client).read

    async def read_slowly(query):
        page = await read(client, query)
        if asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(delay_s)
            if delay_s > 3.0:
                raise StoreRefused("no response")
        return page

    client.read = read_slowly


def find_late_windows(nodes):
    """Return the windows whose report was not executed within 10 s of their end."""
    at_s = {}
    for executed_s, _, _, body in nodes.platform.reports:
        at_s.setdefault(json.loads(body)["window"] - FIRST_WINDOW, executed_s)
    return [w for w in range(9) if at_s.get(w, 1e9) > (w + 1) * 5 + 10]


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("fault", ["slow", "down"])
def test_windows_are_reported_although_the_platform_is_slow_or_down(
    run, checks_fencing, fault
):
    """Holders gave the lease up after 2.5 s, and each next one waited 6 s to call."""

    async def scenario():
        nodes = DutyNodes("abcd", checks_fencing=checks_fencing)
        report = nodes.platform.report

        async def report_during_fault(body, stamp):
            now_s = asyncio.get_running_loop().time()
            call = (stamp.holder, stamp.fencing_number, body)
            if fault == "slow" and 10.0 <= now_s < 40.0:
                # Executed after 2 s; the caller gives up after 1.5 s.
                asyncio.get_running_loop().call_later(
                    2.0, nodes.platform.execute, *call
                )
                await asyncio.sleep(1.5)
                raise DutyCallFailed("no response", may_execute=True)
            # Windows 1 and 2 are still in time for 2 s and 7 s after the outage.
            if fault == "down" and 10.0 <= now_s < 18.0:
                await asyncio.sleep(0.3)
                raise DutyCallFailed("no response", may_execute=True)
            await report(body, stamp)

        nodes.platform.report = report_during_fault
        await nodes.start()
        await sleep_until(60.0)
        late = find_late_windows(nodes)
        await nodes.close()
        nodes.platform.assert_rules()
        assert late == []

    run(scenario())
