"""Announces a new leader's fencing token to machines that send it no heartbeats."""

import asyncio
from collections.abc import Callable

from driftcleat.cluster import Machine, MachineState
from driftcleat.leadership import ActiveTerm
from driftcleat.runtime.background import BackgroundTasks
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform
from driftcleat.workers.dispatch import StopDispatcher

# Maximum number of announcements per heartbeat interval.
ANNOUNCEMENTS_PER_HEARTBEAT_INTERVAL = 300


class FencingTokenAnnouncer:
    """Sends the term's fencing token to running machines without a heartbeat, which may obey an older leader."""

    def __init__(
        self,
        platform: Platform,
        active_term: ActiveTerm[Scheduler],
        dispatcher: StopDispatcher,
        background: BackgroundTasks,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._active_term = active_term
        self._dispatcher = dispatcher
        self._background = background
        self._clock = clock
        self._in_progress = False

    def start_term(self) -> None:
        """Start a term: announcements of the previous term no longer count as in progress."""
        self._in_progress = False

    def announce(self, scheduler: Scheduler, machines: list[Machine]) -> None:
        """Announce the token to these machines in the background, unless announcements are in progress."""
        if machines and not self._in_progress:
            self._background.spawn(self._announce(scheduler, machines))

    async def _announce(self, scheduler: Scheduler, machines: list[Machine]) -> None:
        """Announce the token once placement starts, one machine at a time, to those that still send no heartbeats.

        Guards against hundreds of requests while all workers move to the new leader anyway, and against machines that
        are unreachable at first and still accept the previous leader once they are reachable.
        """
        self._in_progress = True
        try:
            await asyncio.sleep(max(0.0, scheduler.pacing.placement_starts_at - self._clock()))
            for machine in machines:
                if (
                    self._active_term.enforcing_scheduler is scheduler
                    and machine.last_heartbeat is None
                    and machine.state is MachineState.BOOTING
                ):
                    self._background.spawn(self._dispatcher.announce_fencing_token(machine.address))
                    await asyncio.sleep(self._platform.report_s / ANNOUNCEMENTS_PER_HEARTBEAT_INTERVAL)
        finally:
            self._in_progress = False
