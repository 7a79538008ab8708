"""The resource usage of one team."""

from driftcleat.wire.users import JobSpec


class ResourceUsage:
    """CPUs, GPUs and number of a team's placed tasks; a task counts until its release is committed."""

    __slots__ = ("cpus", "gpus", "tasks")

    def __init__(self) -> None:
        self.cpus = 0.0
        self.gpus = 0.0
        self.tasks = 0

    def add(self, spec: JobSpec, sign: int) -> None:
        """Add a task (`sign` 1) or remove one (`sign` -1)."""
        self.tasks += sign
        self.cpus += sign * spec.cpus
        self.gpus += sign * spec.gpus
        if self.tasks == 0:
            # Floating-point sums accumulate rounding errors: without a task, the usage is exactly zero.
            self.cpus = 0.0
            self.gpus = 0.0
