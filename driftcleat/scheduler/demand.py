"""Demand planning: which new machines are needed for queued, presumed-lost and expected work."""

import logging

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan, MachineOffer, plan_fleet
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.expected_demand import ExpectedDemand
from driftcleat.scheduler.free_capacity import FreeCapacity
from driftcleat.scheduler.presumed_lost_demand import PresumedLostDemand
from driftcleat.scheduler.queue import JobQueue
from driftcleat.scheduler.queued_demand import QueuedDemand
from driftcleat.scheduler.reachability import Reachability
from driftcleat.scheduler.scale_out import ScaleOut

log = logging.getLogger(__name__)


class DemandPlanner:
    """Plans capacity for all demand, in the order queued, presumed lost, expected."""

    def __init__(
        self,
        context: SchedulerContext,
        queue: JobQueue,
        reachability: Reachability,
        scale_out: ScaleOut,
        arrivals: ArrivalRates,
    ) -> None:
        self._platform = context.platform
        self._cluster = context.cluster
        self._scale_out = scale_out
        self.queued = QueuedDemand(context, queue)
        self.presumed_lost = PresumedLostDemand(context, reachability)
        self.expected = ExpectedDemand(context, arrivals)
        self.free_capacity = FreeCapacity(context, scale_out)

    def plan(self, now: float, failure_detector: FailureDetector, max_machines: int) -> CapacityPlan:
        """Return which machines to create, at most `max_machines`, and which existing ones the demand uses."""
        demands = self.queued.demands()
        demands.extend(self.presumed_lost.demands(failure_detector, now))
        demands.extend(self.expected.demands(now))
        if log.isEnabledFor(logging.DEBUG):
            log.debug("demand by class: %s", [(demand.spec.job_class, demand.tasks) for demand in demands])
        zones = {zone for machine_type in self._cluster.machine_types.values() for zone in machine_type.zones}
        partitioned = {zone for zone in zones if failure_detector.is_partitioned_now(zone)}

        def is_refused(offer: MachineOffer) -> bool:
            return self._scale_out.is_refused(offer, now) or offer.zone in partitioned

        return plan_fleet(
            demands,
            self.free_capacity.pool(),
            self._cluster.machine_types,
            is_refused,
            max_machines,
            self._platform.controllers_outside,
        )
