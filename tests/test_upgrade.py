"""Two versions side by side: what production wrote is read and rewritten without loss, the switch, falling limits."""

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


def recorded(version: str) -> dict[str, Any]:
    """Return what a version wrote itself: see `tools/record.py`."""
    return dict(json.loads((Path(__file__).parent / "recorded" / f"{version}.json").read_text()))


RECORDED = recorded("production")
# The version that landed before this one; it knows both data versions.
BEFORE = recorded("0.4.0")

NEXT = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 35.0}


class PlainHead(msgspec.Struct, array_like=True):
    """The plain model of a head as production reads and rewrites it."""

    spec: dict[str, Any]
    submitted: float
    state: str
    cancelled_at: float
    launch: int
    done: str
    places: list[tuple[str, str, int, str, float | None]]


def items(prefix: str, rows: dict[str, Any] = RECORDED["records"]) -> list[state_messages.KeyValue]:
    """Return the recorded records under a prefix."""
    return [
        state_messages.KeyValue(msgspec.Raw(wire.encode(value)), 5, key)
        for key, value in rows.items()
        if key.startswith(prefix)
    ]


def facts(found: Job) -> tuple[Any, ...]:
    """Return all that is stored of a job."""
    return (
        found.spec,
        found.submitted_at,
        found.state,
        found.last_attempt,
        bytes(found.task_states),
        found.placements,
        found.tasks_done,
    )


def layout(switched: bool = False) -> RecordLayout:
    """Return the layout of the recorded limits, with lower ones to come."""
    made = RecordLayout(2048, 4, RECORDED["value_bytes"], RECORDED["txn_ops"], ("north", "south"))
    made.version_2_active = switched
    return made


def test_what_production_wrote_is_read_and_written_the_same_way() -> None:
    jobs, orphans = decode_job_records(items(JOBS_PREFIX), items(CHUNKS_PREFIX))
    assert len(jobs) == 6 and not orphans
    ours = layout()
    for found in jobs.values():
        ours.assign_tasks_per_record(found)
        assert found.tasks_per_record == 0
        head = json.loads(wire.encode(ours.head_record(found)))
        written = RECORDED["records"][JOBS_PREFIX + found.id]
        spec, known = dict(head[0]), dict(written[0])
        assert {name: value for name, value in spec.items() if name in known} == known
        assert head[1:7] == written[1:]
        beyond = [*head[7:], *(spec[name] for name in spec if name not in known)]
        assert all(value in (None, 0, "") for value in beyond)
        chunks = {ours.chunk_of(found, index) for index in range(found.spec.tasks)} - {0}
        assert chunks == {
            int(key.rpartition("/")[2])
            for key in RECORDED["records"]
            if key.startswith(CHUNKS_PREFIX + found.id + "/")
        }
        for chunk in chunks:
            key = chunk_key(found.id, chunk)
            assert json.loads(wire.encode(ours.chunk_record(found, chunk))) == RECORDED["records"][key]


def test_what_production_rewrites_loses_nothing_before_the_switch() -> None:
    jobs, _ = decode_job_records(items(JOBS_PREFIX), items(CHUNKS_PREFIX))
    for found in jobs.values():
        rewritten = wire.encode(wire.decode(wire.encode(layout().head_record(found)), PlainHead))
        again = decode_head(state_messages.KeyValue(msgspec.Raw(rewritten), 9, JOBS_PREFIX + found.id))
        whole = decode_head(
            state_messages.KeyValue(msgspec.Raw(wire.encode(layout().head_record(found))), 9, JOBS_PREFIX + found.id)
        )
        assert facts(again) == facts(whole)


@pytest.mark.parametrize("row", ['["vm-1","north",1,"0"]', '["vm-1","north",1,"0",null,0]', '{"machine":"vm-1"}'])
def test_a_placement_row_of_another_shape_is_refused(row: str) -> None:
    """Guards against a row that a later version extends, and that we would cut when we rewrite its record."""
    text = b'["1-3",[["vm-1","north",1,"0",2.5],["vm-1","north",1,"4-6",null]]]'
    assert wire.encode(wire.decode(text, ChunkRecord)) == text
    with pytest.raises(wire.WireError):
        wire.decode(f'["1-3",[{row}]]'.encode(), ChunkRecord)


@pytest.mark.parametrize(("rows", "switched"), [("records", False), ("second_version", True)])
def test_what_the_version_before_wrote_is_read_and_written_to_the_letter(rows: str, switched: bool) -> None:
    """Each version works on the other's data, of both data versions: what ours writes is what 0.4.0 would write."""
    written = BEFORE[rows]
    jobs, orphans = decode_job_records(items(JOBS_PREFIX, written), items(CHUNKS_PREFIX, written))
    assert len(jobs) == (7 if switched else 6) and not orphans
    ours = layout(switched)
    for found in jobs.values():
        ours.assign_tasks_per_record(found)
        assert bool(found.tasks_per_record) == switched
        assert json.loads(wire.encode(ours.head_record(found))) == written[JOBS_PREFIX + found.id]
        for chunk in {ours.chunk_of(found, index) for index in range(found.spec.tasks)} - {0}:
            assert (
                json.loads(wire.encode(ours.chunk_record(found, chunk)))
                == written[chunk_key(found.id, chunk, found.tasks_per_record)]
            )
    if switched:
        assert jobs["req-000007"].spec.dependencies == ("req-000001", "req-000003")


def test_messages_of_the_version_before_are_ours_to_the_letter() -> None:
    for message in BEFORE["messages"]:
        known: Any = wire.decode(wire.encode(message), peers.PeerMessage)  # type: ignore[arg-type]
        assert json.loads(wire.encode(known)) == message
        assert getattr(known, "data_version", 2) == 2


def test_messages_of_both_versions_are_understood() -> None:
    for message in RECORDED["messages"]:
        raw = wire.encode(message)
        known: Any = wire.decode(raw, peers.PeerMessage)  # type: ignore[arg-type]
        assert getattr(known, "data_version", 1) == 1, "it has not said that it is new"
        # Ours has the same tag and begins with the same elements: what production does not know comes behind.
        assert json.loads(wire.encode(known))[: len(message)] == message
    assert json.loads(wire.encode(peers.Ping("a", 2))) == ["ping", "a", 2]


def test_settings_name_the_limits_to_come() -> None:
    today = platform()
    assert (today.value_bytes, today.txn_ops, today.version_1_value_bytes, today.version_1_txn_ops) == (
        8192,
        24,
        8192,
        24,
    )
    coming = platform(next=NEXT)
    assert (coming.value_bytes, coming.txn_ops, coming.write_rps, coming.state_rps) == (2048, 4, 35.0, 200.0)
    assert (coming.version_1_value_bytes, coming.version_1_txn_ops) == (8192, 24)
    assert platform(next={"value_kb": 99.0}).value_bytes == 8192, "a higher one is no reason to write more"
    assert "next" not in raw_settings()["deployment"]["state"]


def test_a_move_that_ends_in_the_middle_leaves_the_old_records_valid() -> None:
    """Chunks of another split than the head names are garbage, of whatever number."""
    jobs, _ = decode_job_records(items(JOBS_PREFIX), items(CHUNKS_PREFIX))
    big = jobs["req-000003"]
    new = layout(switched=True)
    split = new.preferred_tasks_per_record(big)
    assert 1 < split < 50 and new.needs_migration(big)
    half = [
        state_messages.KeyValue(
            msgspec.Raw(wire.encode(new.chunk_record_in_split(big, split, number))),
            7,
            chunk_key(big.id, number, split),
        )
        for number in range(1, 4)
    ]
    again, orphans = decode_job_records(items(JOBS_PREFIX), [*items(CHUNKS_PREFIX), *half])
    assert facts(again[big.id]) == facts(big)
    assert orphans == [key_value.key for key_value in half]
    whole = [
        state_messages.KeyValue(
            msgspec.Raw(wire.encode(new.chunk_record_in_split(big, split, number))),
            7,
            chunk_key(big.id, number, split),
        )
        for number in range(1, -(-240 // split))
    ]
    moved = big.copy()
    moved.tasks_per_record = split
    head = state_messages.KeyValue(msgspec.Raw(wire.encode(new.head_record(moved))), 8, JOBS_PREFIX + big.id)
    assert len(bytes(head.value)) <= 2048 and all(len(bytes(key_value.value)) <= 2048 for key_value in whole)
    after, orphans = decode_job_records([head], [*items(CHUNKS_PREFIX), *whole])
    assert facts(after[big.id]) == facts(big)
    assert {key_value.key for key_value in whole}.isdisjoint(orphans) and set(
        after[big.id].chunk_mod_revisions.values()
    ) == {7}


def test_a_cancellation_of_a_job_that_is_not_moved_yet_goes_first() -> None:
    model = ReferenceModel(3, platform(next=NEXT, value_kb=16.0), MACHINE_TYPES)
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
        "its move goes before the others', but for one that had begun"
    )
    model.run(model.platform.cancel_s)
    assert not any(task.job.id == last for _, task in model.tasks_on_machines())


def test_a_gang_of_many_records_can_change_before_the_switch() -> None:
    """Guards against everything waiting behind it: more records than the lower limit allows to change at once."""
    site = platform(next=NEXT | {"txn_ops": 3})
    jobs, _ = decode_job_records(items(JOBS_PREFIX), items(CHUNKS_PREFIX))
    gang = jobs["req-000005"]
    ours = layout()
    assert max(ours.chunk_of(gang, index) for index in range(gang.spec.tasks)) + 1 > site.txn_ops - 1
    cluster = ClusterState(5, {gang.id: gang}, dict(MACHINE_TYPES), 0.0, site.lease_s)
    scheduler = Scheduler(site, Tuning(), cluster, ours, random.Random(1), lambda: 0.0, lambda: 0.0)
    name = next(iter(gang.placements.values())).machine
    cluster.record_terminated(cluster.register_machine(name, "big", "north", False, "", 0.0), 0.0)
    batch = scheduler.build_batch()
    assert batch.task_transitions and len(json.loads(encode_batch(batch, ours, 5, 1, 0).body)["then"]) > site.txn_ops


@pytest.mark.parametrize("seed", range(24))
def test_versions_take_turns_and_limits_fall(seed: int) -> None:
    """Old and new lead in turn and rewrite each other's records.

    The switch comes at any moment, limits fall at any later one, and a leader may end between any two
    transactions.
    """
    rng = random.Random(seed)
    model = ReferenceModel(seed, platform(next=NEXT, value_kb=rng.choice([4.0, 8.0, 16.0])), MACHINE_TYPES)
    model.elect(previous_version=rng.random() < 0.7)
    model.fault_rate = rng.choice([0.0, 0.2])
    switch_at, fall_after = rng.randrange(4, 20), rng.randrange(0, 8)
    switched_at = None
    for step in range(30):
        number = step + 1
        needs: list[str] = (
            rng.sample(sorted(model.statuses), min(len(model.statuses), 2)) if switched_at is not None else []
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
                tows=needs,
            )
        )
        if model.statuses and rng.random() < 0.2:
            model.cancel(rng.choice(sorted(model.statuses)))
        new = step >= switch_at
        if rng.random() < 0.25 or model.leader.stepped_down or (new and model.leader.previous_version):
            model.leader.crashed = rng.random() < 0.7
            model.elect(rng.choice("abc"), previous_version=not new and rng.random() < 0.5)
        if new:
            model.leader.scheduler.migration.request_latch()
        if switched_at is None and DATA_VERSION_KEY in model.store.data:
            switched_at = step
        if switched_at is not None and step >= switched_at + fall_after:
            model.store.lower_limits()
        model.run(rng.choice([0.05, 0.3, 2.0, 6.0]))
        model.poll_all()
    model.store.lower_limits()
    model.settle(1200.0)
    assert set(model.states().values()) <= {"done", "cancelled"}, model.states()
    assert DATA_VERSION_KEY in model.store.data and model.task_starts > 20
    assert not model.leader.scheduler.migration.jobs_to_migrate


# -- whole controllers ---------------------------------------------------------------------------------------


def big(number: int, **more: Any) -> dict[str, Any]:
    """Return an array that takes several records."""
    return raw_job(number, hands=100, cores=0.1, accelerators=0.0, memGb=0.1, voyageS=60.0, **more)


async def upgraded_one_by_one(simulation: Simulation) -> None:
    """Each controller ends and comes back new; the last one makes the switch possible."""
    for label in LABELS:
        assert DATA_VERSION_KEY not in simulation.store.data, "not before every controller is new"
        simulation.crash(label)
        await simulation.advance(2.0)
        simulation.old_version_controllers.discard(label)
        simulation.start(label)
        await simulation.advance(5.0)


def test_the_switch_comes_with_the_last_controller_and_limits_may_fall_at_once() -> None:
    async def scenario(simulation: Simulation) -> None:
        for number in range(1, 5):
            simulation.submit_until_accepted(big(number))
        await simulation.advance(12.0)
        await upgraded_one_by_one(simulation)
        await simulation.run_until(lambda: DATA_VERSION_KEY in simulation.store.data, 10.0)
        simulation.lower_limits()
        simulation.cancel_until_confirmed("req-000002")
        await simulation.verify_recovery()
        assert simulation.store_double.rejected_txns == 0

    simulation = Simulation(2, value_kb=16.0, next=NEXT)
    simulation.old_version_controllers.update(LABELS)
    simulation.run_scenario(scenario)


def test_limits_that_fall_before_the_switch_prove_that_all_are_new() -> None:
    """A refusal for size ends no term, turns in no circle and loses nothing."""

    async def scenario(simulation: Simulation) -> None:
        leader = simulation.leader_label()
        assert leader is not None and DATA_VERSION_KEY not in simulation.store.data
        token = simulation.controllers[leader].election.fencing_token
        simulation.lower_limits()
        # Each task on a machine of its own: more than the lower limit holds, in one record of the first version.
        simulation.submit_until_accepted(raw_job(1, hands=75, cores=16.0, accelerators=0.0, voyageS=60.0))
        for _ in range(75):
            simulation.boot(ScaleOutRecord("big", "north", False, 1, 0.0))
        await simulation.run_until(lambda: DATA_VERSION_KEY in simulation.store.data, 60.0)
        simulation.submit_until_accepted(big(4))
        await simulation.verify_recovery()
        assert (
            simulation.controllers[leader].election.fencing_token == token
            and 1 <= simulation.store_double.rejected_txns < 5
        )
        assert set(simulation.statuses.values()) == {"done"}

    simulation = Simulation(3, value_kb=16.0, next=NEXT)
    simulation.old_version_controllers.update(LABELS)
    simulation.run_scenario(scenario)


def test_what_a_submission_needs_is_answered_at_any_controller() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.submit_until_accepted(raw_job(1, voyageS=40.0, hands=1))
        simulation.submit_until_accepted(raw_job(2, rig="daemon", hands=1, voyageS=0.0))
        await simulation.advance(3.0)
        for label in LABELS:
            too_many = [f"req-{number:018d}" for number in range(10**17, 10**17 + 9 * 10**15, 10**13)]
            for needs, expected in (
                (["req-000099"], 422),
                (["req-000002"], 422),
                (["req-000050"], 422),
                ("x", 400),
                (["x"], 400),
                (too_many, 400),
            ):
                status, _ = await simulation.request("POST", "/v1/jobs", raw_job(50, tows=needs), label)
                assert status == expected, (label, needs[:3])
            assert (await simulation.request("GET", "/v1/jobs/req-000050", label=label))[0] == 404
        simulation.submit_until_accepted(raw_job(3, tows=["req-000001"], hands=1))
        await simulation.advance(1.0)
        simulation.submit_until_accepted(raw_job(4, tows=["req-000003", "req-000003"], hands=1))
        await simulation.advance(1.0)
        # A repeat is known by its id, whatever else it says.
        assert (await simulation.request("POST", "/v1/jobs", raw_job(4, tows=["req-000099"])))[0] == 200
        leader = simulation.leader_label()
        assert leader is not None
        follower = next(label for label in LABELS if label != leader)
        # What hangs below a cancelled job is called cancelled by whoever answers, from the records alone.
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
