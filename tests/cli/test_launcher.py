"""The node's launcher ignores SIGHUP before it imports anything else."""

from __future__ import annotations

import runpy
import signal
import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest

LAUNCHER = Path(__file__).parents[2] / "deploy" / "node.py"


class Program(ModuleType):
    """Replacement of the program's module; saves the SIGHUP handler at its import."""

    handler = None

    @property
    def main(self):
        self.handler = signal.getsignal(signal.SIGHUP)
        return lambda: None


@pytest.fixture
def program(monkeypatch):
    before = signal.getsignal(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    program = Program("tamarackshelf.cli.node")
    monkeypatch.setitem(sys.modules, "tamarackshelf.cli.node", program)
    monkeypatch.setattr(sys, "path", list(sys.path))
    yield program
    signal.signal(signal.SIGHUP, before)


def test_sighup_is_ignored_during_imports(program):
    runpy.run_path(str(LAUNCHER))
    assert program.handler is signal.SIG_IGN


# A fleet of 195 nodes that lost its power spent a fifth of its processor time on
# imports, a part of them on an HTTP server that only a request for metrics needs.
def test_node_starts_without_modules_that_only_metrics_need():
    code = "import sys, tamarackshelf.cli.node; print('http.server' in sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "False"
