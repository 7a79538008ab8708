"""Users' requests at one share: as everywhere, but a job may need jobs that are homed on another share."""

from typing import TYPE_CHECKING

import msgspec

from driftcleat import wire
from driftcleat.api import Answer, UserApi
from driftcleat.api.users import FINAL
from driftcleat.scheduler import Scheduler
from driftcleat.sharing.share_states import state_elsewhere
from driftcleat.store.errors import StoreError, StoreUnavailableError
from driftcleat.wire.users import JobSpec

if TYPE_CHECKING:
    from driftcleat.sharing.host import SharingHost


class ShareUserApi(UserApi):
    """Answers users about the jobs of one share."""

    share: int
    host: "SharingHost"

    @classmethod
    def beside(cls, plain: UserApi, share: int, host: "SharingHost") -> "ShareUserApi":
        """Return a share's side for users in place of a plain one, which was not used yet.

        Whether a job can ever run is judged by the teams' whole limits.
        """
        made = cls(
            host.platform,
            plain.tuning,
            plain.store,
            plain.peers,
            plain.active_term,
            plain.clock,
            plain.most_in_progress,
            plain.most_passed_on,
        )
        made.share, made.host = share, host
        return made

    async def _needed(self, scheduler: Scheduler, spec: JobSpec) -> dict[str, str] | Answer:
        """Return the final states of the jobs that a submission needs; those homed elsewhere are asked there."""
        elsewhere: dict[str, str] = {}
        own: list[str] = []
        for need in spec.dependencies or ():
            try:
                home = await self.host.claims.home(need, self.most_wait_s)
                if home is None or home == self.share:
                    own.append(need)
                    continue
                state = await state_elsewhere(self.host.store, home, need, self.most_wait_s)
            except (StoreError, wire.WireError):
                return self.unavailable("the state service does not answer")
            if state is None:
                return Answer.error(422, f"tows: {need} was never accepted", "tows")
            if state in FINAL:
                elsewhere[need] = state
        here = await super()._needed(scheduler, _needing(spec, own))
        return here if isinstance(here, Answer) else here | elsewhere

    async def _cancelled_by_need(self, spec: JobSpec) -> bool:
        """As everywhere; what needs jobs of another share is only answered by the leader.

        Guards against an answer from the records that is ahead of the leader's, which finds out later how a job of
        another share stands.
        """
        for need in spec.dependencies or ():
            home = await self.host.claims.home(need, self.most_wait_s)
            if home is not None and home != self.share:
                raise StoreUnavailableError("it needs a job of another share")
        return await super()._cancelled_by_need(spec)


def _needing(spec: JobSpec, needs: list[str]) -> JobSpec:
    return msgspec.structs.replace(spec, dependencies=needs or None)
