"""Cancelled jobs whose tasks may still be on machines: stops the tasks and finds machines that must be fenced."""

from driftcleat.cluster import Batch, JobState
from driftcleat.scheduler.context import SchedulerContext

# Two clocks may be off: this controller's and that of the controller that stored the cancellation.
CLOCKS_INVOLVED = 2


class Cancellations:
    """Finds the machines that may still hold tasks of cancelled jobs."""

    def __init__(self, context: SchedulerContext) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._wall_clock = context.wall_clock
        self._urgent_stops = context.urgent_stops

    def jobs_still_placed(self, older_than_s: float = 0.0) -> dict[str, set[str]]:
        """Return the machines that may still hold tasks of a cancelled job, by job id.

        Jobs that were cancelled less than `older_than_s` seconds ago are left out.
        """
        wall_clock_s = self._wall_clock()
        machines_by_job: dict[str, set[str]] = {}
        for job_id in self._cluster.cancelled_jobs:
            job = self._cluster.jobs[job_id]
            if wall_clock_s - job.cancelled_at < older_than_s:
                continue
            machines = {
                placement.machine
                for index, placement in job.placements.items()
                if self._cluster.may_be_on_machine((job.id, index), placement)
            }
            if machines:
                machines_by_job[job.id] = machines
        return machines_by_job

    def machines_to_fence(self) -> set[str]:
        """Return machines that may still hold a cancelled task and must be deleted to meet the cancel deadline."""
        wait_s = max(
            0.0,
            self._platform.cancel_s * self._tuning.cancel_fence_share - CLOCKS_INVOLVED * self._platform.clock_off_s,
        )
        return set().union(*self.jobs_still_placed(wait_s).values())

    def stop_unconfirmed(self, batch: Batch) -> bool:
        """Stop the tasks of jobs whose cancellation is in a batch of unknown outcome.

        Return False if those tasks are being stopped already. This is the only change that takes effect before its
        commit, and only while the store is unreachable. The transaction may be committed without this controller
        knowing: another controller then confirms the cancellation to the user, and if the store stays down for longer
        than a cancellation may take, this controller would keep the worker leases of the cancelled tasks alive. If
        the transaction turns out not to be committed, the tasks are queued again; the user wanted them to stop.
        """
        unconfirmed = {job_id for job_id in batch.changed_jobs if batch.jobs[job_id].state is JobState.CANCELLED}
        if unconfirmed <= self._cluster.unconfirmed_cancellations:
            return False
        self._cluster.unconfirmed_cancellations |= unconfirmed
        for job_id in unconfirmed:
            job = self._cluster.jobs.get(job_id)
            if job is not None:
                self._cluster.mark_out_of_sync(job)
                self._urgent_stops.update(placement.machine for placement in job.placements.values())
        return True
