"""Take-over: reads all records, from which a new leader's picture in memory is made."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from driftcleat import wire
from driftcleat.cluster import ClusterState, Job
from driftcleat.scheduler import ScaleOutRequest, Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import StoreClient
from driftcleat.store.decoding import decode_jobs
from driftcleat.store.errors import MalformedResponseError
from driftcleat.store.keys import (
    BATCH_MARKER_KEY,
    CHUNKS_PREFIX,
    DATA_VERSION_KEY,
    ENDED_JOBS_PREFIX,
    JOBS_PREFIX,
    MACHINE_IMAGES_PREFIX,
    MACHINE_TYPES_KEY,
    SCALE_OUTS_PREFIX,
)
from driftcleat.store.layout import RecordLayout
from driftcleat.store.records import DATA_VERSION, EndedJobRecord, MachineImagesRecord, ScaleOutRecord
from driftcleat.wire.cloud import MachineType


@dataclass(frozen=True, slots=True)
class RecoveredTerm:
    """A term as the records tell it."""

    scheduler: Scheduler
    # The version of the key that names the last batch; 0: there never was one.
    marker_mod_revision: int
    machine_types_stored: bool


def new_layout(platform: Platform) -> RecordLayout:
    """Return the layout of records that the settings ask for."""
    return RecordLayout(
        platform.value_bytes,
        platform.txn_ops,
        platform.first_value_bytes,
        platform.first_txn_ops,
        platform.zones,
    )


async def recover(
    token: int,
    store: StoreClient,
    platform: Platform,
    tuning: Tuning,
    rng: random.Random,
    clock: Callable[[], float],
    wall: Callable[[], float],
    overload_pause_s: Callable[[], float],
) -> RecoveredTerm:
    """Read all records; from now on the picture in memory is the truth's copy."""
    version = await store.get(DATA_VERSION_KEY)
    heads, chunks, rentals, machines, types, mark = await asyncio.gather(
        store.list_all(JOBS_PREFIX),
        store.list_all(CHUNKS_PREFIX),
        store.list_all(SCALE_OUTS_PREFIX),
        store.list_all(MACHINE_IMAGES_PREFIX),
        store.get(MACHINE_TYPES_KEY),
        store.get(BATCH_MARKER_KEY),
    )
    written = wire.decode(bytes(version.value), int) if version is not None else 1
    if written > DATA_VERSION:
        raise MalformedResponseError(f"the records are of data version {written}, this program knows {DATA_VERSION}")
    jobs, orphans = await decode_jobs(heads, chunks)
    ended = await _ended_needs(store, jobs)
    layout = new_layout(platform)
    layout.version_2_active = written == DATA_VERSION
    known = wire.decode(bytes(types.value), tuple[MachineType, ...]) if types is not None else ()
    cluster = ClusterState(
        token, jobs, {machine_type.name: machine_type for machine_type in known}, clock(), platform.lease_s, ended
    )
    scheduler = Scheduler(
        platform,
        tuning,
        cluster,
        layout,
        rng,
        clock,
        wall,
        brand_new=mark is None,
        overload_pause_s=overload_pause_s,
    )
    for key_value in machines:
        name = key_value.key[len(MACHINE_IMAGES_PREFIX) :]
        scheduler.garbage_collector.restore_images(name, wire.decode(bytes(key_value.value), MachineImagesRecord))
    scheduler.garbage_collector.delete_later(orphans)
    for key_value in rentals:
        name = key_value.key[len(SCALE_OUTS_PREFIX) :]
        scheduler.scale_out.restore(ScaleOutRequest(name, wire.decode(bytes(key_value.value), ScaleOutRecord)))
    return RecoveredTerm(scheduler, mark.mod_revision if mark is not None else 0, types is not None)


async def _ended_needs(store: StoreClient, jobs: dict[str, Job]) -> dict[str, str]:
    """Return the final states of the jobs that others need and that are over."""
    over = sorted({need for job in jobs.values() for need in job.spec.dependencies or () if need not in jobs})
    key_values = await asyncio.gather(*(store.get(ENDED_JOBS_PREFIX + need) for need in over))
    return {
        need: wire.decode(bytes(key_value.value), EndedJobRecord).state
        for need, key_value in zip(over, key_values, strict=True)
        if key_value is not None
    }
