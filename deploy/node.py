"""Starts the node from this checkout's src/, with libraries from target/deps."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from tamarackshelf.cli.node import main  # noqa: E402

main()
