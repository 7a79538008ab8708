"""One shard in one process: a whole controller, restricted to the shard's store keys, machines and quotas."""

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
from driftcleat.sharing.cloud import ShardCloud
from driftcleat.sharing.demand import team_demands
from driftcleat.sharing.dependencies import build_shard_user_api
from driftcleat.sharing.election import ShardElection
from driftcleat.sharing.job_states import read_job_state
from driftcleat.sharing.keys import shard_key
from driftcleat.sharing.messages import ShardStatus
from driftcleat.sharing.quota import Amount, guarantee_fraction, has_limit, team_with_quota
from driftcleat.sharing.shard_store import ShardStore
from driftcleat.store.errors import StoreError
from driftcleat.store.keys import LEADER_KEY

if TYPE_CHECKING:
    from driftcleat.sharing.host import ShardHost

log = logging.getLogger(__name__)

# Pause between two reads of the states of dependencies on other shards, as a multiple of the heartbeat interval.
DEPENDENCY_CHECK_INTERVAL = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingQuota:
    """A lowered quota whose commit on this mod revision is in flight, or has an unknown outcome."""

    mod_revision: int
    quota: Amount


class ShardEngine(Controller):
    """A controller for one shard; it uses the clients and listeners of its host."""

    def __init__(self, host: "ShardHost", shard: int, platform: Platform, tuning: Tuning, rng: random.Random) -> None:
        # The shard has a team table of its own, since its quotas change during a term.
        shard_platform = dataclasses.replace(platform, teams=dict(platform.teams))
        factories = Factories(
            network=partial(_shard_network, host, shard),
            election=partial(ShardElection, shard, host.view, host.process_lease),
            users=partial(build_shard_user_api, host, shard),
        )
        super().__init__(shard_platform, tuning, rng, host.clock, host.wall_clock, factories)
        self.host = host
        self.shard = shard
        self._full_teams = platform.teams
        self._pending_quotas: dict[str, PendingQuota] = {}

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [*super()._loops(), self._watch_external_dependencies]

    @property
    def shard_election(self) -> ShardElection:
        """Return the shard's election."""
        assert isinstance(self.election, ShardElection)
        return self.election

    async def _recover(self, token: int) -> None:
        """Begin a term with the stored quotas: from now on no other controller can lower them."""
        await self.host.view.refresh()
        self._pending_quotas.clear()
        self.apply_quotas()
        await super()._recover(token)
        scheduler = self.active_term.scheduler
        if scheduler is not None:
            # An earlier leader may have sent users responses based on cancellations that it read from other shards.
            await self._record_external_ends(scheduler)

    def apply_quotas(self) -> None:
        """Limit each team to the shard's current quota."""
        for team in self._full_teams.values():
            self._apply_quota(team.name, self.quota(team.name))

    def quota(self, team_name: str) -> Amount:
        """Return the shard's quota for a team: the lowered one while the outcome of lowering it is unknown."""
        view = self.host.view
        allocation = view.allocations.get(team_name)
        quota = allocation.quota(self.shard) if allocation is not None else Amount()
        pending = self._pending_quotas.get(team_name)
        if pending is None:
            return quota
        if pending.mod_revision != view.allocation_mod_revisions.get(team_name, 0):
            del self._pending_quotas[team_name]
            return quota
        return quota.at_most(pending.quota)

    def _apply_quota(self, team_name: str, quota: Amount) -> None:
        """Limit a team to a quota, with the corresponding fraction of its guarantee."""
        team = self._full_teams[team_name]
        assignment = self.host.view.assignment
        if assignment is None:
            self.platform.teams[team_name] = team
            return
        fraction = (
            guarantee_fraction(team, quota, assignment.shard_count)
            if has_limit(team)
            else 1.0 / assignment.shard_count
        )
        limited_team = team_with_quota(team, quota, fraction)
        if self.platform.teams[team_name] != limited_team:
            self.platform.teams[team_name] = limited_team
            if self.scheduler is not None:
                self.scheduler.queue.invalidate()
                self.scheduler.pacing.record_change()

    async def lower_quota(self, team_name: str, target: Amount) -> None:
        """Lower the shard's quota for a team to the target, or to what its committed tasks use if that is more.

        No tasks beyond it are placed from now on. A batch in flight was built before and may still place more, so the
        lowered quota is only committed once the outcome of that batch is known.
        """
        view, scheduler = self.host.view, self.active_term.deciding_scheduler
        allocation = view.allocations.get(team_name)
        if scheduler is None or allocation is None:
            return
        mod_revision = view.allocation_mod_revisions[team_name]
        self._pending_quotas[team_name] = PendingQuota(
            mod_revision, target.at_least(self.committed_usage(team_name)).at_most(allocation.quota(self.shard))
        )
        self._apply_quota(team_name, self.quota(team_name))
        while self.commit_pipeline.in_flight:
            await asyncio.sleep(self.platform.report_s / 100)
        if (
            self.active_term.deciding_scheduler is not scheduler
            or view.allocation_mod_revisions[team_name] != mod_revision
        ):
            return
        quota = target.at_least(self.committed_usage(team_name)).at_most(allocation.quota(self.shard))
        if quota.covers(allocation.quota(self.shard)):
            del self._pending_quotas[team_name]
            self._apply_quota(team_name, self.quota(team_name))
            return
        self._pending_quotas[team_name] = PendingQuota(mod_revision, quota)
        self._apply_quota(team_name, self.quota(team_name))
        compares = [(shard_key(self.shard, LEADER_KEY), scheduler.cluster.fencing_token)]
        await self.host.commit_allocation(team_name, allocation.with_quota(self.shard, quota), mod_revision, compares)
        self.apply_quotas()

    def committed_usage(self, team_name: str) -> Amount:
        """Return the amount that the committed tasks of a team use."""
        usage = self.scheduler.cluster.team_usage.get(team_name) if self.scheduler is not None else None
        return Amount(usage.cpus, usage.gpus) if usage is not None else Amount()

    def status(self) -> ShardStatus | None:
        """Return the shard's status, or None if this controller is not its confirmed leader."""
        scheduler = self.active_term.deciding_scheduler
        if scheduler is None:
            return None
        demands = team_demands(scheduler, self._full_teams, self.wall_clock())
        queued = sum(job.tasks_queued for job in scheduler.queue.queued().jobs)
        return ShardStatus(
            self.shard, scheduler.cluster.fencing_token, len(scheduler.cluster.machines), queued, demands
        )

    async def _watch_external_dependencies(self) -> None:
        """Record at intervals which dependencies homed on other shards have ended."""
        while True:
            await asyncio.sleep(self.platform.report_s * DEPENDENCY_CHECK_INTERVAL)
            scheduler = self.active_term.deciding_scheduler
            if scheduler is None:
                continue
            try:
                await self._record_external_ends(scheduler)
            except (StoreError, wire.WireError) as error:
                log.debug("dependencies on other shards could not be read: %s", error)

    async def _record_external_ends(self, scheduler: Scheduler) -> None:
        for dependency in sorted(_external_dependencies(scheduler)):
            state = await self._external_end_state(dependency)
            if state is not None and self.active_term.scheduler is scheduler:
                scheduler.record_external_end(dependency, state)
                self.active_term.wake_committer()

    async def _external_end_state(self, job_id: str) -> JobState | None:
        """Return the final state of a job on another shard; None if it has not ended."""
        home_shard = await self.host.job_directory.home_shard(job_id)
        state = await read_job_state(self.host.store, home_shard, job_id) if home_shard is not None else None
        return JobState(state) if state in FINAL_STATES else None


def _shard_network(
    host: "ShardHost", shard: int, platform: Platform, clock: Callable[[], float], *_: Handler
) -> SharedNetwork:
    """Return the host's network as one shard uses it; the host passes the shard's requests to its engine."""
    clients = ControllerClients(
        store=ShardStore(host.store, shard, host.process_lease, store_limits(platform)),
        cloud=ShardCloud(host.cloud, shard, host.view, host.registry, platform, clock),
        workers=host.workers,
        peers=host.make_peers(shard),
    )
    return SharedNetwork(clients, host.front)


def _external_dependencies(scheduler: Scheduler) -> set[str]:
    dependencies = (
        set().union(*scheduler.cluster.dependencies.unmet_dependencies.values())
        if scheduler.cluster.dependencies.unmet_dependencies
        else set()
    )
    return dependencies - scheduler.cluster.jobs.keys()
