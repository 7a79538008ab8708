"""Termination: holds the machines to delete, and has the cloud delete them."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat.cloud.client import MAX_MACHINES_PER_DELETE, CloudClient, CloudError
from driftcleat.cluster import Machine, MachineState, transition_machine
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform

log = logging.getLogger(__name__)

# Number of rounds per heartbeat interval, and of retries per heartbeat interval after a failed request.
ROUNDS_PER_HEARTBEAT_INTERVAL = 15
RETRIES_PER_HEARTBEAT_INTERVAL = 6


class Terminator:
    """Owns the machines that are to be deleted, from the decision until the cloud confirms it."""

    def __init__(
        self,
        platform: Platform,
        cloud: CloudClient,
        active_term: ActiveTerm[Scheduler],
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._cloud = cloud
        self._active_term = active_term
        self._clock = clock
        # Names of all machines to delete.
        self.to_delete: set[str] = set()
        # Names of machines to fence: they keep a task of a job whose cancellation is committed.
        self.to_fence: set[str] = set()

    def start_term(self) -> None:
        """Start a term without machines to delete: they are determined anew."""
        self.to_delete = set()
        self.to_fence = set()

    def fence(self, machine: Machine) -> None:
        """Have a machine deleted that keeps a cancelled task.

        An unconfirmed leader may do this too, since it only enforces a committed decision.
        """
        self.to_fence.add(machine.name)
        self.terminate(machine, "fencing a cancelled task")

    def terminate(self, machine: Machine, reason: str) -> None:
        """Have a machine deleted; `reason` is for the log. Does nothing if it is terminating or terminated."""
        if machine.state in (MachineState.TERMINATING, MachineState.TERMINATED):
            return
        if machine.name not in self.to_fence and self._active_term.deciding_scheduler is None:
            # An unconfirmed leader decides nothing new.
            return
        log.info("machine %s: terminating: %s", machine.name, reason)
        transition_machine(machine, MachineState.TERMINATING)
        self.to_delete.add(machine.name)

    async def run(self) -> None:
        """Delete machines in batches; never returns."""
        while True:
            await asyncio.sleep(self._platform.report_s / ROUNDS_PER_HEARTBEAT_INTERVAL)
            scheduler = self._active_term.enforcing_scheduler
            if scheduler is None:
                continue
            names = self.next_batch(self._active_term.deciding_scheduler is scheduler)
            if not names:
                continue
            try:
                await self._cloud.delete_machines(names)
            except CloudError as error:
                log.debug("cloud: %d machines not deleted: %s", len(names), error)
                await asyncio.sleep(self._platform.report_s / RETRIES_PER_HEARTBEAT_INTERVAL)
                continue
            if self._active_term.scheduler is scheduler:
                self._record_deleted(scheduler, names)

    def next_batch(self, may_decide: bool) -> list[str]:
        """Return the names for the next request: machines to fence come first, since their time is limited.

        Without `may_decide` there are no others: an unconfirmed leader only enforces committed decisions.
        """
        fenced = sorted(self.to_delete & self.to_fence)
        others = sorted(self.to_delete - self.to_fence) if may_decide else []
        return (fenced + others)[:MAX_MACHINES_PER_DELETE]

    def _record_deleted(self, scheduler: Scheduler, names: list[str]) -> None:
        """Record that the cloud has deleted these machines."""
        for name in names:
            self.to_delete.discard(name)
            self.to_fence.discard(name)
            machine = scheduler.cluster.machines.get(name)
            scheduler.garbage_collector.forget_images(name)
            if machine is not None:
                scheduler.cluster.record_terminated(machine, self._clock())
                scheduler.counters.machines_deleted += 1
        scheduler.pacing.record_change()
        self._active_term.wake_committer()
