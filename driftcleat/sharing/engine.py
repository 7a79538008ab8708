"""One share at one controller: the parts of a controller, with the share's keys, machines and part of the limits."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING

from driftcleat import wire
from driftcleat.api.job_records import FINAL_STATES
from driftcleat.api.server import Handler
from driftcleat.cluster import JobState
from driftcleat.controller.assembly import Factories
from driftcleat.controller.clients import ControllerClients, store_limits
from driftcleat.controller.controller import Controller
from driftcleat.controller.network import SharedNetwork
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.sharing.cloud import ShareCloud
from driftcleat.sharing.demand import demands_of
from driftcleat.sharing.dependencies import build_share_user_api
from driftcleat.sharing.election import ShareElection
from driftcleat.sharing.job_states import state_elsewhere
from driftcleat.sharing.keys import in_share
from driftcleat.sharing.messages import ShareStatus
from driftcleat.sharing.quota import Amount, allotted, guarantee_share, is_divided
from driftcleat.sharing.shard_store import ShareStore
from driftcleat.store.errors import StoreError
from driftcleat.store.keys import LEADER_KEY

if TYPE_CHECKING:
    from driftcleat.sharing.host import SharingHost

log = logging.getLogger(__name__)

# How often jobs of other shares that ours need are looked at, of the report interval.
NEEDS_PAUSE = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pin:
    """A lowered part whose commit is under way, or of unknown outcome, on this version of the record."""

    version: int
    part: Amount


class ShareEngine(Controller):
    """A controller for one share; the process's clients and listeners are its host's."""

    def __init__(
        self, host: "SharingHost", share: int, platform: Platform, tuning: Tuning, rng: random.Random
    ) -> None:
        # Its own table of teams: the parts of the limits change while a term lasts.
        own = dataclasses.replace(platform, teams=dict(platform.teams))
        factories = Factories(
            network=partial(_share_network, host, share),
            election=partial(ShareElection, share, host.view, host.process_lease),
            users=partial(build_share_user_api, host, share),
        )
        super().__init__(own, tuning, rng, host.clock, host.wall, factories)
        self.host = host
        self.share = share
        self._full_teams = platform.teams
        self._pins: dict[str, Pin] = {}

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [*super()._loops(), self._watch_needs]

    @property
    def share_election(self) -> ShareElection:
        """Return the share's election."""
        assert isinstance(self.election, ShareElection)
        return self.election

    # -- terms --------------------------------------------------------------------------------------------

    async def _recover(self, token: int) -> None:
        """Begin a term with the parts of the limits as they stand now that nobody else can lower them."""
        await self.host.view.refresh()
        self._pins.clear()
        self.take_parts()
        await super()._recover(token)
        scheduler = self.active_term.scheduler
        if scheduler is not None:
            # An earlier leader may have told users of cancellations that it saw in other shares.
            await self._note_ends_elsewhere(scheduler)

    def take_parts(self) -> None:
        """Go by the parts of the limits as they are known now."""
        for team in self._full_teams.values():
            self._set_part(team.name, self.part(team.name))

    def part(self, team_name: str) -> Amount:
        """Return this share's part of a team's limit; less while it is open whether a lowered part was committed."""
        view = self.host.view
        allotment = view.allotments.get(team_name)
        part = allotment.part(self.share) if allotment is not None else Amount()
        pin = self._pins.get(team_name)
        if pin is None:
            return part
        if pin.version != view.allotment_versions.get(team_name, 0):
            del self._pins[team_name]
            return part
        return part.at_most(pin.part)

    def _set_part(self, team_name: str, part: Amount) -> None:
        """Place no more of a team's tasks than fit into a part of its limit."""
        team = self._full_teams[team_name]
        assignment = self.host.view.assignment
        if assignment is None:
            self.platform.teams[team_name] = team
            return
        guaranteed = guarantee_share(team, part, assignment.shares) if is_divided(team) else 1.0 / assignment.shares
        changed = allotted(team, part, guaranteed)
        if self.platform.teams[team_name] != changed:
            self.platform.teams[team_name] = changed
            if self.scheduler is not None:
                self.scheduler.queue.invalidate()
                self.scheduler.pacing.record_change()

    async def lower(self, team_name: str, target: Amount) -> None:
        """Lower this share's part of a team's limit as far as its tasks allow.

        Nothing beyond the target is placed from now on; the batch under way was built before and may still place
        more, so the lowered part is only committed once its outcome is known.
        """
        view, scheduler = self.host.view, self.active_term.deciding_scheduler
        allotment = view.allotments.get(team_name)
        if scheduler is None or allotment is None:
            return
        version = view.allotment_versions[team_name]
        self._pins[team_name] = Pin(
            version, target.at_least(self.used(team_name)).at_most(allotment.part(self.share))
        )
        self._set_part(team_name, self.part(team_name))
        while self.commit_pipeline.in_flight:
            await asyncio.sleep(self.platform.report_s / 100)
        if self.active_term.deciding_scheduler is not scheduler or view.allotment_versions[team_name] != version:
            return
        part = target.at_least(self.used(team_name)).at_most(allotment.part(self.share))
        if part.covers(allotment.part(self.share)):
            del self._pins[team_name]
            self._set_part(team_name, self.part(team_name))
            return
        self._pins[team_name] = Pin(version, part)
        self._set_part(team_name, self.part(team_name))
        conditions = [(in_share(self.share, LEADER_KEY), scheduler.cluster.fencing_token)]
        await self.host.put_allotment(team_name, allotment.with_part(self.share, part), version, conditions)
        self.take_parts()

    def used(self, team_name: str) -> Amount:
        """Return what the committed tasks of a team take."""
        usage = self.scheduler.cluster.team_usage.get(team_name) if self.scheduler is not None else None
        return Amount(usage.cpus, usage.gpus) if usage is not None else Amount()

    def status(self) -> ShareStatus | None:
        """Return how the share stands, if it is led here for certain."""
        scheduler = self.active_term.deciding_scheduler
        if scheduler is None:
            return None
        demands = demands_of(scheduler, self._full_teams, self.wall())
        queued = sum(job.tasks_queued for job in scheduler.queue.queued().jobs)
        return ShareStatus(
            self.share, scheduler.cluster.fencing_token, len(scheduler.cluster.machines), queued, demands
        )

    # -- jobs of other shares that ours need --------------------------------------------------------------

    async def _watch_needs(self) -> None:
        """Find out how jobs that are homed elsewhere, and that jobs of this share need, have ended."""
        while True:
            await asyncio.sleep(self.platform.report_s * NEEDS_PAUSE)
            scheduler = self.active_term.deciding_scheduler
            if scheduler is None:
                continue
            try:
                await self._note_ends_elsewhere(scheduler)
            except (StoreError, wire.WireError) as error:
                log.debug("jobs of other shares: %s", error)

    async def _note_ends_elsewhere(self, scheduler: Scheduler) -> None:
        for need in sorted(_needs_elsewhere(scheduler)):
            state = await self._end_of(need)
            if state is not None and self.active_term.scheduler is scheduler:
                scheduler.record_external_end(need, state)
                self.active_term.wake_committer()

    async def _end_of(self, job_id: str) -> JobState | None:
        """Return whether a job of another share is done or cancelled; None if neither."""
        home = await self.host.claims.home(job_id)
        state = await state_elsewhere(self.host.store, home, job_id) if home is not None else None
        return JobState(state) if state in FINAL_STATES else None


def _share_network(
    host: "SharingHost", share: int, platform: Platform, clock: Callable[[], float], *_: Handler
) -> SharedNetwork:
    """Return the host's network as one share uses it; the host passes on the requests that concern the share."""
    clients = ControllerClients(
        store=ShareStore(host.store, share, host.process_lease, store_limits(platform)),
        cloud=ShareCloud(host.cloud, share, host.view, host.registry, platform, clock),
        workers=host.workers,
        peers=host.make_peers(share),
    )
    return SharedNetwork(clients, host.front)


def _needs_elsewhere(scheduler: Scheduler) -> set[str]:
    needs = (
        set().union(*scheduler.cluster.dependencies.unmet_dependencies.values())
        if scheduler.cluster.dependencies.unmet_dependencies
        else set()
    )
    return needs - scheduler.cluster.jobs.keys()
