"""Admission: users' submissions and cancellations, from their arrival to the answer after the commit."""

import logging
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.cluster import Batch, Job, JobState, user_job_status
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.wire.users import JobSpec, JobStatus

log = logging.getLogger(__name__)

# Final states that a term remembers; older ones are read from the store.
KEPT_FINAL_STATES = 5000


@dataclass(slots=True)
class PendingRequest:
    """A user's request that waits for its batch; `answer` is called once, after the commit or on the way."""

    answer: Callable[[JobStatus | None], None]
    spec: JobSpec | None = None
    job_id: str = ""
    # Final states of jobs that the submission needs, as far as they were found among the ended ones.
    ended_dependencies: dict[str, str] = field(default_factory=dict)


class Admission:
    """The requests that wait for a batch, and the final states of jobs that ended in this term."""

    def __init__(self, context: SchedulerContext, arrivals: ArrivalRates) -> None:
        # Requests that may wait at once.
        self.max_waiting = context.tuning.queue * context.platform.write_rps
        self._cluster, self._layout, self._wall = context.cluster, context.layout, context.wall
        self._arrivals = arrivals
        self._submissions: deque[PendingRequest] = deque()
        self._cancellations: deque[PendingRequest] = deque()
        self._ended: OrderedDict[str, JobStatus] = OrderedDict()

    def submit(self, request: PendingRequest) -> None:
        """Queue a submission."""
        self._submissions.append(request)

    def cancel(self, request: PendingRequest) -> None:
        """Queue a cancellation."""
        self._cancellations.append(request)

    @property
    def has_waiting(self) -> bool:
        """Whether a user waits for the next batch."""
        return bool(self._submissions or self._cancellations)

    @property
    def waiting_submissions(self) -> int:
        """Return how many submissions wait."""
        return len(self._submissions)

    @property
    def waiting_cancellations(self) -> int:
        """Return how many cancellations wait."""
        return len(self._cancellations)

    @property
    def full(self) -> bool:
        """Whether no more requests can be taken for now."""
        return len(self._submissions) + len(self._cancellations) >= self.max_waiting

    @property
    def has_dependencies(self) -> bool:
        """Whether a submission that waits names jobs that it needs."""
        return any(request.spec is not None and request.spec.dependencies for request in self._submissions)

    def lookup(self, job_id: str) -> JobStatus | None:
        """Return the committed state of a job that this term knows of."""
        job = self._cluster.jobs.get(job_id)
        if job is not None:
            return user_job_status(self._cluster, job)
        return self._ended.get(job_id)

    def record_ended(self, job: Job) -> None:
        """Remember how a job ended."""
        self._ended[job.id] = user_job_status(self._cluster, job)
        while len(self._ended) > KEPT_FINAL_STATES:
            self._ended.popitem(last=False)

    def append_cancellations(self, batch: Batch) -> None:
        """Put the cancellations that wait into a batch."""
        postponed: list[PendingRequest] = []
        while self._cancellations:
            request = self._cancellations[0]
            job = batch.job(request.job_id)
            if job is not None and job.state is JobState.ACTIVE:
                if batch.must_migrate_first(job):
                    postponed.append(self._cancellations.popleft())
                    continue
                if not batch.has_room(job, ends=True):
                    break
                batch.cancel_job(request.job_id, self._wall())
            self._cancellations.popleft()
            batch.on_discard.append(partial(self._cancellations.appendleft, request))
            batch.on_commit.append(partial(self._answer, request, request.job_id))
        self._cancellations.extend(postponed)

    def append_dependent_cancellations(self, batch: Batch) -> None:
        """Cancel what depends on cancelled jobs: nothing of it has ever started, its records are all there is."""
        for job_id in list(self._cluster.dependencies.pending_cancellations):
            job = batch.job(job_id)
            if job is None or job.state is not JobState.ACTIVE or batch.must_migrate_first(job):
                continue
            if not batch.has_room(job, ends=True):
                return
            batch.cancel_job(job_id, self._wall())

    def append_submissions(self, batch: Batch, now: float) -> None:
        """Put the submissions that wait into a batch."""
        while self._submissions:
            request = self._submissions[0]
            spec = request.spec
            assert spec is not None
            known = batch.job(spec.id) is not None or spec.id in self._ended
            if not known and not self._create(batch, spec, request, now):
                return
            self._submissions.popleft()
            batch.on_discard.append(partial(self._submissions.appendleft, request))
            batch.on_commit.append(partial(self._answer, request, spec.id))

    def _create(self, batch: Batch, spec: JobSpec, request: PendingRequest, now: float) -> bool:
        """Create a job in a batch; False if the batch is too full."""
        job = Job(spec, self._wall())
        self._layout.assign_tasks_per_record(job)
        if not batch.has_room(job):
            return False
        states = {need: self._state_of_need(batch, need, request) for need in spec.dependencies or ()}
        batch.create_job(job, {need for need, state in states.items() if state is not JobState.DONE})
        if JobState.CANCELLED in states.values():
            batch.cancel_job(job.id, self._wall())
        elif not batch.unmet_dependencies[job.id]:
            self._arrivals.record(spec, now)
        log.debug("job %s (%s) accepted: %d tasks", spec.id, spec.job_class, spec.tasks)
        return True

    def _state_of_need(self, batch: Batch, need: str, request: PendingRequest) -> JobState:
        """Return how a needed job stands as this batch leaves it: ACTIVE, DONE or CANCELLED."""
        job = batch.job(need)
        if job is not None:
            # What ends in this very batch is told to the graph after the newcomer has joined it.
            gone = (
                job.state in (JobState.CANCELLED, JobState.TERMINATED)
                or need in self._cluster.dependencies.pending_cancellations
            )
            return JobState.CANCELLED if gone else JobState.ACTIVE
        status = self._ended.get(need)
        return JobState(
            status.state if status is not None else request.ended_dependencies.get(need, JobState.ACTIVE.value)
        )

    def _answer(self, request: PendingRequest, job_id: str) -> None:
        request.answer(self.lookup(job_id))
