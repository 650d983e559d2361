"""The task that owns the gossip socket and the membership state."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

from msgspec import UNSET

from tamarackshelf.contracts import call_json
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.peers.view_watch import CALL_ERRORS
from tamarackshelf.policy.gossip_types import LoadShare
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
    """The identity of this member and the address that it binds."""

    vm: str
    incarnation: int
    address: Address


class DatagramLink(Protocol):
    """A transport of gossip datagrams."""

    async def start(self, address: Address) -> Address:
        """Bind the socket and return the bound address."""

    async def close(self) -> None:
        """Close the link."""

    def send(self, address: Address, datagram: Datagram) -> None:
        """Send a datagram, which may be lost."""


LinkFactory = Callable[[Callable[[Datagram, Address], None]], DatagramLink]


class GossipTask:
    """The membership protocol, run over a datagram link."""

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
        self._unlisted_addresses: dict[str, Address] = {}
        self._listeners: list[Callable[[], None]] = []
        self._rumour_listeners: list[tuple[str, Callable[[Rumour], None]]] = []
        self._probe_task: asyncio.Task[None] | None = None
        self._sync_task: asyncio.Task[None] | None = None
        self._last_statuses: dict[str, MemberStatus] = {}
        self.has_joined = False
        # Returns the loads that the next datagrams tell.
        self.build_loads: Callable[[], tuple[LoadShare, ...]] = tuple
        # Called with the loads that a datagram told.
        self.receive_loads: Callable[[tuple[LoadShare, ...]], None] = lambda loads: None
        self._is_paused = False

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of a member or rumour."""
        self._listeners.append(listener)

    async def leave(self) -> None:
        """Tell some members that this one stops as planned; they spread the rumour."""
        for _ in range(LEAVE_SENDS):
            self._send(self.membership.leave(_now_s()))
            await asyncio.sleep(TICK_S / LEAVE_SENDS)

    def on_rumour(self, prefix: str, listener: Callable[[Rumour], None]) -> None:
        """Call the listener with each new rumour whose subject has the prefix."""
        self._rumour_listeners.append((prefix, listener))

    def list_live_members(self) -> list[str]:
        """Return the names of the members not considered dead, including this one."""
        return [
            view.name
            for view in self.membership.views()
            if view.status is not MemberStatus.DEAD
        ]

    async def start(self) -> Address:
        """Bind the socket, start to probe and return the bound address."""
        bound = await self.bind()
        self.run()
        return bound

    async def bind(self) -> Address:
        """Bind the socket and answer datagrams, without probing yet."""
        return await self.link.start(self._settings.address)

    def run(self) -> None:
        """Start to probe."""
        self._probe_task = start_task("gossip", self._run)

    async def close(self) -> None:
        """Stop probing and close the socket without telling other members."""
        await stop_tasks(self._probe_task, self._sync_task)
        await self.link.close()

    def pause(self) -> None:
        """Stop probing and answering, as a paused process does."""
        self._is_paused = True

    def resume(self) -> None:
        """Probe and answer again."""
        self._is_paused = False

    def set_entries(self, entries: dict[str, EntryVm]) -> None:
        """Set the entry VMs, by name, that the platform lists."""
        self._entries = entries
        self._unlisted_addresses.clear()
        self.membership.set_listed_members(entries, _now_s())

    async def join(self) -> None:
        """Exchange rumours with some listed members before this node takes part.

        A node that knows no other member would consider itself the owner of all work.
        """
        others = [e for n, e in self._entries.items() if n != self._settings.vm]
        chosen = self._rng.sample(others, min(JOIN_PEERS, len(others)))
        exchanges = [self._exchange_rumours(e.controller, spread=False) for e in chosen]
        await asyncio.gather(*exchanges)
        self.has_joined = True

    def publish(self, rumour: Rumour) -> None:
        """Spread a rumour from now on, unless a newer one is known."""
        if self.membership.publish(rumour):
            self._send(self.membership.tick(_now_s()))
            self._notify_listeners()

    async def _run(self) -> None:
        while True:
            if self._is_paused:
                await asyncio.sleep(TICK_S)
                continue
            self._send(self.membership.tick(_now_s()))
            self._notify_listeners()
            self._start_sync()
            await asyncio.sleep(TICK_S)

    def _receive(self, datagram: Datagram, source: Address) -> None:
        if self._is_paused:
            return
        if datagram.sender not in self._entries:
            # A new member must get answers even before the platform lists it.
            self._unlisted_addresses[datagram.sender] = source
        if datagram.loads is not UNSET:
            self.receive_loads(datagram.loads)
        self._send(self.membership.receive(datagram, _now_s()))
        self._notify_listeners()

    def _send(self, outgoing: list[Outgoing]) -> None:
        loads = self.build_loads() if outgoing else ()
        for message in outgoing:
            entry = self._entries.get(message.to)
            address = (
                entry.gossip if entry else self._unlisted_addresses.get(message.to)
            )
            if address is not None:
                datagram = message.datagram
                if loads:
                    datagram = replace(datagram, loads=loads)
                self.link.send(address, datagram)

    def _notify_listeners(self) -> None:
        new_rumours = self.membership.rumours.drain_new()
        if not new_rumours:
            return
        self._record_changes(new_rumours)
        for rumour in new_rumours:
            for prefix, rumour_listener in self._rumour_listeners:
                if rumour.subject.startswith(prefix):
                    rumour_listener(rumour)
        for listener in self._listeners:
            listener()

    def _record_changes(self, new_rumours: list[Rumour]) -> None:
        for rumour in new_rumours:
            if not rumour.subject.startswith(MEMBER_PREFIX):
                continue
            name = rumour.subject.removeprefix(MEMBER_PREFIX)
            status = self.membership.status(name)
            before = self._last_statuses.get(name, MemberStatus.ALIVE)
            if status is not before:
                has_left = self.membership.has_left(name)
                kind = "left" if has_left else status.name.lower()
                reason = (
                    "the member stopped as planned"
                    if has_left
                    else "rumours report this status"
                )
                was = before.name.lower()
                self._timeline.record(f"member_{kind}", name, reason, before=was)
            self._last_statuses[name] = status

    def _start_sync(self) -> None:
        peer = self.membership.sync_partner
        self.membership.sync_partner = None
        entry = self._entries.get(peer or "")
        if entry is None or (
            self._sync_task is not None and not self._sync_task.done()
        ):
            return
        loop = asyncio.get_running_loop()
        self._sync_task = loop.create_task(self._exchange_rumours(entry.controller))

    async def _exchange_rumours(self, address: Address, spread: bool = True) -> None:
        own = self.membership.rumours.all()
        with contextlib.suppress(*CALL_ERRORS):
            received = await call_json(
                self._peers, address, "POST", "/v1/sync", tuple[Rumour, ...], own
            )
            self.merge_rumours(received, spread)

    def merge_rumours(self, rumours: tuple[Rumour, ...], spread: bool = True) -> None:
        """Apply the rumours of another node; with `spread`, send the new ones on."""
        for rumour in rumours:
            self.membership.apply_rumour(rumour, _now_s(), spread)
        self._notify_listeners()


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["GossipSettings", "GossipTask", "LinkFactory"]
