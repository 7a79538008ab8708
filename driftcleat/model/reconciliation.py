"""What the newest reports prove about placed tasks, put into a batch."""

import logging

from driftcleat.wire import workers as wire_workers

from .batch import Batch
from .cluster import Cluster
from .jobs import Job, JobState, Place, TaskState
from .machines import Machine, MachineState, TaskKey

log = logging.getLogger(__name__)

# A job whose tasks fail is retried after this long, twice as long after each further failure, up to the most.
FIRST_RETRY_S = 0.5
MOST_RETRY_S = 60.0
MOST_DOUBLINGS = 10
# A machine that had less room than our sums say gets no further task for so long.
NO_ROOM_PAUSE_S = 2.0


def reconcile(cluster: Cluster, machine: Machine, batch: Batch, now: float) -> bool:
    """Put into the batch what the newest report proves; False if the batch was too full for some of it.

    What lies in records that the batch changes anyway still finds room: under low limits, where a batch holds two
    records, that is most of what a burst of exits has to say.
    """
    if machine.state is MachineState.GONE:
        return _all_lost(cluster, machine, batch)
    report = machine.report
    if report is None or not machine.trusted:
        return True
    order = (report.session, report.seq)
    exits = {(task.task, task.attempt): task for task in report.tasks if task.state == wire_workers.EXITED}
    whole = True
    for key, place in list(machine.tasks.items()):
        job = batch.get(key[0])
        if job is None or job.places.get(key[1]) is None:
            continue
        attempt = (key[0], key[1], place.attempt)
        state = machine.reported.get(attempt)
        if state is None:
            whole = _absent(cluster, machine, job, key, place, order, batch) and whole
            continue
        machine.seen.add(attempt)
        if state != wire_workers.EXITED:
            continue
        if not batch.has_room_at(job, key[1]):
            whole = batch.awaits_migration(job) and whole
            continue
        exited = exits[(wire_workers.task_name(*key), place.attempt)]
        _exited(cluster, machine, job, key[1], exited.why or wire_workers.ERROR, batch, now)
    return whole


def _all_lost(cluster: Cluster, machine: Machine, batch: Batch) -> bool:
    whole = True
    for key in list(machine.tasks):
        job = batch.get(key[0])
        if job is None or job.places.get(key[1]) is None:
            continue
        if not batch.has_room_at(job, key[1]):
            whole = batch.awaits_migration(job) and whole
            continue
        _leave(batch, job, key[1])
    return whole


def _absent(
    cluster: Cluster,
    machine: Machine,
    job: Job,
    key: TaskKey,
    place: Place,
    order: tuple[int, int],
    batch: Batch,
) -> bool:
    """A task its machine does not list: proven off only if no start of it can still arrive."""
    attempt = (key[0], key[1], place.attempt)
    offered = machine.offered.get(attempt)
    if offered is not None and offered >= order:
        return True
    unwanted = job.state is not JobState.ACTIVE or job.places[key[1]].stop is not None
    draining = machine.state is not MachineState.UP
    # A gang cannot take a lost task back under the same attempt once it has started.
    lost = job.is_gang and attempt in machine.seen
    unresponsive = machine.unacknowledged > 1
    if not (unwanted or draining or lost or unresponsive):
        return True
    if not batch.has_room_at(job, key[1]):
        return batch.awaits_migration(job)
    _leave(batch, job, key[1])
    return True


def _exited(cluster: Cluster, machine: Machine, job: Job, index: int, why: str, batch: Batch, now: float) -> None:
    if why == wire_workers.DONE:
        batch.move(job.id, index, TaskState.DONE)
        batch.settle(job.id)
        cluster.failures.pop(job.id, None)
        machine.failed_jobs.clear()
    else:
        _leave(batch, job, index)
        if why in (wire_workers.ERROR, wire_workers.UNKNOWN, wire_workers.BUSY):
            _count_failure(cluster, machine, job, now, why == wire_workers.ERROR)
        elif why == wire_workers.NO_ROOM:
            # Our sums and the worker's differ: let it report again before it gets more.
            machine.full_until = max(machine.full_until, now + NO_ROOM_PAUSE_S)
    log.debug("task %s/%d left %s: %s", job.id, index, machine.name, why)
    cluster.on_exit(machine, job, why)


def _count_failure(cluster: Cluster, machine: Machine, job: Job, now: float, blame: bool) -> None:
    count = cluster.failures.get(job.id, 0) + 1
    cluster.failures[job.id] = count
    # A job with a mistake fails everywhere: it must not circle through all machines at full speed.
    cluster.retry_at[job.id] = now + min(MOST_RETRY_S, FIRST_RETRY_S * 2 ** min(count, MOST_DOUBLINGS))
    if blame:
        machine.failed_jobs.add(job.id)


def _leave(batch: Batch, job: Job, index: int) -> None:
    """A task is proven off its machine without being done; the rest of its gang must go too."""
    batch.move(job.id, index, TaskState.QUEUED)
    fresh = batch.jobs[job.id]
    if fresh.is_gang and fresh.state is JobState.ACTIVE:
        for other in list(fresh.places):
            batch.stop(job.id, other, 0.0)
    batch.settle(job.id)
