"""What fetches and stops are reckoned to cost."""

from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec

# So many processors weigh as much as one accelerator.
CPUS_PER_GPU = 16
LEAST_SIZE = 1e-3
LEAST_FETCH_RATE = 1e-9


def fetch_s(spec: JobSpec, machine_type: MachineType) -> float:
    """Return how long a machine of this type takes for a job's image, with no other fetch beside it."""
    return spec.image_gb / max(machine_type.fetch_gb_per_s, LEAST_FETCH_RATE)


def size(spec: JobSpec) -> float:
    """Return how much a task takes, to weigh its seconds by."""
    return max(spec.gpus, spec.cpus / CPUS_PER_GPU, LEAST_SIZE)
