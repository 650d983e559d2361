"""What the nodes tell each other by gossip about their paths to the targets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from tamarackshelf.decoding import InvalidInput, decode_json
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.rumours import Rumour

# A rumour with this prefix and a node's name tells from what the node is cut off.
CUT_OFF_PREFIX = "cut-off:"
# A node repeats the rumour of its cut at this interval; others forget it after
# CUT_OFF_TTL_S without a repetition.
REPEAT_INTERVAL_S = 4.0
CUT_OFF_TTL_S = 12.0


@dataclass(frozen=True, slots=True)
class CutOffNews:
    """The services from which a node is cut off, as the value of its rumour.

    It may still reach those in `refused` on connections that are open.
    """

    services: frozenset[str] = frozenset()
    refused: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _HeardNews:
    """The news of a peer, heard at `at_s` on the event loop's clock."""

    news: CutOffNews
    at_s: float


class PeerPaths:
    """The news of this node and of its peers; `wall_ms` returns the Unix time.

    `on_lost` is called with a service and the name of a peer that lost its paths to it.
    """

    def __init__(
        self,
        timeline: Timeline,
        wall_ms: Callable[[], int],
        on_lost: Callable[[str, str], None],
    ) -> None:
        self._timeline = timeline
        self._wall_ms = wall_ms
        self._on_lost = on_lost
        self._fleet: Fleet | None = None
        self._heard: dict[str, _HeardNews] = {}
        self._own = CutOffNews()
        self._version = 0
        self._published_at_s = float("-inf")

    def connect(self, fleet: Fleet) -> None:
        """Start to exchange news with the other nodes."""
        self._fleet = fleet
        fleet.gossip.on_rumour(CUT_OFF_PREFIX, self._receive_rumour)

    def publish(self, news: CutOffNews) -> None:
        """Tell the other nodes from what this node is cut off now."""
        self._own = news
        if self._fleet is None:
            return
        # The wall clock may be set back between two rumours.
        self._version = max(self._version + 1, self._wall_ms())
        self._published_at_s = _now_s()
        value = msgspec.json.encode(news).decode() if news.services else ""
        subject = f"{CUT_OFF_PREFIX}{self._fleet.own.vm}"
        self._fleet.gossip.publish(Rumour(subject, self._version, value))

    def repeat(self) -> None:
        """Tell the news again if this node is cut off and that is due."""
        is_due = _now_s() - self._published_at_s >= REPEAT_INTERVAL_S
        if self._own.services and is_due:
            self.publish(self._own)

    def find(self, vm: str) -> CutOffNews:
        """Return what a node, or this one, said last, if that is not too old."""
        if self._fleet is not None and vm == self._fleet.own.vm:
            return self._own
        heard = self._heard.get(vm)
        if heard is None or _now_s() - heard.at_s > CUT_OFF_TTL_S:
            return CutOffNews()
        return heard.news

    def count_cut_off(self, service: str) -> int:
        """Return the number of peers that are cut off from a service."""
        return sum(service in self.find(vm).services for vm in self._heard)

    def _receive_rumour(self, rumour: Rumour) -> None:
        vm = rumour.subject.removeprefix(CUT_OFF_PREFIX)
        if self._fleet is None or vm == self._fleet.own.vm:
            return
        # A node that starts hears rumours from long ago.
        is_old = self._wall_ms() - rumour.version > CUT_OFF_TTL_S * 1000
        if not rumour.value or is_old:
            self._heard.pop(vm, None)
            return
        try:
            news = decode_json(rumour.value.encode(), CutOffNews)
        except InvalidInput as error:
            self._timeline.record("rumour_unreadable", rumour.subject, str(error))
            return
        known = self.find(vm)
        self._heard[vm] = _HeardNews(news, _now_s())
        for service in news.services - known.services:
            self._on_lost(service, vm)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["CUT_OFF_PREFIX", "CutOffNews", "PeerPaths"]
