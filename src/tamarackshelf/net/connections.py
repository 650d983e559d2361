"""One bound for the connections that a group of servers has accepted."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Protocol

# Connections that were closed or refused are logged no more often, as untrusted clients
# can cause any number.
LOG_INTERVAL_S = 1.0

log = logging.getLogger("tamarackshelf")


class Closable(Protocol):
    """A connection that can be closed to make room for another."""

    def shed(self) -> None:
        """Close the connection; refuse its request if one is being read."""


class ConnectionSlots:
    """The connections that several servers may have accepted together.

    At the bound, a connection gives way to a new one in this order: those that have
    sent no request, by age; idle ones, by the time since their last response; those
    whose client is slow to send a body or to take a response, by the time since its
    last progress. Connections whose request runs never give way; if there are no
    others, the new connection is refused.
    """

    def __init__(
        self,
        limit: int,
        name: str = "",
        count_event: Callable[[str], None] = lambda name: None,
    ) -> None:
        """`count_event` is called with the name of a counter."""
        self.limit = limit
        self._name = name
        self._count_event = count_event
        # Insertion order is the order in which they give way.
        self._unused: dict[Closable, None] = {}
        self._idle: dict[Closable, None] = {}
        self._waiting: dict[Closable, None] = {}
        self._busy: dict[Closable, None] = {}
        self._group_of: dict[Closable, dict[Closable, None]] = {}
        self._logged_s = float("-inf")
        self._unlogged = 0

    def __len__(self) -> int:
        return len(self._group_of)

    def admit(self, connection: Closable, limit: int) -> bool:
        """Add a connection; return False if there is no room for it.

        `limit` is the bound of the connection's own server.
        """
        if len(self) >= min(limit, self.limit) and not self._shed_one():
            self._log("connection_refused", "all connections have running requests")
            self._count_event("connections_refused")
            return False
        self._unused[connection] = None
        self._group_of[connection] = self._unused
        return True

    def mark_idle(self, connection: Closable) -> None:
        """Note that a connection waits for its next request."""
        self._move(connection, self._idle)

    def mark_waiting(self, connection: Closable) -> None:
        """Note that a client made progress with a body or a response."""
        self._move(connection, self._waiting)

    def mark_busy(self, connection: Closable) -> None:
        """Note that a request runs."""
        self._move(connection, self._busy)

    def remove(self, connection: Closable) -> None:
        """Forget a connection; do nothing if it gave way."""
        group = self._group_of.pop(connection, None)
        if group is not None:
            del group[connection]

    def _move(self, connection: Closable, to: dict[Closable, None]) -> None:
        group = self._group_of.get(connection)
        if group is not None:
            del group[connection]
            to[connection] = None
            self._group_of[connection] = to

    def _shed_one(self) -> bool:
        for group in (self._unused, self._idle, self._waiting):
            if group:
                connection = next(iter(group))
                self.remove(connection)
                self._log("connection_shed", "the bound of connections is reached")
                self._count_event("connections_shed")
                connection.shed()
                return True
        return False

    def _log(self, name: str, reason: str) -> None:
        now_s = time.monotonic()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            self._unlogged += 1
            return
        event = {
            "subject": self._name,
            "reason": reason,
            "limit": self.limit,
            "running": len(self._busy),
            "unlogged": self._unlogged,
        }
        self._logged_s, self._unlogged = now_s, 0
        log.warning(name, extra={"event": event})


__all__ = ["ConnectionSlots"]
