"""The fleet in one line of the log."""

from driftcleat.cluster import ClusterState, MachineState


def fleet_summary(cluster: ClusterState) -> str:
    """Return machines by type and use, and queued tasks by class, for the log."""
    rows: dict[str, list[int]] = {}
    for machine in cluster.machines.values():
        name = f"{machine.type.name if machine.type else '?'}{'*' if machine.spot else ''}"
        row = rows.setdefault(name, [0, 0, 0, 0])
        row[0] += 1
        row[1] += machine.state is MachineState.BOOTING
        row[2] += not machine.tasks
        row[3] += round(machine.type.gpus - machine.used_gpus) if machine.type else 0
    queued: dict[str, int] = {}
    for job in cluster.jobs.values():
        queued[job.spec.job_class] = queued.get(job.spec.job_class, 0) + job.tasks_queued
    text = ", ".join(
        f"{name}: {row[0]} ({row[1]} booting, {row[2]} empty, {row[3]} free gpus)"
        for name, row in sorted(rows.items())
    )
    return f"{text}; queued {queued}"
