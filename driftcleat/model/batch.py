"""A batch: copies of the jobs that one transaction changes, and what follows once it is committed."""

from collections.abc import Callable

from .jobs import Job, JobState, Place, TaskState, change_job, change_task

# What one record takes at the most, in bytes: its head, and each entry of a range or a place.
HEAD_BYTES = 2600
ENTRY_BYTES = 110


def _head_ops(job: Job, ends: bool = False) -> int:
    """Return the changes that a job's head may take.

    A job that ends takes two: its final state and its record's removal. One with a queued task cannot end in
    the batch that opens it, unless it is cancelled.
    """
    return 2 if ends or job.state is JobState.CANCELLED or job.queued == 0 else 1


class Batch:
    """Collects changes until the store's limits are reached. Nothing in it is visible before the commit."""

    def __init__(self, committed: dict[str, Job], chunk_of: Callable[[Job, int], int], ops: int, size: int,
                 frozen: Callable[[Job], bool] = lambda job: False) -> None:
        self.committed, self.chunk_of, self._frozen = committed, chunk_of, frozen
        self.ops_left, self.size_left = ops, size
        self.jobs: dict[str, Job] = {}
        self.created: set[str] = set()
        # What the jobs created here need and is not done yet.
        self.unmet: dict[str, set[str]] = {}
        self.heads: set[str] = set()
        self.chunks: dict[str, set[int]] = {}
        self.moves: list[tuple[str, int, Place | None, Place | None]] = []
        self.extra_puts: dict[str, object] = {}
        self.removes: list[str] = []
        self.after: list[Callable[[], None]] = []
        # What undoes the taking of requests, should this batch not be written.
        self.undo: list[Callable[[], None]] = []
        # Jobs that wait for their records to be moved before they can change.
        self.blocked: set[str] = set()
        # Jobs whose records this batch moves: it has written their tasks already.
        self.relaid: set[str] = set()

    def frozen(self, job: Job) -> bool:
        """Whether a job's records must be moved first; it is noted that something waits for that."""
        if not self._frozen(job) and job.id not in self.relaid:
            return False
        self.blocked.add(job.id)
        return True

    @property
    def empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (self.heads or self.extra_puts or self.removes)

    def get(self, job_id: str) -> Job | None:
        """Return a job as this batch leaves it."""
        return self.jobs.get(job_id) or self.committed.get(job_id)

    def room_at(self, job: Job, index: int) -> bool:
        """Tell whether a change of this task still fits, and of the rest of its gang, which may have to follow."""
        indices = [index, *job.places] if job.is_gang else [index]
        chunks = {self.chunk_of(job, other) for other in indices} - {0} | self.chunks.get(job.id, set())
        return self.room(job, 1, len(chunks))

    def room(self, job: Job, entries: int = 1, chunks: int = 0, ends: bool = False) -> bool:
        """Tell whether a change of that many tasks of a job still fits; `ends` if it may end the job.

        `chunks` counts the records beside the head that it opens or has opened in this batch.
        """
        if self.frozen(job):
            return False
        cost = ops = 0
        if job.id not in self.heads:
            cost, ops = HEAD_BYTES + ENTRY_BYTES * min(len(job.places), 64), _head_ops(job, ends)
        ops += max(0, chunks - len(self.chunks.get(job.id, ())))
        return ops <= self.ops_left and cost + entries * ENTRY_BYTES <= self.size_left

    def room_extra(self, ops: int = 1) -> bool:
        """Tell whether that many small keys still fit."""
        return self.ops_left >= ops and self.size_left >= ops * HEAD_BYTES

    def _open(self, job_id: str, ends: bool = False) -> Job:
        job = self.jobs.get(job_id)
        if job is None:
            job = self.committed[job_id].copy()
            self.jobs[job_id] = job
        if job_id not in self.heads:
            self.heads.add(job_id)
            self.ops_left -= _head_ops(job, ends)
            self.size_left -= HEAD_BYTES + ENTRY_BYTES * min(len(job.places), 64)
        return job

    def create(self, job: Job, unmet: set[str] | None = None) -> None:
        """Add a job that was accepted."""
        self.jobs[job.id] = job
        self.created.add(job.id)
        self.unmet[job.id] = unmet or set()
        self._open(job.id)

    def cancel(self, job_id: str, wall: float) -> None:
        """Cancel a job."""
        job = self._open(job_id, ends=True)
        job.cancelled_at = wall
        change_job(job, JobState.CANCELLED)
        self.settle(job_id)

    def launch(self, job_id: str) -> int:
        """Return a new attempt number of a job."""
        job = self._open(job_id)
        job.launch += 1
        return job.launch

    def move(self, job_id: str, index: int, to: TaskState, place: Place | None = None) -> None:
        """Change a task's state."""
        job = self._open(job_id)
        old = job.places.get(index)
        change_task(job, index, to, place)
        self.moves.append((job_id, index, old, place if to is TaskState.PLACED else None))
        self.size_left -= ENTRY_BYTES
        chunk = self.chunk_of(job, index)
        if chunk > 0:
            chunks = self.chunks.setdefault(job_id, set())
            if chunk not in chunks:
                chunks.add(chunk)
                self.ops_left -= 1

    def relay(self, job_id: str, split: int, versions: dict[int, int]) -> None:
        """Write a job's head in another split, whose chunks are written already, or in this batch."""
        job = self._open(job_id)
        job.split, job.chunk_versions = split, versions
        self.relaid.add(job_id)

    def stop(self, job_id: str, index: int, grace: float) -> None:
        """Tell a placed task to stop (a task told already keeps its grace)."""
        job = self.get(job_id)
        if job is None:
            return
        place = job.places[index]
        if place.stop is None:
            self.move(job_id, index, TaskState.PLACED, Place(place.machine, place.zone, place.attempt, grace))

    def settle(self, job_id: str) -> None:
        """End a job whose tasks are all done, or all proven gone after a cancellation."""
        job = self.jobs[job_id]
        if job.state is JobState.ACTIVE and job.done == job.spec.tasks:
            change_job(job, JobState.DONE)
        elif job.state is JobState.CANCELLED and not job.places:
            change_job(job, JobState.GONE)

    def put(self, key: str, value: object) -> None:
        """Write a small key that is not a job's."""
        self.extra_puts[key] = value
        self.ops_left -= 1
        self.size_left -= HEAD_BYTES

    def remove(self, key: str) -> None:
        """Remove a key that is not a job's record."""
        self.removes.append(key)
        self.ops_left -= 1
        self.size_left -= 256
