"""Changes in flight: what the batch that is being committed does to machines and attempts."""

from driftcleat.cluster import Batch, ClusterState


class InFlightChanges:
    """What no decision outside the batch in flight may contradict, until the batch is committed or discarded."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        # The machines that tasks are placed on, or stopped on: they are not scaled in meanwhile.
        self.machines: set[str] = set()

    def record(self, batch: Batch) -> None:
        """Record a batch that was built, and is about to be committed."""
        self.machines = {placement.machine for _, _, _, placement in batch.task_transitions if placement is not None}
        self._cluster.attempts_being_released = {
            (job_id, index, old.attempt)
            for job_id, index, old, new in batch.task_transitions
            if old is not None and new is None
        }

    def clear(self) -> None:
        """Record that no batch is in flight: the last one was committed or discarded."""
        self.machines = set()
        self._cluster.attempts_being_released.clear()
        self._cluster.unconfirmed_cancellations.clear()
