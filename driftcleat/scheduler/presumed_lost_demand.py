"""Presumed-lost demand: urgent work on machines that most likely are lost with many others."""

from driftcleat.capacity.demand import Demand
from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.cluster import JobState
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.reachability import Reachability

# The least urgent priority level for whose work machines are rented before its machines are known to be lost.
URGENT_LEVEL = 1


class PresumedLostDemand:
    """Works out the demand of tasks whose machines are presumed lost."""

    def __init__(self, context: SchedulerContext, reachability: Reachability) -> None:
        self._platform = context.platform
        self._cluster = context.cluster
        self._reachability = reachability

    def demands(self, failures: FailureDetector, now: float) -> list[Demand]:
        """Return the work of the two highest priorities on machines that fell silent with many others.

        Their leases must have expired: room for the work boots while it is found out whether the machines are gone.
        Guards against waiting for the cloud's list to name a hundred machines before renting the first new one.
        """
        lost_tasks: dict[str, int] = {}
        for machine in self._cluster.machines.values():
            if (
                failures.is_correlated(machine.zone)
                and not failures.is_partitioned(machine.zone)
                and self._reachability.is_running(machine)
                and self._reachability.silent_s(machine, now) > self._platform.lease_s
            ):
                for job_id, _ in machine.tasks:
                    lost_tasks[job_id] = lost_tasks.get(job_id, 0) + 1
        jobs = ((self._cluster.jobs.get(job_id), count) for job_id, count in lost_tasks.items())
        return [
            Demand(job.spec, count, {})
            for job, count in jobs
            if job is not None and job.state is JobState.ACTIVE and job.priority_level <= URGENT_LEVEL
        ]
