"""Targets that vanish from the list, alone or all at once."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Timeline
from tests.support.node import build_target

DRAIN_S = 2.0


@pytest.fixture
def play(run):
    """Runs a scenario on a board of three targets whose store has just returned."""

    def start(scenario, returned=True):
        async def whole():
            now_s = asyncio.get_running_loop().time()
            board = TargetRegistry(
                Timeline("n", lambda: 0),
                lambda: now_s if returned else float("-inf"),
                random.Random(1),
            )
            for number in range(1, 4):
                board.put(build_target(f"t{number}", "app"))
            await scenario(board)

        run(whole())

    return start


def names(board):
    return sorted(state.target.name for state in board.list_available("app"))


def test_one_target_that_vanishes_after_the_store_s_return_gets_no_work(play):
    """Pattern: kis-barge hunt-ba70-11, a worker left while one node's link returned."""

    async def scenario(board):
        board.remove("t2")
        assert names(board) == ["t1", "t3"]
        board.put(build_target("t2", "app"))
        assert names(board) == ["t1", "t2", "t3"]

    play(scenario)


def test_targets_that_all_lapsed_with_the_store_are_used_for_a_while(play):
    async def scenario(board):
        for name in ("t1", "t2", "t3"):
            board.remove(name)
        assert names(board) == ["t1", "t2", "t3"]
        await asyncio.sleep(DRAIN_S - 0.4)
        assert names(board) == []
        board.put(build_target("t1", "app"))
        assert names(board) == ["t1"]
        await asyncio.sleep(1.0)
        board.drop_missing()
        assert board.get("t2") is None

    play(scenario)


def test_target_that_vanishes_in_calm_times_is_gone_at_once(play):
    async def scenario(board):
        board.remove("t1")
        assert board.get("t1") is None

    play(scenario, returned=False)


def test_leaving_target_gets_no_new_work(play):
    async def scenario(board):
        record = build_target("t1", "app")
        board.put(record.__class__(record.target, is_leaving=True))
        assert names(board) == ["t2", "t3"]

    play(scenario)


def count_choices(board, requests=200):
    """Returns how often each target is chosen while nothing is in flight."""
    chosen = [board.choose("app", "dc", frozenset())[0] for _ in range(requests)]
    return Counter(state.target.name for state in chosen)


def build_app_board():
    timeline = Timeline("n", lambda: 0)
    board = TargetRegistry(timeline, lambda: float("-inf"), random.Random(3))
    for name in ("t1", "t2", "t3", "t4"):
        board.put(build_target(name, "app", places=6))
    return board


def test_load_of_rare_requests_uses_the_open_connection(run):
    """Pattern: many nodes with a request every few seconds each."""

    async def scenario():
        board = build_app_board()
        board.is_connected = lambda target: target.name == "t2"
        assert count_choices(board)["t2"] == 200

    run(scenario())


def test_busy_target_is_left_whether_connected_or_not(run):
    async def scenario():
        board = build_app_board()
        board.is_connected = lambda target: target.name == "t2"
        board.get("t2").in_flight = 4
        assert count_choices(board)["t2"] < 20

    run(scenario())


def test_without_connections_all_targets_are_used_alike(run):
    async def scenario():
        counts = count_choices(build_app_board(), requests=400)
        assert min(counts.values()) > 60

    run(scenario())


def test_target_on_trial_gets_one_request_until_it_succeeds(run):
    """Pattern: a target goes down and up by turns."""

    async def scenario():
        board = build_app_board()
        board.note_fault("t2", "reset")
        assert count_choices(board)["t2"] == 0
        await asyncio.sleep(0.4)
        assert count_choices(board)["t2"] > 0
        board.get("t2").in_flight = 1
        assert count_choices(board)["t2"] == 0
        board.note_success("t2")
        for name in ("t1", "t3", "t4"):
            board.get(name).in_flight = 1
        assert count_choices(board)["t2"] > 0

    run(scenario())
