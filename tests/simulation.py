"""Deterministic simulation of a site: real controllers with leader election, connected by in-process messages.

All messages among controllers, store, cloud, workers and users pass through `Simulation`, which can lose, delay,
duplicate and reject them. Time is virtual, and a run repeats exactly for a seed on any machine. The invariants are
those of `reference_model.ReferenceModel`.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

from driftcleat import wire
from driftcleat.controller.assembly import Factories
from driftcleat.controller.controller import Controller
from driftcleat.controller.network import SharedNetwork
from driftcleat.leadership import Role
from driftcleat.net import HttpError
from driftcleat.placement.candidates import satisfies_constraints, spread_limit, task_capacity
from driftcleat.settings import Tuning
from driftcleat.settings.platform import Platform, parse_platform
from driftcleat.store.records import ScaleOutRecord
from driftcleat.wire.job_spec_parsing import parse_submission
from driftcleat.wire.users import JobKind, JobSpec
from driftcleat.wire.workers import Command, CommandAction, Heartbeat, HeartbeatResponse

from .protocol_doubles import StoreDouble
from .reference_model import InvariantViolationError, ReferenceModel
from .reference_worker import ReferenceWorker, WorkerTask
from .samples import MACHINE_TYPES, raw_settings
from .simulated_clients import simulated_clients, simulated_listener
from .virtual_time import VirtualTimeLoop

LABELS = ("a", "b", "c")


class SimulatedController(Controller):
    """A real controller whose clients and listeners use no sockets."""

    def __init__(self, simulation: "Simulation", platform: Platform, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        network = SharedNetwork(simulated_clients(simulation, platform, loop.time), simulated_listener())
        super().__init__(platform, Tuning(), rng, loop.time, loop.time, Factories(network=lambda *_: network))


def downgrade_peer_message(body: bytes) -> bytes:
    """Return a peer message as the previous version sends it: `ask` and `ping` without the data version."""
    message = json.loads(body)
    return json.dumps(message[:2] if message[0] in ("ask", "ping") else message).encode()


class SimulatedWorker(ReferenceWorker):
    """A worker of the simulation; if `outbound_cut`, it reaches no controller, while direct commands reach it."""

    outbound_cut = False
    # The only controller that the worker can reach, if its zone is partitioned from the others.
    only_controller: str | None = None

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        # Commands that arrived while the machine hung; executed when it resumes.
        self.queued_commands: list[tuple[int, int, list[Command]]] = []


class Simulation(ReferenceModel):
    """Three controllers, workers, cloud, store and users, with faults that can be combined."""

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
        super().__init__(seed, self.platforms["a"], dict(MACHINE_TYPES))
        self.store_double = StoreDouble(self.store)
        self.controllers: dict[str, SimulatedController] = {}
        self.processes: dict[str, asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        # Partitions: pairs of controllers, and by service (store, workers, users) the controllers cut off from it.
        self.partitioned_links: set[frozenset[str]] = set()
        self.partitioned_from: dict[str, set[str]] = {"store": set(), "workers": set(), "users": set()}
        # Fractions of transactions that get no response and are applied late, and of commands that are delayed.
        self.late_write_rate = self.delayed_command_rate = 0.0
        # Controllers whose transactions are applied at once while the responses are lost.
        self.lost_responses: set[str] = set()
        self.store_delay_s = 0.0
        # Seconds from the moment at which a transaction is applied until its response arrives.
        self.commit_response_delay_s = 0.0
        # Seconds, give or take half, that a heartbeat takes to its controller.
        self.heartbeat_delay_s = 0.0
        # Whether connections between controllers are refused.
        self.refuses_peers = False
        self.worker_controllers: dict[str, str] = {}
        self.submitted_ids: set[str] = set()
        self.max_machines = 14
        # The number of machines, from the first one on, that fail every task that they start.
        self.faulty_machines = 0
        # The last invariant violation or other exception raised outside of the scenario; raised again by `advance`.
        self.failure: BaseException | None = None
        # Controllers that do not announce support for data version 2, as the previous version.
        self.old_version_controllers: set[str] = set()
        self.starts_after_cancel: list[str] = []
        self.cancelled: set[str] = set()
        self.started_jobs: set[str] = set()

    # Running

    def run_scenario(self, scenario: Callable[["Simulation"], Awaitable[None]]) -> None:
        """Start the controllers, wait for a leader and run a scenario; an invariant violation ends it."""

        async def run() -> None:
            for label in LABELS:
                self.start(label)
            ticking = asyncio.ensure_future(self._tick())
            try:
                await self.run_until(self.leader_label)
                await asyncio.sleep(1.0)
                await scenario(self)
                if ticking.done():
                    ticking.result()
            finally:
                for task in [ticking, *self.processes.values(), *self.tasks]:
                    task.cancel()
                await asyncio.gather(ticking, *self.processes.values(), *self.tasks, return_exceptions=True)

        loop = VirtualTimeLoop()
        try:
            loop.run_until_complete(run())
        finally:
            loop.close()

    async def advance(self, seconds: float) -> None:
        """Let `seconds` of virtual time pass; raise the invariant violation or error that occurred meanwhile."""
        await asyncio.sleep(seconds)
        if self.failure is not None:
            raise self.failure

    async def run_until(self, condition: Callable[[], Any], timeout_s: float = 120.0) -> Any:
        """Let virtual time pass until a condition is true; return its value, fail after `timeout_s` seconds."""
        end = self.time() + timeout_s
        while not (value := condition()):
            assert self.time() < end, f"timed out waiting for {getattr(condition, '__name__', condition)}"
            await self.advance(0.05)
        return value

    async def _tick(self) -> None:
        try:
            while True:
                self.now = self.time()
                for worker in list(self.workers.values()):
                    if not worker.hung and worker.queued_commands:  # type: ignore[attr-defined]
                        for command in worker.queued_commands:  # type: ignore[attr-defined]
                            worker.receive_commands(*command)
                        worker.queued_commands = []  # type: ignore[attr-defined]
                    worker.step()
                if self.fetch_gb_per_s is not None:
                    self.step_gangs()
                for _, task in self.tasks_on_machines():
                    self.check_cancelled(task.job.id)
                await asyncio.sleep(self.STEP_S)
        except InvariantViolationError as error:
            self.failure = error
            raise

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run an awaitable concurrently with the scenario; `advance` raises its exception."""

        async def watched() -> None:
            try:
                await work
            except Exception as error:
                self.failure = error

        task = asyncio.ensure_future(watched())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Controllers

    def start(self, label: str) -> None:
        """Start a new process of a controller."""
        controller = SimulatedController(self, self.platforms[label], random.Random(self.rng.random()))
        self.controllers[label] = controller
        self.processes[label] = asyncio.ensure_future(controller.run())

    def crash(self, *labels: str) -> None:
        """Crash the processes of controllers: cancel them and their background tasks."""
        for label in labels:
            process = self.processes.pop(label, None)
            if process is not None:
                process.cancel()
                self.tasks.add(process)
                process.add_done_callback(self.tasks.discard)
                for task in self.controllers[label].background.tasks:
                    task.cancel()

    def leader_label(self) -> str | None:
        """Return the label of the controller that may decide as the leader, or None."""
        return next(
            (label for label in sorted(self.processes) if self.controllers[label].may_decide),
            None,
        )

    def is_up(self, label: str) -> bool:
        """Return whether a controller's process runs and serves requests."""
        return label in self.processes and self.controllers[label].is_serving

    def role(self, label: str) -> Role:
        """Return the role of a controller in the election."""
        return self.controllers[label].election.role

    def partition(self, *labels: str) -> None:
        """Partition these controllers from the other controllers, not from one another."""
        for label in labels:
            self.partitioned_links.update(frozenset((label, other)) for other in LABELS if other not in labels)

    def isolate(self, label: str) -> None:
        """Partition a controller from the state service and the other controllers, not from its workers or users."""
        self.partition(label)
        self.partitioned_from["store"].add(label)

    def heal(self) -> None:
        """End all faults: heal partitions and outages, resume machines, restart controllers that are down."""
        self.partitioned_links.clear()
        for labels in self.partitioned_from.values():
            labels.clear()
        self.late_write_rate = self.delayed_command_rate = self.store_delay_s = self.duplicate_rate = 0.0
        self.commit_response_delay_s = 0.0
        self.refuses_peers = False
        self.cloud_up = True
        self.store_double.heal()
        for worker in self.workers.values():
            worker.hung = worker.partitioned = worker.fails_tasks = worker.inbound_cut = worker.outbound_cut = False  # type: ignore[attr-defined]
            worker.only_controller = None  # type: ignore[attr-defined]
        for label in LABELS:
            if label not in self.processes:
                self.start(label)

    def lower_limits(self) -> None:
        """Apply the lower size limits and write rate that the settings announce for the state service."""
        self.store.lower_limits()
        self.store_double.write_rps, self.store_double.write_tokens, self.store_double.tokens_refilled_at = (
            self.platform.write_rps,
            0.0,
            self.time(),
        )

    # Messages

    async def wait_forever(self) -> Any:
        """Wait longer than any timeout, in place of a response that never arrives."""
        await asyncio.sleep(1e6)

    async def to_store(
        self, label: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Deliver a request to the state service and return its response."""
        await asyncio.sleep(0.004 + self.store_delay_s * self.rng.uniform(0.5, 1.5))
        if label in self.partitioned_from["store"]:
            await self.wait_forever()
        if (
            path == "/txn"
            and not self.store_double.is_unavailable_to(label)
            and self.rng.random() < self.late_write_rate
        ):
            self.spawn(self._carry_out_late(body))
            await self.wait_forever()
        status, value = await self.store_double.respond(label, method, path, query, body)
        if path == "/txn" and self.commit_response_delay_s:
            await asyncio.sleep(self.commit_response_delay_s * self.rng.uniform(0.5, 1.5))
        if label in self.partitioned_from["store"] or (
            path == "/txn" and label in self.lost_responses and status != 503
        ):
            await self.wait_forever()
        return status, json.dumps(value).encode()

    async def _carry_out_late(self, body: bytes) -> None:
        await asyncio.sleep(self.rng.uniform(2.0, 12.0))
        while "all" in self.store_double.down_for:
            await asyncio.sleep(0.5)
        self.store_double.expire_leases()
        self.store_double.txn(body)

    async def to_peer(self, sender: str, address: str, body: bytes, path: str = "/peer") -> tuple[int, bytes]:
        """Deliver a message to another controller and return its response."""
        label = address.partition(":")[0]
        await asyncio.sleep(0.002)
        if frozenset((sender, label)) in self.partitioned_links:
            await self.wait_forever()
        if self.refuses_peers or not self.is_up(label):
            raise HttpError("refused")
        if sender in self.old_version_controllers:
            body = downgrade_peer_message(body)
        response = await self.controllers[label].handle_back("POST", path, body)
        if frozenset((sender, label)) in self.partitioned_links:
            await self.wait_forever()
        if not self.is_up(label):
            raise HttpError("reset")
        return response.status, response.body

    async def to_worker(self, sender: str, addr: str, body: bytes) -> tuple[int, bytes]:
        """Deliver commands directly to a worker and return its response, a heartbeat."""
        await asyncio.sleep(0.002)
        worker = self.workers.get(addr.partition(":")[0])
        if (
            worker is None
            or worker.terminated
            or worker.partitioned
            or worker.inbound_cut
            or sender in self.partitioned_from["workers"]
            or getattr(worker, "only_controller", None) not in (None, sender)
        ):
            await self.wait_forever()
        assert worker is not None
        raw = json.loads(body)
        commands = wire.convert(raw["signals"], list[Command])
        if any(command.action == CommandAction.START for command in commands):
            # The network may deliver it late, or a copy of it: the attempt would start anew after it was forgotten.
            self.failure = InvariantViolationError(f"start sent outside of a heartbeat response to {worker.name}")
        if worker.hung:
            worker.queued_commands.append((raw["helm"], raw["watch"], commands))  # type: ignore[attr-defined]
            await self.wait_forever()
        if self.rng.random() < self.delayed_command_rate:
            await asyncio.sleep(self.rng.choice([2.0, 5.0, 15.0]))
        refused = raw["helm"] < worker.fencing_token or raw["watch"] != worker.worker_epoch
        worker.receive_commands(raw["helm"], raw["watch"], commands)
        return (409 if refused else 200), wire.encode(worker.next_heartbeat())

    def send_heartbeat(self, worker: ReferenceWorker, heartbeat: Heartbeat, sent_at: float) -> None:
        """Send a heartbeat to the worker's current controller; without a usable response it changes to another."""
        self.spawn(self._send_heartbeat(worker, heartbeat, sent_at))

    async def _send_heartbeat(self, worker: Any, heartbeat: Heartbeat, sent_at: float) -> None:
        label = worker.only_controller or self.worker_controllers.setdefault(worker.name, self.rng.choice(LABELS))
        body = wire.encode(heartbeat)
        if self.rng.random() < self.duplicate_rate:
            self.spawn(self._send_duplicate(body))
        response: Any = None
        await asyncio.sleep(0.002)
        if self.heartbeat_delay_s:
            await asyncio.sleep(self.heartbeat_delay_s * self.rng.uniform(0.5, 1.5))
        if (
            not worker.partitioned
            and not worker.outbound_cut
            and label not in self.partitioned_from["workers"]
            and self.is_up(label)
        ):
            try:
                response = await asyncio.wait_for(
                    self.controllers[label].handle_front("POST", "/agent/beat", body), 4
                )
            except TimeoutError:
                response = None
            if worker.partitioned or worker.inbound_cut or not self.is_up(label):
                response = None
        elif self.is_up(label):
            # No response arrives: the worker times out after 4 s.
            await asyncio.sleep(4)
        if self.rng.random() < self.delayed_command_rate:
            await asyncio.sleep(self.rng.choice([1.0, 2.0, 5.0]))
        while worker.hung:
            await asyncio.sleep(0.2)
        if response is not None and response.status == 200:
            reply = wire.decode(response.body, HeartbeatResponse)
            self.deliver_response(worker, heartbeat, reply, sent_at)
            if reply.fencing_token >= worker.fencing_token:
                return
        leader = (
            json.loads(response.body).get("harbormaster") if response is not None and response.status == 421 else None
        )
        others = [other for other in LABELS if other != label]
        self.worker_controllers[worker.name] = leader if leader in LABELS else self.rng.choice(others)
        if worker.awaiting_response_since == sent_at:
            worker.awaiting_response_since, worker.next_heartbeat_at = None, self.time() + 0.5

    def deliver_response(
        self, worker: ReferenceWorker, heartbeat: Heartbeat, reply: HeartbeatResponse, sent_at: float
    ) -> None:
        """Deliver the response to a heartbeat that the worker sent at `sent_at`."""
        worker.receive_response(
            heartbeat.worker_epoch, heartbeat.sequence, reply.fencing_token, reply.commands, sent_at
        )

    async def _send_duplicate(self, body: bytes) -> None:
        """Deliver a duplicate of a heartbeat 2 to 60 s late to all controllers that are up; drop the responses."""
        await asyncio.sleep(self.rng.choice([2.0, 6.0, 20.0, 60.0]))
        for label in LABELS:
            if self.is_up(label):
                await self.controllers[label].handle_front("POST", "/agent/beat", body)

    async def to_cloud(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Deliver a request to the cloud and return its response."""
        await asyncio.sleep(0.02)
        if not self.cloud_up:
            return 503, b'{"error":"trouble"}'
        if path == "/machine_types":
            return 200, wire.encode({"builds": list(self.types.values())})
        if path == "/rentals/return":
            for name in json.loads(body)["bollards"]:
                worker = self.workers.get(name)
                if worker is not None:
                    worker.terminated = True
                    worker.tasks.clear()
            return 200, b"{}"
        if method == "POST":
            raw = json.loads(body)
            if raw["charter"] not in self.scale_out_results:
                room = min(raw["howMany"], 3, self.max_machines - len(self.alive()))
                if room <= 0:
                    return 503, b'{"error":"no capacity"}'
                record = ScaleOutRecord(raw["build"], raw["harbor"], raw["driftwood"], raw["howMany"], 0.0)
                self.scale_out_results[raw["charter"]] = tuple(self.boot(record) for _ in range(room))
            return 200, wire.encode({"bollards": self.scale_out_results[raw["charter"]]})
        rows = self.listed_machines(lambda name: f"{name}:1")
        return 200, wire.encode({"bollards": rows, "truncated": False})

    def boot(self, record: ScaleOutRecord) -> str:
        """Add a running machine and return its name."""
        self.machines_created += 1
        name = f"vm-{self.machines_created:06d}"
        worker = SimulatedWorker(self, name, self.types[record.machine_type], record.zone, record.spot)
        worker.fails_tasks = self.machines_created <= self.faulty_machines
        self.workers[name] = worker
        return name

    # Users

    async def request(self, method: str, path: str, body: Any = None, label: str | None = None) -> tuple[int, Any]:
        """Send a user's request to a controller; return status and body, or status 0 without a response."""
        open_to_users = [
            other for other in LABELS if self.is_up(other) and other not in self.partitioned_from["users"]
        ]
        if label is None and open_to_users:
            label = self.rng.choice(open_to_users)
        if label not in open_to_users:
            return 0, None
        data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        try:
            response = await asyncio.wait_for(
                self.controllers[label].handle_front(method, path, data), 2.0 if method == "GET" else 5.0
            )
        except TimeoutError:
            return 0, None
        if not self.is_up(label):
            return 0, None
        return response.status, json.loads(response.body) if response.body else None

    def submit_until_accepted(self, raw: dict[str, Any], label: str | None = None) -> asyncio.Task[Any]:
        """Submit a job as a user does, with up to 60 attempts until it is accepted; return the task that does so."""
        spec: JobSpec = parse_submission(raw)
        self.specs[spec.id] = spec
        self.submitted_ids.add(spec.id)

        async def submitting() -> None:
            for _ in range(60):
                status, response = await self.request("POST", "/v1/jobs", raw, label)
                if status in (200, 201):
                    if spec.id not in self.statuses:
                        self.statuses[spec.id] = "pending"
                    if response["bearing"] in ("done", "cancelled"):
                        self.record_status(spec.id, response["bearing"])
                    return
                if status in (400, 422) and spec.id in self.statuses:
                    raise InvariantViolationError(
                        f"forgotten: {spec.id} was accepted and is now rejected with {status}"
                    )
                await asyncio.sleep(1.0)

        return self.spawn(submitting())

    def cancel_until_confirmed(self, job_id: str, label: str | None = None) -> asyncio.Task[Any]:
        """Cancel a job as a user does, with retries until it is confirmed; return the task that does so."""

        async def cancelling() -> None:
            while True:
                status, response = await self.request("POST", f"/v1/jobs/{job_id}/cancel", label=label)
                if status == 200:
                    self.record_status(job_id, response["bearing"])
                    return
                if status == 404 and job_id in self.statuses:
                    raise InvariantViolationError(f"forgotten: {job_id}")
                await asyncio.sleep(1.0)

        self.cancelled.add(job_id)
        return self.spawn(cancelling())

    def record_status(self, job_id: str, state: str) -> None:
        """Record a status sent to a user and check that it agrees with what tasks did and users received before."""
        before = self.statuses.get(job_id)
        if before in ("done", "cancelled") and state != before:
            raise InvariantViolationError(f"went_back: {job_id} changed from {before} to {state}")
        cancelled_at = self.first_cancelled_at(job_id)
        if state == "cancelled":
            if cancelled_at is None and self.cancelled.isdisjoint(self.with_dependencies(job_id)):
                raise InvariantViolationError(
                    f"went_back: {job_id} is reported as cancelled, but no user cancelled it"
                )
            self.cancelled_at.setdefault(job_id, self.time())
        elif state != "done" and cancelled_at is not None and self.time() > cancelled_at + self.platform.cancel_s:
            raise InvariantViolationError(
                f"orphaned: {job_id} is reported as {state} although a dependency is cancelled"
            )
        if state == "done":
            missing = [index for index in range(self.specs[job_id].tasks) if (job_id, index) not in self.finished]
            if missing:
                raise InvariantViolationError(f"not_done: {job_id} is reported as done, but tasks {missing} are not")
        self.statuses[job_id] = state

    cancelled: set[str]

    async def wait_until_done(self, job_id: str, timeout_s: float) -> None:
        """Poll an accepted job until it is done; fail after `timeout_s` seconds."""
        end = self.time() + timeout_s
        while self.statuses.get(job_id) != "done":
            assert self.time() < end, f"{job_id} is {self.statuses.get(job_id)} after {timeout_s:.0f} s"
            await self.poll(job_id)
            await self.advance(1.0)

    async def poll(self, job_id: str, label: str | None = None) -> int:
        """Request a job's status once; return the HTTP status, or 0 if no response arrived."""
        status, response = await self.request("GET", f"/v1/jobs/{job_id}", label=label)
        if status == 200:
            if job_id not in self.submitted_ids:
                raise InvariantViolationError(f"invented: {job_id} was never submitted")
            if job_id in self.statuses:
                self.record_status(job_id, response["bearing"])
        elif status == 404 and job_id in self.statuses:
            raise InvariantViolationError(f"forgotten: {job_id}")
        return status

    def check_start(self, worker: ReferenceWorker, task: WorkerTask) -> None:
        """Check a starting task as the reference model does, and record starts after a confirmed cancellation."""
        self.started_jobs.add(task.job.id)
        if task.job.id in self.cancelled_at:
            self.starts_after_cancel.append(f"{task.job.id}/{task.index} on {worker.name}")
        try:
            super().check_start(worker, task)
        except InvariantViolationError as error:
            # Also raised by `advance`: the code that delivered the command may catch the exception.
            self.failure = error
            raise

    def _check_starvation(self, waiting_since: dict[str, float]) -> None:
        """Raise if a job waits for more than 90 s while a machine has room for a task and its team has quota left."""
        live = self.tasks_on_machines()
        for job_id, state in self.statuses.items():
            spec = self.specs[job_id]
            team = self.platform.teams[spec.team]
            used = sum(task.job.gpus for _, task in live if task.job.team == spec.team)
            at_once = spec.tasks if spec.kind is JobKind.GANG else 1
            if (
                state in ("done", "cancelled")
                or job_id in self.cancelled
                or any(self.statuses.get(dependency) != "done" for dependency in spec.dependencies or ())
                or any(task.job.id == job_id for _, task in live)
                or used + spec.gpus * at_once > team.gpus_max + 1e-6
                or not self._have_room(spec, at_once)
            ):
                waiting_since.pop(job_id, None)
            elif self.time() - waiting_since.setdefault(job_id, self.time()) > 90.0:
                raise InvariantViolationError(f"left waiting: {job_id} although a machine has room for it")

    def _have_room(self, spec: JobSpec, tasks: int) -> bool:
        """Return whether machines that meet a job's constraints have room for so many of its tasks at once."""
        by_zone: dict[str, int] = {}
        for worker in self.alive():
            by_zone[worker.zone] = by_zone.get(worker.zone, 0) + self._room_on(worker, spec)
        if spec.single_zone:
            return any(room >= tasks for room in by_zone.values())
        return sum(min(room, spread_limit(spec)) for room in by_zone.values()) >= tasks

    def _room_on(self, worker: ReferenceWorker, spec: JobSpec) -> int:
        """Return for how many tasks of a job a machine has room; 0 if it does not meet the job's constraints."""
        if not satisfies_constraints(spec, worker.machine_type.name, worker.zone, worker.spot):
            return 0
        tasks = [task.job for task in worker.tasks.values() if task.state != "exited"]
        return task_capacity(
            spec,
            worker.machine_type.cpus - sum(job.cpus for job in tasks),
            worker.machine_type.gpus - sum(job.gpus for job in tasks),
            worker.machine_type.memory_gb - sum(job.memory_gb for job in tasks),
            spec.tasks,
        )

    async def verify_recovery(self) -> None:
        """End all faults; check that statuses are served within 75 s, no job starves for 90 s and all jobs end."""
        self.heal()
        healed_at = self.time()
        open_jobs = set(self.statuses)
        while open_jobs:
            if self.time() > healed_at + 75.0:
                raise InvariantViolationError(f"forgotten: no status of {sorted(open_jobs)}")
            open_jobs -= {job_id for job_id in sorted(open_jobs) if await self.poll(job_id) == 200}
            await self.advance(1.0)
        end = healed_at + 600.0
        waiting_since: dict[str, float] = {}
        spec_of = self.specs
        while self.time() < end:
            await self.advance(5.0)
            self._check_starvation(waiting_since)
            for job_id, state in sorted(self.statuses.items()):
                if state not in ("done", "cancelled"):
                    await self.poll(job_id)
                    if spec_of[job_id].kind is JobKind.SERVICE and job_id not in self.cancelled:
                        # Services run, and use their team's quota, until they are cancelled.
                        self.cancel_until_confirmed(job_id)
            if set(self.statuses.values()) <= {"done", "cancelled"} and not self.tasks_on_machines():
                return
        left = {job_id: state for job_id, state in self.statuses.items() if state not in ("done", "cancelled")}
        raise InvariantViolationError(f"left waiting: {left}, {len(self.tasks_on_machines())} tasks on machines")
