"""Messages and settings of the membership protocol."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tamarackshelf.policy.rumours import Rumour


class MemberStatus(enum.IntEnum):
    """What is known of a member; higher values win at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class DatagramKind(enum.StrEnum):
    """What a datagram asks for."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "ping-request"
    GOSSIP = "gossip"


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message; `about` names the member that an indirect probe is for."""

    kind: DatagramKind
    sender: str
    number: int
    digest: int
    about: str = ""
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A datagram and the member it goes to."""

    to: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class GossipTimes:
    """Periods of the protocol."""

    probe_every_s: float = 0.6
    ask_again_every_s: float = 0.2
    give_up_after_s: float = 0.6
    suspect_for_s: float = 1.3
    dead_probe_every_s: float = 5.0
    sync_gap_s: float = 5.0
    fanout: int = 2
    indirect: int = 5


@dataclass(frozen=True, slots=True)
class MemberView:
    """A member as this node sees it; `flags` come from the member itself."""

    name: str
    status: MemberStatus
    flags: frozenset[str]


__all__ = [
    "Datagram",
    "DatagramKind",
    "GossipTimes",
    "MemberStatus",
    "MemberView",
    "Outgoing",
]
