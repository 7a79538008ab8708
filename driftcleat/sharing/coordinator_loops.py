"""The loops around the coordinator: everybody's word about its shares, and what the coordinator commits from it."""

import asyncio
import logging
from typing import TYPE_CHECKING

from driftcleat.cloud.client import CloudError
from driftcleat.peers.client import PeerError
from driftcleat.sharing.assignment import AssignmentError
from driftcleat.sharing.coordinator import Coordinator
from driftcleat.sharing.messages import MoveAnswer, MoveRequest, SharingMessage, Status, StatusAnswer, Target
from driftcleat.sharing.sharing_client import SharingClient
from driftcleat.store.errors import StoreError
from driftcleat.store.keys import LEADER_KEY

if TYPE_CHECKING:
    from driftcleat.sharing.host import SharingHost

log = logging.getLogger(__name__)

# How often controllers say how their shares stand, and how often the coordinator decides, of the report interval.
STATUS_PAUSE = 1 / 2
DECISION_PAUSE = 1 / 4
# How long an answer is waited for.
WAIT = 1 / 2


class CoordinatorDuties:
    """Sends this controller's word; takes in the others' and decides while this controller is the coordinator."""

    def __init__(self, host: "SharingHost") -> None:
        self._host = host
        self._client = SharingClient(host)
        self.coordinator = Coordinator(host.settings, host.labels, host.platform.report_s)
        # The token under which this controller last began to coordinate.
        self._token = 0
        self._deciding = asyncio.Lock()

    # -- everybody ----------------------------------------------------------------------------------------

    async def run_status(self) -> None:
        """Tell the coordinator how our shares stand, for ever."""
        while True:
            await asyncio.sleep(self._host.platform.report_s * STATUS_PAUSE)
            for target in await self._report():
                engine = self._host.engines.get(target.share)
                if engine is None:
                    continue
                try:
                    await engine.lower(target.team, target.part)
                except StoreError as error:
                    log.debug("share %d: part of %s not lowered: %s", target.share, target.team, error)

    async def _report(self) -> tuple[Target, ...]:
        host = self._host
        if not host.is_set_up(0):
            return ()
        found = [engine.status() for share, engine in sorted(host.engines.items()) if host.is_set_up(share)]
        message = Status(host.platform.label, tuple(status for status in found if status is not None))
        coordinator = host.coordinator
        if host.may_decide:
            answer: SharingMessage = self.take_status(message)
        elif coordinator is not None and coordinator != host.platform.label:
            try:
                answer = await self._client.send(coordinator, message, host.platform.report_s * WAIT)
            except PeerError as error:
                log.debug("coordinator %s: %s", coordinator, error)
                return ()
        else:
            return ()
        return answer.targets if isinstance(answer, StatusAnswer) else ()

    # -- the coordinator ----------------------------------------------------------------------------------

    def take_status(self, message: Status) -> StatusAnswer:
        """Take in how a controller's shares stand."""
        host = self._host
        if not host.may_decide:
            return StatusAnswer(False)
        self._begin_if_new()
        return StatusAnswer(True, tuple(self.coordinator.note(message.sender, message.shares, host.clock())))

    def _begin_if_new(self) -> None:
        token = self._host.election.fencing_token
        if token != self._token:
            self._token = token
            self.coordinator.begin(self._host.clock())

    async def run(self) -> None:
        """Decide, for ever, while this controller is the coordinator."""
        host = self._host
        while True:
            await asyncio.sleep(host.platform.report_s * DECISION_PAUSE)
            if not host.may_decide or not host.view.loaded or host.view.refusal is not None:
                continue
            self._begin_if_new()
            try:
                async with self._deciding:
                    await self._decide()
            except (StoreError, CloudError) as error:
                log.debug("coordinator: %s", error)

    async def _decide(self) -> None:
        host = self._host
        assignment = host.view.assignment
        if assignment is None:
            await self._begin_sharing()
            return
        following = self.coordinator.next_assignment(assignment, host.clock())
        if following is not None:
            log.info("shares: %s", "; ".join(_differences(assignment.owners, following.owners)) or "moves change")
            await host.put_assignment(following)
        for team in host.platform.teams.values():
            known = host.view.allotments.get(team.name)
            allotment = self.coordinator.next_allotment(team, known, assignment.shares, host.clock())
            if allotment is not None and host.may_decide:
                version = host.view.allotment_versions.get(team.name, 0)
                await host.put_allotment(team.name, allotment, version, [(LEADER_KEY, host.election.fencing_token)])
                host.note_allotments()

    async def _begin_sharing(self) -> None:
        """Write the first assignment, once every controller knows of sharing.

        Machines of the list, and those that the first share's leader knows beyond it, are the first share's.
        """
        host = self._host
        if not self.coordinator.may_begin(host.clock()):
            return
        scheduler = host.first_engine.active_term.deciding_scheduler
        listed = await host.cloud.list_machines()
        if scheduler is None or host.first_engine.active_term.deciding_scheduler is not scheduler:
            return
        names = [machine.name for machine in listed] + list(scheduler.cluster.machines)
        log.info("sharing begins with %d shares", host.settings.shares)
        await host.put_assignment(self.coordinator.first_assignment(max(names, default="")))

    async def move(self, message: MoveRequest) -> MoveAnswer:
        """Begin a move that an operator asks for."""
        host = self._host
        if not host.may_decide:
            return MoveAnswer(False, "this controller is not the coordinator")
        async with self._deciding:
            try:
                following = self.coordinator.requested(
                    host.view.assignment, message.share, message.receiver, host.clock()
                )
                await host.put_assignment(following)
            except AssignmentError as error:
                return MoveAnswer(False, str(error))
            except StoreError as error:
                return MoveAnswer(False, f"the state service did not take it: {error}")
        return MoveAnswer(True)


def _differences(before: tuple[str, ...], after: tuple[str, ...]) -> list[str]:
    return [
        f"{share} to {owner}" for share, owner in enumerate(after) if share >= len(before) or before[share] != owner
    ]
