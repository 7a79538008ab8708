"""The machine inventory: compares the cluster state with the cloud's machine list."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat.cloud.client import LIST_PAGE_SIZE, CloudClient, CloudError
from driftcleat.cloud.terminator import Terminator
from driftcleat.cloud.token_announcer import FencingTokenAnnouncer
from driftcleat.cluster import Machine, MachineState
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform
from driftcleat.wire.cloud import ListedMachine

log = logging.getLogger(__name__)

# States of a machine in the cloud's list.
RUNNING = "running"
FAILED = "failed"
# Number of times per heartbeat interval that the loop checks whether the list is due.
CHECKS_PER_HEARTBEAT_INTERVAL = 4
# The fraction of the cloud's rate limit that the pages of the list may use.
LIST_RATE_SHARE = 1 / 3
# The minimum pause between two lists, in request intervals of the cloud's rate limit, and the maximum number of lists
# per lag of the list, which shows changes only after that lag.
MIN_LIST_REQUEST_INTERVALS = 2.0
LISTS_PER_LAG = 2
# A booting machine is lost if it is missing from the list for longer than this many lags of the list, since the list
# may be late by twice its lag.
MISSING_LIST_LAGS = 3
# Recovered image hints of unlisted machines are deleted after a worker lease and this many lags of the list.
IMAGE_HINT_LIST_LAGS = 2


class MachineInventory:
    """Registers the machines that the cloud lists, and terminates those that failed or that it no longer lists."""

    def __init__(
        self,
        platform: Platform,
        cloud: CloudClient,
        active_term: ActiveTerm[Scheduler],
        terminator: Terminator,
        announcer: FencingTokenAnnouncer,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._cloud = cloud
        self._active_term = active_term
        self._terminator = terminator
        self._announcer = announcer
        self._clock = clock
        self._listed_at = float("-inf")
        # Time since when a booting machine is missing from the list, by name.
        self._missing_since: dict[str, float] = {}

    def start_term(self) -> None:
        """Start a term: the list is due at once."""
        self._listed_at = float("-inf")
        self._missing_since = {}
        self._announcer.start_term()

    async def run(self) -> None:
        """List and reconcile the machines whenever the list is due; never returns."""
        pause_s = 0.0
        while True:
            scheduler = self._active_term.enforcing_scheduler
            if scheduler is not None and self._clock() - self._listed_at > pause_s:
                try:
                    machines = await self._cloud.list_machines()
                    self._listed_at = self._clock()
                    pause_s = self.list_pause_s(len(machines))
                    if self._active_term.scheduler is scheduler:
                        self._reconcile(scheduler, machines)
                except CloudError as error:
                    log.debug("cloud: machines not listed: %s", error)
            await asyncio.sleep(self._platform.report_s / CHECKS_PER_HEARTBEAT_INTERVAL)

    def list_pause_s(self, machines: int) -> float:
        """Return the pause in seconds between two lists of this many machines.

        The pages use only a fraction of the rate limit. Guards against a deletion for a cancelled task that waits
        behind the pages of thousands of machines.
        """
        pages = machines // LIST_PAGE_SIZE + 1
        return max(
            MIN_LIST_REQUEST_INTERVALS / self._platform.cloud_rps,
            self._platform.list_lag_s / LISTS_PER_LAG,
            pages / (self._cloud.rate_limit.rate * LIST_RATE_SHARE),
        )

    def _reconcile(self, scheduler: Scheduler, machines: list[ListedMachine]) -> None:
        """Reconcile the cluster state with the list: register new machines, terminate failed and missing ones."""
        now = self._clock()
        names = {entry.name for entry in machines}
        without_heartbeat: list[Machine] = []
        for entry in machines:
            self._missing_since.pop(entry.name, None)
            if entry.name not in scheduler.cluster.terminated_machines:
                machine = self._reconcile_machine(scheduler, entry, now)
                if machine.last_heartbeat is None and machine.address and entry.state == RUNNING:
                    without_heartbeat.append(machine)
        self._announcer.announce(scheduler, without_heartbeat)
        scheduler.reachability.record_listed(names)
        for machine in scheduler.reachability.no_longer_listed(now):
            self._terminator.terminate(machine, "no longer listed")
        self._forget_image_hints(scheduler, names, now)
        self._terminate_missing(scheduler, names, now)

    def _reconcile_machine(self, scheduler: Scheduler, entry: ListedMachine, now: float) -> Machine:
        """Reconcile one listed machine and return it."""
        machine = scheduler.cluster.machines.get(entry.name)
        if machine is None:
            log.info("machine %s: registered: found in the cloud's list", entry.name)
            machine = scheduler.cluster.register_machine(
                entry.name, entry.machine_type, entry.zone, entry.spot, entry.address, now
            )
            machine.created_at = now - entry.age_s
        if not machine.address:
            machine.address = entry.address
        if entry.state == FAILED:
            self._terminator.terminate(machine, "listed as failed")
        elif entry.state == RUNNING and machine.listed_running_since is None:
            machine.listed_running_since = now
        return machine

    def _forget_image_hints(self, scheduler: Scheduler, names: set[str], now: float) -> None:
        """Delete the image hints of unlisted machines, once every existing machine must have been listed."""
        settled_after_s = self._platform.lease_s + self._platform.list_lag_s * IMAGE_HINT_LIST_LAGS
        if now - scheduler.cluster.started_at > settled_after_s:
            for name in [name for name in scheduler.cluster.image_hints if name not in names]:
                scheduler.garbage_collector.forget_images(name)

    def _terminate_missing(self, scheduler: Scheduler, names: set[str], now: float) -> None:
        """Terminate machines that never came up and have been missing from the list for several of its lags."""
        lost_after_s = self._platform.list_lag_s * MISSING_LIST_LAGS + self._platform.report_s
        for machine in scheduler.cluster.machines.values():
            if machine.name in names or machine.state is not MachineState.BOOTING:
                continue
            since = self._missing_since.setdefault(machine.name, now)
            if now - since > lost_after_s:
                self._terminator.terminate(machine, "not listed while booting")
