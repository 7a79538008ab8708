"""The status of a job that is shown to users."""

from driftcleat.cluster.jobs import Job, JobState
from driftcleat.cluster.state import ClusterState
from driftcleat.wire.users import JobStatus
from driftcleat.wire.workers import TaskPhase

# Enum members bound to module names: looking one up costs several times a comparison, and is done for every task.
RUNNING = TaskPhase.RUNNING


def user_job_status(cluster: ClusterState, job: Job) -> JobStatus:
    """Return a job's status for users; a job whose dependency was cancelled is shown as cancelled at once."""
    if job.state is not JobState.ACTIVE:
        state = JobState.DONE if job.state is JobState.DONE else JobState.CANCELLED
        return JobStatus(job.id, state.value, job.tasks_done, 0)
    if job.id in cluster.dependencies.pending_cancellations:
        return JobStatus(job.id, JobState.CANCELLED.value, 0, 0)
    running = 0
    for index, placement in job.placements.items():
        machine = cluster.machines.get(placement.machine)
        if machine is not None and machine.task_phases.get((job.id, index)) == RUNNING:
            running += 1
    return JobStatus(job.id, "running" if running else "pending", job.tasks_done, running)
