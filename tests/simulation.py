"""A whole site on a clock of its own: real controllers, election and all, over messages that never leave the process.

Everything between controllers, store, cloud, workers and users passes through `Simulation`, which can lose, hold up,
repeat and refuse it. Time is virtual: a run repeats exactly for a seed, whatever the machine. The plain model of the
rules is that of `world.World`.
"""

import asyncio
import json
import random
import selectors
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from driftcleat import wire
from driftcleat.cloud.client import CloudClient
from driftcleat.controller.assembly import Factories
from driftcleat.controller.clients import ControllerClients, store_limits
from driftcleat.controller.controller import Controller
from driftcleat.controller.network import SharedNetwork
from driftcleat.leadership import Role
from driftcleat.net import ConnectionLimiter, HttpError, HttpResponse
from driftcleat.peers import PeerClient
from driftcleat.placement.candidates import allowed, fits
from driftcleat.settings import Tuning
from driftcleat.settings.platform import Platform, parse_platform
from driftcleat.store.client import StoreClient
from driftcleat.store.records import ScaleOutRecord
from driftcleat.wire.job_spec_parsing import parse_submission
from driftcleat.wire.users import JobKind, JobSpec
from driftcleat.wire.workers import Command, Heartbeat, HeartbeatResponse
from driftcleat.workers import WorkerClient

from .samples import TYPES, raw_settings
from .standins import StoreServer
from .world import PlainWorker, RuleBrokenError, Running, World

LABELS = ("a", "b", "c")


class _Instant(selectors.BaseSelector):
    """A selector that lets virtual time pass instead of waiting."""

    def __init__(self) -> None:
        self.inner = selectors.DefaultSelector()
        self.now = 0.0

    def register(self, *args: Any, **more: Any) -> Any:
        return self.inner.register(*args, **more)

    def unregister(self, *args: Any) -> Any:
        return self.inner.unregister(*args)

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        # Each turn takes a moment: what waits for the smallest fraction of a second would else wait for ever.
        self.now += max(timeout, 1e-6)
        return self.inner.select(0)

    def get_map(self) -> Any:
        return self.inner.get_map()

    def close(self) -> None:
        self.inner.close()


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock goes only when nothing is left to do."""

    def __init__(self) -> None:
        self.instant = _Instant()
        super().__init__(self.instant)

    def time(self) -> float:
        return 100.0 + self.instant.now


class _Store(StoreClient):
    """The store's client, its messages handed to the simulation."""

    simulation: "Simulation"
    label: str

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        params: dict[str, str] | None,
        timeout_s: float,
        urgent: bool,
    ) -> HttpResponse:
        answer = await asyncio.wait_for(
            self.simulation.to_store(self.label, method, path, params or {}, body or b""), timeout_s
        )
        return HttpResponse(*answer)


class _Cloud(CloudClient):
    simulation: "Simulation"
    label: str

    async def exchange(self, method: str, path: str, body: bytes | None) -> HttpResponse:
        return HttpResponse(
            *await asyncio.wait_for(self.simulation.to_cloud(method, path, body or b""), self.timeout_s)
        )


class _Peers(PeerClient):
    simulation: "Simulation"

    async def exchange(self, address: str, body: bytes, timeout_s: float) -> HttpResponse:
        return HttpResponse(
            *await asyncio.wait_for(self.simulation.to_peer(self.label, address, body, self.path), timeout_s)
        )


class _Workers(WorkerClient):
    simulation: "Simulation"
    label: str

    async def exchange(self, addr: str, body: bytes, timeout_s: float) -> HttpResponse:
        return HttpResponse(*await asyncio.wait_for(self.simulation.to_worker(self.label, addr, body), timeout_s))


def simulated_clients(simulation: "Simulation", platform: Platform, clock: Callable[[], float]) -> ControllerClients:
    """Return clients whose messages are handed to the simulation."""
    none: Any = SimpleNamespace()
    clients = ControllerClients(
        store=_Store(none, none, "", store_limits(platform), clock),
        cloud=_Cloud(none, "", platform.cloud_rps, platform.report_s, clock),
        workers=_Workers(none, platform.report_s, 64),
        peers=_Peers(none, platform),
    )
    for client in (clients.store, clients.cloud, clients.workers, clients.peers):
        belong_to(client, simulation, platform)
    return clients


def belong_to(client: Any, simulation: "Simulation", platform: Platform) -> None:
    """Have a client hand its messages to the simulation, as those of this controller."""
    client.simulation = simulation
    client.label = platform.label


def simulated_front() -> Any:
    """Return what a controller needs to see of a listener."""
    return SimpleNamespace(limiter=ConnectionLimiter(1000, lambda guest: None))


class SimulatedController(Controller):
    """The real controller without sockets."""

    def __init__(self, simulation: "Simulation", platform: Platform, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        network = SharedNetwork(simulated_clients(simulation, platform, loop.time), simulated_front())
        super().__init__(platform, Tuning(), rng, loop.time, loop.time, Factories(network=lambda *_: network))


def as_production_says(body: bytes) -> bytes:
    """Return a question of a controller without the data version behind its other elements."""
    message = json.loads(body)
    return json.dumps(message[:2] if message[0] in ("ask", "ping") else message).encode()


class SimulatedWorker(PlainWorker):
    """A worker; `mute`: it reaches no controller, direct commands reach it."""

    mute = False
    # The only controller within reach, if its zone is cut off.
    only: str | None = None

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        # Commands that arrived while it hung, and are carried out when it goes on.
        self.backlog: list[tuple[int, int, list[Command]]] = []


class Simulation(World):
    """Three controllers, workers, cloud, store and users, with every trouble that can meet another."""

    STEP_S = 0.1

    def __init__(self, seed: int, **limits: Any) -> None:
        raw = raw_settings()
        raw["deployment"]["state"].update(limits)
        self.platforms = {
            label: parse_platform(
                "simulation",
                raw
                | {
                    "label": label,
                    "domain": "south" if label == "c" else "north",
                    "known": [
                        {"label": other, "domain": "south" if other == "c" else "north", "address": f"{other}:1"}
                        for other in LABELS
                        if other != label
                    ],
                },
            )
            for label in LABELS
        }
        super().__init__(seed, self.platforms["a"], dict(TYPES))
        self.state = StoreServer(self.store)
        self.controllers: dict[str, SimulatedController] = {}
        self.processes: dict[str, asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        # Links that are cut: pairs of controllers, and controllers from store, workers or users.
        self.apart: set[frozenset[str]] = set()
        self.away_from: dict[str, set[str]] = {"store": set(), "workers": set(), "users": set()}
        # Shares of transactions that get no answer and are carried out late, of commands held up, of report copies.
        self.late_writes = self.held_commands = 0.0
        # Controllers whose transactions are carried out at once while the answers are lost.
        self.lost_answers: set[str] = set()
        self.slow_s = 0.0
        self.attached: dict[str, str] = {}
        self.wanted: set[str] = set()
        self.capacity = 14
        # The first rule that broke, or anything else that failed beside the story.
        self.broken: BaseException | None = None
        # Controllers that do not say that they can write more than the first data version.
        self.old: set[str] = set()
        self.starts_after_cancel: list[str] = []
        self.cancelled: set[str] = set()
        self.begun: set[str] = set()

    # -- running ------------------------------------------------------------------------------------------

    def play(self, story: Callable[["Simulation"], Awaitable[None]]) -> None:
        """Play a story from the first leader on; what breaks a rule ends it."""

        async def inside() -> None:
            for label in LABELS:
                self.start(label)
            ticking = asyncio.ensure_future(self._tick())
            try:
                await self.until(self.lead)
                await asyncio.sleep(1.0)
                await story(self)
                if ticking.done():
                    ticking.result()
            finally:
                for task in [ticking, *self.processes.values(), *self.tasks]:
                    task.cancel()
                await asyncio.gather(ticking, *self.processes.values(), *self.tasks, return_exceptions=True)

        loop = VirtualLoop()
        try:
            loop.run_until_complete(inside())
        finally:
            loop.close()

    async def rest(self, seconds: float) -> None:
        """Let time pass; a rule that broke meanwhile is raised here."""
        await asyncio.sleep(seconds)
        if self.broken is not None:
            raise self.broken

    async def until(self, condition: Callable[[], Any], most_s: float = 120.0) -> Any:
        """Let time pass until a condition holds."""
        end = self.time() + most_s
        while not (value := condition()):
            assert self.time() < end, f"never {getattr(condition, '__name__', condition)}"
            await self.rest(0.05)
        return value

    async def _tick(self) -> None:
        try:
            while True:
                self.now = self.time()
                for worker in list(self.workers.values()):
                    if not worker.hung and worker.backlog:  # type: ignore[attr-defined]
                        for order in worker.backlog:  # type: ignore[attr-defined]
                            worker.direct(*order)
                        worker.backlog = []  # type: ignore[attr-defined]
                    worker.step()
                for _, task in self.on_machines():
                    self.check_cancelled(task.job.id)
                await asyncio.sleep(self.STEP_S)
        except RuleBrokenError as error:
            self.broken = error
            raise

    def time(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run something beside the story."""

        async def watched() -> None:
            try:
                await work
            except Exception as error:
                self.broken = error

        task = asyncio.ensure_future(watched())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # -- controllers --------------------------------------------------------------------------------------

    def start(self, label: str) -> None:
        """Start a controller's process."""
        controller = SimulatedController(self, self.platforms[label], random.Random(self.rng.random()))
        self.controllers[label] = controller
        self.processes[label] = asyncio.ensure_future(controller.run())

    def end(self, *labels: str) -> None:
        """End processes without a word."""
        for label in labels:
            process = self.processes.pop(label, None)
            if process is not None:
                process.cancel()
                self.tasks.add(process)
                process.add_done_callback(self.tasks.discard)
                for task in self.controllers[label].background.tasks:
                    task.cancel()

    def lead(self) -> str | None:
        """Return who leads for certain."""
        return next(
            (label for label in sorted(self.processes) if self.controllers[label].may_decide),
            None,
        )

    def up(self, label: str) -> bool:
        """Whether a controller's process runs and is set up."""
        return label in self.processes and self.controllers[label].is_serving

    def role(self, label: str) -> Role:
        """Return a controller's role."""
        return self.controllers[label].election.role

    def part(self, *labels: str) -> None:
        """Cut controllers from the other controllers."""
        for label in labels:
            self.apart.update(frozenset((label, other)) for other in LABELS if other not in labels)

    def cut_off(self, label: str) -> None:
        """A controller loses the state service and the other controllers, not its workers or users."""
        self.part(label)
        self.away_from["store"].add(label)

    def heal(self) -> None:
        """All troubles end."""
        self.apart.clear()
        for labels in self.away_from.values():
            labels.clear()
        self.late_writes = self.held_commands = self.slow_s = self.copies = 0.0
        self.cloud_up = True
        self.state.heal()
        for worker in self.workers.values():
            worker.hung = worker.cut = worker.sick = worker.deaf = worker.mute = False  # type: ignore[attr-defined]
            worker.only = None  # type: ignore[attr-defined]
        for label in LABELS:
            if label not in self.processes:
                self.start(label)

    def lower_limits(self) -> None:
        """The state service takes less from now on."""
        self.store.lower()
        self.state.write_rps, self.state.level, self.state.filled_at = self.platform.write_rps, 0.0, self.time()

    # -- messages -----------------------------------------------------------------------------------------

    async def forever(self) -> Any:
        """No answer ever comes."""
        await asyncio.sleep(1e6)

    async def to_store(
        self, label: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Carry a request to the state service."""
        await asyncio.sleep(0.004 + self.slow_s * self.rng.uniform(0.5, 1.5))
        if label in self.away_from["store"]:
            await self.forever()
        if path == "/txn" and not self.state.refuses(label) and self.rng.random() < self.late_writes:
            self.spawn(self._carry_out_late(body))
            await self.forever()
        status, value = await self.state.answer(label, method, path, query, body)
        if label in self.away_from["store"] or (path == "/txn" and label in self.lost_answers and status != 503):
            await self.forever()
        return status, json.dumps(value).encode()

    async def _carry_out_late(self, body: bytes) -> None:
        await asyncio.sleep(self.rng.uniform(2.0, 12.0))
        while "all" in self.state.down_for:
            await asyncio.sleep(0.5)
        self.state.expire()
        self.state.txn(body)

    async def to_peer(self, sender: str, address: str, body: bytes, path: str = "/peer") -> tuple[int, bytes]:
        """Carry a message to another controller."""
        label = address.partition(":")[0]
        await asyncio.sleep(0.002)
        if frozenset((sender, label)) in self.apart:
            await self.forever()
        if not self.up(label):
            raise HttpError("refused")
        if sender in self.old:
            body = as_production_says(body)
        answer = await self.controllers[label].handle_back("POST", path, body)
        if frozenset((sender, label)) in self.apart:
            await self.forever()
        if not self.up(label):
            raise HttpError("reset")
        return answer.status, answer.body

    async def to_worker(self, sender: str, addr: str, body: bytes) -> tuple[int, bytes]:
        """Carry a direct command."""
        await asyncio.sleep(0.002)
        worker = self.workers.get(addr.partition(":")[0])
        if (
            worker is None
            or worker.gone
            or worker.cut
            or worker.deaf
            or sender in self.away_from["workers"]
            or getattr(worker, "only", None) not in (None, sender)
        ):
            await self.forever()
        assert worker is not None
        raw = json.loads(body)
        commands = wire.convert(raw["signals"], list[Command])
        if worker.hung:
            worker.backlog.append((raw["helm"], raw["watch"], commands))  # type: ignore[attr-defined]
            await self.forever()
        if self.rng.random() < self.held_commands:
            await asyncio.sleep(self.rng.choice([2.0, 5.0, 15.0]))
        refused = raw["helm"] < worker.token or raw["watch"] != worker.session
        worker.direct(raw["helm"], raw["watch"], commands)
        return (409 if refused else 200), wire.encode(worker.report())

    def send_report(self, worker: PlainWorker, heartbeat: Heartbeat, sent_at: float) -> None:
        """A worker reports to the controller it knows, and finds another if that one does not take it."""
        self.spawn(self._report(worker, heartbeat, sent_at))

    async def _report(self, worker: Any, heartbeat: Heartbeat, sent_at: float) -> None:
        label = worker.only or self.attached.setdefault(worker.name, self.rng.choice(LABELS))
        body = wire.encode(heartbeat)
        if self.rng.random() < self.copies:
            self.spawn(self._copy(body))
        answer: Any = None
        await asyncio.sleep(0.002)
        if not worker.cut and not worker.mute and label not in self.away_from["workers"] and self.up(label):
            try:
                answer = await asyncio.wait_for(self.controllers[label].handle_front("POST", "/agent/beat", body), 4)
            except TimeoutError:
                answer = None
            if worker.cut or worker.deaf or not self.up(label):
                answer = None
        elif self.up(label):
            # Nothing comes back: it gives up after its time.
            await asyncio.sleep(4)
        if self.rng.random() < self.held_commands:
            await asyncio.sleep(self.rng.choice([1.0, 2.0, 5.0]))
        while worker.hung:
            await asyncio.sleep(0.2)
        if answer is not None and answer.status == 200:
            response = wire.decode(answer.body, HeartbeatResponse)
            worker.answer(
                heartbeat.worker_epoch, heartbeat.sequence, response.fencing_token, response.commands, sent_at
            )
            if response.fencing_token >= worker.token:
                return
        leader = json.loads(answer.body).get("harbormaster") if answer is not None and answer.status == 421 else None
        others = [other for other in LABELS if other != label]
        self.attached[worker.name] = leader if leader in LABELS else self.rng.choice(others)
        if worker.waiting_answer == sent_at:
            worker.waiting_answer, worker.next_report = None, self.time() + 0.5

    async def _copy(self, body: bytes) -> None:
        """A copy of a report arrives late, at whoever leads by then; nobody waits for its answer."""
        await asyncio.sleep(self.rng.choice([2.0, 6.0, 20.0, 60.0]))
        for label in LABELS:
            if self.up(label):
                await self.controllers[label].handle_front("POST", "/agent/beat", body)

    async def to_cloud(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Carry a request to the cloud."""
        await asyncio.sleep(0.02)
        if not self.cloud_up:
            return 503, b'{"error":"trouble"}'
        if path == "/machine_types":
            return 200, wire.encode({"builds": list(self.types.values())})
        if path == "/rentals/return":
            for name in json.loads(body)["bollards"]:
                worker = self.workers.get(name)
                if worker is not None:
                    worker.gone = True
                    worker.tasks.clear()
            return 200, b"{}"
        if method == "POST":
            raw = json.loads(body)
            if raw["charter"] not in self.rentals_done:
                room = min(raw["howMany"], 3, self.capacity - len(self.alive()))
                if room <= 0:
                    return 503, b'{"error":"no capacity"}'
                record = ScaleOutRecord(raw["build"], raw["harbor"], raw["driftwood"], raw["howMany"], 0.0)
                self.rentals_done[raw["charter"]] = tuple(self.boot(record) for _ in range(room))
            return 200, wire.encode({"bollards": self.rentals_done[raw["charter"]]})
        rows = self.listed_machines(lambda name: f"{name}:1")
        return 200, wire.encode({"bollards": rows, "truncated": False})

    def boot(self, record: ScaleOutRecord) -> str:
        """A machine comes up."""
        self.rented += 1
        name = f"vm-{self.rented:06d}"
        self.workers[name] = SimulatedWorker(self, name, self.types[record.machine_type], record.zone, record.spot)
        return name

    # -- users --------------------------------------------------------------------------------------------

    async def ask(self, method: str, path: str, body: Any = None, label: str | None = None) -> tuple[int, Any]:
        """Send one user's request; 0 if no answer came."""
        open_to_users = [other for other in LABELS if self.up(other) and other not in self.away_from["users"]]
        if label is None and open_to_users:
            label = self.rng.choice(open_to_users)
        if label not in open_to_users:
            return 0, None
        data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        try:
            answer = await asyncio.wait_for(
                self.controllers[label].handle_front(method, path, data), 2.0 if method == "GET" else 5.0
            )
        except TimeoutError:
            return 0, None
        if not self.up(label):
            return 0, None
        return answer.status, json.loads(answer.body) if answer.body else None

    def hand_in(self, raw: dict[str, Any], label: str | None = None) -> asyncio.Task[Any]:
        """A user submits a job, and again until it is answered for good."""
        spec: JobSpec = parse_submission(raw)
        self.specs[spec.id] = spec
        self.wanted.add(spec.id)

        async def submitting() -> None:
            for _ in range(60):
                status, answer = await self.ask("POST", "/v1/jobs", raw, label)
                if status in (200, 201):
                    if spec.id not in self.told:
                        self.told[spec.id] = "pending"
                    if answer["bearing"] in ("done", "cancelled"):
                        self.hear(spec.id, answer["bearing"])
                    return
                if status in (400, 422) and spec.id in self.told:
                    raise RuleBrokenError(f"forgotten: {spec.id} got {status}")
                await asyncio.sleep(1.0)

        return self.spawn(submitting())

    def call_off(self, job_id: str, label: str | None = None) -> asyncio.Task[Any]:
        """A user cancels a job, and again until it is confirmed."""

        async def cancelling() -> None:
            while True:
                status, answer = await self.ask("POST", f"/v1/jobs/{job_id}/cancel", label=label)
                if status == 200:
                    self.hear(job_id, answer["bearing"])
                    return
                if status == 404 and job_id in self.told:
                    raise RuleBrokenError(f"forgotten: {job_id}")
                await asyncio.sleep(1.0)

        self.cancelled.add(job_id)
        return self.spawn(cancelling())

    def hear(self, job_id: str, bearing: str) -> None:
        """A user is told a job's state."""
        before = self.told.get(job_id)
        if before in ("done", "cancelled") and bearing != before:
            raise RuleBrokenError(f"went_back: {job_id} {before} -> {bearing}")
        above = self.cancelled_before(job_id)
        if bearing == "cancelled":
            if above is None and self.cancelled.isdisjoint(self.with_needs(job_id)):
                raise RuleBrokenError(f"went_back: {job_id} cancelled by nobody")
            self.cancelled_at.setdefault(job_id, self.time())
        elif bearing != "done" and above is not None and self.time() > above + self.platform.cancel_s:
            raise RuleBrokenError(f"orphaned: {job_id} is called {bearing}")
        if bearing == "done":
            missing = [index for index in range(self.specs[job_id].tasks) if (job_id, index) not in self.finished]
            if missing:
                raise RuleBrokenError(f"not_done: {job_id} lacks {missing}")
        self.told[job_id] = bearing

    cancelled: set[str]

    async def poll(self, job_id: str, label: str | None = None) -> int:
        """A user asks for a job once; return the status."""
        status, answer = await self.ask("GET", f"/v1/jobs/{job_id}", label=label)
        if status == 200:
            if job_id not in self.wanted:
                raise RuleBrokenError(f"invented: {job_id}")
            if job_id in self.told:
                self.hear(job_id, answer["bearing"])
        elif status == 404 and job_id in self.told:
            raise RuleBrokenError(f"forgotten: {job_id}")
        return status

    def check_start(self, worker: PlainWorker, task: Running) -> None:
        """As in the plain world; a start after a confirmed cancellation is noted too."""
        self.begun.add(task.job.id)
        if task.job.id in self.cancelled_at:
            self.starts_after_cancel.append(f"{task.job.id}/{task.index} on {worker.name}")
        try:
            super().check_start(worker, task)
        except RuleBrokenError as error:
            # Whoever carried the command must not be the one to swallow this.
            self.broken = error
            raise

    def _watch_waiting(self, passed_over: dict[str, float]) -> None:
        """No job waits for 90 s while a machine that fits has room and its team is under its limit."""
        live = self.on_machines()
        for job_id, state in self.told.items():
            spec = self.specs[job_id]
            team = self.platform.teams[spec.team]
            used = sum(task.job.gpus for _, task in live if task.job.team == spec.team)
            if (
                state in ("done", "cancelled")
                or job_id in self.cancelled
                or any(self.told.get(need) != "done" for need in spec.dependencies or ())
                or any(task.job.id == job_id for _, task in live)
                or (spec.kind is JobKind.GANG and spec.tasks > 1)
                or used + spec.gpus > team.gpus_max + 1e-6
                or not any(self._has_room(worker, spec) for worker in self.alive())
            ):
                passed_over.pop(job_id, None)
            elif self.time() - passed_over.setdefault(job_id, self.time()) > 90.0:
                raise RuleBrokenError(f"left waiting: {job_id} although there is room")

    def _has_room(self, worker: PlainWorker, spec: JobSpec) -> bool:
        """Whether a machine fits a task and has room for it."""
        tasks = [task.job for task in worker.tasks.values() if task.state != "exited"]
        return allowed(spec, worker.kind.name, worker.zone, worker.spot) and fits(
            spec,
            worker.kind.cpus - sum(job.cpus for job in tasks),
            worker.kind.gpus - sum(job.gpus for job in tasks),
            worker.kind.memory_gb - sum(job.memory_gb for job in tasks),
        )

    async def settle_down(self) -> None:
        """All troubles end: every question is answered within 75 s, and work that has room begins within 90 s."""
        self.heal()
        calm_at = self.time()
        open_jobs = set(self.told)
        while open_jobs:
            if self.time() > calm_at + 75.0:
                raise RuleBrokenError(f"forgotten: no answer about {sorted(open_jobs)}")
            open_jobs -= {job_id for job_id in sorted(open_jobs) if await self.poll(job_id) == 200}
            await self.rest(1.0)
        end = calm_at + 600.0
        passed_over: dict[str, float] = {}
        spec_of = self.specs
        while self.time() < end:
            await self.rest(5.0)
            self._watch_waiting(passed_over)
            for job_id, state in sorted(self.told.items()):
                if state not in ("done", "cancelled"):
                    await self.poll(job_id)
                    if spec_of[job_id].kind is JobKind.SERVICE and job_id not in self.cancelled:
                        # Services run, and hold their team's quota, until somebody calls them off.
                        self.call_off(job_id)
            if set(self.told.values()) <= {"done", "cancelled"} and not self.on_machines():
                return
        left = {job_id: state for job_id, state in self.told.items() if state not in ("done", "cancelled")}
        raise RuleBrokenError(f"left waiting: {left}, {len(self.on_machines())} tasks on machines")
