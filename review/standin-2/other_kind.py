"""A task is started on a worker without the label that it requires: the worker has started again under its id as one
of another kind, and the system goes by the entry of its last life."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standin import TROUBLE, note, now, request, run

# Three of 24 workers crash at a time, 0.125 of them.
ROUNDS = [("k", "1d94b36f85c0e7a2", range(0, 3)), ("m", "2d94b36f85c0e7a2", range(3, 6))]
DOWN_S = 1.0


def labels(number):
    kinds = [label for label, _, workers in ROUNDS if number in workers]
    return (kinds[0] if kinds else "a", f"r{number // 8}")


async def crash(worker):
    worker.crash()
    await asyncio.sleep(DOWN_S)
    # The new life is of another kind. It writes its entry as it starts.
    worker.labels[0] = "a"
    await worker.restart()


async def case(site):
    for label, job, _ in ROUNDS:
        step = {"count": 3, "cpu": 1000, "mem_mb": 256, "long_running": True, "requirements": label, "anti_affinity": 1}
        status, _ = await request(site.nodes[0].front, "POST", f"/q/{job}", {"spec": "cpu=1000", "steps": [step]})
        note(f"client: POST {job}, which requires the label {label}: {status}")
    kinds = {(worker.id, worker.born): worker.labels[0] for worker in site.workers}
    for label, job, numbers in ROUNDS:
        await asyncio.sleep(5)
        if TROUBLE:
            note(f"the workers with the label {label} crash")
            await asyncio.gather(*(crash(site.workers[number]) for number in numbers))
            note("they are back under their ids, as workers of kind a")
        kinds.update({(worker.id, worker.born): worker.labels[0] for worker in site.workers})
    await asyncio.sleep(8)
    required = {job: label for label, job, _ in ROUNDS}
    return [
        f"ROUTE: {start['task']} run {start['run']} starts at {start['at']:.3f} s on {start['worker']}, born {start['born']}, "
        f"of kind {kinds[start['worker'], start['born']]}, and requires {required[start['task'].split('.')[0]]}"
        for start in site.ledger.starts
        if kinds[start["worker"], start["born"]] != required[start["task"].split(".")[0]]
    ]


run(case, nodes=3, workers=24, duration=lambda task: None, labels=labels)
