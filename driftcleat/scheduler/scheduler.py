"""One term of leadership without any I/O: what waits to be decided, and the next batch of decisions.

The controller feeds it (submissions, cancellations, reports, lists), asks for the next batch, has the
store take it, and makes it visible. A batch is built in the order: cancellations, submissions, what
reports prove, stops, rental requests, placement, clearing away.
"""

import random
from collections.abc import Callable

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan
from driftcleat.cluster import Batch, ClusterState, Job, JobState, Machine, MachineState, reconcile
from driftcleat.scheduler.admission import Admission
from driftcleat.scheduler.cancellations import Cancellations
from driftcleat.scheduler.consolidation import Consolidation
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.demand import DemandPlanner
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.placement_pass import PlacementPass
from driftcleat.scheduler.preemption import Preemption
from driftcleat.scheduler.queue import JobQueue
from driftcleat.scheduler.reachability import Reachability
from driftcleat.scheduler.record_migration import RecordMigration
from driftcleat.scheduler.reservations import Reservations
from driftcleat.scheduler.scale_in import ScaleInPlanner
from driftcleat.scheduler.scale_out import MAX_MACHINES_PER_REQUEST, ScaleOut
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import RecordLayout

# Workers have this many report intervals to be heard by a new leader before anything is placed.
REPORTS_BEFORE_PLACING = 1.25
# The store takes requests of 64 KiB; conditions and framing take the rest.
BATCH_BYTES = 56 * 1024
# A machine that failed tasks of so many jobs is drained.
FAILED_JOBS_BEFORE_DRAIN = 2


class Scheduler:
    """The decisions of one term."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        cluster: ClusterState,
        layout: RecordLayout,
        rng: random.Random,
        clock: Callable[[], float],
        wall: Callable[[], float],
        brand_new: bool = False,
    ) -> None:
        """`brand_new`: the store never held a batch, so there are no workers yet whose reports to wait for."""
        context = SchedulerContext(platform, tuning, cluster, layout, rng, clock, wall)
        self.platform, self.tuning, self.cluster, self.layout = platform, tuning, cluster, layout
        self.clock, self.counters = clock, context.counters
        now = clock()
        wait_s = 0.0 if brand_new else platform.report_s * REPORTS_BEFORE_PLACING
        # Machines to which stops are sent at once, and those that the batch under way gives tasks.
        self.urgent_stops: set[str] = set()
        self._in_flight: set[str] = set()
        self._arrivals = ArrivalRates(platform.report_s * tuning.window, platform.report_s)
        self.pacing = RoundPacing(platform, tuning, now + wait_s)
        self.admission = Admission(context, self._arrivals)
        self.queue = JobQueue(platform, tuning, cluster)
        self.drainer = MachineDrainer(context)
        self.garbage_collector = GarbageCollector(context)
        self.migration = RecordMigration(context, self.garbage_collector, self.pacing)
        self.scale_out = ScaleOut(context)
        self.reachability = Reachability(context)
        self.cancellations = Cancellations(context, self.urgent_stops)
        reservations = Reservations()
        self.candidates = MachineCandidates(context, reservations)
        self.preemption = Preemption(context, self.candidates, reservations, self.drainer, self.pacing)
        self._placement = PlacementPass(context, self.queue, self.candidates, self.preemption, self.pacing)
        self.demand = DemandPlanner(context, self.queue, self.reachability, self.scale_out, self._arrivals)
        self._scale_in = ScaleInPlanner(context, self.candidates, self.reachability)
        self._consolidation = Consolidation(context, self.candidates)
        self._listen_to_cluster()
        self._note_known_jobs(now, wall())

    def _listen_to_cluster(self) -> None:
        cluster = self.cluster
        cluster.on_exit = self._note_exit
        cluster.on_up = self.pacing.record_change
        cluster.on_image = self.garbage_collector.record_images
        cluster.on_notice = lambda machine, notice_s: self.drainer.drain(machine, f"notice of {notice_s:.1f} s")

    def _note_known_jobs(self, now: float, wall: float) -> None:
        for job in self.cluster.jobs.values():
            self.layout.assign_tasks_per_record(job)
            if self.cluster.dependencies_met(job):
                self._arrivals.record(job.spec, now - max(0.0, wall - job.submitted_at))

    def _note_exit(self, machine: Machine, job: Job, why: str) -> None:
        self.counters.exits[why] = self.counters.exits.get(why, 0) + 1
        if len(machine.failed_jobs) >= FAILED_JOBS_BEFORE_DRAIN and machine.state is MachineState.UP:
            self.drainer.drain(machine, "it fails its tasks")

    # -- the batch ----------------------------------------------------------------------------------------

    @property
    def target_batch_operations(self) -> float:
        """Return how many changes the store should take before a batch without users is built."""
        return self.platform.write_rps * self.tuning.reserve + self.platform.txn_ops / 2

    @property
    def has_work(self) -> bool:
        """Whether a batch built now may hold something."""
        return bool(
            self.admission.has_waiting
            or self.cluster.machines_to_reconcile
            or self.scale_out.pending
            or self.garbage_collector.pending
            or self.drainer.pending
            or self.cluster.dependencies.pending_cancellations
            or self.migration.latch_due
            or self.migration.pending
            or self.pacing.due(self.clock())
        )

    def build_batch(self, changes: float = INFINITE) -> Batch:
        """Return the next batch; it may be empty. `changes` is what the store takes at once just now.

        Users come first: a part of the changes a second stays free for them, and what only tidies up is left
        for when there are changes to spare. Guards against submissions waiting behind hundreds of notes.
        """
        batch = self._build(changes, self.platform.txn_ops)
        stuck = (
            batch.is_empty
            and not batch.on_commit
            and bool(self.cluster.machines_to_reconcile or self.drainer.pending)
        )
        if stuck and not self.layout.version_2_active and self.platform.first_txn_ops > self.platform.txn_ops:
            # A gang that the first data version keeps in more records than the lower limit allows to change at once.
            # Guards against everything waiting behind it until the switch.
            batch = self._build(changes, self.platform.first_txn_ops)
        return batch

    def _build(self, changes: float, txn_ops: int) -> Batch:
        now = self.clock()
        most = txn_ops - 1
        batch = Batch(self.cluster.jobs, self.layout.chunk_of, most, BATCH_BYTES, self.layout.needs_migration)
        # Only who knows that every controller is new hands such a job in.
        self.migration.latch_requested = self.migration.latch_requested or self.admission.has_dependencies
        if self.migration.latch_due:
            self.migration.append_latch(batch)
            return batch
        self.admission.append_cancellations(batch)
        self.admission.append_submissions(batch, now)
        for_users = most - batch.operations_left
        self.admission.append_dependent_cancellations(batch)
        self.migration.append_to(batch)
        spare = changes - 1 - for_users - self.platform.write_rps * self.tuning.reserve
        moved = most - for_users - batch.operations_left
        batch.operations_left = left = int(max(0, min(batch.operations_left, spare - moved)))
        self._take_reports(batch, now)
        self.drainer.append_stops(batch)
        self.scale_out.append_to(batch)
        if not for_users and batch.operations_left > 0 and self.pacing.due(now):
            # Guards against rounds that look at every machine while the store takes no change: what they cost a small
            # share of a processor is missing for reports.
            self._placement.run(batch, now)
        tidy = spare - moved - (left - batch.operations_left) - self.platform.write_rps * self.tuning.tidy
        batch.operations_left = int(max(0, min(batch.operations_left, tidy)))
        self.garbage_collector.append_to(batch)
        self.migration.prioritise(batch.awaiting_migration)
        self._note_under_way(batch)
        return batch

    def _take_reports(self, batch: Batch, now: float) -> None:
        """Put what reports prove into a batch, for as long as a round may take."""
        for name in list(self.cluster.machines_to_reconcile):
            machine = self.cluster.machines.get(name)
            waiting = set(batch.awaiting_migration)
            if machine is not None and not reconcile(self.cluster, machine, batch, now):
                if self.clock() - now > self.pacing.budget_s:
                    return
            elif batch.awaiting_migration == waiting:
                self.cluster.machines_to_reconcile.discard(name)

    def _note_under_way(self, batch: Batch) -> None:
        self._in_flight = {
            placement.machine for _, _, _, placement in batch.task_transitions if placement is not None
        }
        self.cluster.attempts_being_released = {
            (job_id, index, old.attempt)
            for job_id, index, old, new in batch.task_transitions
            if old is not None and new is None
        }

    def discard_batch(self, batch: Batch) -> None:
        """A batch is certainly not carried out, and will not be sent again: what it took waits for the next one."""
        for call in reversed(batch.on_discard):
            call()
        self.migration.record_discard()
        self.cluster.machines_to_reconcile.update(
            name
            for name, machine in self.cluster.machines.items()
            if machine.last_heartbeat is not None or machine.state is MachineState.TERMINATED
        )
        self.cluster.attempts_being_released.clear()
        self.cluster.unconfirmed_cancellations.clear()
        self.drainer.pending = True
        self._in_flight = set()
        self.pacing.record_change()

    def apply_commit(self, batch: Batch, revision: int, garbage: list[str]) -> None:
        """Make a batch visible that the store has taken."""
        now = self.clock()
        self.migration.record_commit(revision)
        for job_id in batch.changed_jobs:
            self._note_changed(batch.jobs[job_id])
        self.cluster.apply_batch(batch, revision, now)
        self.queue.invalidate()
        for job_id, ready_at in self.cluster.ready_at.items():
            if ready_at == now:
                self._arrivals.record(self.cluster.jobs[job_id].spec, now)
                self.pacing.record_change()
        self.cluster.unconfirmed_cancellations.clear()
        self.cluster.attempts_being_released.clear()
        if batch.created:
            # A job is placed in the batch after its own: nothing else may come to ask for that round.
            self.pacing.record_change()
        for _, _, old, new in batch.task_transitions:
            if new is None:
                self.pacing.record_change()
            elif new.stop_grace_s is not None and old is not None:
                self.urgent_stops.add(new.machine)
        self.garbage_collector.obsolete_keys.extend(garbage)
        self.drainer.record_commit()
        self._in_flight = set()
        self.counters.batches += 1
        for call in batch.on_commit:
            call()

    def record_external_end(self, job_id: str, state: JobState) -> None:
        """A job that ours need, and that another scheduler has, is done or cancelled: what waited for it may go on.

        Guards against a job that stays out of the queue, which is kept until the next commit: seen in a random walk.
        """
        self.cluster.record_external_end(job_id, state, self.clock())
        self.queue.invalidate()
        self.pacing.record_change()

    def _note_changed(self, job: Job) -> None:
        """A job changes with a commit: remember how it ended, or send its stops at once."""
        if job.state in (JobState.DONE, JobState.TERMINATED):
            self.admission.record_ended(job)
            self.preemption.release(job.id)
        elif job.state is JobState.CANCELLED:
            self.urgent_stops.update(placement.machine for placement in job.placements.values())

    # -- the fleet ----------------------------------------------------------------------------------------

    def plan_scale_out(
        self, now: float, failures: FailureDetector | None = None, most_rented: int = MAX_MACHINES_PER_REQUEST
    ) -> CapacityPlan:
        """Return what to rent for queued and expected work, and which machines that work would use.

        `silence`: what `reachability` has just said, if it was asked; `most_rented`: machines that one plan rents.
        """
        return self.demand.plan(now, failures or self.reachability.detect_failures(now), most_rented)

    def select_scale_in(
        self, plan: CapacityPlan, now: float, failures: FailureDetector | None = None
    ) -> list[Machine]:
        """Return machines that are to be returned."""
        return self._scale_in.select(plan, self._in_flight, now, failures or self.reachability.detect_failures(now))

    def consolidation_candidate(self, now: float) -> Machine | None:
        """Return a machine that is worth draining, since its few replicas fit elsewhere."""
        return self._consolidation.candidate(self._in_flight, now)

    def find_or_register_machine(self, name: str, now: float) -> Machine:
        """Return a machine by name, also one that only the records know."""
        zone = next((placement.zone for placement in self.cluster.unconfirmed_placements.get(name, {}).values()), "")
        return self.cluster.machines.get(name) or self.cluster.register_machine(name, "", zone, False, "", now)

    def summary(self) -> str:
        """Return machines by type and use, and queued tasks by class, for the log."""
        rows: dict[str, list[int]] = {}
        for machine in self.cluster.machines.values():
            name = f"{machine.type.name if machine.type else '?'}{'*' if machine.spot else ''}"
            row = rows.setdefault(name, [0, 0, 0, 0])
            row[0] += 1
            row[1] += machine.state is MachineState.BOOTING
            row[2] += not machine.tasks
            row[3] += round(machine.type.gpus - machine.used_gpus) if machine.type else 0
        queued: dict[str, int] = {}
        for job in self.cluster.jobs.values():
            queued[job.spec.job_class] = queued.get(job.spec.job_class, 0) + job.tasks_queued
        text = ", ".join(
            f"{name}: {row[0]} ({row[1]} booting, {row[2]} empty, {row[3]} free gpus)"
            for name, row in sorted(rows.items())
        )
        return f"{text}; queued {queued}"
