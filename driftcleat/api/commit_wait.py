"""Requests that wait for the commit of their batch."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from driftcleat.api.deadline import Deadline
from driftcleat.api.responses import RequestRefusedError, Response
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import PendingRequest, Scheduler
from driftcleat.wire.users import JobStatus


class RequestFactory(Protocol):
    """Makes a pending request from the callbacks for its status and for its refusal."""

    def __call__(
        self, *, respond: Callable[[JobStatus | None], None], refuse: Callable[[str], None]
    ) -> PendingRequest:
        """Return the request."""


class CommitWaiter:
    """Queues requests for the next batch and waits for its commit."""

    def __init__(self, active_term: ActiveTerm[Scheduler], max_wait_s: float, clock: Callable[[], float]) -> None:
        self._active_term = active_term
        self._max_wait_s = max_wait_s
        self._clock = clock
        self._outstanding: set[asyncio.Future[JobStatus | None]] = set()

    async def commit(
        self,
        enqueue: Callable[[PendingRequest], None],
        make_request: RequestFactory,
        deadline: Deadline,
    ) -> JobStatus | None:
        """Enqueue a request; return the job's status after the commit, None if it is not committed in time.

        `RequestRefusedError` if the request can never be committed.
        """
        future: asyncio.Future[JobStatus | None] = asyncio.get_running_loop().create_future()

        def respond(status: JobStatus | None) -> None:
            if not future.done():
                future.set_result(status)

        def refuse(reason: str) -> None:
            if not future.done():
                future.set_exception(RequestRefusedError(Response.error(400, reason)))

        request = make_request(respond=respond, refuse=refuse)
        enqueue(request)
        self._outstanding.add(future)
        self._active_term.wake_committer()
        try:
            return await asyncio.wait_for(future, min(self._max_wait_s, deadline.left_s))
        except TimeoutError:
            return None
        finally:
            self._outstanding.discard(future)
            request.abandoned_at = self._clock()

    def drop_outstanding(self) -> None:
        """Complete all waiting requests with None: whether they are committed is unknown, so their users retry."""
        for future in self._outstanding:
            if not future.done():
                future.set_result(None)
