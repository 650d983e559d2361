"""Messages and timing of the membership protocol."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import UNSET, UnsetType

from tamarackshelf.policy.rumours import Rumour

_Hash = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
_Sequence = Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]
_Byte = Annotated[int, msgspec.Meta(ge=0, lt=1 << 8)]
# Hash of a node's name, sequence and age of its numbers, and its requests in flight by
# hash of the target.
LoadShare = tuple[_Hash, _Sequence, _Byte, dict[_Hash, _Byte]]


class MemberStatus(enum.IntEnum):
    """Status of a member; among rumours of one incarnation, the highest value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class DatagramKind(enum.StrEnum):
    """Kind of a datagram."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ping-request"
    GOSSIP = "gossip"


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message; in a ping request, `about` names the member to probe.

    `loads` is not sent if it is unset; older releases ignore it.
    """

    kind: DatagramKind
    sender: str
    number: int
    digest: int
    about: str = ""
    rumours: tuple[Rumour, ...] = ()
    loads: tuple[LoadShare, ...] | UnsetType = UNSET


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A datagram and the name of the member that it is sent to."""

    to: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class GossipTimes:
    """Intervals, timeouts and fan-out of the protocol."""

    probe_interval_s: float = 0.6
    probe_retry_interval_s: float = 0.2
    probe_timeout_s: float = 0.6
    suspicion_timeout_s: float = 1.3
    dead_probe_interval_s: float = 5.0
    min_sync_interval_s: float = 5.0
    fanout: int = 2
    indirect_probes: int = 5


@dataclass(frozen=True, slots=True)
class MemberView:
    """A member as this node sees it; the member itself publishes its `flags`."""

    name: str
    status: MemberStatus
    flags: frozenset[str]


__all__ = [
    "Datagram",
    "DatagramKind",
    "GossipTimes",
    "LoadShare",
    "MemberStatus",
    "MemberView",
    "Outgoing",
]
