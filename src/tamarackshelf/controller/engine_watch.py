"""Watch of engine states, which takes engines out of service and back in."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tamarackshelf.contracts import EngineState
from tamarackshelf.contracts.engine import read_state
from tamarackshelf.controller.fleet_state import FleetState
from tamarackshelf.controller.fleet_view import SERVICE_PREFIX
from tamarackshelf.controller.shards import Shard
from tamarackshelf.net import HttpClient
from tamarackshelf.observe import Timeline
from tamarackshelf.peers.view_watch import CALL_ERRORS
from tamarackshelf.policy.lease import HeldLease
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.policy.weight_update import OrderBackoff
from tamarackshelf.world import Target

HEALTHY_READS_TO_RESTORE = 2
UP_TO_DATE_READ_INTERVAL_S = 5.0
# The version of a service rumour is the lease's fencing number, shifted left by this
# many bits, plus a counter: rumours of a later lease holder replace earlier ones.
FENCING_SHIFT_BITS = 20


class EngineWatch:
    """Last known states of the engines in the shards that this node leases."""

    def __init__(
        self,
        fleet: FleetState,
        http: HttpClient,
        timeline: Timeline,
        backoff: OrderBackoff,
        publish: Callable[[Rumour], None],
    ) -> None:
        self._fleet = fleet
        self._http = http
        self._timeline = timeline
        self._backoff = backoff
        self._publish = publish
        self._states: dict[str, EngineState] = {}
        self._next_read_at_s: dict[str, float] = {}
        self._healthy_reads: dict[str, int] = {}
        self._sequence = 0

    async def read_states(
        self, shard: Shard, engines: list[Target], lease: HeldLease
    ) -> list[tuple[Target, EngineState]]:
        """Return the engines whose state is known; first read the states that are due.

        A state is due every UP_TO_DATE_READ_INTERVAL_S, but on each call if the engine
        is swapping weights, reports a failed swap, is out of service or lacks the
        published version. A new state may take the engine out of service or put it
        back. An engine that does not answer loses its known state.
        """
        now_s = asyncio.get_running_loop().time()
        due = [
            engine
            for engine in engines
            if now_s >= self._next_read_at_s.get(engine.name, 0.0)
            or not self._is_up_to_date(shard, engine)
        ]
        states = await asyncio.gather(*(self._read(engine) for engine in due))
        for engine, state in zip(due, states, strict=True):
            self._next_read_at_s[engine.name] = now_s + UP_TO_DATE_READ_INTERVAL_S
            if state is None:
                self._states.pop(engine.name, None)
            else:
                self._states[engine.name] = state
                self._update_service_state(engine, state, lease)
        known = [(engine, self._states.get(engine.name)) for engine in engines]
        return [(engine, state) for engine, state in known if state is not None]

    def list_models(self, shard: Shard) -> list[str]:
        """Return the models that the campaigns use on the engines of the shard."""
        campaigns = self._fleet.configuration.campaigns.values()
        return sorted({c.model for c in campaigns if c.service == shard.service})

    def set_service_state(
        self, engine: str, value: str, fencing_number: int, reason: str
    ) -> None:
        """Announce by gossip that an engine is `out` of service or back `in`."""
        self._sequence += 1
        version = (fencing_number << FENCING_SHIFT_BITS) + self._sequence
        self._timeline.record(f"target_service_{value}", engine, reason)
        self._publish(Rumour(SERVICE_PREFIX + engine, version, value))

    def _is_up_to_date(self, shard: Shard, engine: Target) -> bool:
        state = self._states.get(engine.name)
        if state is None:
            # An engine that does not answer is read again only when it is due.
            return engine.name in self._next_read_at_s
        published = self._fleet.view.published
        is_behind = any(
            state.versions.get(model, -1) < published.get(model, 0)
            for model in self.list_models(shard)
        )
        is_out = self._is_out_of_service(engine)
        return not (state.failed_swap or state.swapping or is_out or is_behind)

    async def _read(self, engine: Target) -> EngineState | None:
        try:
            return await read_state(self._http, engine.address)
        except CALL_ERRORS:
            return None

    def _update_service_state(
        self, engine: Target, state: EngineState, lease: HeldLease
    ) -> None:
        is_out = self._is_out_of_service(engine)
        fencing_number = lease.fencing_number
        if state.failed_swap:
            self._healthy_reads[engine.name] = 0
            if not is_out:
                reason = "its weight swap failed and it may serve a mix of versions"
                self.set_service_state(engine.name, "out", fencing_number, reason)
            return
        if not is_out:
            return
        reads = self._healthy_reads.get(engine.name, 0) + 1
        self._healthy_reads[engine.name] = reads
        if reads >= HEALTHY_READS_TO_RESTORE and self._has_no_failed_orders(
            engine, state
        ):
            reason = f"its last {reads} states showed no failed swap"
            self.set_service_state(engine.name, "in", fencing_number, reason)

    def _has_no_failed_orders(self, engine: Target, state: EngineState) -> bool:
        failures = self._backoff.failures
        return not any(failures.get(f"{engine.name}/{m}", 0) for m in state.versions)

    def _is_out_of_service(self, engine: Target) -> bool:
        rumour = self._fleet.find_rumour(SERVICE_PREFIX + engine.name)
        return rumour is not None and rumour.value == "out"


__all__ = ["EngineWatch"]
