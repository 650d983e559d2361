"""Command line interfaces of the programs."""

from __future__ import annotations

import os

# gRPC reads this variable when it is first imported. Without it, gRPC logs every
# lost connection to a peer.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
