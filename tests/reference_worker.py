"""A worker that follows the protocol between workers and controllers, driven step by step by a reference model."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobKind, JobSpec
from driftcleat.wire.workers import Command, Heartbeat, TaskStatus, parse_task_name

if TYPE_CHECKING:
    from .reference_model import ReferenceModel


@dataclass
class WorkerTask:
    """A task on a worker, until the worker is told to forget it."""

    job: JobSpec
    index: int
    attempt: int
    state: str
    exit_reason: str | None = None
    checkpoint_saved: bool = False
    ends_at: float = 0.0
    # Since when it waits for the rest of its gang, and since when a task of its running gang is missing.
    waiting_since: float = 0.0
    incomplete_since: float | None = None

    @property
    def has_started(self) -> bool:
        """Whether it has its image and, in a gang, all tasks have started together."""
        return self.state not in ("pulling", "waiting")


class ReferenceWorker:
    """A worker that follows the protocol between workers and controllers."""

    def __init__(self, model: "ReferenceModel", name: str, machine_type: MachineType, zone: str, spot: bool) -> None:
        self.model, self.name, self.machine_type, self.zone, self.spot = model, name, machine_type, zone, spot
        self.worker_epoch, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int, int], WorkerTask] = {}
        self.lease_renewed_at = model.now
        # `partitioned`: no message passes either way.
        # `inbound_cut`: its heartbeats arrive, but responses and commands do not reach it.
        self.terminated = self.hung = self.partitioned = self.fails_tasks = self.inbound_cut = False
        self.next_heartbeat_at = model.now
        self.awaiting_response_since: float | None = None
        self.heartbeat_sent_at = model.now
        self.last_sent_state: Any = None
        # Images on the machine, and when the fetches of others will be complete.
        self.images: set[str] = set()
        self.fetches: dict[str, float] = {}
        # Seconds after which the cloud takes the machine away, as the worker reports it.
        self.termination_notice_s: float | None = None

    def observable_state(self) -> Any:
        """Return the state whose change makes the worker send a heartbeat before the next one is due."""
        return (self.worker_epoch, self.fencing_token, [(key, task.state) for key, task in self.tasks.items()])

    def next_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state and the next sequence number."""
        self.sequence += 1
        return Heartbeat(
            self.name,
            f"{self.name}:1",
            self.machine_type.name,
            self.zone,
            self.spot,
            self.worker_epoch,
            self.sequence,
            self.fencing_token,
            termination_notice_s=self.termination_notice_s,
            tasks=tuple(
                TaskStatus(
                    f"{task.job.id}/{task.index}",
                    task.attempt,
                    task.state,
                    task.exit_reason,
                    task.checkpoint_saved or None,
                )
                for task in self.tasks.values()
            ),
        )

    def receive_response(
        self, worker_epoch: int, sequence: int, fencing_token: int, commands: list[Command], sent_at: float
    ) -> None:
        """Process a heartbeat response unless it is late or carries the fencing token of an earlier leader."""
        if (
            self.terminated
            or worker_epoch != self.worker_epoch
            or self.awaiting_response_since != sent_at
            or self.model.now > sent_at + 4
        ):
            return
        self.awaiting_response_since = None
        if fencing_token < self.fencing_token:
            return
        self.fencing_token = fencing_token
        self.lease_renewed_at = sent_at
        self.execute_commands(commands)

    def receive_commands(self, fencing_token: int, worker_epoch: int, commands: list[Command]) -> None:
        """Execute commands that a controller sent directly, if fencing token and worker epoch are current."""
        if self.terminated or fencing_token < self.fencing_token or worker_epoch != self.worker_epoch:
            return
        self.fencing_token = fencing_token
        self.execute_commands(commands)

    def execute_commands(self, commands: list[Command]) -> None:
        """Execute commands in the given order."""
        for command in commands:
            split = parse_task_name(command.task)
            assert split is not None
            key = (*split, command.attempt)
            task = self.tasks.get(key)
            if command.action == "start" and task is None:
                self.start(key)
            elif command.action == "kill" and task is not None and task.state != "exited":
                if (
                    task.state == "running"
                    and task.job.checkpoint_interval_s > 0
                    and (command.grace_period_s or 0) >= task.job.checkpoint_duration_s
                ):
                    task.state, task.ends_at = "saving", self.model.now + task.job.checkpoint_duration_s
                elif not (task.state == "saving" and command.grace_period_s):
                    self.exit_task(task, "stopped")
            elif command.action == "forget" and task is not None and task.state == "exited":
                del self.tasks[key]
        self.abandon_fetches()

    def abandon_fetches(self) -> None:
        """Give up the fetches of images for which no task waits any more."""
        wanted = {task.job.image for task in self.tasks.values() if task.state == "pulling"}
        self.fetches = {image: done_at for image, done_at in self.fetches.items() if image in wanted}

    def restart(self) -> None:
        """Restart the machine at once: its tasks are lost and a new worker epoch begins."""
        self.tasks.clear()
        self.worker_epoch += 1
        self.lease_renewed_at, self.awaiting_response_since = self.model.now, None

    def start(self, key: tuple[str, int, int]) -> None:
        """Start a task; it exits at once if the same task still runs here or the machine has no room for it."""
        job = self.model.specs[key[0]]
        task = WorkerTask(job, key[1], key[2], "running")
        self.tasks[key] = task
        live = [other for other in self.tasks.values() if other.state != "exited" and other is not task]
        if any(other.job.id == job.id and other.index == key[1] for other in live):
            task.state, task.exit_reason = "exited", "busy"
        elif (
            sum(other.job.cpus for other in live) + job.cpus > self.machine_type.cpus + 1e-6
            or sum(other.job.gpus for other in live) + job.gpus > self.machine_type.gpus + 1e-6
        ):
            task.state, task.exit_reason = "exited", "no_room"
        else:
            self.model.check_start(self, task)
            if self.model.fetch_gb_per_s is None:
                self.run_task(task)
            else:
                task.state = "pulling"
                if job.image not in self.images:
                    fetch_s = job.image_gb / self.model.fetch_gb_per_s(self.name)
                    self.fetches.setdefault(job.image, self.model.now + fetch_s)

    def run_task(self, task: WorkerTask) -> None:
        """Begin the run time of a task."""
        task.state = "running"
        task.ends_at = self.model.now + task.job.estimated_run_s * self.model.rng.uniform(0.3, 1.5)

    def step_fetches_and_gangs(self) -> None:
        """Complete fetches, and let gang tasks wait for the others, start with them or exit without them."""
        now = self.model.now
        done = {image for image, done_at in self.fetches.items() if done_at <= now}
        self.images |= done
        for task in list(self.tasks.values()):
            if task.state == "pulling" and task.job.image in self.images:
                task.state, task.waiting_since = "waiting", now
                if (task.job.id, task.index) in self.model.finished:
                    # The result of a completed task is kept.
                    task.state, task.exit_reason = "exited", "done"
                elif task.job.kind is not JobKind.GANG:
                    self.run_task(task)
            elif task.state == "waiting" and now - task.waiting_since > self.model.platform.gang_wait_s:
                self.exit_task(task, "alone")
        self.abandon_fetches()

    def exit_task(self, task: WorkerTask, reason: str) -> None:
        """End a task; the other tasks of its gang attempt end with it."""
        had_started = task.has_started
        task.state, task.exit_reason = "exited", reason
        if reason == "done" and task.job.kind is JobKind.GANG and self.model.fetch_gb_per_s is not None:
            # A gang completes as a whole, also a task that is lost at that moment.
            self.model.finished.update((task.job.id, index) for index in range(task.job.tasks))
        if reason == "done":
            self.model.finished.add((task.job.id, task.index))
        if task.job.kind is JobKind.GANG and had_started:
            for other in self.model.tasks_on_machines():
                if other[1].job.id == task.job.id and other[1].attempt == task.attempt and other[1].has_started:
                    other[0].exit_gang_task(other[1], "done" if reason == "done" else "mates_gone")

    def exit_gang_task(self, task: WorkerTask, reason: str) -> None:
        """End a gang's task because another task of the gang ended."""
        task.state, task.exit_reason = "exited", reason
        if reason == "done":
            self.model.finished.add((task.job.id, task.index))

    def step(self) -> None:
        """Process what is due at the model's time: lease expiry, exits of tasks, heartbeats."""
        now = self.model.now
        if self.terminated or self.hung:
            return
        if now - self.lease_renewed_at > self.model.platform.lease_s:
            self.tasks.clear()
            self.worker_epoch += 1
            self.lease_renewed_at, self.awaiting_response_since = now, None
        if self.model.fetch_gb_per_s is not None:
            self.step_fetches_and_gangs()
        for task in list(self.tasks.values()):
            if task.state == "saving" and now >= task.ends_at:
                task.checkpoint_saved = True
                self.exit_task(task, "stopped")
            elif task.state == "running" and now >= task.ends_at:
                if self.fails_tasks:
                    self.exit_task(task, "error")
                elif task.job.kind is not JobKind.SERVICE:
                    self.exit_task(task, "done")
        if self.awaiting_response_since is not None and now > self.awaiting_response_since + 4:
            self.awaiting_response_since, self.next_heartbeat_at = None, now + 1
        changed = self.observable_state() != self.last_sent_state and now >= self.heartbeat_sent_at + 0.5
        if self.awaiting_response_since is None and (now >= self.next_heartbeat_at or changed):
            self.awaiting_response_since = self.heartbeat_sent_at = now
            self.last_sent_state = self.observable_state()
            self.next_heartbeat_at = now + self.model.platform.report_s * self.model.rng.uniform(0.75, 1.25)
            self.model.send_heartbeat(self, self.next_heartbeat(), now)
