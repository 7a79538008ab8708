"""Preemption plans: which tasks to stop on one machine so that another task fits there."""

from dataclasses import dataclass

from driftcleat.placement.candidates import Candidate, fits
from driftcleat.placement.victims import Victim
from driftcleat.wire.users import JobSpec


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """The tasks (possibly none) to preempt on one machine so that another task fits, and the estimated cost."""

    candidate: Candidate
    victims: tuple[Victim, ...]
    cost: float


def plan_preemption(spec: JobSpec, candidate: Candidate, victims: list[Victim]) -> PreemptionPlan | None:
    """Return a plan for one task of a job that preempts victims, cheapest first, until the task fits.

    The plan has no victims if the task fits already. Returns None if the task must not be placed on the machine, or
    does not fit even without all of `victims`.
    """
    if (
        spec.id in candidate.excluded_jobs
        or candidate.reserved_for not in (None, spec.id)
        or not candidate.satisfies_constraints(spec)
    ):
        return None
    cpus = candidate.cpus
    gpus = candidate.gpus
    memory_gb = candidate.memory_gb
    chosen: list[Victim] = []
    cost = 0.0
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if fits(spec, cpus, gpus, memory_gb):
            break
        freed = victim.job.spec
        cpus += freed.cpus
        gpus += freed.gpus
        memory_gb += freed.memory_gb
        chosen.append(victim)
        cost += victim.cost
    return PreemptionPlan(candidate, tuple(chosen), cost) if fits(spec, cpus, gpus, memory_gb) else None
