"""The machine types that the cloud offers: listed in each term, and stored once for later leaders."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat import wire
from driftcleat.cloud.client import CloudClient, CloudError
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform
from driftcleat.store.keys import MACHINE_TYPES_KEY
from driftcleat.wire.cloud import MachineType

log = logging.getLogger(__name__)

# Known types are refreshed after this many seconds.
REFRESH_INTERVAL_S = 20
# Number of times per heartbeat interval that the loop checks whether a refresh is due.
CHECKS_PER_HEARTBEAT_INTERVAL = 4


class MachineTypeCatalog:
    """Keeps the cluster state's machine types up to date."""

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
        self._refreshed_at = float("-inf")
        self._stored = False

    def start_term(self, stored: bool) -> None:
        """Start a term; `stored` says whether recovery found the types in the store."""
        self._refreshed_at = float("-inf")
        self._stored = stored

    async def run(self) -> None:
        """Refresh the machine types whenever that is due; never returns."""
        while True:
            scheduler = self._active_term.deciding_scheduler
            if scheduler is not None and self._is_due(scheduler):
                try:
                    await self._refresh(scheduler)
                except CloudError as error:
                    log.debug("cloud: machine types not refreshed: %s", error)
            await asyncio.sleep(self._platform.report_s / CHECKS_PER_HEARTBEAT_INTERVAL)

    def _is_due(self, scheduler: Scheduler) -> bool:
        return not scheduler.cluster.machine_types or self._clock() - self._refreshed_at > REFRESH_INTERVAL_S

    async def _refresh(self, scheduler: Scheduler) -> None:
        types = await self._cloud.list_machine_types()
        self._refreshed_at = self._clock()
        if self._active_term.scheduler is scheduler and types:
            self._update(scheduler, {machine_type.name: machine_type for machine_type in types})

    def _update(self, scheduler: Scheduler, types: dict[str, MachineType]) -> None:
        """Replace the types in the cluster state, also those of its machines, and store them if needed."""
        scheduler.cluster.machine_types.clear()
        scheduler.cluster.machine_types.update(types)
        for machine in scheduler.cluster.machines.values():
            if machine.type is not None:
                machine.type = types.get(machine.type.name, machine.type)
            elif machine.last_heartbeat is not None:
                machine.type = types.get(machine.last_heartbeat.machine_type)
        if not self._stored and len(wire.encode(tuple(types.values()))) <= self._platform.value_bytes:
            self._stored = True
            scheduler.garbage_collector.put_later(MACHINE_TYPES_KEY, tuple(types.values()))
        scheduler.pacing.record_change()
        self._active_term.wake_committer()
