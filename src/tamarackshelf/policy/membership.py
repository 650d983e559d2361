"""Failure detection and gossip among the members of a fleet, without sockets.

The protocol is SWIM (Das, Gupta, Motivala 2002): members probe each other directly and
indirectly, a suspected member can refute the suspicion, and every datagram carries
rumours. Two of three probes go to successors on a ring of hashed names, which bounds
the time until some member probes a dead one; the third goes to a random member.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from tamarackshelf.policy.gossip_types import (
    Datagram,
    DatagramKind,
    GossipTimes,
    MemberStatus,
    MemberView,
    Outgoing,
)
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.rumours import Rumour, RumourMap

MEMBER_PREFIX = "vm:"
RUMOUR_SPACE_BYTES = 900
# The version of a rumour about a member is its incarnation times this, plus its status.
VERSIONS_PER_INCARNATION = 4
LEFT_FLAG = "left"
RING_KEY = "ring"
RING_PROBES = 2


@dataclass(slots=True)
class _Probe:
    member: str
    number: int
    sent_at_s: float
    retry_at_s: float


class Membership:
    """Protocol state of one member.

    `tick` and `receive` return the datagrams to send. `sync_partner` names a member
    to exchange all rumours with, because its digest differs; the caller resets it.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        rng: Random,
        times: GossipTimes | None = None,
    ) -> None:
        self.name = name
        self.rumours = RumourMap()
        self.sync_partner: str | None = None
        self._incarnation = incarnation
        self._flags: frozenset[str] = frozenset()
        self._rng = rng
        self._times = times or GossipTimes()
        # By member: when its status last changed.
        self._members: dict[str, float] = {}
        self._names: list[str] = []
        self._ring: list[str] = []
        self._probe_phase = 0
        self._suspects: set[str] = set()
        self._random_order: list[str] = []
        self._probe: _Probe | None = None
        # By number of a relayed ping: the member that requested it, and its own number.
        self._relays: dict[int, tuple[str, int]] = {}
        self._number = 0
        self._next_probe_s = 0.0
        self._next_dead_probe_s = 0.0
        self._next_sync_s = 0.0
        self._digest_mismatches = 0
        self._publish_self()

    def set_flags(self, flags: Iterable[str]) -> bool:
        """Publish flags that tell what runs on this node; return False if unchanged.

        A change increments the incarnation, so that the new flags replace the old ones.
        """
        flags = frozenset(flags)
        if flags == self._flags:
            return False
        self._flags = flags
        self._incarnation += 1
        self._publish_self()
        return True

    def leave(self, now_s: float) -> list[Outgoing]:
        """Publish that this member stops as planned; return the datagrams to send."""
        self.set_flags([LEFT_FLAG])
        return self.tick(now_s)

    def has_left(self, name: str) -> bool:
        """Return whether a member has published that it stops."""
        return LEFT_FLAG in self._get_flags(name)

    def set_listed_members(self, names: Iterable[str], now_s: float) -> None:
        """Replace the known members with those that the platform lists."""
        listed = set(names) - {self.name}
        for name in sorted(listed - self._members.keys()):
            self._members[name] = now_s
        for name in sorted(self._members.keys() - listed):
            del self._members[name]
            self._suspects.discard(name)
        self._names = sorted(self._members)
        ring = rank_owners([self.name, *self._names], RING_KEY)
        position = ring.index(self.name)
        self._ring = ring[position + 1 :] + ring[:position]

    def publish(self, rumour: Rumour) -> bool:
        """Store and spread a rumour of this node; return False when it is not newer."""
        return self.rumours.put(rumour, len(self._members))

    def views(self) -> list[MemberView]:
        """Return all members, including this node."""
        names = [self.name, *self._members]
        return [MemberView(n, self.status(n), self._get_flags(n)) for n in names]

    def status_age_s(self, name: str, now_s: float) -> float:
        """Return how long ago the status of a listed member last changed."""
        return now_s - self._members.get(name, now_s)

    def status(self, name: str) -> MemberStatus:
        """Return the status of a member; one without a rumour counts as alive."""
        rumour = self.rumours.get(MEMBER_PREFIX + name)
        if rumour is None:
            return MemberStatus.ALIVE
        if rumour.value == LEFT_FLAG:
            return MemberStatus.DEAD
        return MemberStatus(rumour.version % VERSIONS_PER_INCARNATION)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Run all due probes and timeouts and return the datagrams to send."""
        out = self._check_probe(now_s)
        self._declare_suspects_dead(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + self._times.probe_interval_s
            out += self._start_probe(now_s)
        if now_s >= self._next_dead_probe_s:
            self._next_dead_probe_s = now_s + self._times.dead_probe_interval_s
            out += self._probe_dead()
        out += self._gossip()
        return out

    def receive(self, datagram: Datagram, now_s: float) -> list[Outgoing]:
        """Process a datagram and return the datagrams to send in response."""
        for rumour in datagram.rumours:
            self.apply_rumour(rumour, now_s)
        self._compare_digests(datagram, now_s)
        if self.status(datagram.sender) is not MemberStatus.ALIVE:
            # A wrongly suspected sender must receive the rumour in order to refute it.
            self.rumours.spread_again(
                [MEMBER_PREFIX + datagram.sender], len(self._members)
            )
        if datagram.kind is DatagramKind.PING:
            return [
                self._build_outgoing(datagram.sender, DatagramKind.ACK, datagram.number)
            ]
        if datagram.kind is DatagramKind.PING_REQUEST:
            number = self._next_number()
            self._relays[number] = (datagram.sender, datagram.number)
            self._trim_relays()
            return [self._build_outgoing(datagram.about, DatagramKind.PING, number)]
        if datagram.kind is DatagramKind.ACK:
            return self._receive_ack(datagram.number)
        return []

    def apply_rumour(self, rumour: Rumour, now_s: float, spread: bool = True) -> bool:
        """Apply a rumour; refute one that calls this node suspect or dead.

        Return False when it changes nothing.
        """
        subject = rumour.subject
        if subject == MEMBER_PREFIX + self.name:
            return self._refute(rumour)
        is_new = self.rumours.put(rumour, len(self._members), spread)
        if is_new and subject.startswith(MEMBER_PREFIX):
            self._track_status(subject.removeprefix(MEMBER_PREFIX), now_s)
        return is_new

    def _track_status(self, name: str, now_s: float) -> None:
        """Record the time of a member's status change and whether it is suspect."""
        if name not in self._members:
            return
        self._members[name] = now_s
        if self.status(name) is MemberStatus.SUSPECT:
            self._suspects.add(name)
        else:
            self._suspects.discard(name)

    def _refute(self, rumour: Rumour) -> bool:
        """Publish a higher incarnation of this node if the rumour would replace it."""
        own = self.rumours.get(rumour.subject)
        if own is not None and rumour.version <= own.version:
            return False
        self._incarnation = rumour.version // VERSIONS_PER_INCARNATION + 1
        self._publish_self()
        return True

    def _publish_self(self) -> None:
        version = self._incarnation * VERSIONS_PER_INCARNATION + MemberStatus.ALIVE
        value = ",".join(sorted(self._flags))
        self.publish(Rumour(MEMBER_PREFIX + self.name, version, value))

    def _get_flags(self, name: str) -> frozenset[str]:
        rumour = self.rumours.get(MEMBER_PREFIX + name)
        if rumour is None or not rumour.value:
            return frozenset()
        return frozenset(rumour.value.split(","))

    def _set_status(self, name: str, status: MemberStatus, now_s: float) -> None:
        rumour = self.rumours.get(MEMBER_PREFIX + name)
        base = Rumour(MEMBER_PREFIX + name, 0) if rumour is None else rumour
        incarnation = base.version // VERSIONS_PER_INCARNATION
        changed = replace(base, version=incarnation * VERSIONS_PER_INCARNATION + status)
        if self.rumours.put(changed, len(self._members)):
            self._track_status(name, now_s)

    def _start_probe(self, now_s: float) -> list[Outgoing]:
        member = self._next_member()
        if member is None:
            return []
        retry_at_s = now_s + self._times.probe_retry_interval_s
        self._probe = _Probe(member, self._next_number(), now_s, retry_at_s)
        return [self._build_outgoing(member, DatagramKind.PING, self._probe.number)]

    def _next_member(self) -> str | None:
        self._probe_phase = (self._probe_phase + 1) % (RING_PROBES + 1)
        if self._probe_phase < RING_PROBES:
            return self._find_successor(self._probe_phase)
        return self._pick_random_member()

    def _find_successor(self, index: int) -> str | None:
        """Return a successor on the ring by its index, skipping dead members."""
        alive = (m for m in self._ring if self.status(m) is not MemberStatus.DEAD)
        return next(itertools.islice(alive, index, None), None)

    def _pick_random_member(self) -> str | None:
        while True:
            if not self._random_order:
                self._random_order = list(self._members)
                self._rng.shuffle(self._random_order)
                if not self._random_order:
                    return None
            name = self._random_order.pop()
            if name not in self._members:
                continue
            if self.status(name) is not MemberStatus.DEAD:
                return name
            if all(self.status(m) is MemberStatus.DEAD for m in self._members):
                return None

    def _check_probe(self, now_s: float) -> list[Outgoing]:
        probe = self._probe
        if probe is None:
            return []
        if now_s - probe.sent_at_s >= self._times.probe_timeout_s:
            self._probe = None
            if self.status(probe.member) is MemberStatus.ALIVE:
                self._set_status(probe.member, MemberStatus.SUSPECT, now_s)
            return []
        if now_s < probe.retry_at_s:
            return []
        # Probing again keeps a lost datagram from making a living member look dead.
        probe.retry_at_s = now_s + self._times.probe_retry_interval_s
        out = [self._build_outgoing(probe.member, DatagramKind.PING, probe.number)]
        relays = self._pick_alive(self._times.indirect_probes, probe.member)
        kind = DatagramKind.PING_REQUEST
        out += [
            self._build_outgoing(relay, kind, probe.number, probe.member)
            for relay in relays
        ]
        return out

    def _declare_suspects_dead(self, now_s: float) -> None:
        for name in sorted(self._suspects):
            if now_s - self._members[name] >= self._times.suspicion_timeout_s:
                self._set_status(name, MemberStatus.DEAD, now_s)

    def _probe_dead(self) -> list[Outgoing]:
        dead = [
            name
            for name in self._members
            if self.status(name) is MemberStatus.DEAD and not self.has_left(name)
        ]
        if not dead:
            return []
        name = self._rng.choice(sorted(dead))
        self.rumours.spread_again([MEMBER_PREFIX + name], len(self._members))
        return [self._build_outgoing(name, DatagramKind.PING, self._next_number())]

    def _gossip(self) -> list[Outgoing]:
        if not self.rumours.has_pending:
            return []
        peers = self._pick_alive(self._times.fanout, "")
        return [self._build_outgoing(p, DatagramKind.GOSSIP, 0) for p in peers]

    def _pick_alive(self, count: int, excluded: str) -> list[str]:
        """Return up to `count` random living members.

        Sampling four times as many names avoids checking the status of all members.
        """
        sampled = self._rng.sample(self._names, min(4 * count, len(self._names)))
        alive = [
            name
            for name in sampled
            if name != excluded and self.status(name) is MemberStatus.ALIVE
        ]
        return alive[:count]

    def _receive_ack(self, number: int) -> list[Outgoing]:
        if self._probe is not None and self._probe.number == number:
            self._probe = None
        relay = self._relays.pop(number, None)
        if relay is None:
            return []
        return [self._build_outgoing(relay[0], DatagramKind.ACK, relay[1])]

    def _trim_relays(self) -> None:
        while len(self._relays) > len(self._members) + 16:
            del self._relays[next(iter(self._relays))]

    def _compare_digests(self, datagram: Datagram, now_s: float) -> None:
        if datagram.digest == self.rumours.digest or self.rumours.has_pending:
            self._digest_mismatches = 0
            return
        self._digest_mismatches += 1
        if self._digest_mismatches >= 2 and now_s >= self._next_sync_s:
            self._digest_mismatches = 0
            self._next_sync_s = now_s + self._times.min_sync_interval_s
            self.sync_partner = datagram.sender

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _build_outgoing(
        self, to: str, kind: DatagramKind, number: int, about: str = ""
    ) -> Outgoing:
        rumours = self.rumours.pick(RUMOUR_SPACE_BYTES)
        digest = self.rumours.digest
        return Outgoing(to, Datagram(kind, self.name, number, digest, about, rumours))


__all__ = [
    "MEMBER_PREFIX",
    "Datagram",
    "DatagramKind",
    "GossipTimes",
    "MemberStatus",
    "MemberView",
    "Membership",
    "Outgoing",
]
