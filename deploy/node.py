"""Starts the node from this checkout's src/, with libraries from target/deps."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# A hang-up that comes while the libraries load must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from tamarackshelf.cli.node import main  # noqa: E402

main()
