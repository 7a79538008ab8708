"""The placement pass: one round over the queue, within the round's time budget and the limits of the batch."""

import logging

from driftcleat.capacity.sizing import MachineOffer
from driftcleat.cluster import Batch, Job, JobState, MachineState, TaskPlacement, TaskState
from driftcleat.placement.candidates import Resources, fits, satisfies_constraints
from driftcleat.placement.placement_round import ANY_FETCH_RANK, PlacementRound, TaskAssignment
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.preemption import Preemption
from driftcleat.scheduler.queue import JobQueue
from driftcleat.scheduler.round_state import RoundState

log = logging.getLogger(__name__)

# Pause, in heartbeat intervals, before the next round when jobs stay queued and nothing changes in the meantime.
IDLE_PAUSE_INTERVALS = 1 / 4
# Bytes of a batch that placements leave free, and the bytes of one placement.
RESERVED_BYTES = 4096
BYTES_PER_PLACEMENT = 128
# Operations of a batch that placements leave free: one for the job's head record and one spare.
RESERVED_OPERATIONS = 2
MAX_PLACEMENTS_LOGGED = 8
# Fetch ranks of a candidate: the highest one at which no other image is being fetched, and the one at which the job's
# image is cached or being fetched.
FETCH_RANK_NO_OTHER_FETCH = 1
FETCH_RANK_CACHED = 0


class PlacementPass:
    """Places queued tasks, one job after the other in fair-share order."""

    def __init__(
        self,
        context: SchedulerContext,
        queue: JobQueue,
        candidates: MachineCandidates,
        preemption: Preemption,
        pacing: RoundPacing,
    ) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._layout = context.layout
        self._rng = context.rng
        self._clock = context.clock
        self._wall_clock = context.wall_clock
        self._counters = context.counters
        self._queue = queue
        self._candidates = candidates
        self._preemption = preemption
        self._pacing = pacing
        # If the last round was truncated: the job after which the next round resumes.
        self._resume_after: str | None = None
        # Offers with a booting machine that has not exceeded its boot timeout.
        self._booting: set[MachineOffer] = set()

    def run(self, batch: Batch, now: float) -> None:
        """Run one placement round and add its placements and preemptions to the batch.

        The time budget starts once the candidates are collected, and at least one job is attempted. Otherwise a round
        over thousands of machines, or with a small CPU share, would be truncated before its first job: with 4,000
        machines a new job stayed queued for half a minute.
        """
        self._counters.rounds += 1
        queued = self._queue.queued()
        self._preemption.reservations.expire(now, self._cluster.jobs)
        self._booting = self._booting_offers(now)
        placement_round = PlacementRound(
            self._candidates.available(now, _smallest_request(queued.jobs)),
            round(self._tuning.placement_sample_machines),
            self._rng,
            lambda job_id, index: (job_id, index) in self._cluster.orphaned_tasks,
        )
        state = RoundState(placement_round, self._candidates, queued.order, now)
        jobs = self._in_resume_order(queued.jobs)
        self._pacing.begin()
        self._place_jobs(batch, jobs, state)
        self._pacing.end(now, self._clock())

    def _place_jobs(self, batch: Batch, jobs: list[Job], state: RoundState) -> None:
        """Attempt jobs in order until the time budget is spent or the batch is full."""
        now = state.now
        deadline = self._clock() + self._pacing.budget_s
        any_attempted = False
        next_retry_at = INFINITE
        for job in jobs:
            retry_at = self._cluster.failures.retry_at(job.id)
            if retry_at > now:
                next_retry_at = min(next_retry_at, retry_at)
                continue
            if self._must_postpone(batch, job):
                self._pacing.request_round()
                continue
            if (any_attempted and self._clock() >= deadline) or not batch.has_room(job):
                self._truncate(job, jobs)
                return
            any_attempted = True
            self._place_job(batch, job, state)
        if next_retry_at < INFINITE:
            self._pacing.request_round_at(next_retry_at)
        elif jobs:
            self._pacing.request_round_at(now + self._platform.report_s * IDLE_PAUSE_INTERVALS)

    def _booting_offers(self, now: float) -> set[MachineOffer]:
        return {
            MachineOffer(machine.type.name, machine.zone, machine.spot)
            for machine in self._cluster.machines.values()
            if machine.state is MachineState.BOOTING
            and machine.type is not None
            and now - machine.created_at < machine.type.boot_s * self._tuning.boot_timeout_boot_times
        }

    def _in_resume_order(self, jobs: list[Job]) -> list[Job]:
        """Return the queue rotated so that it starts where the last round was truncated."""
        if self._resume_after is None:
            return jobs
        at = next((position for position, job in enumerate(jobs) if job.id == self._resume_after), -1)
        self._resume_after = None
        return jobs[at + 1 :] + jobs[: at + 1]

    @staticmethod
    def _must_postpone(batch: Batch, job: Job) -> bool:
        """Return whether a job must wait for a later batch: it changes in this one or needs record migration."""
        current = batch.job(job.id)
        if current is None or current.state is not JobState.ACTIVE or job.id in batch.jobs:
            return True
        return batch.must_wait(job)

    def _truncate(self, job: Job, jobs: list[Job]) -> None:
        """End the round before a job; the next round resumes with it."""
        self._counters.rounds_truncated += 1
        at = jobs.index(job)
        self._resume_after = jobs[at - 1].id if at > 0 else None
        self._pacing.record_change()

    def _place_job(self, batch: Batch, job: Job, state: RoundState) -> None:
        """Place as many of a job's queued tasks as fit; if none fits, try to preempt for them."""
        quota = state.quotas.setdefault(job.spec.team, self._queue.quota_headroom(job.spec.team))
        max_tasks = self._max_tasks_in_batch(batch, job)
        if job.is_gang and job.tasks_queued > max_tasks:
            self._pacing.request_round()
            return
        if self._preemption.preempt_where_image_is_cached(batch, job, state, quota):
            return
        assignments = state.placement_round.place(job, quota, max_tasks, self._max_fetch_rank(job, state.now))
        if not assignments:
            if job.tasks_queued and quota.fits(job.spec, job.tasks_queued if job.is_gang else 1):
                self._preemption.preempt_for(batch, job, state)
            return
        if not job.is_gang:
            assignments = self._limit_to_batch_room(batch, job, assignments)
        if not assignments:
            self._pacing.request_round()
            return
        self._bind(batch, job, assignments)

    def _bind(self, batch: Batch, job: Job, assignments: list[TaskAssignment]) -> None:
        """Add the placements to the batch as a new attempt of the job."""
        attempt = batch.next_attempt(job.id)
        for index, candidate in assignments:
            batch.transition_task(
                job.id, index, TaskState.PLACED, TaskPlacement(candidate.name, candidate.zone, attempt)
            )
        self._counters.placed += len(assignments)
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "job %s: placed (class %s, image %s of %.1f GB, attempt %d): %s",
                job.id,
                job.spec.job_class,
                job.spec.image,
                job.spec.image_gb,
                attempt,
                ", ".join(
                    f"task {job.id}/{index} on machine {candidate.name}"
                    for index, candidate in assignments[:MAX_PLACEMENTS_LOGGED]
                ),
            )
        if job.is_gang or len(assignments) == job.tasks_queued:
            self._preemption.release(job.id)

    def _limit_to_batch_room(self, batch: Batch, job: Job, assignments: list[TaskAssignment]) -> list[TaskAssignment]:
        """Return the first assignments of an array or service whose changed records fit in the batch."""
        chunks: set[int] = set()
        for count, assignment in enumerate(assignments):
            chunks.add(self._layout.chunk_of(job, assignment.task_index))
            if not batch.has_room(job, count + 1, chunks):
                return assignments[:count]
        return assignments

    def _max_tasks_in_batch(self, batch: Batch, job: Job) -> int:
        """Return how many tasks of a job still fit in the batch: for a gang all or 0, else an estimate above 0."""
        tasks_per_record = self._layout.tasks_per_record(job)
        if job.is_gang:
            chunks = -(-job.spec.tasks // tasks_per_record)
            rows = min(job.tasks_queued, len(self._cluster.machines) + chunks)
            return job.tasks_queued if batch.has_room(job, rows, range(chunks)) else 0
        records = max(1, batch.operations_left - RESERVED_OPERATIONS)
        return max(1, min(tasks_per_record * records, (batch.bytes_left - RESERVED_BYTES) // BYTES_PER_PLACEMENT))

    def _max_fetch_rank(self, job: Job, now: float) -> int:
        """Return the highest acceptable fetch rank for a job's tasks; `PlacementRound.place` defines the ranks."""
        if self._preemption.waits_for_image(job, now):
            return FETCH_RANK_CACHED
        return FETCH_RANK_NO_OTHER_FETCH if self._should_await_booting(job) else ANY_FETCH_RANK

    def _should_await_booting(self, job: Job) -> bool:
        """Return whether to wait for a booting machine rather than use one that is fetching another image.

        Concurrent fetches share a machine's fetch rate, so each of them takes longer.
        """
        for offer in self._booting:
            machine_type = self._cluster.machine_types.get(offer.machine_type)
            if (
                machine_type is not None
                and satisfies_constraints(job.spec, offer.machine_type, offer.zone, offer.spot)
                and fits(job.spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            ):
                return self._queued_s(job) < machine_type.boot_s * self._tuning.image_wait_boot_times
        return False

    def _queued_s(self, job: Job) -> float:
        """Return the seconds since a job was submitted or, if it had dependencies, since the last one was met."""
        ready_at = self._cluster.ready_at.get(job.id)
        return self._wall_clock() - job.submitted_at if ready_at is None else self._clock() - ready_at


def _smallest_request(jobs: list[Job]) -> Resources:
    """Return the smallest request for each resource among the tasks of these jobs."""
    specs = [job.spec for job in jobs]
    return Resources(
        min((spec.cpus for spec in specs), default=INFINITE),
        min((spec.gpus for spec in specs), default=INFINITE),
        min((spec.memory_gb for spec in specs), default=INFINITE),
    )
