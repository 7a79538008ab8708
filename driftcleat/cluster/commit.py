"""Applies a committed batch to the cluster state."""

from driftcleat.cluster.batch import Batch
from driftcleat.cluster.jobs import Job, JobState
from driftcleat.cluster.machines import MachineState
from driftcleat.cluster.state import ClusterState
from driftcleat.cluster.usage import ResourceUsage


def apply_batch(cluster: ClusterState, batch: Batch, revision: int, now: float) -> None:
    """Apply a batch that the store has committed at `revision`."""
    for job_id in batch.changed_jobs:
        job = batch.jobs[job_id]
        if job_id in batch.changed_heads:
            job.mod_revision = revision
        for chunk in batch.changed_chunks.get(job_id, ()):
            job.chunk_mod_revisions[chunk] = revision
        cluster.jobs[job_id] = job
    cluster.job_dependencies.apply_batch(batch, now)
    _apply_task_transitions(cluster, batch, now)
    for job_id in batch.changed_jobs:
        _apply_job_state(cluster, batch.jobs[job_id])
    _forget_terminated_machines(cluster, batch)


def _forget_terminated_machines(cluster: ClusterState, batch: Batch) -> None:
    """Remove terminated machines whose last task the batch released."""
    changed = {
        placement.machine
        for transition in batch.task_transitions
        for placement in (transition.before, transition.after)
        if placement
    }
    for name in changed:
        machine = cluster.machines.get(name)
        if machine is not None and machine.state is MachineState.TERMINATED and not machine.tasks:
            del cluster.machines[name]


def _apply_job_state(cluster: ClusterState, job: Job) -> None:
    """Have the tasks of a cancelled job stopped; remove a job that has ended."""
    if job.state is JobState.CANCELLED:
        cluster.cancelled_jobs.add(job.id)
        cluster.mark_out_of_sync(job)
    elif job.state in (JobState.DONE, JobState.TERMINATED):
        cluster.cancelled_jobs.discard(job.id)
        del cluster.jobs[job.id]
        cluster.failures.forget(job.id)
        cluster.gang_restarts.forget(job.id)


def _apply_task_transitions(cluster: ClusterState, batch: Batch, now: float) -> None:
    """Apply changed placements to their machines and to the resource usage of their teams."""
    for transition in batch.task_transitions:
        before, after = transition.before, transition.after
        job = batch.jobs[transition.job_id]
        usage = cluster.team_usage.setdefault(job.spec.team, ResourceUsage())
        if before is None:
            usage.add(job.spec, 1)
        if after is None:
            usage.add(job.spec, -1)
        placement = after or before
        if placement is None:
            continue
        machine = cluster.machines.get(placement.machine)
        key = (transition.job_id, transition.task_index)
        if machine is None:
            unconfirmed = cluster.unconfirmed_placements.setdefault(placement.machine, {})
            if after is None:
                unconfirmed.pop(key, None)
            else:
                unconfirmed[key] = after
        elif after is None:
            machine.remove_task(key, job.spec, now, cluster.image_of)
        else:
            machine.add_task(key, after, job.spec)
