"""Demand for capacity: tasks of one shape that need resources."""

from dataclasses import dataclass

from driftcleat.placement.candidates import Candidate, dominant_share
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec


@dataclass(slots=True)
class Demand:
    """Tasks of one shape that need resources now or are expected to; sizing counts `tasks` down as it packs them."""

    spec: JobSpec
    tasks: int
    tasks_by_zone: dict[str, int]
    # The zone of a job whose tasks must all be in one zone; None until it is chosen.
    required_zone: str | None = None
    # The number of tasks that one zone may hold; None: no limit.
    max_per_zone: int | None = None
    # The result of `hourly_cost_per_task`, once computed.
    _hourly_cost: float | None = None

    def __post_init__(self) -> None:
        # An expected demand holds the tasks of several jobs of a class. If the limit followed from the size of one
        # job, the other tasks would be forced into another zone, at any price.
        if self.spec.spread:
            self.max_per_zone = -(-max(self.spec.tasks, self.tasks + sum(self.tasks_by_zone.values())) // 2)

    def record_packed(self, zone: str, tasks: int) -> None:
        """Record that tasks were packed into machines of a zone."""
        self.tasks -= tasks
        self.tasks_by_zone[zone] = self.tasks_by_zone.get(zone, 0) + tasks

    def hourly_cost_per_task(self, machine_types: dict[str, MachineType]) -> float:
        """Return the hourly cost of a task on the machine type where it is lowest, if that machine is filled."""
        if self._hourly_cost is None:
            spec = self.spec
            self._hourly_cost = min(
                (
                    machine_type.price
                    * dominant_share(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
                    for machine_type in machine_types.values()
                    if spec.machine_types is None or machine_type.name in spec.machine_types
                ),
                default=0.0,
            )
        return self._hourly_cost

    def may_use(self, candidate: Candidate) -> bool:
        """Return whether the tasks may be placed on a candidate, whether they fit or not."""
        spec = self.spec
        return (
            candidate.satisfies_constraints(spec)
            and spec.id not in candidate.excluded_jobs
            and (self.required_zone is None or candidate.zone == self.required_zone)
        )

    def room_in_zone(self, zone: str) -> int:
        """Return how many more of the tasks a zone may hold."""
        if self.max_per_zone is None:
            return self.tasks
        return self.max_per_zone - self.tasks_by_zone.get(zone, 0)

    def pack_into(self, candidate: Candidate, dry_run: bool = False) -> int:
        """Pack as many tasks into a candidate as fit, and return how many; `dry_run` changes only the candidate."""
        spec = self.spec
        if not self.may_use(candidate):
            return 0
        max_tasks = min(self.tasks, self.room_in_zone(candidate.zone))
        packed = candidate.task_capacity(spec, max_tasks) if max_tasks > 0 else 0
        if packed <= 0:
            return 0
        candidate.allocate(spec, packed)
        if not dry_run:
            self.record_packed(candidate.zone, packed)
        return packed
