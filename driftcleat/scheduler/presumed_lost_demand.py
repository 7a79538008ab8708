"""Presumed-lost demand: urgent work on machines that are presumed lost together with many others."""

from driftcleat.capacity.demand import Demand
from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.cluster import JobState
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.reachability import Reachability

# Least urgent priority level for which machines are created before the old ones are known to be lost.
LEAST_URGENT_LEVEL = 1


class PresumedLostDemand:
    """Determines the demand of urgent tasks whose machines are presumed lost."""

    def __init__(self, context: SchedulerContext, reachability: Reachability) -> None:
        self._platform = context.platform
        self._cluster = context.cluster
        self._reachability = reachability

    def demands(self, failure_detector: FailureDetector, now: float) -> list[Demand]:
        """Return the demand of the two highest priorities on machines that miss heartbeats together with many others.

        Only machines whose worker lease has expired count. Replacements boot while it is still unknown whether the
        machines are gone; otherwise the first one would be created only after the cloud had listed a hundred machines
        as failed.
        """
        lost_tasks: dict[str, int] = {}
        for machine in self._cluster.machines.values():
            if (
                failure_detector.is_correlated(machine.zone)
                and not failure_detector.is_partitioned(machine.zone)
                and self._reachability.is_running(machine)
                and self._reachability.heartbeat_age_s(machine, now) > self._platform.lease_s
            ):
                for job_id, _ in machine.tasks:
                    lost_tasks[job_id] = lost_tasks.get(job_id, 0) + 1
        jobs = ((self._cluster.jobs.get(job_id), count) for job_id, count in lost_tasks.items())
        return [
            Demand(job.spec, count, {})
            for job, count in jobs
            if job is not None and job.state is JobState.ACTIVE and job.priority_level <= LEAST_URGENT_LEVEL
        ]
