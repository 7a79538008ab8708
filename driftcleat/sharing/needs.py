"""The users' interface of one share: a job may depend on jobs that are homed on another share."""

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
from driftcleat.sharing.share_states import state_elsewhere
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import StoreError, StoreUnavailableError
from driftcleat.wire.users import JobSpec

if TYPE_CHECKING:
    from driftcleat.sharing.host import SharingHost

# Arguments of `UserApi` after the platform, up to the limits on requests.
UserApiArguments = tuple[Tuning, StoreClient, ForwardingClient, ActiveTerm[Scheduler], Callable[[], float], int, int]


def build_share_user_api(host: "SharingHost", share: int, _: Platform, *arguments: *UserApiArguments) -> UserApi:
    """Return the users' interface of a share; the arguments are those of `UserApi`.

    The host's platform replaces the share's: whether a job can ever run is judged by the teams' whole limits.
    """
    return UserApi(host.platform, *arguments, partial(ShareDependencyLookup, host, share))


class ShareDependencyLookup(DependencyLookup):
    """Looks up dependencies that may be homed on another share."""

    def __init__(
        self,
        host: "SharingHost",
        share: int,
        records: JobRecords,
        leader_lookup: LeaderLookup,
        responses: RetryResponses,
    ) -> None:
        super().__init__(records, leader_lookup, responses)
        self._host = host
        self._share = share

    async def ended_dependencies(self, scheduler: Scheduler, spec: JobSpec) -> dict[str, str]:
        """Return the final states of ended dependencies; those homed on another share are read from its records."""
        ended: dict[str, str] = {}
        own: list[str] = []
        for dependency in spec.dependencies or ():
            try:
                home = await self._host.claims.home(dependency, self._records.max_wait_s)
                if home is None or home == self._share:
                    own.append(dependency)
                    continue
                state = await state_elsewhere(self._host.store, home, dependency, self._records.max_wait_s)
            except (StoreError, wire.WireError):
                raise RequestRefusedError(self._responses.store_unavailable()) from None
            if state is None:
                raise unknown_dependency_error(dependency)
            if state in FINAL_STATES:
                ended[dependency] = state
        own_spec = msgspec.structs.replace(spec, dependencies=own or None)
        return await super().ended_dependencies(scheduler, own_spec) | ended

    async def has_cancelled_dependency(self, spec: JobSpec) -> bool:
        """Return whether a dependency is cancelled; `StoreUnavailableError` if one is homed on another share.

        Guards against an answer from the records that is ahead of the leader's, which learns later of the state of a
        job on another share.
        """
        for dependency in spec.dependencies or ():
            home = await self._host.claims.home(dependency, self._records.max_wait_s)
            if home is not None and home != self._share:
                raise StoreUnavailableError("it needs a job of another share")
        return await super().has_cancelled_dependency(spec)
