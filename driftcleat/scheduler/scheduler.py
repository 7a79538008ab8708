"""The scheduler of one leader term, without any I/O: what is pending, and the next batch of decisions.

The controller feeds it (users' requests, heartbeats, machine lists), asks for the next batch, commits it to the store
and has it applied. Only the leader has a scheduler; a new term begins with a new one, made from the stored records.
"""

import random
from collections.abc import Callable

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan
from driftcleat.cluster import Batch, ClusterState, Job, JobState, Machine, MachineState, apply_batch
from driftcleat.scheduler.admission import Admission
from driftcleat.scheduler.batch_builder import BatchBuilder
from driftcleat.scheduler.cancellations import Cancellations
from driftcleat.scheduler.cluster_events import ClusterEventHandler
from driftcleat.scheduler.consolidation import Consolidation
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.demand import DemandPlanner
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.fleet_summary import fleet_summary
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.pacing import RoundPacing, no_overload
from driftcleat.scheduler.placement_pass import PlacementPass
from driftcleat.scheduler.preemption import Preemption
from driftcleat.scheduler.queue import JobQueue
from driftcleat.scheduler.reachability import Reachability
from driftcleat.scheduler.record_migration import RecordMigration
from driftcleat.scheduler.reservations import Reservations
from driftcleat.scheduler.scale_in import ScaleInPlanner
from driftcleat.scheduler.scale_out import MAX_MACHINES_PER_REQUEST, ScaleOut
from driftcleat.settings import Platform, Tuning
from driftcleat.store.layout import RecordLayout

# So many report intervals after the start of a term nothing is placed: workers report to the new leader first.
REPORT_INTERVALS_BEFORE_PLACING = 1.25


class Scheduler:
    """Takes all decisions of one leader term; its parts hold what is pending of each kind.

    `clock` is monotonic and shared with `cluster`; `wall_clock` returns the time of day; both in seconds.
    `is_new_store`: the store never held a batch, so there are no workers yet whose heartbeats to wait for.
    `overload_pause_s`: returns by how much rounds are delayed while heartbeats are handled late, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        cluster: ClusterState,
        layout: RecordLayout,
        rng: random.Random,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        is_new_store: bool = False,
        overload_pause_s: Callable[[], float] = no_overload,
    ) -> None:
        context = SchedulerContext(platform, tuning, cluster, layout, rng, clock, wall_clock)
        self.platform = platform
        self.tuning = tuning
        self.cluster = cluster
        self.layout = layout
        self._clock = clock
        self.counters = context.counters
        self.urgent_stops = context.urgent_stops
        now = clock()
        self._arrivals = ArrivalRates(platform.report_s * tuning.arrival_window_intervals, platform.report_s)
        self.pacing = RoundPacing(platform, tuning, now + _heartbeat_wait_s(platform, is_new_store), overload_pause_s)
        self.admission = Admission(context, self._arrivals)
        self.queue = JobQueue(platform, tuning, cluster)
        self.drainer = MachineDrainer(context)
        self.garbage_collector = GarbageCollector(context)
        self.migration = RecordMigration(context, self.garbage_collector, self.pacing)
        self.scale_out = ScaleOut(context)
        self.reachability = Reachability(context)
        self.cancellations = Cancellations(context)
        reservations = Reservations()
        self.candidates = MachineCandidates(context, reservations)
        self.preemption = Preemption(context, self.candidates, reservations, self.drainer, self.pacing)
        self._placement = PlacementPass(context, self.queue, self.candidates, self.preemption, self.pacing)
        self.demand = DemandPlanner(context, self.queue, self.reachability, self.scale_out, self._arrivals)
        self._scale_in = ScaleInPlanner(context, self.candidates, self.reachability)
        self._consolidation = Consolidation(context, self.candidates)
        self._batch_builder = self._new_batch_builder(context)
        cluster.subscribe(ClusterEventHandler(self.counters, self.pacing, self.garbage_collector, self.drainer))
        self._record_recovered_jobs(now, wall_clock())

    def _new_batch_builder(self, context: SchedulerContext) -> BatchBuilder:
        return BatchBuilder(
            context,
            self.admission,
            self.migration,
            self.drainer,
            self.scale_out,
            self._placement,
            self.garbage_collector,
            self.pacing,
        )

    def _record_recovered_jobs(self, now: float, wall: float) -> None:
        """Count the jobs that were recovered from records as arrivals, as of when they were submitted."""
        for job in self.cluster.jobs.values():
            self.layout.assign_tasks_per_record(job)
            if self.cluster.dependencies_met(job):
                self._arrivals.record(job.spec, now - max(0.0, wall - job.submitted_at))

    # -- the life of a batch ------------------------------------------------------------------------------

    @property
    def target_batch_operations(self) -> float:
        """Return how many operations the store's write rate should allow before a batch without users is built."""
        return self.platform.write_rps * self.tuning.user_write_share + self.platform.txn_ops / 2

    @property
    def has_work(self) -> bool:
        """Return whether a batch built now may hold something."""
        return bool(
            self.admission.has_waiting
            or self.cluster.machines_to_reconcile
            or self.scale_out.pending
            or self.garbage_collector.pending
            or self.drainer.pending
            or self.cluster.dependencies.pending_cancellations
            or self.migration.latch_due
            or self.migration.pending
            or self.pacing.due(self._clock())
        )

    def build_batch(self, available_operations: float = INFINITE) -> Batch:
        """Return the next batch; it may be empty.

        `available_operations`: how many operations the store's write rate allows at this moment. A batch that is not
        empty must end in `apply_commit` or `discard_batch` before the next one is built.
        """
        return self._batch_builder.build(available_operations)

    def discard_batch(self, batch: Batch) -> None:
        """Undo a batch that is certainly not committed and will not be sent again: its changes are pending again."""
        for undo in reversed(batch.on_discard):
            undo()
        self.migration.record_discard()
        self.cluster.machines_to_reconcile.update(
            name
            for name, machine in self.cluster.machines.items()
            if machine.last_heartbeat is not None or machine.state is MachineState.TERMINATED
        )
        self._batch_builder.in_flight.clear()
        self.drainer.pending = True
        self.pacing.record_change()

    def apply_commit(self, batch: Batch, revision: int, obsolete_keys: list[str]) -> None:
        """Apply a committed batch to the cluster state, and run what was to follow its commit.

        `revision` is the transaction's mod revision; `obsolete_keys` are chunk records of jobs that ended with it.
        """
        now = self._clock()
        self.migration.record_commit(revision)
        for job_id in batch.changed_jobs:
            self._record_job_change(batch.jobs[job_id])
        apply_batch(self.cluster, batch, revision, now)
        self.queue.invalidate()
        self._record_ready_jobs(now)
        self._batch_builder.in_flight.clear()
        if batch.created:
            # A job is placed in a later batch than its own, and nothing else may come to request that round.
            self.pacing.record_change()
        self._record_task_transitions(batch)
        self.garbage_collector.delete_later(obsolete_keys)
        self.drainer.record_commit()
        self.counters.batches += 1
        for follow_up in batch.on_commit:
            follow_up()

    def _record_job_change(self, job: Job) -> None:
        """Keep the final state of a job that ended; send the stops of one that was cancelled at once."""
        if job.state in (JobState.DONE, JobState.TERMINATED):
            self.admission.record_ended(job)
            self.preemption.release(job.id)
        elif job.state is JobState.CANCELLED:
            self.urgent_stops.update(placement.machine for placement in job.placements.values())

    def _record_ready_jobs(self, now: float) -> None:
        """Count jobs whose last dependency is met by this commit as arrivals."""
        for job_id, ready_at in self.cluster.ready_at.items():
            if ready_at == now:
                self._arrivals.record(self.cluster.jobs[job_id].spec, now)
                self.pacing.record_change()

    def _record_task_transitions(self, batch: Batch) -> None:
        """Request a round for capacity that was released, and send stops at once."""
        for _, _, old, new in batch.task_transitions:
            if new is None:
                self.pacing.record_change()
            elif new.stop_grace_s is not None and old is not None:
                self.urgent_stops.add(new.machine)

    def record_external_end(self, job_id: str, state: JobState) -> None:
        """Record that a dependency of our jobs, which another scheduler owns, is done or cancelled.

        Guards against a dependent that stays out of the queue, which is otherwise kept until the next commit: seen in
        a random walk.
        """
        self.cluster.record_external_end(job_id, state, self._clock())
        self.queue.invalidate()
        self.pacing.record_change()

    # -- the fleet ----------------------------------------------------------------------------------------

    def plan_scale_out(
        self, now: float, failures: FailureDetector | None = None, max_machines: int = MAX_MACHINES_PER_REQUEST
    ) -> CapacityPlan:
        """Return what to scale out for queued and expected work, and which machines that work would use.

        `failures`: what `reachability` has just detected, if it was asked; `max_machines`: the most machines that one
        plan asks for.
        """
        return self.demand.plan(now, failures or self.reachability.detect_failures(now), max_machines)

    def select_scale_in(
        self, plan: CapacityPlan, now: float, failures: FailureDetector | None = None
    ) -> list[Machine]:
        """Return the machines to scale in: unneeded by the plan, or given up as lost."""
        return self._scale_in.select(
            plan, self._batch_builder.in_flight.machines, now, failures or self.reachability.detect_failures(now)
        )

    def consolidation_candidate(self, now: float) -> Machine | None:
        """Return a machine that is worth draining, since its few replicas fit elsewhere; None if there is none."""
        return self._consolidation.candidate(self._batch_builder.in_flight.machines, now)

    def find_or_register_machine(self, name: str, now: float) -> Machine:
        """Return a machine by name; one that is known from placements in records only is registered first."""
        zone = next((placement.zone for placement in self.cluster.unconfirmed_placements.get(name, {}).values()), "")
        return self.cluster.machines.get(name) or self.cluster.register_machine(name, "", zone, False, "", now)

    def summary(self) -> str:
        """Return machines by type and queued tasks by job class, for the log."""
        return fleet_summary(self.cluster)


def _heartbeat_wait_s(platform: Platform, is_new_store: bool) -> float:
    """Return how long after the start of a term nothing is placed, in seconds."""
    return 0.0 if is_new_store else platform.report_s * REPORT_INTERVALS_BEFORE_PLACING
