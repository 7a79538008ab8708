"""What workers are told: the commands that follow from what is committed and from what they report."""

from driftcleat.wire import workers as wire_workers
from driftcleat.wire.workers import Report, Signal

from .cluster import Cluster
from .machines import Machine, MachineState


def commands_for(cluster: Cluster, machine: Machine, report: Report, starts: bool = True) -> list[Signal]:
    """Return the commands that answer a machine's newest report; starts are noted as offered.

    Without `starts` only what ends work: for a leader that cannot tell whether another has led since.
    """
    if machine.report is not report:
        return []
    machine.answered = (report.session, report.seq)
    if machine.steady:
        return []
    signals = _ends(cluster, machine, report)
    if machine.state is MachineState.UP and starts:
        signals.extend(_starts(cluster, machine, report))
        machine.steady = not signals and _shows_all(machine, report)
    return signals


def _ends(cluster: Cluster, machine: Machine, report: Report) -> list[Signal]:
    """Return what ends work that is not wanted, and forgets exits that are committed."""
    signals: list[Signal] = []
    for task in report.tasks:
        split = wire_workers.split_task(task.task)
        place = machine.tasks.get(split) if split is not None else None
        expected = place is not None and place.attempt == task.attempt
        if task.state == wire_workers.EXITED:
            # An exit is forgotten only once it is committed: its place is gone from the records then.
            if not expected:
                signals.append(Signal(wire_workers.FORGET, task.task, task.attempt))
        elif not expected:
            signals.append(Signal(wire_workers.STOP, task.task, task.attempt, 0.0))
    signals.extend(stop_commands(cluster, machine))
    return signals


def _starts(cluster: Cluster, machine: Machine, report: Report) -> list[Signal]:
    """Return the starts of placed tasks that the report does not show."""
    signals: list[Signal] = []
    for key, place in machine.tasks.items():
        job = cluster.jobs.get(key[0])
        attempt = (key[0], key[1], place.attempt)
        if job is None or cluster.runs_no_more(job) or place.stop is not None:
            continue
        if attempt in cluster.leaving:
            # Guards against a task that ran twice, seen in the random walk: its machine was back at once, the
            # batch that gave its place up waited for the store, and the next report was told to start it again.
            continue
        if attempt in machine.reported or (job.is_gang and attempt in machine.seen):
            continue
        if machine.unacknowledged > 1:
            continue
        machine.offered[attempt] = (report.session, report.seq)
        signals.append(Signal(wire_workers.START, wire_workers.task_name(*key), place.attempt))
    return signals


def _shows_all(machine: Machine, report: Report) -> bool:
    """Whether a report shows every committed task at work, each of them reconciled, and nothing else."""
    if not machine.trusted or machine.unacknowledged or len(report.tasks) != len(machine.tasks):
        return False
    for key, place in machine.tasks.items():
        attempt = (key[0], key[1], place.attempt)
        if attempt not in machine.seen or machine.reported.get(attempt) in (None, wire_workers.EXITED):
            return False
    return True


def stop_commands(cluster: Cluster, machine: Machine) -> list[Signal]:
    """Return the stops that hold for a machine's tasks."""
    signals = []
    for key, place in machine.tasks.items():
        job = cluster.jobs.get(key[0])
        if job is None:
            continue
        grace = 0.0 if cluster.runs_no_more(job) else place.stop
        if grace is not None and machine.phases.get(key) != wire_workers.EXITED:
            signals.append(Signal(wire_workers.STOP, wire_workers.task_name(*key), place.attempt, grace))
    return signals
