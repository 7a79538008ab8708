"""A batch: copies of the jobs that one transaction changes, and what follows once it is committed."""

from collections.abc import Callable

from .jobs import Job, JobState, Place, TaskState, change_job, change_task

# What one record takes at the most, in bytes: its head, and each entry of a range or a place.
HEAD_BYTES = 2600
ENTRY_BYTES = 110


class Batch:
    """Collects changes until the store's limits are reached. Nothing in it is visible before the commit."""

    def __init__(
        self,
        committed: dict[str, Job],
        chunk_of: Callable[[Job, int], int],
        ops: int,
        size: int,
        awaits_migration: Callable[[Job], bool] = lambda job: False,
    ) -> None:
        self.committed, self.chunk_of, self._awaits_migration = committed, chunk_of, awaits_migration
        self.ops_left, self.size_left = ops, size
        self.jobs: dict[str, Job] = {}
        self.created: set[str] = set()
        # What the jobs created here need and is not done yet.
        self.unmet: dict[str, set[str]] = {}
        # Every job that changes, and those of them whose head is written: a task's change may lie in a chunk alone.
        self.heads: set[str] = set()
        self.head_written: set[str] = set()
        self._charged: dict[str, int] = {}
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
        self.rewritten: set[str] = set()

    def awaits_migration(self, job: Job) -> bool:
        """Whether a job's records must be moved first; it is noted that something waits for that."""
        if not self._awaits_migration(job) and job.id not in self.rewritten:
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

    def has_room_at(self, job: Job, index: int) -> bool:
        """Tell whether a task's leaving its place still fits, and the stops of its gang, which may have to follow."""
        if self.awaits_migration(job):
            return False
        indices = [index, *job.places] if job.is_gang else [index]
        chunks = {self.chunk_of(job, other) for other in indices}
        head = job.is_gang or 0 in chunks or job.id in self.head_written
        ops = head + len((chunks - {0}) | self.chunks.get(job.id, set()))
        if len(job.places) == 1 and (job.state is JobState.CANCELLED or job.done + 1 == job.spec.tasks):
            ops = max(ops, 2)
        return ops - self._charged.get(job.id, 0) <= self.ops_left and self._cost(job, 1) <= self.size_left

    def has_room(self, job: Job, entries: int = 1, chunks: int = 0, ends: bool = False) -> bool:
        """Tell whether a change of a job's head and of that many tasks still fits; `ends` if it may end the job.

        `chunks` counts the records beside the head that it opens or has opened in this batch.
        """
        if self.awaits_migration(job):
            return False
        ops = max(1 + max(chunks, len(self.chunks.get(job.id, ()))), 2 if ends else 0)
        return ops - self._charged.get(job.id, 0) <= self.ops_left and self._cost(job, entries) <= self.size_left

    def _cost(self, job: Job, entries: int) -> int:
        """Return the bytes that a change of some tasks may add."""
        head = 0 if job.id in self.heads else HEAD_BYTES + ENTRY_BYTES * min(len(job.places), 64)
        return head + entries * ENTRY_BYTES

    def _charge(self, job_id: str) -> None:
        """Count the changes that a job takes as it stands: its records, or its final state and their removal."""
        job = self.jobs[job_id]
        if job.state in (JobState.DONE, JobState.GONE):
            ops = 1 if job_id in self.created else 2
        else:
            ops = (job_id in self.head_written) + len(self.chunks.get(job_id, ()))
        self.ops_left -= ops - self._charged.get(job_id, 0)
        self._charged[job_id] = ops

    def has_room_for_keys(self, ops: int = 1) -> bool:
        """Tell whether that many small keys still fit."""
        return self.ops_left >= ops and self.size_left >= ops * HEAD_BYTES

    def _open(self, job_id: str, head: bool = True) -> Job:
        """Return a job's copy, to be changed; `head` if its head must be written for that."""
        job = self.jobs.get(job_id)
        if job is None:
            job = self.committed[job_id].copy()
            self.jobs[job_id] = job
        if job_id not in self.heads:
            self.size_left -= self._cost(job, 0)
            self.heads.add(job_id)
        if head:
            self.head_written.add(job_id)
        self._charge(job_id)
        return job

    def create(self, job: Job, unmet: set[str] | None = None) -> None:
        """Add a job that was accepted."""
        self.jobs[job.id] = job
        self.created.add(job.id)
        self.unmet[job.id] = unmet or set()
        self._open(job.id)

    def cancel(self, job_id: str, wall: float) -> None:
        """Cancel a job."""
        job = self._open(job_id)
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
        chunk = self.chunk_of(self.jobs.get(job_id) or self.committed[job_id], index)
        if chunk > 0:
            self.chunks.setdefault(job_id, set()).add(chunk)
        job = self._open(job_id, head=chunk == 0)
        old = job.places.get(index)
        change_task(job, index, to, place)
        self.moves.append((job_id, index, old, place if to is TaskState.PLACED else None))
        self.size_left -= ENTRY_BYTES

    def rewrite_split(self, job_id: str, split: int, versions: dict[int, int]) -> None:
        """Write a job's head in another split, whose chunks are written already, or in this batch."""
        job = self._open(job_id)
        job.split, job.chunk_versions = split, versions
        self.rewritten.add(job_id)

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
        self._charge(job_id)

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
