"""Take-over: reads all records, from which a new leader's picture in memory is made."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from driftcleat import wire
from driftcleat.model import Cluster, Job
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import MalformedError, StoreClient
from driftcleat.store.records import (
    BATCH,
    CHUNKS,
    DATA_VERSION,
    ENDED,
    JOBS,
    MACHINES,
    RENTALS,
    TYPES,
    VERSION,
    EndedRecord,
    Layout,
    MachineRecord,
    RentalRecord,
    load_jobs,
)
from driftcleat.term import OpenRental, Term
from driftcleat.wire.cloud import MachineType


@dataclass(frozen=True, slots=True)
class Rebuilt:
    """A term as the records tell it."""

    term: Term
    # The version of the key that names the last batch; 0: there never was one.
    mark_version: int
    types_stored: bool


def new_layout(platform: Platform) -> Layout:
    """Return the layout of records that the settings ask for."""
    return Layout(
        platform.value_bytes,
        platform.txn_ops,
        platform.first_value_bytes,
        platform.first_txn_ops,
        platform.zones,
    )


async def rebuild(
    token: int,
    store: StoreClient,
    platform: Platform,
    tuning: Tuning,
    rng: random.Random,
    clock: Callable[[], float],
    wall: Callable[[], float],
) -> Rebuilt:
    """Read all records; from now on the picture in memory is the truth's copy."""
    version = await store.get(VERSION)
    heads, chunks, rentals, machines, types, mark = await asyncio.gather(
        store.read_all(JOBS),
        store.read_all(CHUNKS),
        store.read_all(RENTALS),
        store.read_all(MACHINES),
        store.get(TYPES),
        store.get(BATCH),
    )
    written = wire.decode(bytes(version.value), int) if version is not None else 1
    if written > DATA_VERSION:
        raise MalformedError(f"the records are of data version {written}, this program knows {DATA_VERSION}")
    jobs, orphans = await load_jobs(heads, chunks)
    ended = await _ended_needs(store, jobs)
    layout = new_layout(platform)
    layout.switched = written == DATA_VERSION
    known = wire.decode(bytes(types.value), tuple[MachineType, ...]) if types is not None else ()
    cluster = Cluster(token, jobs, {kind.name: kind for kind in known}, clock(), platform.lease_s, ended)
    term = Term(platform, tuning, cluster, layout, rng, clock, wall, brand_new=mark is None)
    for item in machines:
        name = item.key[len(MACHINES) :]
        term.housekeeping.restore_images(name, wire.decode(bytes(item.value), MachineRecord))
    term.housekeeping.garbage.extend(orphans)
    for item in rentals:
        name = item.key[len(RENTALS) :]
        term.rentals.restore(OpenRental(name, wire.decode(bytes(item.value), RentalRecord)))
    return Rebuilt(term, mark.version if mark is not None else 0, types is not None)


async def _ended_needs(store: StoreClient, jobs: dict[str, Job]) -> dict[str, str]:
    """Return the final states of the jobs that others need and that are over."""
    over = sorted({need for job in jobs.values() for need in job.spec.needs or () if need not in jobs})
    items = await asyncio.gather(*(store.get(ENDED + need) for need in over))
    return {
        need: wire.decode(bytes(item.value), EndedRecord).state
        for need, item in zip(over, items, strict=True)
        if item is not None
    }
