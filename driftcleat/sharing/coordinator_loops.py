"""The loops of coordination: status messages to the coordinator, and the coordinator's decisions and commits."""

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

# Pauses between two status messages of a controller, and between two decisions of the coordinator, as fractions of
# the heartbeat interval.
STATUS_INTERVAL = 1 / 2
DECISION_INTERVAL = 1 / 4
# Timeout of a status message, as a fraction of the heartbeat interval.
STATUS_TIMEOUT = 1 / 2


class CoordinatorLoops:
    """Sends this controller's status; handles the others' and decides while this controller is the coordinator."""

    def __init__(self, host: "ShardHost") -> None:
        self._host = host
        self._client = SharingClient(host)
        self.coordinator = Coordinator(host.settings, host.labels, host.platform.report_s)
        # Fencing token of the term that the coordinator's state belongs to.
        self._fencing_token = 0
        self._decision_lock = asyncio.Lock()

    # On every controller.

    async def run_status_sender(self) -> None:
        """Send status messages until cancelled, and lower quotas as the responses ask for."""
        while True:
            await asyncio.sleep(self._host.platform.report_s * STATUS_INTERVAL)
            for target in await self._send_status():
                engine = self._host.engines.get(target.shard)
                if engine is None:
                    continue
                try:
                    await engine.lower_quota(target.team, target.quota)
                except StoreError as error:
                    log.debug("shard %d: lowering the quota of team %s failed: %s", target.shard, target.team, error)

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
                log.debug("status message to coordinator %s failed: %s", coordinator, error)
                return ()
        else:
            return ()
        return response.quota_targets if isinstance(response, StatusResponse) else ()

    # On the coordinator.

    def handle_status(self, message: ControllerStatus) -> StatusResponse:
        """Record a controller's status; respond with the quotas that its shards have to lower."""
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
        """Run until cancelled: decide and commit at intervals while this controller is the coordinator."""
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
                log.debug("coordinator's decision failed: %s", error)

    async def _decide(self) -> None:
        host = self._host
        assignment = host.view.assignment
        if assignment is None:
            await self._start_sharing()
            return
        next_assignment = self.coordinator.next_assignment(assignment, host.clock())
        if next_assignment is not None:
            log.info(
                "shard assignment changes: %s",
                "; ".join(_owner_changes(assignment.owners, next_assignment.owners)) or "only moves in progress",
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
        """Commit the first assignment once every controller runs with sharing.

        All machines that the cloud lists or that the first shard's leader knows belong to the first shard.
        """
        host = self._host
        if not self.coordinator.may_start_sharing(host.clock()):
            return
        scheduler = host.first_engine.active_term.deciding_scheduler
        listed = await host.cloud.list_machines()
        if scheduler is None or host.first_engine.active_term.deciding_scheduler is not scheduler:
            return
        names = [machine.name for machine in listed] + list(scheduler.cluster.machines)
        log.info("sharing starts with %d shards", host.settings.shares)
        await host.commit_assignment(self.coordinator.first_assignment(max(names, default="")))

    async def move(self, message: MoveRequest) -> MoveResponse:
        """Start a move requested by an operator; the response says why if it was rejected."""
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
                return MoveResponse(False, f"storing the move failed: {error}")
        return MoveResponse(True)


def _owner_changes(before: tuple[str, ...], after: tuple[str, ...]) -> list[str]:
    return [
        f"shard {shard} to {owner}"
        for shard, owner in enumerate(after)
        if shard >= len(before) or before[shard] != owner
    ]
