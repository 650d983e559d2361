"""Options of TCP sockets that make dead peers visible."""

from __future__ import annotations

import asyncio
import contextlib
import socket

# A silent peer is noticed after about IDLE + PROBES * GAP seconds.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_GAP_S = 1
KEEP_ALIVE_PROBES = 2
# Unacknowledged data fails a connection after as long.
USER_TIMEOUT_MS = 4_000


def set_keep_alive(writer: asyncio.StreamWriter) -> None:
    """Sets keep-alive probes and the time that sent data may stay unacknowledged."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_GAP_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    # The peer may have closed the socket already; reads then say so.
    with contextlib.suppress(OSError):
        for level, option, value in options:
            sock.setsockopt(level, option, value)


__all__ = ["set_keep_alive"]
