"""The writer: has the store take one batch after the other, and makes it visible once its outcome is known."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.leadership import CurrentTerm, Role
from driftcleat.metrics import Metrics
from driftcleat.model import Batch
from driftcleat.settings import Platform
from driftcleat.store.client import (
    ConflictError,
    MalformedError,
    RejectedError,
    StoreClient,
    StoreError,
    UnknownOutcomeError,
)
from driftcleat.store.records import BATCH, BatchMark, EncodedBatch, TooLargeError, encode_batch
from driftcleat.term import Term

log = logging.getLogger(__name__)

# Pauses, as parts of the report interval: without anything to do, and to gather more while the store is busy.
IDLE_PAUSE = 1 / 12
GATHER_PAUSE = 1 / 60
# The pause between tries of a request that the store did not answer, as a part of the leader's lease.
RETRY_PAUSE = 0.06


class TermEndedError(DriftcleatError):
    """The term has ended while its batch was under way."""


class BatchWriter:
    """Writes the batches of the term in force."""

    def __init__(
        self,
        platform: Platform,
        store: StoreClient,
        current: CurrentTerm,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._platform, self._store, self._current = platform, store, current
        self._metrics, self._clock = metrics, clock
        # The version of the key that names the last batch, and the number of that batch in this term.
        self._mark_version = 0
        self.batch_number = 0
        # Whether a batch is under way whose outcome is not known yet.
        self.busy = False

    def begin(self, mark_version: int) -> None:
        """A new term begins; the key that names the last batch has this version."""
        self._mark_version = mark_version
        self.batch_number = 0

    async def run(self) -> None:
        """Write for ever."""
        while True:
            try:
                await asyncio.wait_for(self._current.work.wait(), self._platform.report_s * IDLE_PAUSE)
            except TimeoutError:
                pass
            self._current.work.clear()
            term = self._current.to_decide
            if term is not None and term.has_work:
                self.busy = True
                try:
                    await self._write(term)
                finally:
                    self.busy = False

    async def _write(self, term: Term) -> None:
        """Build a batch and see it through."""
        if not term.admission.waiting and (delay := self._store.writes.delay(term.worth_a_batch)) > 0:
            # The store's changes a second are used up: gather more, unless a user comes.
            await asyncio.sleep(min(delay, self._platform.report_s * GATHER_PAUSE))
            self._current.wake_writer()
            return
        started = self._clock()
        batch = term.build(self._store.writes.available())
        self._metrics.build_ms.record(self._clock() - started)
        self._metrics.spent("build", self._clock() - started)
        if batch.empty:
            for call in batch.after:
                call()
            self._current.announce_commit()
            return
        encoded = await self._encode(term, batch)
        if encoded is None:
            return
        try:
            revision = await self._commit(term, batch, encoded)
        except RejectedError as error:
            # RefusedError for its size: limits have fallen, which they do only once every controller is new.
            term.migration.latch_wanted = True
            await self._drop(term, batch, error)
            return
        except TermEndedError:
            return
        self._metrics.batch_ms.record(self._clock() - started)
        self._mark_version = revision
        began = self._clock()
        term.commit(batch, revision, encoded.garbage)
        self._metrics.spent("commit", self._clock() - began)
        self._current.announce_commit()
        self._current.wake_writer()

    async def _encode(self, term: Term, batch: Batch) -> EncodedBatch | None:
        """Return a batch as the store takes it; None if it would not."""
        self.batch_number += 1
        began = self._clock()
        try:
            encoded = encode_batch(batch, term.layout, term.cluster.token, self.batch_number, self._mark_version)
        except TooLargeError as error:
            await self._drop(term, batch, error)
            return None
        self._metrics.spent("encode", self._clock() - began)
        return encoded

    @property
    def _retry_s(self) -> float:
        return self._current.election.ttl_s * RETRY_PAUSE

    async def _commit(self, term: Term, batch: Batch, encoded: EncodedBatch) -> int:
        """Have the store take a batch; resend or read back until its outcome is known."""
        perhaps_taken = False
        while True:
            try:
                return await self._store.txn_raw(encoded.body, encoded.changes)
            except ConflictError as conflict:
                revision = await self._read_back(term, encoded.mark)
                if revision is not None:
                    return revision
                log.warning("batch refused: %s", conflict)
                self._current.end(term, "a batch was refused")
                raise TermEndedError from None
            except RejectedError:
                # An earlier try of the same batch may have come before the limits fell.
                revision = await self._read_back(term, encoded.mark) if perhaps_taken else None
                if revision is not None:
                    return revision
                raise
            except MalformedError as error:
                log.error("batch answered with nonsense: %s", error)
                self._current.end(term, "the answer to a batch was malformed")
                raise TermEndedError from None
            except StoreError as error:
                log.debug("batch: %s", error)
                perhaps_taken = perhaps_taken or isinstance(error, UnknownOutcomeError)
            if self._current.term is not term:
                raise TermEndedError
            unsure = self._current.election.role is Role.UNSURE
            if perhaps_taken and unsure and term.cancellations.stop_unconfirmed(batch):
                self._current.announce_commit()
            await asyncio.sleep(self._retry_s)

    async def _drop(self, term: Term, batch: Batch, error: Exception) -> None:
        """A batch was certainly not carried out and cannot be as it is: what it took is decided anew, after a pause.

        Guards against a term that ends, or turns in circles, for a record that the store does not take.
        """
        log.error("batch not taken: %s", error)
        term.discard(batch)
        await asyncio.sleep(self._platform.report_s * IDLE_PAUSE)

    async def _read_back(self, term: Term, mark: BatchMark) -> int | None:
        """Tell whether a batch whose repeat was refused had been carried out before."""
        while self._current.term is term:
            try:
                item = await self._store.get(BATCH)
                if item is not None and wire.decode(bytes(item.value), BatchMark) == mark:
                    return item.version
                return None
            except StoreError as error:
                log.debug("batch key: %s", error)
                await asyncio.sleep(self._retry_s)
        return None
