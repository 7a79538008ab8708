"""The leader's picture of one term: committed jobs, machines and their reports.

Nothing here does I/O. A report is taken in by `observe`, what it proves is put into a batch by `reconciliation`, the
batch is made visible by `commit`, and `commands` says what a worker is told.
"""

import logging
from collections.abc import Callable, Iterable

from driftcleat.cluster.batch import Batch
from driftcleat.cluster.dependencies import NO_DEADLINE, DependencyGraph, OwnPriority
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement
from driftcleat.cluster.machines import Machine, MachineState, transition_machine
from driftcleat.cluster.orphaned_tasks import OrphanedTasks
from driftcleat.cluster.usage import ResourceUsage
from driftcleat.wire import workers as wire_workers
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobStatus
from driftcleat.wire.workers import Heartbeat

log = logging.getLogger(__name__)

AttemptKey = tuple[str, int, int]


class ClusterState:
    """One term's picture."""

    def __init__(
        self,
        token: int,
        jobs: dict[str, Job],
        types: dict[str, MachineType],
        now: float,
        lease_s: float = 0.0,
        ended: dict[str, str] | None = None,
    ) -> None:
        """`ended` tells the final states of jobs that are over and that others need."""
        self.fencing_token, self.lease_s = token, lease_s
        self.jobs = jobs
        self.dependencies = DependencyGraph()
        # When a job that waited for others became ready, on this controller's clock.
        self.ready_at: dict[str, float] = {}
        # Cancelled jobs of which tasks may still be somewhere.
        self.cancelled_jobs: set[str] = set()
        self.machine_types = types
        self.machines: dict[str, Machine] = {}
        self.terminated_machines: dict[str, float] = {}
        self.team_usage: dict[str, ResourceUsage] = {}
        self.machines_to_reconcile: set[str] = set()
        self.orphaned_tasks = OrphanedTasks()
        self.retry_at: dict[str, float] = {}
        self.failure_counts: dict[str, int] = {}
        # Tasks of machines that have not reported in this term, by machine name.
        self.unconfirmed_placements: dict[str, dict[tuple[str, int], TaskPlacement]] = {}
        # Images that machines had under earlier leaders, until they report.
        self.image_hints: dict[str, list[tuple[str, float]]] = {}
        self.on_exit: Callable[[Machine, Job, str], None] = lambda machine, job, why: None
        self.on_image: Callable[[Machine], None] = lambda machine: None
        self.on_up: Callable[[], None] = lambda: None
        self.on_notice: Callable[[Machine, float], None] = lambda machine, notice_s: None
        for job in jobs.values():
            usage = self.team_usage.setdefault(job.spec.team, ResourceUsage())
            for index, placement in job.placements.items():
                usage.add(job.spec, 1)
                self.unconfirmed_placements.setdefault(placement.machine, {})[(job.id, index)] = placement
        for job in jobs.values():
            self._add_to_graph(job, ended or {})
        for job in jobs.values():
            if job.state is JobState.CANCELLED:
                self.dependencies.record_cancelled(job.id)
                self.cancelled_jobs.add(job.id)
        # Attempts that the batch under way takes off their machines.
        self.attempts_being_released: set[AttemptKey] = set()
        # Jobs whose cancellation may have been committed: nobody can say before the store answers again.
        self.unconfirmed_cancellations: set[str] = set()
        self.started_at = now

    # -- who waits for whom -------------------------------------------------------------------------------

    def _add_to_graph(self, job: Job, ended: dict[str, str]) -> None:
        """Take a job into the graph of needs."""
        needs = job.spec.dependencies or ()
        if job.state is not JobState.ACTIVE:
            return
        unmet = [need for need in needs if ended.get(need) != JobState.DONE.value]
        cancelled = any(ended.get(need) == JobState.CANCELLED.value for need in needs)
        self._record_priorities(self.dependencies.add(job.id, needs, unmet, _own_urgency(job), cancelled))

    def _record_priorities(self, changed: Iterable[str]) -> None:
        """Keep with each of these jobs how urgent it is."""
        for job_id in changed:
            job = self.jobs.get(job_id)
            if job is not None:
                inherited = self.dependencies.inherited_priority(job_id)
                job.priority_level = inherited.level
                job.start_deadline = inherited.deadline - job.spec.estimated_run_s

    def record_external_end(self, job_id: str, state: JobState, now: float) -> None:
        """A job that ours need, and that is homed elsewhere, has ended, or is certain to end as cancelled."""
        if state is JobState.DONE:
            for ready in self.dependencies.record_done(job_id):
                self.ready_at[ready] = now
        else:
            self.dependencies.record_cancelled(job_id)

    def dependencies_met(self, job: Job) -> bool:
        """Whether tasks of a job may be placed as far as other jobs go."""
        return self.dependencies.dependencies_met(job.id)

    # -- machines -----------------------------------------------------------------------------------------

    def register_machine(self, name: str, type_name: str, zone: str, spot: bool, addr: str, now: float) -> Machine:
        """Return the machine of that name, known from now on."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, self.machine_types.get(type_name), zone, spot, addr, now)
            self.machines[name] = machine
            for image, size_gb in self.image_hints.pop(name, ()):
                machine.record_image(image, size_gb)
                machine.fetched_images.add(image)
            for key, placement in self.unconfirmed_placements.pop(name, {}).items():
                job = self.jobs.get(key[0])
                if job is not None and job.placements.get(key[1]) == placement:
                    machine.add_task(key, placement, job.spec)
        if machine.type is None:
            machine.type = self.machine_types.get(type_name)
        if addr:
            machine.address = addr
        return machine

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """Take in a report; None if it is stale or from a machine that is proven gone."""
        if heartbeat.machine in self.terminated_machines:
            return None
        known = self.machines.get(heartbeat.machine)
        if known is not None and known.last_heartbeat is not None:
            last = (known.last_heartbeat.worker_epoch, known.last_heartbeat.sequence)
            if (heartbeat.worker_epoch, heartbeat.sequence) <= last:
                # A report held back by a cut: its task list is as old as itself.
                return None
        if known is not None and known.in_sync and _repeats(heartbeat, known.last_heartbeat):
            known.last_heartbeat, known.last_heartbeat_at = heartbeat, now
            return known
        machine = self.register_machine(
            heartbeat.machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, heartbeat.address, now
        )
        machine.in_sync = False
        self._count_unacknowledged(machine, heartbeat, now)
        if machine.state is MachineState.BOOTING:
            transition_machine(machine, MachineState.UP)
            machine.idle_since = now
            self.on_up()
        previous = machine.last_heartbeat
        machine.last_heartbeat, machine.last_heartbeat_at = heartbeat, now
        # Only a worker that has seen our token drops the answers of the leader before us: until then a
        # start of that leader may still reach it, and its report proves nothing about absent tasks.
        machine.fence_acknowledged = heartbeat.fencing_token == self.fencing_token
        self._read_tasks(machine, heartbeat, previous)
        if (
            heartbeat.termination_notice_s is not None
            and machine.fence_acknowledged
            and machine.state is MachineState.UP
        ):
            self.on_notice(machine, heartbeat.termination_notice_s)
        return machine

    def _count_unacknowledged(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Count reports that do not show what the answers to earlier ones said.

        Guards against a machine whose reports arrive while our answers do not reach it: it looks alive, its tasks
        ended with its lease, and starts were offered to it for ever.
        """
        if machine.last_answered is None:
            return
        lapsed = (
            machine.last_heartbeat is not None
            and heartbeat.worker_epoch > machine.last_heartbeat.worker_epoch
            and now - machine.last_heartbeat_at < self.lease_s
        )
        unresponsive = heartbeat.fencing_token < self.fencing_token or lapsed
        if not unresponsive and machine.starts_sent:
            listed = {
                (split[0], split[1], task.attempt)
                for task in heartbeat.tasks
                if (split := wire_workers.parse_task_name(task.task)) is not None
            }
            unresponsive = any(
                order < (heartbeat.worker_epoch, heartbeat.sequence)
                and attempt not in listed
                and attempt not in machine.observed_attempts
                for attempt, order in machine.starts_sent.items()
            )
        if not unresponsive:
            machine.unacknowledged_responses = 0
            return
        if not machine.unacknowledged_responses:
            machine.unacknowledged_since = now
        machine.unacknowledged_responses += 2 if lapsed else 1

    def _read_tasks(self, machine: Machine, heartbeat: Heartbeat, previous: Heartbeat | None) -> None:
        reported: dict[AttemptKey, str] = {}
        changed = (
            previous is None or previous.tasks != heartbeat.tasks or previous.worker_epoch != heartbeat.worker_epoch
        )
        if not changed:
            newly_trusted = previous is None or previous.fencing_token != heartbeat.fencing_token
            if machine.fence_acknowledged and (newly_trusted or self._may_prove_something(machine)):
                self.machines_to_reconcile.add(machine.name)
            return
        if previous is not None and previous.worker_epoch != heartbeat.worker_epoch:
            machine.task_phases.clear()
        live: set[tuple[str, int]] = set()
        for task in heartbeat.tasks:
            split = wire_workers.parse_task_name(task.task)
            if split is None:
                continue
            reported[(split[0], split[1], task.attempt)] = task.phase
            if task.phase != wire_workers.TaskPhase.EXITED:
                live.add(split)
                placement = machine.tasks.get(split)
                if placement is None or placement.attempt != task.attempt:
                    self.orphaned_tasks.record(split, machine.name)
                elif machine.task_phases.get(split) != task.phase:
                    machine.task_phases[split] = task.phase
                    log.debug("task %s on %s: %s", task.task, machine.name, task.phase)
                    image = self.image_of(split)
                    if (
                        task.phase != wire_workers.TaskPhase.FETCHING
                        and image is not None
                        and image not in machine.fetched_images
                    ):
                        machine.fetched_images.add(image)
                        self.on_image(machine)
        machine.reported_phases = reported
        self.orphaned_tasks.keep_only(machine.name, live)
        self.machines_to_reconcile.add(machine.name)

    def _may_prove_something(self, machine: Machine) -> bool:
        """Whether the newest report, although it lists the same tasks, may prove something."""
        return any(
            (key[0], key[1], placement.attempt) not in machine.reported_phases
            for key, placement in machine.tasks.items()
        ) or self.has_uncommitted_exits(machine)

    def image_of(self, key: tuple[str, int]) -> str | None:
        """Return the image of a task whose job is known."""
        job = self.jobs.get(key[0])
        return job.spec.image if job is not None else None

    def record_terminated(self, machine: Machine, now: float) -> None:
        """The cloud has confirmed that a machine and all on it is gone."""
        if machine.state is not MachineState.TERMINATING:
            transition_machine(machine, MachineState.TERMINATING)
        transition_machine(machine, MachineState.TERMINATED)
        self.terminated_machines[machine.name] = now
        self.orphaned_tasks.keep_only(machine.name, set())
        if machine.tasks:
            self.machines_to_reconcile.add(machine.name)
        else:
            del self.machines[machine.name]

    def may_be_on_machine(self, key: tuple[str, int], placement: TaskPlacement) -> bool:
        """Whether the newest report leaves it open that a placed task is on its machine.

        Guards against machines returned for cancelled tasks that are long gone, while the batch that would say so
        waits for the store.
        """
        machine = self.machines.get(placement.machine)
        if machine is None or machine.last_heartbeat is None or not machine.fence_acknowledged:
            return True
        attempt = (key[0], key[1], placement.attempt)
        state = machine.reported_phases.get(attempt)
        if state is None:
            offered = machine.starts_sent.get(attempt)
            return offered is not None and offered >= (
                machine.last_heartbeat.worker_epoch,
                machine.last_heartbeat.sequence,
            )
        return state != wire_workers.TaskPhase.EXITED

    def has_uncommitted_exits(self, machine: Machine) -> bool:
        """Whether the machine's newest report has exits that are not committed yet."""
        return not machine.in_sync and any(
            state == wire_workers.TaskPhase.EXITED
            and key[:2] in machine.tasks
            and machine.tasks[key[:2]].attempt == key[2]
            for key, state in machine.reported_phases.items()
        )

    # -- commit -------------------------------------------------------------------------------------------

    def apply_batch(self, batch: Batch, revision: int, now: float) -> None:
        """Make a batch that the store has taken visible."""
        for job_id in batch.changed_jobs:
            job = batch.jobs[job_id]
            if job_id in batch.changed_heads:
                job.mod_revision = revision
            for chunk in batch.changed_chunks.get(job_id, ()):
                job.chunk_mod_revisions[chunk] = revision
            self.jobs[job_id] = job
        self._apply_dependencies(batch, now)
        self._apply_task_transitions(batch, now)
        for job_id in batch.changed_jobs:
            self._apply_job_state(batch.jobs[job_id])
        for name in {
            placement.machine for _, _, old, new in batch.task_transitions for placement in (old, new) if placement
        }:
            machine = self.machines.get(name)
            if machine is not None and machine.state is MachineState.TERMINATED and not machine.tasks:
                del self.machines[name]

    def _apply_job_state(self, job: Job) -> None:
        """A job's state may have changed: its machines are told what follows, or it is over."""
        if job.state is JobState.CANCELLED:
            self.cancelled_jobs.add(job.id)
            self.mark_out_of_sync(job)
        elif job.state in (JobState.DONE, JobState.TERMINATED):
            self.cancelled_jobs.discard(job.id)
            del self.jobs[job.id]
            self.retry_at.pop(job.id, None)
            self.failure_counts.pop(job.id, None)

    def mark_out_of_sync(self, job: Job) -> None:
        """What a job's machines are told may differ now, although they report what they did before."""
        for placement in job.placements.values():
            machine = self.machines.get(placement.machine)
            if machine is not None:
                machine.in_sync = False

    def _apply_task_transitions(self, batch: Batch, now: float) -> None:
        """Count tasks where they are now, on their machines and in their team's usage."""
        for job_id, index, old, new in batch.task_transitions:
            job = batch.jobs[job_id]
            usage = self.team_usage.setdefault(job.spec.team, ResourceUsage())
            if old is None:
                usage.add(job.spec, 1)
            if new is None:
                usage.add(job.spec, -1)
            placement = new or old
            if placement is None:
                continue
            machine = self.machines.get(placement.machine)
            key = (job_id, index)
            if machine is None:
                waiting = self.unconfirmed_placements.setdefault(placement.machine, {})
                if new is None:
                    waiting.pop(key, None)
                else:
                    waiting[key] = new
            elif new is None:
                machine.remove_task(key, job.spec, now, self.image_of)
            else:
                machine.add_task(key, new, job.spec)

    def _apply_dependencies(self, batch: Batch, now: float) -> None:
        """Bring the graph up to date: first who came, then what ended."""
        for job_id in batch.created:
            job = batch.jobs[job_id]
            ended = {
                need: JobState.DONE.value
                for need in job.spec.dependencies or ()
                if need not in batch.unmet_dependencies[job_id]
            }
            self._add_to_graph(job, ended)
        for job_id in batch.changed_jobs:
            job = batch.jobs[job_id]
            if job.state is JobState.ACTIVE:
                self._record_priorities((job_id,))
                continue
            if job.state is JobState.DONE:
                for ready in self.dependencies.record_done(job_id):
                    self.ready_at[ready] = now
            else:
                self.dependencies.record_cancelled(job_id)
            self._record_priorities(self.dependencies.remove(job_id))
            self.ready_at.pop(job_id, None)

    def must_not_run(self, job: Job) -> bool:
        """Whether a job's tasks are to run no more."""
        return job.state is not JobState.ACTIVE or job.id in self.unconfirmed_cancellations

    # -- what users are told ------------------------------------------------------------------------------

    def job_status(self, job: Job) -> JobStatus:
        """Return a job's state as its user sees it."""
        if job.state is not JobState.ACTIVE:
            state = JobState.DONE if job.state is JobState.DONE else JobState.CANCELLED
            return JobStatus(job.id, state.value, job.tasks_done, 0)
        if job.id in self.dependencies.pending_cancellations:
            return JobStatus(job.id, JobState.CANCELLED.value, 0, 0)
        running = 0
        for index, placement in job.placements.items():
            machine = self.machines.get(placement.machine)
            if machine is not None and machine.task_phases.get((job.id, index)) == wire_workers.TaskPhase.RUNNING:
                running += 1
        return JobStatus(job.id, "running" if running else "pending", job.tasks_done, running)


def _own_urgency(job: Job) -> OwnPriority:
    """Return how urgent a job is by itself; its deadline counts from its submission, however long it waits."""
    deadline_s = job.spec.deadline_s
    due = NO_DEADLINE if deadline_s is None else job.submitted_at + deadline_s
    return OwnPriority(job.spec.priority.level, due, job.spec.estimated_run_s)


def _repeats(heartbeat: Heartbeat, previous: Heartbeat | None) -> bool:
    """Whether a report says nothing that the one before it did not say."""
    return (
        previous is not None
        and heartbeat.termination_notice_s is None
        and heartbeat.worker_epoch == previous.worker_epoch
        and heartbeat.fencing_token == previous.fencing_token
        and heartbeat.tasks == previous.tasks
    )
