"""The order in which jobs get their places."""

from collections.abc import Set
from dataclasses import dataclass, field

from driftcleat.cluster.jobs import Job

SortKey = tuple[bool, int, float, str]


@dataclass(frozen=True, slots=True)
class FairShareOrder:
    """Guarantees first, then rank (also that of a job which needs this one), then age.

    A job that has to start within `allowance_s` for the deadline of one that needs it goes as if it had been
    submitted earlier by what it lacks.
    """

    guaranteed: Set[str] = field(default_factory=frozenset)
    allowance_s: float = 0.0

    def sort_key(self, job: Job) -> SortKey:
        """Return a job's turn: the lower, the earlier."""
        since = min(job.submitted_at, job.start_deadline - self.allowance_s)
        return (job.id not in self.guaranteed, job.priority_level, since, job.id)

    def may_preempt(self, job: Job, other: Job) -> bool:
        """Whether the protocol lets a job's need stop another's task.

        What is stopped must also come later in the queue. Guards against a circle seen in an incident: a job was
        stopped for one that came behind it, took the place again at once, and was stopped again.
        """
        lower_rank = other.priority_level > job.priority_level
        beyond = job.id in self.guaranteed and other.id not in self.guaranteed and other.spec.team != job.spec.team
        return (lower_rank or beyond) and self.sort_key(other) > self.sort_key(job)
