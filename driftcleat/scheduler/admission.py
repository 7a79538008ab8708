"""Admission: users' submissions and cancellations, from their arrival until the response after the commit."""

import logging
from functools import partial

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.cluster import Batch, Job, JobState, user_job_status
from driftcleat.cluster.bounded_cache import BoundedCache
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.pending_requests import PendingRequest, PendingRequests
from driftcleat.wire.users import JobSpec, JobStatus

log = logging.getLogger(__name__)

# Final statuses of ended jobs that a term keeps in memory; older ones are read from the store.
MAX_CACHED_FINAL_STATES = 5000
# How long a submission whose user no longer waits is kept for the user's retry, in heartbeat intervals.
ABANDONED_SUBMISSION_INTERVALS = 5


class Admission:
    """Holds the pending requests and the final statuses of jobs that ended in this term."""

    def __init__(self, context: SchedulerContext, arrivals: ArrivalRates) -> None:
        # Maximum number of pending requests.
        self.max_waiting = context.tuning.max_waiting_write_seconds * context.platform.write_rps
        self._cluster = context.cluster
        self._layout = context.layout
        self._wall_clock = context.wall_clock
        self._arrivals = arrivals
        self._keep_abandoned_s = context.platform.report_s * ABANDONED_SUBMISSION_INTERVALS
        self._submissions = PendingRequests()
        self._cancellations = PendingRequests()
        self._final_statuses: BoundedCache[JobStatus] = BoundedCache(MAX_CACHED_FINAL_STATES)

    def submit(self, request: PendingRequest) -> None:
        """Queue a submission for the next batch; the caller checks `may_submit` first."""
        self._submissions.add(request)

    def cancel(self, request: PendingRequest) -> None:
        """Queue a cancellation for the next batch; the caller checks `may_cancel` first."""
        self._cancellations.add(request)

    def may_submit(self, job_id: str) -> bool:
        """Return whether a submission can be queued: there is room, or it takes the place of an abandoned one."""
        return not self.full or self._submissions.has_abandoned(job_id)

    def may_cancel(self, job_id: str) -> bool:
        """Return whether a cancellation can be queued: there is room, or it takes the place of an abandoned one."""
        return not self.full or self._cancellations.has_abandoned(job_id)

    @property
    def has_waiting(self) -> bool:
        """Return whether any request is pending."""
        return bool(self._submissions or self._cancellations)

    @property
    def waiting_submissions(self) -> int:
        """Return how many submissions are pending."""
        return len(self._submissions)

    @property
    def waiting_cancellations(self) -> int:
        """Return how many cancellations are pending."""
        return len(self._cancellations)

    @property
    def full(self) -> bool:
        """Return whether no more requests can be accepted for now."""
        return len(self._submissions) + len(self._cancellations) >= self.max_waiting

    @property
    def has_dependencies(self) -> bool:
        """Return whether a pending submission has dependencies."""
        return any(request.spec is not None and request.spec.dependencies for request in self._submissions)

    def refuse(self, job_id: str, reason: str) -> None:
        """Remove the pending submissions of a job that can never be stored, and refuse them to their callers."""
        for request in self._submissions.remove(job_id):
            request.refuse(reason)

    def lookup(self, job_id: str) -> JobStatus | None:
        """Return the committed status of a job; None if this term does not know it."""
        job = self._cluster.jobs.get(job_id)
        if job is not None:
            return user_job_status(self._cluster, job)
        return self._final_statuses.get(job_id)

    def record_ended(self, job: Job) -> None:
        """Cache the final status of a job that is about to be removed from the cluster state."""
        self._final_statuses.put(job.id, user_job_status(self._cluster, job))

    def append_cancellations(self, batch: Batch) -> None:
        """Append pending cancellations; one of a job whose records must be migrated first stays pending."""
        postponed: list[PendingRequest] = []
        while self._cancellations:
            request = self._cancellations.first
            job = batch.job(request.job_id)
            if job is not None and job.state is JobState.ACTIVE:
                if batch.must_wait(job):
                    postponed.append(self._cancellations.take_first())
                    continue
                if not batch.has_room(job, may_end_job=True):
                    break
                batch.cancel_job(request.job_id, self._wall_clock())
            self._take_first(self._cancellations, batch, request.job_id)
        for request in postponed:
            self._cancellations.add(request)

    def append_dependent_cancellations(self, batch: Batch) -> None:
        """Cancel the dependents of cancelled jobs; none of their tasks has ever started, so only records change."""
        for job_id in list(self._cluster.dependencies.pending_cancellations):
            job = batch.job(job_id)
            if job is None or job.state is not JobState.ACTIVE or batch.must_wait(job):
                continue
            if not batch.has_room(job, may_end_job=True):
                return
            batch.cancel_job(job_id, self._wall_clock())

    def append_submissions(self, batch: Batch, now: float) -> None:
        """Append pending submissions; one with a known job id creates no job, so that users may retry.

        A submission whose user was told to retry, and did not, is dropped: nobody would learn that it was accepted.
        """
        dropped = self._submissions.drop_abandoned_before(now - self._keep_abandoned_s)
        if dropped:
            log.info("%d submissions dropped, whose users no longer wait for them", dropped)
        while self._submissions:
            request = self._submissions.first
            spec = request.spec
            assert spec is not None
            is_repeated = batch.job(spec.id) is not None or spec.id in self._final_statuses
            if not is_repeated and not self._create_job(batch, spec, request, now):
                return
            self._take_first(self._submissions, batch, spec.id)

    def _take_first(self, requests: PendingRequests, batch: Batch, job_id: str) -> None:
        """Remove the first request from its queue; respond to it on commit, put it back on discard."""
        request = requests.take_first()
        batch.on_discard.append(partial(requests.put_back, request))
        batch.on_commit.append(partial(self._respond, request, job_id))

    def _create_job(self, batch: Batch, spec: JobSpec, request: PendingRequest, now: float) -> bool:
        """Create a job in a batch; return False if the batch has no room for it."""
        job = Job(spec, self._wall_clock())
        self._layout.assign_tasks_per_record(job)
        if not batch.has_room(job):
            return False
        states = {
            dependency: self._dependency_state(batch, dependency, request) for dependency in spec.dependencies or ()
        }
        batch.create_job(job, {dependency for dependency, state in states.items() if state is not JobState.DONE})
        if JobState.CANCELLED in states.values():
            batch.cancel_job(job.id, self._wall_clock())
        elif not batch.unmet_dependencies[job.id]:
            self._arrivals.record(spec, now)
        log.debug("job %s: accepted: class %s, %d tasks", spec.id, spec.job_class, spec.tasks)
        return True

    def _dependency_state(self, batch: Batch, dependency: str, request: PendingRequest) -> JobState:
        """Return the state of a dependency as this batch leaves it: ACTIVE, DONE or CANCELLED."""
        job = batch.job(dependency)
        if job is not None:
            # The dependency graph applies the ends of jobs in this batch only after it has added the new job, so the
            # state of the dependency itself is checked as well.
            is_cancelled = (
                job.state in (JobState.CANCELLED, JobState.TERMINATED)
                or dependency in self._cluster.dependencies.pending_cancellations
            )
            return JobState.CANCELLED if is_cancelled else JobState.ACTIVE
        status = self._final_statuses.get(dependency)
        if status is not None:
            return JobState(status.state)
        return JobState(request.ended_dependencies.get(dependency, JobState.ACTIVE.value))

    def _respond(self, request: PendingRequest, job_id: str) -> None:
        request.respond(self.lookup(job_id))
