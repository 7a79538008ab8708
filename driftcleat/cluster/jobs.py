"""Jobs and their tasks, with the one function for each kind of state change."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from driftcleat.cluster.dependencies import NO_DEADLINE
from driftcleat.errors import DriftcleatError
from driftcleat.wire.users import JobKind, JobSpec


class IllegalTransitionError(DriftcleatError):
    """A state change that the state machine does not have."""


class JobState(StrEnum):
    """A job's life. DONE and GONE are final: the job's record is then replaced by its final state."""

    ACTIVE = "active"
    CANCELLED = "cancelled"
    DONE = "done"
    TERMINATED = "gone"


class TaskState(IntEnum):
    """A task's life: QUEUED, PLACED on a machine until proven off it, DONE."""

    QUEUED = 0
    PLACED = 1
    DONE = 2


_JOB_MOVES = {
    (JobState.ACTIVE, JobState.CANCELLED),
    (JobState.ACTIVE, JobState.DONE),
    (JobState.CANCELLED, JobState.TERMINATED),
}
_TASK_MOVES = {
    (TaskState.QUEUED, TaskState.PLACED),
    (TaskState.PLACED, TaskState.QUEUED),
    (TaskState.PLACED, TaskState.DONE),
    (TaskState.PLACED, TaskState.PLACED),
}


@dataclass(frozen=True, slots=True)
class TaskPlacement:
    """Where an attempt of a task was sent; `stop` is the grace once it was told to stop."""

    machine: str
    zone: str
    attempt: int
    stop_grace_s: float | None = None


class Job:
    """A job with the state of each task. Committed jobs are never changed: a batch changes a copy."""

    __slots__ = (
        "cancelled_at",
        "chunk_mod_revisions",
        "last_attempt",
        "mod_revision",
        "placements",
        "priority_level",
        "spec",
        "start_deadline",
        "state",
        "submitted_at",
        "task_states",
        "tasks_done",
        "tasks_per_record",
    )

    def __init__(self, spec: JobSpec, submitted: float) -> None:
        self.spec = spec
        self.submitted_at = submitted
        self.state = JobState.ACTIVE
        self.cancelled_at = 0.0
        self.last_attempt = 0
        self.task_states = bytearray(spec.tasks)
        self.placements: dict[int, TaskPlacement] = {}
        self.tasks_done = 0
        self.mod_revision = 0
        self.chunk_mod_revisions: dict[int, int] = {}
        # How many tasks each of its records holds; 0: as the first data version splits, from today's limits.
        self.tasks_per_record = 0
        # The rank's level, or that of a more urgent job that needs this one.
        self.priority_level = spec.priority.level
        # When it has to start (time of day) for the deadlines of jobs that need it.
        self.start_deadline = NO_DEADLINE

    def copy(self) -> "Job":
        """Return a copy that may be changed."""
        twin = Job.__new__(Job)
        twin.spec, twin.submitted_at, twin.state = self.spec, self.submitted_at, self.state
        twin.cancelled_at, twin.last_attempt, twin.tasks_done = self.cancelled_at, self.last_attempt, self.tasks_done
        twin.task_states = bytearray(self.task_states)
        twin.placements = dict(self.placements)
        twin.mod_revision, twin.tasks_per_record = self.mod_revision, self.tasks_per_record
        twin.priority_level, twin.start_deadline = self.priority_level, self.start_deadline
        twin.chunk_mod_revisions = dict(self.chunk_mod_revisions)
        return twin

    @property
    def id(self) -> str:
        """The job's id."""
        return self.spec.id

    @property
    def is_gang(self) -> bool:
        """Whether the tasks run all at once or not at all."""
        return self.spec.kind is JobKind.GANG

    @property
    def tasks_queued(self) -> int:
        """How many tasks have no place and are not done."""
        return self.spec.tasks - self.tasks_done - len(self.placements)

    def next_queued_task(self, after: int) -> int:
        """Return the first queued task behind index `after`, or -1."""
        return self.task_states.find(TaskState.QUEUED, after + 1)

    def placements_by_zone(self) -> dict[str, int]:
        """Return how many tasks may be in each zone."""
        counts: dict[str, int] = {}
        for placement in self.placements.values():
            counts[placement.zone] = counts.get(placement.zone, 0) + 1
        return counts


def transition_job(job: Job, to: JobState) -> None:
    """Move a job to another state; the only place that does."""
    if (job.state, to) not in _JOB_MOVES:
        raise IllegalTransitionError(f"{job.id}: {job.state.value} -> {to.value}")
    if to is JobState.DONE and job.tasks_done != job.spec.tasks:
        raise IllegalTransitionError(f"{job.id}: done with {job.tasks_done} of {job.spec.tasks} tasks")
    if to is JobState.TERMINATED and job.placements:
        raise IllegalTransitionError(f"{job.id}: gone with tasks still placed")
    job.state = to


def transition_task(job: Job, index: int, to: TaskState, placement: TaskPlacement | None = None) -> None:
    """Move a task to another state; the only place that does. PLACED to PLACED only adds a stop."""
    now = TaskState(job.task_states[index])
    if (now, to) not in _TASK_MOVES:
        raise IllegalTransitionError(f"{job.id}/{index}: {now.name} -> {to.name}")
    if to is TaskState.PLACED:
        if placement is None:
            raise IllegalTransitionError(f"{job.id}/{index}: no place given")
        old = job.placements.get(index)
        if old is None and job.state is not JobState.ACTIVE:
            raise IllegalTransitionError(f"{job.id}/{index}: placed although the job is {job.state.value}")
        if old is not None and (old.machine, old.attempt) != (placement.machine, placement.attempt):
            raise IllegalTransitionError(f"{job.id}/{index}: moved without leaving {old.machine}")
        job.placements[index] = placement
    else:
        del job.placements[index]
        job.tasks_done += to is TaskState.DONE
    job.task_states[index] = to
