"""Changes in flight: what the batch changes that is being committed."""

from driftcleat.cluster import Batch, ClusterState, JobState


class InFlightChanges:
    """The changes of the batch in flight, which no other decision may contradict until its commit or discard."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        # Machines on which the batch places or stops tasks; they are not scaled in until its commit or discard.
        self.machines: set[str] = set()
        # Jobs of which users may be told something else once the batch is committed: it creates, cancels or ends
        # them, or cancels one of their dependencies. The records may show the commit before its response arrives.
        self.undecided_jobs: set[str] = set()

    def record(self, batch: Batch) -> None:
        """Record the changes of a batch that is about to be committed."""
        self.machines = {placement.machine for _, _, _, placement in batch.task_transitions if placement is not None}
        self._cluster.attempts_being_released = {
            (job_id, index, old.attempt)
            for job_id, index, old, new in batch.task_transitions
            if old is not None and new is None
        }
        self.undecided_jobs = self._undecided_jobs(batch)

    def _undecided_jobs(self, batch: Batch) -> set[str]:
        undecided = set(batch.created)
        for job_id in batch.changed_jobs:
            state = batch.jobs[job_id].state
            if state is not JobState.ACTIVE:
                undecided.add(job_id)
            if state in (JobState.CANCELLED, JobState.TERMINATED):
                undecided |= self._cluster.dependencies.all_dependents(job_id)
        return undecided

    def clear(self) -> None:
        """Clear the changes after the batch was committed or discarded."""
        self.machines = set()
        self.undecided_jobs = set()
        self._cluster.attempts_being_released.clear()
        self._cluster.unconfirmed_cancellations.clear()
