"""Stand-ins of the users' platform for the scripts of this review, and a small deployment of the
project's own programs on loopback addresses.

Only the Python standard library is used. The stand-ins do what the users' pages say and nothing
else, unless a case asks for a disruption. Each process gets a loopback address of its own, so that
the fixed ports of `deploy/system.toml` are free.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Bounds of the small deployments, from their `Bounds` line in SYSTEM.md.
HOLD_MAX_MS = 1_000
STOP_MS = 50
CANCEL_MS = 3_000
RESEND_MS = 1_300
GRACE_S = 6
FAR_FACTOR = 1.5
HEARTBEAT_MS = 1_500

# Size of an executor: the smallest kind of the small site.
EXECUTOR_CPU = 16_000
EXECUTOR_MEMORY_MB = 32_768

# Time that a stop takes here; the pages allow up to STOP_MS.
STOP_TIME_S = 0.010
# Interval at which an executor looks for an expired lease.
LEASE_CHECK_S = 0.002
# Pause of an executor after a status report without an answer.
REPORT_RETRY_S = 0.1
# Longest time until the whole deployment serves a job after its start.
START_TIMEOUT_S = 20
# Ends that one answer to a hold lists at most.
MAX_LISTED_ENDS = 500

SERVICE = "desk"
HOST = "jobs.example"
PREFIX = "/jobs/"
ZONES = ["north", "south"]


class Record:
    """Writes what was sent, answered and run to `record.txt`, one line for each event."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)


# HTTP/1.1, as far as the platform's interfaces need it.


async def read_message(reader):
    """Reads one request or response: its first line, headers and body. Returns None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode_message(first, headers, body):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    if body:
        lines.append("Content-Type: application/json")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve_http(address, handle, channels=None):
    """Serves `handle(method, target, headers, body)`, which returns a status and a JSON value.
    `channels` is a set that holds the writers of the open channels, if given."""
    channels = set() if channels is None else channels

    async def serve_connection(reader, writer):
        channels.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _version = first.split(" ", 2)
                status, value = await handle(method, target, headers, body)
                answer = b"" if value is None else json.dumps(value).encode()
                writer.write(encode_message(f"HTTP/1.1 {status} Status", {}, answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            channels.discard(writer)
            writer.close()

    return await asyncio.start_server(serve_connection, *address)


async def call(address, method, target, headers, body, timeout_s):
    """Sends one request on a new channel. Returns status and body, or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            fields = {"Host": f"{address[0]}:{address[1]}", **headers}
            writer.write(encode_message(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
        return None if message is None else (int(message[0].split(" ")[1]), message[2])

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None


# The platform's store.


class Store:
    """Rows by table and key, with one version for all of them."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.started_at = time.monotonic()

    def put(self, table, key, value):
        """Writes a row, as the operator does."""
        self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def _write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = {
            "table": table, "part": "", "key": key, "value": value,
            "schemaVersion": self.version,
        }
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, rows):
        now_ms = int((time.monotonic() - self.started_at) * 1_000)
        return 200, {"rows": rows, "truncated": False, "schemaVersion": self.version, "nowMs": now_ms}

    async def handle(self, _method, target, _headers, body):
        path, _, query = target.partition("?")
        parameters = dict(pair.partition("=")[::2] for pair in query.split("&"))
        table = parameters.get("table", "")
        if path == "/api/rows-get":
            rows = [row for (of, _key), row in sorted(self.rows.items()) if of == table]
            return self._answer(rows)
        if path == "/api/rows-feed":
            return await self._feed(table, int(parameters["after"]), int(parameters["waitMs"]))
        if path == "/api/rows-tx":
            for put in json.loads(body)["puts"]:
                if put["table"] in ("op", "servers"):
                    return 403, {}
                self._write(put["table"], put["key"], put["value"])
            return self._answer([])
        return 404, None

    async def _feed(self, table, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1_000
        while True:
            changed = self.changed
            rows = [row for (of, _key), row in self.rows.items()
                    if of == table and row["schemaVersion"] > after]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return self._answer(sorted(rows, key=lambda row: row["schemaVersion"]))
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def configuration(version, **route):
    """Returns a configuration with one queue, as the operator writes it."""
    return {
        "version": version,
        "routes": [{"name": "jobs", "host": HOST, "pathPrefix": PREFIX, "service": SERVICE,
                    "kind": "unsafe", "timeoutMs": 1_500, "targetLatencyMs": 60, "priority": 0,
                    "maxAttempts": 4, "stretch": 1.6, **route}],
        "services": [{"name": SERVICE, "maxConnections": 64, "rejectsOverload": False}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3_000,
                   "idleTimeoutMs": 15_000},
    }


# Executors.


class Run:
    """One run of a task, from its start to its end, in seconds since the start of the case."""

    def __init__(self, task, number, executor, started_at):
        self.task = task
        self.number = number
        self.executor = executor
        self.started_at = started_at
        self.ended_at = None
        self.how = "running"
        self.timer = None

    def __str__(self):
        end = "now" if self.ended_at is None else f"{self.ended_at:.3f} s ({self.how})"
        return f"run {self.number} on {self.executor} from {self.started_at:.3f} s to {end}"


class Executor:
    """A sound executor: one life of a worker, beside its agent.

    The spec of a task is `{"workMs": N}`. The executor guards no capacity (`rejectsOverload` is
    false).
    """

    def __init__(self, name, zone, address, agent_address, record, runs):
        self.name = name
        self.zone = zone
        self.address = address
        self.agent_address = agent_address
        self.record = record
        # All runs of the deployment, also those of other executors.
        self.runs = runs
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.state = "ready"
        self.labels = ["a", "r1"]
        self.channels = set()
        self.tasks = []
        self.boot()

    def boot(self):
        """Begins a life that knows nothing of the one before."""
        self.born = int(time.time() * 1_000)
        self.booted_at = time.monotonic()
        self.sequence = 0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.highest_token = 0
        self.lease_until = 0
        # Highest run of each task that was stopped or ended here.
        self.highest_gone = {}
        self.end_listed = asyncio.Event()

    def crash_and_start_again(self):
        """Ends this life with all its runs and channels, and begins another under the same id, with a
        status report at once."""
        for run in self.running.values():
            run.timer.cancel()
            run.ended_at, run.how = self.record.now(), "crashed"
        for writer in self.channels:
            writer.transport.abort()
        self.boot()
        self.has_booted.set()
        self.record.write(f"{self.name}: crashed and started again, born {self.born}")

    def clock_ms(self):
        return int((time.monotonic() - self.booted_at) * 1_000)

    async def start(self):
        self.has_booted = asyncio.Event()
        self.server = await serve_http(self.address, self.handle, self.channels)
        self.tasks = [asyncio.create_task(self.send_status_reports()),
                      asyncio.create_task(self.watch_lease())]

    def status_report(self):
        self.sequence += 1
        return {
            "service": SERVICE, "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": EXECUTOR_CPU, "memMb": EXECUTOR_MEMORY_MB, "gpu": 0},
            "labels": self.labels, "clockMs": self.clock_ms(), "sequence": self.sequence,
            "born": self.born,
        }

    async def send_status_reports(self):
        while True:
            body = json.dumps(self.status_report()).encode()
            target = f"/api/Instances.Heartbeat/{self.id}"
            answer = await call(self.agent_address, "POST", target, {}, body, 1)
            pause_s = HEARTBEAT_MS / 1_000 if answer else REPORT_RETRY_S
            try:
                await asyncio.wait_for(self.has_booted.wait(), pause_s)
            except asyncio.TimeoutError:
                pass
            self.has_booted.clear()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.running and self.clock_ms() >= self.lease_until:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.pop((run.task, run.number), None) is None:
            return
        if run.timer:
            run.timer.cancel()
        run.ended_at, run.how = self.record.now(), how
        self.note_gone(run.task, run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.end_listed.set()
        self.end_listed = asyncio.Event()
        self.record.write(f"{self.name}: run {run.number} of {run.task} ended {how}")

    def note_gone(self, task, number):
        self.highest_gone[task] = max(self.highest_gone.get(task, 0), number)

    def extend_lease(self, until):
        self.lease_until = max(self.lease_until, min(until, self.clock_ms() + HOLD_MAX_MS))

    async def handle(self, _method, target, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock_ms(), "born": self.born}
        request = json.loads(body)
        if request.get("fencingToken", 0) < self.highest_token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence", "born": self.born}
        self.highest_token = request.get("fencingToken", 0)
        if target == "/api/run-start":
            return self.run_start(request)
        if target == "/api/run-stop":
            return self.run_stop(request)
        if target == "/api/hold":
            return await self.hold(request)
        return 404, None

    def run_start(self, request):
        task, number = request["task"], request["run"]
        if (task, number) in self.running:
            return 200, {"clockMs": self.clock_ms(), "born": self.born}
        if request["untilMs"] <= self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late", "born": self.born}
        self.extend_lease(request["untilMs"])
        if number <= self.highest_gone.get(task, 0):
            return 409, {"clockMs": self.clock_ms(), "reason": "old", "born": self.born}
        run = Run(task, number, self.name, self.record.now())
        self.running[(task, number)] = run
        self.runs.append(run)
        work_s = json.loads(request["spec"])["workMs"] / 1_000
        run.timer = asyncio.get_running_loop().call_later(work_s, self.end, run, "done")
        self.record.write(f"{self.name}: run {number} of {task} started")
        return 200, {"clockMs": self.clock_ms(), "born": self.born}

    def run_stop(self, request):
        task, number = request["task"], request["run"]
        self.note_gone(task, number)
        if run := self.running.get((task, number)):
            asyncio.get_running_loop().call_later(STOP_TIME_S, self.end, run, "stopped")
        return 200, {"clockMs": self.clock_ms(), "born": self.born}

    async def hold(self, request):
        self.ended = [end for end in self.ended if end[0] > request["ackedUpto"]]
        self.extend_lease(request.get("untilMs", 0))
        if not self.ended and request.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.end_listed.wait(), request["waitMs"] / 1_000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", self.percent(run), 0] for run in self.running.values()]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running,
                     "ended": self.ended[:MAX_LISTED_ENDS]}

    def percent(self, run):
        left_s = max(0.0, run.timer.when() - asyncio.get_running_loop().time())
        done_s = self.record.now() - run.started_at
        return min(99, int(100 * done_s / max(done_s + left_s, 0.001)))


def overlaps(runs):
    """Returns the pairs of runs of one task that were at work at the same time, with the seconds."""
    found = []
    for index, first in enumerate(runs):
        for second in runs[index + 1:]:
            if first.task != second.task:
                continue
            first_end = float("inf") if first.ended_at is None else first.ended_at
            second_end = float("inf") if second.ended_at is None else second.ended_at
            shared_s = min(first_end, second_end) - max(first.started_at, second.started_at)
            if shared_s > 0:
                found.append((first, second, shared_s))
    return found


# The deployment: the project's own programs with the commands of the deploy file.


def deploy_commands():
    """Returns the command of each role of `deploy/system.toml`."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    return dict(re.findall(r'^\[roles\.(\w+)\]\nrun = "([^"]*)"', text, re.MULTILINE))


def fill_placeholders(command, settings):
    """Replaces `{{a.b}}` by the value at that path of the settings; lists are joined by commas."""

    def value_at(match):
        value = settings
        for key in match.group(1).split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return ",".join(value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_at, command)


def free_network():
    """Returns the first three octets of loopback addresses that nothing of this review uses."""
    while True:
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.1", 9_464))
                return network
            except OSError:
                continue


class Deployment:
    """Entries and agents as processes, and the stand-ins around them."""

    def __init__(self, record, entries=2, agents=3, route=None):
        self.record = record
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.runs = []
        self.processes = {}
        self.store = Store()
        self.store.put("op", "config", configuration(1, **(route or {})))
        self.store_address = (f"{self.network}.2", 8_169)
        self.entries = [self.machine("entry", index, 10) for index in range(entries)]
        self.agents = [self.machine("agent", index, 100) for index in range(agents)]
        self.executors = [
            Executor(f"executor-{index}", agent["zone"], (agent["ip"], 8_165), (agent["ip"], 8_166),
                     record, self.runs)
            for index, agent in enumerate(self.agents)
        ]

    def machine(self, role, index, first_host):
        ip = f"{self.network}.{first_host + index}"
        return {
            "role": role, "nodeName": f"{role}-{index}", "zone": ZONES[index % len(ZONES)], "ip": ip,
            "listen": {"front": f"{ip}:8161", "ready": f"{ip}:8167", "control": f"{ip}:8166"},
            "internalPorts": [7720, 7735], "app": f"{ip}:8165",
            "seedNodes": [f"{self.network}.{10 + seed}:8166" for seed in range(3)],
            "platform": {"address": f"{self.store_address[0]}:{self.store_address[1]}"},
            "bounds": {"resendMs": RESEND_MS, "holdMaxMs": HOLD_MAX_MS, "graceS": GRACE_S,
                       "farFactor": FAR_FACTOR},
        }

    async def start(self):
        self.store_server = await serve_http(self.store_address, self.store.handle)
        for machine in self.entries + self.agents:
            await self.start_process(machine)
        for executor in self.executors:
            await executor.start()
        await self.wait_until_served()

    async def start_process(self, machine):
        name = machine["nodeName"]
        settings_path = os.path.join(self.folder, f"{name}.yaml")
        with open(settings_path, "w", encoding="utf-8") as file:
            json.dump(machine, file)
        command = fill_placeholders(deploy_commands()[machine["role"]], machine).split(" ")
        environment = {"PATH": os.environ["PATH"], "IBISSPOOL_SETTINGS": settings_path}
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        log.close()
        self.record.write(f"started {name}")

    async def wait_until_served(self):
        """Waits until each entry knows all executors, as its own answers show."""
        deadline = time.monotonic() + START_TIMEOUT_S
        served = set()
        while time.monotonic() < deadline:
            for entry in range(len(self.entries)):
                job = new_job_id()
                answer = await self.submit(entry, job, [{"count": 6, "workMs": 5}], 1_000)
                used = {run.executor for run in self.runs if run.task.startswith(job)}
                if answer and answer[0] == 200 and len(used) > 1:
                    served.add(entry)
            if len(served) == len(self.entries):
                # Reports of executors that joined last reach the entries within this time.
                await asyncio.sleep(1)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"only the entries {sorted(served)} served jobs on several executors")

    async def submit(self, entry, job, steps, wait_ms):
        """Submits a job and returns its answer as (status, body), or None. `steps` name `count`,
        `workMs` and any other fields of a step."""
        machine = self.entries[entry]
        fields = [{"cpu": 1_600, "memMb": 64, "estimateMs": step["workMs"],
                   **{name: value for name, value in step.items() if name != "workMs"}}
                  for step in steps]
        spec = json.dumps({"workMs": steps[0]["workMs"]})
        body = json.dumps({"spec": spec, "bestEffort": True, "steps": fields}).encode()
        headers = {"Host": HOST, "Deadline-Ms": str(wait_ms)}
        self.record.write(f"client: POST job {job} to entry-{entry}, waits {wait_ms} ms")
        answer = await call((machine["ip"], 8_161), "POST", PREFIX + job, headers, body, wait_ms / 1_000)
        self.record.write(f"client: POST job {job}: {answer or 'no answer'}")
        return answer

    async def cancel(self, entry, job):
        """Cancels a job and returns the answer as (status, body), or None."""
        machine = self.entries[entry]
        answer = await call((machine["ip"], 8_161), "DELETE", PREFIX + job, {"Host": HOST}, b"", 2)
        self.record.write(f"client: DELETE job {job} at entry-{entry}: {answer or 'no answer'}")
        return answer

    async def stop(self):
        """Ends all processes that this deployment started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for executor in self.executors:
            for task in executor.tasks:
                task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def new_job_id():
    return f"{random.randrange(16 ** 16):016x}"


def run_case(folder, check, **deployment):
    """Runs `check(deployment, record)`, which returns a list of violations, and exits with the code
    of its result."""

    async def play():
        record = Record(folder)
        parts = Deployment(record, **deployment)
        try:
            await parts.start()
            violations = await check(parts, record)
        finally:
            await parts.stop()
        for violation in violations:
            record.write(f"BROKEN {violation}")
            print(f"broken: {violation}")
        if not violations:
            record.write("HELD")
            print("held")
        return BROKEN if violations else HELD

    try:
        code = asyncio.run(play())
    except Exception as error:  # noqa: BLE001 - whatever it is, the case has no result
        print(f"could not run: {error!r}", file=sys.stderr)
        code = COULD_NOT_RUN
    sys.exit(code)
