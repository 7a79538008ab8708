"""The scheduler of one leader term: it holds what is pending and builds the next batch of decisions, without I/O.

The controller passes in users' requests, heartbeats and machine lists, requests the next batch, commits it to the
store and reports the commit. Only the leader has a scheduler; each term creates a new one from the stored records.
"""

import random
from collections.abc import Callable

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan
from driftcleat.cluster import Batch, ClusterState, Job, JobState, Machine, MachineState, apply_batch
from driftcleat.scheduler.admission import Admission
from driftcleat.scheduler.batch_builder import BatchBuilder
from driftcleat.scheduler.batch_rejection import BatchRejection
from driftcleat.scheduler.batch_splitting import BatchSplitter
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

# Heartbeat intervals after the start of a term during which no task is placed: workers first send their heartbeats to
# the new leader.
HEARTBEAT_INTERVALS_BEFORE_PLACING = 1.25


class Scheduler:
    """Makes all scheduling decisions of one leader term; each component holds one kind of pending work.

    `clock` is monotonic and shared with `cluster`; `wall_clock` returns the time of day; both in seconds.
    `is_new_store`: whether the store has never held a batch; placement then starts at once, since no worker has tasks
    to report. `overload_pause_s` returns the seconds by which each placement round is delayed while the controller
    handles heartbeats late.
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
        self.platform, self.tuning = platform, tuning
        self.cluster, self.layout = cluster, layout
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
        self.splitter = BatchSplitter(clock, platform.report_s, self.counters)
        self.migration = RecordMigration(context, self.garbage_collector, self.pacing, self.splitter.is_postponed)
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
        self._start(now, wall_clock())

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
            self.splitter,
        )

    def _start(self, now: float, wall_clock_s: float) -> None:
        """Listen to the cluster state, and count recovered jobs as arrivals at the time of their submission."""
        self.cluster.subscribe(ClusterEventHandler(self.counters, self.pacing, self.garbage_collector, self.drainer))
        for job in self.cluster.jobs.values():
            self.layout.assign_tasks_per_record(job)
            if self.cluster.dependencies_met(job):
                self._arrivals.record(job.spec, now - max(0.0, wall_clock_s - job.submitted_at))

    # Life cycle of a batch

    @property
    def target_batch_operations(self) -> float:
        """Return how many operations the write budget should hold before a batch without user requests is built."""
        return self.platform.write_rps * self.tuning.user_write_share + self.platform.txn_ops / 2

    @property
    def has_work(self) -> bool:
        """Return whether a batch that is built now could contain a change."""
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

        `available_operations` is the number of operations that the store's write rate allows now. A batch that is not
        empty must be passed to `apply_commit` or `discard_batch` before the next one is built.
        """
        return self._batch_builder.build(available_operations)

    def is_undecided(self, job_id: str) -> bool:
        """Return whether the batch in flight may change what users are told of a job.

        The records may show the change already, so that other controllers have told users of it. Nothing older than
        the outcome may be said of such a job.
        """
        return job_id in self._batch_builder.in_flight.undecided_jobs

    def discard_batch(self, batch: Batch) -> None:
        """Make the changes of a batch pending again.

        Only for a batch that is certainly not committed and will not be sent again.
        """
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

    def reject_batch(self, batch: Batch, reason: str, oversized_key: str | None = None) -> None:
        """Discard a batch that cannot be sent; the next one differs from it, see `BatchRejection`."""
        self.discard_batch(batch)
        rejection = BatchRejection(self.splitter, self.admission, self.migration, self.garbage_collector)
        rejection.record(batch, reason, oversized_key)

    def apply_commit(self, batch: Batch, revision: int, obsolete_keys: list[str]) -> None:
        """Apply a committed batch to the cluster state and run its `on_commit` callbacks.

        `revision` is the transaction's mod revision; `obsolete_keys` are the chunk records of jobs that it ended.
        """
        now = self._clock()
        self.migration.record_commit(revision)
        self.splitter.record_commit(batch)
        for job_id in batch.changed_jobs:
            self._record_job_change(batch.jobs[job_id])
        apply_batch(self.cluster, batch, revision, now)
        self.queue.invalidate()
        self._record_ready_jobs(now)
        self._batch_builder.in_flight.clear()
        if batch.created:
            # A job is placed in a later batch than the one that creates it; no other event may request that round.
            self.pacing.record_change()
        self._record_task_transitions(batch)
        self.garbage_collector.delete_later(obsolete_keys)
        self.drainer.record_commit()
        self.counters.batches += 1
        for follow_up in batch.on_commit:
            follow_up()

    def _record_job_change(self, job: Job) -> None:
        """Cache the final status of an ended job; send stop commands for a cancelled one without delay."""
        if job.state in (JobState.DONE, JobState.TERMINATED):
            self.admission.record_ended(job)
            self.preemption.release(job.id)
        elif job.state is JobState.CANCELLED:
            self.urgent_stops.update(placement.machine for placement in job.placements.values())

    def _record_ready_jobs(self, now: float) -> None:
        """Count jobs whose last dependency was met by this commit as arrivals."""
        for job_id, ready_at in self.cluster.ready_at.items():
            if ready_at == now:
                self._arrivals.record(self.cluster.jobs[job_id].spec, now)
                self.pacing.record_change()

    def _record_task_transitions(self, batch: Batch) -> None:
        """Request a placement round for released capacity; send the commands for stopped tasks without delay."""
        for _, _, old, new in batch.task_transitions:
            if new is None:
                self.pacing.record_change()
            elif new.stop_grace_s is not None and old is not None:
                self.urgent_stops.add(new.machine)

    def record_external_end(self, job_id: str, state: JobState) -> None:
        """Record that a dependency owned by another scheduler is done or cancelled.

        The cached queue is otherwise rebuilt only at the next commit, so a dependent job would stay out of it.
        """
        self.cluster.record_external_end(job_id, state, self._clock())
        self.queue.invalidate()
        self.pacing.record_change()

    # Fleet size

    def plan_scale_out(
        self,
        now: float,
        failure_detector: FailureDetector | None = None,
        max_machines: int = MAX_MACHINES_PER_REQUEST,
    ) -> CapacityPlan:
        """Return which machines to create for queued and expected work, and which existing ones that work would use.

        `failure_detector` is the result of `reachability.detect_failures`, called if it is None; `max_machines`
        limits the machines that one plan creates.
        """
        return self.demand.plan(now, failure_detector or self.reachability.detect_failures(now), max_machines)

    def select_scale_in(
        self, plan: CapacityPlan, now: float, failure_detector: FailureDetector | None = None
    ) -> list[Machine]:
        """Return the machines to scale in: those that the plan does not need, and those that are presumed lost."""
        return self._scale_in.select(
            plan,
            self._batch_builder.in_flight.machines,
            now,
            failure_detector or self.reachability.detect_failures(now),
        )

    def consolidation_candidate(self, now: float) -> Machine | None:
        """Return a machine to drain because its few replicas fit on other machines; None if there is none."""
        return self._consolidation.candidate(self._batch_builder.in_flight.machines, now)

    def find_or_register_machine(self, name: str, now: float) -> Machine:
        """Return a machine by name; register it first if only placements in stored records name it."""
        zone = next((placement.zone for placement in self.cluster.unconfirmed_placements.get(name, {}).values()), "")
        return self.cluster.machines.get(name) or self.cluster.register_machine(name, "", zone, False, "", now)

    def summary(self) -> str:
        """Return the machines by type and the queued tasks by job class, as one log line."""
        return fleet_summary(self.cluster)


def _heartbeat_wait_s(platform: Platform, is_new_store: bool) -> float:
    """Return for how many seconds after the start of a term no task is placed."""
    return 0.0 if is_new_store else platform.report_s * HEARTBEAT_INTERVALS_BEFORE_PLACING
