"""The writer: has the store take one batch after the other, and makes it visible once its outcome is known."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat import wire
from driftcleat.cluster import Batch
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

# Pauses, as parts of the report interval: without anything to do, and to gather more while the store is busy.
IDLE_PAUSE = 1 / 12
GATHER_PAUSE = 1 / 60
# The pause between tries of a request that the store did not answer, as a part of the leader's lease.
RETRY_PAUSE = 0.06


class TermEndedError(DriftcleatError):
    """The term has ended while its batch was under way."""


class CommitPipeline:
    """Writes the batches of the term in force."""

    def __init__(
        self,
        platform: Platform,
        store: StoreClient,
        active_term: ActiveTerm[Scheduler],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._platform, self._store, self._active_term = platform, store, active_term
        self._metrics, self._clock = metrics, clock
        # The version of the key that names the last batch, and the number of that batch in this term.
        self._mark_version = 0
        self.batch_sequence = 0
        # Whether a batch is under way whose outcome is not known yet.
        self.in_flight = False

    def start_term(self, mark_version: int) -> None:
        """A new term begins; the key that names the last batch has this version."""
        self._mark_version = mark_version
        self.batch_sequence = 0

    async def run(self) -> None:
        """Write for ever."""
        while True:
            try:
                await asyncio.wait_for(self._active_term.work_available.wait(), self._platform.report_s * IDLE_PAUSE)
            except TimeoutError:
                pass
            self._active_term.work_available.clear()
            scheduler = self._active_term.deciding_scheduler
            if scheduler is not None and scheduler.has_work:
                self.in_flight = True
                try:
                    await self._write(scheduler)
                finally:
                    self.in_flight = False

    async def _write(self, scheduler: Scheduler) -> None:
        """Build a batch and see it through."""
        if (
            not scheduler.admission.has_waiting
            and (delay := self._store.write_bucket.delay_s(scheduler.target_batch_operations)) > 0
        ):
            # The store's changes a second are used up: gather more, unless a user comes.
            await asyncio.sleep(min(delay, self._platform.report_s * GATHER_PAUSE))
            self._active_term.wake_committer()
            return
        started = self._clock()
        batch = scheduler.build_batch(self._store.write_bucket.available())
        self._metrics.batch_build_time.record(self._clock() - started)
        self._metrics.record_part("build", self._clock() - started)
        if batch.is_empty:
            for call in batch.on_commit:
                call()
            self._active_term.announce_commit()
            return
        encoded = await self._encode(scheduler, batch)
        if encoded is None:
            return
        try:
            revision = await self._commit(scheduler, batch, encoded)
        except RequestRejectedError as error:
            # Refused for its size: limits have fallen, which they do only once every controller is new.
            scheduler.migration.request_latch()
            await self._drop(scheduler, batch, error)
            return
        except TermEndedError:
            return
        self._metrics.commit_latency.record(self._clock() - started)
        self._mark_version = revision
        began = self._clock()
        scheduler.apply_commit(batch, revision, encoded.obsolete_keys)
        self._metrics.record_part("commit", self._clock() - began)
        self._active_term.announce_commit()
        self._active_term.wake_committer()

    async def _encode(self, scheduler: Scheduler, batch: Batch) -> EncodedBatch | None:
        """Return a batch as the store takes it; None if it would not."""
        self.batch_sequence += 1
        began = self._clock()
        try:
            encoded = encode_batch(
                batch, scheduler.layout, scheduler.cluster.fencing_token, self.batch_sequence, self._mark_version
            )
        except BatchTooLargeError as error:
            await self._drop(scheduler, batch, error)
            return None
        self._metrics.record_part("encode", self._clock() - began)
        return encoded

    @property
    def _retry_s(self) -> float:
        return self._active_term.election.ttl_s * RETRY_PAUSE

    async def _commit(self, scheduler: Scheduler, batch: Batch, encoded: EncodedBatch) -> int:
        """Have the store take a batch; resend or read back until its outcome is known."""
        perhaps_taken = False
        while True:
            try:
                return await self._store.commit_encoded(encoded.body, encoded.operation_count)
            except CompareFailedError as conflict:
                revision = await self._read_back(scheduler, encoded.marker)
                if revision is not None:
                    return revision
                log.warning("batch refused: %s", conflict)
                self._active_term.step_down(scheduler, "a batch was refused")
                raise TermEndedError from None
            except RequestRejectedError:
                # An earlier try of the same batch may have come before the limits fell.
                revision = await self._read_back(scheduler, encoded.marker) if perhaps_taken else None
                if revision is not None:
                    return revision
                raise
            except MalformedResponseError as error:
                log.error("batch answered with nonsense: %s", error)
                self._active_term.step_down(scheduler, "the answer to a batch was malformed")
                raise TermEndedError from None
            except StoreError as error:
                log.debug("batch: %s", error)
                perhaps_taken = perhaps_taken or isinstance(error, OutcomeUnknownError)
            if self._active_term.scheduler is not scheduler:
                raise TermEndedError
            unsure = self._active_term.election.role is Role.UNCONFIRMED_LEADER
            if perhaps_taken and unsure and scheduler.cancellations.stop_unconfirmed(batch):
                self._active_term.announce_commit()
            await asyncio.sleep(self._retry_s)

    async def _drop(self, scheduler: Scheduler, batch: Batch, error: Exception) -> None:
        """A batch was certainly not carried out and cannot be as it is: what it took is decided anew, after a pause.

        Guards against a term that ends, or turns in circles, for a record that the store does not take.
        """
        log.error("batch not taken: %s", error)
        scheduler.discard_batch(batch)
        await asyncio.sleep(self._platform.report_s * IDLE_PAUSE)

    async def _read_back(self, scheduler: Scheduler, marker: BatchMarker) -> int | None:
        """Tell whether a batch whose repeat was refused had been carried out before."""
        while self._active_term.scheduler is scheduler:
            try:
                key_value = await self._store.get(BATCH_MARKER_KEY)
                if key_value is not None and wire.decode(bytes(key_value.value), BatchMarker) == marker:
                    return key_value.mod_revision
                return None
            except StoreError as error:
                log.debug("batch key: %s", error)
                await asyncio.sleep(self._retry_s)
        return None
