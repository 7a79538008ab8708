"""The order in which jobs are placed, and which jobs may preempt which."""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from driftcleat.cluster.jobs import Job

# (beyond the team's guarantee, priority level, queued since, job id). A plain tuple, since a named tuple takes longer
# to create: each commit creates one for each queued job and two for each task that might be preempted.
SortKey = tuple[bool, int, float, str]


@dataclass(frozen=True, slots=True)
class FairShareOrder:
    """Guaranteed jobs first, then by priority (which may be inherited from a dependent job), then by age.

    A job that must start by a deadline, because another job depends on it, counts as submitted no later than
    `lead_time_s` seconds before that deadline.
    """

    guaranteed: AbstractSet[str] = field(default_factory=frozenset)
    lead_time_s: float = 0.0

    def sort_key(self, job: Job) -> SortKey:
        """Return a job's position in the queue: the lower, the earlier."""
        since = min(job.submitted_at, job.start_deadline - self.lead_time_s)
        return (job.id not in self.guaranteed, job.priority_level, since, job.id)

    def may_preempt(self, job: Job, other: Job) -> bool:
        """Return whether the protocol lets a job preempt tasks of another.

        The victim must also come later in the queue. Guards against a cycle in which a job is preempted by one behind
        it in the queue, is placed again at once on the same machine, and is preempted again.
        """
        lower_priority = other.priority_level > job.priority_level
        reclaims_guarantee = (
            job.id in self.guaranteed and other.id not in self.guaranteed and other.spec.team != job.spec.team
        )
        return (lower_priority or reclaims_guarantee) and self.sort_key(other) > self.sort_key(job)
