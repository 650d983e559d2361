"""Fixtures for all tests."""

from __future__ import annotations

import asyncio
import socket

import looptime
import pytest

from tamarackshelf.world import Address


def find_free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    """Returns a loopback address that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


@pytest.fixture
def free_address():
    return find_free_address


def read_known_red(root):
    """Returns the entries of KNOWN-RED.txt by test id."""
    lines = (root / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line.split("|", 1) for line in lines if line and line[0] != "#"]
    return {test.strip(): rest.strip() for test, rest in entries}


def pytest_collection_modifyitems(config, items):
    known = read_known_red(config.rootpath)
    config.known_red = {i.nodeid: known[i.nodeid] for i in items if i.nodeid in known}
    if config.known_red:
        passed_over = [item for item in items if item.nodeid in known]
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(terminalreporter, config):
    for test, rest in getattr(config, "known_red", {}).items():
        terminalreporter.write_line(f"KNOWN-RED, passed over: {test}: {rest}")


@pytest.fixture
def run():
    """Runs a coroutine on a virtual clock."""
    loop = looptime.new_event_loop(start=0, idle_timeout=None)
    yield loop.run_until_complete
    loop.run_until_complete(cancel_all())
    loop.close()


@pytest.fixture(scope="session")
def run_anew():
    """Runs each coroutine on a virtual clock of its own."""

    def run_now(coroutine):
        loop = looptime.new_event_loop(start=0, idle_timeout=None)
        try:
            return loop.run_until_complete(coroutine)
        finally:
            loop.run_until_complete(cancel_all())
            loop.close()

    return run_now


async def cancel_all():
    """Ends the tasks that a test has left behind."""
    pending = asyncio.all_tasks() - {asyncio.current_task()}
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
