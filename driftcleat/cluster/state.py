"""The cluster state of one leader term: committed jobs, machines and their last heartbeats.

Nothing in this package does I/O. `heartbeat_intake` applies a heartbeat, `reconciliation` appends what it proves to a
batch, `commit` applies the batch once the store has it, and `commands` returns a worker's commands.
"""

from driftcleat.cluster.dependencies import DependencyGraph
from driftcleat.cluster.gang_restarts import GangRestarts
from driftcleat.cluster.job_dependencies import JobDependencies
from driftcleat.cluster.job_failures import JobFailures
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement
from driftcleat.cluster.listener import ClusterListener, NullListener
from driftcleat.cluster.machines import AttemptKey, Machine, MachineState, TaskKey, transition_machine
from driftcleat.cluster.orphaned_tasks import OrphanedTasks
from driftcleat.cluster.usage import ResourceUsage
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.workers import TaskPhase

# Enum members bound to module names: looking one up costs several times a comparison, and is done for every task.
EXITED = TaskPhase.EXITED


class ClusterState:
    """The leader's view of the cluster in one term. Only the functions of this package change it.

    `lease_s` is the duration of a worker's lease in seconds.
    """

    def __init__(
        self,
        fencing_token: int,
        jobs: dict[str, Job],
        machine_types: dict[str, MachineType],
        now: float,
        lease_s: float = 0.0,
        ended: dict[str, str] | None = None,
    ) -> None:
        """Start with the committed jobs; `ended` holds the final states of ended jobs that these depend on."""
        self.fencing_token = fencing_token
        self.lease_s = lease_s
        self.jobs = jobs
        self.dependencies = DependencyGraph()
        # By job: when its last dependency was done, in seconds of the monotonic clock.
        self.ready_at: dict[str, float] = {}
        self.job_dependencies = JobDependencies(jobs, self.dependencies, self.ready_at)
        # Cancelled jobs that still have placements.
        self.cancelled_jobs: set[str] = set()
        self.machine_types = machine_types
        self.machines: dict[str, Machine] = {}
        # By machine: when the cloud confirmed its termination, in seconds of the monotonic clock.
        self.terminated_machines: dict[str, float] = {}
        self.team_usage: dict[str, ResourceUsage] = {}
        self.machines_to_reconcile: set[str] = set()
        self.orphaned_tasks = OrphanedTasks()
        self.failures = JobFailures()
        self.gang_restarts = GangRestarts(lease_s)
        # Placements on machines that have sent no heartbeat in this term, by machine name.
        self.unconfirmed_placements: dict[str, dict[TaskKey, TaskPlacement]] = {}
        # Images (name, size in GB) that machines had in earlier terms; kept until a machine's first heartbeat.
        self.image_hints: dict[str, list[tuple[str, float]]] = {}
        self.listener: ClusterListener = NullListener()
        # Attempts whose placement the batch in flight releases.
        self.attempts_being_released: set[AttemptKey] = set()
        # Jobs whose cancellation may or may not be committed, since the outcome of the batch is unknown.
        self.unconfirmed_cancellations: set[str] = set()
        self.started_at = now
        self._add_committed_jobs(ended or {})

    def _add_committed_jobs(self, ended: dict[str, str]) -> None:
        """Derive usage, unconfirmed placements and the dependency graph from the jobs of earlier terms."""
        for job in self.jobs.values():
            usage = self.team_usage.setdefault(job.spec.team, ResourceUsage())
            for index, placement in job.placements.items():
                usage.add(job.spec, 1)
                self.unconfirmed_placements.setdefault(placement.machine, {})[(job.id, index)] = placement
        for job in self.jobs.values():
            self.job_dependencies.add_job(job, ended)
        for job in self.jobs.values():
            if job.state is JobState.CANCELLED:
                self.dependencies.record_cancelled(job.id)
                self.cancelled_jobs.add(job.id)

    def subscribe(self, listener: ClusterListener) -> None:
        """Send all further events to a listener, which replaces the previous one."""
        self.listener = listener

    def record_external_end(self, job_id: str, state: JobState, now: float) -> None:
        """Apply the end or the irrevocable cancellation of another scheduler's job that jobs here depend on."""
        self.job_dependencies.record_external_end(job_id, state, now)

    def dependencies_met(self, job: Job) -> bool:
        """Return whether all dependencies of a job are done."""
        return self.dependencies.dependencies_met(job.id)

    def register_machine(self, name: str, type_name: str, zone: str, spot: bool, address: str, now: float) -> Machine:
        """Return the machine of that name; a new one starts with its unconfirmed placements and image hints."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, self.machine_types.get(type_name), zone, spot, address, now)
            self.machines[name] = machine
            for image, size_gb in self.image_hints.pop(name, ()):
                machine.record_image(image, size_gb)
                machine.fetched_images.add(image)
            for key, placement in self.unconfirmed_placements.pop(name, {}).items():
                job_id, index = key
                job = self.jobs.get(job_id)
                if job is not None and job.placements.get(index) == placement:
                    machine.add_task(key, placement, job.spec)
        if machine.type is None:
            machine.type = self.machine_types.get(type_name)
        if address:
            machine.address = address
        return machine

    def image_of(self, key: TaskKey) -> str | None:
        """Return the image of a task, or None if its job is unknown."""
        job = self.jobs.get(key[0])
        return job.spec.image if job is not None else None

    def record_terminated(self, machine: Machine, now: float) -> None:
        """Record that the cloud has confirmed the termination of a machine."""
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
        """Return whether a placed task may be on its machine, by the machine's last heartbeat.

        Guards against terminating machines for cancelled tasks that have ended, while the batch that releases them
        waits for the store.
        """
        machine = self.machines.get(placement.machine)
        if machine is None or machine.last_heartbeat is None or not machine.fence_acknowledged:
            return True
        attempt = (key[0], key[1], placement.attempt)
        if machine.start_unanswered(attempt):
            return True
        phase = machine.reported_phases.get(attempt)
        return phase is not None and phase != EXITED

    def has_uncommitted_exits(self, machine: Machine) -> bool:
        """Return whether a machine's last heartbeat lists exits that are not committed yet, but will be."""
        return not machine.in_sync and any(
            phase == EXITED
            and attempt[:2] in machine.tasks
            and machine.tasks[attempt[:2]].attempt == attempt[2]
            and not self.restarts_in_place(machine, attempt)
            for attempt, phase in machine.reported_phases.items()
        )

    def restarts_in_place(self, machine: Machine, attempt: AttemptKey) -> bool:
        """Return whether a placed task that exited is to be started again on its machine, in the same attempt.

        A gang's task exits if the others do not have their images in time. These go on fetching, and the gang starts
        once all of its tasks wait at the same time. If the whole gang were stopped and placed in a new attempt, its
        machines would give their fetches up, and a gang whose fetches differ by more than the wait would never start.
        """
        if attempt not in machine.gang_waits_ended:
            return False
        job = self.jobs.get(attempt[0])
        placement = machine.tasks.get(attempt[:2])
        return (
            job is not None
            and placement is not None
            and placement.attempt == attempt[2]
            and placement.stop_grace_s is None
            and not self.must_not_run(job)
            and machine.state is MachineState.UP
        )

    def may_restart_now(self, machine: Machine, attempt: AttemptKey) -> bool:
        """Return whether an attempt that is to be restarted in place gets its start command now."""
        if not self.restarts_in_place(machine, attempt):
            return False
        job = self.jobs[attempt[0]]

        def has_exited(index: int) -> bool:
            holder = self.machines.get(job.placements[index].machine) if index in job.placements else None
            return holder is not None and (job.id, index, attempt[2]) in holder.gang_waits_ended

        return self.gang_restarts.may_restart(job, has_exited, machine.last_heartbeat_at)

    def mark_out_of_sync(self, job: Job) -> None:
        """Make the machines of a job get commands with their next heartbeat, even if that is unchanged."""
        for placement in job.placements.values():
            machine = self.machines.get(placement.machine)
            if machine is not None:
                machine.in_sync = False

    def must_not_run(self, job: Job) -> bool:
        """Return whether the tasks of a job must be stopped."""
        return job.state is not JobState.ACTIVE or job.id in self.unconfirmed_cancellations
