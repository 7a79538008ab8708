"""Users' requests find the share on which their job is homed."""

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from driftcleat import wire
from driftcleat.api import Response
from driftcleat.sharing.keys import FIRST_SHARE
from driftcleat.store.errors import StoreError
from driftcleat.wire.job_ids import is_job_id
from driftcleat.wire.job_spec_parsing import InvalidFieldError, parse_job_id, parse_object, parse_submission
from driftcleat.wire.users import JobSpec

if TYPE_CHECKING:
    from driftcleat.sharing.host import SharingHost

JOBS_PATH = "/v1/jobs"


class UserRouter:
    """Claims new jobs for a share and passes requests to the engine of their job's share."""

    def __init__(self, host: "SharingHost") -> None:
        self._host = host

    async def handle(self, method: str, path: str, body: bytes) -> Response:
        """Answer a user's request."""
        host = self._host
        users = host.first_engine.users
        try:
            async with asyncio.timeout(users.time_limit_s(method, False)):
                share = await self._share_for(method, path, body)
                if isinstance(share, Response):
                    return share
                if not host.is_set_up(share):
                    return users.unavailable("starting")
                return await host.engines[share].handle_front(method, path, body)
        except (StoreError, wire.WireError):
            return users.unavailable("the state service does not answer")
        except TimeoutError:
            return users.unavailable("no answer in time")

    async def _share_for(self, method: str, path: str, body: bytes) -> int | Response:
        """Return the share whose engine answers a request, or the answer if no share is needed for it."""
        host = self._host
        if not host.view.loaded:
            return host.first_engine.users.unavailable("starting")
        if host.view.assignment is None:
            return FIRST_SHARE
        if path == JOBS_PATH and method == "POST":
            return await self._share_for_submission(body)
        job_id = path[len(JOBS_PATH) + 1 :].partition("/")[0]
        if not path.startswith(JOBS_PATH + "/") or not is_job_id(job_id):
            return FIRST_SHARE
        home = await host.claims.home(job_id, host.first_engine.users.max_store_wait_s)
        return home if home is not None else Response.error(404, "no such job")

    async def _share_for_submission(self, body: bytes) -> int | Response:
        host = self._host
        try:
            raw = parse_object(body)
            job_id = parse_job_id(raw)
        except InvalidFieldError as error:
            return Response.error(400, str(error), error.field)
        known = host.claims.known(job_id)
        if known is not None:
            return known
        try:
            spec = parse_submission(raw)
        except InvalidFieldError as error:
            # A job accepted before is known whatever its repeat looks like.
            home = await host.claims.home(job_id, host.first_engine.users.max_store_wait_s)
            return home if home is not None else Response.error(400, str(error), error.field)
        # Most submissions are new: the claim is tried without a look for an older one, which would cost three reads.
        return await host.claims.claim(job_id, await self._choose(spec))

    async def _choose(self, spec: JobSpec) -> int:
        """Return the share for a new job: that of most jobs which it needs, else any share that has a leader."""
        host = self._host
        homes: Counter[int] = Counter()
        for need in spec.dependencies or ():
            home = await host.claims.home(need, host.first_engine.users.max_store_wait_s)
            if home is not None:
                homes[home] += 1
        if homes:
            return max(homes, key=lambda share: (homes[share], -share))
        assignment = host.view.assignment
        shares = range(assignment.shares if assignment is not None else 1)
        led = [share for share in shares if host.is_set_up(share) and host.engines[share].leader is not None]
        return host.rng.choice(led) if led else FIRST_SHARE
