"""A start that had no answer is carried out late by the next life of its worker, after the task's end as done was
taken note of."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import TROUBLE, Way, note, now, request, run

JOB = "5c0e7a21d94b36f8"
# The pages: carried out 2 to 12 s later.
LATE_S = 8.0


held = []


def ways(site):
    """Puts a proxy before each worker, which holds the first order to start something back."""

    def late(worker):
        def decide(path, body):
            if not TROUBLE or path != "/-/run-start" or held:
                return None
            held.append(worker)
            note(f"worker {worker.id}: the order to start {body['task']} run {body['run']} is held back on its way")
            return LATE_S

        return decide

    return [Way(worker, 8301, late(worker)) for worker in site.workers]


async def case(site):
    node = site.nodes[0]
    job = {"spec": "cpu=1000", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 800}]}
    sent = now()
    status, _ = await request(node.front, "POST", f"/q/{JOB}", job)
    note(f"client: POST {JOB}: {status}")
    # The end is taken note of, and the job is shown as completed.
    while now() < sent + 4:
        await asyncio.sleep(0.1)
        status, body = await request(node.front, "GET", f"/q/{JOB}")
        if body.get("state") == "completed":
            break
    note(f"client: GET {JOB}: {status} {body}")
    await asyncio.sleep(0.5)
    if TROUBLE:
        worker = held[0]
        note(f"worker {worker.id} crashes")
        worker.crash()
        await asyncio.sleep(1.0)
        await worker.restart()
        note(f"worker {worker.id} is back under its id, born {worker.born}")
    await asyncio.sleep(max(0.0, sent + LATE_S + 2 - now()))
    violations = []
    for end in site.ledger.ends:
        seen = end["end"]["seen"]
        if end["end"]["how"] != "done" or seen is None:
            continue
        for start in site.ledger.starts:
            if start["task"] == end["task"] and start["at"] > end["at"]:
                violations.append(
                    f"TWICE: {start['task']} run {start['run']} starts on {start['worker']} at {start['at']:.3f} s; its "
                    f"run {end['end']['run']} ended done at {end['at']:.3f} s, taken note of at {seen:.3f} s"
                )
    return violations


run(case, nodes=3, workers=8, duration=lambda task: 0.8, ways=ways)
