"""Schedulers built directly from a cluster state, without the reference model."""

import random
from collections.abc import Callable

from driftcleat.cluster import ClusterState, apply_heartbeat
from driftcleat.scheduler import PendingRequest, Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.store.encoding import encode_batch
from driftcleat.store.layout import RecordLayout
from driftcleat.wire.users import JobSpec
from driftcleat.wire.workers import Heartbeat

from .samples import MACHINE_TYPES, platform

# Fencing token of the leader in `scheduler_with_machines`.
FENCING_TOKEN = 5


def new_scheduler(
    site: Platform, cluster: ClusterState, now: list[float], clock: Callable[[], float] | None = None
) -> Scheduler:
    """Return a scheduler on an empty store; without `clock` it reads the time from `now[0]`."""
    return Scheduler(
        site,
        Tuning(),
        cluster,
        RecordLayout(site.value_bytes, site.txn_ops),
        random.Random(1),
        clock or (lambda: now[0]),
        lambda: now[0],
        is_new_store=True,
    )


def scheduler_with_machines(machines: int) -> tuple[Scheduler, list[float]]:
    """Return a scheduler with `machines` idle machines, and the list whose only item is its current time."""
    now = [0.0]
    site = platform()
    cluster = ClusterState(FENCING_TOKEN, {}, dict(MACHINE_TYPES), 0.0, site.lease_s)
    scheduler = new_scheduler(site, cluster, now)
    for number in range(machines):
        zone = ("north", "south")[number % 2]
        apply_heartbeat(cluster, Heartbeat(f"vm-{number}", "h", "big", zone, False, 1, 1, FENCING_TOKEN, ()), 0.0)
    return scheduler, now


def commit_next(scheduler: Scheduler) -> bool:
    """Build and commit the next batch; return False if it is empty."""
    batch = scheduler.build_batch()
    if batch.is_empty:
        return False
    number = scheduler.counters.batches + 1
    scheduler.apply_commit(
        batch, number, encode_batch(batch, scheduler.layout, FENCING_TOKEN, number, 0).obsolete_keys
    )
    return True


def commit_all(scheduler: Scheduler) -> None:
    """Commit batches until one is empty."""
    while commit_next(scheduler):
        pass


def commit_submissions(scheduler: Scheduler, *specs: JobSpec) -> None:
    """Submit jobs and commit them without placing a task; placement is enabled when this returns."""
    scheduler.pacing.placement_starts_at = float("inf")
    for spec in specs:
        scheduler.admission.submit(PendingRequest(lambda status: None, spec))
    commit_all(scheduler)
    scheduler.pacing.placement_starts_at = 0.0
    scheduler.pacing.record_change()
