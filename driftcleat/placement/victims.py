"""Preemptible tasks: collected once per round, and only if some job does not fit."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from driftcleat.cluster.jobs import Job, JobState
from driftcleat.cluster.machines import Machine, TaskKey
from driftcleat.placement.fair_share import FairShareOrder


class Victim(NamedTuple):
    """A task that may be preempted, and the estimated cost of what is lost with it."""

    job: Job
    task_index: int
    cost: float


@dataclass(frozen=True, slots=True)
class MachineTasks:
    """The preemptible tasks of one machine, with summaries that rule out most preemptors without examining each."""

    machine: Machine
    tasks: list[tuple[Job, int]]
    # The highest level among the tasks; a higher level is a lower priority.
    lowest_priority_level: int
    any_beyond_guarantee: bool


class PreemptibleTasks:
    """The preemptible tasks on the machines of one round, and which jobs may preempt them."""

    def __init__(
        self,
        machines: Iterable[Machine],
        job_of: Callable[[str], Job | None],
        order: FairShareOrder,
        preemption_cost: Callable[[Job, Machine, TaskKey], float],
    ) -> None:
        self.order = order
        self.preemption_cost = preemption_cost
        self._by_machine: dict[str, MachineTasks] = {}
        for machine in machines:
            found = _preemptible_tasks(machine, job_of, order)
            if found is not None:
                self._by_machine[machine.name] = found

    def machines(self, job: Job) -> list[Machine]:
        """Return the machines on which a job may be able to preempt tasks."""
        level = job.priority_level
        guaranteed = job.id in self.order.guaranteed
        return [
            found.machine
            for found in self._by_machine.values()
            if found.lowest_priority_level > level or (guaranteed and found.any_beyond_guarantee)
        ]

    def victims(self, machine: Machine, job: Job) -> list[Victim]:
        """Return the tasks on a machine that a job may preempt, with their costs."""
        found = self._by_machine.get(machine.name)
        if found is None:
            return []
        return [
            Victim(other, index, self.preemption_cost(other, machine, (other.id, index)))
            for other, index in found.tasks
            if self.order.may_preempt(job, other)
        ]

    def exclude(self, machine: Machine) -> None:
        """Exclude a machine from further preemption in this round."""
        self._by_machine.pop(machine.name, None)


def _preemptible_tasks(
    machine: Machine, job_of: Callable[[str], Job | None], order: FairShareOrder
) -> MachineTasks | None:
    tasks: list[tuple[Job, int]] = []
    lowest = -1
    beyond_guarantee = False
    for (job_id, index), placement in machine.tasks.items():
        job = job_of(job_id)
        if (
            job is None
            or job.state is not JobState.ACTIVE
            or placement.stop_grace_s is not None
            or (job.is_gang and job.spec.tasks > 1)
        ):
            continue
        tasks.append((job, index))
        lowest = max(lowest, job.priority_level)
        beyond_guarantee = beyond_guarantee or job.id not in order.guaranteed
    return MachineTasks(machine, tasks, lowest, beyond_guarantee) if tasks else None
