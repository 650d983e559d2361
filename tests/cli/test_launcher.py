"""The launcher of the node ignores hang-ups before it loads anything else."""

from __future__ import annotations

import runpy
import signal
import sys
from pathlib import Path
from types import ModuleType

import pytest

LAUNCHER = Path(__file__).parents[2] / "deploy" / "node.py"


class Program(ModuleType):
    """Stands for the program's module; notes what a hang-up would do meanwhile."""

    seen = None

    @property
    def main(self):
        self.seen = signal.getsignal(signal.SIGHUP)
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


def test_hang_up_is_ignored_while_the_libraries_load(program):
    runpy.run_path(str(LAUNCHER))
    assert program.seen is signal.SIG_IGN
