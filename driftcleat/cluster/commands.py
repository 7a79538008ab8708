"""Derives the commands for a worker from the committed state and the worker's last heartbeat."""

from driftcleat.cluster.machines import Machine, MachineState
from driftcleat.cluster.state import ClusterState
from driftcleat.wire import workers as wire_workers
from driftcleat.wire.workers import Command, CommandAction, Heartbeat, TaskPhase

# Enum members bound to module names: looking one up costs several times a comparison, and is done for every task.
EXITED = TaskPhase.EXITED
START = CommandAction.START
STOP = CommandAction.STOP
FORGET = CommandAction.FORGET


def commands_for_heartbeat(
    cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, send_starts: bool = True
) -> list[Command]:
    """Return the commands of a heartbeat response, and record its start commands as sent.

    If `send_starts` is false, only commands that end tasks are returned: a leader that cannot rule out another leader
    must start none.
    """
    if machine.last_heartbeat is not heartbeat:
        return []
    machine.last_responded = (heartbeat.worker_epoch, heartbeat.sequence)
    if machine.in_sync:
        return []
    commands = _stop_and_forget_commands(cluster, machine, heartbeat)
    if machine.state is MachineState.UP and send_starts:
        commands.extend(_start_commands(cluster, machine, heartbeat))
        machine.in_sync = not commands and _shows_committed_state(machine, heartbeat)
    return commands


def _stop_and_forget_commands(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
    """Return stop commands for tasks that must not run, and forget commands for exits that are committed."""
    commands: list[Command] = []
    for task in heartbeat.tasks:
        key = wire_workers.parse_task_name(task.task)
        placement = machine.tasks.get(key) if key is not None else None
        expected = placement is not None and placement.attempt == task.attempt
        if task.phase == EXITED:
            # A worker may forget an exit only once it is committed: the job's record has no such placement then.
            if not expected:
                commands.append(Command(FORGET, task.task, task.attempt))
        elif not expected:
            commands.append(Command(STOP, task.task, task.attempt, 0.0))
    commands.extend(stop_commands(cluster, machine))
    return commands


def _start_commands(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
    """Return start commands for placed tasks that the heartbeat does not list, or that are restarted in place."""
    commands: list[Command] = []
    for key, placement in machine.tasks.items():
        job = cluster.jobs.get(key[0])
        attempt = (key[0], key[1], placement.attempt)
        if job is None or cluster.must_not_run(job) or placement.stop_grace_s is not None:
            continue
        if attempt in cluster.attempts_being_released:
            # Guards against running a task twice: its machine reconnects while the batch that releases the placement
            # is in flight, and the next heartbeat response would start the released attempt again.
            continue
        restarts = attempt in machine.gang_waits_ended and cluster.may_restart_now(machine, attempt)
        is_known = attempt in machine.reported_phases or (job.is_gang and attempt in machine.observed_attempts)
        if is_known and not restarts:
            continue
        if machine.unacknowledged_responses > 1:
            continue
        if restarts:
            # The worker starts an attempt that it knows only after it has forgotten it.
            commands.append(Command(FORGET, wire_workers.format_task_name(*key), placement.attempt))
        machine.starts_sent[attempt] = (heartbeat.worker_epoch, heartbeat.sequence)
        commands.append(Command(START, wire_workers.format_task_name(*key), placement.attempt))
    return commands


def _shows_committed_state(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat lists every committed task as live and reconciled, and no other task."""
    if (
        not machine.fence_acknowledged
        or machine.unacknowledged_responses
        or len(heartbeat.tasks) != len(machine.tasks)
    ):
        return False
    for key, placement in machine.tasks.items():
        attempt = (key[0], key[1], placement.attempt)
        if attempt not in machine.observed_attempts or machine.reported_phases.get(attempt) in (
            None,
            EXITED,
        ):
            return False
    return True


def stop_commands(cluster: ClusterState, machine: Machine) -> list[Command]:
    """Return stop commands for those of a machine's placed tasks that must stop."""
    commands = []
    for key, placement in machine.tasks.items():
        job = cluster.jobs.get(key[0])
        if job is None:
            continue
        grace = 0.0 if cluster.must_not_run(job) else placement.stop_grace_s
        if grace is not None and machine.task_phases.get(key) != EXITED:
            commands.append(Command(STOP, wire_workers.format_task_name(*key), placement.attempt, grace))
    return commands
