"""Authenticated gossip datagrams over UDP."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
from msgspec import UNSET

from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.policy.membership import Datagram
from tamarackshelf.world import Address

DIGEST_BYTES = 16
TIMESTAMP_BYTES = 8
MAX_DATAGRAM_BYTES = 1400
REPLAY_WINDOW_MS = 30_000

log = logging.getLogger("tamarackshelf")

Receiver = Callable[[Datagram, Address], None]


class GossipLink(asyncio.DatagramProtocol):
    """The UDP socket for gossip.

    Received datagrams that are not signed with the fleet's key are dropped.
    """

    def __init__(
        self, key: bytes, wall_ms: Callable[[], int], receiver: Receiver
    ) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.rejected = 0
        self._key = key
        self._wall_ms = wall_ms
        self._receiver = receiver
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address) -> Address:
        """Bind the socket and return the bound address."""
        loop = asyncio.get_running_loop()
        local = (address.host, address.port)
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local)
        self._transport = transport
        host, port = transport.get_extra_info("sockname")[:2]
        return Address(host, port)

    async def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: Address, datagram: Datagram) -> None:
        """Sign and send a datagram without waiting for delivery.

        Log an error instead when it is larger than MAX_DATAGRAM_BYTES.
        """
        data = encode_signed(self._key, self._wall_ms(), datagram)
        if len(data) > MAX_DATAGRAM_BYTES and datagram.loads is not UNSET:
            # Other nodes need the rumours more than the loads.
            datagram = replace(datagram, loads=UNSET)
            data = encode_signed(self._key, self._wall_ms(), datagram)
        if len(data) > MAX_DATAGRAM_BYTES:
            event = {
                "to": str(address),
                "bytes": len(data),
                "reason": f"the datagram exceeds {MAX_DATAGRAM_BYTES} bytes",
            }
            log.error("datagram_not_sent", extra={"event": event})
        elif self._transport is not None:
            self._transport.sendto(data, (address.host, address.port))
            self.sent_bytes += len(data)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Verify a datagram and pass it to the receiver; count it when rejected."""
        self.received_bytes += len(data)
        datagram = decode_signed(self._key, self._wall_ms(), data)
        if datagram is None:
            self.rejected += 1
        else:
            self._receiver(datagram, Address(*addr[:2]))

    def error_received(self, exc: Exception) -> None:
        """Ignore socket errors; the probes notice a member that does not answer."""


def encode_signed(key: bytes, wall_ms: int, datagram: Datagram) -> bytes:
    """Return a keyed digest, the timestamp and the encoded datagram as bytes."""
    body = wall_ms.to_bytes(TIMESTAMP_BYTES, "big") + msgspec.msgpack.encode(datagram)
    return _sign(key, body) + body


def decode_signed(key: bytes, wall_ms: int, data: bytes) -> Datagram | None:
    """Return the datagram, or None when it is forged or malformed.

    It is also refused when its timestamp is off by more than REPLAY_WINDOW_MS.
    """
    digest, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if not hmac.compare_digest(digest, _sign(key, body)):
        return None
    sent_ms = int.from_bytes(body[:TIMESTAMP_BYTES], "big")
    if abs(wall_ms - sent_ms) > REPLAY_WINDOW_MS:
        return None
    try:
        return decode_msgpack(body[TIMESTAMP_BYTES:], Datagram)
    except InvalidInput:
        return None


def _sign(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key[:64], digest_size=DIGEST_BYTES).digest()


__all__ = ["GossipLink", "decode_signed", "encode_signed"]
