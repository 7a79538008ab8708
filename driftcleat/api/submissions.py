"""Submissions of jobs: validation, idempotency, and the wait for the commit."""

from functools import partial
from typing import Any

from driftcleat import wire
from driftcleat.api.commit_wait import CommitWaiter
from driftcleat.api.dependencies import DependencyLookup
from driftcleat.api.forwarding import LeaderForwarder
from driftcleat.api.leader_lookup import LeaderLookup
from driftcleat.api.responses import RequestRefusedError, Response, RetryResponses
from driftcleat.api.user_requests import UserRequest
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import PendingRequest, Scheduler, unschedulable_reason
from driftcleat.settings import Platform
from driftcleat.wire.job_spec_parsing import InvalidFieldError, parse_job_id, parse_object, parse_submission
from driftcleat.wire.users import JobKind, JobSpec, JobStatus


class Submissions:
    """Carries out submissions at the leader; a follower forwards them."""

    def __init__(
        self,
        platform: Platform,
        active_term: ActiveTerm[Scheduler],
        leader_lookup: LeaderLookup,
        dependencies: DependencyLookup,
        commits: CommitWaiter,
        forwarder: LeaderForwarder,
        responses: RetryResponses,
    ) -> None:
        self._platform = platform
        self._active_term = active_term
        self._leader_lookup = leader_lookup
        self._dependencies = dependencies
        self._commits = commits
        self._forwarder = forwarder
        self._responses = responses

    async def submit(self, request: UserRequest) -> Response:
        """Return the response to a submission: 200 for a job accepted before, 201 for a new one."""
        try:
            raw = parse_object(request.body)
            job_id = parse_job_id(raw)
        except InvalidFieldError as error:
            return Response.error(400, str(error), error.field)
        scheduler = self._active_term.scheduler
        if scheduler is None or not self._active_term.may_decide:
            return await self._forwarder.forward(request, request.body)
        # The lookup precedes validation: a repeated submission of an accepted job succeeds whatever its content.
        status = await self._leader_lookup.status(scheduler, job_id)
        if status is not None:
            return Response(200, wire.encode(JobStatus(status.id, status.state)))
        spec = self._validate(scheduler, raw)
        ended = await self._dependencies.ended_dependencies(scheduler, spec)
        if not scheduler.admission.may_submit(job_id):
            return self._responses.too_many_pending()
        status = await self._commits.commit(
            scheduler.admission.submit,
            partial(PendingRequest, spec=spec, job_id=job_id, ended_dependencies=ended),
            request.deadline,
        )
        if status is None:
            return self._responses.unavailable("not decided")
        return Response(201, wire.encode(JobStatus(status.id, status.state)))

    def _validate(self, scheduler: Scheduler, raw: dict[str, Any]) -> JobSpec:
        """Return the specification; `RequestRefusedError` if it is invalid, can never run, or cannot be stored."""
        try:
            spec = parse_submission(raw)
        except InvalidFieldError as error:
            raise RequestRefusedError(Response.error(400, str(error), error.field)) from None
        if not scheduler.cluster.machine_types:
            raise RequestRefusedError(self._responses.unavailable("the machine types are not known yet"))
        reason = unschedulable_reason(spec, scheduler.cluster.machine_types, self._platform)
        if reason is not None:
            raise RequestRefusedError(Response.error(422, reason))
        if not scheduler.layout.spec_fits(spec):
            field = "tows" if spec.dependencies else "builds"
            raise RequestRefusedError(Response.error(400, f"{field}: more is named than can be stored", field))
        self._check_gang_size(scheduler, spec)
        return spec

    @staticmethod
    def _check_gang_size(scheduler: Scheduler, spec: JobSpec) -> None:
        """Raise `RequestRefusedError` for a gang whose tasks cannot be placed, or cannot end, in one transaction."""
        if spec.kind is not JobKind.GANG:
            return
        max_tasks = scheduler.layout.max_gang_tasks(spec)
        if spec.tasks > max_tasks:
            reason = f"hands: a gang may have at most {max_tasks} tasks of this kind"
            raise RequestRefusedError(Response.error(422, reason, "hands"))
