"""What the newest reports prove about placed tasks, put into a batch."""

import logging

from driftcleat.cluster.batch import Batch
from driftcleat.cluster.jobs import Job, JobState, TaskPlacement, TaskState
from driftcleat.cluster.machines import HeartbeatOrder, Machine, MachineState, TaskKey
from driftcleat.cluster.state import ClusterState
from driftcleat.wire import workers as wire_workers

log = logging.getLogger(__name__)

# A job whose tasks fail is retried after this long, twice as long after each further failure, up to the most.
FIRST_RETRY_S = 0.5
MOST_RETRY_S = 60.0
MOST_DOUBLINGS = 10
# A machine that had less room than our sums say gets no further task for so long.
NO_ROOM_PAUSE_S = 2.0


def reconcile(cluster: ClusterState, machine: Machine, batch: Batch, now: float) -> bool:
    """Put into the batch what the newest report proves; False if the batch was too full for some of it.

    What lies in records that the batch changes anyway still finds room: under low limits, where a batch holds two
    records, that is most of what a burst of exits has to say.
    """
    if machine.state is MachineState.TERMINATED:
        return _all_lost(cluster, machine, batch)
    heartbeat = machine.last_heartbeat
    if heartbeat is None or not machine.fence_acknowledged:
        return True
    order = (heartbeat.worker_epoch, heartbeat.sequence)
    exits = {
        (task.task, task.attempt): task for task in heartbeat.tasks if task.phase == wire_workers.TaskPhase.EXITED
    }
    whole = True
    for key, placement in list(machine.tasks.items()):
        job = batch.job(key[0])
        if job is None or job.placements.get(key[1]) is None:
            continue
        attempt = (key[0], key[1], placement.attempt)
        state = machine.reported_phases.get(attempt)
        if state is None:
            whole = _absent(cluster, machine, job, key, placement, order, batch) and whole
            continue
        machine.observed_attempts.add(attempt)
        if state != wire_workers.TaskPhase.EXITED:
            continue
        if not batch.has_room_for_exit(job, key[1]):
            whole = batch.must_migrate_first(job) and whole
            continue
        exited = exits[(wire_workers.format_task_name(*key), placement.attempt)]
        _exited(cluster, machine, job, key[1], exited.exit_reason or wire_workers.ExitReason.ERROR, batch, now)
    return whole


def _all_lost(cluster: ClusterState, machine: Machine, batch: Batch) -> bool:
    whole = True
    for key in list(machine.tasks):
        job = batch.job(key[0])
        if job is None or job.placements.get(key[1]) is None:
            continue
        if not batch.has_room_for_exit(job, key[1]):
            whole = batch.must_migrate_first(job) and whole
            continue
        _leave(batch, job, key[1])
    return whole


def _absent(
    cluster: ClusterState,
    machine: Machine,
    job: Job,
    key: TaskKey,
    placement: TaskPlacement,
    order: HeartbeatOrder,
    batch: Batch,
) -> bool:
    """A task its machine does not list: proven off only if no start of it can still arrive."""
    attempt = (key[0], key[1], placement.attempt)
    offered = machine.starts_sent.get(attempt)
    if offered is not None and offered >= order:
        return True
    unwanted = job.state is not JobState.ACTIVE or job.placements[key[1]].stop_grace_s is not None
    draining = machine.state is not MachineState.UP
    # A gang cannot take a lost task back under the same attempt once it has started.
    lost = job.is_gang and attempt in machine.observed_attempts
    unresponsive = machine.unacknowledged_responses > 1
    if not (unwanted or draining or lost or unresponsive):
        return True
    if not batch.has_room_for_exit(job, key[1]):
        return batch.must_migrate_first(job)
    _leave(batch, job, key[1])
    return True


def _exited(
    cluster: ClusterState, machine: Machine, job: Job, index: int, why: str, batch: Batch, now: float
) -> None:
    if why == wire_workers.ExitReason.DONE:
        batch.transition_task(job.id, index, TaskState.DONE)
        batch.finish_job_if_complete(job.id)
        cluster.failure_counts.pop(job.id, None)
        machine.failed_jobs.clear()
    else:
        _leave(batch, job, index)
        if why in (
            wire_workers.ExitReason.ERROR,
            wire_workers.ExitReason.UNKNOWN_JOB,
            wire_workers.ExitReason.OTHER_ATTEMPT_PRESENT,
        ):
            _count_failure(cluster, machine, job, now, why == wire_workers.ExitReason.ERROR)
        elif why == wire_workers.ExitReason.INSUFFICIENT_RESOURCES:
            # Our sums and the worker's differ: let it report again before it gets more.
            machine.no_placement_until = max(machine.no_placement_until, now + NO_ROOM_PAUSE_S)
    log.debug("task %s/%d left %s: %s", job.id, index, machine.name, why)
    cluster.listener.task_exited(machine, job, why)


def _count_failure(cluster: ClusterState, machine: Machine, job: Job, now: float, blame: bool) -> None:
    count = cluster.failure_counts.get(job.id, 0) + 1
    cluster.failure_counts[job.id] = count
    # A job with a mistake fails everywhere: it must not circle through all machines at full speed.
    cluster.retry_at[job.id] = now + min(MOST_RETRY_S, FIRST_RETRY_S * 2 ** min(count, MOST_DOUBLINGS))
    if blame:
        machine.failed_jobs.add(job.id)


def _leave(batch: Batch, job: Job, index: int) -> None:
    """A task is proven off its machine without being done; the rest of its gang must go too."""
    batch.transition_task(job.id, index, TaskState.QUEUED)
    fresh = batch.jobs[job.id]
    if fresh.is_gang and fresh.state is JobState.ACTIVE:
        for other in list(fresh.placements):
            batch.stop_task(job.id, other, 0.0)
    batch.finish_job_if_complete(job.id)
