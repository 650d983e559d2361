"""Requests in flight by node and target, as the nodes tell each other by gossip.

Each node tells its own numbers, and passes on those of others that it heard last. So
the sum over all nodes is known without a report from the target, and a lost datagram or
a dead node makes it wrong for a few seconds only.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from tamarackshelf.policy.gossip_types import LoadShare
from tamarackshelf.world import Target

# Shares are forgotten after this time; the age in a message goes up to 255 units.
SHARE_TTL_S = 6.0
AGE_UNIT_S = 0.025
# The weight of a share falls by 1/e in this time, about that of generating a text. With
# half of it the trial has three times as many requests turned away.
SHARE_DECAY_S = 2.0
MAX_COUNT = 255
# A datagram holds 900 bytes of rumours, up to 220 of other fields and these within its
# 1,400 bytes. Shares of five nodes with five engines each fit into one.
MAX_BYTES = 260
# Upper bounds for the encoded sizes of a share without targets, and of one target.
SHARE_BYTES = 15
TARGET_BYTES = 7
MAX_TARGETS = (MAX_BYTES - SHARE_BYTES) // TARGET_BYTES
MAX_NODES = 1000
SEQUENCES = 1 << 16
# Summing up the shares of 380 nodes takes 0.25 ms; within this time they lose 2.5%.
ESTIMATE_TTL_S = 0.05


@dataclass(slots=True)
class _KnownShare:
    sequence: int
    told_at_s: float
    counts: dict[int, int]


class SharedLoads:
    """The newest numbers of each node; `first_sequence` grows from start to start.

    A node's numbers with a higher sequence, modulo 65,536, replace those with a lower
    one. All times are on this node's own clock; messages hold ages.
    """

    def __init__(self, node: str, first_sequence: int) -> None:
        self._node = _hash(node)
        self._sequence = first_sequence % SEQUENCES
        self._shares: dict[int, _KnownShare] = {}
        self._last_told_s = -math.inf
        # The last estimate and its time, until something new is heard.
        self._last_estimate: tuple[float, ExpectedLoads | None] | None = None

    def build(
        self, own: Mapping[str, int], now_s: float, max_bytes: int = MAX_BYTES
    ) -> tuple[LoadShare, ...]:
        """Return what the next datagram tells: this node's numbers, then newer ones.

        `own` maps the keys of targets to this node's requests in flight. A node tells
        that it has none for as long as others may know older numbers.
        """
        self._forget(now_s)
        counts = {_hash(key): min(n, MAX_COUNT) for key, n in own.items() if n > 0}
        if len(counts) > MAX_TARGETS:
            largest = sorted(counts, key=lambda key: counts[key], reverse=True)
            counts = {key: counts[key] for key in largest[:MAX_TARGETS]}
        if counts:
            self._last_told_s = now_s
        shares: list[LoadShare] = []
        if now_s - self._last_told_s < SHARE_TTL_S:
            self._sequence = (self._sequence + 1) % SEQUENCES
            shares.append((self._node, self._sequence, 0, counts))
            max_bytes -= _size(counts)
        newest_first = sorted(self._shares.items(), key=lambda item: -item[1].told_at_s)
        for node, known in newest_first:
            max_bytes -= _size(known.counts)
            if max_bytes < 0:
                break
            # Rounded up: an age must not shrink on its way through many nodes.
            age = math.ceil((now_s - known.told_at_s) / AGE_UNIT_S)
            shares.append((node, known.sequence, min(age, 255), known.counts))
        return tuple(shares)

    def receive(self, shares: tuple[LoadShare, ...], now_s: float) -> None:
        """Store what a datagram of another node tells; ignore what is not newer."""
        self._forget(now_s)
        self._last_estimate = None
        for node, sequence, age, counts in shares:
            if node == self._node or age * AGE_UNIT_S >= SHARE_TTL_S:
                continue
            known = self._shares.get(node)
            if known is not None and not _is_later(sequence, known.sequence):
                continue
            if known is None and len(self._shares) >= MAX_NODES:
                continue
            told_at_s = now_s - age * AGE_UNIT_S
            self._shares[node] = _KnownShare(sequence, told_at_s, counts)

    def estimate(self, now_s: float) -> ExpectedLoads | None:
        """Return the expected requests of the other nodes, or None without any news.

        It may be up to ESTIMATE_TTL_S old, but for what was received since.
        """
        last = self._last_estimate
        if last is not None and now_s - last[0] < ESTIMATE_TTL_S:
            return last[1]
        self._forget(now_s)
        expected = ExpectedLoads(self._sum(now_s)) if self._shares else None
        self._last_estimate = now_s, expected
        return expected

    def _sum(self, now_s: float) -> dict[int, float]:
        totals: dict[int, float] = {}
        for known in self._shares.values():
            weight = math.exp(-(now_s - known.told_at_s) / SHARE_DECAY_S)
            for key, count in known.counts.items():
                totals[key] = totals.get(key, 0.0) + weight * count
        return totals

    def _forget(self, now_s: float) -> None:
        for node, known in list(self._shares.items()):
            if now_s - known.told_at_s >= SHARE_TTL_S:
                del self._shares[node]


@dataclass(frozen=True, slots=True)
class ExpectedLoads:
    """Requests that the other nodes are expected to have in flight, by target."""

    totals: Mapping[int, float]

    def find(self, target: Target) -> float:
        """Return the number for a target, 0.0 if no node told of any."""
        return self.totals.get(_hash(build_key(target)), 0.0)


def build_key(target: Target) -> str:
    """Return what names one start of a target."""
    return f"{target.name}/{target.incarnation}"


def _size(counts: Mapping[int, int]) -> int:
    return SHARE_BYTES + TARGET_BYTES * len(counts)


def _is_later(sequence: int, other: int) -> bool:
    return 0 < (sequence - other) % SEQUENCES < SEQUENCES // 2


def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())


__all__ = ["MAX_BYTES", "SHARE_TTL_S", "ExpectedLoads", "SharedLoads", "build_key"]
