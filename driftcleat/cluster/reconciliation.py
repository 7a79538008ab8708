"""Reconciliation: appends to a batch what the last heartbeats prove about placed tasks."""

import logging

from driftcleat.cluster.batch import Batch
from driftcleat.cluster.job_failures import EXCLUSION_S
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement, TaskState
from driftcleat.cluster.machines import AttemptKey, Machine, MachineState, TaskKey
from driftcleat.cluster.state import ClusterState
from driftcleat.wire import workers as wire_workers
from driftcleat.wire.workers import TaskPhase

log = logging.getLogger(__name__)

# Enum members bound to module names: looking one up costs several times a comparison, and is done for every task.
EXITED = TaskPhase.EXITED

# Pause of placements, in seconds, on a machine that had fewer free resources than its accounted usage says.
INSUFFICIENT_RESOURCES_PAUSE_S = 2.0


def reconcile(cluster: ClusterState, machine: Machine, batch: Batch, now: float) -> bool:
    """Append to a batch what a machine's last heartbeat proves; return False if some of it did not fit.

    After a change that does not fit, the others are still tried: changes of records that the batch writes already
    fit. Under low limits, where a batch holds two records, these are most of a burst of exits.
    """
    if machine.state is MachineState.TERMINATED:
        return _release_all(machine, batch)
    heartbeat = machine.last_heartbeat
    if heartbeat is None or not machine.fence_acknowledged:
        return True
    exits = {(task.task, task.attempt): task for task in heartbeat.tasks if task.phase == EXITED}
    complete = True
    for key, placement in list(machine.tasks.items()):
        job = batch.job(key[0])
        if job is None or job.placements.get(key[1]) is None:
            continue
        attempt = (key[0], key[1], placement.attempt)
        phase = machine.reported_phases.get(attempt)
        if phase is None:
            complete = _reconcile_absent(machine, job, key, placement, batch) and complete
            continue
        machine.observed_attempts.add(attempt)
        if phase != EXITED or machine.start_unanswered(attempt) or _restarts(cluster, machine, job, attempt):
            continue
        if not batch.has_room_for_exit(job, key[1]):
            complete = batch.must_wait(job) and complete
            continue
        exited = exits[(wire_workers.format_task_name(*key), placement.attempt)]
        _apply_exit(cluster, machine, job, key[1], exited.exit_reason or wire_workers.ExitReason.ERROR, batch, now)
    return complete


def _restarts(cluster: ClusterState, machine: Machine, job: Job, attempt: AttemptKey) -> bool:
    """Return whether an attempt that exited is started again in place; not if this batch stops its gang."""
    return job.placements[attempt[1]].stop_grace_s is None and cluster.restarts_in_place(machine, attempt)


def _release_all(machine: Machine, batch: Batch) -> bool:
    """Release the tasks of a terminated machine; return False if some did not fit into the batch."""
    complete = True
    for key in list(machine.tasks):
        job = batch.job(key[0])
        if job is None or job.placements.get(key[1]) is None:
            continue
        if not batch.has_room_for_exit(job, key[1]):
            complete = batch.must_wait(job) and complete
            continue
        _release(batch, job, key[1])
    return complete


def _reconcile_absent(
    machine: Machine,
    job: Job,
    key: TaskKey,
    placement: TaskPlacement,
    batch: Batch,
) -> bool:
    """Release a task that its machine does not list, if no start command for it can still arrive.

    Returns False if the release did not fit into the batch.
    """
    attempt = (key[0], key[1], placement.attempt)
    if machine.start_unanswered(attempt):
        return True
    unwanted = job.state is not JobState.ACTIVE or job.placements[key[1]].stop_grace_s is not None
    draining = machine.state is not MachineState.UP
    # Once a gang has started, a lost task cannot rejoin it under the same attempt.
    lost = job.is_gang and attempt in machine.observed_attempts
    unresponsive = machine.unacknowledged_responses > 1
    if not (unwanted or draining or lost or unresponsive):
        return True
    if not batch.has_room_for_exit(job, key[1]):
        return batch.must_wait(job)
    _release(batch, job, key[1])
    return True


def _apply_exit(
    cluster: ClusterState, machine: Machine, job: Job, index: int, reason: str, batch: Batch, now: float
) -> None:
    """Append a task's exit to the batch, and count a failure against its job."""
    if reason == wire_workers.ExitReason.DONE:
        batch.transition_task(job.id, index, TaskState.DONE)
        batch.finish_job_if_complete(job.id)
        cluster.failures.record_success(job.id)
        machine.failed_jobs.clear()
    else:
        _release(batch, job, index)
        if reason == wire_workers.ExitReason.ERROR:
            cluster.failures.record(job.id, machine.name, now)
            machine.failed_jobs[job.id] = now + EXCLUSION_S
        elif reason in (wire_workers.ExitReason.UNKNOWN_JOB, wire_workers.ExitReason.OTHER_ATTEMPT_PRESENT):
            cluster.failures.record_refusal(job.id, now)
        elif reason == wire_workers.ExitReason.INSUFFICIENT_RESOURCES:
            # The leader's accounting and the worker's differ: wait for further heartbeats before placing more.
            machine.no_placement_until = max(machine.no_placement_until, now + INSUFFICIENT_RESOURCES_PAUSE_S)
    log.debug("task %s/%d left machine %s: %s", job.id, index, machine.name, reason)
    cluster.listener.task_exited(machine, job, reason)


def _release(batch: Batch, job: Job, index: int) -> None:
    """Requeue a task that left its machine without being done, and stop the rest of its gang."""
    batch.transition_task(job.id, index, TaskState.QUEUED)
    changed = batch.jobs[job.id]
    if changed.is_gang and changed.state is JobState.ACTIVE:
        for other in list(changed.placements):
            batch.stop_task(job.id, other, 0.0)
    batch.finish_job_if_complete(job.id)
