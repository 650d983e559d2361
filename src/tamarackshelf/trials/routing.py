"""Comparison of routers under the same load, with one slow engine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from tamarackshelf.demo.deployments import KALESA
from tamarackshelf.demo.run import (
    RunResult,
    RunSettings,
    ScenarioContext,
    run_deployment,
)
from tamarackshelf.policy.routing import (
    Router,
    build_round_robin,
    route,
    route_least_outstanding,
)

DURATION_S = 15.0
# Delay that the slow engine adds to each chunk of a stream.
SLOW_CHUNK_S = 0.2
CUSTOMERS = 16


@dataclass(frozen=True, slots=True)
class RoutingResult:
    """Latency, cache hits and trainer idle time under one router."""

    router: str
    latency_p50_ms: float
    latency_p99_ms: float
    prefix_hit_share: float
    idle_ratio: float
    samples: int

    def format(self) -> str:
        """Return the result as key=value pairs."""
        return (
            f"router={self.router} latency_p50_ms={self.latency_p50_ms:.0f} "
            f"latency_p99_ms={self.latency_p99_ms:.0f} "
            f"prefix_hit_share={self.prefix_hit_share:.2f} "
            f"trainer_idle_ratio={self.idle_ratio:.2f} samples={self.samples}"
        )


async def measure_routing(seed: int, log: Callable[[str], None]) -> None:
    """Run the KALESA deployment once with each router and log each result."""
    routers: dict[str, Router] = {
        "round_robin": build_round_robin(),
        "least_outstanding": route_least_outstanding,
        "layered": route,
    }
    for name, router in routers.items():
        log((await _measure(name, router, seed)).format())


async def _measure(name: str, router: Router, seed: int) -> RoutingResult:
    shares: list[float] = []

    async def slow_engine(context: ScenarioContext) -> None:
        engines = context.fleet.standins.find_engines(KALESA.engine_service)
        engines[0].faults.delay_s = SLOW_CHUNK_S
        await asyncio.sleep(context.duration_s)
        hits = sum(engine.prefix_hits for engine in engines)
        requests = sum(engine.requests_seen for engine in engines)
        shares.append(hits / max(1, requests))

    settings = RunSettings(seed, DURATION_S, customers=CUSTOMERS, router=router)
    result: RunResult = await run_deployment(
        KALESA, slow_engine, settings, lambda text: None
    )
    counts = result.counts
    return RoutingResult(
        router=name,
        latency_p50_ms=counts.latency_p50_ms,
        latency_p99_ms=counts.latency_p99_ms,
        prefix_hit_share=shares[0],
        idle_ratio=counts.trainer_idle_ratio,
        samples=counts.samples_delivered,
    )


__all__ = ["RoutingResult", "measure_routing"]
