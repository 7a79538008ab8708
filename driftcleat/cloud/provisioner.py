"""Provisioning: sends the stored scale-out requests to the cloud until it has settled them."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat.capacity.sizing import MachineOffer
from driftcleat.cloud.client import CloudClient, CloudError, NoCapacityError
from driftcleat.leadership import ActiveTerm
from driftcleat.scheduler import ScaleOutRequest, Scheduler
from driftcleat.settings import Platform
from driftcleat.wire.cloud import CreateMachinesRequest

log = logging.getLogger(__name__)

# Number of rounds per heartbeat interval, and of retries per heartbeat interval after a failed request.
ROUNDS_PER_HEARTBEAT_INTERVAL = 30
RETRIES_PER_HEARTBEAT_INTERVAL = 6


class Provisioner:
    """Sends scale-out requests one after the other, and records their results."""

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

    async def run(self) -> None:
        """Send all open requests periodically; never returns."""
        while True:
            await asyncio.sleep(self._platform.report_s / ROUNDS_PER_HEARTBEAT_INTERVAL)
            scheduler = self._active_term.deciding_scheduler
            if scheduler is None:
                continue
            for request in list(scheduler.scale_out.open_requests.values()):
                if self._active_term.deciding_scheduler is not scheduler:
                    break
                await self._send(scheduler, request)

    async def _send(self, scheduler: Scheduler, request: ScaleOutRequest) -> None:
        """Send one request; without a usable response it stays open and is retried under the same id."""
        record = request.record
        message = CreateMachinesRequest(request.name, record.machine_type, record.zone, record.spot, record.count)
        try:
            machines = await self._cloud.create_machines(message)
        except NoCapacityError:
            machines = ()
            self._record_refusal(scheduler, request)
        except CloudError as error:
            log.debug("scale-out request %s: failed: %s", request.name, error)
            await asyncio.sleep(self._platform.report_s / RETRIES_PER_HEARTBEAT_INTERVAL)
            return
        log.debug(
            "scale-out request %s: created %d of %d %s machines of type %s in zone %s",
            request.name,
            len(machines),
            record.count,
            "spot" if record.spot else "on-demand",
            record.machine_type,
            record.zone,
        )
        if self._active_term.scheduler is scheduler:
            if machines and len(machines) < record.count:
                self._record_refusal(scheduler, request)
            scheduler.scale_out.record_response(request, machines, self._clock())
            self._active_term.wake_committer()
            self._active_term.state_changed.set()

    def _record_refusal(self, scheduler: Scheduler, request: ScaleOutRequest) -> None:
        """Record that the cloud has no more machines of the request's offer."""
        record = request.record
        offer = MachineOffer(record.machine_type, record.zone, record.spot)
        scheduler.scale_out.record_refusal(offer, self._clock())
