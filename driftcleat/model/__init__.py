"""The deciding core's picture: jobs, tasks, machines, and the only functions that change their states."""

from .batch import Batch
from .cluster import Cluster
from .commands import commands_for, stop_commands
from .jobs import IllegalMoveError, Job, JobState, Place, TaskState, change_job, change_task
from .machines import Machine, MachineState, change_machine
from .reconciliation import reconcile

__all__ = [
    "Batch",
    "Cluster",
    "IllegalMoveError",
    "Job",
    "JobState",
    "Machine",
    "MachineState",
    "Place",
    "TaskState",
    "change_job",
    "change_machine",
    "change_task",
    "commands_for",
    "reconcile",
    "stop_commands",
]
