"""The holder of the lease for orders is killed, and the store loses some answers."""

from __future__ import annotations

import asyncio
import base64
import json
import math
import random
import uuid
from pathlib import Path

from review.support.lab import BOUNDS, BROKEN, HELD, HOST, TROUBLE, Engine, Lab, main

MODELS = ("m0", "m1")
ENGINES, SLOTS = 4, 8
GROUPS, GROUP_SIZE = 8, 4
EVENTS, PAUSE_S = 42, 0.1
BUDGET_S, AWAITED_SHARE = 12.0, 0.9
# The site's limits: a process is killed for 3.5 s; 0.35 of the writes are done and not
# answered for 4.5 s. Here the first of each three writes.
KILLED_S = 3.5
LOST_FROM_S, LOST_FOR_S, LOST_EACH = 1.0, 4.5, 3
STABLE_S = BOUNDS["stableWindowMs"] / 1000
NOWHERE_S = 5.0
LAST_ROUND_S = 80.0


async def play(lab: Lab) -> int:
    for number in range(ENGINES):
        lab.workers.append(
            Engine(
                f"i-{number}",
                lab.worker_address(number),
                lab,
                slots=SLOTS,
                events=EVENTS,
                pause_s=PAUSE_S,
                models=MODELS,
            )
        )
    lab.put_config(
        [
            {
                "name": "round-m0",
                "host": HOST,
                "pathPrefix": "/m0/",
                "routeType": "rollout",
                "upstream": "models",
                "timeoutMs": 10000,
                "targetLatencyMs": 500,
                "maxAttempts": 3,
                "dueMs": 7500,
                "maxWaitS": 60,
                "priority": 0,
            }
        ],
        [
            {
                "name": "models",
                "maxConnections": 150,
                "backend": {"models": [{"name": model} for model in MODELS]},
            }
        ],
    )
    lose_answers(lab)
    await lab.start()
    version = 1
    while lab.record.now_s() < LAST_ROUND_S:
        version += 1
        lab.name_version("m0", version)
        holder = await wait_for_order(lab)
        if TROUBLE:
            await disturb(lab, holder)
        if not await wait_for_engines(lab, version, 9.0):
            return await play_step(lab, version)
        if not TROUBLE:
            return await play_step(lab, version)
        # The lease has gone on to the other machine; bring it back.
        version += 1
        lab.name_version("m0", version)
        await disturb(lab, await wait_for_order(lab), loses=False)
        await wait_for_engines(lab, version, 9.0)
    return HELD


async def disturb(lab: Lab, holder, *, loses: bool = True) -> None:
    """Kill the machine that gave the last order, and start it again."""
    holder.process.kill()
    holder.process.wait()
    lab.record.write("operator", "SIGKILL", node=holder.name)
    loop = asyncio.get_running_loop()
    if loses:
        loop.call_later(LOST_FROM_S, set_losing, lab, True)
        loop.call_later(LOST_FROM_S + LOST_FOR_S, set_losing, lab, False)
    await asyncio.sleep(KILLED_S)
    holder.start()
    lab.record.write("operator", "starts again", node=holder.name)
    await asyncio.sleep(LOST_FROM_S + LOST_FOR_S - KILLED_S + 0.1)


def set_losing(lab: Lab, is_losing: bool) -> None:
    lab.is_losing, lab.writes = is_losing, 0
    lab.record.write("platform", "loses answers" if is_losing else "answers all")


def lose_answers(lab: Lab) -> None:
    """Let the store do the first of three writes and leave it unanswered."""
    lab.is_losing, lab.writes = False, 0
    commit_now = lab.store._transact

    async def transact(request):
        response = await commit_now(request)
        if lab.is_losing and response.status == 200:
            lab.writes += 1
            if lab.writes % LOST_EACH == 1:
                tables = {w["table"] for w in json.loads(request.body)["writes"]}
                lab.record.write("platform", "answer lost", tables=tables)
                await asyncio.sleep(60)
        return response

    lab.store._transact = transact


async def wait_for_order(lab: Lab):
    """Return the machine that gives the next order that a worker accepts."""
    count = len(lab.orders)
    while len(lab.orders) == count:
        await asyncio.sleep(0.01)
    name = lab.orders[-1][2]
    return next(node for node in lab.nodes if node.name == name)


async def wait_for_engines(lab: Lab, version: int, wait_s: float) -> bool:
    """Return whether two engines, the share of m0, have the version in time."""
    until_s = lab.record.now_s() + wait_s
    while lab.record.now_s() < until_s:
        if sum(e.versions["m0"] == version for e in lab.workers) >= 2:
            return True
        await asyncio.sleep(0.05)
    lab.record.write(
        "check", "engines", have={e.name: e.versions["m0"] for e in lab.workers}
    )
    return False


async def play_step(lab: Lab, version: int) -> int:
    """Play a step that needs the version; return whether an item of it is lost.

    As on the site, step k is asked once version k is named, and allows k - 1.
    """
    await asyncio.sleep(STABLE_S)
    lab.name_version("m0", version + 1)
    lot = uuid.uuid4().hex[:16]
    items = [uuid.uuid4().hex[:16] for _ in range(GROUPS * GROUP_SIZE)]
    body = json.dumps(
        {
            "step": version + 1,
            "model": "m0",
            "minVersion": version,
            "groupCount": GROUPS,
            "requests": [
                {
                    "id": item,
                    "path": f"/m0/{item}",
                    "tokens": 2000,
                    "headers": {"X-Model": "m0", "X-Token-Count": "1000,1000"},
                    "body": base64.b64encode(item.encode()).decode(),
                    "group": f"g{n // GROUP_SIZE}",
                }
                for n, item in enumerate(items)
            ],
        }
    ).encode()
    answer = await lab.call(
        random.choice(lab.nodes).front,
        "POST",
        f"/m0/{lot}",
        body=body,
        who="trainer",
        headers={"host": HOST, "x-request-id": lot, "content-type": "application/json"},
    )
    if answer.status != 202:
        raise RuntimeError("the batch submission was not accepted")
    sent_s = lab.record.now_s()
    results: set[str] = set()
    reading = lab.spawn(read(lab, lot, len(items), results))
    await asyncio.wait({reading}, timeout=sent_s + BUDGET_S - lab.record.now_s())
    reading.cancel()
    return judge(lab, items, results, sent_s)


async def read(lab: Lab, lot: str, count: int, results: set[str]) -> None:
    """Add the ids of the results that are listed until all are."""
    while len(results) < count:
        answer = await lab.call(
            random.choice(lab.nodes).front,
            "GET",
            f"/v1/lots/{lot}?after={len(results)}",
            headers={"host": HOST, "x-wait-ms": "1000"},
            timeout_s=2.5,
            quiet=True,
        )
        if answer.status == 200:
            results |= {r["id"] for r in json.loads(answer.body)["results"]}
        await asyncio.sleep(0.3)


def judge(lab: Lab, items, results, sent_s) -> int:
    """Apply LOST: the step is out of time, and an item was at no worker for 5 s."""
    now_s = lab.record.now_s()
    groups = [items[n : n + GROUP_SIZE] for n in range(0, len(items), GROUP_SIZE)]
    complete = sum(all(item in results for item in group) for group in groups)
    needed = math.ceil(len(groups) * AWAITED_SHARE)
    lost = 0
    for item in items:
        runs = [r for r in lab.runs if r.request_id == item]
        if item in results or any(r.outcome == "complete" for r in runs):
            continue
        # At a worker from each arrival to its end; before the first one, nowhere.
        times = [sent_s, *(t for r in runs for t in (r.at_s, min(r.ended_s, now_s)))]
        gaps = [b - a for a, b in zip(times[::2], [*times[1::2], now_s])]
        lost += max(gaps) >= NOWHERE_S
    # Where several models are trained, no item began in the last 3 s.
    quiet_s = now_s - max((r.at_s for r in lab.runs), default=0.0)
    full = sum(w.running + w.waiting for w in lab.workers) / (ENGINES * SLOTS)
    lab.record.write(
        "check",
        "step",
        groups=complete,
        needed=needed,
        listed=len(results),
        lost=lost,
        engines_full=full,
        begun=sum(r.request_id in items for r in lab.runs),
        since_last_arrival_s=f"{quiet_s:.1f}",
        versions={e.name: e.versions["m0"] for e in lab.workers},
    )
    holds = complete >= needed or full >= 0.5 or quiet_s < 3.0
    return BROKEN if lost and not holds else HELD


main(Path(__file__).parent, 2, play)
