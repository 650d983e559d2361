"""Start the node program from this checkout; its libraries are in target/deps."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# A SIGHUP that arrives while the imports below run must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from tamarackshelf.cli.node import main  # noqa: E402

main()
