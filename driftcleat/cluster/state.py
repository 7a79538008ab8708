"""The leader's picture of one term: committed jobs, machines and their reports.

Nothing here does I/O. A report is taken in by `observe`, what it proves is put into a batch by `reconciliation`, the
batch is made visible by `commit`, and `commands` says what a worker is told.
"""

from driftcleat.cluster.dependencies import DependencyGraph
from driftcleat.cluster.job_dependencies import JobDependencies
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement
from driftcleat.cluster.listener import ClusterListener, NullListener
from driftcleat.cluster.machines import AttemptKey, Machine, MachineState, TaskKey, transition_machine
from driftcleat.cluster.orphaned_tasks import OrphanedTasks
from driftcleat.cluster.usage import ResourceUsage
from driftcleat.wire import workers as wire_workers
from driftcleat.wire.cloud import MachineType


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
        self.job_dependencies = JobDependencies(jobs, self.dependencies, self.ready_at)
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
        self.unconfirmed_placements: dict[str, dict[TaskKey, TaskPlacement]] = {}
        # Images that machines had under earlier leaders, until they report.
        self.image_hints: dict[str, list[tuple[str, float]]] = {}
        self.listener: ClusterListener = NullListener()
        for job in jobs.values():
            usage = self.team_usage.setdefault(job.spec.team, ResourceUsage())
            for index, placement in job.placements.items():
                usage.add(job.spec, 1)
                self.unconfirmed_placements.setdefault(placement.machine, {})[(job.id, index)] = placement
        for job in jobs.values():
            self.job_dependencies.add_job(job, ended or {})
        for job in jobs.values():
            if job.state is JobState.CANCELLED:
                self.dependencies.record_cancelled(job.id)
                self.cancelled_jobs.add(job.id)
        # Attempts that the batch under way takes off their machines.
        self.attempts_being_released: set[AttemptKey] = set()
        # Jobs whose cancellation may have been committed: nobody can say before the store answers again.
        self.unconfirmed_cancellations: set[str] = set()
        self.started_at = now

    def subscribe(self, listener: ClusterListener) -> None:
        """Send all further events to a listener; it replaces the one before."""
        self.listener = listener

    def record_external_end(self, job_id: str, state: JobState, now: float) -> None:
        """A job that ours need, and that is homed elsewhere, has ended, or is certain to end as cancelled."""
        self.job_dependencies.record_external_end(job_id, state, now)

    def dependencies_met(self, job: Job) -> bool:
        """Whether tasks of a job may be placed as far as other jobs go."""
        return self.dependencies.dependencies_met(job.id)

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

    def image_of(self, key: TaskKey) -> str | None:
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

    def may_be_on_machine(self, key: TaskKey, placement: TaskPlacement) -> bool:
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

    def mark_out_of_sync(self, job: Job) -> None:
        """What a job's machines are told may differ now, although they report what they did before."""
        for placement in job.placements.values():
            machine = self.machines.get(placement.machine)
            if machine is not None:
                machine.in_sync = False

    def must_not_run(self, job: Job) -> bool:
        """Whether a job's tasks are to run no more."""
        return job.state is not JobState.ACTIVE or job.id in self.unconfirmed_cancellations
