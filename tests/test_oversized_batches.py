"""Batches that exceed the state service's limits: sizes are bounded before, and no batch is rebuilt unchanged."""

import random
from typing import Any

import pytest

from driftcleat.cluster import Batch, Job, JobState, TaskPlacement, TaskState
from driftcleat.scheduler import PendingRequest, Scheduler
from driftcleat.store.encoding import MAX_TRANSACTION_BYTES, BatchTooLargeError, encode_batch
from driftcleat.store.layout import RecordLayout
from driftcleat.store.size_bounds import MAX_BATCH_BYTES

from .samples import job, raw_job
from .scheduler_fixtures import commit_all, scheduler_with_machines
from .simulation import Simulation
from .test_status import fetch_status

FENCING_TOKEN = 5
LONG_NAME_BYTES = 180


def long_type_list(size_bytes: int, *usable: str) -> list[str]:
    """Return machine types of a submission whose encoding takes about `size_bytes` bytes."""
    names = size_bytes // (LONG_NAME_BYTES + 3)
    return [*usable, *(f"no-such-type-{number:02d}-".ljust(LONG_NAME_BYTES, "x") for number in range(names))]


def encoded_bytes(batch: Batch, layout: RecordLayout) -> int:
    return len(encode_batch(batch, layout, FENCING_TOKEN, 1, 0).body)


@pytest.mark.parametrize("head_bytes", [3400, 5200, 7400])
def test_burst_of_large_submissions_fits_into_batches(head_bytes: int) -> None:
    """Guards against batches above 64 KiB: heads were budgeted with 2,600 bytes and may take a whole value."""
    scheduler, _ = scheduler_with_machines(0)
    answers: list[Any] = []
    for number in range(1, 61):
        spec = job(number, hands=1, builds=long_type_list(head_bytes, "big"))
        scheduler.admission.submit(PendingRequest(answers.append, spec, spec.id))
    commit_all(scheduler)
    assert len(answers) == 60 and all(answer is not None for answer in answers)


@pytest.mark.parametrize("txn_ops", [24, 100])
def test_burst_of_submissions_with_long_dependency_lists_fits_into_batches(txn_ops: int) -> None:
    """The same with dependencies, which are drawn at random so that their encoding is long."""
    rng = random.Random(txn_ops)
    scheduler, _ = scheduler_with_machines(0)
    scheduler.layout.txn_ops = scheduler.layout.version_1_txn_ops = txn_ops
    answers: list[Any] = []
    for number in range(1, 41):
        dependencies = [f"req-{rng.randrange(100, 900_000):06d}" for _ in range(rng.randrange(500, 1200))]
        spec = job(number, hands=1, tows=dependencies)
        scheduler.admission.submit(PendingRequest(answers.append, spec, spec.id))
    commit_all(scheduler)
    assert len(answers) == 40 and all(answer is not None for answer in answers)


def random_job(rng: random.Random, number: int, layout: RecordLayout, tasks: int) -> Job:
    """Return a committed job with tasks in all states, each placed by an attempt of its own."""
    checkpoint_s = rng.choice([2.0, 12.345678901234567])
    spec = job(
        number, hands=tasks, stowS=checkpoint_s, builds=long_type_list(rng.choice([0, 2000, 4000]), "big", "small")
    )
    committed = Job(spec, 1_700_000_000.123)
    layout.assign_tasks_per_record(committed)
    committed.mod_revision = 1 + number
    committed.last_attempt = tasks
    for index in range(tasks):
        state = rng.choice([TaskState.QUEUED, TaskState.PLACED, TaskState.PLACED, TaskState.DONE])
        committed.task_states[index] = state
        committed.tasks_done += state is TaskState.DONE
        if state is TaskState.PLACED:
            committed.placements[index] = TaskPlacement(f"vm-{rng.randrange(999_999):06d}", "north", index + 1)
    if committed.tasks_done == tasks:
        committed.task_states[0] = TaskState.QUEUED
        committed.tasks_done -= 1
    return committed


def change_at_random(rng: random.Random, batch: Batch, changed: Job) -> bool:
    """Make one change of a job if the batch says that it fits; return whether it did."""
    index = rng.randrange(changed.spec.tasks)
    state = changed.task_states[index]
    if state == TaskState.PLACED and rng.random() < 0.5:
        if not batch.has_room_for_exit(changed, index):
            return False
        batch.transition_task(changed.id, index, rng.choice([TaskState.QUEUED, TaskState.DONE]))
        batch.finish_job_if_complete(changed.id)
    elif state == TaskState.PLACED:
        if not batch.has_room(changed, 1, {batch_chunk(batch, changed, index)}):
            return False
        batch.stop_task(changed.id, index, changed.spec.checkpoint_duration_s)
    elif state == TaskState.QUEUED:
        if not batch.has_room(changed, 1, {batch_chunk(batch, changed, index)}):
            return False
        attempt = batch.next_attempt(changed.id)
        batch.transition_task(changed.id, index, TaskState.PLACED, TaskPlacement(f"vm-{index:06d}", "south", attempt))
    return True


def batch_chunk(batch: Batch, changed: Job, index: int) -> int:
    return batch._sizes.chunk_of(changed, index)


@pytest.mark.parametrize("seed", range(12))
def test_what_fits_by_estimate_fits_when_encoded(seed: int) -> None:
    """Guards against estimates below the encoded size, for heads, chunk records and many operations alike."""
    rng = random.Random(seed)
    txn_ops = rng.choice([4, 24, 100, 400])
    layout = RecordLayout(8192, txn_ops, zones=("north", "south"))
    layout.version_2_active = seed % 3 != 0
    jobs = [
        random_job(rng, number, layout, rng.choice([1, 40, 300, 1200, 3000]))
        for number in range(1, rng.choice([3, 10, 120]))
    ]
    batch = Batch({committed.id: committed for committed in jobs}, layout, txn_ops - 1, MAX_BATCH_BYTES)
    refused = 0
    while refused < 200:
        changed = batch.job(rng.choice(jobs).id)
        assert changed is not None
        refused += changed.state is not JobState.ACTIVE or not change_at_random(rng, batch, changed)
    assert not batch.is_empty
    assert encoded_bytes(batch, layout) <= MAX_TRANSACTION_BYTES


def test_exits_in_many_records_of_one_job_fit_when_encoded() -> None:
    """Guards against a batch that charges a job once although it writes many of the job's chunk records."""
    layout = RecordLayout(8192, 100, zones=("north", "south"))
    changed = random_job(random.Random(1), 1, layout, 6000)
    batch = Batch({changed.id: changed}, layout, 99, MAX_BATCH_BYTES)
    for index in list(changed.placements)[::25]:
        current = batch.job(changed.id)
        assert current is not None
        if batch.has_room_for_exit(current, index):
            batch.transition_task(changed.id, index, TaskState.DONE)
    assert not batch.is_empty
    assert encoded_bytes(batch, layout) <= MAX_TRANSACTION_BYTES


def commit_or_reject(scheduler: Scheduler, answers: list[Any], expected: int) -> int:
    """Build batches until this many submissions are answered; return how many batches could not be sent."""
    rejected = 0
    for revision in range(1, 200):
        if len(answers) == expected:
            return rejected
        batch = scheduler.build_batch()
        try:
            encoded = encode_batch(batch, scheduler.layout, FENCING_TOKEN, revision, 0)
        except BatchTooLargeError as error:
            rejected += 1
            scheduler.reject_batch(batch, str(error), error.key)
            continue
        scheduler.apply_commit(batch, revision, encoded.obsolete_keys)
    raise AssertionError(f"{len(answers)} of {expected} submissions were answered")


def test_batch_above_the_limit_is_divided_until_it_fits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against building the same batch for ever, whatever the reason for which an estimate is too low."""
    monkeypatch.setattr(RecordLayout, "record_bytes", lambda layout, stored, number: 100)
    scheduler, _ = scheduler_with_machines(0)
    answers: list[Any] = []
    for number in range(1, 61):
        spec = job(number, hands=1, builds=long_type_list(7000, "big"))
        scheduler.admission.submit(PendingRequest(answers.append, spec, spec.id))
    rejected = commit_or_reject(scheduler, answers, 60)
    assert 0 < rejected == scheduler.counters.batches_rejected
    assert all(answer is not None for answer in answers)


def test_submission_that_can_never_be_stored_is_refused_alone() -> None:
    """Guards against one submission that holds up all others behind it."""
    scheduler, _ = scheduler_with_machines(0)
    answers: list[Any] = []
    refusals: list[str] = []
    for number in range(1, 12):
        too_large = number == 3
        spec = job(number, hands=1, builds=long_type_list(9500 if too_large else 0, "big"), hull="i" * 200)
        scheduler.admission.submit(PendingRequest(answers.append, spec, spec.id, refuse=refusals.append))
    commit_or_reject(scheduler, answers, 10)
    assert refusals == ["the job is larger than can be stored"]
    assert "req-000003" not in scheduler.cluster.jobs


def test_job_whose_record_cannot_be_written_holds_up_no_other() -> None:
    """Guards against a standstill when a stored job outgrows its record: its changes are postponed, alone."""
    scheduler, now = scheduler_with_machines(40)
    answers: list[Any] = []
    scheduler.layout.version_2_active = True
    large = job(1, hands=100, cores=9.0, accelerators=0.0, memGb=0.1, builds=long_type_list(7000, "big"))
    scheduler.admission.submit(PendingRequest(answers.append, large, large.id))
    commit_or_reject(scheduler, answers, 1)
    # As if an earlier version had divided the job: all of its placements go into the head.
    scheduler.cluster.jobs[large.id].tasks_per_record = large.tasks
    for number in range(2, 6):
        spec = job(number, hands=1, accelerators=0.0)
        scheduler.admission.submit(PendingRequest(answers.append, spec, spec.id))
    commit_or_reject(scheduler, answers, 5)
    for revision in range(200, 240):
        now[0] += 0.5
        batch = scheduler.build_batch()
        if batch.is_empty:
            continue
        try:
            encode_batch(batch, scheduler.layout, FENCING_TOKEN, revision, 0)
        except BatchTooLargeError as error:
            scheduler.reject_batch(batch, str(error), error.key)
        else:
            scheduler.apply_commit(batch, revision, [])
    placed = {stored.id for stored in scheduler.cluster.jobs.values() if stored.placements}
    assert placed == {f"req-{number:06d}" for number in range(2, 6)}
    assert scheduler.splitter.postponed_count == 1


def test_user_of_a_submission_that_can_never_be_stored_gets_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a refusal that reaches nobody, and against a stall that is shown although nothing is pending."""
    monkeypatch.setattr(RecordLayout, "spec_fits", lambda layout, spec: True)

    async def scenario(simulation: Simulation) -> None:
        # By then nothing else is to be committed.
        await simulation.advance(20.0)
        too_large = raw_job(1, hands=1, builds=long_type_list(9500, "big"))
        status, answer = await simulation.request("POST", "/v1/jobs", too_large)
        assert (status, answer["error"]) == (400, "the job is larger than can be stored")
        await simulation.advance(1.0)
        shown = await fetch_status(simulation, str(simulation.leader_label()))
        assert shown["commit_stalled_s"] == 0.0 and shown["batches_rejected"] == 1
        await simulation.run_until(simulation.submit_until_accepted(raw_job(2, hands=1)).done, 10.0)
        assert await simulation.poll("req-000002") == 200

    Simulation(4).run_scenario(scenario)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_while_the_state_service_is_slow_holds_up_nothing(seed: int) -> None:
    """Guards against a leader that commits nothing after slow answers have let large submissions pile up."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.run_until(lambda: simulation.leader_label() is not None)
        service = raw_job(500, rig="daemon", hands=1, voyageS=0.0, crew="blue", accelerators=0.0)
        await simulation.submit_until_accepted(service)
        simulation.store_delay_s = 0.3
        for number in range(1, 41):
            simulation.submit_until_accepted(
                raw_job(number, hands=1, accelerators=0.0, builds=long_type_list(4300 + 70 * seed, "big", "small"))
            )
        await simulation.advance(1.5)
        simulation.store_delay_s = 0.0
        cancelling = simulation.cancel_until_confirmed("req-000500")
        await simulation.run_until(cancelling.done, 30.0)
        await simulation.run_until(lambda: len(simulation.statuses) == 41, 60.0)
        status = await fetch_status(simulation, str(simulation.leader_label()))
        assert status["batches_rejected"] == 0 and status["commit_stalled_s"] < 1.0

    Simulation(seed).run_scenario(scenario)
