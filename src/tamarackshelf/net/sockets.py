"""TCP socket options that detect dead peers."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
import struct

# An idle connection to a dead peer fails after about 4 s: KEEP_ALIVE_IDLE_S plus
# KEEP_ALIVE_PROBES times KEEP_ALIVE_INTERVAL_S.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# A connection fails when sent data stays unacknowledged for this long.
USER_TIMEOUT_MS = 4_000
# The system takes twice this much, and one read returns no more than that.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Stands for no limit of the system.
MAX_DESCRIPTORS = 1 << 20


def set_keep_alive(writer: asyncio.StreamWriter) -> None:
    """Enable keep-alive probes and limit how long sent data may stay unacknowledged."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    # The peer may have closed the socket already; the next read then reports it.
    with contextlib.suppress(OSError):
        for level, option, value in options:
            sock.setsockopt(level, option, value)


def raise_descriptor_limit(wanted: int | None) -> int:
    """Return how many descriptors the process may open, `wanted` at most.

    The system's limit is raised to that number if the system allows it.
    """
    soft, hard = (
        MAX_DESCRIPTORS if each == resource.RLIM_INFINITY else each
        for each in resource.getrlimit(resource.RLIMIT_NOFILE)
    )
    limit = soft if wanted is None else min(wanted, hard)
    if limit > soft:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
        except (OSError, ValueError):
            return soft
    return limit


def limit_receive_buffer(writer: asyncio.StreamWriter) -> None:
    """Bound what the system keeps of bytes that were not read yet."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Let the connection end with a reset instead of an ordinary close."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


__all__ = [
    "limit_receive_buffer",
    "raise_descriptor_limit",
    "reset_on_close",
    "set_keep_alive",
]
