"""The task that owns the gossip socket and the membership state."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from tamarackshelf.contracts import call_json
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.peers.view_watch import CALL_ERRORS
from tamarackshelf.policy.membership import (
    MEMBER_PREFIX,
    Datagram,
    Membership,
    MemberStatus,
    Outgoing,
)
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Address, EntryVm

TICK_S = 0.2
JOIN_PEERS = 3
LEAVE_SENDS = 3


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Identity and key of this member."""

    vm: str
    incarnation: int
    address: Address


class DatagramLink(Protocol):
    """What carries gossip datagrams."""

    async def start(self, address: Address) -> Address:
        """Binds and returns the bound address."""

    async def close(self) -> None:
        """Closes the link."""

    def send(self, address: Address, datagram: Datagram) -> None:
        """Sends a datagram that may be lost."""


LinkFactory = Callable[[Callable[[Datagram, Address], None]], DatagramLink]


class GossipTask:
    """Runs the membership protocol over a datagram link."""

    def __init__(
        self,
        settings: GossipSettings,
        peers: HttpClient,
        timeline: Timeline,
        rng: Random,
        build_link: LinkFactory,
    ) -> None:
        self.membership = Membership(settings.vm, settings.incarnation, rng)
        self.link = build_link(self._receive)
        self._settings = settings
        self._peers = peers
        self._rng = rng
        self._timeline = timeline
        self._entries: dict[str, EntryVm] = {}
        self._sources: dict[str, Address] = {}
        self._listeners: list[Callable[[], None]] = []
        self._rumour_listeners: list[tuple[str, Callable[[Rumour], None]]] = []
        self._task: asyncio.Task[None] | None = None
        self._sync: asyncio.Task[None] | None = None
        self._known: dict[str, MemberStatus] = {}
        self.has_joined = False
        self._is_frozen = False

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls the listener when a member or a rumour changed."""
        self._listeners.append(listener)

    async def leave(self) -> None:
        """Tells some members that this one stops; they spread it."""
        for _ in range(LEAVE_SENDS):
            self._send(self.membership.leave(_now_s()))
            await asyncio.sleep(TICK_S / LEAVE_SENDS)

    def on_rumour(self, prefix: str, listener: Callable[[Rumour], None]) -> None:
        """Calls the listener with each new rumour whose subject has the prefix."""
        self._rumour_listeners.append((prefix, listener))

    def list_live_members(self) -> list[str]:
        """Returns the members that are not held for dead, this one included."""
        return [
            view.name
            for view in self.membership.views()
            if view.status is not MemberStatus.DEAD
        ]

    async def start(self) -> Address:
        """Binds the socket and starts to probe."""
        bound = await self.bind()
        self.run()
        return bound

    async def bind(self) -> Address:
        """Binds the socket and answers, without probing yet."""
        return await self.link.start(self._settings.address)

    def run(self) -> None:
        """Starts to probe."""
        self._task = start_task("gossip", self._run)

    async def close(self) -> None:
        """Stops probing and closes the socket, as a crash would."""
        await stop_tasks(self._task, self._sync)
        await self.link.close()

    def pause(self) -> None:
        """Neither probes nor answers, as a paused process."""
        self._is_frozen = True

    def resume(self) -> None:
        """Goes on."""
        self._is_frozen = False

    def set_entries(self, entries: dict[str, EntryVm]) -> None:
        """Takes the entry VMs that the platform lists."""
        self._entries = entries
        self._sources.clear()
        self.membership.set_listed_members(entries, _now_s())

    async def join(self) -> None:
        """Learns what some listed members know before this node takes part.

        A node that knows only itself would take all work for its own.
        """
        others = [e for n, e in self._entries.items() if n != self._settings.vm]
        chosen = self._rng.sample(others, min(JOIN_PEERS, len(others)))
        exchanges = [self._exchange(e.controller, spread=False) for e in chosen]
        await asyncio.gather(*exchanges)
        self.has_joined = True

    def publish(self, rumour: Rumour) -> None:
        """Spreads a fact, beginning at once."""
        if self.membership.publish(rumour):
            self._send(self.membership.tick(_now_s()))
            self._notify()

    async def _run(self) -> None:
        while True:
            if self._is_frozen:
                await asyncio.sleep(TICK_S)
                continue
            self._send(self.membership.tick(_now_s()))
            self._notify()
            self._start_sync()
            await asyncio.sleep(TICK_S)

    def _receive(self, datagram: Datagram, source: Address) -> None:
        if self._is_frozen:
            return
        if datagram.sender not in self._entries:
            # The list lags: a new member must get its answers all the same.
            self._sources[datagram.sender] = source
        self._send(self.membership.receive(datagram, _now_s()))
        self._notify()

    def _send(self, outgoing: list[Outgoing]) -> None:
        for out in outgoing:
            entry = self._entries.get(out.to)
            address = entry.gossip if entry else self._sources.get(out.to)
            if address is not None:
                self.link.send(address, out.datagram)

    def _notify(self) -> None:
        news = self.membership.rumours.drain_new()
        if not news:
            return
        self._record_changes(news)
        for rumour in news:
            for prefix, take in self._rumour_listeners:
                if rumour.subject.startswith(prefix):
                    take(rumour)
        for listener in self._listeners:
            listener()

    def _record_changes(self, news: list[Rumour]) -> None:
        for rumour in news:
            if not rumour.subject.startswith(MEMBER_PREFIX):
                continue
            name = rumour.subject.removeprefix(MEMBER_PREFIX)
            status = self.membership.status(name)
            before = self._known.get(name, MemberStatus.ALIVE)
            if status is not before:
                has_left = self.membership.has_left(name)
                kind = "left" if has_left else status.name.lower()
                reason = "it stopped as planned" if has_left else "gossip says so"
                was = before.name.lower()
                self._timeline.record(f"member_{kind}", name, reason, before=was)
            self._known[name] = status

    def _start_sync(self) -> None:
        peer = self.membership.sync_partner
        self.membership.sync_partner = None
        entry = self._entries.get(peer or "")
        if entry is None or (self._sync is not None and not self._sync.done()):
            return
        loop = asyncio.get_running_loop()
        self._sync = loop.create_task(self._exchange(entry.controller))

    async def _exchange(self, address: Address, spread: bool = True) -> None:
        own = self.membership.rumours.all()
        with contextlib.suppress(*CALL_ERRORS):
            theirs = await call_json(
                self._peers, address, "POST", "/v1/sync", tuple[Rumour, ...], own
            )
            self.merge_rumours(theirs, spread)

    def merge_rumours(self, rumours: tuple[Rumour, ...], spread: bool = True) -> None:
        """Takes the rumours of another node."""
        for rumour in rumours:
            self.membership.apply_rumour(rumour, _now_s(), spread)
        self._notify()


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["GossipSettings", "GossipTask", "LinkFactory"]
