"""The leader's lookup of a job: in its own cluster state, then in the store.

The order of all answers about a job is that of the commits. The records are never behind the leader's memory, but
they are ahead of it from the moment of a commit until its response has arrived, and followers may answer from them.
So the leader says nothing of a job that the batch in flight creates, cancels or ends, until the outcome is known.
"""

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

        `RequestRefusedError` if the store cannot be read, or the term ended during the lookup.
        """
        await self.wait_until_decided(scheduler, job_id)
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

    async def wait_until_decided(self, scheduler: Scheduler, job_id: str) -> None:
        """Wait while the batch in flight may change what users are told of a job, or until the leader may not decide.

        The time limit of the request bounds the wait; then the user is asked to retry.
        """
        while self.is_current(scheduler) and scheduler.is_undecided(job_id):
            await self._active_term.wait_for_commit()

    def is_current(self, scheduler: Scheduler) -> bool:
        """Return whether the scheduler is that of the current term and may decide."""
        return self._active_term.may_decide and self._active_term.scheduler is scheduler
