"""Upgrades: records and messages of older versions, activation of data version 2, and lowered limits."""

import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from driftcleat import wire
from driftcleat.cluster import ClusterState, Job
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Tuning
from driftcleat.store.decoding import decode_head
from driftcleat.store.encoding import encode_batch
from driftcleat.store.keys import CHUNKS_PREFIX, DATA_VERSION_KEY, JOBS_PREFIX, chunk_key
from driftcleat.store.layout import RecordLayout
from driftcleat.store.records import ChunkRecord, ScaleOutRecord
from driftcleat.wire import peers
from driftcleat.wire import state as state_messages

from .reference_model import ReferenceModel
from .samples import MACHINE_TYPES, decode_job_records, job, platform, raw_job, raw_settings
from .simulation import LABELS, Simulation


def load_recorded(version: str) -> dict[str, Any]:
    """Return the records and messages that a version wrote itself; `tools/record.py` recorded them."""
    return dict(json.loads((Path(__file__).parent / "recorded" / f"{version}.json").read_text()))


RECORDED = load_recorded("production")
# An earlier version that knows both data versions.
PREVIOUS = load_recorded("0.4.0")

NEXT_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 35.0}


class ReferenceHead(msgspec.Struct, array_like=True):
    """The head record as production decodes and rewrites it."""

    spec: dict[str, Any]
    submitted: float
    state: str
    cancelled_at: float
    launch: int
    done: str
    places: list[tuple[str, str, int, str, float | None]]


def recorded_items(prefix: str, rows: dict[str, Any] = RECORDED["records"]) -> list[state_messages.KeyValue]:
    """Return the recorded records under a prefix."""
    return [
        state_messages.KeyValue(msgspec.Raw(wire.encode(value)), 5, key)
        for key, value in rows.items()
        if key.startswith(prefix)
    ]


def stored_fields(stored_job: Job) -> tuple[Any, ...]:
    """Return the fields of a job that its records hold."""
    return (
        stored_job.spec,
        stored_job.submitted_at,
        stored_job.state,
        stored_job.last_attempt,
        bytes(stored_job.task_states),
        stored_job.placements,
        stored_job.tasks_done,
    )


def make_layout(version_2: bool = False) -> RecordLayout:
    """Return a layout for the recorded limits and announced lower ones; `version_2` activates data version 2."""
    layout = RecordLayout(2048, 4, RECORDED["value_bytes"], RECORDED["txn_ops"], ("north", "south"))
    layout.version_2_active = version_2
    return layout


def test_production_records_round_trip_unchanged() -> None:
    jobs, orphans = decode_job_records(recorded_items(JOBS_PREFIX), recorded_items(CHUNKS_PREFIX))
    assert len(jobs) == 6 and not orphans
    layout = make_layout()
    for stored_job in jobs.values():
        layout.assign_tasks_per_record(stored_job)
        assert stored_job.tasks_per_record == 0
        head = json.loads(wire.encode(layout.head_record(stored_job)))
        written = RECORDED["records"][JOBS_PREFIX + stored_job.id]
        spec, written_spec = dict(head[0]), dict(written[0])
        assert {name: value for name, value in spec.items() if name in written_spec} == written_spec
        assert head[1:7] == written[1:]
        added_values = [*head[7:], *(spec[name] for name in spec if name not in written_spec)]
        assert all(value in (None, 0, "") for value in added_values)
        chunks = {layout.chunk_of(stored_job, index) for index in range(stored_job.spec.tasks)} - {0}
        assert chunks == {
            int(key.rpartition("/")[2])
            for key in RECORDED["records"]
            if key.startswith(CHUNKS_PREFIX + stored_job.id + "/")
        }
        for chunk in chunks:
            key = chunk_key(stored_job.id, chunk)
            assert json.loads(wire.encode(layout.chunk_record(stored_job, chunk))) == RECORDED["records"][key]


def test_records_of_data_version_1_rewritten_by_production_lose_nothing() -> None:
    jobs, _ = decode_job_records(recorded_items(JOBS_PREFIX), recorded_items(CHUNKS_PREFIX))
    for stored_job in jobs.values():
        rewritten = wire.encode(wire.decode(wire.encode(make_layout().head_record(stored_job)), ReferenceHead))
        from_production = decode_head(state_messages.KeyValue(msgspec.Raw(rewritten), 9, JOBS_PREFIX + stored_job.id))
        from_layout = decode_head(
            state_messages.KeyValue(
                msgspec.Raw(wire.encode(make_layout().head_record(stored_job))), 9, JOBS_PREFIX + stored_job.id
            )
        )
        assert stored_fields(from_production) == stored_fields(from_layout)


@pytest.mark.parametrize("row", ['["vm-1","north",1,"0"]', '["vm-1","north",1,"0",null,0]', '{"machine":"vm-1"}'])
def test_placement_row_of_another_shape_is_rejected(row: str) -> None:
    """Guards against losing elements that a later version adds to a row, when this version rewrites the record."""
    text = b'["1-3",[["vm-1","north",1,"0",2.5],["vm-1","north",1,"4-6",null]]]'
    assert wire.encode(wire.decode(text, ChunkRecord)) == text
    with pytest.raises(wire.WireError):
        wire.decode(f'["1-3",[{row}]]'.encode(), ChunkRecord)


@pytest.mark.parametrize(("rows", "version_2"), [("records", False), ("second_version", True)])
def test_records_of_the_previous_version_round_trip_unchanged(rows: str, version_2: bool) -> None:
    """Guards against records that 0.4.0 cannot read: this version writes the same as 0.4.0, in both data versions."""
    written = PREVIOUS[rows]
    jobs, orphans = decode_job_records(recorded_items(JOBS_PREFIX, written), recorded_items(CHUNKS_PREFIX, written))
    assert len(jobs) == (7 if version_2 else 6) and not orphans
    layout = make_layout(version_2)
    for stored_job in jobs.values():
        layout.assign_tasks_per_record(stored_job)
        assert bool(stored_job.tasks_per_record) == version_2
        assert json.loads(wire.encode(layout.head_record(stored_job))) == written[JOBS_PREFIX + stored_job.id]
        for chunk in {layout.chunk_of(stored_job, index) for index in range(stored_job.spec.tasks)} - {0}:
            assert (
                json.loads(wire.encode(layout.chunk_record(stored_job, chunk)))
                == written[chunk_key(stored_job.id, chunk, stored_job.tasks_per_record)]
            )
    if version_2:
        assert jobs["req-000007"].spec.dependencies == ("req-000001", "req-000003")


def test_messages_of_the_previous_version_round_trip_unchanged() -> None:
    for message in PREVIOUS["messages"]:
        decoded: Any = wire.decode(wire.encode(message), peers.PeerMessage)  # type: ignore[arg-type]
        assert json.loads(wire.encode(decoded)) == message
        assert getattr(decoded, "data_version", 2) == 2


def test_production_messages_are_decoded_and_only_extended_at_the_end() -> None:
    for message in RECORDED["messages"]:
        raw = wire.encode(message)
        decoded: Any = wire.decode(raw, peers.PeerMessage)  # type: ignore[arg-type]
        assert getattr(decoded, "data_version", 1) == 1, (
            "without a data version in the message, its sender knows version 1 only"
        )
        # The message has the same tag and begins with the same elements; those unknown to production are at its end.
        assert json.loads(wire.encode(decoded))[: len(message)] == message
    assert json.loads(wire.encode(peers.Ping("a", 2))) == ["ping", "a", 2]


def test_settings_give_present_and_future_limits() -> None:
    present = platform()
    assert (present.value_bytes, present.txn_ops, present.version_1_value_bytes, present.version_1_txn_ops) == (
        8192,
        24,
        8192,
        24,
    )
    future = platform(next=NEXT_LIMITS)
    assert (future.value_bytes, future.txn_ops, future.write_rps, future.state_rps) == (2048, 4, 35.0, 200.0)
    assert (future.version_1_value_bytes, future.version_1_txn_ops) == (8192, 24)
    assert platform(next={"value_kb": 99.0}).value_bytes == 8192, (
        "a higher future limit does not raise the present one"
    )
    assert "next" not in raw_settings()["deployment"]["state"]


def test_interrupted_record_migration_leaves_the_old_records_valid() -> None:
    """Guards against loss of records if a leader fails while it migrates a job.

    Chunks with another number of tasks per record than the head names are garbage, whatever their chunk number.
    """
    jobs, _ = decode_job_records(recorded_items(JOBS_PREFIX), recorded_items(CHUNKS_PREFIX))
    large_job = jobs["req-000003"]
    version_2_layout = make_layout(version_2=True)
    tasks_per_record = version_2_layout.preferred_tasks_per_record(large_job)
    assert 1 < tasks_per_record < 50 and version_2_layout.needs_migration(large_job)
    partial_chunks = [
        state_messages.KeyValue(
            msgspec.Raw(wire.encode(version_2_layout.chunk_record_in_split(large_job, tasks_per_record, number))),
            7,
            chunk_key(large_job.id, number, tasks_per_record),
        )
        for number in range(1, 4)
    ]
    partly_migrated, orphans = decode_job_records(
        recorded_items(JOBS_PREFIX), [*recorded_items(CHUNKS_PREFIX), *partial_chunks]
    )
    assert stored_fields(partly_migrated[large_job.id]) == stored_fields(large_job)
    assert orphans == [key_value.key for key_value in partial_chunks]
    all_chunks = [
        state_messages.KeyValue(
            msgspec.Raw(wire.encode(version_2_layout.chunk_record_in_split(large_job, tasks_per_record, number))),
            7,
            chunk_key(large_job.id, number, tasks_per_record),
        )
        for number in range(1, -(-240 // tasks_per_record))
    ]
    migrated = large_job.copy()
    migrated.tasks_per_record = tasks_per_record
    head = state_messages.KeyValue(
        msgspec.Raw(wire.encode(version_2_layout.head_record(migrated))), 8, JOBS_PREFIX + large_job.id
    )
    assert len(bytes(head.value)) <= 2048 and all(len(bytes(key_value.value)) <= 2048 for key_value in all_chunks)
    migrated_jobs, orphans = decode_job_records([head], [*recorded_items(CHUNKS_PREFIX), *all_chunks])
    assert stored_fields(migrated_jobs[large_job.id]) == stored_fields(large_job)
    assert {key_value.key for key_value in all_chunks}.isdisjoint(orphans) and set(
        migrated_jobs[large_job.id].chunk_mod_revisions.values()
    ) == {7}


def test_cancelled_job_is_migrated_before_other_jobs() -> None:
    model = ReferenceModel(3, platform(next=NEXT_LIMITS, value_kb=16.0), MACHINE_TYPES)
    model.elect(previous_version=True)
    for number in range(1, 6):
        model.submit(job(number, hands=110, cores=0.1, accelerators=0.0, memGb=0.1, voyageS=300.0))
    model.run(25.0)
    scheduler = model.elect("b").scheduler
    model.run(6.0)
    scheduler.migration.request_latch()
    model.step()
    model.store.lower_limits()
    assert scheduler.layout.version_2_active and len(scheduler.migration.jobs_to_migrate) > 1
    last = max(scheduler.migration.jobs_to_migrate)
    model.cancel(last)
    before = len(scheduler.migration.jobs_to_migrate)
    while model.statuses[last] != "cancelled":
        model.step(0.02)
    assert len(scheduler.migration.jobs_to_migrate) >= before - 2 > 0, (
        "its records are migrated before those of other jobs, except for one whose migration has begun"
    )
    model.run(model.platform.cancel_s)
    assert not any(task.job.id == last for _, task in model.tasks_on_machines())


def test_gang_of_many_records_can_change_in_data_version_1() -> None:
    """Guards against work waiting behind a gang that has more records than the lower limit lets one batch change."""
    settings = platform(next=NEXT_LIMITS | {"txn_ops": 3})
    jobs, _ = decode_job_records(recorded_items(JOBS_PREFIX), recorded_items(CHUNKS_PREFIX))
    gang = jobs["req-000005"]
    layout = make_layout()
    assert max(layout.chunk_of(gang, index) for index in range(gang.spec.tasks)) + 1 > settings.txn_ops - 1
    cluster = ClusterState(5, {gang.id: gang}, dict(MACHINE_TYPES), 0.0, settings.lease_s)
    scheduler = Scheduler(settings, Tuning(), cluster, layout, random.Random(1), lambda: 0.0, lambda: 0.0)
    name = next(iter(gang.placements.values())).machine
    cluster.record_terminated(cluster.register_machine(name, "big", "north", False, "", 0.0), 0.0)
    batch = scheduler.build_batch()
    assert (
        batch.task_transitions
        and len(json.loads(encode_batch(batch, layout, 5, 1, 0).body)["then"]) > settings.txn_ops
    )


@pytest.mark.parametrize("seed", range(24))
def test_leaders_of_both_versions_alternate_while_limits_are_lowered(seed: int) -> None:
    """Guards against lost or misread records while both versions lead in turn and rewrite each other's records.

    Data version 2 is activated at a random step and limits are lowered at a later one. A leader may crash between any
    two transactions.
    """
    rng = random.Random(seed)
    model = ReferenceModel(seed, platform(next=NEXT_LIMITS, value_kb=rng.choice([4.0, 8.0, 16.0])), MACHINE_TYPES)
    model.elect(previous_version=rng.random() < 0.7)
    model.fault_rate = rng.choice([0.0, 0.2])
    upgrade_step, lowering_delay = rng.randrange(4, 20), rng.randrange(0, 8)
    activation_step = None
    for step in range(30):
        number = step + 1
        dependencies: list[str] = (
            rng.sample(sorted(model.statuses), min(len(model.statuses), 2)) if activation_step is not None else []
        )
        model.submit(
            job(
                number,
                hands=rng.choice([1, 3, 30, 110, 130]),
                cores=0.1,
                accelerators=0.0,
                memGb=0.1,
                rig=rng.choice(["array", "array", "daemon", "group"]) if number % 3 else "array",
                crew=rng.choice(["red", "blue"]),
                voyageS=rng.choice([3.0, 20.0, 60.0]),
                tows=dependencies,
            )
        )
        if model.statuses and rng.random() < 0.2:
            model.cancel(rng.choice(sorted(model.statuses)))
        upgraded = step >= upgrade_step
        if rng.random() < 0.25 or model.leader.stepped_down or (upgraded and model.leader.previous_version):
            model.leader.crashed = rng.random() < 0.7
            model.elect(rng.choice("abc"), previous_version=not upgraded and rng.random() < 0.5)
        if upgraded:
            model.leader.scheduler.migration.request_latch()
        if activation_step is None and DATA_VERSION_KEY in model.store.data:
            activation_step = step
        if activation_step is not None and step >= activation_step + lowering_delay:
            model.store.lower_limits()
        model.run(rng.choice([0.05, 0.3, 2.0, 6.0]))
        model.poll_all()
    model.store.lower_limits()
    model.settle(1200.0)
    assert set(model.states().values()) <= {"done", "cancelled"}, model.states()
    assert DATA_VERSION_KEY in model.store.data and model.task_starts > 20
    assert not model.leader.scheduler.migration.jobs_to_migrate


# Complete controllers in the simulator.


def large_array(number: int, **more: Any) -> dict[str, Any]:
    """Return the submission of an array job that needs several records."""
    return raw_job(number, hands=100, cores=0.1, accelerators=0.0, memGb=0.1, voyageS=60.0, **more)


async def upgrade_one_by_one(simulation: Simulation) -> None:
    """Restart each controller with the new version; only after the last one may data version 2 be activated."""
    for label in LABELS:
        assert DATA_VERSION_KEY not in simulation.store.data, (
            "data version 2 must not be active before every controller is upgraded"
        )
        simulation.crash(label)
        await simulation.advance(2.0)
        simulation.old_version_controllers.discard(label)
        simulation.start(label)
        await simulation.advance(5.0)


def test_data_version_2_is_activated_by_the_last_upgrade_and_limits_may_be_lowered_at_once() -> None:
    async def scenario(simulation: Simulation) -> None:
        for number in range(1, 5):
            simulation.submit_until_accepted(large_array(number))
        await simulation.advance(12.0)
        await upgrade_one_by_one(simulation)
        await simulation.run_until(lambda: DATA_VERSION_KEY in simulation.store.data, 10.0)
        simulation.lower_limits()
        simulation.cancel_until_confirmed("req-000002")
        await simulation.verify_recovery()
        assert simulation.store_double.rejected_txns == 0

    simulation = Simulation(2, value_kb=16.0, next=NEXT_LIMITS)
    simulation.old_version_controllers.update(LABELS)
    simulation.run_scenario(scenario)


def test_lowered_limits_activate_data_version_2() -> None:
    """Guards against a transaction rejected for its size that ends the leader's term, is retried forever or is lost.

    Limits are lowered only after every controller is upgraded, so the rejection also allows data version 2.
    """

    async def scenario(simulation: Simulation) -> None:
        leader = simulation.leader_label()
        assert leader is not None and DATA_VERSION_KEY not in simulation.store.data
        token = simulation.controllers[leader].election.fencing_token
        simulation.lower_limits()
        # Each task needs a machine of its own, so the job exceeds the lower limit in one record of data version 1.
        simulation.submit_until_accepted(raw_job(1, hands=75, cores=16.0, accelerators=0.0, voyageS=60.0))
        for _ in range(75):
            simulation.boot(ScaleOutRecord("big", "north", False, 1, 0.0))
        await simulation.run_until(lambda: DATA_VERSION_KEY in simulation.store.data, 60.0)
        simulation.submit_until_accepted(large_array(4))
        await simulation.verify_recovery()
        assert (
            simulation.controllers[leader].election.fencing_token == token
            and 1 <= simulation.store_double.rejected_txns < 5
        )
        assert set(simulation.statuses.values()) == {"done"}

    simulation = Simulation(3, value_kb=16.0, next=NEXT_LIMITS)
    simulation.old_version_controllers.update(LABELS)
    simulation.run_scenario(scenario)


def test_dependencies_are_checked_by_every_controller() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.submit_until_accepted(raw_job(1, voyageS=40.0, hands=1))
        simulation.submit_until_accepted(raw_job(2, rig="daemon", hands=1, voyageS=0.0))
        await simulation.advance(3.0)
        for label in LABELS:
            too_many = [f"req-{number:018d}" for number in range(10**17, 10**17 + 9 * 10**15, 10**13)]
            for dependencies, expected in (
                (["req-000099"], 422),
                (["req-000002"], 422),
                (["req-000050"], 422),
                ("x", 400),
                (["x"], 400),
                (too_many, 400),
            ):
                status, _ = await simulation.request("POST", "/v1/jobs", raw_job(50, tows=dependencies), label)
                assert status == expected, (label, dependencies[:3])
            assert (await simulation.request("GET", "/v1/jobs/req-000050", label=label))[0] == 404
        simulation.submit_until_accepted(raw_job(3, tows=["req-000001"], hands=1))
        await simulation.advance(1.0)
        simulation.submit_until_accepted(raw_job(4, tows=["req-000003", "req-000003"], hands=1))
        await simulation.advance(1.0)
        # A resubmission is recognized by its id, even if its other fields differ.
        assert (await simulation.request("POST", "/v1/jobs", raw_job(4, tows=["req-000099"])))[0] == 200
        leader = simulation.leader_label()
        assert leader is not None
        follower = next(label for label in LABELS if label != leader)
        # Every controller reports dependents of a cancelled job as cancelled, from the records alone.
        simulation.controllers[leader].scheduler.admission.append_dependent_cancellations = lambda batch: None  # type: ignore[union-attr,method-assign]
        await simulation.cancel_until_confirmed("req-000001")
        simulation.partition(follower)
        assert (
            await simulation.poll("req-000004", follower) == 200 and simulation.statuses["req-000004"] == "cancelled"
        )
        assert await simulation.poll("req-000003", leader) == 200 and simulation.statuses["req-000003"] == "cancelled"
        simulation.store_double.down_for.add("all")
        await simulation.advance(3.0)
        status, _ = await simulation.request("POST", "/v1/jobs", raw_job(60, tows=["req-000001"]), leader)
        assert status == 503
        del simulation.controllers[leader].scheduler.admission.append_dependent_cancellations  # type: ignore[union-attr]
        await simulation.verify_recovery()

    Simulation(4).run_scenario(scenario)
