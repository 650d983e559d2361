"""Which software began a stream, so that any node can resume it for its caller."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from tamarackshelf.contracts.rows import (
    RowKey,
    RowQuery,
    RowStore,
    RowStoreError,
    RowTransaction,
    RowWrite,
)
from tamarackshelf.contracts.targets import Resumption
from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.ownership import find_owner, rank_owners
from tamarackshelf.policy.software_history import SoftwareHistory, SoftwareSpan
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.tasks import start_task, stop_tasks

ORIGIN_PATH = "/origins"
FIND_ORIGIN_PATH = "/origins/find"
SOFTWARE_TABLE = "software"
# Callers resume a stream within their deadline, which is shorter.
ORIGIN_TTL_S = 60.0
MAX_ORIGINS = 5000
# Nodes that keep the origin of a stream besides the one that serves it.
HOMES = 3
# One more is asked than told, as the first by rank may be new or gone since.
ASKED_HOMES = 4
# Homes that must know of no origin before it is inferred that none was recorded.
MIN_UNAWARE_HOMES = 2
# A live peer answers within milliseconds; the stream's first event waits for it.
PEER_TIMEOUT_S = 0.15
# A caller that resumes a stream waits for this read of the store only if its homes
# could not be asked.
SPANS_TIMEOUT_S = 0.4
UPKEEP_INTERVAL_S = 1.0
# The spans in the store are renewed at this interval.
RENEW_INTERVAL_S = 20.0


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and software that began a stream, by the id of the caller's attempt.

    `at_s` is the Unix time when its head arrived.
    """

    attempt_id: str
    service: str
    software: str
    at_s: float


@dataclass(frozen=True, slots=True)
class OriginAnswer:
    """A node's answer about an origin, with the Unix time since when it keeps them.

    `spans` are the versions that the node knows, and `is_current` whether its list of
    targets is; nodes of an earlier release send neither.
    """

    origin: StreamOrigin | None
    keeps_since_s: float
    spans: tuple[SoftwareSpan, ...] = ()
    is_current: bool = False


class StreamOrigins:
    """Origins of streams at this node and, where versions differ, at their homes.

    While a service has had a single version for ORIGIN_TTL_S, nothing is sent: every
    node can infer the origin. The spans of versions are kept in the store, for nodes
    that start. `wall_s` returns the Unix time.
    """

    def __init__(
        self,
        targets: TargetRegistry,
        http: HttpClient,
        timeline: Timeline,
        metrics: Metrics,
        wall_s: Callable[[], float],
    ) -> None:
        self._targets = targets
        self._http = http
        self._timeline = timeline
        self._metrics = metrics
        self._wall_s = wall_s
        self._history = SoftwareHistory()
        self._origins: OrderedDict[str, StreamOrigin] = OrderedDict()
        self._keeps_since_s = wall_s()
        # Versions whose spans the store holds, and when a failed write is repeated.
        self._stored: set[tuple[str, str]] = set()
        self._store_again_s = float("-inf")
        self._fleet: Fleet | None = None
        self._store: RowStore | None = None
        self._upkeep: asyncio.Task[None] | None = None

    async def start(self, fleet: Fleet, store: RowStore) -> None:
        """Read the stored spans and start to renew them; wait until they are read."""
        self._fleet, self._store = fleet, store
        while not await self._read_spans(store):
            await asyncio.sleep(UPKEEP_INTERVAL_S)
        self._upkeep = start_task("stream_origins", lambda: self._run_upkeep(store))

    async def close(self) -> None:
        """Stop renewing the spans."""
        await stop_tasks(self._upkeep)

    async def record(self, attempt_id: str, service: str, software: str) -> bool:
        """Record a stream's origin before the caller gets its first event.

        Wait until the store knows the version, and while the service may have several
        ones until the homes have the origin, each for PEER_TIMEOUT_S at most. Return
        False if other nodes would take another version for the stream's origin.
        """
        origin = StreamOrigin(attempt_id, service, software, self._wall_s())
        self.accept(origin)
        # A look at all targets is too slow for each stream. One that began before this
        # node noticed a second version is known by inference.
        self._history.observe({service: [software]}, origin.at_s)
        is_stored = await self._ensure_stored(service, software)
        is_uniform = self._is_uniform(service) and self._targets.is_list_current()
        if is_stored and is_uniform:
            return True
        homes = self._rank_homes(attempt_id)[:HOMES]
        answers = await asyncio.gather(
            *(self._post(home, ORIGIN_PATH, origin) for home in homes)
        )
        self._metrics.count("stream_origins_told")
        if any(answer is not None for answer in answers) or not self._has_others():
            return True
        self._observe()
        inferred = self._history.find_sole(service, self._oldest_s())
        self._timeline.record(
            "origin_not_told",
            attempt_id,
            "no home of the stream's origin answered",
            homes=",".join(home.vm for home in homes),
            software=software,
            inferred=inferred or "",
        )
        return inferred in (None, software)

    async def find(
        self, resumption: Resumption, services: Collection[str]
    ) -> StreamOrigin | None:
        """Return the origin of a stream that a caller resumes, or None if unknown."""
        origin = self._origins.get(resumption.attempt_id)
        reason = "this node was told of the stream or began it"
        if origin is None:
            origin, reason = await self._ask_or_infer(resumption, services)
        self._timeline.record(
            "stream_origin",
            resumption.attempt_id,
            reason,
            software="" if origin is None else origin.software,
            service="" if origin is None else origin.service,
            age_ms=""
            if origin is None
            else round((self._wall_s() - origin.at_s) * 1e3),
        )
        return origin

    def accept(self, origin: StreamOrigin) -> None:
        """Keep an origin; drop the oldest ones beyond MAX_ORIGINS."""
        self._origins[origin.attempt_id] = origin
        while len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    def answer(self, attempt_id: str) -> OriginAnswer:
        """Answer a peer that resumes a stream."""
        self._observe()
        return OriginAnswer(
            self._origins.get(attempt_id),
            self._keeps_since_s,
            tuple(self._history.list_all()),
            self._targets.is_list_current(),
        )

    async def _ask_or_infer(
        self, resumption: Resumption, services: Collection[str]
    ) -> tuple[StreamOrigin | None, str]:
        """Ask the homes, or infer from the versions of the service that none was told.

        Return the origin, if it is certain, and the reason.
        """
        attempt_id = resumption.attempt_id
        self._observe()
        # The versions of several services of one route say nothing about the stream.
        service = next(iter(services)) if len(services) == 1 else ""
        answers: list[OriginAnswer | None] = []
        if attempt_id:
            # Another node may have listed a second version a moment earlier.
            homes = self._rank_homes(attempt_id)[:ASKED_HOMES]
            answers = await asyncio.gather(*(self._ask(h, attempt_id) for h in homes))
        known = [a.origin for a in answers if a is not None and a.origin is not None]
        if known:
            return known[0], "a home of the stream's origin knows it"
        is_uniform = self._is_uniform(service) and self._targets.is_list_current()
        if is_uniform and not await self._learn_versions(answers):
            return None, "this node may have missed another version"
        # Others may know of a second version.
        if is_uniform and self._is_uniform(service):
            spans = self._history.list_spans(service, self._oldest_s())
            return self._infer(attempt_id, service, spans[0].software), (
                "the service has had a single version lately"
            )
        if not attempt_id:
            return None, "the caller does not name the attempt that began the stream"
        sole = self._history.find_sole(service, self._oldest_s())
        if sole is None:
            return None, "several versions may have begun the stream"
        # An origin is told from when a second version is there.
        spans = self._history.list_spans(service, self._oldest_s())
        mixed_s = max(span.first_s for span in spans)
        unaware_count = sum(
            a is not None and a.keeps_since_s <= mixed_s for a in answers
        )
        if unaware_count < self._count_needed_homes():
            return None, f"only {unaware_count} homes know that no origin was told"
        if self._keeps_since_s > mixed_s and not answers:
            return None, "this node began after the stream may have"
        return self._infer(attempt_id, service, sole), (
            "the stream began while the service had a single version"
        )

    async def _learn_versions(self, answers: Collection[OriginAnswer | None]) -> bool:
        """Learn the versions that others know; return whether enough of them do.

        This node's own list may be older than it looks: the process stood still, or
        its connections have been silent for a moment. A version is in the store before
        its first stream begins, or the homes of the stream know its origin.
        """
        current = [a for a in answers if a is not None and a.is_current]
        for answer in current:
            for span in answer.spans:
                self._history.merge(span)
        if answers and len(current) >= self._count_needed_homes():
            return True
        if self._store is None:
            return False
        try:
            async with asyncio.timeout(SPANS_TIMEOUT_S):
                return await self._read_spans(self._store)
        except TimeoutError:
            reason = "the store did not answer in time"
            self._timeline.record("software_not_read", SOFTWARE_TABLE, reason)
            return False

    def _has_others(self) -> bool:
        """Return whether another node may be alive, if only behind a cut."""
        return self._fleet is not None and self._fleet.count_listed_nodes() > 1

    def _count_needed_homes(self) -> int:
        """Return how many homes must know of no origin before it is inferred.

        Nodes that this one considers dead count, too: after a kill of all nodes the
        first one that is back knows no live peer.
        """
        listed = 0 if self._fleet is None else self._fleet.count_listed_nodes() - 1
        return min(MIN_UNAWARE_HOMES, listed)

    def _infer(self, attempt_id: str, service: str, software: str) -> StreamOrigin:
        return StreamOrigin(attempt_id, service, software, self._wall_s())

    def _is_uniform(self, service: str) -> bool:
        """Return whether the service has had a single version for ORIGIN_TTL_S."""
        return len(self._history.list_spans(service, self._oldest_s())) == 1

    def _observe(self) -> bool:
        return self._history.observe(self._targets.list_software(), self._wall_s())

    def _oldest_s(self) -> float:
        return self._wall_s() - ORIGIN_TTL_S

    def _rank_homes(self, attempt_id: str) -> list[NodeRecord]:
        """Return the other live nodes, ranked for a stream."""
        if self._fleet is None:
            return []
        by_name = {record.vm: record for record in self._fleet.peers()}
        return [by_name[name] for name in rank_owners(by_name, attempt_id)]

    async def _ask(self, home: NodeRecord, attempt_id: str) -> OriginAnswer | None:
        body = await self._post(home, FIND_ORIGIN_PATH, attempt_id)
        if body is None:
            return None
        try:
            return decode_msgpack(body, OriginAnswer)
        except InvalidInput as error:
            reason = f"its answer cannot be read: {error}"
            self._timeline.record("peer_call_failed", home.vm, reason)
            return None

    async def _post(self, home: NodeRecord, path: str, message: Any) -> bytes | None:
        """Call a peer; return the body of its answer, or None if there is none."""
        try:
            answer = await self._http.request(
                home.peers,
                "POST",
                path,
                body=msgspec.msgpack.encode(message),
                timeout_s=PEER_TIMEOUT_S,
            )
        except (ConnectFailed, ConnectionLost) as error:
            self._timeline.record("peer_call_failed", home.vm, str(error), path=path)
            return None
        return answer.body if answer.status == 200 else None

    async def _run_upkeep(self, store: RowStore) -> None:
        renewed_s = float("-inf")
        while True:
            now_s = self._wall_s()
            is_new = self._observe()
            self._history.forget(now_s - 2 * ORIGIN_TTL_S)
            while self._origins:
                attempt_id, origin = next(iter(self._origins.items()))
                if now_s - origin.at_s < ORIGIN_TTL_S:
                    break
                del self._origins[attempt_id]
            if is_new or now_s - renewed_s >= RENEW_INTERVAL_S:
                renewed_s = now_s
                await self._write_spans(store)
            await asyncio.sleep(UPKEEP_INTERVAL_S)

    async def _read_spans(self, store: RowStore) -> bool:
        try:
            page = await store.read(RowQuery(SOFTWARE_TABLE, SOFTWARE_TABLE))
        except RowStoreError as error:
            self._timeline.record("software_not_read", SOFTWARE_TABLE, str(error))
            return False
        for row in page.rows:
            try:
                span = decode_msgpack(row.value, SoftwareSpan)
            except InvalidInput as error:
                self._timeline.record("row_unreadable", row.at.key, str(error))
                continue
            if span.last_s + RENEW_INTERVAL_S >= self._oldest_s():
                # The version may have been there until the row was due again.
                last_s = min(self._wall_s(), span.last_s + RENEW_INTERVAL_S)
                span = replace(span, last_s=last_s)
                self._history.merge(span)
                self._stored.add((span.service, span.software))
        return True

    async def _ensure_stored(self, service: str, software: str) -> bool:
        """Store the span of a version before its first stream at this node.

        A version that came and went around a kill of all nodes would leave no trace.
        Return False if the store did not confirm it.
        """
        if (service, software) in self._stored:
            return True
        if self._store is None or self._wall_s() < self._store_again_s:
            return False
        spans = [
            span
            for span in self._history.list_spans(service, self._oldest_s())
            if span.software == software
        ]
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                await self._commit_spans(self._store, spans)
        except (RowStoreError, TimeoutError) as error:
            self._store_again_s = self._wall_s() + UPKEEP_INTERVAL_S
            reason = str(error) or "the store did not answer in time"
            self._timeline.record("software_not_stored", SOFTWARE_TABLE, reason)
            return False
        return True

    async def _commit_spans(
        self, store: RowStore, spans: Collection[SoftwareSpan]
    ) -> None:
        writes = tuple(
            RowWrite(
                RowKey(
                    SOFTWARE_TABLE, SOFTWARE_TABLE, f"{span.service}/{span.software}"
                ),
                msgspec.msgpack.encode(span),
            )
            for span in spans
        )
        await store.commit(RowTransaction((), writes))
        self._stored |= {(span.service, span.software) for span in spans}

    async def _write_spans(self, store: RowStore) -> None:
        """Store the spans of the services that this node owns by rendezvous hashing."""
        assert self._fleet is not None
        names = [record.vm for record in self._fleet.list_live_nodes()]
        spans = [
            span
            for span in self._history.list_all()
            if find_owner(names, span.service) == self._fleet.own.vm
        ]
        if not spans:
            return
        try:
            await self._commit_spans(store, spans)
        except RowStoreError as error:
            self._timeline.record("software_not_stored", SOFTWARE_TABLE, str(error))


__all__ = [
    "FIND_ORIGIN_PATH",
    "ORIGIN_PATH",
    "ORIGIN_TTL_S",
    "OriginAnswer",
    "StreamOrigin",
    "StreamOrigins",
]
