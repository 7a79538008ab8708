"""Takes a worker's heartbeat into the cluster state: liveness, task phases, orphaned tasks, what to reconcile."""

import logging

from driftcleat.cluster.machines import AttemptKey, Machine, MachineState, TaskKey, transition_machine
from driftcleat.cluster.state import ClusterState
from driftcleat.wire import workers as wire_workers
from driftcleat.wire.workers import Heartbeat

log = logging.getLogger(__name__)


def apply_heartbeat(cluster: ClusterState, heartbeat: Heartbeat, now: float) -> Machine | None:
    """Take in a report; None if it is stale or from a machine that is proven gone."""
    if heartbeat.machine in cluster.terminated_machines:
        return None
    known = cluster.machines.get(heartbeat.machine)
    if known is not None and known.last_heartbeat is not None:
        last = (known.last_heartbeat.worker_epoch, known.last_heartbeat.sequence)
        if (heartbeat.worker_epoch, heartbeat.sequence) <= last:
            # A report held back by a cut: its task list is as old as itself.
            return None
    if known is not None and known.in_sync and _repeats(heartbeat, known.last_heartbeat):
        known.last_heartbeat, known.last_heartbeat_at = heartbeat, now
        return known
    machine = cluster.register_machine(
        heartbeat.machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, heartbeat.address, now
    )
    machine.in_sync = False
    _count_unacknowledged(cluster, machine, heartbeat, now)
    if machine.state is MachineState.BOOTING:
        transition_machine(machine, MachineState.UP)
        machine.idle_since = now
        cluster.listener.machine_up()
    previous = machine.last_heartbeat
    machine.last_heartbeat, machine.last_heartbeat_at = heartbeat, now
    # Only a worker that has seen our token drops the answers of the leader before us: until then a
    # start of that leader may still reach it, and its report proves nothing about absent tasks.
    machine.fence_acknowledged = heartbeat.fencing_token == cluster.fencing_token
    _read_tasks(cluster, machine, heartbeat, previous)
    if heartbeat.termination_notice_s is not None and machine.fence_acknowledged and machine.state is MachineState.UP:
        cluster.listener.termination_noticed(machine, heartbeat.termination_notice_s)
    return machine


def _count_unacknowledged(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
    """Count reports that do not show what the answers to earlier ones said.

    Guards against a machine whose reports arrive while our answers do not reach it: it looks alive, its tasks
    ended with its lease, and starts were offered to it for ever.
    """
    if machine.last_answered is None:
        return
    lapsed = (
        machine.last_heartbeat is not None
        and heartbeat.worker_epoch > machine.last_heartbeat.worker_epoch
        and now - machine.last_heartbeat_at < cluster.lease_s
    )
    unresponsive = heartbeat.fencing_token < cluster.fencing_token or lapsed
    if not unresponsive and machine.starts_sent:
        listed = {
            (split[0], split[1], task.attempt)
            for task in heartbeat.tasks
            if (split := wire_workers.parse_task_name(task.task)) is not None
        }
        unresponsive = any(
            order < (heartbeat.worker_epoch, heartbeat.sequence)
            and attempt not in listed
            and attempt not in machine.observed_attempts
            for attempt, order in machine.starts_sent.items()
        )
    if not unresponsive:
        machine.unacknowledged_responses = 0
        return
    if not machine.unacknowledged_responses:
        machine.unacknowledged_since = now
    machine.unacknowledged_responses += 2 if lapsed else 1


def _read_tasks(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, previous: Heartbeat | None) -> None:
    reported: dict[AttemptKey, str] = {}
    changed = previous is None or previous.tasks != heartbeat.tasks or previous.worker_epoch != heartbeat.worker_epoch
    if not changed:
        newly_trusted = previous is None or previous.fencing_token != heartbeat.fencing_token
        if machine.fence_acknowledged and (newly_trusted or needs_reconciliation(cluster, machine)):
            cluster.machines_to_reconcile.add(machine.name)
        return
    if previous is not None and previous.worker_epoch != heartbeat.worker_epoch:
        machine.task_phases.clear()
    live: set[TaskKey] = set()
    for task in heartbeat.tasks:
        split = wire_workers.parse_task_name(task.task)
        if split is None:
            continue
        reported[(split[0], split[1], task.attempt)] = task.phase
        if task.phase != wire_workers.TaskPhase.EXITED:
            live.add(split)
            placement = machine.tasks.get(split)
            if placement is None or placement.attempt != task.attempt:
                cluster.orphaned_tasks.record(split, machine.name)
            elif machine.task_phases.get(split) != task.phase:
                machine.task_phases[split] = task.phase
                log.debug("task %s on %s: %s", task.task, machine.name, task.phase)
                image = cluster.image_of(split)
                if (
                    task.phase != wire_workers.TaskPhase.FETCHING
                    and image is not None
                    and image not in machine.fetched_images
                ):
                    machine.fetched_images.add(image)
                    cluster.listener.images_changed(machine)
    machine.reported_phases = reported
    cluster.orphaned_tasks.keep_only(machine.name, live)
    cluster.machines_to_reconcile.add(machine.name)


def needs_reconciliation(cluster: ClusterState, machine: Machine) -> bool:
    """Whether the newest report, although it lists the same tasks, may prove something."""
    return any(
        (key[0], key[1], placement.attempt) not in machine.reported_phases for key, placement in machine.tasks.items()
    ) or cluster.has_uncommitted_exits(machine)


def _repeats(heartbeat: Heartbeat, previous: Heartbeat | None) -> bool:
    """Whether a report says nothing that the one before it did not say."""
    return (
        previous is not None
        and heartbeat.termination_notice_s is None
        and heartbeat.worker_epoch == previous.worker_epoch
        and heartbeat.fencing_token == previous.fencing_token
        and heartbeat.tasks == previous.tasks
    )
