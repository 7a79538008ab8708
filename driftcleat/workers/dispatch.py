"""Dispatch of commands without waiting for a heartbeat: committed stops, and a new leader's fencing token."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat.cluster import stop_commands
from driftcleat.leadership import ActiveTerm
from driftcleat.runtime.background import BackgroundTasks, in_slices
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.wire.workers import Command, Heartbeat
from driftcleat.workers.commands import WorkerClient

log = logging.getLogger(__name__)

# The worker epoch of a worker that has just started; assumed if the current epoch is not known.
FIRST_WORKER_EPOCH = 1
# Number of machines that a scan visits before it yields to the event loop.
MACHINES_PER_SLICE = 100
# While this controller does not lead, the loop pauses for the heartbeat interval divided by this.
IDLE_PAUSE_DIVISOR = 10


class StopDispatcher:
    """Sends stops to workers as soon as they are committed, and again in each scan."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        workers: WorkerClient,
        active_term: ActiveTerm[Scheduler],
        background: BackgroundTasks,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._tuning = tuning
        self._workers = workers
        self._active_term = active_term
        self._background = background
        self._clock = clock

    async def run(self) -> None:
        """Send stops as soon as they are committed; never returns."""
        while True:
            await self._active_term.wait_for_commit()
            scheduler = self._active_term.scheduler
            if scheduler is None:
                await asyncio.sleep(self._platform.report_s / IDLE_PAUSE_DIVISOR)
                continue
            while scheduler.urgent_stops:
                self._send_stops(scheduler, scheduler.urgent_stops.pop())

    async def scan(self) -> None:
        """Visit all machines periodically and send their stops again; never returns."""
        while True:
            await asyncio.sleep(self._platform.report_s * self._tuning.command_scan_intervals)
            scheduler = self._active_term.scheduler
            if scheduler is None or not self._active_term.election.may_respond_to_heartbeats:
                continue
            async for name in in_slices(list(scheduler.cluster.machines), MACHINES_PER_SLICE):
                self._send_stops(scheduler, name)
            self._active_term.wake_committer()

    def _send_stops(self, scheduler: Scheduler, name: str) -> None:
        machine = scheduler.cluster.machines.get(name)
        if machine is None or machine.last_heartbeat is None or machine.in_sync or not machine.address:
            return
        commands = stop_commands(scheduler.cluster, machine)
        if commands:
            likely_unreachable = scheduler.reachability.likely_unreachable(machine, self._clock())
            sending = self._send(
                machine.address,
                machine.last_heartbeat.worker_epoch,
                scheduler.cluster.fencing_token,
                commands,
                likely_unreachable,
            )
            self._background.spawn(sending)

    async def _send(
        self,
        address: str,
        worker_epoch: int,
        fencing_token: int,
        commands: list[Command],
        likely_unreachable: bool,
    ) -> None:
        refusal = await self._workers.send(address, fencing_token, worker_epoch, commands, likely_unreachable)
        if refusal is not None and refusal.fencing_token > self._active_term.election.fencing_token:
            self._step_down(address, refusal)

    async def announce_fencing_token(self, address: str) -> None:
        """Send our fencing token to a worker, so that it no longer accepts commands of an earlier leader."""
        token = self._active_term.election.fencing_token
        refusal = await self._workers.send(address, token, FIRST_WORKER_EPOCH, [], likely_unreachable=True)
        if refusal is None:
            return
        if refusal.fencing_token > token:
            self._step_down(address, refusal)
        elif refusal.worker_epoch != FIRST_WORKER_EPOCH:
            await self._workers.send(address, token, refusal.worker_epoch, [], likely_unreachable=True)

    def _step_down(self, address: str, refusal: Heartbeat) -> None:
        """Step down, since a worker has seen a later leader."""
        self._active_term.election.request_step_down(f"worker {address} has seen term {refusal.fencing_token}")
