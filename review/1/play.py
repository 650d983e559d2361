"""The machine that runs a step is frozen for a moment while the engines are full."""

from __future__ import annotations

import asyncio
import base64
import json
import math
import random
import signal
import uuid
from pathlib import Path

from review.support.lab import BOUNDS, BROKEN, HELD, HOST, TROUBLE, Engine, Lab, main

# No step begins later than this.
LAST_STEP_S = 92.0
# Two trainers, as on the site: the groups of a step by model.
GROUPS = {"m0": 9, "m1": 6}
GROUP_SIZE = 4
ENGINES, SLOTS, QUEUE = 3, 8, 2
EVENTS = 24
PAUSE_S = 0.04
# The time budget of the site's steps, and the share of groups that a trainer awaits.
BUDGET_S = 12.0
AWAITED_SHARE = 0.9
FREEZES, FREEZE_S, BETWEEN_S = 2, 1.2, 0.5
STABLE_S = BOUNDS["stableWindowMs"] / 1000
NOWHERE_S = 5.0


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
                models=tuple(GROUPS),
                queue=QUEUE,
            )
        )
    lab.put_config(
        [
            {
                "name": f"round-{model}",
                "host": HOST,
                "pathPrefix": f"/{model}/",
                "routeType": "rollout",
                "upstream": "models",
                "timeoutMs": 10000,
                "targetLatencyMs": 500,
                "maxAttempts": 3,
                "dueMs": 7500,
                "maxWaitS": 60,
                "priority": 0,
            }
            for model in GROUPS
        ],
        [
            {
                "name": "models",
                "maxConnections": 150,
                "backend": {"models": [{"name": model} for model in GROUPS]},
            }
        ],
    )
    await lab.start()
    while lab.record.now_s() < LAST_STEP_S:
        if await play_step(lab):
            return BROKEN
    return HELD


async def play_step(lab: Lab) -> int:
    """Play a step of each trainer; return how many items are lost."""
    lots = {model: uuid.uuid4().hex[:16] for model in GROUPS}
    items = {
        model: [uuid.uuid4().hex[:16] for _ in range(GROUPS[model] * GROUP_SIZE)]
        for model in GROUPS
    }
    await asyncio.gather(
        *(submit(lab, lots[model], items[model], model) for model in GROUPS)
    )
    sent_s = lab.record.now_s()
    await asyncio.sleep(random.uniform(0.3, 0.7))
    owner = find_owner(lab, lots["m0"])
    lab.record.write("operator", "the step of m0 is run by", node=owner.name)
    thawed_s = lab.record.now_s()
    for _ in range(FREEZES if TROUBLE else 0):
        owner.signal(signal.SIGSTOP)
        lab.record.write("operator", "freezes", node=owner.name)
        await asyncio.sleep(FREEZE_S)
        owner.signal(signal.SIGCONT)
        thawed_s = lab.record.write("operator", "thaws", node=owner.name)
        await asyncio.sleep(BETWEEN_S)
    results = await asyncio.gather(
        *(
            read(lab, lots[model], len(items[model]), owner, sent_s + BUDGET_S)
            for model in GROUPS
        )
    )
    gave_up_s = lab.record.now_s()
    lost = 0
    for model, listed in zip(GROUPS, results, strict=True):
        lost += judge(lab, lots[model], items[model], listed, thawed_s, gave_up_s)
        await lab.call(
            random.choice(lab.nodes).front,
            "DELETE",
            f"/v1/lots/{lots[model]}",
            headers={"host": HOST},
            who="trainer",
        )
    return lost


async def submit(lab: Lab, lot: str, items: list[str], model: str) -> None:
    body = json.dumps(
        {
            "step": 0,
            "model": model,
            "minVersion": 1,
            "groupCount": GROUPS[model],
            "requests": [
                {
                    "id": item,
                    "path": f"/{model}/{item}",
                    "tokens": 2000,
                    "headers": {"X-Model": model, "X-Token-Count": "1000,1000"},
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
        f"/{model}/{lot}",
        body=body,
        headers={"host": HOST, "x-request-id": lot, "content-type": "application/json"},
        who="trainer",
    )
    if answer.status != 202:
        raise RuntimeError("the batch submission was not accepted")


def judge(lab, lot, items, results, thawed_s, gave_up_s) -> int:
    """Apply LOST: the step runs out of time while an item was at no worker for 5 s.

    Steady state begins stableWindowMs after the thaw.
    """
    complete = count_groups(items, results)
    needed = math.ceil(len(items) / GROUP_SIZE * AWAITED_SHARE)
    lost = []
    for item in items:
        if item in results:
            continue
        runs = [r for r in lab.runs if r.request_id == item]
        if any(r.outcome == "complete" for r in runs):
            continue
        last_s = max([thawed_s + STABLE_S, *(r.ended_s for r in runs)])
        if gave_up_s - last_s >= NOWHERE_S - 2 * 0.05:
            lost.append(item)
        lab.record.write(
            "check",
            "not listed",
            item=item,
            runs=len(runs),
            nowhere_s=f"{gave_up_s - last_s:.2f}",
        )
    busy = max((w.running + w.waiting) / w.slots for w in lab.workers)
    # Where several models are trained, no item began in the last 3 s.
    quiet_s = gave_up_s - max(r.at_s for r in lab.runs)
    lab.record.write(
        "check",
        "step",
        lot=lot,
        groups=complete,
        needed=needed,
        listed=len(results),
        lost=len(lost),
        engines_busy=busy,
        since_last_arrival_s=f"{quiet_s:.1f}",
    )
    holds = complete >= needed or busy >= 0.5 or quiet_s < 3.0
    return 0 if holds else len(lost)


def count_groups(items, results) -> int:
    groups = [items[n : n + GROUP_SIZE] for n in range(0, len(items), GROUP_SIZE)]
    return sum(all(item in results for item in group) for group in groups)


async def read(lab: Lab, lot: str, count: int, frozen, until_s: float) -> set[str]:
    """Read results until enough groups are complete or the time budget is over."""
    results: list[dict] = []
    nodes = [node for node in lab.nodes if node is not frozen]
    while lab.record.now_s() < until_s and len(results) < count:
        answer = await lab.call(
            random.choice(nodes).front,
            "GET",
            f"/v1/lots/{lot}?after={len(results)}",
            headers={"host": HOST, "x-wait-ms": "1000"},
            timeout_s=2.5,
            quiet=True,
        )
        if answer.status == 200:
            new = json.loads(answer.body)["results"]
            results += new
            if new:
                lab.record.write("trainer", "has read", results=len(results))
        await asyncio.sleep(0.4)
    return {result["id"] for result in results}


def find_owner(lab: Lab, lot: str):
    """Return the machine that runs a submission, by the nodes' logs."""
    for event in ("job_received", "job_accepted"):
        for node in lab.nodes:
            text = node.log.read_text(errors="replace")
            if f"event={event} process={node.name} subject={lot}" in text:
                return node
    raise RuntimeError("no node has the submission")


main(Path(__file__).parent, 3, play)
