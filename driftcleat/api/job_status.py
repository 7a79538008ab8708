"""Polls of a job's status, which is read from the cache, the leader's cluster state, or the records."""

from driftcleat import wire
from driftcleat.api.dependencies import DependencyLookup
from driftcleat.api.forwarding import LeaderForwarder
from driftcleat.api.job_records import FINAL_STATES, JobRecords
from driftcleat.api.leader_lookup import LeaderLookup
from driftcleat.api.responses import Response, RetryResponses
from driftcleat.api.user_requests import UserRequest
from driftcleat.cluster import Job, JobState
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import Scheduler
from driftcleat.store.errors import StoreError
from driftcleat.wire.users import JobStatus


class JobStatusPolls:
    """Responds to polls; a follower forwards them and reads the records if the leader does not respond."""

    def __init__(
        self,
        active_term: ActiveTerm[Scheduler],
        records: JobRecords,
        leader_lookup: LeaderLookup,
        dependencies: DependencyLookup,
        forwarder: LeaderForwarder,
        responses: RetryResponses,
    ) -> None:
        self._active_term = active_term
        self._records = records
        self._leader_lookup = leader_lookup
        self._dependencies = dependencies
        self._forwarder = forwarder
        self._responses = responses

    async def poll(self, request: UserRequest) -> Response:
        """Return the response to a poll: the job's state with its numbers of done and running tasks."""
        scheduler = self._active_term.scheduler
        if scheduler is not None and self._records.cached_final_status(request.job_id) is None:
            await self._leader_lookup.wait_until_decided(scheduler, request.job_id)
            scheduler = self._active_term.scheduler
        status = self._status_in_memory(request.job_id, scheduler)
        if status is not None:
            return self._respond(status)
        if not self._active_term.may_decide and not request.forwarded and self._forwarder.knows_other_leader:
            saturated = self._forwarder.is_saturated
            response = await self._forwarder.forward(request)
            if saturated or response.status in (200, 404):
                # The records are read only if the leader does not respond: if it is overloaded, it needs the store's
                # capacity for itself.
                return response
        return await self._poll_records(request.job_id, scheduler)

    def _status_in_memory(self, job_id: str, scheduler: Scheduler | None) -> JobStatus | None:
        """Return a job's status if no read is needed; of a leader that may not decide, only a final one is valid."""
        status = self._records.cached_final_status(job_id)
        if status is None and scheduler is not None:
            status = scheduler.admission.lookup(job_id)
            if status is not None and status.state not in FINAL_STATES and not self._active_term.may_decide:
                return None
        return status

    async def _poll_records(self, job_id: str, scheduler: Scheduler | None) -> Response:
        """Return the response to a poll from the records.

        The head record is read first, so that a job that ends between the two reads is still found; if there is
        neither, it is read again, so that a job that is accepted meanwhile is found too.
        """
        try:
            if scheduler is None or not self._active_term.may_decide:
                recorded = await self._recorded_status(job_id)
                if recorded is not None:
                    return self._respond(recorded)
            status = await self._records.read_final_status(job_id)
            if status is None and scheduler is None:
                status = await self._recorded_status(job_id)
        except (StoreError, wire.WireError):
            return self._responses.store_unavailable()
        if status is None and scheduler is not None:
            status = scheduler.admission.lookup(job_id)
        if status is not None:
            return self._respond(status)
        if scheduler is not None and not self._leader_lookup.is_current(scheduler):
            return self._responses.unavailable("leadership changed")
        return Response.error(404, "no such job")

    async def _recorded_status(self, job_id: str) -> JobStatus | None:
        """Return the status that a job's head record tells; None if there is no such record.

        The head is read again after the dependencies: meanwhile the job may have been cancelled, or have ended, and
        users may have been told so.
        """
        job = await self._records.read_head(job_id)
        if job is not None and job.state is JobState.ACTIVE and job.spec.dependencies:
            if await self._dependencies.has_cancelled_dependency(job.spec):
                return JobStatus(job_id, JobState.CANCELLED.value, job.tasks_done, len(job.placements))
            job = await self._records.read_head(job_id)
        return (
            JobStatus(job_id, _recorded_state(job), job.tasks_done, len(job.placements)) if job is not None else None
        )

    def _respond(self, status: JobStatus) -> Response:
        """Return the response with a status, which is cached if it is final."""
        self._records.cache_if_final(status)
        return Response(
            200,
            wire.encode(
                {
                    "nameId": status.id,
                    "bearing": status.state,
                    "done": status.done or 0,
                    "running": status.running or 0,
                }
            ),
        )


def _recorded_state(job: Job) -> str:
    """Return the state that a poll reports for a job with this head record, whose dependencies are not cancelled."""
    if job.state is JobState.CANCELLED:
        return "cancelled"
    return "running" if job.placements else "pending"
