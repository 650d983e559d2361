"""Network addresses: an IP address and a port."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `ip:port`; raise ValueError if the text is anything else."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f"port {number} is not between 0 and 65535")
    return Address(host, number)


__all__ = ["Address", "parse_address"]
