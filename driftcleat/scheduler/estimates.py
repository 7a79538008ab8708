"""Estimates that weigh image fetches and stops against each other."""

from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec

# So many processors weigh as much as one accelerator.
CPUS_PER_GPU = 16
# Lower bounds that keep a task without resources, and a type without a fetch rate, apart from zero.
MIN_SIZE = 1e-3
MIN_FETCH_GB_PER_S = 1e-9


def fetch_s(spec: JobSpec, machine_type: MachineType) -> float:
    """Return the seconds that a machine of this type takes to fetch a job's image, with no other fetch beside it."""
    return spec.image_gb / max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)


def task_weight(spec: JobSpec) -> float:
    """Return the weight of one task's seconds, in accelerators: its dominant resource."""
    return max(spec.gpus, spec.cpus / CPUS_PER_GPU, MIN_SIZE)
