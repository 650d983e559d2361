"""Fault scenarios, which run while customers and trainers send requests.

The docstring of a scenario is its description in the output of --scenario=list.
"""

from __future__ import annotations

import asyncio

from tamarackshelf.demo.customers import Customer
from tamarackshelf.demo.fleet import LEASE_TIMES
from tamarackshelf.demo.run import Scenario, ScenarioContext
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.standin import EngineStandin

POISON_PROMPT = "poisonous letter"


async def calm(context: ScenarioContext) -> None:
    """No faults."""
    del context


async def crash(context: ScenarioContext) -> None:
    """An engine and an entry VM crash; both are replaced."""
    engine = _pick_engine(context)
    await asyncio.sleep(context.duration_s * 0.2)
    await _crash_engine(context, engine)
    await asyncio.sleep(context.duration_s * 0.2)
    name = context.rng.choice(sorted(context.fleet.vms))
    context.log(f"entry VM {name} crashes")
    await context.fleet.crash_vm(name)
    await asyncio.sleep(context.duration_s * 0.1)
    await context.fleet.replace_vm(name)
    await _restart_engine(context, engine)


async def runner_crash(context: ScenarioContext) -> None:
    """Two runners crash while they process steps."""
    for _ in range(2):
        await asyncio.sleep(context.duration_s * 0.25)
        live = [vm.name for vm in context.fleet.list_live_vms()]
        name = context.rng.choice(sorted(live))
        context.log(f"the runner of {name} crashes")
        await context.fleet.crash_runner(name)


async def rolling_stop(context: ScenarioContext) -> None:
    """Every entry VM in turn is stopped gracefully and replaced."""
    names = sorted(context.fleet.vms)
    gap_s = context.duration_s / (2 * len(names))
    for name in names:
        context.log(f"planned stop of {name}")
        await context.fleet.stop_vm(name)
        await context.fleet.replace_vm(name)
        await asyncio.sleep(gap_s)
    context.check(
        context.observations.lost_connections == 0,
        "a planned stop interrupts no request",
    )
    refused = context.observations.errors.get("draining", 0)
    context.check(
        refused == 0, "a planned stop refuses no request that another VM can run"
    )


async def store_outage(context: ScenarioContext) -> None:
    """The table service is down, then slow, then loses responses."""
    faults = context.fleet.standins.table.faults
    await asyncio.sleep(context.duration_s * 0.2)
    context.log("the table service is down")
    faults.down = True
    await asyncio.sleep(context.duration_s * 0.3)
    faults.down = False
    faults.delay_s = 0.3
    context.log("the table service is slow")
    await asyncio.sleep(context.duration_s * 0.2)
    faults.delay_s = 0.0
    faults.lose_answers = 20
    context.log("the table service loses responses")


async def poison(context: ScenarioContext) -> None:
    """One request crashes every engine that runs it and is sent several times."""
    engines = context.fleet.standins.find_engines(
        context.fleet.deployment.engine_service
    )
    for engine in engines:
        engine.faults.poison = (POISON_PROMPT,)
    await asyncio.sleep(context.duration_s * 0.2)
    callers = [
        Customer(context.fleet, context.observations, context.rng, think_s=1.0)
        for _ in range(3)
    ]
    model = context.fleet.deployment.models[0]
    body = {"model": model, "prompt": POISON_PROMPT, "seed": 1, "max_tokens": 64}
    kinds = [await caller.send_unrecorded(body, 5.0) for caller in callers]
    crashed = sum(engine.crashed.is_set() for engine in engines)
    context.log(f"poison request: {crashed} engines crashed, its callers got {kinds}")
    for engine in engines:
        if engine.crashed.is_set():
            await _restart_engine(context, engine)
    context.check(
        crashed <= 2, f"a poison request crashes at most two targets, not {crashed}"
    )
    all_quarantined = set(kinds) == {"quarantined"}
    context.check(
        all_quarantined,
        f"callers of a poison request get the error quarantined, not {kinds}",
    )


async def leaving(context: ScenarioContext) -> None:
    """An engine starts to leave long before the VM list shows it."""
    engine = _pick_engine(context)
    context.fleet.standins.platform.faults.lag_s = 10.0
    await asyncio.sleep(context.duration_s * 0.3)
    context.log(f"{engine.target.name} starts to leave")
    engine.faults.leaving = True
    await asyncio.sleep(3.0)
    before = engine.requests_seen
    await asyncio.sleep(context.duration_s * 0.3)
    late = engine.requests_seen - before
    context.log(
        f"{engine.target.name} got {late} requests after it had been leaving for 3 s"
    )
    context.check(late == 0, "a target that has been leaving for 3 s gets no requests")


async def paused_holder(context: ScenarioContext) -> None:
    """The controller that orders weight swaps pauses until its lease has expired."""
    await asyncio.sleep(context.duration_s * 0.2)
    shard = f"{context.fleet.deployment.engine_service}#0"
    live = [vm.name for vm in context.fleet.list_live_vms()]
    holder = find_owner(live, shard)
    assert holder is not None
    context.log(f"{holder} pauses while it holds the lease of {shard}")
    await context.fleet.vms[holder].controller.pause()
    await asyncio.sleep(max(2 * LEASE_TIMES.lease_s, context.duration_s * 0.3))
    context.log(f"{holder} resumes and has not noticed that its lease expired")
    await context.fleet.vms[holder].controller.resume()


async def half_swap(context: ScenarioContext) -> None:
    """Weight swaps fail halfway on two engines, and a third ignores orders."""
    service = context.fleet.deployment.engine_service
    engines = context.fleet.standins.find_engines(service)
    await asyncio.sleep(context.duration_s * 0.2)
    for engine in engines[:2]:
        engine.faults.swap_fails = 2
    engines[2].faults.swap_ignored = 2
    context.log("swaps fail halfway on two engines; a third ignores two orders")


async def weight_roll(context: ScenarioContext) -> None:
    """No faults; trainers publish weights, and the engines load them as usual."""
    del context


async def drill(context: ScenarioContext) -> None:
    """Twice, during weight updates, an engine, a VM and the store fail; a VM stops."""
    for _ in range(2):
        await asyncio.gather(
            _drill_once(context), asyncio.sleep(context.duration_s * 0.5)
        )


async def _drill_once(context: ScenarioContext) -> None:
    phase_s = context.duration_s * 0.05
    faults = context.fleet.standins.table.faults
    engine = _pick_engine(context)
    await asyncio.sleep(phase_s)
    context.log("drill: the table service is down")
    faults.down = True
    await _crash_engine(context, engine)
    live = sorted(vm.name for vm in context.fleet.list_live_vms())
    stopped, killed = context.rng.sample(live, 2)
    context.log(f"drill: planned stop of {stopped}, crash of {killed}")
    await context.fleet.crash_vm(killed)
    stop = asyncio.ensure_future(context.fleet.stop_vm(stopped))
    await asyncio.sleep(2 * phase_s)
    faults.down = False
    faults.lose_answers = 5
    context.log("drill: the table service is up again and loses responses")
    await stop
    await context.fleet.replace_vm(stopped)
    await context.fleet.replace_vm(killed)
    await _restart_engine(context, engine)


def _pick_engine(context: ScenarioContext) -> EngineStandin:
    service = context.fleet.deployment.engine_service
    return context.rng.choice(context.fleet.standins.find_engines(service))


async def _crash_engine(context: ScenarioContext, engine: EngineStandin) -> None:
    context.log(f"{engine.target.name} crashes")
    await engine.crash()


async def _restart_engine(context: ScenarioContext, engine: EngineStandin) -> None:
    await context.fleet.standins.restart_target(engine.target.name)
    context.log(f"{engine.target.name} has restarted")


SCENARIOS: dict[str, Scenario] = {
    "calm": calm,
    "crash": crash,
    "drill": drill,
    "half-swap": half_swap,
    "leaving": leaving,
    "paused-holder": paused_holder,
    "poison": poison,
    "rolling-stop": rolling_stop,
    "runner-crash": runner_crash,
    "store-outage": store_outage,
    "weight-roll": weight_roll,
}

__all__ = ["SCENARIOS"]
