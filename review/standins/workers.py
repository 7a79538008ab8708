"""The workers and the cloud: machines that are rented, boot, report, and run tasks of arrays and services."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .web import Answer, NoAnswerError, Request, Server, ask

TICK_S = 0.02
MIN_REPORT_PAUSE_S = 0.5
ANSWER_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 1.0
COMMAND_BODY_FIELDS = ("helm", "watch")

Log = Callable[[str], None]
Key = tuple[str, int]


@dataclass
class Task:
    """One attempt of a task on a worker."""

    hand: str
    launch: int
    state: str
    ready_at: float
    ends_at: float
    wreck: str | None = None
    saved: bool | None = None


@dataclass
class Fleet:
    """What all workers share: the jobs' descriptions, the controllers' addresses, and what is observed."""

    settings: dict[str, Any]
    log: Log
    # Machine types by name, as the cloud lists them.
    types: dict[str, dict[str, Any]]
    # By job: its submission, and how long one of its tasks really runs.
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)
    # Tasks that run for another time than their job's others, by name.
    task_run_s: dict[str, float] = field(default_factory=dict)
    # Addresses of the controllers by label, as workers reach them.
    controllers: dict[str, str] = field(default_factory=dict)
    # When tasks started to run and when they ended, by job, in seconds of the monotonic clock.
    started: dict[str, list[float]] = field(default_factory=dict)
    completed: dict[str, list[float]] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    workers: "list[Worker]" = field(default_factory=list)
    # Tasks that started on one machine while they were on another.
    ran_twice: list[str] = field(default_factory=list)

    def check_start(self, worker: "Worker", started: "Task") -> None:
        """Note a task that starts while it is on another machine: has its image, and has not exited."""
        for other in self.workers:
            for task in other.tasks.values():
                if other is not worker and task.hand == started.hand and task.state in ("running", "saving"):
                    self.ran_twice.append(task.hand)
                    self.log(f"BROKEN ran_twice: {task.hand} starts on {worker.name} while it is on {other.name}")


class Worker:
    """One machine's worker."""

    def __init__(self, fleet: Fleet, name: str, build: str, zone: str, spot: bool) -> None:
        self.fleet, self.name, self.build, self.zone, self.spot = fleet, name, build, zone, spot
        self.server = Server(self._handle)
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[Key, Task] = {}
        self.images: set[str] = set()
        self.lease_from = time.monotonic()
        self.up_since = 0.0
        self.changed = True
        self.node: str | None = None
        self._sent_at = 0.0
        self._token_noted_at = float("-inf")
        self._jobs: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Come up: serve commands and begin to report."""
        await self.server.start()
        self.lease_from = self.up_since = time.monotonic()
        self.fleet.log(f"machine {self.name} is up")
        self.fleet.workers.append(self)
        self._jobs = [asyncio.ensure_future(self._run()), asyncio.ensure_future(self._report_loop())]

    def stop(self) -> None:
        """End with everything on the machine."""
        for job in self._jobs:
            job.cancel()
        self.server.stop()
        self.tasks.clear()

    def free(self) -> dict[str, float]:
        """Return what is free of each resource."""
        kind = self.fleet.types[self.build]
        left = {name: float(kind[name]) for name in ("cores", "accelerators", "memGb")}
        for task in self.tasks.values():
            if task.state != "exited":
                job = self.fleet.jobs[task.hand.rpartition("/")[0]]
                for name in left:
                    left[name] -= job[name]
        return left

    def beat(self) -> dict[str, Any]:
        """Return the next report."""
        self.sequence += 1
        hands = []
        for task in self.tasks.values():
            hand = {"hand": task.hand, "launch": task.launch, "bearing": task.state}
            if task.wreck is not None:
                hand["wreck"] = task.wreck
            if task.saved is not None:
                hand["stored"] = task.saved
            hands.append(hand)
        return {
            "bollard": self.name,
            "addr": self.server.address,
            "build": self.build,
            "harbor": self.zone,
            "driftwood": self.spot,
            "watch": self.session,
            "knot": self.sequence,
            "helm": self.token,
            "warningS": None,
            "hands": hands,
        }

    async def _handle(self, request: Request) -> Answer:
        if request.path == "/inspect":
            return Answer(200, self.beat())
        raw = request.json()
        if any(name not in raw for name in COMMAND_BODY_FIELDS):
            return Answer(400)
        if raw["helm"] < self.token or raw["watch"] != self.session:
            return Answer(409, self.beat())
        self._note_token(raw["helm"])
        self.carry_out(raw["signals"])
        return Answer(200, self.beat())

    def _note_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            now = time.monotonic()
            if now - self._token_noted_at > self.fleet.settings["workers"]["lease_s"] / 2:
                self._token_noted_at = now
                self.changed = True

    def carry_out(self, signals: list[dict[str, Any]]) -> None:
        """Carry out commands in order."""
        for signal in signals:
            key = (signal["hand"], signal["launch"])
            if signal["signal"] == "start":
                self._start(key)
            elif signal["signal"] == "forget" and key in self.tasks and self.tasks[key].state == "exited":
                del self.tasks[key]
            elif signal["signal"] == "kill" and key in self.tasks:
                self._kill(self.tasks[key], float(signal.get("slackS") or 0.0))

    def _start(self, key: Key) -> None:
        if key in self.tasks:
            return
        now = time.monotonic()
        hand, launch = key
        job = self.fleet.jobs.get(hand.rpartition("/")[0])
        task = Task(hand, launch, "exited", now, now, "unknown")
        if job is not None:
            if any(other.hand == hand and other.state != "exited" for other in self.tasks.values()):
                task.wreck = "busy"
            elif any(job[name] > left + 1e-6 for name, left in self.free().items()):
                task.wreck = "no_room"
            else:
                fetch_s = job["imageGb"] / self.fleet.types[self.build]["fetchGbPerS"]
                ready_s = 0.0 if job["hull"] in self.images else fetch_s
                run_s = self.fleet.task_run_s.get(hand, self.fleet.run_s[job["nameId"]])
                task = Task(hand, launch, "pulling", now + ready_s, now + ready_s + run_s)
        self.tasks[key] = task
        self.changed = True

    def _kill(self, task: Task, slack_s: float) -> None:
        job = self.fleet.jobs[task.hand.rpartition("/")[0]]
        if task.state == "exited" or (task.state == "saving" and slack_s > 0):
            return
        self.changed = True
        if task.state == "running" and job["mooringS"] > 0 and slack_s >= job["stowS"]:
            task.state, task.ends_at = "saving", time.monotonic() + job["stowS"]
            return
        self.fleet.log(f"task {task.hand} attempt {task.launch} is stopped on {self.name}")
        task.state, task.wreck = "exited", "stopped"

    async def _run(self) -> None:
        """Advance the tasks and the lease."""
        lease_s = self.fleet.settings["workers"]["lease_s"]
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if now - self.lease_from > lease_s:
                self.fleet.log(f"machine {self.name}: lease expired, session {self.session} ends")
                self.tasks.clear()
                self.session += 1
                self.lease_from = now
                self.changed = True
            for task in self.tasks.values():
                self._advance(task, now)

    def _advance(self, task: Task, now: float) -> None:
        job = task.hand.rpartition("/")[0]
        if task.state == "pulling" and now >= task.ready_at:
            self.images.add(self.fleet.jobs[job]["hull"])
            task.state, self.changed = "running", True
            self.fleet.check_start(self, task)
            self.fleet.started.setdefault(job, []).append(now)
            self.fleet.log(f"task {task.hand} attempt {task.launch} runs on {self.name}")
        elif task.state == "running" and now >= task.ends_at and self.fleet.jobs[job]["rig"] != "daemon":
            task.state, task.wreck, self.changed = "exited", "done", True
            self.fleet.completed.setdefault(job, []).append(now)
            self.fleet.log(f"task {task.hand} attempt {task.launch} completed on {self.name}")
        elif task.state == "saving" and now >= task.ends_at:
            task.state, task.wreck, task.saved, self.changed = "exited", "stopped", True, True
            self.fleet.log(f"task {task.hand} attempt {task.launch} saved and stopped on {self.name}")

    async def _report_loop(self) -> None:
        report_s = self.fleet.settings["workers"]["report_s"]
        while True:
            due = self._sent_at + report_s * self.fleet.rng.uniform(0.75, 1.25)
            while (now := time.monotonic()) < due and not (self.changed and now - self._sent_at > MIN_REPORT_PAUSE_S):
                await asyncio.sleep(TICK_S)
            await self._report()

    async def _report(self) -> None:
        labels = sorted(self.fleet.controllers)
        if self.node not in labels:
            self.node = self.fleet.rng.choice(labels)
        self._sent_at = sent_at = time.monotonic()
        self.changed = False
        session, body = self.session, self.beat()
        try:
            answer = await ask(self.fleet.controllers[self.node], "POST", "/agent/beat", body, ANSWER_TIMEOUT_S)
        except NoAnswerError:
            answer = Answer(0)
        if answer.status == 200:
            self._receive(answer.value, session, sent_at)
            return
        self.changed = True
        named = answer.value.get("harbormaster") if answer.status == 421 else None
        if named in labels and named != self.node:
            self.node = named
            await asyncio.sleep(self.fleet.rng.uniform(0.0, 0.5))
        else:
            self.node = labels[(labels.index(self.node) + 1) % len(labels)]
            await asyncio.sleep(RETRY_PAUSE_S)
        # The report that follows a refusal is due at once.
        self._sent_at = time.monotonic() - MIN_REPORT_PAUSE_S

    def _receive(self, value: dict[str, Any], session: int, sent_at: float) -> None:
        if session != self.session or int(value.get("helm") or 0) < self.token:
            return
        self._note_token(int(value["helm"]))
        self.lease_from = max(self.lease_from, sent_at)
        self.carry_out(value["signals"])


class Cloud:
    """Rents machines of the given types; the list lags as the settings say."""

    def __init__(self, fleet: Fleet, capacity: int) -> None:
        """Offer at most `capacity` machines of each type, zone and kind at once."""
        self.fleet, self.capacity = fleet, capacity
        # By machine type: the share of `startupS` that a machine takes to boot, if it is not 1.
        self.boot_ratios: dict[str, float] = {}
        self.server = Server(self.handle)
        self.workers: dict[str, Worker] = {}
        self._made: dict[str, tuple[str, float, Worker]] = {}
        self._gone_at: dict[str, float] = {}
        self._charters: dict[str, list[str]] = {}
        self._boots: set[asyncio.Task[None]] = set()

    def stop(self) -> None:
        """End all machines and the interface."""
        for boot in self._boots:
            boot.cancel()
        for worker in self.workers.values():
            worker.stop()
        self.server.stop()

    async def has_rented(self) -> bool:
        """Return whether any machine was rented."""
        return bool(self._made)

    async def handle(self, request: Request) -> Answer:
        """Answer one request."""
        if request.path == "/machine_types":
            return Answer(200, {"builds": list(self.fleet.types.values())})
        if request.path == "/rentals/return":
            return self._return(request.json()["bollards"])
        if request.path == "/rentals" and request.method == "POST":
            return self._rent(request.json())
        return self._list(request.query)

    def _rent(self, raw: dict[str, Any]) -> Answer:
        charter = raw["charter"]
        if charter not in self._charters:
            offer = (raw["build"], raw["harbor"], raw["driftwood"])
            here = [
                name
                for name, (_, _, worker) in self._made.items()
                if name not in self._gone_at and (worker.build, worker.zone, worker.spot) == offer
            ]
            count = min(int(raw["howMany"]), self.capacity - len(here))
            if count <= 0:
                return Answer(503, {"error": "no capacity"})
            names = [f"vm-{len(self._made) + number:06d}" for number in range(1, count + 1)]
            self._charters[charter] = names
            for name in names:
                worker = Worker(self.fleet, name, raw["build"], raw["harbor"], bool(raw["driftwood"]))
                self._made[name] = (charter, time.monotonic(), worker)
                boot = asyncio.ensure_future(self._boot(worker))
                self._boots.add(boot)
                boot.add_done_callback(self._boots.discard)
            self.fleet.log(f"cloud: rental {json.dumps(raw)} gives {names}")
        return Answer(200, {"bollards": self._charters[charter]})

    async def _boot(self, worker: Worker) -> None:
        await asyncio.sleep(self.fleet.types[worker.build]["startupS"] * self.boot_ratios.get(worker.build, 1.0))
        if worker.name not in self._gone_at:
            await worker.start()
            self.workers[worker.name] = worker

    def _return(self, names: list[str]) -> Answer:
        for name in names:
            if name in self._made and name not in self._gone_at:
                self._gone_at[name] = time.monotonic()
                running = [task.hand for task in self._made[name][2].tasks.values() if task.state != "exited"]
                self.fleet.log(f"cloud: {name} is returned, tasks on it: {running}")
                self._made[name][2].stop()
                self.workers.pop(name, None)
        return Answer(200)

    def _list(self, query: dict[str, str]) -> Answer:
        lag_s = self.fleet.settings["cloud"]["list_lag_s"]
        then = time.monotonic() - lag_s
        rows = []
        for name, (_, made_at, worker) in sorted(self._made.items()):
            if made_at > then or self._gone_at.get(name, float("inf")) <= then or name <= query.get("from", ""):
                continue
            up = worker.up_since and worker.up_since <= then
            rows.append(
                {
                    "nameId": name,
                    "addr": worker.server.address,
                    "build": worker.build,
                    "harbor": worker.zone,
                    "driftwood": worker.spot,
                    "bearing": "running" if up else "starting",
                    "ageS": then - made_at,
                }
            )
        page = int(query.get("page", "500"))
        return Answer(200, {"bollards": rows[:page], "truncated": len(rows) > page})
