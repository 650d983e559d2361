"""Fixtures and hooks for all tests."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket

import looptime
import pytest

from tamarackshelf.world import Address
from tests.known_red import KNOWN_RED, read_known_red

# Below the ephemeral port range, so that no outgoing connection occupies a port.
_PORTS = itertools.count(20_000 + os.getpid() * 37 % 10_000)


def find_free_address() -> Address:
    """Return a loopback address that no other caller in this process gets."""
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
    """Return a function that runs a coroutine on the test's virtual clock."""
    loop = looptime.new_event_loop(start=0, idle_timeout=None)
    yield loop.run_until_complete
    loop.run_until_complete(cancel_all())
    loop.close()


@pytest.fixture(scope="session")
def run_on_new_loop():
    """Return a function that runs each coroutine on a new virtual clock."""

    def run_now(coroutine):
        loop = looptime.new_event_loop(start=0, idle_timeout=None)
        try:
            return loop.run_until_complete(coroutine)
        finally:
            loop.run_until_complete(cancel_all())
            loop.close()

    return run_now


async def cancel_all():
    """Cancel the tasks that a test left running and wait until they end."""
    pending = asyncio.all_tasks() - {asyncio.current_task()}
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)


def pytest_collection_modifyitems(items):
    """Mark the tests that KNOWN-RED.txt lists, and no others, as expected failures."""
    known_failures = read_known_red(KNOWN_RED.read_text())
    for item in items:
        known = known_failures.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=known.seen, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the tests whose failures do not fail the run."""
    for known in read_known_red(KNOWN_RED.read_text()).values():
        terminalreporter.write_line(
            f"KNOWN-RED {known.test_id}: {known.seen} ({known.command}; "
            f"issue {known.issue})"
        )
