"""What befalls a deployment while its customers and trainers work."""

from __future__ import annotations

import asyncio

from tamarackshelf.demo.customers import Customer
from tamarackshelf.demo.fleet import LEASE
from tamarackshelf.demo.run import Scenario, Stage
from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.standin import EngineStandin

POISON = "poisonous letter"


async def calm(stage: Stage) -> None:
    """Nothing goes wrong."""
    del stage


async def crash(stage: Stage) -> None:
    """An engine and an entry VM die; both are replaced."""
    engine = _pick_engine(stage)
    await asyncio.sleep(stage.duration_s * 0.2)
    await _crash_engine(stage, engine)
    await asyncio.sleep(stage.duration_s * 0.2)
    name = stage.rng.choice(sorted(stage.fleet.vms))
    stage.say(f"crash of entry VM {name}")
    await stage.fleet.crash_vm(name)
    await asyncio.sleep(stage.duration_s * 0.1)
    await stage.fleet.replace_vm(name)
    await _restart_engine(stage, engine)


async def runner_crash(stage: Stage) -> None:
    """Two runners die in the middle of steps."""
    for _ in range(2):
        await asyncio.sleep(stage.duration_s * 0.25)
        live = [vm.name for vm in stage.fleet.live_vms()]
        name = stage.rng.choice(sorted(live))
        stage.say(f"crash of the runner of {name}")
        await stage.fleet.crash_runner(name)


async def rolling_stop(stage: Stage) -> None:
    """Every entry VM is stopped as planned and replaced, one after the other."""
    names = sorted(stage.fleet.vms)
    gap_s = stage.duration_s / (2 * len(names))
    for name in names:
        stage.say(f"planned stop of {name}")
        await stage.fleet.stop_vm(name)
        await stage.fleet.replace_vm(name)
        await asyncio.sleep(gap_s)
    stage.require(stage.observations.cut == 0, "a planned stop cuts no request")
    refused = stage.observations.errors.get("draining", 0)
    stage.require(refused == 0, "a planned stop refuses no request that could run")


async def store_outage(stage: Stage) -> None:
    """The table service is down, then slow, then loses answers."""
    faults = stage.fleet.scene.table.faults
    await asyncio.sleep(stage.duration_s * 0.2)
    stage.say("the table service is down")
    faults.down = True
    await asyncio.sleep(stage.duration_s * 0.3)
    faults.down = False
    faults.delay_s = 0.3
    stage.say("the table service is slow")
    await asyncio.sleep(stage.duration_s * 0.2)
    faults.delay_s = 0.0
    faults.lose_answers = 20
    stage.say("the table service loses answers")


async def poison(stage: Stage) -> None:
    """One request crashes each engine that runs it; its caller insists."""
    engines = stage.fleet.scene.find_engines(stage.fleet.deployment.engine_service)
    for engine in engines:
        engine.faults.poison = (POISON,)
    await asyncio.sleep(stage.duration_s * 0.2)
    callers = [
        Customer(stage.fleet, stage.observations, stage.rng, think_s=1.0)
        for _ in range(3)
    ]
    model = stage.fleet.deployment.models[0]
    body = {"model": model, "prompt": POISON, "seed": 1, "max_tokens": 64}
    kinds = [await caller.send_raw(body, 5.0) for caller in callers]
    crashed = sum(engine.crashed.is_set() for engine in engines)
    stage.say(f"poison: {crashed} engines lost, its callers were told {kinds}")
    for engine in engines:
        if engine.crashed.is_set():
            await _restart_engine(stage, engine)
    stage.require(crashed <= 2, f"a poison request takes two targets, not {crashed}")
    told = set(kinds) == {"quarantined"}
    stage.require(told, f"the caller of a poison request is told why, not {kinds}")


async def leaving(stage: Stage) -> None:
    """An engine starts to leave long before the list says so."""
    engine = _pick_engine(stage)
    stage.fleet.scene.platform.faults.lag_s = 10.0
    await asyncio.sleep(stage.duration_s * 0.3)
    stage.say(f"{engine.target.name} leaves")
    engine.faults.leaving = True
    await asyncio.sleep(3.0)
    before = engine.requests_seen
    await asyncio.sleep(stage.duration_s * 0.3)
    late = engine.requests_seen - before
    stage.say(f"{late} requests reached it later than 3 s")
    stage.require(late == 0, "a leaving target gets no work after 3 s")


async def paused_holder(stage: Stage) -> None:
    """The controller that orders the engines pauses past its lease and wakes."""
    await asyncio.sleep(stage.duration_s * 0.2)
    shard = f"{stage.fleet.deployment.engine_service}#0"
    live = [vm.name for vm in stage.fleet.live_vms()]
    holder = find_owner(live, shard)
    assert holder is not None
    stage.say(f"{holder} pauses while it holds the lease of {shard}")
    await stage.fleet.vms[holder].controller.pause()
    await asyncio.sleep(max(2 * LEASE.lease_s, stage.duration_s * 0.3))
    stage.say(f"{holder} wakes and still believes that it holds it")
    await stage.fleet.vms[holder].controller.resume()


async def half_swap(stage: Stage) -> None:
    """Weight swaps fail half way on two engines, one engine ignores orders."""
    service = stage.fleet.deployment.engine_service
    engines = stage.fleet.scene.find_engines(service)
    await asyncio.sleep(stage.duration_s * 0.2)
    for engine in engines[:2]:
        engine.faults.swap_fails = 2
    engines[2].faults.swap_ignored = 2
    stage.say("swaps fail half way on two engines; a third ignores two orders")


async def weight_roll(stage: Stage) -> None:
    """Trainers publish as always; the roll is only watched."""
    del stage


async def drill(stage: Stage) -> None:
    """VMs stop, weights roll, the store fails, together and twice."""
    for _ in range(2):
        await asyncio.gather(_drill_once(stage), asyncio.sleep(stage.duration_s * 0.5))


async def _drill_once(stage: Stage) -> None:
    share_s = stage.duration_s * 0.05
    faults = stage.fleet.scene.table.faults
    engine = _pick_engine(stage)
    await asyncio.sleep(share_s)
    stage.say("drill: the store fails")
    faults.down = True
    await _crash_engine(stage, engine)
    live = sorted(vm.name for vm in stage.fleet.live_vms())
    stopped, killed = stage.rng.sample(live, 2)
    stage.say(f"drill: planned stop of {stopped}, crash of {killed}")
    await stage.fleet.crash_vm(killed)
    stop = asyncio.ensure_future(stage.fleet.stop_vm(stopped))
    await asyncio.sleep(2 * share_s)
    faults.down = False
    faults.lose_answers = 5
    stage.say("drill: the store is back and loses answers")
    await stop
    await stage.fleet.replace_vm(stopped)
    await stage.fleet.replace_vm(killed)
    await _restart_engine(stage, engine)


def _pick_engine(stage: Stage) -> EngineStandin:
    service = stage.fleet.deployment.engine_service
    return stage.rng.choice(stage.fleet.scene.find_engines(service))


async def _crash_engine(stage: Stage, engine: EngineStandin) -> None:
    stage.say(f"crash of {engine.target.name}")
    await engine.crash()


async def _restart_engine(stage: Stage, engine: EngineStandin) -> None:
    await stage.fleet.scene.restart_target(engine.target.name)
    stage.say(f"{engine.target.name} is back")


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
