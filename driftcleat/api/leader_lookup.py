"""The leader's lookup of a job: in its own cluster state, then in the store."""

from driftcleat import wire
from driftcleat.api.job_records import JobRecords
from driftcleat.api.responses import RequestRefusedError, RetryResponses
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import Scheduler
from driftcleat.store.errors import StoreError
from driftcleat.wire.users import JobStatus


class LeaderLookup:
    """Looks up jobs for a leader, and checks that its term lasts until the lookup is done."""

    def __init__(self, records: JobRecords, active_term: ActiveTerm[Scheduler], responses: RetryResponses) -> None:
        self._records = records
        self._active_term = active_term
        self._responses = responses

    async def status(self, scheduler: Scheduler, job_id: str) -> JobStatus | None:
        """Return a job's status; None if the job was never accepted.

        `RequestRefusedError` if the store cannot be read, or the term ended during the read.
        """
        status = scheduler.admission.lookup(job_id)
        if status is None:
            try:
                status = await self._records.read_final_status(job_id)
            except (StoreError, wire.WireError):
                raise RequestRefusedError(self._responses.store_unavailable()) from None
            # The job may have been accepted, or have ended, during the read.
            status = status or scheduler.admission.lookup(job_id)
        if not self.is_current(scheduler):
            raise RequestRefusedError(self._responses.unavailable("leadership changed"))
        return status

    def is_current(self, scheduler: Scheduler) -> bool:
        """Return whether the scheduler is that of the current term and may decide."""
        return self._active_term.may_decide and self._active_term.scheduler is scheduler
