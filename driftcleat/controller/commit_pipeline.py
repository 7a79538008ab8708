"""The commit pipeline: commits one batch at a time to the state service, and applies it once it is committed."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat import wire
from driftcleat.cluster import Batch
from driftcleat.controller.commit_progress import CommitProgress
from driftcleat.errors import DriftcleatError
from driftcleat.leadership import ActiveTerm, Role
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform
from driftcleat.store.client import StoreClient
from driftcleat.store.encoding import BatchTooLargeError, EncodedBatch, encode_batch
from driftcleat.store.errors import (
    CompareFailedError,
    MalformedResponseError,
    OutcomeUnknownError,
    RequestRejectedError,
    StoreError,
)
from driftcleat.store.keys import BATCH_MARKER_KEY
from driftcleat.store.records import BatchMarker

log = logging.getLogger(__name__)

# In heartbeat intervals: the longest wait for new work, and the pause to collect more changes into a batch while the
# write rate limit is used up.
IDLE_PAUSE_INTERVALS = 1 / 12
BATCHING_PAUSE_INTERVALS = 1 / 60
# The time without a commit after which an error is logged, in heartbeat intervals.
STALL_REPORT_INTERVALS = 5
# The pause before a failed request to the state service is retried, in TTLs of the leader lease.
RETRY_PAUSE_TTLS = 0.06


class LeaderTermEndedError(DriftcleatError):
    """The leader term ended before the commit of its batch was confirmed."""

    def __init__(self, marker: BatchMarker) -> None:
        super().__init__(
            f"batch {marker.sequence} of term {marker.fencing_token}: the term ended before the commit was confirmed"
        )


class CommitPipeline:
    """Commits the batches of the active term, one at a time and in order."""

    def __init__(
        self,
        platform: Platform,
        store: StoreClient,
        active_term: ActiveTerm[Scheduler],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._store = store
        self._active_term = active_term
        self._metrics = metrics
        self._clock = clock
        # The mod revision of the batch marker, and the sequence number of the last batch of this term.
        self._marker_mod_revision = 0
        self.batch_sequence = 0
        # Whether a batch is in flight: it is being built or committed, or its outcome is not known yet.
        self.in_flight = False
        self.progress = CommitProgress(clock, platform.report_s * STALL_REPORT_INTERVALS)

    def start_term(self, marker_mod_revision: int) -> None:
        """Begin a term with the mod revision of the batch marker as it was read; 0 if there is no marker."""
        self._marker_mod_revision = marker_mod_revision
        self.batch_sequence = 0
        self.progress.reset()

    async def run(self) -> None:
        """Build and commit batches one after the other, until cancelled."""
        while True:
            try:
                await asyncio.wait_for(
                    self._active_term.work_available.wait(), self._platform.report_s * IDLE_PAUSE_INTERVALS
                )
            except TimeoutError:
                pass
            self._active_term.work_available.clear()
            scheduler = self._active_term.deciding_scheduler
            if scheduler is None:
                continue
            if not scheduler.has_work:
                self.progress.reset()
                continue
            self.in_flight = True
            try:
                await self._commit_next(scheduler)
            finally:
                self.in_flight = False

    async def _commit_next(self, scheduler: Scheduler) -> None:
        """Build the next batch, commit it and apply it; wait instead while the write rate limit is used up."""
        delay_s = self._write_delay_s(scheduler)
        if delay_s > 0:
            await asyncio.sleep(min(delay_s, self._platform.report_s * BATCHING_PAUSE_INTERVALS))
            self._active_term.wake_committer()
            return
        started_at = self._clock()
        batch = self._build(scheduler, started_at)
        if batch.is_empty:
            self.progress.reset()
            for call in batch.on_commit:
                call()
            self._active_term.announce_commit()
            return
        self.progress.record_batch()
        encoded = await self._encode(scheduler, batch)
        if encoded is None:
            return
        try:
            revision = await self._commit(scheduler, batch, encoded)
        except RequestRejectedError as error:
            # The batch is above lower limits that are now in force. They are introduced only after every controller
            # can write data version 2, so the migration to it may begin.
            scheduler.migration.request_latch()
            await self._reject(scheduler, batch, encoded.marker.sequence, error)
            return
        except LeaderTermEndedError as error:
            log.debug("%s", error)
            return
        self._metrics.commit_latency.record(self._clock() - started_at)
        self._apply(scheduler, batch, revision, encoded)

    def _write_delay_s(self, scheduler: Scheduler) -> float:
        """Return by how many seconds the write rate limit delays the next batch; 0.0 if users wait for a commit."""
        if scheduler.admission.has_waiting:
            return 0.0
        return self._store.write_bucket.delay_s(scheduler.target_batch_operations)

    def _build(self, scheduler: Scheduler, started_at: float) -> Batch:
        batch = scheduler.build_batch(self._store.write_bucket.available())
        self._metrics.batch_build_time.record(self._clock() - started_at)
        self._metrics.record_part("build", self._clock() - started_at)
        return batch

    async def _encode(self, scheduler: Scheduler, batch: Batch) -> EncodedBatch | None:
        """Return a batch as one transaction; if it exceeds the state service's limits, reject it and return None."""
        self.batch_sequence += 1
        started_at = self._clock()
        try:
            encoded = encode_batch(
                batch,
                scheduler.layout,
                scheduler.cluster.fencing_token,
                self.batch_sequence,
                self._marker_mod_revision,
            )
        except BatchTooLargeError as error:
            await self._reject(scheduler, batch, self.batch_sequence, error)
            return None
        self._metrics.record_part("encode", self._clock() - started_at)
        return encoded

    def _apply(self, scheduler: Scheduler, batch: Batch, revision: int, encoded: EncodedBatch) -> None:
        """Apply a committed batch to the cluster state, and wake all callers that wait for a commit."""
        self._marker_mod_revision = revision
        self.progress.record_commit()
        started_at = self._clock()
        scheduler.apply_commit(batch, revision, encoded.obsolete_keys)
        self._metrics.record_part("commit", self._clock() - started_at)
        self._active_term.announce_commit()
        self._active_term.wake_committer()

    async def _commit(self, scheduler: Scheduler, batch: Batch, encoded: EncodedBatch) -> int:
        """Commit a batch and return its mod revision; retry, or read the batch marker, until the outcome is known.

        Raises `LeaderTermEndedError` if the term ends first, `RequestRejectedError` if the batch was certainly not
        committed and never will be.
        """
        marker = encoded.marker
        may_be_committed = False
        while True:
            try:
                return await self._store.commit_encoded(encoded.body, encoded.operation_count)
            except CompareFailedError as error:
                revision = await self._read_back(scheduler, marker)
                if revision is not None:
                    return revision
                raise self._step_down(scheduler, marker, logging.WARNING, "compare failed", error) from None
            except RequestRejectedError:
                # An earlier attempt may have been committed before the limits were lowered.
                revision = await self._read_back(scheduler, marker) if may_be_committed else None
                if revision is not None:
                    return revision
                raise
            except MalformedResponseError as error:
                raise self._step_down(scheduler, marker, logging.ERROR, "malformed response", error) from None
            except StoreError as error:
                log.debug(
                    "batch %d of term %d: commit not confirmed, retrying: %s",
                    marker.sequence,
                    marker.fencing_token,
                    error,
                )
                self.progress.record_failure(error)
                may_be_committed = may_be_committed or isinstance(error, OutcomeUnknownError)
            if self._active_term.scheduler is not scheduler:
                raise LeaderTermEndedError(marker)
            if may_be_committed:
                self._stop_unconfirmed(scheduler, batch)
            await asyncio.sleep(self._retry_pause_s)

    def _stop_unconfirmed(self, scheduler: Scheduler, batch: Batch) -> None:
        """If this leader is unconfirmed, stop the tasks of jobs whose cancellation the batch may have committed."""
        is_unconfirmed = self._active_term.election.role is Role.UNCONFIRMED_LEADER
        if is_unconfirmed and scheduler.cancellations.stop_unconfirmed(batch):
            self._active_term.announce_commit()

    def _step_down(
        self, scheduler: Scheduler, marker: BatchMarker, level: int, reason: str, error: StoreError
    ) -> LeaderTermEndedError:
        """Step down, since the stored records differ from this leader's state; return the error to raise."""
        log.log(level, "batch %d of term %d: %s: %s", marker.sequence, marker.fencing_token, reason, error)
        self._active_term.step_down(scheduler, f"batch {marker.sequence}: {reason}")
        return LeaderTermEndedError(marker)

    async def _reject(
        self, scheduler: Scheduler, batch: Batch, sequence: int, error: BatchTooLargeError | RequestRejectedError
    ) -> None:
        """Discard a batch that was certainly not committed and never will be; its changes are decided again later.

        Otherwise a record that the state service rejects would end the term, or have the same batch retried forever.
        """
        log.error(
            "batch %d of term %d: discarded, its changes will be decided again: %s",
            sequence,
            scheduler.cluster.fencing_token,
            error,
        )
        self.progress.record_failure(error)
        oversized_key = error.key if isinstance(error, BatchTooLargeError) else None
        scheduler.reject_batch(batch, str(error), oversized_key)
        self._active_term.announce_commit()
        await asyncio.sleep(self._platform.report_s * IDLE_PAUSE_INTERVALS)

    async def _read_back(self, scheduler: Scheduler, marker: BatchMarker) -> int | None:
        """Return the mod revision of a rejected batch if an earlier attempt had committed it, else None."""
        while self._active_term.scheduler is scheduler:
            try:
                key_value = await self._store.get(BATCH_MARKER_KEY)
            except StoreError as error:
                log.debug(
                    "batch %d of term %d: batch marker not read, retrying: %s",
                    marker.sequence,
                    marker.fencing_token,
                    error,
                )
                await asyncio.sleep(self._retry_pause_s)
                continue
            if key_value is not None and wire.decode(bytes(key_value.value), BatchMarker) == marker:
                return key_value.mod_revision
            return None
        return None

    @property
    def _retry_pause_s(self) -> float:
        return self._active_term.election.ttl_s * RETRY_PAUSE_TTLS
