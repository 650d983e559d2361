"""Links in memory, so that tests run on a virtual clock without sockets."""

from __future__ import annotations
