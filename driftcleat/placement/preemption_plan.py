"""Preemption plans: which tasks to stop on one machine so that another task fits there."""

from dataclasses import dataclass

from driftcleat.placement.candidates import Candidate, fits
from driftcleat.placement.victims import Victim
from driftcleat.wire.users import JobSpec


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """Stop these tasks (maybe none), so that a task finds room on a machine."""

    candidate: Candidate
    victims: tuple[Victim, ...]
    cost: float


def plan_preemption(spec: JobSpec, candidate: Candidate, victims: list[Victim]) -> PreemptionPlan | None:
    """Return the cheapest set of these tasks whose stop makes room for one task; empty if there is room already."""
    if (
        spec.id in candidate.failed_jobs
        or candidate.reserved_for not in (None, spec.id)
        or not candidate.allows(spec)
    ):
        return None
    cpus, gpus, memory_gb = candidate.cpus, candidate.gpus, candidate.memory_gb
    chosen: list[Victim] = []
    cost = 0.0
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if fits(spec, cpus, gpus, memory_gb):
            break
        other = victim.job.spec
        cpus, gpus, memory_gb = cpus + other.cpus, gpus + other.gpus, memory_gb + other.memory_gb
        chosen.append(victim)
        cost += victim.cost
    return PreemptionPlan(candidate, tuple(chosen), cost) if fits(spec, cpus, gpus, memory_gb) else None
