"""Jobs and their tasks, with the one function for each kind of state change."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from driftcleat.errors import DriftcleatError
from driftcleat.wire.users import Kind, Submission

from .needs import NO_DEADLINE


class IllegalMoveError(DriftcleatError):
    """A state change that the state machine does not have."""


class JobState(StrEnum):
    """A job's life. DONE and GONE are final: the job's record is then replaced by its final state."""

    ACTIVE = "active"
    CANCELLED = "cancelled"
    DONE = "done"
    GONE = "gone"


class TaskState(IntEnum):
    """A task's life: QUEUED, PLACED on a machine until proven off it, DONE."""

    QUEUED = 0
    PLACED = 1
    DONE = 2


_JOB_MOVES = {
    (JobState.ACTIVE, JobState.CANCELLED),
    (JobState.ACTIVE, JobState.DONE),
    (JobState.CANCELLED, JobState.GONE),
}
_TASK_MOVES = {
    (TaskState.QUEUED, TaskState.PLACED),
    (TaskState.PLACED, TaskState.QUEUED),
    (TaskState.PLACED, TaskState.DONE),
    (TaskState.PLACED, TaskState.PLACED),
}


@dataclass(frozen=True, slots=True)
class Place:
    """Where an attempt of a task was sent; `stop` is the grace once it was told to stop."""

    machine: str
    zone: str
    attempt: int
    stop: float | None = None


class Job:
    """A job with the state of each task. Committed jobs are never changed: a batch changes a copy."""

    __slots__ = (
        "cancelled_at",
        "chunk_versions",
        "done",
        "launch",
        "level",
        "places",
        "spec",
        "split",
        "start_by",
        "state",
        "status",
        "submitted",
        "version",
    )

    def __init__(self, spec: Submission, submitted: float) -> None:
        self.spec = spec
        self.submitted = submitted
        self.state = JobState.ACTIVE
        self.cancelled_at = 0.0
        self.launch = 0
        self.status = bytearray(spec.tasks)
        self.places: dict[int, Place] = {}
        self.done = 0
        self.version = 0
        self.chunk_versions: dict[int, int] = {}
        # How many tasks each of its records holds; 0: as the first data version splits, from today's limits.
        self.split = 0
        # The rank's level, or that of a more urgent job that needs this one.
        self.level = spec.rank.level
        # When it has to start (time of day) for the deadlines of jobs that need it.
        self.start_by = NO_DEADLINE

    def copy(self) -> "Job":
        """Return a copy that may be changed."""
        twin = Job.__new__(Job)
        twin.spec, twin.submitted, twin.state = self.spec, self.submitted, self.state
        twin.cancelled_at, twin.launch, twin.done = self.cancelled_at, self.launch, self.done
        twin.status = bytearray(self.status)
        twin.places = dict(self.places)
        twin.version, twin.split = self.version, self.split
        twin.level, twin.start_by = self.level, self.start_by
        twin.chunk_versions = dict(self.chunk_versions)
        return twin

    @property
    def id(self) -> str:
        """The job's id."""
        return self.spec.id

    @property
    def is_gang(self) -> bool:
        """Whether the tasks run all at once or not at all."""
        return self.spec.kind is Kind.GANG

    @property
    def queued(self) -> int:
        """How many tasks have no place and are not done."""
        return self.spec.tasks - self.done - len(self.places)

    def next_queued(self, after: int) -> int:
        """Return the first queued task behind index `after`, or -1."""
        return self.status.find(TaskState.QUEUED, after + 1)

    def zone_counts(self) -> dict[str, int]:
        """Return how many tasks may be in each zone."""
        counts: dict[str, int] = {}
        for place in self.places.values():
            counts[place.zone] = counts.get(place.zone, 0) + 1
        return counts


def change_job(job: Job, to: JobState) -> None:
    """Move a job to another state; the only place that does."""
    if (job.state, to) not in _JOB_MOVES:
        raise IllegalMoveError(f"{job.id}: {job.state.value} -> {to.value}")
    if to is JobState.DONE and job.done != job.spec.tasks:
        raise IllegalMoveError(f"{job.id}: done with {job.done} of {job.spec.tasks} tasks")
    if to is JobState.GONE and job.places:
        raise IllegalMoveError(f"{job.id}: gone with tasks still placed")
    job.state = to


def change_task(job: Job, index: int, to: TaskState, place: Place | None = None) -> None:
    """Move a task to another state; the only place that does. PLACED to PLACED only adds a stop."""
    now = TaskState(job.status[index])
    if (now, to) not in _TASK_MOVES:
        raise IllegalMoveError(f"{job.id}/{index}: {now.name} -> {to.name}")
    if to is TaskState.PLACED:
        if place is None:
            raise IllegalMoveError(f"{job.id}/{index}: no place given")
        old = job.places.get(index)
        if old is None and job.state is not JobState.ACTIVE:
            raise IllegalMoveError(f"{job.id}/{index}: placed although the job is {job.state.value}")
        if old is not None and (old.machine, old.attempt) != (place.machine, place.attempt):
            raise IllegalMoveError(f"{job.id}/{index}: moved without leaving {old.machine}")
        job.places[index] = place
    else:
        del job.places[index]
        job.done += to is TaskState.DONE
    job.status[index] = to
