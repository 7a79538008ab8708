"""Applies a worker's heartbeat to the cluster state: liveness, task phases, orphaned tasks, what to reconcile."""

import logging

from driftcleat.cluster.machines import AttemptKey, Machine, MachineState, TaskKey, transition_machine
from driftcleat.cluster.state import ClusterState
from driftcleat.wire import workers as wire_workers
from driftcleat.wire.workers import ExitReason, Heartbeat, TaskPhase

log = logging.getLogger(__name__)

# Enum members bound to module names: looking one up costs several times a comparison, and is done for every task.
EXITED = TaskPhase.EXITED
FETCHING = TaskPhase.FETCHING
GANG_INCOMPLETE = ExitReason.GANG_INCOMPLETE


def apply_heartbeat(cluster: ClusterState, heartbeat: Heartbeat, now: float) -> Machine | None:
    """Apply a heartbeat and return its machine; None if the heartbeat is out of date or the machine is terminated."""
    if heartbeat.machine in cluster.terminated_machines:
        return None
    known = cluster.machines.get(heartbeat.machine)
    if known is not None and known.last_heartbeat is not None:
        last = (known.last_heartbeat.worker_epoch, known.last_heartbeat.sequence)
        if (heartbeat.worker_epoch, heartbeat.sequence) <= last:
            # A heartbeat delayed by the network: its list of tasks is out of date.
            return None
    if known is not None and known.in_sync and _is_unchanged(heartbeat, known.last_heartbeat):
        known.last_heartbeat = heartbeat
        known.last_heartbeat_at = now
        return known
    machine = cluster.register_machine(
        heartbeat.machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, heartbeat.address, now
    )
    machine.in_sync = False
    _count_unacknowledged_responses(cluster, machine, heartbeat, now)
    if machine.state is MachineState.BOOTING:
        transition_machine(machine, MachineState.UP)
        machine.idle_since = now
        cluster.listener.machine_up()
    previous = machine.last_heartbeat
    machine.last_heartbeat = heartbeat
    machine.last_heartbeat_at = now
    # Only a worker that has seen our fencing token drops the responses of the previous leader: until then a start
    # command of that leader may still reach it, and the absence of a task from its heartbeat proves nothing.
    machine.fence_acknowledged = heartbeat.fencing_token == cluster.fencing_token
    _apply_tasks(cluster, machine, heartbeat, previous)
    if heartbeat.termination_notice_s is not None and machine.fence_acknowledged and machine.state is MachineState.UP:
        cluster.listener.termination_noticed(machine, heartbeat.termination_notice_s)
    return machine


def _count_unacknowledged_responses(
    cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, now: float
) -> None:
    """Count heartbeats that do not show the effect of earlier heartbeat responses.

    Guards against a machine whose heartbeats arrive while the responses to them are lost: it looks alive although its
    tasks end when its worker lease expires, and start commands would be sent to it forever.
    """
    if machine.last_responded is None:
        return
    lease_expired = (
        machine.last_heartbeat is not None
        and heartbeat.worker_epoch > machine.last_heartbeat.worker_epoch
        and now - machine.last_heartbeat_at < cluster.lease_s
    )
    unresponsive = heartbeat.fencing_token < cluster.fencing_token or lease_expired
    if not unresponsive and machine.starts_sent:
        listed = {
            (key[0], key[1], task.attempt)
            for task in heartbeat.tasks
            if (key := wire_workers.parse_task_name(task.task)) is not None
        }
        unresponsive = any(
            sent < (heartbeat.worker_epoch, heartbeat.sequence)
            and attempt not in listed
            and attempt not in machine.observed_attempts
            for attempt, sent in machine.starts_sent.items()
        )
    if not unresponsive:
        machine.unacknowledged_responses = 0
        return
    if not machine.unacknowledged_responses:
        machine.unacknowledged_since = now
    machine.unacknowledged_responses += 2 if lease_expired else 1


def _apply_tasks(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat, previous: Heartbeat | None) -> None:
    """Apply a heartbeat's tasks, and queue the machine for reconciliation if they may prove that one has left it."""
    new_epoch = previous is None or previous.worker_epoch != heartbeat.worker_epoch
    if previous is not None and not new_epoch and previous.tasks == heartbeat.tasks:
        newly_acknowledged = previous.fencing_token != heartbeat.fencing_token
        if machine.fence_acknowledged and (newly_acknowledged or needs_reconciliation(cluster, machine)):
            cluster.machines_to_reconcile.add(machine.name)
        return
    if new_epoch:
        machine.task_phases.clear()
    _apply_phases(cluster, machine, heartbeat)
    cluster.machines_to_reconcile.add(machine.name)


def _apply_phases(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat) -> None:
    """Apply the phases of a heartbeat's tasks: record orphaned tasks, changed phases and fetched images."""
    phases: dict[AttemptKey, str] = {}
    live: set[TaskKey] = set()
    machine.gang_waits_ended.clear()
    for task in heartbeat.tasks:
        key = wire_workers.parse_task_name(task.task)
        if key is None:
            continue
        phases[(key[0], key[1], task.attempt)] = task.phase
        if task.phase != EXITED:
            live.add(key)
            placement = machine.tasks.get(key)
            if placement is None or placement.attempt != task.attempt:
                cluster.orphaned_tasks.record(key, machine.name)
            elif machine.task_phases.get(key) != task.phase:
                machine.task_phases[key] = task.phase
                log.debug("task %s on machine %s: %s", task.task, machine.name, task.phase)
                image = cluster.image_of(key)
                if task.phase != FETCHING and image is not None and image not in machine.fetched_images:
                    machine.fetched_images.add(image)
                    cluster.listener.images_changed(machine)
        elif task.exit_reason == GANG_INCOMPLETE:
            machine.gang_waits_ended.add((key[0], key[1], task.attempt))
    machine.reported_phases = phases
    cluster.orphaned_tasks.keep_only(machine.name, live)


def needs_reconciliation(cluster: ClusterState, machine: Machine) -> bool:
    """Return whether the last heartbeat may release or end a task although it lists the same tasks as before."""
    return any(
        (key[0], key[1], placement.attempt) not in machine.reported_phases for key, placement in machine.tasks.items()
    ) or cluster.has_uncommitted_exits(machine)


def _is_unchanged(heartbeat: Heartbeat, previous: Heartbeat | None) -> bool:
    """Return whether a heartbeat differs from the previous one only in its sequence number."""
    return (
        previous is not None
        and heartbeat.termination_notice_s is None
        and heartbeat.worker_epoch == previous.worker_epoch
        and heartbeat.fencing_token == previous.fencing_token
        and heartbeat.tasks == previous.tasks
    )
