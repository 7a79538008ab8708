"""The deciding core's picture: jobs, tasks, machines, and the only functions that change their states."""

from .batch import Batch
from .cluster import Cluster
from .jobs import IllegalMoveError, Job, JobState, Place, TaskState, change_job, change_task
from .machines import Machine, MachineState, change_machine

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
]
