"""The placement pass: one round over the queue, within its time budget and the batch's limits."""

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

# The pause after a round that left jobs queued and saw nothing change, as a part of the report interval.
IDLE_PAUSE = 1 / 4
# The bytes that a batch keeps free, and those that one placement takes.
RESERVED_BYTES = 4096
BYTES_PER_PLACEMENT = 128
# Operations that a batch keeps free: the job's record, and one to spare.
RESERVED_OPERATIONS = 2
# The most placements that one log line names.
MAX_PLACEMENTS_LOGGED = 8
# The highest fetch rank at which a machine fetches nothing else, and that at which it has the image already.
RANK_ALONE = 1
RANK_CACHED = 0


class PlacementPass:
    """Places queued tasks, job by job in the order of the queue."""

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
        self._wall = context.wall
        self._counters = context.counters
        self._queue = queue
        self._candidates = candidates
        self._preemption = preemption
        self._pacing = pacing
        # The job behind which the next round resumes, if the last one was truncated.
        self._resume_behind: str | None = None
        # The offers of which a machine boots and is not late.
        self._booting: set[MachineOffer] = set()

    def run(self, batch: Batch, now: float) -> None:
        """Run one round; what it leaves is for the next one.

        The time budget counts from when the candidates are there, and at least one job is attempted. Guards against
        rounds of thousands of machines, or on a small share of a processor, that are truncated before their first
        job: seen with 4,000 machines, where a new job was queued for half a minute.
        """
        self._counters.rounds += 1
        queued = self._queue.queued()
        self._preemption.reservations.expire(now, self._cluster.jobs)
        self._booting = self._booting_offers(now)
        placement_round = PlacementRound(
            self._candidates.all(now, _smallest_request(queued.jobs)),
            round(self._tuning.placement_sample_machines),
            self._rng,
            lambda job_id, index: (job_id, index) in self._cluster.orphaned_tasks,
        )
        state = RoundState(placement_round, self._candidates, queued.order, now)
        jobs = self._resumed(queued.jobs)
        self._pacing.begin()
        self._place_jobs(batch, jobs, state)
        self._pacing.end(now, self._clock())

    def _place_jobs(self, batch: Batch, jobs: list[Job], state: RoundState) -> None:
        """Attempt one job after the other until the budget or the batch is used up."""
        now = state.now
        deadline = self._clock() + self._pacing.budget_s
        any_attempted = False
        next_retry_at = INFINITE
        for job in jobs:
            retry_at = self._cluster.retry_at.get(job.id, 0.0)
            if retry_at > now:
                next_retry_at = min(next_retry_at, retry_at)
                continue
            if self._is_changing(batch, job):
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
            self._pacing.request_round_at(now + self._platform.report_s * IDLE_PAUSE)

    def _booting_offers(self, now: float) -> set[MachineOffer]:
        return {
            MachineOffer(machine.type.name, machine.zone, machine.spot)
            for machine in self._cluster.machines.values()
            if machine.state is MachineState.BOOTING
            and machine.type is not None
            and now - machine.created_at < machine.type.boot_s * self._tuning.boot_timeout_boot_times
        }

    def _resumed(self, jobs: list[Job]) -> list[Job]:
        """Return the queue from behind the job at which the last round was truncated, then the jobs before."""
        if self._resume_behind is None:
            return jobs
        at = next((number for number, job in enumerate(jobs) if job.id == self._resume_behind), -1)
        self._resume_behind = None
        return jobs[at + 1 :] + jobs[: at + 1]

    @staticmethod
    def _is_changing(batch: Batch, job: Job) -> bool:
        """Tell whether a job cannot be placed in this batch: it changes in it, or its records must migrate first."""
        current = batch.job(job.id)
        if current is None or current.state is not JobState.ACTIVE or job.id in batch.jobs:
            return True
        return batch.must_migrate_first(job)

    def _truncate(self, job: Job, jobs: list[Job]) -> None:
        """End the round before a job: the next one resumes there."""
        self._counters.rounds_truncated += 1
        at = jobs.index(job)
        self._resume_behind = jobs[at - 1].id if at > 0 else None
        self._pacing.record_change()

    def _place_job(self, batch: Batch, job: Job, state: RoundState) -> None:
        """Place what fits of a job's queued tasks, or preempt for them."""
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
            assignments = self._within_records(batch, job, assignments)
        if not assignments:
            self._pacing.request_round()
            return
        self._bind(batch, job, assignments)

    def _bind(self, batch: Batch, job: Job, assignments: list[TaskAssignment]) -> None:
        """Put the placements into the batch."""
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

    def _within_records(self, batch: Batch, job: Job, assignments: list[TaskAssignment]) -> list[TaskAssignment]:
        """Return as many of an array's or service's assignments as the batch has room for the records they change."""
        chunks: set[int] = set()
        for count, assignment in enumerate(assignments):
            chunks |= {self._layout.chunk_of(job, assignment.task_index)} - {0}
            if not batch.has_room(job, count + 1, len(chunks)):
                return assignments[:count]
        return assignments

    def _max_tasks_in_batch(self, batch: Batch, job: Job) -> int:
        """Return how many tasks of a job this batch can still place."""
        tasks_per_record = self._layout.tasks_per_record(job)
        if job.is_gang:
            chunks = -(-job.spec.tasks // tasks_per_record)
            entries = min(job.tasks_queued, len(self._cluster.machines) + chunks)
            return job.tasks_queued if batch.has_room(job, entries, chunks - 1) else 0
        records = max(1, batch.operations_left - RESERVED_OPERATIONS)
        return max(1, min(tasks_per_record * records, (batch.bytes_left - RESERVED_BYTES) // BYTES_PER_PLACEMENT))

    def _max_fetch_rank(self, job: Job, now: float) -> int:
        """Return the highest fetch rank at which a job's tasks are placed: see `PlacementRound.place`."""
        if self._preemption.waits_for_image(job, now):
            return RANK_CACHED
        return RANK_ALONE if self._should_await_booting(job) else ANY_FETCH_RANK

    def _should_await_booting(self, job: Job) -> bool:
        """Tell whether a booting machine is likely better than one that fetches another image.

        Fetches share a machine's rate, so images that are mixed on one machine all come late.
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
        """Return for how long a job could have run, as far as its dependencies go."""
        ready_at = self._cluster.ready_at.get(job.id)
        return self._wall() - job.submitted_at if ready_at is None else self._clock() - ready_at


def _smallest_request(jobs: list[Job]) -> Resources:
    """Return the least that any of these jobs' tasks requests of each resource."""
    specs = [job.spec for job in jobs]
    return Resources(
        min((spec.cpus for spec in specs), default=INFINITE),
        min((spec.gpus for spec in specs), default=INFINITE),
        min((spec.memory_gb for spec in specs), default=INFINITE),
    )
