"""The users' interface of a controller: routes, deadlines and admission control.

The leader decides; followers forward requests to it. The records in the store are authoritative, so a poll that
cannot reach the leader is served from them.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from driftcleat.api.cancellations import Cancellations
from driftcleat.api.commit_wait import CommitWaiter
from driftcleat.api.deadline import Deadline
from driftcleat.api.dependencies import DependencyLookup
from driftcleat.api.forwarding import ForwardingClient, LeaderForwarder
from driftcleat.api.job_records import JobRecords
from driftcleat.api.job_status import JobStatusPolls
from driftcleat.api.leader_lookup import LeaderLookup
from driftcleat.api.responses import RequestRefusedError, Response, RetryResponses
from driftcleat.api.submissions import Submissions
from driftcleat.api.user_requests import UserRequest, is_cancellation
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import StoreClient
from driftcleat.wire.job_ids import is_job_id

JOBS_PATH = "/v1/jobs"
JOB_PATTERN = "/v1/jobs/{id}"
# A forwarded request has this fraction of its time limit at the leader. The fraction of a poll is smaller, since the
# follower must have time left to read the records if the leader does not respond.
FORWARDED_FRACTION = 0.9
FORWARDED_POLL_FRACTION = 0.6
# A read that the store's rate limit delays longer than the heartbeat interval divided by this is refused at once,
# since users wait only 2 to 5 s for a response.
STORE_WAIT_DIVISOR = 6

DependencyLookupFactory = Callable[[JobRecords, LeaderLookup, RetryResponses], DependencyLookup]


@dataclass(frozen=True, slots=True)
class _Route:
    """The method that a path accepts, and the handler of its requests."""

    method: str
    handle: Callable[[UserRequest], Awaitable[Response]]
    has_job_id: bool = True


class UserApi:
    """Answers users' requests."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        store: StoreClient,
        peers: ForwardingClient,
        active_term: ActiveTerm[Scheduler],
        clock: Callable[[], float],
        max_in_progress: int,
        max_forwarded: int,
        make_dependency_lookup: DependencyLookupFactory = DependencyLookup,
    ) -> None:
        """Set up the interface.

        Requests are refused if `max_in_progress` are in progress, or `max_forwarded` wait for the leader. Pass
        `make_dependency_lookup` if jobs may depend on jobs of another scheduler.
        """
        self._platform = platform
        self._tuning = tuning
        self._clock = clock
        self._max_in_progress = max_in_progress
        self._in_progress = 0
        self._requests_rejected = 0
        self.retry_s = max(1, round(tuning.retry_after_intervals * platform.report_s))
        self.max_store_wait_s = platform.report_s / STORE_WAIT_DIVISOR
        responses = self._responses = RetryResponses(self.retry_s)
        records = JobRecords(store, self.max_store_wait_s)
        lookup = LeaderLookup(records, active_term, responses)
        self.dependencies = dependencies = make_dependency_lookup(records, lookup, responses)
        commits = self._commits = CommitWaiter(active_term, platform.report_s, clock)
        forwarder = LeaderForwarder(platform.label, peers, active_term, responses, max_forwarded)
        self._forwarder = forwarder
        submissions = Submissions(platform, active_term, lookup, dependencies, commits, forwarder, responses)
        polls = JobStatusPolls(active_term, records, lookup, dependencies, forwarder, responses)
        cancellations = Cancellations(active_term, records, lookup, commits, forwarder, responses)
        self._routes = {
            JOBS_PATH: _Route("POST", submissions.submit, has_job_id=False),
            JOB_PATTERN: _Route("GET", polls.poll),
            f"{JOB_PATTERN}/cancel": _Route("POST", cancellations.cancel),
        }

    @property
    def requests_rejected(self) -> int:
        """Return how many requests were refused because too many others were in progress."""
        return self._requests_rejected + self._forwarder.requests_rejected

    def unavailable(self, reason: str) -> Response:
        """Return the response to a request that cannot be carried out now, with the time of a retry."""
        return self._responses.unavailable(reason)

    def drop_outstanding(self) -> None:
        """Complete all requests that wait for a commit, without its outcome, so that their users retry."""
        self._commits.drop_outstanding()

    def time_limit_s(self, method: str, forwarded: bool) -> float:
        """Return the time limit of a request in seconds; it is shorter for a forwarded request."""
        if method == "GET":
            return (
                self._platform.report_s
                * self._tuning.poll_timeout_intervals
                * (FORWARDED_POLL_FRACTION if forwarded else 1.0)
            )
        return (
            self._platform.report_s
            * self._tuning.request_timeout_intervals
            * (FORWARDED_FRACTION if forwarded else 1.0)
        )

    async def handle(self, method: str, path: str, body: bytes, forwarded: bool = False) -> Response | None:
        """Return the response to a request under /v1 before its deadline; None if there is no such path.

        Guards against steps that are bounded one by one but together take longer than a user waits.
        """
        if self._in_progress >= self._max_in_progress and not is_cancellation(path):
            # Guards against users' requests that take the processor time and the connections that heartbeats need.
            # A cancellation is always accepted, since it ends work that is no longer needed.
            self._requests_rejected += 1
            return self.unavailable("too many requests are under way")
        deadline = Deadline(self._clock, self.time_limit_s(method, forwarded))
        pattern, job_id = _match(path)
        request = UserRequest(method, path, body, job_id, forwarded, deadline)
        self._in_progress += 1
        try:
            async with asyncio.timeout(deadline.left_s):
                return await self._dispatch(self._routes.get(pattern), request)
        except RequestRefusedError as refusal:
            return refusal.response
        except TimeoutError:
            return self.unavailable("no answer in time")
        finally:
            self._in_progress -= 1

    async def _dispatch(self, route: _Route | None, request: UserRequest) -> Response | None:
        if route is None:
            return None
        if request.method != route.method:
            return Response.error(405, f"only {route.method} is allowed here")
        if route.has_job_id and not is_job_id(request.job_id):
            return Response.error(404, "no such job")
        return await route.handle(request)


def _match(path: str) -> tuple[str, str]:
    """Return the pattern of a path in the route table, and the job id in the path."""
    if not path.startswith(f"{JOBS_PATH}/"):
        return path, ""
    job_id, slash, verb = path[len(JOBS_PATH) + 1 :].partition("/")
    return f"{JOB_PATTERN}{slash}{verb}", job_id
