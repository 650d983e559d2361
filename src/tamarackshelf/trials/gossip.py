"""Simulation of many gossip members on a virtual clock, with packet loss."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from tamarackshelf.gossip.link import encode_signed
from tamarackshelf.gossip.task import TICK_S
from tamarackshelf.policy.membership import (
    Datagram,
    GossipTimes,
    Membership,
    MemberStatus,
)
from tamarackshelf.policy.rumours import Rumour

SIGNING_KEY = b"key of the trial"
# An IPv4 header has 20 bytes and a UDP header 8 bytes.
UDP_HEADER_BYTES = 28
LINK_DELAY_S = 0.002
MAX_RUN_S = 60.0
WARM_UP_S = 5.0


@dataclass(frozen=True, slots=True)
class SpreadResult:
    """Time until all members knew one rumour, and traffic and CPU use per member.

    `loss` is the share of lost datagrams, and `cpu_share` is in CPU cores.
    """

    members: int
    loss: float
    convergence_s: float
    bytes_per_s: float
    cpu_share: float


class GossipSimulation:
    """Discrete event simulation of gossip members that counts bytes and CPU time."""

    def __init__(
        self, members: int, loss: float, seed: int, times: GossipTimes | None = None
    ) -> None:
        self.now_s = 0.0
        self.sent_bytes = 0
        self.cpu_s = 0.0
        self._loss = loss
        self._rng = Random(seed)
        self._events: list[tuple[float, int, str, Datagram | None]] = []
        self._order = itertools.count()
        names = [f"vm-{i:04d}" for i in range(members)]
        self.members = {
            name: Membership(name, 1, Random(f"{seed}/{name}"), times) for name in names
        }
        self.dead: set[str] = set()
        known = [m.rumours.all() for m in self.members.values()]
        for name, member in self.members.items():
            member.set_listed_members(names, 0.0)
            # All members have already joined, so each knows all the others.
            for rumour in itertools.chain.from_iterable(known):
                member.apply_rumour(rumour, 0.0, spread=False)
            self._schedule(self._rng.uniform(0, TICK_S), name, None)

    def run_for(self, duration_s: float) -> None:
        """Run for a time in seconds, such as to let the first rumours spread."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self._step()

    def run_until(self, condition: Callable[[], bool]) -> float:
        """Run until the condition holds and return how long that took, in seconds.

        Return infinity if it does not hold within MAX_RUN_S.
        """
        started_s = self.now_s
        checked_s = self.now_s
        while self.now_s - started_s < MAX_RUN_S:
            self._step()
            if self.now_s - checked_s >= TICK_S / 4:
                checked_s = self.now_s
                if condition():
                    return self.now_s - started_s
        return float("inf")

    def live_members(self) -> Iterable[Membership]:
        """Return the members that are not dead."""
        return (m for n, m in self.members.items() if n not in self.dead)

    def _step(self) -> None:
        self.now_s, _, name, datagram = heapq.heappop(self._events)
        if datagram is None:
            self._schedule(self.now_s + TICK_S, name, None)
        if name in self.dead:
            return
        member = self.members[name]
        started_s = time.process_time()
        if datagram is None:
            outgoing = member.tick(self.now_s)
        else:
            outgoing = member.receive(datagram, self.now_s)
        packets = [encode_signed(SIGNING_KEY, 0, out.datagram) for out in outgoing]
        self.cpu_s += time.process_time() - started_s
        for out, data in zip(outgoing, packets, strict=True):
            self.sent_bytes += len(data) + UDP_HEADER_BYTES
            if self._rng.random() >= self._loss:
                delay_s = LINK_DELAY_S * self._rng.uniform(0.5, 1.5)
                self._schedule(self.now_s + delay_s, out.to, out.datagram)

    def _schedule(self, at_s: float, name: str, datagram: Datagram | None) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), name, datagram))


def measure_spread(members: int, loss: float, seed: int) -> dict[str, SpreadResult]:
    """Measure an idle group, a leaving target, a new revision and a dead VM in turn.

    The convergence time of the idle group is 0.
    """
    simulation = GossipSimulation(members, loss, seed)
    simulation.run_for(WARM_UP_S)
    return {
        "quiet": _measure(simulation, loss, lambda: False, duration_s=10.0),
        "leaving_target": _spread_rumour(simulation, loss, Rumour("target:t1", 5)),
        "new_revision": _spread_rumour(
            simulation, loss, Rumour("head:configuration", 7)
        ),
        "dead_vm": _kill_member(simulation, loss),
    }


def _spread_rumour(
    simulation: GossipSimulation, loss: float, rumour: Rumour
) -> SpreadResult:
    next(iter(simulation.live_members())).publish(rumour)

    def all_know() -> bool:
        return all(
            m.rumours.get(rumour.subject) == rumour for m in simulation.live_members()
        )

    return _measure(simulation, loss, all_know)


def _kill_member(simulation: GossipSimulation, loss: float) -> SpreadResult:
    name = next(reversed(simulation.members))
    simulation.dead.add(name)

    def all_know() -> bool:
        return all(
            m.status(name) is MemberStatus.DEAD for m in simulation.live_members()
        )

    return _measure(simulation, loss, all_know)


def _measure(
    simulation: GossipSimulation,
    loss: float,
    condition: Callable[[], bool],
    duration_s: float | None = None,
) -> SpreadResult:
    started_s, sent, cpu_s = simulation.now_s, simulation.sent_bytes, simulation.cpu_s
    if duration_s is not None:
        simulation.run_for(duration_s)
        convergence_s = 0.0
    else:
        convergence_s = simulation.run_until(condition)
    elapsed_s = simulation.now_s - started_s
    count = len(simulation.members)
    return SpreadResult(
        members=count,
        loss=loss,
        convergence_s=convergence_s,
        bytes_per_s=(simulation.sent_bytes - sent) / elapsed_s / count,
        cpu_share=(simulation.cpu_s - cpu_s) / elapsed_s / count,
    )


__all__ = ["GossipSimulation", "SpreadResult", "measure_spread"]
