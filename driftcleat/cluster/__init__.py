"""The cluster state of one leader term: jobs, tasks, machines, and the only functions that change their states."""

from driftcleat.cluster.batch import Batch, TaskTransition
from driftcleat.cluster.commands import commands_for_heartbeat, stop_commands
from driftcleat.cluster.commit import apply_batch
from driftcleat.cluster.heartbeat_intake import apply_heartbeat, needs_reconciliation
from driftcleat.cluster.job_status import user_job_status
from driftcleat.cluster.jobs import (
    IllegalTransitionError,
    Job,
    JobState,
    TaskPlacement,
    TaskState,
    transition_job,
    transition_task,
)
from driftcleat.cluster.listener import ClusterListener
from driftcleat.cluster.machines import Machine, MachineState, transition_machine
from driftcleat.cluster.reconciliation import reconcile
from driftcleat.cluster.state import ClusterState

__all__ = [
    "Batch",
    "ClusterListener",
    "ClusterState",
    "IllegalTransitionError",
    "Job",
    "JobState",
    "Machine",
    "MachineState",
    "TaskPlacement",
    "TaskState",
    "TaskTransition",
    "apply_batch",
    "apply_heartbeat",
    "commands_for_heartbeat",
    "needs_reconciliation",
    "reconcile",
    "stop_commands",
    "transition_job",
    "transition_machine",
    "transition_task",
    "user_job_status",
]
