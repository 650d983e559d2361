"""Requests that crash their targets are quarantined by all nodes, others by none."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from tamarackshelf.contracts.targets import (
    ConnectionBroken,
    ForwardedRequest,
    OutcomeUnknown,
)
from tamarackshelf.errors import AnswerLost, QuarantinedNotRun
from tamarackshelf.net import Request
from tamarackshelf.node.quarantine import (
    RULES,
    UNSETTLED_S,
    UPKEEP_INTERVAL_S,
    LostRun,
)
from tamarackshelf.peers.isolation import IsolationRequest
from tamarackshelf.policy.quarantine import (
    CRASH_RETENTION_S,
    Crash,
    CrashHistory,
    QuarantineStatus,
)
from tamarackshelf.standin.row_store import MemoryRowStore
from tests.support.crashing import CRASHING, PATH, RESTART_S, CrashCluster
from tests.support.node import HOST, build_target

# The users' rule: a request may reach targets this often more, later than the stable
# window after the third target has ended under it.
STABLE_WINDOW_S = 3.0
ALLOWED_RETRIES = 3
SOUND = b"sound"


def run_with_nodes(run, scenario, nodes=4, targets=("t1", "t2", "t3")):
    async def run_scenario():
        cluster = CrashCluster(MemoryRowStore(), nodes, targets)
        await cluster.start()
        try:
            return await scenario(cluster)
        finally:
            await cluster.stop()

    return run(run_scenario())


async def resend_until(cluster, rng, until_s):
    """Send the crashing request at random nodes, as callers that try again do."""
    while asyncio.get_running_loop().time() < until_s:
        await cluster.nodes[rng.choice(sorted(cluster.nodes))].send()
        await asyncio.sleep(rng.choice([0.02, 0.3]))


async def send_sound_until(cluster, rng, until_s, pause_s):
    """Send sound requests at random nodes, each again after a failure."""
    answers, tasks, number = [], [], 0

    async def send(body):
        for _ in range(2):
            answer = await cluster.nodes[rng.choice(sorted(cluster.nodes))].send(body)
            answers.append(answer)
            if not isinstance(answer, Exception):
                return

    while asyncio.get_running_loop().time() < until_s:
        number += 1
        tasks.append(asyncio.ensure_future(send(SOUND + str(number).encode())))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*tasks)
    return answers


def count_quarantined(answers):
    # The text distinguishes a verdict from an answer that was lost for another reason.
    return sum("change the request" in str(answer) for answer in answers)


@pytest.mark.parametrize("seed", range(6))
def test_crashing_request_reaches_few_targets_at_any_node(run, seed):
    """One request ends each target that runs it and comes again at other nodes."""

    async def scenario(cluster):
        rng = random.Random(seed)
        sound = asyncio.ensure_future(send_sound_until(cluster, rng, 70.0, 0.05))
        await resend_until(cluster, rng, 70.0)
        return cluster.targets, await sound

    targets, answers = run_with_nodes(run, scenario, nodes=12)
    third_s = targets.crash_times_s[2]
    late = [at_s for at_s in targets.run_times_s if at_s > third_s + STABLE_WINDOW_S]
    assert len(late) <= ALLOWED_RETRIES
    assert len(targets.crash_times_s) <= 5
    assert targets.fewest_alive >= 1
    assert count_quarantined(answers) == 0


@pytest.mark.parametrize("seed", range(20))
def test_sound_requests_in_a_burst_of_crashes_are_not_quarantined(run, seed):
    """Targets crash by themselves again and again while sound requests run there."""

    async def scenario(cluster):
        rng = random.Random(seed)

        async def crash_targets():
            for burst_s in (2.0, 8.0, 14.0):
                for number in range(5):
                    loop = asyncio.get_running_loop()
                    await asyncio.sleep(burst_s + 0.4 * number - loop.time())
                    cluster.targets.crash(rng.choice(["t1", "t2", "t3"]))

        crashes = asyncio.ensure_future(crash_targets())
        answers = await send_sound_until(cluster, rng, 25.0, 0.01)
        await crashes
        return answers, cluster

    answers, cluster = run_with_nodes(run, scenario, nodes=12)
    suspected = [
        event
        for node in cluster.nodes.values()
        for event in node.list_events("request_suspected")
    ]
    assert suspected
    assert count_quarantined(answers) == 0


def test_all_live_nodes_know_of_a_crash_before_the_caller_does(run):
    async def scenario(cluster):
        cluster.silent.add("n3")
        answer = await cluster.nodes["n0"].send()
        statuses = {name: node.classify() for name, node in cluster.nodes.items()}
        return answer, statuses

    answer, statuses = run_with_nodes(run, scenario)
    assert isinstance(answer, AnswerLost)
    del statuses["n3"]
    assert QuarantineStatus.CLEAR not in statuses.values()


def test_silent_node_learns_of_a_crash_from_the_store(run):
    async def scenario(cluster):
        cluster.silent.add("n3")
        await cluster.nodes["n0"].send()
        await asyncio.sleep(0.5)
        return cluster.nodes["n3"].classify()

    assert run_with_nodes(run, scenario) is not QuarantineStatus.CLEAR


def test_nodes_that_start_know_the_crashes_of_before(run):
    """All nodes are restarted one after the other, and then all at once."""

    async def scenario(cluster):
        await resend_until(cluster, random.Random(1), 20.0)
        before = cluster.nodes["n0"].classify()
        for name in cluster.nodes:
            await cluster.restart(name)
        for node in cluster.nodes.values():
            await node.stop()
        for name in cluster.nodes:
            await cluster.restart(name)
        return before, [node.classify() for node in cluster.nodes.values()]

    before, after = run_with_nodes(run, scenario)
    assert before is QuarantineStatus.QUARANTINED
    assert set(after) == {QuarantineStatus.QUARANTINED}


def test_crash_seen_while_the_store_is_down_is_stored_by_another_node(run):
    """The node that saw the crash is killed before the store is back."""

    async def scenario(cluster):
        cluster.store.is_down = True
        await cluster.nodes["n0"].send()
        await cluster.kill("n0")
        await asyncio.sleep(3.0)
        cluster.store.is_down = False
        await asyncio.sleep(5.0)
        return [at for at in cluster.store.rows if at.table == "crash"]

    assert run_with_nodes(run, scenario)


@pytest.mark.parametrize(
    ("error", "change", "is_suspect"),
    [
        (ConnectionBroken("reset"), None, False),
        (ConnectionBroken("reset"), "restart", True),
        (ConnectionBroken("reset"), "unlist", True),
        (OutcomeUnknown("no response"), "restart", True),
        (ConnectionBroken("reset"), "leave", False),
        (ConnectionBroken("reset"), "late restart", False),
        (ConnectionBroken("reset"), "restart after a store outage", True),
        (ConnectionBroken("reset"), "replace", True),
    ],
)
def test_lost_answer_counts_only_if_the_target_ended(run, error, change, is_suspect):
    """A connection is reset while its target lives, restarts, vanishes or leaves.

    Or another target starts at its address while it is still listed.
    """

    async def scenario(cluster):
        node = cluster.nodes["n0"]
        target = node.registry.get("t1").target
        request = ForwardedRequest("r", HOST, Request("POST", PATH, body=CRASHING))
        lost = LostRun("r", request.compute_fingerprint(), target, False)
        await node.quarantine.record_lost_answer(lost, error)
        if change == "late restart":
            await asyncio.sleep(UNSETTLED_S + UPKEEP_INTERVAL_S)
        if change == "leave":
            leaving = replace(build_target("t1", "app"), is_leaving=True)
            node.registry.put(leaving)
        if change == "restart after a store outage":
            node.registry.is_list_current = lambda: False
            await asyncio.sleep(2 * UNSETTLED_S)
            node.registry.is_list_current = lambda: True
        if change is not None and "restart" in change:
            node.registry.put(build_target("t1", "app", incarnation=2))
        elif change == "replace":
            other = replace(target, name="t9", incarnation=2)
            node.registry.put(replace(build_target("t9", "app"), target=other))
        elif change is not None:
            node.registry.remove("t1")
        return node.classify()

    status = run_with_nodes(run, scenario)
    assert (status is QuarantineStatus.SUSPECT) is is_suspect


def test_request_whose_caller_left_counts_if_its_target_ends(run):
    async def scenario(cluster):
        node = cluster.nodes["n0"]
        sent = asyncio.ensure_future(node.send())
        await asyncio.sleep(0.02)
        sent.cancel()
        await asyncio.wait([sent])
        for name in ("t1", "t2", "t3"):
            node.registry.put(build_target(name, "app", incarnation=2))
        return node.classify()

    assert run_with_nodes(run, scenario) is QuarantineStatus.SUSPECT


# A target that vanished while it was granted stayed reserved for a finished request.
def test_granted_target_that_vanished_is_released(run):
    async def scenario(cluster):
        node = cluster.nodes["n0"]
        await node.send()
        await asyncio.sleep(RULES.pause_s)
        isolate, granted = node.quarantine.isolate, []

        async def isolate_and_unlist(request, targets):
            name = await isolate(request, targets)
            node.registry.remove(name)
            granted.append(name)
            return name

        node.quarantine.isolate = isolate_and_unlist
        await node.send()
        await asyncio.sleep(0.1)
        asked = IsolationRequest("other", (granted[0],))
        nodes = cluster.nodes.values()
        return [node.quarantine.answer_isolation(asked).target for node in nodes]

    assert "" not in run_with_nodes(run, scenario)


def test_refusal_is_immediate_and_names_each_crash(run):
    async def scenario(cluster):
        await resend_until(cluster, random.Random(1), 20.0)
        node = cluster.nodes["n2"]
        started_s = asyncio.get_running_loop().time()
        refusal = await node.send()
        took_s = asyncio.get_running_loop().time() - started_s
        crashes = {
            tuple(event.fields[name] for name in ("target", "incarnation", "seen_by"))
            for event in node.list_events("request_suspected")
        }
        return refusal, took_s, crashes

    refusal, took_s, crashes = run_with_nodes(run, scenario)
    assert isinstance(refusal, QuarantinedNotRun)
    assert (refusal.status, refusal.not_run) == (503, True)
    assert took_s == 0.0
    assert refusal.retry_after_s > CRASH_RETENTION_S / 2
    assert len(crashes) >= 3
    for target, _, seen_by in crashes:
        assert f"{target} (seen by {seen_by}" in refusal.message


def test_answered_request_is_cleared_at_all_nodes_and_in_the_store(run):
    async def scenario(cluster):
        node = cluster.nodes["n0"]
        sent = asyncio.ensure_future(node.send(SOUND))
        await asyncio.sleep(0.02)
        for name in ("t1", "t2", "t3"):
            cluster.targets.crash(name)
        await sent
        suspected = cluster.nodes["n1"].classify(SOUND)
        await asyncio.sleep(RESTART_S)
        answer = await cluster.nodes["n2"].send(SOUND)
        await asyncio.sleep(0.5)
        statuses = [each.classify(SOUND) for each in cluster.nodes.values()]
        return suspected, answer, statuses, dict(cluster.store.rows)

    suspected, answer, statuses, rows = run_with_nodes(run, scenario)
    assert suspected is QuarantineStatus.SUSPECT
    assert answer.http.status == 200
    assert set(statuses) == {QuarantineStatus.CLEAR}
    assert rows == {}


@pytest.mark.parametrize(
    "other",
    [{"caller": "b"}, {"path": "/score/y"}, {"body": CRASHING + b"2"}],
    ids=["caller", "path", "body"],
)
def test_other_requests_are_not_quarantined_with_it(run, other):
    async def scenario(cluster):
        await resend_until(cluster, random.Random(1), 20.0)
        return cluster.nodes["n0"].classify(**other)

    assert run_with_nodes(run, scenario) is QuarantineStatus.CLEAR


def test_flood_of_crashing_requests_is_bounded_in_the_store(run):
    async def scenario(cluster):
        node = cluster.nodes["n0"]
        target = node.registry.get("t1").target
        cluster.targets.dead.add("t1")
        for number in range(RULES.max_fingerprints + 500):
            now_s = asyncio.get_running_loop().time()
            lost = LostRun("r", f"f{number}", target, False, now_s)
            await node.quarantine.record_lost_answer(lost, ConnectionBroken("reset"))
        await asyncio.sleep(10.0)
        return {at.key.partition("/")[0] for at in cluster.store.rows}

    kept = run_with_nodes(run, scenario, nodes=2)
    assert len(kept) <= RULES.max_fingerprints
    assert "f0" not in kept
    assert f"f{RULES.max_fingerprints + 499}" in kept


def test_flood_of_crashing_requests_is_bounded_in_memory():
    history = CrashHistory(RULES)
    for number in range(RULES.max_fingerprints + 1):
        history.record_crash(Crash(f"f{number}", "t1", 1), float(number))
    assert len(history) == RULES.max_fingerprints
    assert history.list_crashes("f0") == []


def test_quarantine_needs_two_isolated_crashes_and_pauses_after_the_first():
    history = CrashHistory(RULES)
    history.record_crash(Crash("f", "t1", 1), 0.0)
    assert history.classify("f", 0.1) is QuarantineStatus.SUSPECT
    history.record_crash(Crash("f", "t2", 1, isolated=True), 1.0)
    assert history.classify("f", 1.1) is QuarantineStatus.QUARANTINED
    assert history.classify("f", 1.0 + RULES.pause_s) is QuarantineStatus.SUSPECT
    history.record_crash(Crash("f", "t3", 1, isolated=True), 12.0)
    assert history.classify("f", 3600.0) is QuarantineStatus.QUARANTINED
    assert history.classify("f", 12.0 + CRASH_RETENTION_S) is QuarantineStatus.CLEAR
