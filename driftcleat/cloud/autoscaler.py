"""Autoscaling: compares the fleet with the capacity plan, and requests, drains and terminates machines."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat.api.heartbeats import HeartbeatApi
from driftcleat.capacity.sizing import CapacityPlan
from driftcleat.cloud.client import CloudClient
from driftcleat.cloud.terminator import Terminator
from driftcleat.leadership import ActiveTerm
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.scheduler.scale_out import MAX_MACHINES_PER_REQUEST
from driftcleat.settings import Platform, Tuning

log = logging.getLogger(__name__)

# The minimum pause between two rounds, and the maximum wait for a change after it, in heartbeat intervals.
MIN_ROUND_PAUSE_INTERVALS = 1 / 4
# The label of the rounds' processor time in `/metrics`.
METRICS_PART = "sizing"


class Autoscaler:
    """Scales the fleet out and in, and steps down if no worker reaches this leader."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        cloud: CloudClient,
        active_term: ActiveTerm[Scheduler],
        heartbeats: HeartbeatApi,
        terminator: Terminator,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._tuning = tuning
        self._cloud = cloud
        self._active_term = active_term
        self._heartbeats = heartbeats
        self._terminator = terminator
        self._metrics = metrics
        self._clock = clock

    def start_term(self) -> None:
        """Start a term: from now on, workers have to reach this leader."""
        self._heartbeats.last_heartbeat_at = self._clock()

    async def run(self) -> None:
        """Run a round when the state has changed, at least every half heartbeat interval unless rounds take long."""
        min_pause_s = self._platform.report_s * MIN_ROUND_PAUSE_INTERVALS
        pause_s = min_pause_s
        while True:
            await asyncio.sleep(pause_s)
            try:
                await asyncio.wait_for(self._active_term.state_changed.wait(), min_pause_s)
            except TimeoutError:
                pass
            self._active_term.state_changed.clear()
            started_at = self._clock()
            scheduler = self._active_term.enforcing_scheduler
            if scheduler is not None:
                self.scale(scheduler, started_at, self.max_scale_out(pause_s))
            spent_s = self._clock() - started_at
            self._metrics.record_part(METRICS_PART, spent_s)
            # Heartbeats are more urgent than scaling: with a small share of a processor, rounds are less frequent.
            cpu_pause_s = spent_s / (self._platform.core_share * self._tuning.capacity_planning_cpu_share)
            pause_s = max(min_pause_s, min(cpu_pause_s, self._platform.report_s))
            if scheduler is not None:
                pause_s += scheduler.pacing.overload_pause_s()

    def max_scale_out(self, pause_s: float) -> int:
        """Return how many machines the cloud's rate limit permits to request in the pause until the next round."""
        return max(MAX_MACHINES_PER_REQUEST, round(MAX_MACHINES_PER_REQUEST * self._cloud.rate_limit.rate * pause_s))

    def scale(self, scheduler: Scheduler, now: float, max_scale_out: int) -> None:
        """Run one round: fence and terminate machines, and request at most `max_scale_out` new ones."""
        for name in scheduler.cancellations.machines_to_fence():
            self._terminator.fence(scheduler.find_or_register_machine(name, now))
        if self._active_term.deciding_scheduler is None or not scheduler.cluster.machine_types:
            return
        for name in scheduler.reachability.presumed_lost_without_heartbeat(now):
            self._terminator.terminate(scheduler.find_or_register_machine(name, now), "no heartbeat in this term")
        if now < scheduler.pacing.placement_starts_at:
            return
        failure_detector = scheduler.reachability.detect_failures(now)
        plan = scheduler.plan_scale_out(now, failure_detector, max_scale_out)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("fleet: %s", scheduler.summary())
        for machine in scheduler.select_scale_in(plan, now, failure_detector):
            self._terminator.terminate(machine, f"scale-in while {machine.state.value}")
        self._consolidate(scheduler, plan, now)
        self._request_scale_out(scheduler, plan)
        self._check_heartbeats(scheduler, now)

    def _consolidate(self, scheduler: Scheduler, plan: CapacityPlan, now: float) -> None:
        """Drain a machine whose replicas fit elsewhere, unless the plan scales out."""
        machine = scheduler.consolidation_candidate(now) if not plan.scale_out else None
        if machine is not None:
            scheduler.drainer.drain(machine, "consolidation: its replicas fit elsewhere")
            self._active_term.wake_committer()

    def _request_scale_out(self, scheduler: Scheduler, plan: CapacityPlan) -> None:
        """Request the plan's scale-out, unless as many requests are unsettled as the cloud accepts in a second.

        Guards against many small requests that wait for the rate limit: demand accumulates into fewer large ones.
        """
        if plan.scale_out and len(scheduler.scale_out.unsettled) < max(1.0, self._platform.cloud_rps):
            log.info("scale-out: requesting %s", plan.scale_out)
            scheduler.scale_out.request(plan)
            self._active_term.wake_committer()

    def _check_heartbeats(self, scheduler: Scheduler, now: float) -> None:
        """Step down if no worker reaches this leader any longer, although some did in this term."""
        heartbeat_age_s = now - self._heartbeats.last_heartbeat_at
        if heartbeat_age_s <= self._platform.lease_s * self._tuning.heartbeat_loss_timeout_leases:
            return
        if any(machine.last_heartbeat is not None for machine in scheduler.cluster.machines.values()):
            self._heartbeats.last_heartbeat_at = now
            self._active_term.election.request_step_down("no heartbeats received")
