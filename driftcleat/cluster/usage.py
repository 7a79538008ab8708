"""What the tasks of one team may be using."""

from driftcleat.wire.users import JobSpec


class ResourceUsage:
    """What a team's tasks may be using, by possible presence."""

    __slots__ = ("cpus", "gpus", "tasks")

    def __init__(self) -> None:
        self.cpus = self.gpus = 0.0
        self.tasks = 0

    def add(self, spec: JobSpec, sign: int) -> None:
        """Count a task in or out."""
        self.tasks += sign
        self.cpus += sign * spec.cpus
        self.gpus += sign * spec.gpus
        if self.tasks == 0:
            self.cpus = self.gpus = 0.0
