"""Demand: which room queued and expected work needs, and which rentals that comes to."""

import logging
from functools import partial

from driftcleat.fleet.arrivals import Arrivals
from driftcleat.fleet.silence import Silence
from driftcleat.fleet.sizing import ALIKE_DIGITS, CandidatePool, Demand, Plan, plan_fleet
from driftcleat.model import Job, JobState, Machine, MachineState
from driftcleat.placement.candidates import SLACK, Candidate, capacity, fits, latency_sensitive
from driftcleat.placement.engine import Limits
from driftcleat.settings import Platform
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import Submission

from .context import INFINITE, TermContext
from .estimates import fetch_s
from .queue import JobQueue
from .reachability import Reachability
from .rentals import OpenRental, Rentals

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
        context: TermContext,
        queue: JobQueue,
        reachability: Reachability,
        rentals: Rentals,
        arrivals: Arrivals,
    ) -> None:
        self._platform, self._tuning, self._cluster = context.platform, context.tuning, context.cluster
        self._queue, self._reachability = queue, reachability
        self._rentals, self._arrivals = rentals, arrivals

    def plan(self, now: float, silence: Silence, most_rented: int) -> Plan:
        """Return what to rent for queued and expected work, and which machines that work would use."""
        demands = self.queued()
        demands.extend(self._presumed_lost(silence, now))
        demands.extend(self._expected(now))
        if log.isEnabledFor(logging.DEBUG):
            log.debug("demands %s", [(demand.spec.job_class, demand.tasks) for demand in demands])
        zones = {zone for kind in self._cluster.types.values() for zone in kind.zones}
        partitioned = {zone for zone in zones if silence.partitioned_now(zone)}
        return plan_fleet(
            demands,
            self.free(),
            self._cluster.types,
            lambda offer: self._rentals.is_refused(offer, now) or offer[1] in partitioned,
            most_rented,
            self._platform.away,
        )

    def queued(self) -> list[Demand]:
        """Return what waits in the queue and its team may still take."""
        queued = self._queue.queued()
        limits: dict[str, Limits] = {}
        demands: list[Demand] = []
        alike: dict[Shape, Demand] = {}
        for job in queued.jobs:
            if self._cluster.failures.get(job.id, 0) >= MOST_FAILURES:
                continue
            limit = limits.setdefault(job.spec.team, self._queue.limits(job.spec.team))
            wanted = self._wanted(job, limit)
            if wanted <= 0:
                continue
            limit.take(job.spec, wanted)
            if latency_sensitive(job.spec):
                # Machines boot at their own pace: with none to spare, the last replicas wait for the slowest.
                wanted += round(wanted * self._tuning.slack)
            shape = self._shape(job, job.id in queued.order.guaranteed)
            known = alike.get(shape) if shape is not None else None
            if known is not None:
                known.tasks += wanted
                continue
            demand = Demand(job.spec, wanted, job.zone_counts())
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
        bound = spec.tasks > 1 and (spec.one_zone or spec.spread)
        if bound or job.id in self._cluster.failures:
            return None
        return (
            guaranteed,
            job.level,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.types,
            spec.zone,
            spec.spot,
            latency_sensitive(spec),
        )

    @staticmethod
    def _wanted(job: Job, limit: Limits) -> int:
        """Return for how many of a job's tasks its team's limit leaves room."""
        if job.is_gang:
            return job.queued if limit.fits(job.spec, job.queued) else 0
        return capacity(job.spec, limit.cpus, limit.gpus, INFINITE, job.queued)

    def free(self) -> CandidatePool:
        """Return what is free on machines that are up or boot, and on those that were asked for."""
        pool = CandidatePool()
        for machine in self._cluster.machines.values():
            kind = machine.type
            if kind is None or machine.state not in (MachineState.UP, MachineState.BOOTING):
                continue
            cpus, gpus = kind.cpus - machine.cpus, kind.gpus - machine.gpus
            if gpus + cpus <= SLACK:
                continue
            key = (
                kind.name,
                machine.zone,
                machine.spot,
                bool(machine.tasks),
                round(cpus, ALIKE_DIGITS),
                round(gpus, ALIKE_DIGITS),
                round(kind.memory_gb - machine.memory_gb, ALIKE_DIGITS),
                machine.name if machine.failed_jobs else "",
            )
            pool.add(key, machine.name, partial(_sizing_candidate, machine, kind, self._platform))
        for rental in self._rentals.unsettled:
            self._add_rental(pool, rental)
        return pool

    def _add_rental(self, pool: CandidatePool, rental: OpenRental) -> None:
        """Count in the machines of a rental request that is not answered."""
        record = rental.record
        kind = self._cluster.types.get(record.type)
        if kind is None:
            return
        key = (
            kind.name,
            record.zone,
            record.spot,
            False,
            round(kind.cpus, ALIKE_DIGITS),
            round(kind.gpus, ALIKE_DIGITS),
            round(kind.memory_gb, ALIKE_DIGITS),
            "",
        )
        asked = Candidate(
            f"{rental.name}+0",
            kind.name,
            record.zone,
            record.spot,
            kind.cpus,
            kind.gpus,
            kind.memory_gb,
            away=self._platform.away(record.zone),
        )
        for number in range(record.count):
            pool.add(key, f"{rental.name}+{number}", lambda: asked)

    def _presumed_lost(self, silence: Silence, now: float) -> list[Demand]:
        """Return the work of the two highest ranks on machines that fell silent with many others, whose leases must
        have ended: room for it boots while it is found out whether they are gone.

        Guards against waiting for the cloud's word about a hundred machines before renting the first new one.
        """
        tasks: dict[str, int] = {}
        for machine in self._cluster.machines.values():
            if (
                silence.correlated(machine.zone)
                and not silence.partitioned(machine.zone)
                and self._reachability.runs(machine)
                and self._reachability.silent_s(machine, now) > self._platform.lease_s
            ):
                for job_id, _ in machine.tasks:
                    tasks[job_id] = tasks.get(job_id, 0) + 1
        jobs = ((self._cluster.jobs.get(job_id), count) for job_id, count in tasks.items())
        return [
            Demand(job.spec, count, {})
            for job, count in jobs
            if job is not None and job.state is JobState.ACTIVE and job.level <= URGENT_LEVEL
        ]

    def _expected(self, now: float) -> list[Demand]:
        """Return the arrivals to keep room for: those of the time a machine needs to boot, of the classes that
        could not wait for it."""
        out: list[Demand] = []
        for spec, rate, mean in self._arrivals.rates(now):
            kinds = [
                kind
                for kind in self._cluster.types.values()
                if fits(spec, kind.cpus, kind.gpus, kind.memory_gb)
                and (spec.types is None or kind.name in spec.types)
            ]
            if not kinds or self._can_wait(spec, kinds):
                continue
            jobs = rate * min(kind.boot_s for kind in kinds)
            tasks = round(jobs * self._tuning.headroom * mean)
            if tasks > 0:
                out.append(Demand(spec, tasks, {}))
        return out

    def _can_wait(self, spec: Submission, kinds: list[MachineType]) -> bool:
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
            return spec.rank.level > 1
        run_s = spec.estimate_s * self._tuning.doubt
        return all(ready_s + (run_s if kind == "finished" else 0.0) <= within_s for within_s, kind in aims)


def _sizing_candidate(machine: Machine, kind: MachineType, platform: Platform) -> Candidate:
    """Return a machine without its images: sizing does not look at them."""
    return Candidate(
        machine.name,
        kind.name,
        machine.zone,
        machine.spot,
        kind.cpus - machine.cpus,
        kind.gpus - machine.gpus,
        kind.memory_gb - machine.memory_gb,
        failed_jobs=machine.failed_jobs,
        busy=bool(machine.tasks),
        price=kind.spot_price if machine.spot else kind.price,
        whole=(kind.cpus, kind.gpus, kind.memory_gb),
        fetch_gb_per_s=kind.fetch_gb_per_s,
        away=platform.away(machine.zone),
    )
