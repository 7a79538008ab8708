"""What is still to be done about cancelled jobs whose tasks may be on machines."""

from driftcleat.cluster import Batch, JobState
from driftcleat.scheduler.context import SchedulerContext


class Cancellations:
    """Cancelled jobs, until every one of their tasks is proven gone."""

    def __init__(self, context: SchedulerContext, urgent: set[str]) -> None:
        self._platform, self._tuning = context.platform, context.tuning
        self._cluster, self._wall = context.cluster, context.wall
        # Machines to which stops are sent at once; shared with the term.
        self._urgent = urgent

    def jobs_still_placed(self, older_than_s: float = 0.0) -> dict[str, set[str]]:
        """Return the jobs cancelled longer ago than this whose tasks may still be on machines, and which machines."""
        wall = self._wall()
        out: dict[str, set[str]] = {}
        for job_id in self._cluster.cancelled_jobs:
            job = self._cluster.jobs[job_id]
            if wall - job.cancelled_at < older_than_s:
                continue
            machines = {
                placement.machine
                for index, placement in job.placements.items()
                if self._cluster.may_be_on_machine((job.id, index), placement)
            }
            if machines:
                out[job.id] = machines
        return out

    def machines_to_fence(self) -> set[str]:
        """Return machines that still may hold a cancelled task and must be gone before its time is up."""
        # Another controller's clock noted the cancellation: both may be off.
        wait_s = max(0.0, self._platform.cancel_s * self._tuning.fence - 2 * self._platform.clock_off_s)
        return set().union(*self.jobs_still_placed(wait_s).values())

    def stop_unconfirmed(self, batch: Batch) -> bool:
        """Stop the tasks of jobs whose cancellation is in a batch of unknown outcome; False if that is done already.

        The one exception to the change rule, and only while the store is away. Guards against a transaction that was
        carried out without our knowing: another controller reads the record and tells the user, the store is then
        down for longer than a cancellation has, and we keep the leases of those very tasks. Their user has asked for
        it, so nothing of worth is lost if the record says otherwise in the end; the tasks then queue again.
        """
        unconfirmed = {job_id for job_id in batch.changed_jobs if batch.jobs[job_id].state is JobState.CANCELLED}
        if unconfirmed <= self._cluster.unconfirmed_cancellations:
            return False
        self._cluster.unconfirmed_cancellations |= unconfirmed
        for job_id in unconfirmed:
            job = self._cluster.jobs.get(job_id)
            if job is not None:
                self._cluster.mark_out_of_sync(job)
                self._urgent.update(placement.machine for placement in job.placements.values())
        return True
