"""Demand for capacity: tasks of one shape that want room."""

from dataclasses import dataclass

from driftcleat.placement.candidates import Candidate, share
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec


@dataclass(slots=True)
class Demand:
    """Tasks of one shape that want room now, or are expected to."""

    spec: JobSpec
    tasks: int
    zones: dict[str, int]
    # Set once it is decided in which zone a job that wants only one shall be.
    only: str | None = None

    # How many of the tasks one zone may hold; None: all.
    per_zone: int | None = None

    # What a task costs an hour, once it was worked out.
    _cost: float | None = None

    def __post_init__(self) -> None:
        # Guards against taking the size of one job as the limit for all that are expected of its class: the rest
        # was then rented in another zone, at any price.
        if self.spec.spread:
            self.per_zone = -(-max(self.spec.tasks, self.tasks + sum(self.zones.values())) // 2)

    def took(self, zone: str, tasks: int) -> None:
        """Count tasks that found room."""
        self.tasks -= tasks
        self.zones[zone] = self.zones.get(zone, 0) + tasks

    def cost(self, types: dict[str, MachineType]) -> float:
        """Return what a task costs an hour on the type that suits it best, if that is filled up."""
        if self._cost is None:
            spec = self.spec
            self._cost = min(
                (
                    machine_type.price * share(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
                    for machine_type in types.values()
                    if spec.machine_types is None or machine_type.name in spec.machine_types
                ),
                default=0.0,
            )
        return self._cost


def may_use(demand: Demand, candidate: Candidate) -> bool:
    """Tell whether a demand may use a candidate, if it fits there."""
    spec = demand.spec
    return (
        candidate.allows(spec)
        and spec.id not in candidate.failed_jobs
        and (demand.only is None or candidate.zone == demand.only)
    )


def zone_left(demand: Demand, zone: str) -> int:
    """Return how many more tasks of a job may be in a zone."""
    if demand.per_zone is None:
        return demand.tasks
    return demand.per_zone - demand.zones.get(zone, 0)


def fill(demand: Demand, candidate: Candidate, dry: bool = False) -> int:
    """Put as many of a demand's tasks into a candidate as fit; `dry` leaves the demand as it is."""
    spec = demand.spec
    if not may_use(demand, candidate):
        return 0
    most = min(demand.tasks, zone_left(demand, candidate.zone))
    taken = candidate.capacity(spec, most) if most > 0 else 0
    if taken <= 0:
        return 0
    candidate.allocate(spec, taken)
    if not dry:
        demand.took(candidate.zone, taken)
    return taken
