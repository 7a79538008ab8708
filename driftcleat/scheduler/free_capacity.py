"""Free capacity: the free resources of machines that are up, booting or requested."""

from driftcleat.capacity.candidate_pool import FREE_RESOURCE_DECIMALS, CandidatePool
from driftcleat.cluster import MachineState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE, Candidate
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.machine_candidates import NO_IMAGES, machine_candidate
from driftcleat.scheduler.scale_out import ScaleOut, ScaleOutRequest


class FreeCapacity:
    """Collects the machines that demand can be packed into, grouped by equal free resources."""

    def __init__(self, context: SchedulerContext, scale_out: ScaleOut) -> None:
        self._platform = context.platform
        self._cluster = context.cluster
        self._scale_out = scale_out
        self._clock = context.clock

    def pool(self) -> CandidatePool:
        """Return the free capacity of machines that are up or booting, followed by that of requested machines."""
        pool = CandidatePool()
        now = self._clock()
        for machine in self._cluster.machines.values():
            machine_type = machine.type
            if machine_type is None or machine.state not in (MachineState.UP, MachineState.BOOTING):
                continue
            cpus = machine_type.cpus - machine.used_cpus
            gpus = machine_type.gpus - machine.used_gpus
            if gpus + cpus <= ROUNDING_TOLERANCE:
                continue
            excluded_jobs = machine.excluded_jobs(now)
            key = (
                machine_type.name,
                machine.zone,
                machine.spot,
                bool(machine.tasks),
                round(cpus, FREE_RESOURCE_DECIMALS),
                round(gpus, FREE_RESOURCE_DECIMALS),
                round(machine_type.memory_gb - machine.used_memory_gb, FREE_RESOURCE_DECIMALS),
                machine.name if excluded_jobs else "",
            )
            if not pool.add_to_group(key, machine.name):
                # Sizing ignores images.
                controllers_elsewhere = self._platform.controllers_outside(machine.zone)
                candidate = machine_candidate(machine, machine_type, controllers_elsewhere, NO_IMAGES, set())
                candidate.excluded_jobs = excluded_jobs
                pool.open_group(key, candidate)
        for request in self._scale_out.unsettled:
            self._add_requested(pool, request)
        return pool

    def _add_requested(self, pool: CandidatePool, request: ScaleOutRequest) -> None:
        """Add the machines of an unsettled scale-out request as empty ones."""
        record = request.record
        machine_type = self._cluster.machine_types.get(record.machine_type)
        if machine_type is None:
            return
        names = [f"{request.name}+{number}" for number in range(record.count)]
        if names:
            candidate = Candidate(
                names[0],
                machine_type.name,
                record.zone,
                record.spot,
                machine_type.cpus,
                machine_type.gpus,
                machine_type.memory_gb,
                controllers_elsewhere=self._platform.controllers_outside(record.zone),
            )
            pool.add(candidate, names)
