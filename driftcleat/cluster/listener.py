"""What other parts of the leader learn from the cluster state as it changes."""

from typing import Protocol

from driftcleat.cluster.jobs import Job
from driftcleat.cluster.machines import Machine


class ClusterListener(Protocol):
    """Receives events of the cluster state, in the call that causes them; it must not block."""

    def task_exited(self, machine: Machine, job: Job, reason: str) -> None:
        """A task's exit was put into a batch; `reason` as on the wire (`ExitReason`, or one that is unknown here)."""

    def machine_up(self) -> None:
        """A machine sent its first heartbeat."""

    def images_changed(self, machine: Machine) -> None:
        """A machine has fetched an image that it did not have."""

    def termination_noticed(self, machine: Machine, notice_s: float) -> None:
        """The cloud will take a machine away in `notice_s` seconds."""


class NullListener:
    """Ignores all events."""

    def task_exited(self, machine: Machine, job: Job, reason: str) -> None:
        """Ignore it."""

    def machine_up(self) -> None:
        """Ignore it."""

    def images_changed(self, machine: Machine) -> None:
        """Ignore it."""

    def termination_noticed(self, machine: Machine, notice_s: float) -> None:
        """Ignore it."""
