"""Cancelled jobs whose tasks may still be on machines: stopping them, and fencing the machines that do not react."""

from driftcleat.cluster import Batch, JobState
from driftcleat.scheduler.context import SchedulerContext

# The clocks of two controllers, ours and the one that stored the cancellation, may both be off.
CLOCKS_INVOLVED = 2


class Cancellations:
    """Follows cancelled jobs until every one of their tasks is proven gone."""

    def __init__(self, context: SchedulerContext) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._wall_clock = context.wall_clock
        self._urgent_stops = context.urgent_stops

    def jobs_still_placed(self, older_than_s: float = 0.0) -> dict[str, set[str]]:
        """Return the machines that may still hold tasks of a cancelled job, by job id.

        Only jobs that were cancelled at least `older_than_s` ago are looked at.
        """
        wall = self._wall_clock()
        machines_by_job: dict[str, set[str]] = {}
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
                machines_by_job[job.id] = machines
        return machines_by_job

    def machines_to_fence(self) -> set[str]:
        """Return machines that may still hold a cancelled task, and must be deleted before the deadline for it."""
        wait_s = max(
            0.0,
            self._platform.cancel_s * self._tuning.cancel_fence_share - CLOCKS_INVOLVED * self._platform.clock_off_s,
        )
        return set().union(*self.jobs_still_placed(wait_s).values())

    def stop_unconfirmed(self, batch: Batch) -> bool:
        """Stop the tasks of jobs whose cancellation is in a batch of unknown outcome; False if that is done already.

        The one exception to the rule that a change takes effect only after its commit, and only while the store is
        unreachable. Guards against a transaction that was committed without our knowing: another controller reads
        the record and confirms the cancellation to the user, the store is then down for longer than a cancellation
        may take, and we keep the leases of those very tasks alive. The user has asked for the stop, so nothing of
        worth is lost if the transaction turns out not to be committed; the tasks are then queued again.
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
