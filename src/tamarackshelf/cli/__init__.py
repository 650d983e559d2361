"""Command lines of the programs."""

from __future__ import annotations

import os

# gRPC reads this when it is first imported; it logs each lost peer otherwise.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
