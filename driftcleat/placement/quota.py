"""Quota headroom: the resources that a team may still use."""

from dataclasses import dataclass

from driftcleat.placement.candidates import ROUNDING_TOLERANCE
from driftcleat.wire.users import JobSpec


@dataclass(slots=True)
class QuotaHeadroom:
    """The resources that a team may still use; infinite if the team has no upper limit."""

    cpus: float
    gpus: float

    def fits(self, spec: JobSpec, tasks: int) -> bool:
        """Return whether `tasks` more tasks stay within the team's limit."""
        return (
            spec.cpus * tasks <= self.cpus + ROUNDING_TOLERANCE
            and spec.gpus * tasks <= self.gpus + ROUNDING_TOLERANCE
        )

    def consume(self, spec: JobSpec, tasks: int) -> None:
        """Subtract the resources of `tasks` tasks."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
