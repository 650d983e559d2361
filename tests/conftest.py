"""Fixtures for all tests."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket

import looptime
import pytest

from tamarackshelf.world import Address
from tests.known_red import KNOWN_RED, read_known_red

# Below the range from which the system takes ports of outgoing connections.
_PORTS = itertools.count(20_000 + os.getpid() * 37 % 10_000)


def find_free_address() -> Address:
    """Returns a loopback address that is given to nobody else."""
    while True:
        address = Address("127.0.0.1", next(_PORTS))
        if _is_free(address, socket.SOCK_STREAM) and _is_free(
            address, socket.SOCK_DGRAM
        ):
            return address


def _is_free(address, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((address.host, address.port))
        except OSError:
            return False
    return True


@pytest.fixture
def run():
    """Runs a coroutine on a virtual clock."""
    loop = looptime.new_event_loop(start=0, idle_timeout=None)
    yield loop.run_until_complete
    loop.run_until_complete(cancel_all())
    loop.close()


@pytest.fixture(scope="session")
def run_on_new_loop():
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


def pytest_collection_modifyitems(items):
    """Marks the tests that KNOWN-RED.txt lists, and no others."""
    red = read_known_red(KNOWN_RED.read_text())
    for item in items:
        known = red.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=known.seen, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints the tests that are passed over."""
    for known in read_known_red(KNOWN_RED.read_text()).values():
        terminalreporter.write_line(
            f"KNOWN-RED {known.test_id}: {known.seen} ({known.command}; "
            f"issue {known.issue})"
        )
