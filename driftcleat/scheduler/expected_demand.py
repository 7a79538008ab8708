"""Expected demand: arriving jobs that would miss their objectives if a machine were created only for them."""

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.capacity.demand import Demand
from driftcleat.placement.candidates import fits
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.estimates import fetch_s
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec

# Kinds of objectives as in the platform settings: the time until a job starts, and until it has finished.
START_OBJECTIVE = "wait"
FINISH_OBJECTIVE = "finished"
# Jobs without an objective can wait for a machine if their priority level is above this one (less urgent).
LEAST_URGENT_LEVEL = 1


class ExpectedDemand:
    """Estimates the demand of jobs that are expected to arrive."""

    def __init__(self, context: SchedulerContext, arrivals: ArrivalRates) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._arrivals = arrivals

    def demands(self, now: float) -> list[Demand]:
        """Return the arrivals expected within a machine's boot time, for job classes that cannot wait that long."""
        demands: list[Demand] = []
        for spec, jobs_per_s, mean_tasks in self._arrivals.rates(now):
            machine_types = [
                machine_type
                for machine_type in self._cluster.machine_types.values()
                if fits(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
                and (spec.machine_types is None or machine_type.name in spec.machine_types)
            ]
            if not machine_types or self._can_wait(spec, machine_types):
                continue
            jobs = jobs_per_s * min(machine_type.boot_s for machine_type in machine_types)
            tasks = round(jobs * self._tuning.arrival_headroom_ratio * mean_tasks)
            if tasks > 0:
                demands.append(Demand(spec, tasks, {}))
        return demands

    def _can_wait(self, spec: JobSpec, machine_types: list[MachineType]) -> bool:
        """Return whether a job meets its class's objectives even if a machine must first boot and fetch its image."""
        ready_s = self._platform.report_s + min(
            machine_type.boot_s * self._tuning.expected_boot_ratio + fetch_s(spec, machine_type)
            for machine_type in machine_types
        )
        limits_s = [
            (objective.kind, objective.within_s)
            for objective in self._platform.objectives
            if objective.job_class == spec.job_class and objective.kind in (START_OBJECTIVE, FINISH_OBJECTIVE)
        ]
        if spec.deadline_s is not None:
            limits_s.append((FINISH_OBJECTIVE, spec.deadline_s))
        if not limits_s:
            return spec.priority.level > LEAST_URGENT_LEVEL
        run_s = spec.estimated_run_s * self._tuning.expected_run_ratio
        return all(ready_s + (run_s if kind == FINISH_OBJECTIVE else 0.0) <= within_s for kind, within_s in limits_s)
