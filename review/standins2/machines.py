"""The cloud and its machines: each has a worker that speaks the protocol and runs tasks on the real clock."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .net import NETWORK_ERRORS, Client, Query, Server, free_ports
from .state import Bucket

MAX_REPORT_BYTES = 64 * 1024
# A worker waits this long for an answer, and drops one that comes later.
ANSWER_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5

Record = Callable[..., None]


@dataclass
class Upload:
    """What a user uploads of a job: the submission, and how long a task really runs."""

    spec: dict[str, Any]
    run_s: float
    cancelled_told_at: float | None = None
    done_tasks: set[int] = field(default_factory=set)
    # Progress that was saved, in seconds: of each task of an array, of a gang as a whole (under -1).
    progress: dict[int, float] = field(default_factory=dict)


class Gang:
    """One attempt of a gang: its tasks find one another here."""

    def __init__(self) -> None:
        self.tasks: dict[int, Task] = {}
        self.started_at: float | None = None
        self.base_s = 0.0
        self.stopped_at: float | None = None
        self.broken_at: float | None = None


class Task:
    """One attempt of a task on a machine."""

    def __init__(self, upload: Upload, index: int, attempt: int, worker: "Worker") -> None:
        self.upload, self.index, self.attempt, self.worker = upload, index, attempt, worker
        self.spec = upload.spec
        self.phase = "pulling"
        self.why: str | None = None
        self.stored = False
        self.created_at = time.monotonic()
        self.started_at = 0.0
        self.base_s = 0.0
        self.saving_until = 0.0

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return f"{self.spec['nameId']}/{self.index}"

    @property
    def on_machine(self) -> bool:
        """Whether the task has its image and has not exited."""
        return self.phase not in ("pulling", "exited")

    def row(self) -> dict[str, Any]:
        """The task as it is reported."""
        row: dict[str, Any] = {"hand": self.name, "launch": self.attempt, "bearing": self.phase}
        if self.phase == "exited":
            row["wreck"] = self.why
            if self.stored:
                row["stored"] = True
        return row


class Worker:
    """The worker of one machine."""

    def __init__(self, cloud: "Cloud", name: str, rental: dict[str, Any], port: int) -> None:
        self.cloud, self.name, self.rental = cloud, name, rental
        self.addr = f"127.0.0.1:{port}"
        self.kind = cloud.types[rental["build"]]
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.fetches: dict[str, float] = {}
        self.watch, self.knot, self.helm = 1, 0, 0
        self.warning_at: float | None = None
        self.gone = self.up = False
        # A cut worker reaches nobody and is reached by nobody.
        self.cut = False
        # A faulty machine fails every task that it starts.
        self.faulty = False
        # How fast the machine fetches images, as a factor of its type's rate.
        self.fetch_factor = cloud.fetch_factor
        self.began_at = self.answered_sent_at = time.monotonic()
        self.node = random.choice(sorted(cloud.fronts))
        self._client: Client | None = None
        self._changed = True
        self._last_report_at = 0.0
        self._token_counted_at = 0.0
        self._server = Server(self._handle)
        self._port = port

    async def run(self) -> None:
        """Report and step the tasks until the machine is gone."""
        await self._server.start(self._port)
        self.up = True
        stepping = asyncio.get_running_loop().create_task(self._step_forever())
        try:
            await self._report_forever()
        finally:
            stepping.cancel()
            self._server.stop()

    def end(self) -> None:
        """End the machine with all that is on it."""
        self.gone = True
        for task in list(self.tasks.values()):
            self._leave(task)
        self.tasks.clear()
        self._server.stop()

    # Reports

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.knot += 1
        warning = None if self.warning_at is None else max(0.0, self.warning_at - time.monotonic())
        return {
            "bollard": self.name,
            "addr": self.addr,
            "build": self.rental["build"],
            "harbor": self.rental["harbor"],
            "driftwood": self.rental["driftwood"],
            "watch": self.watch,
            "knot": self.knot,
            "helm": self.helm,
            "warningS": warning,
            "hands": [task.row() for task in self.tasks.values()],
        }

    async def _report_forever(self) -> None:
        while not self.gone:
            await self._report()
            due = time.monotonic() + self.cloud.report_s * random.uniform(0.75, 1.25)
            while not self.gone and time.monotonic() < due:
                if self._changed and time.monotonic() - self._last_report_at >= MIN_REPORT_GAP_S:
                    break
                await asyncio.sleep(0.05)

    async def _report(self) -> None:
        self._changed = False
        sent_at = self._last_report_at = time.monotonic()
        watch, value = self.watch, self.report()
        size = len(json.dumps(value, separators=(",", ":")))
        if size > MAX_REPORT_BYTES:
            # A body has a limit: what does not fit cannot be reported.
            self.cloud.record("report_too_large", worker=self.name, size=size, tasks=len(self.tasks))
            await asyncio.sleep(1.0)
            return
        if self._client is None:
            self._client = Client(self.cloud.fronts[self.node])
        try:
            if self.cut:
                await asyncio.sleep(ANSWER_TIMEOUT_S)
                raise TimeoutError
            answer = await self._client.call("POST", "/agent/beat", value, ANSWER_TIMEOUT_S)
            if self.cut:
                raise TimeoutError
        except NETWORK_ERRORS:
            await self._next_node(None)
            return
        if self.gone:
            return
        if answer.status == 200:
            self._accept(answer.value, len(answer.body), watch, sent_at)
        else:
            await self._next_node(answer.value.get("harbormaster") if answer.status == 421 else None)

    async def _next_node(self, leader: str | None) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None
        if leader in self.cloud.fronts and leader != self.node:
            self.node = leader
            await asyncio.sleep(random.uniform(0.0, 0.5))
        else:
            labels = sorted(self.cloud.fronts)
            self.node = labels[(labels.index(self.node) + 1) % len(labels)]
            await asyncio.sleep(1.0)
        self._changed = True

    def _accept(self, value: dict[str, Any], size: int, watch: int, sent_at: float) -> None:
        self.cloud.longest_answer = max(self.cloud.longest_answer, size)
        helm = value.get("helm")
        if helm is None or helm < self.helm or watch != self.watch:
            return
        self._see(helm)
        self.answered_sent_at = max(self.answered_sent_at, sent_at)
        self._carry_out(value.get("signals") or [])

    def _see(self, helm: int) -> None:
        if helm > self.helm:
            self.helm = helm
            if time.monotonic() - self._token_counted_at > self.cloud.lease_s / 2:
                self._token_counted_at = time.monotonic()
                self._changed = True

    async def _handle(self, method: str, path: str, query: Query, body: bytes) -> tuple[int, Any]:
        if self.cut or self.gone:
            await asyncio.sleep(60.0)
            return 503, {}
        if path == "/inspect":
            return 200, self.report()
        raw = json.loads(body)
        if raw.get("helm") is None or raw.get("watch") is None:
            return 400, {}
        if raw["helm"] < self.helm or raw["watch"] != self.watch:
            return 409, self.report()
        self._see(raw["helm"])
        self._carry_out(raw["signals"])
        return 200, self.report()

    # Commands

    def _carry_out(self, signals: list[dict[str, Any]]) -> None:
        for signal in signals:
            job, _, index = signal["hand"].rpartition("/")
            key, attempt = (job, int(index)), signal["launch"]
            if signal["signal"] == "start":
                self._start(key, attempt)
            elif signal["signal"] == "kill":
                self._kill(key, attempt, signal.get("slackS") or 0.0)
            else:
                task = self.tasks.get(key)
                if task is not None and task.attempt == attempt and task.phase == "exited":
                    del self.tasks[key]
                    self._changed = True

    def _start(self, key: tuple[str, int], attempt: int) -> None:
        present = self.tasks.get(key)
        if present is not None and present.attempt == attempt:
            return
        upload = self.cloud.uploads.get(key[0])
        self._changed = True
        if upload is None or not 0 <= key[1] < upload.spec["hands"]:
            self.cloud.record("unknown_start", worker=self.name, task=f"{key[0]}/{key[1]}")
            return
        if present is not None and present.phase != "exited":
            self.cloud.record("busy", worker=self.name, task=present.name, attempt=attempt)
            return
        task = self.tasks[key] = Task(upload, key[1], attempt, self)
        self.cloud.starts += 1
        self.cloud.record("start", worker=self.name, task=task.name, attempt=attempt)
        live = [other for other in self.tasks.values() if other.phase != "exited"]
        for need, have in (("cores", "cores"), ("accelerators", "accelerators"), ("memGb", "memGb")):
            if sum(other.spec[need] for other in live) > self.kind[have] + 1e-6:
                self._exit(task, "no_room")
                return
        if task.spec["hull"] not in self.images:
            rate = self.kind["fetchGbPerS"] * self.fetch_factor
            if task.spec["hull"] not in self.fetches:
                self.fetches[task.spec["hull"]] = time.monotonic() + task.spec["imageGb"] / rate
                self.cloud.record(
                    "fetch", worker=self.name, image=task.spec["hull"], takes_s=task.spec["imageGb"] / rate
                )

    def _kill(self, key: tuple[str, int], attempt: int, slack_s: float) -> None:
        task = self.tasks.get(key)
        if task is None or task.attempt != attempt or task.phase == "exited":
            return
        if task.phase == "saving":
            if slack_s == 0:
                self._exit(task, "stopped")
            return
        can_save = task.spec["mooringS"] > 0 and slack_s >= task.spec["stowS"]
        if task.phase == "running" and can_save:
            now = time.monotonic()
            task.phase, task.saving_until = "saving", now + task.spec["stowS"]
            gang = self.cloud.gang_of(task)
            if gang is not None and gang.stopped_at is None:
                gang.stopped_at = now
            self._changed = True
            return
        self._exit(task, "stopped")

    # Tasks

    async def _step_forever(self) -> None:
        while not self.gone:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - max(self.answered_sent_at, self.began_at) > self.cloud.lease_s:
                self._expire(now)
            self._step_fetches(now)
            for task in list(self.tasks.values()):
                if task.phase != "exited":
                    self._step(task, now)

    def _step_fetches(self, now: float) -> None:
        """Complete fetches, and give up those that no task waits for any more."""
        for image in [image for image, ready_at in self.fetches.items() if now >= ready_at]:
            del self.fetches[image]
            self.images.add(image)
        self._give_up_fetches()

    def _give_up_fetches(self) -> None:
        wanted = {task.spec["hull"] for task in self.tasks.values() if task.phase == "pulling"}
        for image in self.fetches.keys() - wanted:
            missing_s = self.fetches.pop(image) - time.monotonic()
            self.cloud.record("fetch_given_up", worker=self.name, image=image, missing_s=missing_s)

    def _expire(self, now: float) -> None:
        if self.tasks:
            self.cloud.record("lease_expired", worker=self.name, tasks=len(self.tasks))
        for task in list(self.tasks.values()):
            self._leave(task)
        self.tasks.clear()
        self.watch += 1
        self.began_at = self.answered_sent_at = now
        self._changed = True

    def _step(self, task: Task, now: float) -> None:
        gang = self.cloud.gang_of(task)
        if task.phase == "pulling":
            if task.spec["hull"] in self.images:
                self._arrive(task, gang, now)
        elif self.faulty and now - task.started_at > 0.5:
            self._exit(task, "error")
        elif gang is not None:
            self._step_gang(task, gang, now)
        elif task.phase == "running":
            if task.spec["rig"] != "daemon" and task.base_s + now - task.started_at >= task.upload.run_s:
                self._exit(task, "done")
        elif task.phase == "saving" and now >= task.saving_until:
            task.upload.progress[task.index] = task.base_s + task.saving_until - task.spec["stowS"] - task.started_at
            task.stored = True
            self._exit(task, "stopped")

    def _arrive(self, task: Task, gang: Gang | None, now: float) -> None:
        """Begin to run once the image is there; a gang's task waits for the others."""
        self._changed = True
        self.cloud.arrived(task)
        if task.index in task.upload.done_tasks:
            task.phase = "running"
            self._exit(task, "done")
            return
        if gang is not None:
            task.phase, task.started_at = "waiting", now
            gang.tasks[task.index] = task
            if len(gang.tasks) == task.spec["hands"] and gang.started_at is None:
                gang.started_at, gang.base_s = now, task.upload.progress.get(-1, 0.0)
                for mate in gang.tasks.values():
                    mate.phase, mate.worker._changed = "running", True
            return
        task.phase, task.started_at = "running", now
        task.base_s = task.upload.progress.get(task.index, 0.0)

    def _step_gang(self, task: Task, gang: Gang, now: float) -> None:
        if gang.started_at is None:
            if now - task.started_at > self.cloud.gang_wait_s:
                self._exit(task, "alone")
            return
        if task.phase == "saving":
            self._step_saving_gang(task, gang, now)
        elif gang.broken_at is not None and now - gang.broken_at > self.cloud.gang_peer_s / 2:
            self._exit(task, "mates_gone")
        elif gang.stopped_at is not None:
            if now - gang.stopped_at > self.cloud.gang_peer_s:
                self._exit(task, "mates_gone")
        elif gang.broken_at is None and gang.base_s + now - gang.started_at >= task.upload.run_s:
            task.upload.done_tasks.update(gang.tasks)
            for mate in list(gang.tasks.values()):
                mate.worker._exit(mate, "done")

    def _step_saving_gang(self, task: Task, gang: Gang, now: float) -> None:
        assert gang.started_at is not None and gang.stopped_at is not None
        if now < task.saving_until:
            return
        mates = list(gang.tasks.values())
        if gang.broken_at is None and all(mate.phase == "saving" for mate in mates):
            task.upload.progress[-1] = gang.base_s + gang.stopped_at - gang.started_at
            for mate in mates:
                mate.stored = True
                mate.worker._exit(mate, "stopped")
        elif gang.broken_at is not None or now - gang.stopped_at > self.cloud.gang_peer_s:
            self._exit(task, "stopped")

    def _exit(self, task: Task, why: str) -> None:
        if task.phase == "exited":
            return
        self._leave(task, why)
        task.phase, task.why = "exited", why
        self._give_up_fetches()
        if why == "done":
            task.upload.done_tasks.add(task.index)
        self.cloud.record("exit", worker=self.name, task=task.name, attempt=task.attempt, why=why)
        self._changed = True

    def _leave(self, task: Task, why: str = "gone") -> None:
        """Note that a task leaves the machine; save what a task saves by itself; tell the rest of its gang."""
        now, spec = time.monotonic(), task.spec
        gang = self.cloud.gang_of(task)
        interval = spec["mooringS"]
        if gang is not None and gang.tasks.get(task.index) is task:
            if gang.started_at is None:
                del gang.tasks[task.index]
            elif gang.broken_at is None and why != "done" and not task.stored:
                gang.broken_at = now
                if interval > 0 and gang.stopped_at is None:
                    reached = gang.base_s + now - gang.started_at
                    task.upload.progress[-1] = max(gang.base_s, reached // interval * interval)
        elif task.phase == "running" and interval > 0 and gang is None and why != "done":
            reached = task.base_s + now - task.started_at
            task.upload.progress[task.index] = max(task.base_s, reached // interval * interval)
        if task.on_machine:
            self.cloud.left(task)


class Cloud:
    """Rents machines; also the place where uploads, gangs and what runs where are known."""

    def __init__(self, kinds: list[dict[str, Any]], settings: dict[str, Any], record: Record) -> None:
        self.types = {kind["label"]: kind for kind in kinds}
        workers = settings["workers"]
        self.report_s, self.lease_s = workers["report_s"], workers["lease_s"]
        self.gang_wait_s, self.gang_peer_s = workers["gang_wait_s"], workers["gang_peer_s"]
        self.cancel_s, self.lag_s = workers["cancel_s"], settings["cloud"]["list_lag_s"]
        self.record = record
        self.fronts: dict[str, str] = {}
        self.uploads: dict[str, Upload] = {}
        self.workers: dict[str, Worker] = {}
        self.gangs: dict[tuple[str, int], Gang] = {}
        # What is on machines: for each task, the machines that hold it.
        self.holders: dict[tuple[str, int], list[Task]] = {}
        self.broken: list[str] = []
        self.longest_answer = self.starts = 0
        # "At times machines are up within a second or two."
        self.boot_s: tuple[float, float] = (1.0, 2.0)
        self.most_machines = 30
        # For machines rented from now on, as a factor of the nominal rate.
        self.fetch_factor = 1.0
        self.down = False
        self._charters: dict[str, list[str]] = {}
        self._listed: list[tuple[float, list[dict[str, Any]]]] = []
        self._rps = Bucket(settings["cloud"]["rps"], 2.0)
        # Who sent what, and who led by the state service's word: time, method, path, sender, leader.
        self.calls: list[tuple[float, str, str, str, str | None]] = []
        self.leader: Callable[[], str | None] = lambda: None
        self._servers: list[Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._last = 0

    async def start(self, ports: dict[str, int]) -> None:
        """Listen on a port for each controller, and take the list of machines again and again."""
        for label, port in ports.items():

            async def handle(
                method: str, path: str, query: Query, body: bytes, label: str = label
            ) -> tuple[int, Any]:
                self.calls.append((time.monotonic(), method, path, label, self.leader()))
                return await self.handle(method, path, query, body)

            server = Server(handle)
            await server.start(port)
            self._servers.append(server)
        self._spawn(self._take_lists())

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _take_lists(self) -> None:
        while True:
            now = time.monotonic()
            rows = [
                {
                    "nameId": worker.name,
                    "addr": worker.addr,
                    "build": worker.rental["build"],
                    "harbor": worker.rental["harbor"],
                    "driftwood": worker.rental["driftwood"],
                    "bearing": "running" if now >= worker.rental["up_at"] else "starting",
                    "ageS": now - worker.rental["rented_at"],
                }
                for worker in self.workers.values()
                if not worker.gone
            ]
            self._listed.append((now, rows))
            while len(self._listed) > 1 and self._listed[1][0] <= now - self.lag_s:
                del self._listed[0]
            await asyncio.sleep(0.5)

    async def handle(self, method: str, path: str, query: Query, body: bytes) -> tuple[int, Any]:
        """Answer one request."""
        if self.down:
            return 503, {"error": "trouble"}
        if not self._rps.take(1):
            return 429, {"error": "too many requests"}
        if path == "/machine_types":
            return 200, {"builds": list(self.types.values())}
        if path == "/rentals/return":
            for name in json.loads(body)["bollards"]:
                self.take(name, "returned")
            return 200, {}
        if method == "POST":
            return self._rent(json.loads(body))
        taken_at, rows = self._listed[0]
        if time.monotonic() - taken_at < self.lag_s * 0.5:
            rows = []
        return 200, {"bollards": [row for row in rows if row["nameId"] > query.get("from", "")], "truncated": False}

    def _rent(self, raw: dict[str, Any]) -> tuple[int, Any]:
        names = self._charters.get(raw["charter"])
        if names is None:
            live = sum(not worker.gone for worker in self.workers.values())
            count = min(raw["howMany"], self.most_machines - live)
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = self._charters[raw["charter"]] = [self._boot(raw) for _ in range(count)]
        return 200, {"bollards": names}

    def _boot(self, raw: dict[str, Any]) -> str:
        self._last += 1
        name = f"vm-{self._last:06d}"
        now = time.monotonic()
        up_at = now + random.uniform(*self.boot_s)
        rental = {key: raw[key] for key in ("build", "harbor", "driftwood")} | {"rented_at": now, "up_at": up_at}
        worker = self.workers[name] = Worker(self, name, rental, free_ports(1)[0])
        self.record("rented", worker=name, build=raw["build"], harbor=raw["harbor"], spot=raw["driftwood"])
        self._spawn(self._boot_later(worker, up_at - now))
        return name

    async def _boot_later(self, worker: Worker, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        if not worker.gone:
            worker.began_at = worker.answered_sent_at = time.monotonic()
            await worker.run()

    def warn(self, name: str, notice_s: float) -> None:
        """Give notice that a machine is taken in `notice_s` seconds, and take it then."""
        worker = self.workers[name]
        worker.warning_at = time.monotonic() + notice_s
        worker._changed = True
        self.record("notice", worker=name, seconds=notice_s)
        self._spawn(self._take_later(name, notice_s))

    async def _take_later(self, name: str, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        self.take(name, "taken_back")

    def take(self, name: str, why: str) -> None:
        """End a machine."""
        worker = self.workers.get(name)
        if worker is not None and not worker.gone:
            self.record(why, worker=name, tasks=[task.name for task in worker.tasks.values() if task.on_machine][:8])
            worker.end()

    def gang_of(self, task: Task) -> Gang | None:
        """Return the attempt of a gang that a task belongs to."""
        if task.spec["rig"] != "group":
            return None
        return self.gangs.setdefault((task.spec["nameId"], task.attempt), Gang())

    # The rules about what runs where

    def arrived(self, task: Task) -> None:
        """Note that a task starts on its machine, and check the rules for starts."""
        key = (task.spec["nameId"], task.index)
        holders = self.holders.setdefault(key, [])
        others = [other for other in holders if other.worker is not task.worker]
        if others:
            self.break_rule("ran_twice", f"{task.name} starts on {task.worker.name}, is on {others[0].worker.name}")
        self._check_place(task)
        holders.append(task)
        told_at = task.upload.cancelled_told_at
        if told_at is not None and time.monotonic() - told_at > self.cancel_s:
            self.break_rule("ran_cancelled", f"{task.name} starts {time.monotonic() - told_at:.1f} s after")
        for need in task.spec.get("tows") or ():
            upload = self.uploads[need]
            if len(upload.done_tasks) < upload.spec["hands"]:
                self.break_rule("too_early", f"{task.name} starts before {need} is done")

    def _check_place(self, task: Task) -> None:
        spec, rental = task.spec, task.worker.rental
        zones = [
            other.worker.rental["harbor"]
            for (job, _), held in self.holders.items()
            if job == spec["nameId"]
            for other in held
        ]
        zones.append(rental["harbor"])
        wrong = (
            (spec["builds"] and rental["build"] not in spec["builds"])
            or (spec["harbor"] and rental["harbor"] != spec["harbor"])
            or (rental["driftwood"] and not spec["driftwood"])
            or (spec["together"] and len(set(zones)) > 1)
            or (spec["spread"] and zones.count(rental["harbor"]) > -(-spec["hands"] // 2))
        )
        if wrong:
            self.break_rule("wrong_place", f"{task.name} on {task.worker.name}, zones {zones}")

    def left(self, task: Task) -> None:
        """Note that a task has left its machine."""
        holders = self.holders.get((task.spec["nameId"], task.index), [])
        if task in holders:
            holders.remove(task)

    def break_rule(self, rule: str, text: str) -> None:
        """Note a broken rule."""
        self.broken.append(f"{rule}: {text}")
        self.record("BROKEN", rule=rule, text=text)

    def check(self, limits: dict[str, tuple[float, float]]) -> None:
        """Check the rules that hold at every moment: limits of teams, and tasks of cancelled jobs."""
        now = time.monotonic()
        used: dict[str, list[float]] = {}
        for held in self.holders.values():
            for task in held:
                sums = used.setdefault(task.spec["crew"], [0.0, 0.0])
                sums[0] += task.spec["cores"]
                sums[1] += task.spec["accelerators"]
                told_at = task.upload.cancelled_told_at
                if told_at is not None and now - told_at > self.cancel_s and not task.worker.gone:
                    self.break_rule("ran_cancelled", f"{task.name} on {task.worker.name} {now - told_at:.1f} s after")
        for crew, sums in used.items():
            for total, most in zip(sums, limits.get(crew, (0.0, 0.0)), strict=True):
                if most > 0 and total > most + 1e-6:
                    self.break_rule("quota", f"{crew}: {total} of {most}")
