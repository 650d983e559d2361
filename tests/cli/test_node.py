"""The node program as a process of its own."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import find_free_address
from tests.soak.nodes import NodeProcess

LAUNCHER = Path(__file__).parents[2] / "deploy" / "node.py"
EXIT_LIMIT_S = 20.0


# A node that could not listen logged its start and then neither served nor ended.
@pytest.mark.parametrize("port", [8144, 8143, 8140, 8146])
def test_node_whose_address_is_taken_says_so_and_exits(tmp_path, port):
    host = "127.19.7.1"
    NodeProcess("n1", host, [host], find_free_address(), tmp_path)
    with socket.create_server((host, port)):
        ended = subprocess.run(
            [sys.executable, str(LAUNCHER)],
            env={"TAMARACKSHELF_CONFIG": str(tmp_path / "n1.conf")},
            capture_output=True,
            text=True,
            timeout=EXIT_LIMIT_S,
            check=False,
        )
    assert ended.returncode == 1
    assert "event=process_failed" in ended.stdout
    assert f"{host}" in ended.stdout.partition("event=process_failed")[2]
