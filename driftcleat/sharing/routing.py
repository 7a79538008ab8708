"""Routes users' requests to the home shard of their job."""

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from driftcleat import wire
from driftcleat.api import Response
from driftcleat.sharing.keys import FIRST_SHARD
from driftcleat.store.errors import StoreError
from driftcleat.wire.job_ids import is_job_id
from driftcleat.wire.job_spec_parsing import InvalidFieldError, parse_job_id, parse_object, parse_submission
from driftcleat.wire.users import JobSpec

if TYPE_CHECKING:
    from driftcleat.sharing.host import ShardHost

JOBS_PATH = "/v1/jobs"


class UserRouter:
    """Registers a home shard for new jobs, and passes each request to the engine of its job's home shard."""

    def __init__(self, host: "ShardHost") -> None:
        self._host = host

    async def handle(self, method: str, path: str, body: bytes) -> Response:
        """Return the response to a user's request, within the time limit of the users' API."""
        host = self._host
        users = host.first_engine.users
        try:
            async with asyncio.timeout(users.time_limit_s(method, False)):
                shard = await self._shard_for(method, path, body)
                if isinstance(shard, Response):
                    return shard
                if not host.is_serving(shard):
                    return users.unavailable("starting")
                return await host.engines[shard].handle_front(method, path, body)
        except (StoreError, wire.WireError):
            return users.unavailable("the state service does not answer")
        except TimeoutError:
            return users.unavailable("no answer in time")

    async def _shard_for(self, method: str, path: str, body: bytes) -> int | Response:
        """Return the shard whose engine handles a request, or the response if no shard is needed for it."""
        host = self._host
        if not host.view.loaded:
            return host.first_engine.users.unavailable("starting")
        if host.view.assignment is None:
            return FIRST_SHARD
        if path == JOBS_PATH and method == "POST":
            return await self._shard_for_submission(body)
        job_id = path[len(JOBS_PATH) + 1 :].partition("/")[0]
        if not path.startswith(JOBS_PATH + "/") or not is_job_id(job_id):
            return FIRST_SHARD
        home_shard = await host.job_directory.home_shard(job_id, host.first_engine.users.max_store_wait_s)
        return home_shard if home_shard is not None else Response.error(404, "no such job")

    async def _shard_for_submission(self, body: bytes) -> int | Response:
        host = self._host
        try:
            raw = parse_object(body)
            job_id = parse_job_id(raw)
        except InvalidFieldError as error:
            return Response.error(400, str(error), error.field)
        cached_home = host.job_directory.cached_home(job_id)
        if cached_home is not None:
            return cached_home
        try:
            spec = parse_submission(raw)
        except InvalidFieldError as error:
            # The retry of an accepted job is handled by its home shard, even if the retry is invalid.
            home_shard = await host.job_directory.home_shard(job_id, host.first_engine.users.max_store_wait_s)
            return home_shard if home_shard is not None else Response.error(400, str(error), error.field)
        # Most submissions are new, so the entry is written without a look-up of an existing one, which costs 3 reads.
        return await host.job_directory.register(job_id, await self._choose(spec))

    async def _choose(self, spec: JobSpec) -> int:
        """Choose a home for a new job: the shard of most of its dependencies, else a random shard with a leader."""
        host = self._host
        homes: Counter[int] = Counter()
        for dependency in spec.dependencies or ():
            home_shard = await host.job_directory.home_shard(dependency, host.first_engine.users.max_store_wait_s)
            if home_shard is not None:
                homes[home_shard] += 1
        if homes:
            return max(homes, key=lambda shard: (homes[shard], -shard))
        assignment = host.view.assignment
        shards = range(assignment.shard_count if assignment is not None else 1)
        led = [shard for shard in shards if host.is_serving(shard) and host.engines[shard].leader is not None]
        return host.rng.choice(led) if led else FIRST_SHARD
