"""Candidates: machines with their free resources, and whether a task may be placed on one and fits."""

from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from driftcleat.wire.users import JobKind, JobSpec, Priority

# Absorbs the rounding errors of floating-point sums; no real request is this small.
ROUNDING_TOLERANCE = 1e-6
# The cost of a latency-sensitive replica is divided by the machine's image fetch rate to this power.
FETCH_RATE_EXPONENT = 2


class Resources(NamedTuple):
    """Amounts of CPUs, GPUs and memory in GB."""

    cpus: float
    gpus: float
    memory_gb: float


@dataclass(slots=True)
class Candidate:
    """A machine with its free resources, in `cpus`, `gpus` and `memory_gb`.

    Resources are plain fields instead of `Resources` objects, since a candidate is created for each machine in each
    round.
    """

    name: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    cached_images: Container[str] = field(default_factory=frozenset)
    # Images being fetched, or to be fetched for tasks that this round places here. Fetches share the machine's rate.
    fetching_images: set[str] = field(default_factory=set)
    excluded_jobs: Container[str] = field(default_factory=frozenset)
    busy: bool = False
    # The machine's price per hour.
    price: float = 0.0
    total_cpus: float = 0.0
    total_gpus: float = 0.0
    total_memory_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    # The number of controllers in other zones. Fewer is better: a partitioned zone keeps its tasks running if the
    # leader is inside the zone.
    controllers_elsewhere: int = 0
    # The only job that may use the free resources, while resources for its other tasks are being freed.
    reserved_for: str | None = None

    def fits(self, spec: JobSpec) -> bool:
        """Return whether a task fits into the free resources."""
        return fits(spec, self.cpus, self.gpus, self.memory_gb)

    def satisfies_constraints(self, spec: JobSpec) -> bool:
        """Return whether the machine satisfies a job's constraints on type, zone and spot."""
        return satisfies_constraints(spec, self.machine_type, self.zone, self.spot)

    def task_capacity(self, spec: JobSpec, max_tasks: int) -> int:
        """Return how many tasks fit into the free resources, up to `max_tasks`."""
        return task_capacity(spec, self.cpus, self.gpus, self.memory_gb, max_tasks)

    def dominant_share_cost(self, spec: JobSpec) -> float:
        """Return a task's dominant share of the machine times the machine's price per hour."""
        return self.price * dominant_share(spec, self.total_cpus, self.total_gpus, self.total_memory_gb)

    def fetch_weighted_cost(self, spec: JobSpec) -> float:
        """Return `dominant_share_cost`, which for a latency-sensitive replica rises as the image fetch rate falls.

        Guards against saving a fifth of the price on a machine where a replica takes half as long again to start.
        """
        return self.dominant_share_cost(spec) / (
            self.fetch_gb_per_s**FETCH_RATE_EXPONENT if latency_sensitive(spec) else 1.0
        )

    def allocate(self, spec: JobSpec, tasks: int = 1) -> None:
        """Allocate the resources of `tasks` tasks; their image counts as being fetched unless it is cached."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        self.busy = True
        if spec.image not in self.cached_images:
            self.fetching_images.add(spec.image)

    def fetch_rank(self, image: str) -> int:
        """Return 0 if the image is cached or being fetched, else 1 plus the number of fetches on the machine."""
        if image in self.fetching_images or image in self.cached_images:
            return 0
        return 1 + len(self.fetching_images)

    def release(self, spec: JobSpec, tasks: int = 1) -> None:
        """Release the resources of `tasks` tasks; the machine still counts as busy and as fetching their image."""
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks
        self.memory_gb += spec.memory_gb * tasks


def latency_sensitive(spec: JobSpec) -> bool:
    """Return whether a job's start is urgent to its users: it is a service of the highest priority."""
    return spec.kind is JobKind.SERVICE and spec.priority is Priority.CRITICAL


def satisfies_constraints(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Return whether machines of a type in a zone, spot or on-demand, satisfy a job's constraints."""
    return (
        (spec.machine_types is None or type_name in spec.machine_types)
        and (spec.zone is None or zone == spec.zone)
        and (spec.spot or not spot)
    )


def fits(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Return whether a task fits into the given resources."""
    return (
        spec.cpus <= cpus + ROUNDING_TOLERANCE
        and spec.gpus <= gpus + ROUNDING_TOLERANCE
        and spec.memory_gb <= memory_gb + ROUNDING_TOLERANCE
    )


def dominant_share(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> float:
    """Return the fraction of the given resources that a task takes of its dominant resource."""
    return max(
        (
            needed / whole
            for needed, whole in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb))
            if whole > 0
        ),
        default=0.0,
    )


def task_capacity(spec: JobSpec, cpus: float, gpus: float, memory_gb: float, max_tasks: int) -> int:
    """Return how many tasks fit into the given resources, up to `max_tasks`."""
    count = max_tasks
    for needed, free in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if needed > 0:
            count = int(min(count, (free + ROUNDING_TOLERANCE) / needed))
    return max(0, count)


def spread_limit(spec: JobSpec) -> int:
    """Return how many of a job's tasks one zone may hold."""
    return -(-spec.tasks // 2) if spec.spread else spec.tasks
