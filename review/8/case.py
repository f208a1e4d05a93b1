"""A cancellation is acknowledged, and the job that it cancelled is accepted and run afterwards: the write that accepts
it got no answer and was carried out seconds later."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import TROUBLE, note, now, request, run

JOB = "7a21d94b36f85c0e"
# The pages: done 1 to 6 s later.
LATE_S = 5.0
# `bounds.cancel_ms`.
CANCEL_S = 3.0


async def case(site):
    held = []

    def late(body):
        accepts = any(write["key"].endswith(JOB) for write in body.get("writes", []))
        if not TROUBLE or held or not accepts:
            return None
        held.append(body)
        note("store: a write gets no answer")
        return LATE_S

    site.store.late = late
    job = {"spec": "cpu=1000", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "long_running": True}]}
    # Three clients of four stay.
    for number in range(3):
        other = {"spec": "cpu=1000", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}]}
        status, _ = await request(site.nodes[number].front, "POST", f"/q/{number}000d94b36f85c0e", other)
        note(f"another client: POST at {site.nodes[number].name}: {status}")
    # The fourth leaves before its time limit.
    status, _ = await request(site.nodes[0].front, "POST", f"/q/{JOB}", job, timeout=0.4)
    note(f"client: POST {JOB} at {site.nodes[0].name}: {status or 'no answer, and the client has left'}")
    await asyncio.sleep(0.6)
    status, _ = await request(site.nodes[1].front, "DELETE", f"/q/{JOB}")
    cancelled = now()
    note(f"client: DELETE {JOB} at {site.nodes[1].name}: {status}")
    if status not in (200, 410):
        return []
    await asyncio.sleep(12)
    status, body = await request(site.nodes[2].front, "GET", f"/q/{JOB}")
    note(f"client: GET {JOB} at {site.nodes[2].name}: {status} {body}")
    return [
        f"UNASKED: {start['task']} run {start['run']} starts on {start['worker']} at {start['at']:.3f} s, "
        f"{start['at'] - cancelled:.3f} s after the job's cancelling was acknowledged"
        for start in site.ledger.tasks_of(JOB)
        if start["at"] > cancelled + CANCEL_S
    ]


run(case, nodes=3, workers=4, duration=lambda task: None if task.startswith(JOB) else 0.5)
