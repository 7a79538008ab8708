"""What workers are told: the commands that follow from what is committed and from what they report."""

from driftcleat.cluster.machines import Machine, MachineState
from driftcleat.cluster.state import ClusterState
from driftcleat.wire import workers as wire_workers
from driftcleat.wire.workers import Command, Heartbeat


def commands_for_heartbeat(
    cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, starts: bool = True
) -> list[Command]:
    """Return the commands that answer a machine's newest report; starts are noted as offered.

    Without `starts` only what ends work: for a leader that cannot tell whether another has led since.
    """
    if machine.last_heartbeat is not heartbeat:
        return []
    machine.last_answered = (heartbeat.worker_epoch, heartbeat.sequence)
    if machine.in_sync:
        return []
    commands = _ends(cluster, machine, heartbeat)
    if machine.state is MachineState.UP and starts:
        commands.extend(_starts(cluster, machine, heartbeat))
        machine.in_sync = not commands and _shows_all(machine, heartbeat)
    return commands


def _ends(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
    """Return what ends work that is not wanted, and forgets exits that are committed."""
    commands: list[Command] = []
    for task in heartbeat.tasks:
        split = wire_workers.parse_task_name(task.task)
        placement = machine.tasks.get(split) if split is not None else None
        expected = placement is not None and placement.attempt == task.attempt
        if task.phase == wire_workers.TaskPhase.EXITED:
            # An exit is forgotten only once it is committed: its place is gone from the records then.
            if not expected:
                commands.append(Command(wire_workers.CommandAction.FORGET, task.task, task.attempt))
        elif not expected:
            commands.append(Command(wire_workers.CommandAction.STOP, task.task, task.attempt, 0.0))
    commands.extend(stop_commands(cluster, machine))
    return commands


def _starts(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
    """Return the starts of placed tasks that the report does not show."""
    commands: list[Command] = []
    for key, placement in machine.tasks.items():
        job = cluster.jobs.get(key[0])
        attempt = (key[0], key[1], placement.attempt)
        if job is None or cluster.must_not_run(job) or placement.stop_grace_s is not None:
            continue
        if attempt in cluster.attempts_being_released:
            # Guards against a task that ran twice, seen in the random walk: its machine was back at once, the
            # batch that gave its place up waited for the store, and the next report was told to start it again.
            continue
        if attempt in machine.reported_phases or (job.is_gang and attempt in machine.observed_attempts):
            continue
        if machine.unacknowledged_responses > 1:
            continue
        machine.starts_sent[attempt] = (heartbeat.worker_epoch, heartbeat.sequence)
        commands.append(
            Command(wire_workers.CommandAction.START, wire_workers.format_task_name(*key), placement.attempt)
        )
    return commands


def _shows_all(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether a report shows every committed task at work, each of them reconciled, and nothing else."""
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
            wire_workers.TaskPhase.EXITED,
        ):
            return False
    return True


def stop_commands(cluster: ClusterState, machine: Machine) -> list[Command]:
    """Return the stops that hold for a machine's tasks."""
    commands = []
    for key, placement in machine.tasks.items():
        job = cluster.jobs.get(key[0])
        if job is None:
            continue
        grace = 0.0 if cluster.must_not_run(job) else placement.stop_grace_s
        if grace is not None and machine.task_phases.get(key) != wire_workers.TaskPhase.EXITED:
            commands.append(
                Command(
                    wire_workers.CommandAction.STOP, wire_workers.format_task_name(*key), placement.attempt, grace
                )
            )
    return commands
