"""Straggler mitigation: moves slow runs and requests engines for late jobs.

Stragglers are the items that a job still waits for when its other items are done.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from tamarackshelf.jobs.continuation import DEFAULT_EVENT_S
from tamarackshelf.jobs.item_state import CurrentRun, ItemStage, StopCause
from tamarackshelf.jobs.owned_job import OwnedJob
from tamarackshelf.jobs.scorer import RouteTableGetter
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.engine_queue import EngineQueues, is_queued
from tamarackshelf.policy.extra_engine import choose_extra_engine
from tamarackshelf.policy.item_placement import (
    EngineCandidate,
    RunningItem,
    choose_moves,
    estimate_remaining,
    find_slow_engines,
    mark_full,
    place_item,
    reserve_capacity,
)

# An engine must be slower than a free one for this long before its runs are moved. It
# shares its machine with others, whose load changes about twice a second.
SLOW_FOR_S = 1.0
# Minimum time that a run stays on an engine, so that one move does not cause another.
MIN_STAY_S = 0.4
# A run without events for less than this does not count as silent. An engine with free
# capacity prefills a prompt and sends an event in a tenth of this time.
MIN_SILENCE_S = 0.5
# An engine that has sent no event to any run of this node for this long may be stuck:
# most queues are shorter.
SILENT_ENGINE_S = 1.5
# A run counts as silent only after this many times its engine's usual time of an event,
# so that an engine that is only slow does not count as silent.
SILENCE_FACTOR = 6.0
# Approximate number of tokens in one event, to estimate what a run still has to do.
TOKENS_PER_PIECE = 50
# A job must lack engines for this long before each request for one more.
ENGINE_REQUEST_DELAY_S = 0.5


class StragglerMitigation:
    """Checks the jobs of this node for late items at each tick of its runner."""

    def __init__(
        self,
        targets: TargetRegistry,
        get_route_table: RouteTableGetter,
        timeline: Timeline,
    ) -> None:
        # Called with a model and the name of the engine that should load its weights.
        self.on_engine_request: Callable[[str, str], None] = lambda model, engine: None
        self._targets = targets
        self._get_route_table = get_route_table
        self._timeline = timeline
        self._queues = EngineQueues()
        # Runs of this node without an event by engine, and engines that queue some.
        self.unstarted: Counter[str] = Counter()
        self._queued_at: set[str] = set()
        # Since when each engine of a service is slower than a free one, by model.
        self._slow_since_s: dict[tuple[str, str, str], float] = {}

    def record_start(self, run: CurrentRun, now_s: float) -> None:
        """Record that a run receives its first event."""
        event_s = self._targets.median_event_s(run.engine) or DEFAULT_EVENT_S
        self._queues.record_start(run.engine, now_s - run.started_s, event_s, now_s)

    def record_refusal(self, engine: str, now_s: float) -> None:
        """Record that a full engine refused a run, so that it gets none for a while."""
        self._queues.record_refusal(engine, self._targets.rng, now_s)

    def count_unstarted(self, jobs: Iterable[OwnedJob], now_s: float) -> None:
        """Count the runs without an event by engine, and find the queued ones."""
        jobs = list(jobs)
        self.unstarted = Counter(
            state.run.engine
            for job in jobs
            for state in job.items.values()
            if state.run is not None and state.run.last_event_at_s is None
        )
        self._queued_at = self.find_queues(jobs, now_s)

    def may_send(self, engine: str, now_s: float) -> bool:
        """Return whether an engine has none of this node's runs in its queue.

        While engines are contended, few runs without an event are allowed as well.
        """
        if engine in self._queued_at:
            return False
        return self._queues.may_send(engine, self.unstarted[engine], now_s)

    def is_contended(self, now_s: float) -> bool:
        """Return whether an engine has refused a run of this node lately."""
        return self._queues.is_contended(now_s)

    def find_queues(self, jobs: Iterable[OwnedJob], now_s: float) -> set[str]:
        """Return the engines that have a run of this node in their queue."""
        runs = [
            state.run
            for job in jobs
            for state in job.items.values()
            if state.run is not None and state.run.last_event_at_s is None
        ]
        return {run.engine for run in runs if self._is_queued(run, now_s)}

    def _is_queued(self, run: CurrentRun, now_s: float) -> bool:
        event_s = self._targets.median_event_s(run.engine) or DEFAULT_EVENT_S
        return is_queued(now_s - run.started_s, event_s)

    def check(
        self, jobs: Iterable[OwnedJob], due_s: Mapping[str, float], now_s: float
    ) -> None:
        """Stop runs on slow or silent engines and request engines for late jobs.

        `due_s` holds by job id when the results are due; these times and `now_s` are on
        the event loop's clock. A stopped run's item is placed on another engine.
        """
        open_jobs = [job for job in jobs if job.is_open]
        queues = self.find_queues(open_jobs, now_s)
        self._move_slow_runs(open_jobs, queues, now_s)
        for job in open_jobs:
            self._move_silent_runs(job, queues, now_s)
        for job in open_jobs:
            self._request_engine(job, due_s[job.job_id] - now_s, now_s)

    def _move_slow_runs(
        self, jobs: list[OwnedJob], queues: set[str], now_s: float
    ) -> None:
        """Stop runs on slow engines when a much faster engine has free capacity."""
        running: dict[tuple[str, str], list[RunningItem]] = {}
        by_id = {job.job_id: job for job in jobs}
        for job in jobs:
            for state in job.items.values():
                run = state.run
                if run is None or now_s - run.started_s < MIN_STAY_S:
                    continue
                done = len(state.pieces) * TOKENS_PER_PIECE
                item = RunningItem(
                    job_id=job.job_id,
                    item_id=state.item.item_id,
                    engine=run.engine,
                    min_version=job.job.min_version,
                    remaining_tokens=estimate_remaining(
                        state.item.expected_tokens, done
                    ),
                    software=state.software,
                )
                running.setdefault((run.service, job.job.model), []).append(item)
        for key, items in running.items():
            engines = [
                mark_full(engine) if engine.name in queues else engine
                for engine in self._targets.list_engine_candidates(*key)
            ]
            slow = self._find_lasting_slow(*key, engines, now_s)
            event_s = self._targets.fastest_event_s(key[0]) or DEFAULT_EVENT_S
            lasting = [item for item in items if item.engine in slow]
            for item in choose_moves(lasting, engines, event_s / TOKENS_PER_PIECE):
                job = by_id[item.job_id]
                self._timeline.record(
                    "item_moved", item.item_id, "the engine is slow", target=item.engine
                )
                job.stop_run(item.item_id, StopCause.SLOW)

    def _find_lasting_slow(
        self, service: str, model: str, engines: list[EngineCandidate], now_s: float
    ) -> set[str]:
        """Return the engines that have been slower than a free one for SLOW_FOR_S."""
        slow = find_slow_engines(engines)
        before = self._slow_since_s
        self._slow_since_s = {
            key: since_s
            for key, since_s in before.items()
            if key[:2] != (service, model) or key[2] in slow
        }
        for name in slow:
            self._slow_since_s.setdefault((service, model, name), now_s)
        return {
            name
            for name in slow
            if now_s - self._slow_since_s[service, model, name] >= SLOW_FOR_S
        }

    def _move_silent_runs(self, job: OwnedJob, queues: set[str], now_s: float) -> None:
        """Stop runs that receive no events when another engine has free capacity."""
        silent = [
            (state, state.run)
            for state in job.items.values()
            if state.run is not None and self._is_silent(state.run, now_s)
        ]
        for _, run in silent:
            self._record_silence(run)
        engines: list[EngineCandidate] = []
        for state, run in silent:
            engines = engines or [
                engine
                for engine in self._targets.list_engine_candidates(
                    run.service, job.job.model
                )
                if engine.limit_per_s is None and engine.name not in queues
            ]
            usable = engines
            if run.last_event_at_s is None:
                usable = self._find_better_than_queue(run, engines, now_s)
            engine_name = place_item(
                usable,
                job.job.min_version,
                (run.engine,),
                state.software,
                self._targets.rng,
            )
            if engine_name is None:
                continue
            engines = [reserve_capacity(engine, engine_name) for engine in engines]
            reason, cause = "the run receives no events", StopCause.SILENT
            if run.last_event_at_s is None:
                reason = "the run waits for capacity of the engine"
                cause = StopCause.QUEUED
            self._timeline.record(
                "item_moved", state.item.item_id, reason, target=run.engine
            )
            job.stop_run(state.item.item_id, cause)

    def _find_better_than_queue(
        self, run: CurrentRun, engines: list[EngineCandidate], now_s: float
    ) -> list[EngineCandidate]:
        """Return the engines where a run without any event would surely begin sooner.

        Its place in a queue is worth more than a guess that another engine is free, so
        a run of this node must have begun there at once. If the run's engine has sent
        this node nothing for SILENT_ENGINE_S, it may be stuck, and much free capacity
        elsewhere is enough while no engine refuses runs.
        """
        state = self._targets.get(run.engine)
        heard_at_s = run.started_s
        if state is not None:
            heard_at_s = max(heard_at_s, state.measured_at_s)
        is_suspect = now_s - heard_at_s >= SILENT_ENGINE_S
        may_guess = is_suspect and not self.is_contended(now_s)
        return [
            engine
            for engine in engines
            if self._queues.has_started_promptly(engine.name, now_s)
            or (may_guess and engine.available * 2 >= engine.concurrency)
        ]

    def _is_silent(self, run: CurrentRun, now_s: float) -> bool:
        usual_s = self._targets.median_event_s(run.engine) or DEFAULT_EVENT_S
        return run.compute_silence_s(now_s) >= max(
            MIN_SILENCE_S, SILENCE_FACTOR * usual_s
        )

    def _record_silence(self, run: CurrentRun) -> None:
        """Record that a silent run's engine is full, and possibly faulty.

        A fault is recorded if the run has received events before or the engine is on
        probation.
        """
        self._targets.record_queue(run.engine)
        if run.last_event_at_s is not None or self._targets.is_on_probation(run.engine):
            self._targets.record_fault(run.engine, "its runs receive no events")

    def _request_engine(self, job: OwnedJob, left_s: float, now_s: float) -> None:
        """Request that one more engine loads the job's weights if it will be late.

        `left_s` is the time until the results are due.
        """
        engine = self._choose_engine_to_load(job, left_s)
        if engine is None:
            job.shortage_since_s = None
            return
        if job.shortage_since_s is None:
            job.shortage_since_s = now_s
        if now_s - job.shortage_since_s < ENGINE_REQUEST_DELAY_S:
            return
        job.shortage_since_s = now_s
        self._timeline.record(
            "engine_wished",
            job.job_id,
            "the engines of the job's model will not finish it in time",
            target=engine,
            model=job.job.model,
        )
        self.on_engine_request(job.job.model, engine)

    def _choose_engine_to_load(self, job: OwnedJob, left_s: float) -> str | None:
        open_items = [
            state
            for state in job.items.values()
            if state.stage in (ItemStage.WAITING, ItemStage.RUNNING)
            and not state.is_text_complete
        ]
        route_table = self._get_route_table()
        route = (
            None
            if route_table is None
            else route_table.find(job.job.host, job.job.path)
        )
        if not open_items or route is None:
            return None
        service = route.shares[0].service
        remaining = [
            max(1.0, state.item.expected_tokens / TOKENS_PER_PIECE - len(state.pieces))
            for state in open_items
        ]
        return choose_extra_engine(
            remaining,
            self._targets.list_engine_candidates(service, job.job.model),
            job.job.min_version,
            self._targets.fastest_event_s(service) or DEFAULT_EVENT_S,
            left_s,
        )


__all__ = ["StragglerMitigation"]
