"""Run of one deployment under a scenario, with the final counts."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from tamarackshelf.demo.checkers import Counts, count_all
from tamarackshelf.demo.customers import Customer
from tamarackshelf.demo.deployments import Deployment
from tamarackshelf.demo.fleet import DemoFleet
from tamarackshelf.demo.observations import Observations
from tamarackshelf.demo.trainer import Trainer
from tamarackshelf.observe import Event, merge_pages
from tamarackshelf.policy.routing import Router, route
from tamarackshelf.standin import ServiceStandin
from tamarackshelf.world import TargetKind

CUSTOMERS = 6
# Mean pause of a customer between two requests.
THINK_S = 0.15
STRAGGLER_SHARE = 0.02
FINISH_TIMEOUT_S = 60.0


@dataclass(slots=True)
class ScenarioContext:
    """The fleet and the observations that a scenario can access."""

    fleet: DemoFleet
    observations: Observations
    rng: Random
    duration_s: float
    log: Callable[[str], None]
    violations: list[str] = field(default_factory=list)

    def check(self, holds: bool, guarantee: str) -> None:
        """Record the violation of a guarantee if it does not hold."""
        if not holds:
            self.violations.append(guarantee)


Scenario = Callable[[ScenarioContext], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RunSettings:
    """Duration, load and options of a run."""

    seed: int
    duration_s: float
    customers: int = CUSTOMERS
    straggler_share: float = STRAGGLER_SHARE
    router: Router = route
    write_trace: Callable[[bytes], object] | None = None


@dataclass(frozen=True, slots=True)
class RunResult:
    """Counts and observations of a run, and the timeline events of its processes.

    `violations` names the guarantees that were violated.
    """

    counts: Counts
    observations: Observations
    events: tuple[Event, ...]
    violations: tuple[str, ...]


async def run_deployment(
    deployment: Deployment,
    scenario: Scenario,
    settings: RunSettings,
    log: Callable[[str], None],
) -> RunResult:
    """Run customers and trainers while the scenario injects its faults.

    When the scenario and `duration_s` are over, the clients have FINISH_TIMEOUT_S to
    finish their requests.
    """
    fleet = DemoFleet(
        deployment,
        settings.seed,
        settings.router,
        settings.straggler_share,
        settings.write_trace,
    )
    log(f"{deployment.name}: starting {deployment.entry_vms} entry VMs")
    await fleet.start()
    observations = Observations()
    rng = Random(f"{settings.seed}/{deployment.name}")
    context = ScenarioContext(fleet, observations, rng, settings.duration_s, log)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    customers = [
        Customer(fleet, observations, Random(rng.random()), THINK_S)
        for _ in range(settings.customers)
    ]
    trainers = [
        Trainer(fleet, trained_model, observations, Random(rng.random()))
        for trained_model in deployment.trained_models
    ]
    tasks = [loop.create_task(customer.run(stop)) for customer in customers]
    tasks += [loop.create_task(trainer.run(stop)) for trainer in trainers]
    log(f"{deployment.name}: customers and trainers have started")
    progress = loop.create_task(_log_progress(context))
    await asyncio.gather(scenario(context), asyncio.sleep(settings.duration_s))
    stop.set()
    _, pending = await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_S)
    progress.cancel()
    for task in pending:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=bool(pending))
    await fleet.close()
    counts = count_all(
        deployment.name,
        observations,
        collect_runs(fleet),
        deployment.staleness_bound_versions,
        settings.straggler_share,
    )
    pages = [timeline.page() for timeline in fleet.timelines]
    context.check(not pending, "all steps complete within the timeout")
    violations = (*counts.violations, *context.violations)
    return RunResult(counts, observations, tuple(merge_pages(pages)), violations)


def collect_runs(fleet: DemoFleet) -> Counter[str]:
    """Return how often each call ran, as counted by the plain services."""
    runs: Counter[str] = Counter()
    for standin in fleet.standins.targets.values():
        is_plain = standin.target.kind is TargetKind.PLAIN
        if isinstance(standin, ServiceStandin) and is_plain:
            runs.update(standin.runs)
    return runs


async def _log_progress(context: ScenarioContext) -> None:
    name = context.fleet.deployment.name
    while True:
        await asyncio.sleep(5.0)
        observations = context.observations
        context.log(
            f"{name}: {len(observations.completions)} completions, "
            f"{len(observations.calls)} calls, {len(observations.samples)} samples, "
            f"{len(observations.steps)} steps"
        )


__all__ = ["RunResult", "RunSettings", "Scenario", "ScenarioContext", "run_deployment"]
