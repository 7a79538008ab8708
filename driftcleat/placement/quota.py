"""Quota: what a team may still use."""

from dataclasses import dataclass

from driftcleat.wire.users import JobSpec


@dataclass(slots=True)
class QuotaHeadroom:
    """What a team may still take; infinite where it has no limit."""

    cpus: float
    gpus: float

    def fits(self, spec: JobSpec, tasks: int) -> bool:
        """Tell whether that many tasks stay within the limit."""
        return spec.cpus * tasks <= self.cpus + 1e-6 and spec.gpus * tasks <= self.gpus + 1e-6

    def consume(self, spec: JobSpec, tasks: int) -> None:
        """Use up what tasks need."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
