"""How one batch is filled."""

from driftcleat.cluster import Batch, reconcile
from driftcleat.scheduler.admission import Admission
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.garbage_collection import GarbageCollector
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.placement_pass import PlacementPass
from driftcleat.scheduler.record_migration import RecordMigration
from driftcleat.scheduler.scale_out import ScaleOut

# The store takes requests of 64 KiB; conditions and framing take the rest.
BATCH_BYTES = 56 * 1024


class BatchBuilder:
    """Fills one batch after the other."""

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
        # The machines that the batch under way gives tasks.
        self.in_flight: set[str] = set()

    def build(self, changes: float) -> Batch:
        """Return the next batch; it may be empty. `changes` is what the store takes at once just now.

        Users come first: a part of the changes a second stays free for them, and what only tidies up is left
        for when there are changes to spare. Guards against submissions waiting behind hundreds of notes.
        """
        batch = self._build(changes, self._platform.txn_ops)
        stuck = (
            batch.is_empty
            and not batch.on_commit
            and bool(self._cluster.machines_to_reconcile or self._drainer.pending)
        )
        if stuck and not self._layout.version_2_active and self._platform.first_txn_ops > self._platform.txn_ops:
            # A gang that the first data version keeps in more records than the lower limit allows to change at once.
            # Guards against everything waiting behind it until the switch.
            batch = self._build(changes, self._platform.first_txn_ops)
        return batch

    def _build(self, changes: float, txn_ops: int) -> Batch:
        now = self._clock()
        most = txn_ops - 1
        batch = Batch(self._cluster.jobs, self._layout.chunk_of, most, BATCH_BYTES, self._layout.needs_migration)
        # Only who knows that every controller is new hands such a job in.
        if not self._migration.latch_requested and self._admission.has_dependencies:
            self._migration.request_latch()
        if self._migration.latch_due:
            self._migration.append_latch(batch)
            return batch
        self._admission.append_cancellations(batch)
        self._admission.append_submissions(batch, now)
        for_users = most - batch.operations_left
        self._admission.append_dependent_cancellations(batch)
        self._migration.append_to(batch)
        spare = changes - 1 - for_users - self._platform.write_rps * self._tuning.reserve
        moved = most - for_users - batch.operations_left
        batch.operations_left = left = int(max(0, min(batch.operations_left, spare - moved)))
        self._take_reports(batch, now)
        self._drainer.append_stops(batch)
        self._scale_out.append_to(batch)
        if not for_users and batch.operations_left > 0 and self._pacing.due(now):
            # Guards against rounds that look at every machine while the store takes no change: what they cost a small
            # share of a processor is missing for reports.
            self._placement.run(batch, now)
        tidy = spare - moved - (left - batch.operations_left) - self._platform.write_rps * self._tuning.tidy
        batch.operations_left = int(max(0, min(batch.operations_left, tidy)))
        self._garbage_collector.append_to(batch)
        self._migration.prioritise(batch.awaiting_migration)
        self._note_under_way(batch)
        return batch

    def _take_reports(self, batch: Batch, now: float) -> None:
        """Put what reports prove into a batch, for as long as a round may take."""
        for name in list(self._cluster.machines_to_reconcile):
            machine = self._cluster.machines.get(name)
            waiting = set(batch.awaiting_migration)
            if machine is not None and not reconcile(self._cluster, machine, batch, now):
                if self._clock() - now > self._pacing.budget_s:
                    return
            elif batch.awaiting_migration == waiting:
                self._cluster.machines_to_reconcile.discard(name)

    def _note_under_way(self, batch: Batch) -> None:
        self.in_flight = {placement.machine for _, _, _, placement in batch.task_transitions if placement is not None}
        self._cluster.attempts_being_released = {
            (job_id, index, old.attempt)
            for job_id, index, old, new in batch.task_transitions
            if old is not None and new is None
        }
