"""In-memory HTTP, RPC and node parts for tests on a virtual clock without sockets."""

from __future__ import annotations
