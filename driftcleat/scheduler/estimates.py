"""Estimates by which the costs of image fetches and preemptions are compared."""

from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec

# The number of CPUs that weigh as much as one GPU.
CPUS_PER_GPU = 16
# Lower bounds that avoid a weight of zero for a task without resources and a division by a fetch rate of zero.
MIN_TASK_WEIGHT = 1e-3
MIN_FETCH_GB_PER_S = 1e-9


def fetch_s(spec: JobSpec, machine_type: MachineType) -> float:
    """Return the seconds that a machine of this type takes to fetch a job's image if it fetches no other."""
    return spec.image_gb / max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)


def task_weight(spec: JobSpec) -> float:
    """Return a task's weight in GPUs, by its dominant resource; a cost is this weight times lost seconds."""
    return max(spec.gpus, spec.cpus / CPUS_PER_GPU, MIN_TASK_WEIGHT)
