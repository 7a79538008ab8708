"""The order in which jobs get their places."""

from collections.abc import Set
from dataclasses import dataclass, field

from driftcleat.model.jobs import Job

Turn = tuple[bool, int, float, str]


@dataclass(frozen=True, slots=True)
class Order:
    """Guarantees first, then rank (also that of a job which needs this one), then age.

    A job that has to start within `allowance_s` for the deadline of one that needs it goes as if it had been
    submitted earlier by what it lacks.
    """

    guaranteed: Set[str] = field(default_factory=frozenset)
    allowance_s: float = 0.0

    def turn(self, job: Job) -> Turn:
        """Return a job's turn: the lower, the earlier."""
        since = min(job.submitted, job.start_by - self.allowance_s)
        return (job.id not in self.guaranteed, job.level, since, job.id)

    def may_displace(self, job: Job, other: Job) -> bool:
        """Whether the protocol lets a job's need stop another's task.

        What is stopped must also come later in the queue. Guards against a circle seen in an incident: a job was
        stopped for one that came behind it, took the place again at once, and was stopped again.
        """
        lower_rank = other.level > job.level
        beyond = job.id in self.guaranteed and other.id not in self.guaranteed and other.spec.team != job.spec.team
        return (lower_rank or beyond) and self.turn(other) > self.turn(job)
