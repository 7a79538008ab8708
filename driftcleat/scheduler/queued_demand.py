"""Queued demand: the machines that queued jobs need; jobs of equal shape are combined into one demand."""

from driftcleat.capacity.demand import Demand
from driftcleat.cluster import Job
from driftcleat.placement.candidates import latency_sensitive, task_capacity
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.queue import JobQueue
from driftcleat.wire.users import JobKind
from driftcleat.wire.workers import TaskPhase

# Guaranteed, priority level, CPUs, GPUs and memory (GB) of a task, machine types, zone, spot, latency-sensitive. A
# plain tuple, since a named one takes longer to create and each plan creates one for each queued job.
DemandShape = tuple[bool, int, float, float, float, tuple[str, ...] | None, str | None, bool, bool]


class QueuedDemand:
    """Determines the demand of the queued jobs."""

    def __init__(self, context: SchedulerContext, queue: JobQueue) -> None:
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._queue = queue
        self._clock = context.clock

    def demands(self) -> list[Demand]:
        """Return the demand of the queued tasks that their teams' quotas still admit, in queue order."""
        now = self._clock()
        queued = self._queue.queued()
        quotas: dict[str, QuotaHeadroom] = {}
        demands: list[Demand] = []
        by_shape: dict[DemandShape, Demand] = {}
        for job in queued.jobs:
            quota = quotas.setdefault(job.spec.team, self._queue.quota_headroom(job.spec.team))
            tasks = _tasks_within(quota, job)
            if self._cluster.failures.is_suspect(job.id, now):
                tasks = min(tasks, self._tasks_of_suspect(job, now))
            if tasks <= 0:
                continue
            quota.consume(job.spec, tasks)
            if latency_sensitive(job.spec):
                # Boot times vary: without spare machines the last replicas would wait for the slowest machine.
                tasks += round(tasks * self._tuning.service_headroom_share)
            shape = self._shape(job, job.id in queued.order.guaranteed)
            known = by_shape.get(shape) if shape is not None else None
            if known is not None:
                known.tasks += tasks
                continue
            demand = Demand(job.spec, tasks, job.placements_by_zone())
            demands.append(demand)
            if shape is not None:
                by_shape[shape] = demand
        return demands

    def _tasks_of_suspect(self, job: Job, now: float) -> int:
        """Return for how many tasks of a job that has failed on several machines more machines may be added.

        Guards against machines that are created, one after the other, for a job that fails on every machine: during
        the delay there are none, and then those of one task or one gang. Replicas of a service that run show that the
        machines are at fault, so as many may be added.
        """
        if self._cluster.failures.machines_at(job.id) > now:
            return 0
        if job.is_gang:
            return job.tasks_queued
        return max(1, self._running_replicas(job))

    def _running_replicas(self, job: Job) -> int:
        """Return how many replicas of a service run; 0 for an array, whose tasks show nothing until they are done."""
        if job.spec.kind is not JobKind.SERVICE:
            return 0
        machines = self._cluster.machines
        return sum(
            placement.machine in machines
            and machines[placement.machine].task_phases.get((job.id, index)) == TaskPhase.RUNNING
            for index, placement in job.placements.items()
        )

    def _shape(self, job: Job, guaranteed: bool) -> DemandShape | None:
        """Return the properties by which jobs are combined, so that planning time grows with shapes rather than jobs.

        None for a job that must be planned alone: the zones of its tasks depend on one another, or it has failed.
        """
        spec = job.spec
        zone_dependent = spec.tasks > 1 and (spec.single_zone or spec.spread)
        if zone_dependent or job.id in self._cluster.failures:
            return None
        return (
            guaranteed,
            job.priority_level,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.machine_types,
            spec.zone,
            spec.spot,
            latency_sensitive(spec),
        )


def _tasks_within(quota: QuotaHeadroom, job: Job) -> int:
    """Return how many of a job's queued tasks its team's quota still admits; of a gang all or none."""
    if job.is_gang:
        return job.tasks_queued if quota.fits(job.spec, job.tasks_queued) else 0
    return task_capacity(job.spec, quota.cpus, quota.gpus, INFINITE, job.tasks_queued)
