"""Which tasks a job may have stopped: found once in a round, and only if some job finds no room."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from driftcleat.cluster.jobs import Job, JobState
from driftcleat.cluster.machines import Machine, TaskKey
from driftcleat.placement.fair_share import FairShareOrder


@dataclass(frozen=True, slots=True)
class Victim:
    """A task that could be stopped: what it frees and what stopping it loses."""

    job: Job
    index: int
    cost: float


class PreemptibleTasks:
    """The tasks of one round's machines that could be stopped at all, and who may displace them."""

    def __init__(
        self,
        machines: Iterable[Machine],
        job_of: Callable[[str], Job | None],
        order: FairShareOrder,
        loss: Callable[[Job, Machine, TaskKey], float],
    ) -> None:
        self.order, self.loss = order, loss
        # By machine: the lowest rank among them, whether one has no guarantee, and the tasks.
        self._found: dict[str, tuple[int, bool, list[tuple[Job, int]]]] = {}
        self._machines: dict[str, Machine] = {}
        for machine in machines:
            tasks: list[tuple[Job, int]] = []
            lowest, beyond = -1, False
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
                beyond = beyond or job.id not in order.guaranteed
            if tasks:
                self._found[machine.name] = (lowest, beyond, tasks)
                self._machines[machine.name] = machine

    def machines(self, job: Job) -> list[Machine]:
        """Return the machines on which this job may displace something."""
        level, guaranteed = job.priority_level, job.id in self.order.guaranteed
        return [
            self._machines[name]
            for name, (lowest, beyond, _) in self._found.items()
            if lowest > level or (guaranteed and beyond)
        ]

    def on(self, machine: Machine, job: Job) -> list[Victim]:
        """Return what this job may displace on a machine."""
        found = self._found.get(machine.name)
        if found is None:
            return []
        return [
            Victim(other, index, self.loss(other, machine, (other.id, index)))
            for other, index in found[2]
            if self.order.may_preempt(job, other)
        ]

    def exclude(self, machine: Machine) -> None:
        """Something is stopped there for a job: nobody else displaces there in this round."""
        self._found.pop(machine.name, None)
