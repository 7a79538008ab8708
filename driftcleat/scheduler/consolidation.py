"""Consolidation: selects a machine to drain because its few replicas fit on other machines."""

from dataclasses import replace

from driftcleat.cluster import JobState, Machine, MachineState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE, Candidate, spread_limit
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.scale_in import MIN_FREE_GPUS
from driftcleat.wire.users import JobKind, JobSpec
from driftcleat.wire.workers import TaskPhase

# Looked up once: looking up an enum member for every task takes several times as long as the comparison with it.
RUNNING = TaskPhase.RUNNING

# A machine whose most used resource is used beyond this share is not drained.
MAX_UTILIZATION = 0.5 + ROUNDING_TOLERANCE


class Consolidation:
    """Selects machines to drain, one at a time."""

    def __init__(self, context: SchedulerContext, candidates: MachineCandidates) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._candidates = candidates

    def candidate(self, in_flight: set[str], now: float) -> Machine | None:
        """Return the machine with the highest cost of unused resources whose replicas all fit elsewhere.

        They fit if other machines in use have room for them and have their images. Services outlast the jobs beside
        them, and a single replica keeps a whole machine allocated. Draining moves the replicas, as the protocol
        allows; each is unavailable for about one heartbeat interval.
        """
        if not self._may_consolidate(now):
            return None
        best: Machine | None = None
        best_wasted_cost = 0.0
        busy: list[Candidate] | None = None
        for machine in self._cluster.machines.values():
            if not self._is_settled(machine, in_flight, now):
                continue
            wasted_cost = self._wasted_cost(machine)
            if wasted_cost is None or wasted_cost <= best_wasted_cost:
                continue
            if busy is None:
                busy = [candidate for candidate in self._candidates.available(now, MIN_FREE_GPUS) if candidate.busy]
            if self._replicas_fit_on(machine, busy):
                best = machine
                best_wasted_cost = wasted_cost
        return best

    def _may_consolidate(self, now: float) -> bool:
        """Return whether no task is queued, no machine is draining, and the term is older than a worker lease."""
        if now - self._cluster.started_at <= self._platform.lease_s:
            return False
        if any(job.tasks_queued for job in self._cluster.jobs.values()):
            return False
        return all(machine.state is not MachineState.DRAINING for machine in self._cluster.machines.values())

    def _is_settled(self, machine: Machine, in_flight: set[str], now: float) -> bool:
        return (
            machine.state is MachineState.UP
            and machine.type is not None
            and bool(machine.tasks)
            and machine.name not in in_flight
            and now - machine.tasks_changed_at >= machine.type.boot_s * self._tuning.consolidation_quiet_boot_times
        )

    def _wasted_cost(self, machine: Machine) -> float | None:
        """Return the hourly cost of a machine's unused share; None if its utilization is too high."""
        machine_type = machine.type
        if machine_type is None:
            return None
        jobs = self._cluster.jobs
        specs = [jobs[job_id].spec for job_id, _ in machine.tasks if job_id in jobs]
        utilization = max(
            (
                sum(requested) / total
                for requested, total in (
                    ((spec.cpus for spec in specs), machine_type.cpus),
                    ((spec.gpus for spec in specs), machine_type.gpus),
                    ((spec.memory_gb for spec in specs), machine_type.memory_gb),
                )
                if total > 0
            ),
            default=1.0,
        )
        if utilization > MAX_UTILIZATION:
            return None
        return (1.0 - utilization) * (machine_type.spot_price if machine.spot else machine_type.price)

    def _replicas_fit_on(self, machine: Machine, busy: list[Candidate]) -> bool:
        """Return whether all of a machine's tasks are running replicas that fit on other machines in use."""
        others = [replace(candidate) for candidate in busy if candidate.name != machine.name]
        for job_id, index in machine.tasks:
            job = self._cluster.jobs.get(job_id)
            if job is None or job.state is not JobState.ACTIVE or job.spec.kind is not JobKind.SERVICE:
                return False
            if machine.task_phases.get((job_id, index)) != RUNNING or job.spec.single_zone:
                return False
            counts = job.placements_by_zone()
            counts[machine.zone] -= 1
            found = _first_fit_with_image(job.spec, others, counts)
            if found is None:
                return False
            found.allocate(job.spec)
        return True


def _first_fit_with_image(spec: JobSpec, candidates: list[Candidate], counts: dict[str, int]) -> Candidate | None:
    """Return the first candidate that has the image and room for a task; `counts`: the job's other tasks by zone."""
    return next(
        (
            candidate
            for candidate in candidates
            if candidate.fits(spec)
            and candidate.satisfies_constraints(spec)
            and candidate.fetch_rank(spec.image) == 0
            and counts.get(candidate.zone, 0) < spread_limit(spec)
        ),
        None,
    )
