"""Command `python -m tests.soak.run`, which runs the soak for a range of seeds."""

from __future__ import annotations

import asyncio
import tempfile
import time
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import fire

from tests.soak.checkers import find_violations
from tests.soak.deployment import WORKER_RESTART_S, Deployment
from tests.soak.faults import (
    inject_faults,
    plan_cuts,
    plan_departures,
    plan_faults,
    plan_limits,
    plan_odd_rows,
    plan_stops,
    plan_upgrades,
)
from tests.soak.workers import PLAIN_RESPONSE_S

# Loopback blocks 127.20 to 127.199; parallel runs must not share one.
FIRST_LOOPBACK_BLOCK, LOOPBACK_BLOCKS = 20, 180
WARM_UP_S = 1.5
# Interruptions of streams in a run with several versions of the workers' software.
UPGRADES = 16


@dataclass(frozen=True, slots=True)
class SoakSize:
    """Numbers of nodes, workers, callers and faults of a run, and its fault window.

    `limits` is the number of times that workers name a rate limit, `crashing` the
    number of clients whose request crashes the workers, `software` the number of
    versions of the workers' software. `cuts` is the number of times that nodes are cut
    off from all workers, `departures` the number of workers that say only in their
    responses that they leave. A worker that a request crashed is back after
    `worker_restart_s`. `stops` is the number of planned stops of nodes, and
    `plain_response_s` the time that the requests of plain clients take. `odd_rows` is
    the number of times that another writer leaves odd rows in the store.
    """

    nodes: int = 4
    engines: int = 3
    clients: int = 6
    streams: int = 2
    trainers: int = 2
    faults: int = 8
    window_s: float = 14.0
    limits: int = 0
    crashing: int = 0
    software: int = 1
    cuts: int = 0
    departures: int = 0
    worker_restart_s: float = WORKER_RESTART_S
    stops: int = 0
    plain_response_s: float = PLAIN_RESPONSE_S
    odd_rows: int = 0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Violations and counts of a run."""

    seed: int
    violations: list[str]
    faults: list[str]
    jobs_accepted: int
    jobs_fully_read: int
    calls: int
    calls_served: int
    streams: int
    streams_ended: int
    took_s: float

    def format(self) -> str:
        """Return the result as one line."""
        return (
            f"seed={self.seed} violations={len(self.violations)} "
            f"jobs={self.jobs_accepted} whole={self.jobs_fully_read} "
            f"calls={self.calls} served={self.calls_served} "
            f"streams={self.streams} ended={self.streams_ended} "
            f"took_s={self.took_s:.0f} faults={','.join(self.faults)}"
        )


async def run_soak(seed: int, folder: Path, size: SoakSize) -> SoakResult:
    """Run one seed and check its history; write the nodes' logs to the folder."""
    started_s = time.monotonic()
    block = FIRST_LOOPBACK_BLOCK + seed % LOOPBACK_BLOCKS
    deployment = Deployment(
        seed, folder, block, size.nodes, size.engines, size.software
    )
    faults = [
        *plan_faults(seed, size.window_s, size.faults),
        *plan_limits(seed, size.window_s, size.limits),
        *plan_cuts(seed, size.window_s, size.cuts),
        *plan_departures(seed, size.window_s, size.departures),
        *plan_stops(seed, size.window_s, size.stops),
        *plan_odd_rows(seed, size.window_s, size.odd_rows),
        *plan_upgrades(seed, size.window_s, UPGRADES if size.software > 1 else 0),
    ]
    failure = ""
    try:
        deployment.plain_response_s = size.plain_response_s
        deployment.worker_restart_s = size.worker_restart_s
        await deployment.start()
        deployment.start_callers(
            size.clients, size.streams, size.trainers, size.crashing
        )
        await asyncio.sleep(WARM_UP_S)
        await inject_faults(deployment, faults)
        await deployment.finish()
    except Exception:
        # The other seeds still run; the traceback becomes a violation of this seed.
        failure = f"soak: {traceback.format_exc()}"
    finally:
        await deployment.close()
    history = deployment.history
    accepted = [job for job in history.jobs.values() if 202 in job.statuses]
    return SoakResult(
        seed=seed,
        violations=[*find_violations(history), *([failure] if failure else [])],
        faults=[fault.kind for fault in faults],
        jobs_accepted=len(accepted),
        jobs_fully_read=sum(job.is_fully_read for job in accepted),
        calls=len(history.calls),
        calls_served=sum(200 <= call.status < 300 for call in history.calls),
        streams=len(history.streams),
        streams_ended=sum(s.is_ended and s.status == 200 for s in history.streams),
        took_s=time.monotonic() - started_s,
    )


def run_seed(seed: int, folder: str, size: SoakSize) -> SoakResult:
    """Run one seed in a new event loop, with a log folder of its own."""
    seed_folder = Path(folder) / f"seed-{seed}"
    seed_folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(run_soak(seed, seed_folder, size))


def main(
    first: int = 1,
    seeds: int = 50,
    jobs: int = 3,
    folder: str = "",
    nodes: int = 4,
    engines: int = 3,
    faults: int = 8,
    window_s: float = 14.0,
    limits: int = 0,
    crashing: int = 0,
    software: int = 1,
    clients: int = 6,
    cuts: int = 0,
    departures: int = 0,
    worker_restart_s: float = WORKER_RESTART_S,
    stops: int = 0,
    plain_response_s: float = PLAIN_RESPONSE_S,
    odd_rows: int = 0,
) -> None:
    """Run seeds in parallel and print a line for each; exit with 1 on a violation."""
    folder = folder or tempfile.mkdtemp(prefix="soak-")
    size = SoakSize(
        nodes=nodes,
        engines=engines,
        faults=faults,
        window_s=window_s,
        limits=limits,
        crashing=crashing,
        software=software,
        clients=clients,
        cuts=cuts,
        departures=departures,
        worker_restart_s=worker_restart_s,
        stops=stops,
        plain_response_s=plain_response_s,
        odd_rows=odd_rows,
    )
    violation_counts: Counter[str] = Counter()
    with ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(run_seed, seed, folder, size)
            for seed in range(first, first + seeds)
        ]
        for future in futures:
            result = future.result()
            print(result.format(), flush=True)
            for violation in result.violations:
                violation_counts[violation.partition(":")[0]] += 1
                print(f"  {violation}", flush=True)
    print(f"seeds={seeds} broken={dict(violation_counts)} logs={folder}")
    raise SystemExit(1 if violation_counts else 0)


if __name__ == "__main__":
    fire.Fire(main)
