"""Summarizes the fleet and the queue in one log line."""

from dataclasses import dataclass

from driftcleat.cluster import ClusterState, MachineState


@dataclass(slots=True)
class _TypeSummary:
    """Counts of the machines of one type, on-demand or spot."""

    machines: int = 0
    booting: int = 0
    empty: int = 0
    free_gpus: int = 0

    def __str__(self) -> str:
        return f"{self.machines} ({self.booting} booting, {self.empty} empty, {self.free_gpus} free gpus)"


def fleet_summary(cluster: ClusterState) -> str:
    """Return the machines by type, with a `*` for spot instances, and the queued tasks by job class."""
    summaries: dict[str, _TypeSummary] = {}
    for machine in cluster.machines.values():
        name = f"{machine.type.name if machine.type else '?'}{'*' if machine.spot else ''}"
        summary = summaries.setdefault(name, _TypeSummary())
        summary.machines += 1
        summary.booting += machine.state is MachineState.BOOTING
        summary.empty += not machine.tasks
        summary.free_gpus += round(machine.type.gpus - machine.used_gpus) if machine.type else 0
    queued: dict[str, int] = {}
    for job in cluster.jobs.values():
        queued[job.spec.job_class] = queued.get(job.spec.job_class, 0) + job.tasks_queued
    types = ", ".join(f"{name}: {summaries[name]}" for name in sorted(summaries))
    return f"{types}; queued {queued}"
