"""Commands that do not wait for a report: stops of committed decisions, and a new leader's token."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat.cluster import stop_commands
from driftcleat.leadership import ActiveTerm
from driftcleat.runtime.background import Background, in_slices
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.wire.workers import Command
from driftcleat.workers.commands import WorkerClient

log = logging.getLogger(__name__)

# The first session of every worker: what is tried when its real one is not known.
FIRST_SESSION = 1
# Machines that a scan looks at before it lets others go on.
MACHINES_AT_ONCE = 100


class StopDispatcher:
    """Sends stops straight to workers: once as soon as they are committed, and again with each scan."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        workers: WorkerClient,
        active_term: ActiveTerm[Scheduler],
        background: Background,
        clock: Callable[[], float],
    ) -> None:
        self._platform, self._tuning = platform, tuning
        self._workers, self._active_term = workers, active_term
        self._background, self._clock = background, clock

    async def run(self) -> None:
        """Send stops as soon as they are committed."""
        while True:
            await self._active_term.wait_for_commit()
            scheduler = self._active_term.scheduler
            if scheduler is None:
                await asyncio.sleep(self._platform.report_s / 10)
                continue
            while scheduler.urgent_stops:
                self._send_stops(scheduler, scheduler.urgent_stops.pop())

    async def scan(self) -> None:
        """Go through all machines again and again, and resend their stops."""
        while True:
            await asyncio.sleep(self._platform.report_s * self._tuning.scan)
            scheduler = self._active_term.scheduler
            if scheduler is None or not self._active_term.election.may_answer_heartbeats:
                continue
            async for name in in_slices(list(scheduler.cluster.machines), MACHINES_AT_ONCE):
                self._send_stops(scheduler, name)
            self._active_term.wake_committer()

    def _send_stops(self, scheduler: Scheduler, name: str) -> None:
        machine = scheduler.cluster.machines.get(name)
        if machine is None or machine.last_heartbeat is None or machine.in_sync or not machine.address:
            return
        commands = stop_commands(scheduler.cluster, machine)
        if commands:
            unlikely = scheduler.reachability.likely_unreachable(machine, self._clock())
            sending = self._send(
                machine.address,
                machine.last_heartbeat.worker_epoch,
                scheduler.cluster.fencing_token,
                commands,
                unlikely,
            )
            self._background.spawn(sending)

    async def _send(self, addr: str, session: int, token: int, commands: list[Command], unlikely: bool) -> None:
        refusal = await self._workers.send(addr, token, session, commands, unlikely)
        if refusal is not None and refusal.fencing_token > self._active_term.election.fencing_token:
            self._active_term.election.request_step_down(f"a worker has seen token {refusal.fencing_token}")

    async def announce_fencing_token(self, addr: str) -> None:
        """Make a worker see our token, so that it leaves a leader before us."""
        election = self._active_term.election
        token = election.fencing_token
        refusal = await self._workers.send(addr, token, FIRST_SESSION, [], likely_unreachable=True)
        if refusal is None:
            return
        if refusal.fencing_token > token:
            election.request_step_down(f"a worker has seen token {refusal.fencing_token}")
        elif refusal.worker_epoch != FIRST_SESSION:
            await self._workers.send(addr, token, refusal.worker_epoch, [], likely_unreachable=True)
