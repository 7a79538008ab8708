"""The deciding core's picture: jobs, tasks, machines, and the only functions that change their states."""

from driftcleat.cluster.batch import Batch
from driftcleat.cluster.commands import commands_for_heartbeat, stop_commands
from driftcleat.cluster.jobs import (
    IllegalTransitionError,
    Job,
    JobState,
    TaskPlacement,
    TaskState,
    transition_job,
    transition_task,
)
from driftcleat.cluster.machines import Machine, MachineState, transition_machine
from driftcleat.cluster.reconciliation import reconcile
from driftcleat.cluster.state import ClusterState

__all__ = [
    "Batch",
    "ClusterState",
    "IllegalTransitionError",
    "Job",
    "JobState",
    "Machine",
    "MachineState",
    "TaskPlacement",
    "TaskState",
    "commands_for_heartbeat",
    "reconcile",
    "stop_commands",
    "transition_job",
    "transition_machine",
    "transition_task",
]
