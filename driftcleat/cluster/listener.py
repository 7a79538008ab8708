"""The interface through which other parts of the leader receive events of the cluster state."""

from typing import Protocol

from driftcleat.cluster.jobs import Job
from driftcleat.cluster.machines import Machine


class ClusterListener(Protocol):
    """Receives events of the cluster state within the calls that cause them, and must not block."""

    def task_exited(self, machine: Machine, job: Job, reason: str) -> None:
        """Handle a task's exit that was added to a batch; `reason` is an `ExitReason` or an unknown value."""

    def machine_up(self) -> None:
        """Handle the first heartbeat of a machine."""

    def images_changed(self, machine: Machine) -> None:
        """Handle the completed fetch of an image on a machine."""

    def termination_noticed(self, machine: Machine, notice_s: float) -> None:
        """Handle a termination notice: the cloud will reclaim the machine in `notice_s` seconds."""


class NullListener:
    """Ignores all events; the cluster state uses it until a scheduler has set its own listener."""

    def task_exited(self, machine: Machine, job: Job, reason: str) -> None:
        """Do nothing when a task exits."""

    def machine_up(self) -> None:
        """Do nothing at the first heartbeat of a machine."""

    def images_changed(self, machine: Machine) -> None:
        """Do nothing when an image was fetched."""

    def termination_noticed(self, machine: Machine, notice_s: float) -> None:
        """Do nothing at a termination notice."""
