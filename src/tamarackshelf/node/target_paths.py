"""Paths of a node to the targets: its own connections, or calls that a peer relays."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator, Callable, Sequence, Set
from dataclasses import replace

from tamarackshelf.contracts.targets import CallKind, TargetCall, TargetStream
from tamarackshelf.net import ConnectFailed, ConnectionLost, ConnectRefused, HttpClient
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.peer_paths import CutOffNews, PeerPaths
from tamarackshelf.node.target_relay import (
    PeerDeclined,
    TargetNotReached,
    TargetVerdict,
    ask_for_verdict,
    open_relayed,
)
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.policy.reachability import ServicePaths
from tamarackshelf.store.fleet_rows import NodeRecord
from tamarackshelf.tasks import start_task, stop_tasks
from tamarackshelf.world import Target

# A running target accepts a connection, and a crashed one refuses it, in milliseconds.
PROBE_TIMEOUT_S = 0.2
# Targets of a service that one round probes at most.
PROBED_TARGETS = 3
# Targets of other services that it probes if none of the service was reached.
PROBED_OTHERS = 2
# After a round that reached a target, a failed connection starts no other for this
# long: single targets fail more often than all paths of a node.
CHECK_INTERVAL_S = 0.5
# A node that hears of another one's cut verifies its own paths this often at most.
HEARD_CHECK_INTERVAL_S = 2.0
# Interval of probes while this node is cut off.
RECHECK_INTERVAL_S = 0.5
# A peer that did not relay a call gets none for this long, if there are others.
PEER_AVOID_S = 2.0
# Peers that are asked to relay one call at most.
MAX_PEERS_PER_CALL = 3


class _Probe(enum.Enum):
    """The outcome of a connection attempt."""

    REACHED = "reached"
    REFUSED = "refused"
    FAILED = "failed"


class TargetPaths:
    """TargetTransport that goes through a peer while this node is cut off.

    Until `connect` is called there are no peers, and all calls are direct. `wall_ms`
    returns the Unix time.
    """

    def __init__(
        self,
        http: HttpClient,
        peer_http: HttpClient,
        timeline: Timeline,
        metrics: Metrics,
        wall_ms: Callable[[], int],
    ) -> None:
        """Use `http` for calls to targets and `peer_http` for relayed ones."""
        self._http = http
        self._peer_http = peer_http
        self._timeline = timeline
        self._metrics = metrics
        self._peer_paths = PeerPaths(timeline, wall_ms, self._check_after_news)
        self._fleet: Fleet | None = None
        self._targets: TargetRegistry | None = None
        self._services: dict[str, ServicePaths] = {}
        self._avoided_peers: dict[str, float] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._recheck_task: asyncio.Task[None] | None = None

    def connect(self, fleet: Fleet, targets: TargetRegistry) -> None:
        """Use the peers of this node, and exchange with them who is cut off."""
        self._fleet, self._targets = fleet, targets
        self._peer_paths.connect(fleet)
        self._recheck_task = start_task("target_paths", self._recheck)

    async def close(self) -> None:
        """Stop probing."""
        await stop_tasks(self._recheck_task, *self._checks.values())

    def is_connected(self, target: Target) -> bool:
        """Return whether the pool holds a usable connection to the target."""
        return self._http.has_idle_connection(target.address)

    def is_cut_off(self, service: str) -> bool:
        """Return whether this node is cut off from the targets of a service."""
        paths = self._services.get(service)
        return paths is not None and paths.is_cut_off

    def select_entries(self, records: Sequence[NodeRecord]) -> list[NodeRecord]:
        """Return the nodes that are not cut off from all services, or else all."""
        services = self._list_services()
        if not services:
            return list(records)
        find = self._peer_paths.find
        reaching = [r for r in records if not services <= find(r.vm).services]
        return reaching or list(records)

    def select_reaching(
        self, records: Sequence[NodeRecord], services: Set[str]
    ) -> list[NodeRecord]:
        """Return the nodes that are cut off from none of the services, or else all."""
        find = self._peer_paths.find
        reaching = [r for r in records if not services & find(r.vm).services]
        return reaching or list(records)

    async def verify_cut_off(self, target: Target) -> bool:
        """Probe the paths after a failed connection and return the verdict."""
        await self._check(target.service, f"{target.name} could not be reached")
        return self.is_cut_off(target.service)

    async def has_ended(self, target: Target) -> bool:
        """Return whether it is certain that the target's process has ended.

        Peers are asked if this node cannot tell.
        """
        verdict = await self.judge(target)
        if verdict is TargetVerdict.UNCERTAIN:
            peers = self._choose_peers(target)[:MAX_PEERS_PER_CALL]
            verdicts = await asyncio.gather(
                *(ask_for_verdict(self._peer_http, p.peers, target) for p in peers)
            )
            self._timeline.record(
                "peers_asked_for_target",
                target.name,
                f"this node cannot tell whether {target.address} listens",
                incarnation=target.incarnation,
                peers=",".join(peer.vm for peer in peers),
                verdicts=",".join(verdicts),
            )
            if TargetVerdict.ENDED in verdicts:
                verdict = TargetVerdict.ENDED
        return verdict is TargetVerdict.ENDED

    async def judge(self, target: Target) -> TargetVerdict:
        """Probe a target, and others if it refuses the connection."""
        if self.is_cut_off(target.service):
            return TargetVerdict.UNCERTAIN
        if await self._probe_target(target) is not _Probe.REFUSED:
            return TargetVerdict.NOT_ENDED
        reason = f"{target.name} refuses connections"
        await self._check(target.service, reason, is_forced=True)
        if self.is_cut_off(target.service):
            return TargetVerdict.UNCERTAIN
        return TargetVerdict.ENDED

    @contextlib.asynccontextmanager
    async def stream(
        self, target: Target, call: TargetCall
    ) -> AsyncIterator[TargetStream]:
        """Make a call to a target, directly or through a peer, and yield the response.

        Raise ConnectFailed if no byte was sent and ConnectionLost if the response is
        not complete.
        """
        deadline_s = _now_s() + call.timeout_s
        async with contextlib.AsyncExitStack() as stack:
            response: TargetStream | None = None
            if not self.is_cut_off(target.service) or self._has_open(target, call):
                try:
                    response = await stack.enter_async_context(
                        self.open_direct(target, call)
                    )
                except ConnectFailed:
                    if not await self.verify_cut_off(target):
                        raise
            if response is None:
                left = replace(call, timeout_s=max(0.0, deadline_s - _now_s()))
                response = await self._open_relayed(stack, target, left)
            yield response

    @contextlib.asynccontextmanager
    async def open_direct(
        self, target: Target, call: TargetCall
    ) -> AsyncIterator[TargetStream]:
        """Make a call on this node's own connection; raise as `stream` does."""
        try:
            async with self._http.stream(
                target.address,
                call.method,
                call.path,
                headers=call.headers,
                body=call.body,
                timeout_s=call.timeout_s,
                new_connection=call.new_connection,
                resend=call.resend,
                request_id=call.request_id,
            ) as response:
                yield response
        except ConnectionLost as error:
            # A silent connection may be the first sign of a cut.
            self._start_check(target.service, f"{target.name}: {error}")
            raise

    async def _open_relayed(
        self, stack: contextlib.AsyncExitStack, target: Target, call: TargetCall
    ) -> TargetStream:
        """Make a call through a peer.

        Raise ConnectFailed if no peer sent it. Orders are never relayed: targets know
        the node that orders by its connection.
        """
        if call.kind is CallKind.ORDER:
            raise ConnectFailed(f"cut off from {target.name}; orders are not relayed")
        deadline_s = _now_s() + call.timeout_s
        reason = "no peer reaches the service"
        for peer in self._choose_peers(target)[:MAX_PEERS_PER_CALL]:
            left = replace(call, timeout_s=deadline_s - _now_s())
            if left.timeout_s <= 0.0:
                break
            try:
                response = await stack.enter_async_context(
                    open_relayed(self._peer_http, peer.peers, target, left)
                )
            except PeerDeclined as error:
                reason = str(error)
                self._avoided_peers[peer.vm] = _now_s() + PEER_AVOID_S
                continue
            except TargetNotReached as error:
                reason = f"{peer.vm}: {error}"
                break
            except ConnectionLost as error:
                self._avoided_peers[peer.vm] = _now_s() + PEER_AVOID_S
                self._record_relay(target, call, peer.vm, str(error))
                raise
            self._services[target.service].is_confirmed = True
            self._record_relay(target, call, peer.vm, "answered")
            return response
        self._record_relay(target, call, "", reason)
        raise ConnectFailed(
            f"cut off from {target.name}, and relayed by none: {reason}"
        )

    def _has_open(self, target: Target, call: TargetCall) -> bool:
        """Return whether a connection lives on that may carry the call in a cut."""
        is_refused = self._services[target.service].is_refused
        return is_refused and not call.new_connection and self.is_connected(target)

    def _record_relay(
        self, target: Target, call: TargetCall, peer: str, outcome: str
    ) -> None:
        self._metrics.count("calls_relayed" if peer else "calls_not_relayed")
        paths = self._services[target.service]
        self._timeline.record(
            "target_call_relayed",
            call.request_id,
            outcome,
            call=call.kind.value,
            target=target.name,
            peer=peer,
            cut_off_ms=round((_now_s() - paths.changed_at_s) * 1000),
        )

    def _choose_peers(self, target: Target) -> list[NodeRecord]:
        """Return the peers that may reach a target, the best ones first.

        All nodes prefer the same peers for a target, which then reuse connections to
        it, and those in its data centre, as the call crosses data centres only once.
        Peers that are cut off but may have open connections come last.
        """
        if self._fleet is None:
            return []
        now_s = _now_s()
        service = target.service
        peers = {peer.vm: peer for peer in self._fleet.peers()}
        news = {vm: self._peer_paths.find(vm) for vm in peers}
        usable = [
            vm
            for vm in peers
            if service not in news[vm].services or service in news[vm].refused
        ]
        return sorted(
            (peers[vm] for vm in rank_owners(usable, target.name)),
            key=lambda peer: (
                service in news[peer.vm].services,
                self._avoided_peers.get(peer.vm, 0.0) > now_s,
                peer.data_centre != target.data_centre,
            ),
        )

    def _list_services(self) -> frozenset[str]:
        if self._targets is None:
            return frozenset()
        return frozenset(target.service for target in self._targets.list_all())

    async def _check(
        self, service: str, reason: str, *, is_forced: bool = False
    ) -> None:
        """Probe the paths to a service unless that was done a moment ago."""
        task = self._start_check(service, reason, is_forced=is_forced)
        if task is not None:
            await asyncio.shield(task)

    def _start_check(
        self, service: str, reason: str, *, is_forced: bool = False
    ) -> asyncio.Task[None] | None:
        """Return the task of a round of probes in progress or a new one, if due."""
        task = self._checks.get(service)
        if task is not None and not task.done():
            return task
        paths = self._services.setdefault(service, ServicePaths())
        is_recent = _now_s() - paths.checked_at_s < CHECK_INTERVAL_S
        if self._targets is None or paths.is_cut_off or (is_recent and not is_forced):
            return None
        work = self._probe(service, self._pick_targets(service), reason)
        task = asyncio.get_running_loop().create_task(work)
        self._checks[service] = task
        return task

    def _pick_targets(self, service: str) -> list[Target]:
        """Return random targets of a service to probe."""
        assert self._targets is not None
        listed = [s.target for s in self._targets.list_available(service)]
        self._targets.rng.shuffle(listed)
        return listed[:PROBED_TARGETS]

    def _pick_others(self, service: str) -> list[Target]:
        """Return random targets of the other services to probe."""
        assert self._targets is not None
        others = [t for t in self._targets.list_all() if t.service != service]
        self._targets.rng.shuffle(others)
        return others[:PROBED_OTHERS]

    async def _probe(self, service: str, targets: list[Target], reason: str) -> None:
        """Probe targets and apply the verdict; a first success is enough if sound."""
        paths = self._services.setdefault(service, ServicePaths())
        results = await self._probe_targets(targets, is_one_enough=not paths.is_cut_off)
        reached = results.count(_Probe.REACHED)
        refused = results.count(_Probe.REFUSED)
        reached_others = 0
        if targets and not reached:
            others = self._pick_others(service)
            other_results = await self._probe_targets(others, is_one_enough=True)
            reached_others = other_results.count(_Probe.REACHED)
        if paths.record_round(reached, len(targets), _now_s(), refused, reached_others):
            self._record_verdict(service, paths, reached, len(targets), reason)

    async def _probe_targets(
        self, targets: list[Target], *, is_one_enough: bool
    ) -> list[_Probe]:
        """Probe targets at the same time, if wanted only until one is reached."""
        results: list[_Probe] = []
        tasks = [
            asyncio.ensure_future(self._probe_target(target)) for target in targets
        ]
        try:
            for next_result in asyncio.as_completed(tasks):
                results.append(await next_result)
                if results[-1] is _Probe.REACHED and is_one_enough:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return results

    async def _probe_target(self, target: Target) -> _Probe:
        try:
            await self._http.probe(target.address, PROBE_TIMEOUT_S)
        except ConnectRefused:
            return _Probe.REFUSED
        except (ConnectFailed, TimeoutError):
            return _Probe.FAILED
        return _Probe.REACHED

    def _record_verdict(
        self, service: str, paths: ServicePaths, reached: int, probed: int, reason: str
    ) -> None:
        self._metrics.count("paths_lost" if paths.is_cut_off else "paths_regained")
        self._timeline.record(
            "dependency_lost" if paths.is_cut_off else "dependency_regained",
            f"paths to {service}",
            reason,
            reached=reached,
            probed=probed,
            refused=paths.is_refused,
            confirmed=paths.is_confirmed,
            peers_cut_off=self._peer_paths.count_cut_off(service),
        )
        if paths.is_cut_off and not paths.is_refused and self._targets is not None:
            # What is still open hangs.
            for state in self._targets.list_targets([service]):
                self._http.close_idle_connections(state.target.address)
        self._publish()

    def _publish(self) -> None:
        lost = {
            name: paths for name, paths in self._services.items() if paths.is_cut_off
        }
        refused = frozenset(name for name, paths in lost.items() if paths.is_refused)
        self._peer_paths.publish(CutOffNews(frozenset(lost), refused))

    def _check_after_news(self, service: str, vm: str) -> None:
        """Verify this node's own paths: what cut off a peer may have cut it off too."""
        if service not in self._list_services():
            return
        paths = self._services.setdefault(service, ServicePaths())
        task = self._checks.get(service)
        is_recent = _now_s() - paths.checked_at_s < HEARD_CHECK_INTERVAL_S
        if paths.is_cut_off or is_recent or (task is not None and not task.done()):
            return
        work = self._verify_paths(service, f"{vm} is cut off from the service")
        self._checks[service] = asyncio.get_running_loop().create_task(work)

    async def _verify_paths(self, service: str, reason: str) -> None:
        """Probe a single target, and others only if that fails."""
        targets = self._pick_targets(service)
        if targets and await self._probe_target(targets[0]) is _Probe.REACHED:
            self._services[service].checked_at_s = _now_s()
        else:
            await self._probe(service, targets, reason)

    async def _recheck(self) -> None:
        """Probe the services from which this node is cut off until it reaches them."""
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_S)
            lost = [s for s, paths in self._services.items() if paths.is_cut_off]
            for service in lost:
                targets = self._pick_targets(service)
                await self._probe(service, targets, "probes of the targets succeed")
            self._peer_paths.repeat()
            _drop_expired(self._avoided_peers, _now_s())


def _drop_expired(until_s: dict[str, float], now_s: float) -> None:
    for name in [name for name, end_s in until_s.items() if end_s <= now_s]:
        del until_s[name]


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["TargetPaths"]
