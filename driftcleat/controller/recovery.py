"""Recovery after a failover: a new leader reads all records and rebuilds the cluster state from them."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

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
from driftcleat.wire.state import KeyValue


class RecoveredTerm(NamedTuple):
    """The state with which a leader term begins."""

    scheduler: Scheduler
    # The mod revision of the batch marker; 0 if no batch was ever committed.
    marker_mod_revision: int
    # Whether the machine types are stored already.
    machine_types_stored: bool


class _Records(NamedTuple):
    """All stored records, still encoded except for the data version."""

    data_version: int
    job_heads: list[KeyValue]
    job_chunks: list[KeyValue]
    scale_outs: list[KeyValue]
    machine_images: list[KeyValue]
    machine_types: KeyValue | None
    batch_marker: KeyValue | None


def new_layout(platform: Platform) -> RecordLayout:
    """Return the record layout for the platform's limits, with data version 1 active."""
    return RecordLayout(
        platform.value_bytes,
        platform.txn_ops,
        platform.version_1_value_bytes,
        platform.version_1_txn_ops,
        platform.zones,
    )


async def recover(
    token: int,
    store: StoreClient,
    platform: Platform,
    tuning: Tuning,
    rng: random.Random,
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
    overload_pause_s: Callable[[], float],
) -> RecoveredTerm:
    """Read all records, and build the scheduler of the term with this fencing token from them.

    `clock` is monotonic, `wall_clock` returns the time of day; both in seconds. Raises `StoreError` if the records
    cannot be read, `MalformedResponseError` if their data version is newer than this program.
    """
    records = await _read_records(store)
    jobs, orphans = await decode_jobs(records.job_heads, records.job_chunks)
    ended = await _read_ended_dependencies(store, jobs)
    layout = new_layout(platform)
    layout.version_2_active = records.data_version == DATA_VERSION
    cluster = ClusterState(token, jobs, _decode_machine_types(records), clock(), platform.lease_s, ended)
    scheduler = Scheduler(
        platform,
        tuning,
        cluster,
        layout,
        rng,
        clock,
        wall_clock,
        is_new_store=records.batch_marker is None,
        overload_pause_s=overload_pause_s,
    )
    _restore_machine_images(scheduler, records)
    scheduler.garbage_collector.delete_later(orphans)
    _restore_scale_outs(scheduler, records)
    marker_mod_revision = records.batch_marker.mod_revision if records.batch_marker is not None else 0
    return RecoveredTerm(scheduler, marker_mod_revision, records.machine_types is not None)


async def _read_records(store: StoreClient) -> _Records:
    version = await store.get(DATA_VERSION_KEY)
    job_heads, job_chunks, scale_outs, machine_images, machine_types, batch_marker = await asyncio.gather(
        store.list_all(JOBS_PREFIX),
        store.list_all(CHUNKS_PREFIX),
        store.list_all(SCALE_OUTS_PREFIX),
        store.list_all(MACHINE_IMAGES_PREFIX),
        store.get(MACHINE_TYPES_KEY),
        store.get(BATCH_MARKER_KEY),
    )
    data_version = wire.decode(bytes(version.value), int) if version is not None else 1
    if data_version > DATA_VERSION:
        raise MalformedResponseError(
            f"the records have data version {data_version}; this program supports up to {DATA_VERSION}"
        )
    return _Records(data_version, job_heads, job_chunks, scale_outs, machine_images, machine_types, batch_marker)


async def _read_ended_dependencies(store: StoreClient, jobs: dict[str, Job]) -> dict[str, str]:
    """Return the final states, by job id, of the ended jobs on which other jobs depend."""
    ended = sorted(
        {dependency for job in jobs.values() for dependency in job.spec.dependencies or () if dependency not in jobs}
    )
    key_values = await asyncio.gather(*(store.get(ENDED_JOBS_PREFIX + dependency) for dependency in ended))
    return {
        dependency: wire.decode(bytes(key_value.value), EndedJobRecord).state
        for dependency, key_value in zip(ended, key_values, strict=True)
        if key_value is not None
    }


def _decode_machine_types(records: _Records) -> dict[str, MachineType]:
    if records.machine_types is None:
        return {}
    known = wire.decode(bytes(records.machine_types.value), tuple[MachineType, ...])
    return {machine_type.name: machine_type for machine_type in known}


def _restore_machine_images(scheduler: Scheduler, records: _Records) -> None:
    for key_value in records.machine_images:
        name = key_value.key[len(MACHINE_IMAGES_PREFIX) :]
        scheduler.garbage_collector.restore_images(name, wire.decode(bytes(key_value.value), MachineImagesRecord))


def _restore_scale_outs(scheduler: Scheduler, records: _Records) -> None:
    for key_value in records.scale_outs:
        name = key_value.key[len(SCALE_OUTS_PREFIX) :]
        scheduler.scale_out.restore(ScaleOutRequest(name, wire.decode(bytes(key_value.value), ScaleOutRecord)))
