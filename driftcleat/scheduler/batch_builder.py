"""Building a batch: which pending decisions go into the next transaction, by rank, within the store's write budget.

The ranks, highest first:

1. users' cancellations and submissions;
2. cancellations of dependents, and the record migration;
3. what heartbeats prove, graceful evictions, scale-out requests and placements, out of what is left of the write
   budget beyond the reserve for users;
4. garbage collection, out of what is left beyond a further reserve.
"""

from driftcleat.cluster import Batch, reconcile
from driftcleat.scheduler.admission import Admission
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.in_flight import InFlightChanges
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.placement_pass import PlacementPass
from driftcleat.scheduler.record_migration import RecordMigration
from driftcleat.scheduler.scale_out import ScaleOut

# The store takes requests of 64 KiB; compares and framing take the rest.
MAX_BATCH_BYTES = 56 * 1024
# Every transaction puts the batch marker.
MARKER_OPERATIONS = 1


class BatchBuilder:
    """Builds one batch after the other from what the parts of the scheduler have pending."""

    def __init__(
        self,
        context: SchedulerContext,
        admission: Admission,
        migration: RecordMigration,
        drainer: MachineDrainer,
        scale_out: ScaleOut,
        placement: PlacementPass,
        garbage_collector: GarbageCollector,
        pacing: RoundPacing,
    ) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._layout = context.layout
        self._clock = context.clock
        self._admission = admission
        self._migration = migration
        self._drainer = drainer
        self._scale_out = scale_out
        self._placement = placement
        self._garbage_collector = garbage_collector
        self._pacing = pacing
        # What the batch built last changes, until the scheduler clears it after the batch's outcome.
        self.in_flight = InFlightChanges(context.cluster)

    def build(self, available_operations: float) -> Batch:
        """Return the next batch; it may be empty.

        `available_operations`: how many operations the store's write rate allows at this moment.
        """
        batch = self._build_within(self._platform.txn_ops, available_operations)
        if self._needs_first_version_limit(batch):
            batch = self._build_within(self._platform.first_txn_ops, available_operations)
        return batch

    def _needs_first_version_limit(self, batch: Batch) -> bool:
        """Return whether a batch is empty although there is work, which the higher limit of data version 1 may take.

        Data version 1 keeps a large gang in more records than the lower limit allows to change at once. Guards
        against everything being queued behind such a gang until data version 2 begins.
        """
        if not batch.is_empty or batch.on_commit:
            return False
        if not (self._cluster.machines_to_reconcile or self._drainer.pending):
            return False
        return not self._layout.version_2_active and self._platform.first_txn_ops > self._platform.txn_ops

    def _build_within(self, transaction_operations: int, available_operations: float) -> Batch:
        """Return a batch for a transaction of at most so many operations."""
        now = self._clock()
        max_operations = transaction_operations - MARKER_OPERATIONS
        batch = Batch(
            self._cluster.jobs, self._layout.chunk_of, max_operations, MAX_BATCH_BYTES, self._layout.needs_migration
        )
        if not self._migration.latch_requested and self._admission.has_dependencies:
            # Only a controller that knows all others to be upgraded accepts a submission with dependencies.
            self._migration.request_latch()
        if self._migration.latch_due:
            self._migration.append_latch(batch)
            return batch
        user_operations = self._append_user_requests(batch, now)
        follow_up_operations = self._append_follow_ups(batch)
        # Guards against submissions that wait behind hundreds of other changes: they have a reserve.
        budget = (
            available_operations
            - MARKER_OPERATIONS
            - user_operations
            - self._platform.write_rps * self._tuning.user_write_share
            - follow_up_operations
        )
        _limit_operations(batch, budget)
        scheduling_operations = self._append_scheduling(batch, now, may_place=not user_operations)
        _limit_operations(
            batch, budget - scheduling_operations - self._platform.write_rps * self._tuning.maintenance_write_share
        )
        self._garbage_collector.append_to(batch)
        self._migration.prioritise(batch.awaiting_migration)
        self.in_flight.record(batch)
        return batch

    def _append_user_requests(self, batch: Batch, now: float) -> int:
        """Append what users wait for, which may fill the batch; return how many operations it takes."""
        before = batch.operations_left
        self._admission.append_cancellations(batch)
        self._admission.append_submissions(batch, now)
        return before - batch.operations_left

    def _append_follow_ups(self, batch: Batch) -> int:
        """Append what users' requests entail or may wait for; return how many operations it takes."""
        before = batch.operations_left
        self._admission.append_dependent_cancellations(batch)
        self._migration.append_to(batch)
        return before - batch.operations_left

    def _append_scheduling(self, batch: Batch, now: float, may_place: bool) -> int:
        """Append what follows from the state of the cluster; return how many operations it takes.

        `may_place`: whether a placement round may run. It does not run in a batch that users wait for.
        """
        before = batch.operations_left
        self._reconcile_machines(batch, now)
        self._drainer.append_stops(batch)
        self._scale_out.append_to(batch)
        if may_place and batch.operations_left > 0 and self._pacing.due(now):
            # Guards against rounds that look at every machine while the store takes no change: on a small share of a
            # processor, heartbeats are late for it.
            self._placement.run(batch, now)
        return before - batch.operations_left

    def _reconcile_machines(self, batch: Batch, now: float) -> None:
        """Append what heartbeats prove, for at most the time of a placement round once the batch is full."""
        for name in list(self._cluster.machines_to_reconcile):
            machine = self._cluster.machines.get(name)
            already_awaiting = set(batch.awaiting_migration)
            if machine is not None and not reconcile(self._cluster, machine, batch, now):
                if self._clock() - now > self._pacing.budget_s:
                    return
            elif batch.awaiting_migration == already_awaiting:
                self._cluster.machines_to_reconcile.discard(name)


def _limit_operations(batch: Batch, most: float) -> None:
    """Lower what a batch may still take to whole operations within a part of the write budget."""
    batch.operations_left = int(max(0, min(batch.operations_left, most)))
