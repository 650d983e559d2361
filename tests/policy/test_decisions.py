"""Single decisions: routing, entries, quarantine, admission, updates and budgets."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from tamarackshelf.policy.admission import FairQueue, Waiter, WorkClass
from tamarackshelf.policy.budget import share_budget
from tamarackshelf.policy.entries import MIN_ENTRIES, choose_entries
from tamarackshelf.policy.lease import HeldLease, LeaseTimes, may_act
from tamarackshelf.policy.quarantine import (
    Crash,
    CrashHistory,
    IsolationTable,
    QuarantineStatus,
)
from tamarackshelf.policy.retry import RetryBudget
from tamarackshelf.policy.routing import (
    Candidate,
    TargetRequirements,
    compute_share,
    route,
)
from tamarackshelf.policy.staleness import may_start
from tamarackshelf.policy.subset import SUBSET_SIZE, choose_subset, count_sharers
from tamarackshelf.policy.weight_update import (
    EngineView,
    OrderBackoff,
    plan_wave,
    record_order_outcome,
)
from tamarackshelf.world import (
    Address,
    EntryVm,
    OrganisationParameters,
    Target,
    TargetKind,
)

ADDRESS = Address("127.0.0.1", 1)


def build_candidate(name, own=0, others=0, share=1, ruled_out="", data_centre="a"):
    target = Target(name, "s", TargetKind.ENGINE, data_centre, ADDRESS, 1, 8)
    return Candidate(target, own, others, share, ruled_out)


def choose(candidates, **need):
    need.setdefault("data_centre", "a")
    return route(candidates, TargetRequirements("s", **need), Random(1))


def test_ruled_out_targets_are_never_chosen():
    candidates = [build_candidate("t1", ruled_out="leaving"), build_candidate("t2")]
    assert choose(candidates).target.name == "t2"
    choice = choose(candidates, excluded=frozenset({"t2"}))
    assert choice.target is None
    assert "t1: leaving" in choice.reason
    assert "t2: already tried" in choice.reason


def test_full_service_is_reported_as_full():
    choice = choose([build_candidate("t1", own=2, others=6)])
    assert choice.target is None
    assert choice.is_full


def test_node_may_always_use_its_share_of_a_target():
    assert choose([build_candidate("t1", own=0, others=99)]).target is not None
    assert choose([build_candidate("t1", own=1, others=99)]).is_full


def test_free_capacity_beyond_the_share_is_used():
    assert choose([build_candidate("t1", own=3, others=2)]).target is not None


def test_equal_prompts_go_to_the_same_target_unless_it_is_loaded():
    names = [f"t{i}" for i in range(6)]
    idle = [build_candidate(name) for name in names]
    chosen = {choose(idle, affinity="prompt").target.name for _ in range(9)}
    assert len(chosen) == 1
    name = chosen.pop()
    loaded = [build_candidate(n, own=6 if n == name else 0) for n in names]
    assert choose(loaded, affinity="prompt").target.name != name


def test_own_data_centre_is_preferred_at_equal_load():
    candidates = [build_candidate("far", data_centre="b"), build_candidate("near")]
    assert choose(candidates).target.name == "near"


@pytest.mark.parametrize(("sharers", "share"), [(1, 8), (3, 2), (24, 1)])
def test_shares_fit_the_concurrency_of_the_target_but_are_at_least_one(sharers, share):
    assert compute_share(8, sharers) == share


def build_entries(count):
    return tuple(
        EntryVm(
            f"v{i}",
            "abc"[i % 3],
            *(Address("127.0.0.1", 100 * i + j) for j in range(5)),
        )
        for i in range(count)
    )


def test_entries_list_the_own_data_centre_first_and_another_last():
    entries = build_entries(12)
    answer = choose_entries(entries, "caller", "b", 5.0)
    data_centres = {str(entry.gateway): entry.data_centre for entry in entries}
    chosen = [data_centres[text] for text in answer.entries]
    assert chosen[0] == "b"
    assert chosen[-1] != "b"
    assert len(answer.entries) >= MIN_ENTRIES


def test_callers_are_spread_over_entries():
    entries = build_entries(12)
    first = [choose_entries(entries, f"c{i}", "", 5.0).entries[0] for i in range(600)]
    counts = [first.count(str(entry.gateway)) for entry in entries]
    assert min(counts) >= 600 / 12 / 2


def test_quarantine_needs_a_crash_while_isolated():
    history = CrashHistory()
    history.record_crash(Crash("f", "t1", 1), 0.0)
    assert history.classify("f", 1.0) is QuarantineStatus.SUSPECT
    history.record_crash(Crash("f", "t2", 1), 1.0)
    assert history.classify("f", 2.0) is QuarantineStatus.SUSPECT
    history.record_crash(Crash("f", "t3", 1, isolated=True), 2.0)
    assert history.classify("f", 3.0) is QuarantineStatus.QUARANTINED
    assert history.classify("other", 3.0) is QuarantineStatus.CLEAR


def test_two_suspects_never_share_a_target():
    table = IsolationTable()
    assert table.grant("f", ("t1", "t2"), 0.0) == "t1"
    assert table.grant("g", ("t1", "t2"), 0.0) == "t2"
    assert table.grant("h", ("t1", "t2"), 0.0) is None
    table.release("g", "t1")
    assert table.grant("h", ("t1", "t2"), 0.0) is None
    table.release("f", "t1")
    assert table.grant("h", ("t1", "t2"), 0.0) == "t1"


def test_customers_go_before_trainers_and_least_busy_organisation_first():
    queue = FairQueue()
    queue.record_start("busy")
    queue.push(Waiter(1, "quiet", WorkClass.TRAINER, 9.0))
    queue.push(Waiter(2, "busy", WorkClass.CUSTOMER, 9.0))
    queue.push(Waiter(3, "quiet", WorkClass.CUSTOMER, 9.0))
    assert [waiter.number for waiter in queue.sort_waiters()] == [3, 2, 1]


def test_wait_beyond_the_deadline_is_refused_at_once():
    queue = FairQueue()
    for number in range(100):
        queue.push(Waiter(number, "org", WorkClass.CUSTOMER, 99.0))
    late = Waiter(100, "org", WorkClass.CUSTOMER, 0.5)
    assert "longer than the deadline" in queue.find_refusal(late, 0.0)
    assert queue.find_refusal(Waiter(101, "org", WorkClass.CUSTOMER, 99.0), 0.0) == ""


def test_retries_stay_within_a_share_of_the_requests():
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.record_request()
        retries += budget.take()
    assert (1000 + retries) / 1000 < 1.2


def test_holder_stops_before_its_lease_ends():
    times = LeaseTimes(lease_s=6.0, margin_s=1.0)
    lease = HeldLease("l", 1, 1, deadline_s=6.0, granted_at_s=0.0)
    assert may_act(lease, 4.9, times)
    assert not may_act(lease, 5.1, times)


def test_waves_are_bounded_and_skip_up_to_date_engines():
    engines = [EngineView(f"e{i}", 0, load=i) for i in range(8)]
    backoff = OrderBackoff()
    assert plan_wave(engines, 5, 0.25, backoff, 0.0) == ["e0", "e1"]
    swapping = [EngineView("e0", 0, swapping=True), *engines[1:]]
    assert plan_wave(swapping, 5, 0.25, backoff, 0.0) == ["e1"]
    assert plan_wave([EngineView("e0", 5)], 5, 1.0, backoff, 0.0) == []


def test_failed_engine_backs_off_while_others_are_ordered():
    backoff = OrderBackoff()
    record_order_outcome(backoff, "e0", succeeded=False, now_s=0.0)
    engines = [EngineView("e0", 0), EngineView("e1", 0)]
    assert plan_wave(engines, 1, 1.0, backoff, 0.1) == ["e1"]
    assert plan_wave(engines, 1, 1.0, backoff, 1.0) == ["e0", "e1"]


@pytest.mark.parametrize(
    ("weights", "version", "starts"),
    [((0.7, 0.3), 4, True), ((0.7, 0.3), 3, False), ((0.3, 0.7), 3, True)],
)
def test_organisations_that_weigh_staleness_higher_start_on_fresher_weights(
    weights, version, starts
):
    parameters = OrganisationParameters(
        "org",
        (),
        staleness_bound_versions=2,
        staleness_weight=weights[0],
        idle_weight=weights[1],
    )
    assert may_start(version, parameters, newest_version=5) is starts


def test_subsets_of_a_large_service_are_even_and_stable():
    nodes = [f"n{i}" for i in range(380)]
    targets = [f"t{i}" for i in range(3700)]
    subsets = {node: choose_subset(node, nodes, targets) for node in nodes}
    users = Counter(target for subset in subsets.values() for target in subset)
    mean = 380 * SUBSET_SIZE / 3700
    assert set(users) == set(targets)
    assert max(users.values()) <= 1.5 * mean
    assert min(users.values()) >= mean / 1.5
    assert count_sharers(380, 3700) == round(mean)
    fewer = [target for target in targets if target != "t7"]
    retained = [len(subsets[n] & choose_subset(n, nodes, fewer)) for n in nodes]
    assert sum(retained) / len(retained) >= 0.9 * SUBSET_SIZE


@pytest.mark.parametrize(("processes", "share"), [(1, 1600.0), (24, 66.7), (760, 2.1)])
def test_budget_share_of_one_process_shrinks_with_their_number(processes, share):
    assert share_budget(400.0, processes) == pytest.approx(share, abs=0.1)


def test_slow_target_is_avoided_despite_affinity_and_lower_load():
    slow = replace(build_candidate("slow"), slowness=4.0)
    fast = build_candidate("fast", own=2)
    assert choose([slow, fast]).target.name == "fast"
    prompts = [f"p{i}" for i in range(20)]
    chosen = {choose([slow, fast], affinity=p).target.name for p in prompts}
    assert chosen == {"fast"}
    busy = build_candidate("fast", own=8)
    assert choose([slow, busy]).target.name == "slow"
