"""The loops around the coordinator: everybody's word about its shares, and what the coordinator commits from it."""

import asyncio
import logging
from typing import TYPE_CHECKING

from driftcleat.cloud.client import CloudError
from driftcleat.peers.client import PeerError
from driftcleat.sharing.assignment import AssignmentError
from driftcleat.sharing.coordinator import Coordinator
from driftcleat.sharing.messages import (
    ControllerStatus,
    MoveRequest,
    MoveResponse,
    QuotaTarget,
    SharingMessage,
    StatusResponse,
)
from driftcleat.sharing.sharing_client import SharingClient
from driftcleat.store.errors import StoreError
from driftcleat.store.keys import LEADER_KEY

if TYPE_CHECKING:
    from driftcleat.sharing.host import ShardHost

log = logging.getLogger(__name__)

# How often controllers say how their shares stand, and how often the coordinator decides, of the report interval.
STATUS_INTERVAL = 1 / 2
DECISION_INTERVAL = 1 / 4
# How long an answer is waited for.
STATUS_TIMEOUT = 1 / 2


class CoordinatorLoops:
    """Sends this controller's word; takes in the others' and decides while this controller is the coordinator."""

    def __init__(self, host: "ShardHost") -> None:
        self._host = host
        self._client = SharingClient(host)
        self.coordinator = Coordinator(host.settings, host.labels, host.platform.report_s)
        # The token under which this controller last began to coordinate.
        self._fencing_token = 0
        self._decision_lock = asyncio.Lock()

    # -- everybody ----------------------------------------------------------------------------------------

    async def run_status_reports(self) -> None:
        """Tell the coordinator how our shares stand, for ever."""
        while True:
            await asyncio.sleep(self._host.platform.report_s * STATUS_INTERVAL)
            for target in await self._send_status():
                engine = self._host.engines.get(target.shard)
                if engine is None:
                    continue
                try:
                    await engine.lower_quota(target.team, target.quota)
                except StoreError as error:
                    log.debug("share %d: part of %s not lowered: %s", target.shard, target.team, error)

    async def _send_status(self) -> tuple[QuotaTarget, ...]:
        host = self._host
        if not host.is_serving(0):
            return ()
        statuses = [engine.status() for shard, engine in sorted(host.engines.items()) if host.is_serving(shard)]
        message = ControllerStatus(host.platform.label, tuple(status for status in statuses if status is not None))
        coordinator = host.coordinator
        if host.may_decide:
            response: SharingMessage = self.handle_status(message)
        elif coordinator is not None and coordinator != host.platform.label:
            try:
                response = await self._client.send(coordinator, message, host.platform.report_s * STATUS_TIMEOUT)
            except PeerError as error:
                log.debug("coordinator %s: %s", coordinator, error)
                return ()
        else:
            return ()
        return response.quota_targets if isinstance(response, StatusResponse) else ()

    # -- the coordinator ----------------------------------------------------------------------------------

    def handle_status(self, message: ControllerStatus) -> StatusResponse:
        """Take in how a controller's shares stand."""
        host = self._host
        if not host.may_decide:
            return StatusResponse(False)
        self._reset_on_new_term()
        return StatusResponse(
            True, tuple(self.coordinator.record_status(message.sender, message.shards, host.clock()))
        )

    def _reset_on_new_term(self) -> None:
        token = self._host.election.fencing_token
        if token != self._fencing_token:
            self._fencing_token = token
            self.coordinator.reset(self._host.clock())

    async def run(self) -> None:
        """Decide, for ever, while this controller is the coordinator."""
        host = self._host
        while True:
            await asyncio.sleep(host.platform.report_s * DECISION_INTERVAL)
            if not host.may_decide or not host.view.loaded or host.view.refusal is not None:
                continue
            self._reset_on_new_term()
            try:
                async with self._decision_lock:
                    await self._decide()
            except (StoreError, CloudError) as error:
                log.debug("coordinator: %s", error)

    async def _decide(self) -> None:
        host = self._host
        assignment = host.view.assignment
        if assignment is None:
            await self._start_sharing()
            return
        next_assignment = self.coordinator.next_assignment(assignment, host.clock())
        if next_assignment is not None:
            log.info(
                "shares: %s", "; ".join(_owner_changes(assignment.owners, next_assignment.owners)) or "moves change"
            )
            await host.commit_assignment(next_assignment)
        for team in host.platform.teams.values():
            current = host.view.allocations.get(team.name)
            allocation = self.coordinator.next_allocation(team, current, assignment.shard_count, host.clock())
            if allocation is not None and host.may_decide:
                mod_revision = host.view.allocation_mod_revisions.get(team.name, 0)
                await host.commit_allocation(
                    team.name, allocation, mod_revision, [(LEADER_KEY, host.election.fencing_token)]
                )
                host.apply_quotas()

    async def _start_sharing(self) -> None:
        """Write the first assignment, once every controller knows of sharing.

        Machines of the list, and those that the first share's leader knows beyond it, are the first share's.
        """
        host = self._host
        if not self.coordinator.may_start_sharing(host.clock()):
            return
        scheduler = host.first_engine.active_term.deciding_scheduler
        listed = await host.cloud.list_machines()
        if scheduler is None or host.first_engine.active_term.deciding_scheduler is not scheduler:
            return
        names = [machine.name for machine in listed] + list(scheduler.cluster.machines)
        log.info("sharing begins with %d shares", host.settings.shares)
        await host.commit_assignment(self.coordinator.first_assignment(max(names, default="")))

    async def move(self, message: MoveRequest) -> MoveResponse:
        """Begin a move that an operator asks for."""
        host = self._host
        if not host.may_decide:
            return MoveResponse(False, "this controller is not the coordinator")
        async with self._decision_lock:
            try:
                next_assignment = self.coordinator.requested_assignment(
                    host.view.assignment, message.shard, message.target, host.clock()
                )
                await host.commit_assignment(next_assignment)
            except AssignmentError as error:
                return MoveResponse(False, str(error))
            except StoreError as error:
                return MoveResponse(False, f"the state service did not take it: {error}")
        return MoveResponse(True)


def _owner_changes(before: tuple[str, ...], after: tuple[str, ...]) -> list[str]:
    return [
        f"{shard} to {owner}" for shard, owner in enumerate(after) if shard >= len(before) or before[shard] != owner
    ]
