"""What befalls a deployment while its customers and trainers work."""

from __future__ import annotations

import asyncio

from tamarackshelf.demo.customers import Customer
from tamarackshelf.demo.fleet import LEASE
from tamarackshelf.demo.run import Scenario, ScenarioContext
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.standin import EngineStandin

POISON = "poisonous letter"


async def calm(context: ScenarioContext) -> None:
    """Nothing goes wrong."""
    del context


async def crash(context: ScenarioContext) -> None:
    """An engine and an entry VM die; both are replaced."""
    engine = _pick_engine(context)
    await asyncio.sleep(context.duration_s * 0.2)
    await _crash_engine(context, engine)
    await asyncio.sleep(context.duration_s * 0.2)
    name = context.rng.choice(sorted(context.fleet.vms))
    context.log(f"crash of entry VM {name}")
    await context.fleet.crash_vm(name)
    await asyncio.sleep(context.duration_s * 0.1)
    await context.fleet.replace_vm(name)
    await _restart_engine(context, engine)


async def runner_crash(context: ScenarioContext) -> None:
    """Two runners die in the middle of steps."""
    for _ in range(2):
        await asyncio.sleep(context.duration_s * 0.25)
        live = [vm.name for vm in context.fleet.list_live_vms()]
        name = context.rng.choice(sorted(live))
        context.log(f"crash of the runner of {name}")
        await context.fleet.crash_runner(name)


async def rolling_stop(context: ScenarioContext) -> None:
    """Every entry VM is stopped as planned and replaced, one after the other."""
    names = sorted(context.fleet.vms)
    gap_s = context.duration_s / (2 * len(names))
    for name in names:
        context.log(f"planned stop of {name}")
        await context.fleet.stop_vm(name)
        await context.fleet.replace_vm(name)
        await asyncio.sleep(gap_s)
    context.check(
        context.observations.lost_connections == 0, "a planned stop cuts no request"
    )
    refused = context.observations.errors.get("draining", 0)
    context.check(refused == 0, "a planned stop refuses no request that could run")


async def store_outage(context: ScenarioContext) -> None:
    """The table service is down, then slow, then loses answers."""
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
    context.log("the table service loses answers")


async def poison(context: ScenarioContext) -> None:
    """One request crashes each engine that runs it; its caller insists."""
    engines = context.fleet.standins.find_engines(
        context.fleet.deployment.engine_service
    )
    for engine in engines:
        engine.faults.poison = (POISON,)
    await asyncio.sleep(context.duration_s * 0.2)
    callers = [
        Customer(context.fleet, context.observations, context.rng, think_s=1.0)
        for _ in range(3)
    ]
    model = context.fleet.deployment.models[0]
    body = {"model": model, "prompt": POISON, "seed": 1, "max_tokens": 64}
    kinds = [await caller.send_raw(body, 5.0) for caller in callers]
    crashed = sum(engine.crashed.is_set() for engine in engines)
    context.log(f"poison: {crashed} engines lost, its callers were told {kinds}")
    for engine in engines:
        if engine.crashed.is_set():
            await _restart_engine(context, engine)
    context.check(crashed <= 2, f"a poison request takes two targets, not {crashed}")
    told = set(kinds) == {"quarantined"}
    context.check(told, f"the caller of a poison request is told why, not {kinds}")


async def leaving(context: ScenarioContext) -> None:
    """An engine starts to leave long before the list says so."""
    engine = _pick_engine(context)
    context.fleet.standins.platform.faults.lag_s = 10.0
    await asyncio.sleep(context.duration_s * 0.3)
    context.log(f"{engine.target.name} leaves")
    engine.faults.leaving = True
    await asyncio.sleep(3.0)
    before = engine.requests_seen
    await asyncio.sleep(context.duration_s * 0.3)
    late = engine.requests_seen - before
    context.log(f"{late} requests reached it later than 3 s")
    context.check(late == 0, "a leaving target gets no work after 3 s")


async def paused_holder(context: ScenarioContext) -> None:
    """The controller that orders the engines pauses past its lease and wakes."""
    await asyncio.sleep(context.duration_s * 0.2)
    shard = f"{context.fleet.deployment.engine_service}#0"
    live = [vm.name for vm in context.fleet.list_live_vms()]
    holder = find_owner(live, shard)
    assert holder is not None
    context.log(f"{holder} pauses while it holds the lease of {shard}")
    await context.fleet.vms[holder].controller.pause()
    await asyncio.sleep(max(2 * LEASE.lease_s, context.duration_s * 0.3))
    context.log(f"{holder} wakes and still believes that it holds it")
    await context.fleet.vms[holder].controller.resume()


async def half_swap(context: ScenarioContext) -> None:
    """Weight swaps fail half way on two engines, one engine ignores orders."""
    service = context.fleet.deployment.engine_service
    engines = context.fleet.standins.find_engines(service)
    await asyncio.sleep(context.duration_s * 0.2)
    for engine in engines[:2]:
        engine.faults.swap_fails = 2
    engines[2].faults.swap_ignored = 2
    context.log("swaps fail half way on two engines; a third ignores two orders")


async def weight_roll(context: ScenarioContext) -> None:
    """Trainers publish as always; the roll is only watched."""
    del context


async def drill(context: ScenarioContext) -> None:
    """VMs stop, weights roll, the store fails, together and twice."""
    for _ in range(2):
        await asyncio.gather(
            _drill_once(context), asyncio.sleep(context.duration_s * 0.5)
        )


async def _drill_once(context: ScenarioContext) -> None:
    share_s = context.duration_s * 0.05
    faults = context.fleet.standins.table.faults
    engine = _pick_engine(context)
    await asyncio.sleep(share_s)
    context.log("drill: the store fails")
    faults.down = True
    await _crash_engine(context, engine)
    live = sorted(vm.name for vm in context.fleet.list_live_vms())
    stopped, killed = context.rng.sample(live, 2)
    context.log(f"drill: planned stop of {stopped}, crash of {killed}")
    await context.fleet.crash_vm(killed)
    stop = asyncio.ensure_future(context.fleet.stop_vm(stopped))
    await asyncio.sleep(2 * share_s)
    faults.down = False
    faults.lose_answers = 5
    context.log("drill: the store is back and loses answers")
    await stop
    await context.fleet.replace_vm(stopped)
    await context.fleet.replace_vm(killed)
    await _restart_engine(context, engine)


def _pick_engine(context: ScenarioContext) -> EngineStandin:
    service = context.fleet.deployment.engine_service
    return context.rng.choice(context.fleet.standins.find_engines(service))


async def _crash_engine(context: ScenarioContext, engine: EngineStandin) -> None:
    context.log(f"crash of {engine.target.name}")
    await engine.crash()


async def _restart_engine(context: ScenarioContext, engine: EngineStandin) -> None:
    await context.fleet.standins.restart_target(engine.target.name)
    context.log(f"{engine.target.name} is back")


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
