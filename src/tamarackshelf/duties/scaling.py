"""Decisions about the workers of services, from what this node observes."""

from __future__ import annotations

import asyncio
import math
import statistics
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from tamarackshelf.jobs.continuation import DEFAULT_EVENT_S
from tamarackshelf.jobs.stragglers import TOKENS_PER_PIECE
from tamarackshelf.node.targets import TargetRegistry, TargetState
from tamarackshelf.observe import Metrics
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.policy.scaling import (
    OrderOutcome,
    ScalingInputs,
    WorkerOrder,
    WorkerScaler,
    WorkerView,
)
from tamarackshelf.policy.slot_demand import (
    ARRIVAL_WINDOW_S,
    JobArrival,
    OfferedLoad,
)
from tamarackshelf.policy.worker_plan import WorkerPool
from tamarackshelf.store.job_store import StoredHead
from tamarackshelf.world.job import JobHead, JobState
from tamarackshelf.world.route import RoutingConfiguration, Service

# A worker that failed this often in a row, without a success, does not serve. A single
# fault may be the network's, and ends a fraction of a second later.
FAULTS_TO_REPLACE = 3
# Workers list themselves one after the other when a fleet starts. An order names a
# total, so one from a list that is still filling would end the workers that it lacks.
SETTLE_S = 6.0
# A service without a listed worker for this long has none.
EMPTY_SETTLE_S = 30.0
# A node cannot count what others lose. A service counts as losing this many requests a
# second if all its targets refused this node within the last moments, or if its engines
# are full and a job is late.
ASSUMED_LOSS_PER_S = 1.0


class LoadObserver:
    """Builds the inputs of a service's decision from the state of this node."""

    def __init__(
        self,
        targets: TargetRegistry,
        heads: Mapping[str, StoredHead],
        get_configuration: Callable[[], RoutingConfiguration | None],
        get_route_table: Callable[[], RouteTable | None],
        now_store_ms: Callable[[], int | None],
        settle_s: float = SETTLE_S,
        empty_settle_s: float = EMPTY_SETTLE_S,
    ) -> None:
        """Observe a node.

        The list of a service's workers counts as current `settle_s` after the first
        one was listed, or without any after `empty_settle_s`.
        """
        self._settle_s, self._empty_settle_s = settle_s, empty_settle_s
        self._targets = targets
        self._heads = heads
        self._get_configuration = get_configuration
        self._get_route_table = get_route_table
        self._now_store_ms = now_store_ms
        # By service: the time of the first look, and of the first listed worker.
        self._observed_since_s: dict[str, float] = {}
        self._listed_since_s: dict[str, float] = {}

    def read_inputs(self, name: str) -> ScalingInputs:
        """Return what this node sees of a service now."""
        configuration = self._get_configuration()
        service = None if configuration is None else configuration.services.get(name)
        if service is None:
            return ScalingInputs(None)
        states = self._targets.list_targets([name])
        is_current = (
            self._targets.is_list_current()
            and all(state.missing_since_s is None for state in states)
            and self._has_settled(name, bool(states))
        )
        return ScalingInputs(
            service.scaling,
            tuple(_to_view(state) for state in states),
            self._measure_load(service, states),
            0.0 if is_current else math.inf,
        )

    def _has_settled(self, name: str, is_listed: bool) -> bool:
        """Return whether the workers of a service have had time to list themselves."""
        now_s = _now_s()
        observed_s = self._observed_since_s.setdefault(name, now_s)
        if is_listed:
            self._listed_since_s.setdefault(name, now_s)
        listed_s = self._listed_since_s.get(name)
        if listed_s is None:
            return now_s - observed_s >= self._empty_settle_s
        return now_s - listed_s >= self._settle_s

    def _measure_load(
        self, service: Service, states: Sequence[TargetState]
    ) -> OfferedLoad:
        """Return the load; what engines run counts as items, other work as requests.

        A report does not tell items from requests. Engines take as many items as they
        have slots for, so that their number says nothing about the need.
        """
        now_s = _now_s()
        available = self._targets.list_available(service.name)
        candidates = self._targets.list_candidates(service.name, frozenset())
        in_flight = round(sum(c.own_in_flight + c.others_in_flight for c in candidates))
        if service.models:
            slots = sum(state.target.concurrency for state in available)
            is_losing = in_flight >= slots and self._has_late_job(service)
            return OfferedLoad(
                arrivals=tuple(self._list_arrivals(service, states)),
                running_items=in_flight,
                lost_per_s=ASSUMED_LOSS_PER_S if is_losing else 0.0,
            )
        is_full = bool(available) and all(s.avoid_until_s > now_s for s in available)
        return OfferedLoad(
            running_requests=in_flight,
            lost_per_s=ASSUMED_LOSS_PER_S if is_full else 0.0,
        )

    def _has_late_job(self, service: Service) -> bool:
        """Return whether a job accepted lately is open although its results are due."""
        return any(
            age_s > due_s and head.state is JobState.OPEN
            for head, age_s, due_s in self._list_recent(service)
        )

    def _list_recent(self, service: Service) -> Iterator[tuple[JobHead, float, float]]:
        """Yield the jobs accepted lately, with their age and the age when due."""
        now_ms = self._now_store_ms()
        route_table = self._get_route_table()
        if now_ms is None or route_table is None:
            return
        for stored in self._heads.values():
            head = stored.head
            age_s = max(0.0, (now_ms - head.accepted_store_ms) / 1000)
            if head.model not in service.models or age_s >= ARRIVAL_WINDOW_S:
                continue
            route = route_table.find(head.host, head.path)
            if route is not None and route.job_due_s > 0:
                yield head, age_s, route.job_due_s

    def _list_arrivals(
        self, service: Service, states: Iterable[TargetState]
    ) -> Iterator[JobArrival]:
        """Yield the jobs accepted lately with the estimated duration of their items."""
        measured = [state.median_duration() for state in states]
        known = [event_s for event_s in measured if event_s is not None]
        event_s = statistics.median(known) if known else DEFAULT_EVENT_S
        for head, age_s, due_s in self._list_recent(service):
            item_s = _estimate_item_s(head, event_s)
            yield JobArrival(age_s, head.total, item_s, due_s)


class ServiceDecider:
    """OrderDecider of one service that observes its load, and reports its decisions."""

    def __init__(self, service: str, observer: LoadObserver, metrics: Metrics) -> None:
        self._service = service
        self._observer = observer
        self._metrics = metrics
        self._scaler = WorkerScaler()
        self._reported: set[WorkerPool] = set()

    def decide(self, now_s: float) -> Sequence[WorkerOrder]:
        """Return the orders to send now, one after the other."""
        orders = self._scaler.decide(self._observer.read_inputs(self._service), now_s)
        self._report_wanted(self._scaler.wanted)
        return orders

    def record_outcome(
        self, order: WorkerOrder, outcome: OrderOutcome, now_s: float
    ) -> None:
        """Record the outcome of an order; one that was not sent counts as refused."""
        self._scaler.record_outcome(order, outcome, now_s)
        labels = self._label(order.pool)
        if outcome is OrderOutcome.ACCEPTED:
            self._metrics.set("workers_ordered", order.count, **labels)
        else:
            self._metrics.count("worker_orders_failed", 1, **labels)

    def close(self) -> None:
        """Set the numbers of wanted workers to 0, as this node decides no more."""
        self._report_wanted({})

    def _report_wanted(self, wanted: Mapping[WorkerPool, int]) -> None:
        for pool in self._reported | wanted.keys():
            self._metrics.set(
                "workers_wanted", wanted.get(pool, 0), **self._label(pool)
            )
        self._reported = set(wanted)

    def _label(self, pool: WorkerPool) -> dict[str, str]:
        kind = "preemptible" if pool.is_preemptible else "regular"
        return {"service": self._service, "data_centre": pool.data_centre, "kind": kind}


def _to_view(state: TargetState) -> WorkerView:
    health = state.health
    is_failing = (
        not health.is_healthy(_now_s())
        and health.consecutive_faults >= FAULTS_TO_REPLACE
    )
    return WorkerView(
        state.target.data_centre,
        state.record.is_preemptible,
        state.record.is_leaving,
        is_failing,
        state.target.concurrency,
    )


def _estimate_item_s(head: JobHead, event_s: float) -> float:
    """Return the mean time for which an item of a job occupies a slot."""
    tokens = head.expected_tokens / max(1, head.total)
    return event_s * max(1.0, tokens / TOKENS_PER_PIECE)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["LoadObserver", "ServiceDecider"]
