"""Batch building: selects the pending changes for the next transaction, by priority, within the store's write budget.

Priorities, highest first:

1. users' cancellations and submissions;
2. cancellations of dependent jobs, and the record migration;
3. state changes proven by heartbeats, graceful evictions, scale-out requests and placements, which leave the part of
   the write budget free that is reserved for users;
4. garbage collection, which leaves a further part of the write budget free.
"""

from driftcleat.cluster import Batch, reconcile
from driftcleat.scheduler.admission import Admission
from driftcleat.scheduler.batch_splitting import BatchSplitter
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.in_flight import InFlightChanges
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.placement_pass import PlacementPass
from driftcleat.scheduler.record_migration import RecordMigration
from driftcleat.scheduler.scale_out import ScaleOut
from driftcleat.store.size_bounds import MAX_BATCH_BYTES

# Every transaction also puts the batch marker.
MARKER_OPERATIONS = 1


class BatchBuilder:
    """Builds batches, one at a time, from the pending changes of the scheduler's components."""

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
        splitter: BatchSplitter,
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
        self._splitter = splitter
        # The changes of the last batch, until the scheduler clears them on its commit or discard.
        self.in_flight = InFlightChanges(context.cluster)

    def build(self, available_operations: float) -> Batch:
        """Return the next batch; it may be empty.

        `available_operations` is the number of operations that the store's write rate allows now.
        """
        batch = self._build_within(self._platform.txn_ops, available_operations)
        if self._needs_version_1_limit(batch):
            batch = self._build_within(self._platform.version_1_txn_ops, available_operations)
        return batch

    def _needs_version_1_limit(self, batch: Batch) -> bool:
        """Return whether a batch is empty although changes are pending that the limit of data version 1 may admit.

        In data version 1 a large gang may span more records than the lower limit of data version 2 lets one
        transaction change. Without the higher limit, all other work would wait behind such a gang until data
        version 2 becomes active.
        """
        if not batch.is_empty or batch.on_commit:
            return False
        if not (self._cluster.machines_to_reconcile or self._drainer.pending):
            return False
        return not self._layout.version_2_active and self._platform.version_1_txn_ops > self._platform.txn_ops

    def _build_within(self, transaction_operations: int, available_operations: float) -> Batch:
        """Return a batch for a transaction of at most `transaction_operations` operations."""
        now = self._clock()
        max_operations = transaction_operations - MARKER_OPERATIONS
        batch = Batch(
            self._cluster.jobs,
            self._layout,
            max_operations,
            MAX_BATCH_BYTES,
            self._splitter.max_changes,
            self._splitter.is_postponed,
        )
        if not self._migration.latch_requested and self._admission.has_dependencies:
            # Submissions with dependencies are accepted only once all controllers are known to be upgraded.
            self._migration.request_latch()
        if self._migration.latch_due:
            self._migration.append_latch(batch)
            return batch
        user_operations = self._append_user_requests(batch, now)
        follow_up_operations = self._append_follow_ups(batch)
        # Part of the write budget is reserved for users, so that submissions do not wait behind hundreds of changes.
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
        self._migration.prioritise(batch.waiting_jobs)
        self.in_flight.record(batch)
        return batch

    def _append_user_requests(self, batch: Batch, now: float) -> int:
        """Append users' requests, which may fill the batch; return the number of operations appended."""
        before = batch.operations_left
        self._admission.append_cancellations(batch)
        self._admission.append_submissions(batch, now)
        return before - batch.operations_left

    def _append_follow_ups(self, batch: Batch) -> int:
        """Append dependent cancellations and the record migration; return the number of operations appended."""
        before = batch.operations_left
        self._admission.append_dependent_cancellations(batch)
        self._migration.append_to(batch)
        return before - batch.operations_left

    def _append_scheduling(self, batch: Batch, now: float, may_place: bool) -> int:
        """Append changes that follow from the cluster state; return the number of operations appended.

        A placement round runs only if `may_place` is set. A batch with user requests has none, so that users do not
        wait for the round.
        """
        before = batch.operations_left
        self._reconcile_machines(batch, now)
        self._drainer.append_stops(batch)
        self._scale_out.append_to(batch)
        if may_place and batch.operations_left > 0 and self._pacing.due(now):
            # A round examines every machine. If the batch has no operations left it could place nothing, and with a
            # small CPU share it would delay the handling of heartbeats.
            self._placement.run(batch, now)
        return before - batch.operations_left

    def _reconcile_machines(self, batch: Batch, now: float) -> None:
        """Append the task changes that heartbeats prove.

        Once the batch has no room for a machine's changes, stop after the time budget of a placement round.
        """
        for name in list(self._cluster.machines_to_reconcile):
            machine = self._cluster.machines.get(name)
            already_waiting = set(batch.waiting_jobs)
            if machine is not None and not reconcile(self._cluster, machine, batch, now):
                if self._clock() - now > self._pacing.budget_s:
                    return
            elif batch.waiting_jobs == already_waiting:
                self._cluster.machines_to_reconcile.discard(name)


def _limit_operations(batch: Batch, limit: float) -> None:
    """Lower the remaining operations of a batch to `limit`, rounded down and at least 0."""
    batch.operations_left = int(max(0, min(batch.operations_left, limit)))
