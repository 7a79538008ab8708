"""Jobs and their tasks, with the one function for each kind of state transition."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from driftcleat.cluster.dependencies import NO_DEADLINE
from driftcleat.errors import DriftcleatError
from driftcleat.wire.users import JobKind, JobSpec


class IllegalTransitionError(DriftcleatError):
    """Raised for a state transition that a job, a task or a machine must not make."""


class JobState(StrEnum):
    """A job's states. DONE and TERMINATED are final: the job's record is then replaced by its final state."""

    ACTIVE = "active"
    CANCELLED = "cancelled"
    DONE = "done"
    TERMINATED = "gone"


class TaskState(IntEnum):
    """A task's states: QUEUED, PLACED on a machine until proven to have left it, DONE."""

    QUEUED = 0
    PLACED = 1
    DONE = 2


_JOB_TRANSITIONS = {
    (JobState.ACTIVE, JobState.CANCELLED),
    (JobState.ACTIVE, JobState.DONE),
    (JobState.CANCELLED, JobState.TERMINATED),
}
_TASK_TRANSITIONS = {
    (TaskState.QUEUED, TaskState.PLACED),
    (TaskState.PLACED, TaskState.QUEUED),
    (TaskState.PLACED, TaskState.DONE),
    (TaskState.PLACED, TaskState.PLACED),
}


@dataclass(frozen=True, slots=True)
class TaskPlacement:
    """The machine of a task's attempt; `stop_grace_s` is its grace period in seconds, None unless it must stop."""

    machine: str
    zone: str
    attempt: int
    stop_grace_s: float | None = None


class Job:
    """A job with the state of each task. Committed jobs are never changed: a batch changes a copy."""

    __slots__ = (
        "cancelled_at",
        "chunk_mod_revisions",
        "head_bytes",
        "last_attempt",
        "mod_revision",
        "placements",
        "priority_level",
        "row_bytes",
        "spec",
        "start_deadline",
        "state",
        "submitted_at",
        "task_states",
        "tasks_done",
        "tasks_per_record",
    )

    def __init__(self, spec: JobSpec, submitted_at: float) -> None:
        self.spec = spec
        self.submitted_at = submitted_at
        self.state = JobState.ACTIVE
        self.cancelled_at = 0.0
        self.last_attempt = 0
        self.task_states = bytearray(spec.tasks)
        self.placements: dict[int, TaskPlacement] = {}
        self.tasks_done = 0
        self.mod_revision = 0
        self.chunk_mod_revisions: dict[int, int] = {}
        # Tasks per record; 0 in data version 1, where the number follows from the store's limits.
        self.tasks_per_record = 0
        # The sizes in bytes of the head record without placements and of one placement; 0 until they are computed.
        self.head_bytes = 0
        self.row_bytes = 0
        # The level of the job's own priority, or that of a more urgent dependent.
        self.priority_level = spec.priority.level
        # The wall-clock time in seconds by which the job must start for its dependents to meet their deadlines.
        self.start_deadline = NO_DEADLINE

    def copy(self) -> "Job":
        """Return a copy that may be changed."""
        copy = Job.__new__(Job)
        copy.spec = self.spec
        copy.submitted_at = self.submitted_at
        copy.state = self.state
        copy.cancelled_at = self.cancelled_at
        copy.last_attempt = self.last_attempt
        copy.tasks_done = self.tasks_done
        copy.task_states = bytearray(self.task_states)
        copy.placements = dict(self.placements)
        copy.mod_revision = self.mod_revision
        copy.tasks_per_record = self.tasks_per_record
        copy.priority_level = self.priority_level
        copy.start_deadline = self.start_deadline
        copy.head_bytes = self.head_bytes
        copy.row_bytes = self.row_bytes
        copy.chunk_mod_revisions = dict(self.chunk_mod_revisions)
        return copy

    @property
    def id(self) -> str:
        """The job's id, from its spec."""
        return self.spec.id

    @property
    def is_gang(self) -> bool:
        """Whether the tasks must run all at once or not at all."""
        return self.spec.kind is JobKind.GANG

    @property
    def tasks_queued(self) -> int:
        """The number of tasks that have no placement and are not done."""
        return self.spec.tasks - self.tasks_done - len(self.placements)

    def next_queued_task(self, after: int) -> int:
        """Return the first queued task after index `after`, or -1."""
        return self.task_states.find(TaskState.QUEUED, after + 1)

    def placements_by_zone(self) -> dict[str, int]:
        """Return the number of placements in each zone."""
        counts: dict[str, int] = {}
        for placement in self.placements.values():
            counts[placement.zone] = counts.get(placement.zone, 0) + 1
        return counts


def transition_job(job: Job, to: JobState) -> None:
    """Change a job's state. No other code may change it."""
    if (job.state, to) not in _JOB_TRANSITIONS:
        raise IllegalTransitionError(f"job {job.id}: no transition from {job.state.value} to {to.value}")
    if to is JobState.DONE and job.tasks_done != job.spec.tasks:
        raise IllegalTransitionError(f"job {job.id}: done with {job.tasks_done} of {job.spec.tasks} tasks")
    if to is JobState.TERMINATED and job.placements:
        raise IllegalTransitionError(f"job {job.id}: terminated with {len(job.placements)} tasks still placed")
    job.state = to


def transition_task(job: Job, index: int, to: TaskState, placement: TaskPlacement | None = None) -> None:
    """Change a task's state. No other code may change it. PLACED to PLACED only adds a grace period."""
    state = TaskState(job.task_states[index])
    if (state, to) not in _TASK_TRANSITIONS:
        raise IllegalTransitionError(f"task {job.id}/{index}: no transition from {state.name} to {to.name}")
    if to is TaskState.PLACED:
        if placement is None:
            raise IllegalTransitionError(f"task {job.id}/{index}: placed without a placement")
        before = job.placements.get(index)
        if before is None and job.state is not JobState.ACTIVE:
            raise IllegalTransitionError(f"task {job.id}/{index}: placed although the job is {job.state.value}")
        if before is not None and (before.machine, before.attempt) != (placement.machine, placement.attempt):
            raise IllegalTransitionError(
                f"task {job.id}/{index}: placed again before it left machine {before.machine}"
            )
        job.placements[index] = placement
    else:
        del job.placements[index]
        job.tasks_done += to is TaskState.DONE
    job.task_states[index] = to
