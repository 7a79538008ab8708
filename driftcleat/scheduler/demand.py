"""Demand: which room queued and expected work needs, and which rentals that comes to."""

import logging
from functools import partial

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.capacity.candidate_pool import ALIKE_DIGITS, CandidatePool
from driftcleat.capacity.demand import Demand
from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan, plan_fleet
from driftcleat.cluster import Job, JobState, Machine, MachineState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE, Candidate, capacity, fits, latency_sensitive
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.estimates import fetch_s
from driftcleat.scheduler.machine_candidates import NO_IMAGES, machine_candidate
from driftcleat.scheduler.queue import JobQueue
from driftcleat.scheduler.reachability import Reachability
from driftcleat.scheduler.scale_out import ScaleOut, ScaleOutRequest
from driftcleat.settings import Platform
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec

log = logging.getLogger(__name__)

Shape = tuple[bool, int, float, float, float, tuple[str, ...] | None, str | None, bool, bool]

# A job that failed so often gets no machine of its own.
MOST_FAILURES = 3
# The least urgent level whose work is rented for before its machines are known to be lost.
URGENT_LEVEL = 1


class DemandPlanner:
    """Plans rentals from the queue, from what most likely is lost, and from the arrivals to expect."""

    def __init__(
        self,
        context: SchedulerContext,
        queue: JobQueue,
        reachability: Reachability,
        scale_out: ScaleOut,
        arrivals: ArrivalRates,
    ) -> None:
        self._platform, self._tuning, self._cluster = context.platform, context.tuning, context.cluster
        self._queue, self._reachability = queue, reachability
        self._scale_out, self._arrivals = scale_out, arrivals

    def plan(self, now: float, failures: FailureDetector, most_rented: int) -> CapacityPlan:
        """Return what to rent for queued and expected work, and which machines that work would use."""
        demands = self.queued()
        demands.extend(self._presumed_lost(failures, now))
        demands.extend(self._expected(now))
        if log.isEnabledFor(logging.DEBUG):
            log.debug("demands %s", [(demand.spec.job_class, demand.tasks) for demand in demands])
        zones = {zone for machine_type in self._cluster.machine_types.values() for zone in machine_type.zones}
        partitioned = {zone for zone in zones if failures.partitioned_now(zone)}
        return plan_fleet(
            demands,
            self.free(),
            self._cluster.machine_types,
            lambda offer: self._scale_out.is_refused(offer, now) or offer[1] in partitioned,
            most_rented,
            self._platform.away,
        )

    def queued(self) -> list[Demand]:
        """Return what waits in the queue and its team may still take."""
        queued = self._queue.queued()
        quotas: dict[str, QuotaHeadroom] = {}
        demands: list[Demand] = []
        alike: dict[Shape, Demand] = {}
        for job in queued.jobs:
            if self._cluster.failure_counts.get(job.id, 0) >= MOST_FAILURES:
                continue
            quota = quotas.setdefault(job.spec.team, self._queue.quota_headroom(job.spec.team))
            wanted = self._wanted(job, quota)
            if wanted <= 0:
                continue
            quota.consume(job.spec, wanted)
            if latency_sensitive(job.spec):
                # Machines boot at their own pace: with none to spare, the last replicas wait for the slowest.
                wanted += round(wanted * self._tuning.slack)
            shape = self._shape(job, job.id in queued.order.guaranteed)
            known = alike.get(shape) if shape is not None else None
            if known is not None:
                known.tasks += wanted
                continue
            demand = Demand(job.spec, wanted, job.placements_by_zone())
            demands.append(demand)
            if shape is not None:
                alike[shape] = demand
        return demands

    def _shape(self, job: Job, guaranteed: bool) -> Shape | None:
        """Return what jobs have in common that are sized as one; None for one whose tasks depend on one another's
        zones, or that failed somewhere.

        The work of a round then grows with the kinds of jobs that wait, not with the jobs.
        """
        spec = job.spec
        bound = spec.tasks > 1 and (spec.single_zone or spec.spread)
        if bound or job.id in self._cluster.failure_counts:
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

    @staticmethod
    def _wanted(job: Job, quota: QuotaHeadroom) -> int:
        """Return for how many of a job's tasks its team's limit leaves room."""
        if job.is_gang:
            return job.tasks_queued if quota.fits(job.spec, job.tasks_queued) else 0
        return capacity(job.spec, quota.cpus, quota.gpus, INFINITE, job.tasks_queued)

    def free(self) -> CandidatePool:
        """Return what is free on machines that are up or boot, and on those that were asked for."""
        pool = CandidatePool()
        for machine in self._cluster.machines.values():
            machine_type = machine.type
            if machine_type is None or machine.state not in (MachineState.UP, MachineState.BOOTING):
                continue
            cpus, gpus = machine_type.cpus - machine.used_cpus, machine_type.gpus - machine.used_gpus
            if gpus + cpus <= ROUNDING_TOLERANCE:
                continue
            key = (
                machine_type.name,
                machine.zone,
                machine.spot,
                bool(machine.tasks),
                round(cpus, ALIKE_DIGITS),
                round(gpus, ALIKE_DIGITS),
                round(machine_type.memory_gb - machine.used_memory_gb, ALIKE_DIGITS),
                machine.name if machine.failed_jobs else "",
            )
            pool.add(key, machine.name, partial(_sizing_candidate, machine, machine_type, self._platform))
        for request in self._scale_out.unsettled:
            self._add_rental(pool, request)
        return pool

    def _add_rental(self, pool: CandidatePool, request: ScaleOutRequest) -> None:
        """Count in the machines of a rental request that is not answered."""
        record = request.record
        machine_type = self._cluster.machine_types.get(record.machine_type)
        if machine_type is None:
            return
        key = (
            machine_type.name,
            record.zone,
            record.spot,
            False,
            round(machine_type.cpus, ALIKE_DIGITS),
            round(machine_type.gpus, ALIKE_DIGITS),
            round(machine_type.memory_gb, ALIKE_DIGITS),
            "",
        )
        asked = Candidate(
            f"{request.name}+0",
            machine_type.name,
            record.zone,
            record.spot,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            controllers_elsewhere=self._platform.away(record.zone),
        )
        for number in range(record.count):
            pool.add(key, f"{request.name}+{number}", lambda: asked)

    def _presumed_lost(self, failures: FailureDetector, now: float) -> list[Demand]:
        """Return the work of the two highest ranks on machines that fell silent with many others, whose leases must
        have ended: room for it boots while it is found out whether they are gone.

        Guards against waiting for the cloud's word about a hundred machines before renting the first new one.
        """
        tasks: dict[str, int] = {}
        for machine in self._cluster.machines.values():
            if (
                failures.correlated(machine.zone)
                and not failures.partitioned(machine.zone)
                and self._reachability.is_running(machine)
                and self._reachability.silent_s(machine, now) > self._platform.lease_s
            ):
                for job_id, _ in machine.tasks:
                    tasks[job_id] = tasks.get(job_id, 0) + 1
        jobs = ((self._cluster.jobs.get(job_id), count) for job_id, count in tasks.items())
        return [
            Demand(job.spec, count, {})
            for job, count in jobs
            if job is not None and job.state is JobState.ACTIVE and job.priority_level <= URGENT_LEVEL
        ]

    def _expected(self, now: float) -> list[Demand]:
        """Return the arrivals to keep room for: those of the time a machine needs to boot, of the classes that
        could not wait for it."""
        out: list[Demand] = []
        for spec, rate, mean in self._arrivals.rates(now):
            kinds = [
                machine_type
                for machine_type in self._cluster.machine_types.values()
                if fits(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
                and (spec.machine_types is None or machine_type.name in spec.machine_types)
            ]
            if not kinds or self._can_wait(spec, kinds):
                continue
            jobs = rate * min(machine_type.boot_s for machine_type in kinds)
            tasks = round(jobs * self._tuning.headroom * mean)
            if tasks > 0:
                out.append(Demand(spec, tasks, {}))
        return out

    def _can_wait(self, spec: JobSpec, kinds: list[MachineType]) -> bool:
        """Whether a job meets its class's aims although it has to wait for a machine to boot and fetch."""
        ready_s = self._platform.report_s + min(
            kind.boot_s * self._tuning.boots + fetch_s(spec, kind) for kind in kinds
        )
        aims = [
            (objective.within_s, objective.kind)
            for objective in self._platform.objectives
            if objective.job_class == spec.job_class and objective.kind in ("wait", "finished")
        ]
        if spec.deadline_s is not None:
            aims.append((spec.deadline_s, "finished"))
        if not aims:
            return spec.priority.level > 1
        run_s = spec.estimated_run_s * self._tuning.doubt
        return all(ready_s + (run_s if kind == "finished" else 0.0) <= within_s for within_s, kind in aims)


def _sizing_candidate(machine: Machine, machine_type: MachineType, platform: Platform) -> Candidate:
    """Return a machine without its images: sizing does not look at them."""
    return machine_candidate(machine, machine_type, platform.away(machine.zone), NO_IMAGES, set())
