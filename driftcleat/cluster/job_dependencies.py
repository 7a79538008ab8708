"""Keeps the dependency graph in step with the jobs: new jobs, ends of jobs, and the priorities that jobs inherit."""

from collections.abc import Iterable

from driftcleat.cluster.batch import Batch
from driftcleat.cluster.dependencies import NO_DEADLINE, DependencyGraph, OwnPriority
from driftcleat.cluster.jobs import Job, JobState


class JobDependencies:
    """Applies what happens to jobs to the dependency graph, and writes its results back to the jobs."""

    def __init__(self, jobs: dict[str, Job], graph: DependencyGraph, ready_at: dict[str, float]) -> None:
        """`ready_at`: when a job that waited for others became ready, on this controller's clock, in seconds."""
        self._jobs = jobs
        self._graph = graph
        self._ready_at = ready_at

    def add_job(self, job: Job, ended: dict[str, str]) -> None:
        """Take a job into the graph of needs."""
        needs = job.spec.dependencies or ()
        if job.state is not JobState.ACTIVE:
            return
        unmet = [need for need in needs if ended.get(need) != JobState.DONE.value]
        cancelled = any(ended.get(need) == JobState.CANCELLED.value for need in needs)
        self._record_priorities(self._graph.add(job.id, needs, unmet, _own_urgency(job), cancelled))

    def _record_priorities(self, changed: Iterable[str]) -> None:
        """Keep with each of these jobs how urgent it is."""
        for job_id in changed:
            job = self._jobs.get(job_id)
            if job is not None:
                inherited = self._graph.inherited_priority(job_id)
                job.priority_level = inherited.level
                job.start_deadline = inherited.deadline - job.spec.estimated_run_s

    def record_external_end(self, job_id: str, state: JobState, now: float) -> None:
        """A job that ours need, and that is homed elsewhere, has ended, or is certain to end as cancelled."""
        if state is JobState.DONE:
            for ready in self._graph.record_done(job_id):
                self._ready_at[ready] = now
        else:
            self._graph.record_cancelled(job_id)

    def apply_batch(self, batch: Batch, now: float) -> None:
        """Bring the graph up to date: first who came, then what ended."""
        for job_id in batch.created:
            job = batch.jobs[job_id]
            ended = {
                need: JobState.DONE.value
                for need in job.spec.dependencies or ()
                if need not in batch.unmet_dependencies[job_id]
            }
            self.add_job(job, ended)
        for job_id in batch.changed_jobs:
            job = batch.jobs[job_id]
            if job.state is JobState.ACTIVE:
                self._record_priorities((job_id,))
                continue
            if job.state is JobState.DONE:
                for ready in self._graph.record_done(job_id):
                    self._ready_at[ready] = now
            else:
                self._graph.record_cancelled(job_id)
            self._record_priorities(self._graph.remove(job_id))
            self._ready_at.pop(job_id, None)


def _own_urgency(job: Job) -> OwnPriority:
    """Return how urgent a job is by itself; its deadline counts from its submission, however long it waits."""
    deadline_s = job.spec.deadline_s
    due = NO_DEADLINE if deadline_s is None else job.submitted_at + deadline_s
    return OwnPriority(job.spec.priority.level, due, job.spec.estimated_run_s)
