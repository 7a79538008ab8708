"""Gangs at the limits of the state service: what is accepted can be placed, stopped and ended in single batches."""

from itertools import product
from typing import Any

import pytest

from driftcleat.cluster import Batch, Job, TaskPlacement, TaskState
from driftcleat.controller import recovery
from driftcleat.store.encoding import MAX_TRANSACTION_BYTES, encode_batch
from driftcleat.store.layout import RecordLayout
from driftcleat.store.records import ScaleOutRecord
from driftcleat.store.size_bounds import MAX_BATCH_BYTES
from driftcleat.wire.users import JobSpec

from .samples import job, raw_job
from .scheduler_fixtures import commit_next, commit_submissions, scheduler_with_machines
from .simulation import Simulation

JOB = "req-000001"
# The limits that the settings announce in the simulated tests.
LOWERED = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 70.0}
LONGEST_MACHINE_NAME = "vm-9999999"
MAX_TASKS = 100_000


def gang(hands: int, **changes: Any) -> JobSpec:
    """Return a gang whose tasks each take most of a machine."""
    return job(1, **({"rig": "group", "hands": hands, "cores": 9.0, "accelerators": 0.0} | changes))


def raw_gang(hands: int, **changes: Any) -> dict[str, Any]:
    """Return a submission of the same gang; it runs for a few seconds."""
    same = {"rig": "group", "hands": hands, "cores": 9.0, "accelerators": 0.0, "voyageS": 10.0, "builds": ["big"]}
    return raw_job(1, **(same | changes))


def new_layout(value_kb: float, txn_ops: int, next_value_kb: float, next_txn_ops: int, active: bool) -> RecordLayout:
    """Return a layout for current and announced limits; `active` tells whether data version 2 is active."""
    zones = ("north", "a-zone-with-a-long-name")
    layout = RecordLayout(int(next_value_kb * 1024), next_txn_ops, int(value_kb * 1024), txn_ops, zones)
    layout.version_2_active = active
    return layout


def new_batch(layout: RecordLayout, stored: Job) -> Batch:
    return Batch({stored.id: stored}, layout, layout.max_operations - 1, MAX_BATCH_BYTES)


def commit(batch: Batch, layout: RecordLayout) -> Job:
    """Check that a batch is within all limits when it is encoded, and return its job as it is stored then."""
    encoded = encode_batch(batch, layout, 5, 1, 0)
    assert len(encoded.body) <= MAX_TRANSACTION_BYTES and encoded.operation_count <= layout.max_operations
    (stored,) = batch.jobs.values()
    return stored


LIMITS = [(16.0, 12, 2.0, 4), (8.0, 24, 2.0, 8), (8.0, 24, 8.0, 24), (16.0, 12, 16.0, 12), (64.0, 100, 64.0, 100)]


@pytest.mark.parametrize(
    ("limits", "active", "checkpoint_s"), product(LIMITS, [False, True], [2.0, 12.345678901234567]), ids=str
)
def test_largest_accepted_gang_fits_whatever_happens_to_it(
    limits: tuple[float, int, float, int], active: bool, checkpoint_s: float
) -> None:
    """Guards against an accepted gang whose records outgrow a value, or of which no change fits a batch."""
    layout = new_layout(*limits, active)
    tasks = layout.max_gang_tasks(gang(MAX_TASKS, stowS=checkpoint_s))
    assert 1 < tasks < MAX_TASKS and layout.max_gang_tasks(gang(tasks, stowS=checkpoint_s)) == tasks
    assert layout.max_gang_tasks(gang(tasks + 1, stowS=checkpoint_s)) == tasks
    stored = Job(gang(tasks, stowS=checkpoint_s), 1_765_060_000.123456)
    layout.assign_tasks_per_record(stored)
    stored.mod_revision = 1
    stored.last_attempt = 999_998
    records = range(layout.chunk_of(stored, tasks - 1) + 1)

    batch = new_batch(layout, stored)
    assert batch.has_room(stored, tasks, records)
    attempt = batch.next_attempt(JOB)
    for index in range(tasks):
        placement = TaskPlacement(f"{LONGEST_MACHINE_NAME[:-6]}{index:06d}", "a-zone-with-a-long-name", attempt)
        batch.transition_task(JOB, index, TaskState.PLACED, placement)
    placed = commit(batch, layout)

    batch = new_batch(layout, placed)
    assert batch.has_room(placed, 0, records)
    for index in range(tasks):
        batch.stop_task(JOB, index, checkpoint_s)
    stopped = commit(batch, layout)

    for committed, state in ((placed, TaskState.DONE), (stopped, TaskState.QUEUED)):
        batch = new_batch(layout, committed)
        assert batch.has_room_for_exit(committed, 0)
        for index in range(tasks):
            batch.transition_task(JOB, index, state)
        batch.finish_job_if_complete(JOB)
        commit(batch, layout)


@pytest.mark.parametrize("value_kb", [2.0, 8.0, 57.0, 64.0])
def test_full_record_of_an_array_can_be_changed(value_kb: float) -> None:
    """Guards against records that take a whole value of a size that leaves no room in a batch."""
    layout = new_layout(value_kb, 24, value_kb, 24, True)
    stored = Job(job(1, hands=3000, stowS=12.345678901234567), 1_765_060_000.123456)
    layout.assign_tasks_per_record(stored)
    for index in range(layout.tasks_per_record(stored)):
        stored.task_states[index] = TaskState.PLACED
        stored.placements[index] = TaskPlacement(f"vm-{index:06d}", "north", index)
    batch = new_batch(layout, stored)
    assert batch.has_room_for_exit(stored, 0)
    batch.transition_task(JOB, 0, TaskState.QUEUED)
    commit(batch, layout)


def test_large_gang_on_a_draining_machine_is_stopped_as_a_whole() -> None:
    """Guards against a drain that never fits a batch, and holds up the drains of all other machines."""
    scheduler, now = scheduler_with_machines(900)
    commit_submissions(scheduler, gang(850))
    while not scheduler.cluster.jobs[JOB].placements and now[0] < 60.0:
        now[0] += 0.5
        commit_next(scheduler)
    machine = scheduler.cluster.machines[scheduler.cluster.jobs[JOB].placements[0].machine]
    scheduler.drainer.drain(machine, "test")
    commit_next(scheduler)
    placements = scheduler.cluster.jobs[JOB].placements.values()
    assert len(placements) == 850 and all(placement.stop_grace_s is not None for placement in placements)


def boot_machines(simulation: Simulation, count: int) -> None:
    simulation.max_machines = count
    for _ in range(count):
        simulation.boot(ScaleOutRecord("big", "north", False, 1, 0.0))


def max_gang_tasks(simulation: Simulation, version_2_active: bool = True) -> int:
    """Return the size of the largest gang under the current and the announced limits of the simulated site."""
    layout = recovery.new_layout(simulation.platform)
    layout.version_2_active = version_2_active
    return layout.max_gang_tasks(gang(MAX_TASKS, voyageS=10.0, builds=["big"]))


def test_largest_gang_under_lowered_limits_runs_and_a_larger_one_is_refused() -> None:
    """Guards against a gang that is accepted under announced limits and whose placement never fits a value."""

    async def scenario(simulation: Simulation) -> None:
        simulation.lower_limits()
        await simulation.advance(5.0)
        tasks = max_gang_tasks(simulation)
        status, answer = await simulation.request("POST", "/v1/jobs", raw_gang(tasks + 1))
        assert status == 422 and f"at most {tasks} tasks" in answer["error"] and answer["field"] == "hands"
        boot_machines(simulation, tasks + 2)
        await simulation.submit_until_accepted(raw_gang(tasks))
        await simulation.wait_until_done(JOB, 90.0)

    Simulation(1, next=LOWERED).run_scenario(scenario)


@pytest.mark.parametrize("hands", [30, 60, 100])
def test_gang_under_lowered_limits_is_refused_or_runs(hands: int) -> None:
    """Guards against the same at sizes at which a record with a row for each task is above the lowered limit."""

    async def scenario(simulation: Simulation) -> None:
        simulation.lower_limits()
        boot_machines(simulation, hands)
        await simulation.advance(5.0)
        raw = raw_gang(hands)
        status, _ = await simulation.request("POST", "/v1/jobs", raw)
        if status != 422:
            await simulation.submit_until_accepted(raw)
            await simulation.wait_until_done(JOB, 90.0)

    Simulation(2, next=LOWERED).run_scenario(scenario)


@pytest.mark.parametrize("placed_before", [False, True])
def test_gang_accepted_before_the_limits_are_lowered_runs(placed_before: bool) -> None:
    """Guards against a gang of data version 1 whose records fit the old limits, and no division the lowered ones."""

    async def scenario(simulation: Simulation) -> None:
        simulation.old_version_controllers = {"b", "c"}
        await simulation.advance(5.0)
        tasks = max_gang_tasks(simulation, version_2_active=False)
        simulation.max_machines = 0
        if placed_before:
            boot_machines(simulation, tasks)
        await simulation.submit_until_accepted(raw_gang(tasks, voyageS=40.0), simulation.leader_label())
        await simulation.advance(10.0)
        assert bool(simulation.started_jobs) == placed_before
        simulation.old_version_controllers.clear()
        await simulation.advance(15.0)
        simulation.lower_limits()
        if not placed_before:
            boot_machines(simulation, tasks)
        await simulation.wait_until_done(JOB, 150.0)

    Simulation(3, next=LOWERED).run_scenario(scenario)


def test_gang_of_a_dependent_job_is_refused_or_runs() -> None:
    """Guards against dependencies that make the head larger than the check of the size has it."""

    async def scenario(simulation: Simulation) -> None:
        simulation.lower_limits()
        needs = [f"req-{number:06d}" for number in range(2, 12)]
        for number in range(2, 12):
            await simulation.submit_until_accepted(raw_job(number, hands=1, voyageS=2.0))
        for hands in (90, 100, 110, 120):
            status, _ = await simulation.request("POST", "/v1/jobs", raw_gang(hands, tows=needs))
            if status == 201:
                break
        boot_machines(simulation, hands)
        await simulation.submit_until_accepted(raw_gang(hands, tows=needs))
        await simulation.wait_until_done(JOB, 150.0)

    Simulation(4, next=LOWERED).run_scenario(scenario)


def test_largest_gang_under_lowered_limits_starts_while_small_jobs_keep_coming() -> None:
    """Guards against a gang that needs a whole batch and finds each one taken by smaller changes."""

    async def scenario(simulation: Simulation) -> None:
        simulation.lower_limits()
        tasks = max_gang_tasks(simulation)
        boot_machines(simulation, tasks + 6)
        await simulation.advance(5.0)
        await simulation.submit_until_accepted(raw_gang(tasks))
        number = 1
        while simulation.statuses[JOB] != "done":
            assert number < 200, "the gang does not start"
            number += 1
            simulation.submit_until_accepted(raw_job(number, hands=2, cores=1.0, accelerators=0.0, voyageS=1.0))
            await simulation.advance(0.5)
            await simulation.poll(JOB)

    Simulation(5, next=LOWERED).run_scenario(scenario)
