"""Failure detection and gossip within the required bounds, on a virtual clock."""

from __future__ import annotations

from random import Random

import pytest

from tamarackshelf.gossip.link import REPLAY_WINDOW_MS, decode_signed, encode_signed
from tamarackshelf.policy.membership import (
    Datagram,
    DatagramKind,
    Membership,
    MemberStatus,
)
from tamarackshelf.policy.rumours import Rumour, RumourMap
from tamarackshelf.trials.gossip import GossipSimulation, measure_spread

ALL_KNOW_WITHIN_S = 5.0
BYTES_PER_S = 7 * 1024


@pytest.mark.parametrize("members", [12, 50, 100, 380])
@pytest.mark.parametrize("loss", [0.0, 0.05, 0.2])
def test_facts_reach_all_members_in_time_and_within_the_byte_budget(members, loss):
    results = measure_spread(members, loss, seed=1)
    for result in results.values():
        assert result.convergence_s <= ALL_KNOW_WITHIN_S
        assert result.bytes_per_s <= BYTES_PER_S


def test_paused_member_refutes_its_death_when_it_resumes():
    trial = GossipSimulation(12, 0.0, seed=2)
    trial.run_for(2.0)
    name = "vm-0003"
    trial.dead.add(name)

    def has_status(status):
        others = [m for n, m in trial.members.items() if n != name]
        return all(m.status(name) is status for m in others)

    assert trial.run_until(lambda: has_status(MemberStatus.DEAD)) <= ALL_KNOW_WITHIN_S
    trial.dead.remove(name)
    assert trial.run_until(lambda: has_status(MemberStatus.ALIVE)) <= 10.0


def test_no_member_is_considered_dead_without_a_fault():
    trial = GossipSimulation(50, 0.05, seed=3)
    trial.run_for(60.0)
    for member in trial.live_members():
        dead = [v.name for v in member.views() if v.status is MemberStatus.DEAD]
        assert dead == []


def test_flags_change_only_with_a_higher_incarnation():
    member = Membership("a", 1, Random(1))
    member.set_listed_members(["a", "b"], 0.0)
    member.apply_rumour(Rumour("vm:b", 4 * 5, "gateway"), 0.0)
    member.apply_rumour(Rumour("vm:b", 4 * 4, ""), 0.0)
    flags = {view.name: view.flags for view in member.views()}
    assert flags["b"] == frozenset({"gateway"})


def test_digest_does_not_depend_on_the_order_of_rumours():
    rumours = [Rumour(f"s{i}", i) for i in range(9)]
    first, second = RumourMap(), RumourMap()
    for rumour in rumours:
        first.put(rumour, 9)
    second.put(Rumour("s3", 1), 9)
    for rumour in reversed(rumours):
        second.put(rumour, 9)
    assert first.digest == second.digest


def test_node_with_missing_rumours_asks_for_a_sync():
    member = Membership("a", 1, Random(1))
    member.set_listed_members(["a", "b"], 0.0)
    member.rumours.pick(10_000)
    while member.rumours.has_pending:
        member.rumours.pick(10_000)
    datagram = Datagram(DatagramKind.GOSSIP, "b", 0, digest=1)
    for _ in range(2):
        member.receive(datagram, 10.0)
    assert member.sync_partner == "b"


@pytest.mark.parametrize(
    ("key", "now_ms", "damage"),
    [
        pytest.param(b"other", 1000, False, id="wrong key"),
        pytest.param(b"key", 1001 + REPLAY_WINDOW_MS, False, id="replayed late"),
        pytest.param(b"key", 1000, True, id="changed in transit"),
    ],
)
def test_forged_datagrams_are_dropped(key, now_ms, damage):
    datagram = Datagram(DatagramKind.PING, "a", 1, 0, "", (Rumour("x", 1),))
    data = encode_signed(b"key", 1000, datagram)
    assert decode_signed(b"key", 1000, data) == datagram
    if damage:
        data = data[:-1] + bytes([data[-1] ^ 1])
    assert decode_signed(key, now_ms, data) is None


def test_planned_stop_spreads_quickly_without_suspicion():
    trial = GossipSimulation(50, 0.0, seed=4)
    trial.run_for(2.0)
    name = "vm-0007"
    outgoing = trial.members[name].leave(trial.now_s)
    trial.dead.add(name)
    for out in outgoing:
        trial.members[out.to].receive(out.datagram, trial.now_s)
    suspected = []

    def all_know():
        statuses = [m.status(name) for m in trial.live_members()]
        suspected.append(MemberStatus.SUSPECT in statuses)
        return set(statuses) == {MemberStatus.DEAD}

    assert trial.run_until(all_know) <= 2.0
    trial.run_for(10.0)
    assert not any(suspected)
    assert all(m.has_left(name) for m in trial.live_members())


def test_member_that_left_returns_with_a_new_incarnation():
    member = Membership("a", 1, Random(1))
    member.set_listed_members(["a", "b"], 0.0)
    member.apply_rumour(Rumour("vm:b", 4 * 5, "left"), 0.0)
    assert member.status("b") is MemberStatus.DEAD
    member.apply_rumour(Rumour("vm:b", 4 * 6, "gateway"), 0.0)
    assert member.status("b") is MemberStatus.ALIVE


def test_datagrams_stay_within_their_limit_while_all_nodes_start():
    """68 nodes with long names start together, so every rumour is new."""
    from tamarackshelf.gossip.link import MAX_DATAGRAM_BYTES, encode_signed

    names = [f"edge-vestland-{zone}-{n}" for zone in "abcd" for n in range(1, 18)]
    incarnation = 1_790_000_000_000
    members = {
        name: Membership(name, incarnation + n, Random(n))
        for n, name in enumerate(names)
    }
    for member in members.values():
        member.set_listed_members(names, 0.0)
    sizes = []
    for step in range(30):
        now_s = step * 0.2
        queue = [(name, out) for name, m in members.items() for out in m.tick(now_s)]
        while queue:
            name, out = queue.pop()
            sizes.append(len(encode_signed(b"k", 0, out.datagram)))
            answers = members[out.to].receive(out.datagram, now_s)
            queue += [(out.to, answer) for answer in answers]
    assert max(sizes) <= MAX_DATAGRAM_BYTES
