"""Changes in flight: the machines and attempts that are changed by the batch that is being committed."""

from driftcleat.cluster import Batch, ClusterState


class InFlightChanges:
    """The changes of the batch in flight, which no other decision may contradict until its commit or discard."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        # Machines on which the batch places or stops tasks; they are not scaled in until its commit or discard.
        self.machines: set[str] = set()

    def record(self, batch: Batch) -> None:
        """Record the changes of a batch that is about to be committed."""
        self.machines = {placement.machine for _, _, _, placement in batch.task_transitions if placement is not None}
        self._cluster.attempts_being_released = {
            (job_id, index, old.attempt)
            for job_id, index, old, new in batch.task_transitions
            if old is not None and new is None
        }

    def clear(self) -> None:
        """Clear the changes after the batch was committed or discarded."""
        self.machines = set()
        self._cluster.attempts_being_released.clear()
        self._cluster.unconfirmed_cancellations.clear()
