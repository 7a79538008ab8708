"""The users' API of one shard, in which a job may depend on jobs that are homed on another shard."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from driftcleat import wire
from driftcleat.api import UserApi
from driftcleat.api.dependencies import DependencyLookup, unknown_dependency_error
from driftcleat.api.forwarding import ForwardingClient
from driftcleat.api.job_records import FINAL_STATES, JobRecords
from driftcleat.api.leader_lookup import LeaderLookup
from driftcleat.api.responses import RequestRefusedError, RetryResponses
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.sharing.job_states import read_job_state
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import StoreError, StoreUnavailableError
from driftcleat.wire.users import JobSpec

if TYPE_CHECKING:
    from driftcleat.sharing.host import ShardHost

# Arguments of `UserApi` after the platform, up to the limits on requests.
UserApiArguments = tuple[Tuning, StoreClient, ForwardingClient, ActiveTerm[Scheduler], Callable[[], float], int, int]


def build_shard_user_api(host: "ShardHost", shard: int, _: Platform, *arguments: *UserApiArguments) -> UserApi:
    """Return the users' API of a shard; `arguments` are those of `UserApi` after the platform.

    The host's platform replaces the shard's, so that a job is rejected as unschedulable by the teams' whole limits
    and not by the shard's quotas.
    """
    return UserApi(host.platform, *arguments, partial(ShardDependencyLookup, host, shard))


class ShardDependencyLookup(DependencyLookup):
    """Looks up dependencies that may be homed on another shard."""

    def __init__(
        self,
        host: "ShardHost",
        shard: int,
        records: JobRecords,
        leader_lookup: LeaderLookup,
        responses: RetryResponses,
    ) -> None:
        super().__init__(records, leader_lookup, responses)
        self._host = host
        self._shard = shard

    async def ended_dependencies(self, scheduler: Scheduler, spec: JobSpec) -> dict[str, str]:
        """Return the final states of ended dependencies; those homed on another shard are read from its records."""
        ended: dict[str, str] = {}
        own: list[str] = []
        for dependency in spec.dependencies or ():
            try:
                home_shard = await self._host.job_directory.home_shard(dependency, self._records.max_wait_s)
                if home_shard is None or home_shard == self._shard:
                    own.append(dependency)
                    continue
                state = await read_job_state(self._host.store, home_shard, dependency, self._records.max_wait_s)
            except (StoreError, wire.WireError):
                raise RequestRefusedError(self._responses.store_unavailable()) from None
            if state is None:
                raise unknown_dependency_error(dependency)
            if state in FINAL_STATES:
                ended[dependency] = state
        own_spec = msgspec.structs.replace(spec, dependencies=own or None)
        return await super().ended_dependencies(scheduler, own_spec) | ended

    async def require_readable(self, dependency: str) -> None:
        """Raise `StoreUnavailableError` if a direct or indirect dependency is homed on another shard.

        Guards against a response from the records that differs from the leader's responses: the leader learns later
        of the state of a job on another shard, and this shard has no records of it.
        """
        home_shard = await self._host.job_directory.home_shard(dependency, self._records.max_wait_s)
        if home_shard is not None and home_shard != self._shard:
            raise StoreUnavailableError("a dependency is homed on another shard")
