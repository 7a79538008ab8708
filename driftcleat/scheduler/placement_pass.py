"""The placement pass: one round over the queue, within its time budget and the batch."""

import logging

from driftcleat.cluster import Batch, Job, JobState, MachineState, TaskPlacement, TaskState
from driftcleat.placement.candidates import Resources, allowed, fits
from driftcleat.placement.placement_round import UNBOUNDED, PlacementRound, TaskAssignment
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.preemption import Preemption
from driftcleat.scheduler.queue import JobQueue
from driftcleat.scheduler.round_state import RoundState

log = logging.getLogger(__name__)

# The pause after a round that left jobs in the queue and saw nothing change, of the report interval.
IDLE_PAUSE = 1 / 4
# What a batch keeps free of its bytes, and what a place takes of them.
BYTES_KEPT = 4096
BYTES_A_PLACE = 128
# Places that one line of the log names at the most.
PLACES_LOGGED = 8


class PlacementPass:
    """Gives queued tasks their places."""

    def __init__(
        self,
        context: SchedulerContext,
        queue: JobQueue,
        candidates: MachineCandidates,
        preemption: Preemption,
        pacing: RoundPacing,
    ) -> None:
        self._platform, self._tuning, self._cluster = context.platform, context.tuning, context.cluster
        self._layout, self._rng = context.layout, context.rng
        self._clock, self._wall = context.clock, context.wall
        self._counters = context.counters
        self._queue, self._candidates = queue, candidates
        self._preemption, self._pacing = preemption, pacing
        # The job behind which a round goes on that was cut off.
        self._resume_behind: str | None = None
        # Type, zone and kind of the machines that boot and are not late.
        self._booting: set[tuple[str, str, bool]] = set()

    def run(self, batch: Batch, now: float) -> None:
        """Play one round; what it leaves is for the next one.

        The time budget counts from when the candidates are there, and at least one job is looked at. Guards against
        rounds of thousands of machines, or on a small share of a processor, that are cut before their first job: seen
        with 4,000 machines, where a new job waited half a minute.
        """
        self._counters.rounds += 1
        waiting = self._queue.queued()
        self._preemption.reservations.expire(now, self._cluster.jobs)
        self._booting = self._booting_kinds(now)
        work = PlacementRound(
            self._candidates.all(now, _least(waiting.jobs)),
            round(self._tuning.sample),
            self._rng,
            lambda job_id, index: (job_id, index) in self._cluster.orphaned_tasks,
        )
        state = RoundState(work, self._candidates, waiting.order, now)
        queued = self._from_where_it_stopped(waiting.jobs)
        self._pacing.begin()
        deadline = self._clock() + self._pacing.budget_s
        one_looked_at = False
        retry_at = INFINITE
        for job in queued:
            wait = self._cluster.retry_at.get(job.id, 0.0)
            if wait > now:
                retry_at = min(retry_at, wait)
                continue
            if self._changes_already(batch, job):
                self._pacing.request_round()
                continue
            if (one_looked_at and self._clock() >= deadline) or not batch.has_room(job):
                self._cut(job, queued)
                break
            one_looked_at = True
            self._place_one(batch, job, state)
        else:
            if retry_at < INFINITE:
                self._pacing.request_round_at(retry_at)
            elif queued:
                self._pacing.request_round_at(now + self._platform.report_s * IDLE_PAUSE)
        self._pacing.end(now, self._clock())

    def _booting_kinds(self, now: float) -> set[tuple[str, str, bool]]:
        return {
            (machine.type.name, machine.zone, machine.spot)
            for machine in self._cluster.machines.values()
            if machine.state is MachineState.BOOTING
            and machine.type is not None
            and now - machine.created_at < machine.type.boot_s * self._tuning.late
        }

    def _from_where_it_stopped(self, queued: list[Job]) -> list[Job]:
        """Return the queue from behind the job at which the last round was cut off."""
        if self._resume_behind is None:
            return queued
        at = next((number for number, job in enumerate(queued) if job.id == self._resume_behind), -1)
        self._resume_behind = None
        return queued[at + 1 :] + queued[: at + 1]

    @staticmethod
    def _changes_already(batch: Batch, job: Job) -> bool:
        """Whether a job cannot be placed in this batch, since it changes in it, or waits for its records' move."""
        current = batch.job(job.id)
        if current is None or current.state is not JobState.ACTIVE or job.id in batch.jobs:
            return True
        return batch.must_migrate_first(job)

    def _cut(self, job: Job, queued: list[Job]) -> None:
        """The budget of this round is used up: the next one goes on behind the job before this."""
        self._counters.rounds_truncated += 1
        at = queued.index(job)
        self._resume_behind = queued[at - 1].id if at > 0 else None
        self._pacing.record_change()

    def _place_one(self, batch: Batch, job: Job, state: RoundState) -> None:
        quota = state.quotas.setdefault(job.spec.team, self._queue.quota_headroom(job.spec.team))
        most = self._batch_most(batch, job)
        if job.is_gang and job.tasks_queued > most:
            self._pacing.request_round()
            return
        if self._preemption.preempt_where_image_is_cached(batch, job, state, quota):
            return
        placed = state.placement_round.place(job, quota, most, self._max_fetch_rank(job, state.now))
        if not placed:
            if job.tasks_queued and quota.fits(job.spec, job.tasks_queued if job.is_gang else 1):
                self._preemption.preempt_for(batch, job, state)
            return
        if not job.is_gang:
            placed = self._within_records(batch, job, placed)
        if not placed:
            self._pacing.request_round()
            return
        self._move(batch, job, placed)

    def _move(self, batch: Batch, job: Job, placed: list[TaskAssignment]) -> None:
        attempt = batch.next_attempt(job.id)
        for index, candidate in placed:
            batch.transition_task(
                job.id, index, TaskState.PLACED, TaskPlacement(candidate.name, candidate.zone, attempt)
            )
        self._counters.placed += len(placed)
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "job %s (%s, image %s of %.1f GB) attempt %d: %s",
                job.id,
                job.spec.job_class,
                job.spec.image,
                job.spec.image_gb,
                attempt,
                ", ".join(f"{index} on {candidate.name}" for index, candidate in placed[:PLACES_LOGGED]),
            )
        if job.is_gang or len(placed) == job.tasks_queued:
            self._preemption.release(job.id)

    def _within_records(self, batch: Batch, job: Job, placed: list[TaskAssignment]) -> list[TaskAssignment]:
        """Return as many of an array's or service's new places as the records that may still change can take."""
        chunks: set[int] = set()
        for count, (index, _) in enumerate(placed):
            chunks |= {self._layout.chunk_of(job, index)} - {0}
            if not batch.has_room(job, count + 1, len(chunks)):
                return placed[:count]
        return placed

    def _batch_most(self, batch: Batch, job: Job) -> int:
        """Return how many tasks of a job this batch can still place."""
        chunk = self._layout.tasks_per_record(job)
        ops = batch.operations_left - 2
        if job.is_gang:
            chunks = -(-job.spec.tasks // chunk)
            entries = min(job.tasks_queued, len(self._cluster.machines) + chunks)
            return job.tasks_queued if batch.has_room(job, entries, chunks - 1) else 0
        return max(1, min(chunk * max(1, ops), (batch.bytes_left - BYTES_KEPT) // BYTES_A_PLACE))

    def _max_fetch_rank(self, job: Job, now: float) -> int:
        """Return how far a place's fetches may be shared: see `PlacementRound.place`."""
        if self._preemption.waits_for_image(job, now):
            return 0
        return 1 if self._better_waits(job) else UNBOUNDED

    def _better_waits(self, job: Job) -> bool:
        """Whether a machine that boots is likely better than one that fetches another image: fetches share
        a machine's rate, so images that are mixed on one machine all come late."""
        for name, zone, spot in self._booting:
            machine_type = self._cluster.machine_types.get(name)
            if (
                machine_type is not None
                and allowed(job.spec, name, zone, spot)
                and fits(job.spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            ):
                return self._waited_s(job) < machine_type.boot_s * self._tuning.patience
        return False

    def _waited_s(self, job: Job) -> float:
        """Return for how long a job could have run, as far as other jobs go."""
        ready_at = self._cluster.ready_at.get(job.id)
        return self._wall() - job.submitted_at if ready_at is None else self._clock() - ready_at


def _least(jobs: list[Job]) -> Resources:
    """Return the least that any of these jobs' tasks takes of each amount."""
    specs = [job.spec for job in jobs]
    return Resources(
        min((spec.cpus for spec in specs), default=INFINITE),
        min((spec.gpus for spec in specs), default=INFINITE),
        min((spec.memory_gb for spec in specs), default=INFINITE),
    )
