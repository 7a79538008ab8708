"""Candidates: what is free on a machine, and whether a task may and can go there."""

from collections.abc import Container
from dataclasses import dataclass, field

from driftcleat.wire.users import JobKind, JobSpec, Priority

# Sums of decimal amounts differ in their last digits; no real request is this small.
ROUNDING_TOLERANCE = 1e-6
# How much a faster fetch counts against a lower price, for replicas that are waited for.
FETCH_SPEED_WEIGHT = 2


@dataclass(slots=True)
class Candidate:
    """Free amounts of one machine."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    cached_images: Container[str] = field(default_factory=frozenset)
    # Images that are being fetched, or will be for what this round places here: fetches share the rate.
    fetching_images: set[str] = field(default_factory=set)
    failed_jobs: Container[str] = field(default_factory=frozenset)
    busy: bool = False
    price: float = 0.0
    total_resources: tuple[float, float, float] = (0.0, 0.0, 0.0)
    fetch_gb_per_s: float = 1.0
    # How many controllers are in other zones: a zone that is cut off keeps its work if the leader is inside.
    controllers_elsewhere: int = 0
    # The only job that may use what is free here, while capacity for its other tasks comes free.
    reserved_for: str | None = None

    def fits(self, spec: JobSpec) -> bool:
        """Tell whether a task fits into what is free."""
        return fits(spec, self.cpus, self.gpus, self.memory_gb)

    def allows(self, spec: JobSpec) -> bool:
        """Tell whether a job allows this machine's type, zone and kind."""
        return allowed(spec, self.machine_type, self.zone, self.spot)

    def capacity(self, spec: JobSpec, most: int) -> int:
        """Return how many tasks fit into what is free, up to `most`."""
        return capacity(spec, self.cpus, self.gpus, self.memory_gb, most)

    def share_cost(self, spec: JobSpec) -> float:
        """Return the part of the machine's price that a task takes, by what it takes most of."""
        return self.price * share(spec, *self.total_resources)

    def slow_cost(self, spec: JobSpec) -> float:
        """Return `share_cost`, for a replica that must come up soon weighed by how slowly images come here.

        Guards against replicas that waited half as long again for their image to save a fifth of the price.
        """
        return self.share_cost(spec) / (self.fetch_gb_per_s**FETCH_SPEED_WEIGHT if latency_sensitive(spec) else 1.0)

    def allocate(self, spec: JobSpec, tasks: int = 1) -> None:
        """Use up what tasks need."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        self.busy = True
        if spec.image not in self.cached_images:
            self.fetching_images.add(spec.image)

    def fetch_rank(self, image: str) -> int:
        """0: the image is there or on its way; otherwise one more than the fetches it would share with."""
        if image in self.fetching_images or image in self.cached_images:
            return 0
        return 1 + len(self.fetching_images)

    def release(self, spec: JobSpec, tasks: int = 1) -> None:
        """Undo `take`."""
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks
        self.memory_gb += spec.memory_gb * tasks


def latency_sensitive(spec: JobSpec) -> bool:
    """Tell whether a job's users wait for it at once: a service of the highest rank."""
    return spec.kind is JobKind.SERVICE and spec.priority is Priority.CRITICAL


def allowed(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Tell whether a job allows this type, zone and kind of machine."""
    return (
        (spec.machine_types is None or type_name in spec.machine_types)
        and (spec.zone is None or zone == spec.zone)
        and (spec.spot or not spot)
    )


def fits(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Tell whether a task fits into these amounts."""
    return (
        spec.cpus <= cpus + ROUNDING_TOLERANCE
        and spec.gpus <= gpus + ROUNDING_TOLERANCE
        and spec.memory_gb <= memory_gb + ROUNDING_TOLERANCE
    )


def share(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> float:
    """Return the part of these amounts that a task takes, by what it takes most of."""
    return max(
        (
            need / whole
            for need, whole in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb))
            if whole > 0
        ),
        default=0.0,
    )


def capacity(spec: JobSpec, cpus: float, gpus: float, memory_gb: float, most: int) -> int:
    """Return how many tasks fit into these amounts, up to `most`."""
    count = most
    for need, free in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if need > 0:
            count = int(min(count, (free + ROUNDING_TOLERANCE) / need))
    return max(0, count)


def spread_limit(spec: JobSpec) -> int:
    """Return how many of a job's tasks one zone may hold."""
    return -(-spec.tasks // 2) if spec.spread else spec.tasks
