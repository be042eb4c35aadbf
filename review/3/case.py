"""Executors crash under load and start again at once, under the id that they had."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import standin  # noqa: E402

# TROUBLE=0 leaves the disruption out.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Jobs like those of `fecha-check`, at a rate that uses two thirds of the executors' room.
JOBS_PER_S = 80
TASKS_PER_JOB = 4
WORK_MS = 60
CALLER_WAIT_MS = 1_500
# Crashes, of one executor after the other.
CRASHES = 45
TIME_BETWEEN_CRASHES_S = 0.4


async def submit_jobs(parts, stopping):
    """Submits jobs at random times, to the entries in turn, and waits for their answers."""
    steps = [{"count": TASKS_PER_JOB, "workMs": WORK_MS}]
    answers = []
    while not stopping.is_set():
        entry = len(answers) % len(parts.entries)
        job = parts.submit(entry, standin.new_job_id(), steps, CALLER_WAIT_MS)
        answers.append(asyncio.create_task(job))
        await asyncio.sleep(random.expovariate(JOBS_PER_S))
    await asyncio.gather(*answers)


async def check(parts, record):
    stopping = asyncio.Event()
    callers = asyncio.create_task(submit_jobs(parts, stopping))
    for number in range(CRASHES):
        await asyncio.sleep(TIME_BETWEEN_CRASHES_S)
        if HAS_TROUBLE:
            parts.executors[number % len(parts.executors)].crash_and_start_again()
    await asyncio.sleep(TIME_BETWEEN_CRASHES_S)
    stopping.set()
    await callers
    return [f"TWICE: {first.task}: {first} and {second}, together for {1_000 * shared_s:.0f} ms; "
            "expected one run at a time"
            for first, second, shared_s in standin.overlaps(parts.runs)]


standin.run_case(FOLDER, check)
