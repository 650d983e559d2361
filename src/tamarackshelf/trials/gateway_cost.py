"""Measurement of the gateway's overhead over direct calls, on loopback sockets."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec

from tamarackshelf.contracts import GenerateRequest
from tamarackshelf.contracts.engine import generate
from tamarackshelf.demo.checkers import find_quantile
from tamarackshelf.demo.deployments import KALESA, Deployment
from tamarackshelf.demo.fleet import DemoFleet
from tamarackshelf.net import HttpClient
from tamarackshelf.standin import EngineSpeed
from tamarackshelf.world import Address, NetworkDelays

REQUESTS = 200
# Approximate lengths of the answers in tokens. The requests set max_tokens to 12 times
# these values, of which the engine stand-in produces 1/16 to 1/8.
TOKEN_SIZES = (64, 512, 2048)
FAST_ENGINE = EngineSpeed(chunk_s=0.0, prefill_s=0.0, queue_limit=10_000)

# Tuples of name, size, value and unit.
Measurements = list[tuple[str, str, float, str]]
Call = Callable[[int], Awaitable[None]]


async def measure_gateway() -> Measurements:
    """Measure latency and CPU time of calls, direct and through a gateway."""
    deployment = _reduce_to_one_engine(KALESA)
    fleet = DemoFleet(deployment, seed=1, straggler_share=0.0)
    await fleet.start()
    engines = fleet.standins.find_engines(deployment.engine_service)
    for engine in engines:
        engine.set_speed(FAST_ENGINE, concurrency=10_000)
    gateway = next(iter(fleet.vms.values())).gateway.address
    http = HttpClient(headers={"authorization": f"Bearer {deployment.token}"})
    measurements: Measurements = []
    for tokens in TOKEN_SIZES:
        direct = _call_engine(http, engines[0].target.address, deployment, tokens)
        proxied = _call_gateway(http, gateway, deployment, tokens)
        measurements += await _compare(direct, proxied, tokens)
    await http.close()
    await fleet.close()
    return measurements


async def _compare(direct: Call, proxied: Call, tokens: int) -> Measurements:
    await _run(direct, 20)
    await _run(proxied, 20)
    direct_ms, direct_cpu_s = await _run(direct, REQUESTS)
    proxied_ms, proxied_cpu_s = await _run(proxied, REQUESTS)
    size = str(tokens)
    return [
        ("direct_p50", size, direct_ms, "ms"),
        ("through_p50", size, proxied_ms, "ms"),
        ("gateway_adds_p50", size, proxied_ms - direct_ms, "ms"),
        ("gateway_ratio_p50", size, proxied_ms / direct_ms, "ratio"),
        ("gateway_cpu", size, proxied_cpu_s - direct_cpu_s, "s_per_request"),
    ]


async def _run(call: Call, count: int) -> tuple[float, float]:
    """Return the median latency in milliseconds and the CPU seconds per call."""
    latencies_s = []
    started_cpu_s = time.process_time()
    for i in range(count):
        started_s = time.perf_counter()
        await call(i)
        latencies_s.append(time.perf_counter() - started_s)
    cpu_s = (time.process_time() - started_cpu_s) / count
    return find_quantile(sorted(latencies_s), 0.5) * 1000, cpu_s


def _call_engine(
    http: HttpClient, address: Address, deployment: Deployment, tokens: int
) -> Call:
    async def call(number: int) -> None:
        request = GenerateRequest(
            f"direct{number}", deployment.models[0], "p", number, tokens * 12
        )
        async for _ in generate(http, address, request, 30.0):
            pass

    return call


def _call_gateway(
    http: HttpClient, address: Address, deployment: Deployment, tokens: int
) -> Call:
    path = f"/v1/services/{deployment.engine_service}/completions"

    async def call(number: int) -> None:
        body = {
            "model": deployment.models[0],
            "prompt": "p",
            "seed": number,
            "max_tokens": tokens * 12,
            "stream": True,
        }
        data = msgspec.json.encode(body)
        async with http.stream(address, "POST", path, body=data) as answer:
            async for _ in answer.chunks():
                pass

    return call


def _reduce_to_one_engine(deployment: Deployment) -> Deployment:
    """Return a deployment with one entry VM, one engine and no network delays."""
    return replace(
        deployment,
        data_centres=deployment.data_centres[:1],
        network_delays=NetworkDelays(0.0, 0.0),
        engines=1,
        plain_targets=1,
        entry_vms=1,
    )


__all__ = ["measure_gateway"]
