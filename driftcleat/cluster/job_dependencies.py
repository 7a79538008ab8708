"""Keeps the dependency graph in step with the jobs: new jobs, ends of jobs, and the priorities that jobs inherit."""

from collections.abc import Iterable

from driftcleat.cluster.batch import Batch
from driftcleat.cluster.dependencies import NO_DEADLINE, DependencyGraph, OwnPriority
from driftcleat.cluster.jobs import Job, JobState


class JobDependencies:
    """Applies changes of jobs to the dependency graph, and the inherited priorities of the graph to the jobs."""

    def __init__(self, jobs: dict[str, Job], graph: DependencyGraph, ready_at: dict[str, float]) -> None:
        """`ready_at` maps a job to the time when its last dependency was done, in seconds of the monotonic clock."""
        self._jobs = jobs
        self._graph = graph
        self._ready_at = ready_at

    def add_job(self, job: Job, ended: dict[str, str]) -> None:
        """Add a job to the graph; `ended` holds the final states of its dependencies that have ended."""
        dependencies = job.spec.dependencies or ()
        if job.state is not JobState.ACTIVE:
            return
        unmet = [dependency for dependency in dependencies if ended.get(dependency) != JobState.DONE.value]
        cancelled = any(ended.get(dependency) == JobState.CANCELLED.value for dependency in dependencies)
        self._apply_priorities(self._graph.add(job.id, dependencies, unmet, _own_priority(job), cancelled))

    def _apply_priorities(self, changed: Iterable[str]) -> None:
        """Write the inherited priorities of these jobs to them."""
        for job_id in changed:
            job = self._jobs.get(job_id)
            if job is not None:
                inherited = self._graph.inherited_priority(job_id)
                job.priority_level = inherited.level
                job.start_deadline = inherited.deadline - job.spec.estimated_run_s

    def record_external_end(self, job_id: str, state: JobState, now: float) -> None:
        """Apply the end or the irrevocable cancellation of another scheduler's job that jobs here depend on."""
        self._apply_end(job_id, state, now)

    def apply_batch(self, batch: Batch, now: float) -> None:
        """Apply a committed batch to the graph: first the jobs that it created, then those that it ended."""
        for job_id in batch.created:
            job = batch.jobs[job_id]
            ended = {
                dependency: JobState.DONE.value
                for dependency in job.spec.dependencies or ()
                if dependency not in batch.unmet_dependencies[job_id]
            }
            self.add_job(job, ended)
        for job_id in batch.changed_jobs:
            job = batch.jobs[job_id]
            if job.state is JobState.ACTIVE:
                self._apply_priorities((job_id,))
                continue
            self._apply_end(job_id, job.state, now)
            self._apply_priorities(self._graph.remove(job_id))
            self._ready_at.pop(job_id, None)

    def _apply_end(self, job_id: str, state: JobState, now: float) -> None:
        """Release or cancel the dependents of a job that has ended."""
        if state is JobState.DONE:
            for ready in self._graph.record_done(job_id):
                self._ready_at[ready] = now
        else:
            self._graph.record_cancelled(job_id)


def _own_priority(job: Job) -> OwnPriority:
    """Return a job's own priority; its deadline counts from its submission, however long it is queued."""
    deadline_s = job.spec.deadline_s
    deadline = NO_DEADLINE if deadline_s is None else job.submitted_at + deadline_s
    return OwnPriority(job.spec.priority.level, deadline, job.spec.estimated_run_s)
