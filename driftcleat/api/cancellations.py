"""Users' cancellations: queued by the leader and answered after the commit, or forwarded to it by a follower."""

from functools import partial

from driftcleat import wire
from driftcleat.api.commit_wait import CommitWaiter
from driftcleat.api.forwarding import LeaderForwarder
from driftcleat.api.job_records import FINAL_STATES, JobRecords
from driftcleat.api.leader_lookup import LeaderLookup
from driftcleat.api.responses import Response, RetryResponses
from driftcleat.api.user_requests import UserRequest
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import PendingRequest, Scheduler
from driftcleat.wire.users import JobStatus


class Cancellations:
    """Carries out cancellations at the leader; a follower forwards them."""

    def __init__(
        self,
        active_term: ActiveTerm[Scheduler],
        records: JobRecords,
        leader_lookup: LeaderLookup,
        commits: CommitWaiter,
        forwarder: LeaderForwarder,
        responses: RetryResponses,
    ) -> None:
        self._active_term = active_term
        self._records = records
        self._leader_lookup = leader_lookup
        self._commits = commits
        self._forwarder = forwarder
        self._responses = responses

    async def cancel(self, request: UserRequest) -> Response:
        """Return the response to a cancellation: 200 with the final state, even if the job had ended before."""
        job_id = request.job_id
        status = self._records.cached_final_status(job_id)
        if status is None:
            scheduler = self._active_term.scheduler
            if scheduler is None or not self._active_term.may_decide:
                return await self._forwarder.forward(request)
            status = await self._leader_lookup.status(scheduler, job_id)
            if status is None:
                return Response.error(404, "no such job")
            if status.state not in FINAL_STATES:
                if not scheduler.admission.may_cancel(job_id):
                    return self._responses.too_many_pending()
                status = await self._commits.commit(
                    scheduler.admission.cancel, partial(PendingRequest, job_id=job_id), request.deadline
                )
            if status is None or status.state not in FINAL_STATES:
                return self._responses.unavailable("not decided")
        return Response(200, wire.encode(JobStatus(job_id, status.state)))
