"""A status report of another writer reaches an agent while its executor runs tasks."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import standin  # noqa: E402

# TROUBLE=0 leaves the disruption out.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Jobs that run when the report comes, and their work. The callers wait 6 s, as they do on the
# users' platform for long jobs.
JOBS = 6
TASKS_PER_JOB = 2
WORK_MS = 3_000
CALLER_WAIT_MS = 6_000
# Time until all tasks are at work.
SETTLE_S = 1
# Jobs that come together after the others and need more room than two of three executors have, so
# that they show whether the executor is still used.
LATER_JOBS = 7
LATER_TASKS_PER_JOB = 4
LATER_WORK_MS = 300


def foreign_report():
    """Returns a status report that names no executor to use: its service is in no configuration,
    and the fields `address`, `zone`, `version`, `slots` and `clockMs` are missing."""
    return {"service": "another-service", "state": "ready", "sequence": 1,
            "capacity": {"cpu": 4_000, "memMb": 1_024, "gpu": 0},
            "born": int(time.time() * 1_000)}


async def record_later_use(parts, record, victim):
    """Records how many tasks of later jobs the executor gets, which is not judged."""
    known = len(parts.runs)
    steps = [{"count": LATER_TASKS_PER_JOB, "workMs": LATER_WORK_MS}]
    await asyncio.gather(*(
        parts.submit(index % len(parts.entries), standin.new_job_id(), steps, CALLER_WAIT_MS)
        for index in range(LATER_JOBS)))
    later = [run.executor for run in parts.runs[known:]]
    record.write(f"{victim.name} got {later.count(victim.name)} of {len(later)} later tasks")


async def check(parts, record):
    jobs = [standin.new_job_id() for _ in range(JOBS)]
    steps = [{"count": TASKS_PER_JOB, "workMs": WORK_MS}]
    answers = [asyncio.create_task(parts.submit(index % len(parts.entries), job, steps, CALLER_WAIT_MS))
               for index, job in enumerate(jobs)]
    await asyncio.sleep(SETTLE_S)
    victim = max(parts.executors, key=lambda executor: len(executor.running))
    record.write(f"{victim.name} runs {len(victim.running)} tasks")
    if not victim.running:
        raise RuntimeError("no task runs on the executor whose agent gets the report")
    if HAS_TROUBLE:
        body = json.dumps(foreign_report()).encode()
        answer = await standin.call(victim.agent_address, "POST",
                                    "/api/Instances.Heartbeat/another-writer", {}, body, 1)
        record.write(f"another writer: status report to the agent of {victim.name}: {answer}")
    await asyncio.gather(*answers)
    await record_later_use(parts, record, victim)
    return [f"TWICE: {first.task}: {first} and {second}, together for {1_000 * shared_s:.0f} ms; "
            "expected one run at a time"
            for first, second, shared_s in standin.overlaps(parts.runs)]


standin.run_case(FOLDER, check)
