"""Unit tests of the scheduler and its parts: heartbeats, commits, placement, sizing, preemption and scale-in."""

import random
from collections.abc import Callable, Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftcleat.capacity.arrivals import ArrivalRates
from driftcleat.capacity.demand import Demand
from driftcleat.capacity.sizing import CapacityPlan, plan_fleet
from driftcleat.cluster import (
    ClusterState,
    IllegalTransitionError,
    Job,
    JobState,
    TaskPlacement,
    TaskState,
    apply_heartbeat,
    commands_for_heartbeat,
    transition_job,
    transition_task,
)
from driftcleat.leadership.lease import LeaseClock
from driftcleat.placement.candidates import Candidate, fits, satisfies_constraints
from driftcleat.placement.fair_share import FairShareOrder
from driftcleat.placement.placement_round import PlacementRound
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.scheduler import PendingRequest, Scheduler, unschedulable_reason
from driftcleat.settings import Tuning
from driftcleat.store.encoding import encode_batch
from driftcleat.store.index_ranges import format_ranges, parse_ranges
from driftcleat.store.keys import CHUNKS_PREFIX, JOBS_PREFIX
from driftcleat.store.layout import RecordLayout
from driftcleat.store.rate_limit import TokenBucket
from driftcleat.wire.users import JobSpec, JobStatus
from driftcleat.wire.workers import Heartbeat, TaskStatus

from .reference_store import InMemoryStore
from .samples import BIG, MACHINE_TYPES, decode_job_records, job, platform
from .scheduler_fixtures import new_scheduler

SITE = platform()


def scheduler_with_one_machine(now: list[float], clock: Callable[[], float] | None = None) -> Scheduler:
    """Return a scheduler with one idle machine, `vm-1`; without `clock` it reads the time from `now[0]`."""
    cluster = ClusterState(5, {}, dict(MACHINE_TYPES), now[0])
    scheduler = new_scheduler(SITE, cluster, now, clock)
    apply_heartbeat(cluster, heartbeat(1), now[0])
    return scheduler


def heartbeat(seq: int, *tasks: TaskStatus, worker_epoch: int = 1, fencing_token: int = 5) -> Heartbeat:
    """Return a heartbeat of `vm-1` with sequence number `seq` and the statuses of its tasks."""
    return Heartbeat("vm-1", "h:1", "big", "north", False, worker_epoch, seq, fencing_token, tasks)


def commit(scheduler: Scheduler, revision: int = 9) -> None:
    """Build a batch and apply it as committed at a revision of the store."""
    batch = scheduler.build_batch()
    scheduler.apply_commit(batch, revision, [])


def submit_and_place(scheduler: Scheduler, **changes: object) -> Job:
    """Submit a job as `req-000001`, place its tasks and return it."""
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1, **changes), "req-000001"))
    commit(scheduler)
    commit(scheduler)
    found = scheduler.cluster.jobs["req-000001"]
    assert found.placements
    return found


def test_heartbeat_answered_by_a_start_does_not_prove_the_task_absent() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    submit_and_place(scheduler, hands=1)
    machine = scheduler.cluster.machines["vm-1"]
    newest = heartbeat(2)
    assert apply_heartbeat(scheduler.cluster, newest, 1.0) is machine
    assert [command.action for command in commands_for_heartbeat(scheduler.cluster, machine, newest)] == ["start"]
    scheduler.admission.cancel(PendingRequest(lambda status: None, None, "req-000001"))
    commit(scheduler)
    scheduler.cluster.machines_to_reconcile.add("vm-1")
    commit(scheduler)
    # The response with the start may still be on its way, so the task counts as running there.
    assert scheduler.cluster.jobs["req-000001"].placements
    apply_heartbeat(scheduler.cluster, heartbeat(3), 2.0)
    commit(scheduler)
    assert "req-000001" not in scheduler.cluster.jobs and scheduler.admission.lookup("req-000001") == JobStatus(
        "req-000001", "cancelled", 0, 0
    )


def test_heartbeat_with_an_older_fencing_token_does_not_prove_a_task_absent() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    submit_and_place(scheduler, hands=1)
    apply_heartbeat(scheduler.cluster, heartbeat(2, fencing_token=4), 1.0)
    scheduler.admission.cancel(PendingRequest(lambda status: None, None, "req-000001"))
    commit(scheduler)
    scheduler.cluster.machines_to_reconcile.add("vm-1")
    commit(scheduler)
    assert scheduler.cluster.jobs["req-000001"].placements


def test_no_start_is_sent_for_a_placement_being_released() -> None:
    """Guards against a task that runs twice after its worker restarted and reports no tasks.

    The batch that releases the placement waits for the store when another heartbeat arrives. If that heartbeat were
    answered with a start, the task would run here and where the next batch places it.
    """
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    scheduler.cluster.lease_s = SITE.lease_s
    submit_and_place(scheduler, hands=1)
    machine = scheduler.cluster.machines["vm-1"]
    first = heartbeat(2)
    apply_heartbeat(scheduler.cluster, first, 1.0)
    assert [command.action for command in commands_for_heartbeat(scheduler.cluster, machine, first)] == ["start"]
    attempt = scheduler.cluster.jobs["req-000001"].placements[0].attempt
    running = heartbeat(3, TaskStatus("req-000001/0", attempt, "running"))
    apply_heartbeat(scheduler.cluster, running, 1.5)
    commands_for_heartbeat(scheduler.cluster, machine, running)
    commit(scheduler)
    restarted = heartbeat(1, worker_epoch=2)
    apply_heartbeat(scheduler.cluster, restarted, 2.0)
    batch = scheduler.build_batch()
    assert [(old is not None, new) for _, _, old, new in batch.task_transitions] == [(True, None)], (
        "the new worker epoch proves that the task is not running"
    )
    commands_for_heartbeat(scheduler.cluster, machine, restarted)
    later = heartbeat(2, worker_epoch=2)
    apply_heartbeat(scheduler.cluster, later, 3.0)
    assert commands_for_heartbeat(scheduler.cluster, machine, later) == []
    scheduler.apply_commit(batch, 99, [])
    assert not scheduler.cluster.jobs["req-000001"].placements and not scheduler.cluster.attempts_being_released


def test_forget_is_sent_only_after_the_exit_is_committed() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    attempt = submit_and_place(scheduler, hands=1).placements[0].attempt
    machine = scheduler.cluster.machines["vm-1"]
    newest = heartbeat(2, TaskStatus("req-000001/0", attempt, "exited", "done"))
    apply_heartbeat(scheduler.cluster, newest, 1.0)
    assert "forget" not in [command.action for command in commands_for_heartbeat(scheduler.cluster, machine, newest)]
    commit(scheduler)
    assert [command.action for command in commands_for_heartbeat(scheduler.cluster, machine, newest)] == ["forget"]
    assert scheduler.admission.lookup("req-000001") == JobStatus("req-000001", "done", 1, 0)


def test_stale_heartbeat_changes_nothing_and_gets_no_commands() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    submit_and_place(scheduler, hands=1)
    machine = scheduler.cluster.machines["vm-1"]
    late = heartbeat(2)
    apply_heartbeat(scheduler.cluster, heartbeat(7), 1.0)
    assert apply_heartbeat(scheduler.cluster, late, 2.0) is None
    assert commands_for_heartbeat(scheduler.cluster, machine, late) == []


def test_submission_is_not_visible_before_the_commit() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    statuses: list[JobStatus | None] = []
    scheduler.admission.submit(PendingRequest(statuses.append, job(1), "req-000001"))
    batch = scheduler.build_batch()
    assert scheduler.admission.lookup("req-000001") is None and statuses == []
    scheduler.apply_commit(batch, 9, [])
    assert statuses == [JobStatus("req-000001", "pending", 0, 0)]


def test_deleted_machine_takes_no_task() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    machine = scheduler.cluster.machines["vm-1"]
    scheduler.cluster.record_terminated(machine, 0.0)
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1), "req-000001"))
    commit(scheduler)
    commit(scheduler)
    assert not scheduler.cluster.jobs["req-000001"].placements
    assert apply_heartbeat(scheduler.cluster, heartbeat(9), 1.0) is None, (
        "a late heartbeat does not add the machine again"
    )
    assert not scheduler.cluster.machines, "no state of the machine is kept"


def test_truncated_placement_round_continues_where_it_stopped() -> None:
    ticks: Iterator[float] = iter([])
    # The clock returns `now[0]` once no tick is left.
    now = [0.0]
    scheduler = scheduler_with_one_machine(now, lambda: next(ticks, now[0]))
    for number in range(1, 4):
        scheduler.admission.submit(PendingRequest(lambda status: None, job(number, hands=1), f"req-{number:06d}"))
    commit(scheduler)
    ticks = iter([0.0, 0.0])
    now[0] = 1.0
    batch = scheduler.build_batch()
    assert [move[0] for move in batch.task_transitions] == ["req-000001"] and scheduler.counters.rounds_truncated == 1
    scheduler.apply_commit(batch, 9, [])
    now[0] = 2.0
    assert [move[0] for move in scheduler.build_batch().task_transitions] == ["req-000002", "req-000003"]


def test_illegal_state_transitions_are_rejected() -> None:
    one = Job(job(1), 0.0)
    with pytest.raises(IllegalTransitionError):
        transition_task(one, 0, TaskState.DONE)
    transition_task(one, 0, TaskState.PLACED, TaskPlacement("m", "z", 1))
    with pytest.raises(IllegalTransitionError):
        transition_task(one, 0, TaskState.PLACED, TaskPlacement("other", "z", 2))
    with pytest.raises(IllegalTransitionError):
        transition_job(one, JobState.DONE)
    transition_job(one, JobState.CANCELLED)
    with pytest.raises(IllegalTransitionError):
        transition_job(one, JobState.TERMINATED)
    with pytest.raises(IllegalTransitionError):
        transition_task(one, 1, TaskState.PLACED, TaskPlacement("m", "z", 1))


@settings(derandomize=True, max_examples=200)
@given(st.sets(st.integers(0, 300)))
def test_index_ranges_round_trip(numbers: set[int]) -> None:
    assert parse_ranges(format_ranges(sorted(numbers))) == sorted(numbers)


@pytest.mark.parametrize(("tasks", "rig"), [(5, "array"), (3000, "array"), (100_000, "array"), (700, "group")])
def test_large_jobs_stay_within_the_store_limits(tasks: int, rig: str) -> None:
    """Every batch must fit txn_ops, value size and 64 KiB, and decoding its records must return the same job."""
    site = platform(txn_ops=12)
    store = InMemoryStore(site)
    fencing_token = store.put_leader("a")
    layout = RecordLayout(site.value_bytes, site.txn_ops)
    spec = job(1, hands=tasks, rig=rig, cores=0.0, accelerators=0.0, memGb=0.0)
    cluster = ClusterState(fencing_token, {}, dict(MACHINE_TYPES), 0.0)
    now = [0.0]
    scheduler = Scheduler(
        site,
        Tuning(round_budget_intervals=0.2),
        cluster,
        layout,
        random.Random(1),
        lambda: now[0],
        lambda: now[0],
        is_new_store=True,
    )
    for number in range(30):
        apply_heartbeat(
            cluster, Heartbeat(f"vm-{number:06d}", "h:1", "big", "north", False, 1, 1, fencing_token, ()), 0.0
        )
    scheduler.admission.submit(PendingRequest(lambda status: None, spec, spec.id))
    batch_marker = 0
    for number in range(1, 12):
        now[0] += 1.0
        for machine in cluster.machines.values():
            machine.last_heartbeat_at = now[0]
        batch = scheduler.build_batch()
        if batch.is_empty:
            break
        encoded = encode_batch(batch, layout, fencing_token, number, batch_marker)
        revision = store.txn(encoded.body)
        assert revision is not None
        batch_marker = revision
        scheduler.apply_commit(batch, revision, encoded.obsolete_keys)
    expected = cluster.jobs[spec.id]
    assert len(expected.placements) >= min(tasks, 500)
    loaded, orphans = decode_job_records(store.items(JOBS_PREFIX), store.items(CHUNKS_PREFIX))
    decoded = loaded[spec.id]
    assert not orphans and decoded.placements == expected.placements and decoded.task_states == expected.task_states
    assert (
        decoded.mod_revision == expected.mod_revision and decoded.chunk_mod_revisions == expected.chunk_mod_revisions
    )


def test_batch_of_a_previous_leader_is_rejected_after_an_election() -> None:
    store = InMemoryStore(SITE)
    fencing_token = store.put_leader("a")
    scheduler = scheduler_with_one_machine([0.0])
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1), "req-000001"))
    encoded = encode_batch(scheduler.build_batch(), scheduler.layout, fencing_token, 1, 0)
    store.put_leader("b")
    assert store.txn(encoded.body) is None


def any_candidate_fits(spec: JobSpec, candidates: list[Candidate]) -> bool:
    """Return whether a task fits any candidate, checking each of them."""
    return any(
        satisfies_constraints(spec, candidate.machine_type, candidate.zone, candidate.spot)
        and fits(spec, candidate.cpus, candidate.gpus, candidate.memory_gb)
        for candidate in candidates
    )


@settings(derandomize=True, max_examples=150)
@given(st.data())
def test_placement_finds_room_whenever_there_is_any(data: st.DataObject) -> None:
    candidates = [
        Candidate(
            f"m{number}",
            data.draw(st.sampled_from(["big", "small"])),
            data.draw(st.sampled_from("ns")),
            data.draw(st.booleans()),
            float(data.draw(st.integers(0, 8))),
            float(data.draw(st.integers(0, 4))),
            16.0,
        )
        for number in range(data.draw(st.integers(0, 12)))
    ]
    spec = job(
        1,
        hands=data.draw(st.integers(1, 6)),
        rig=data.draw(st.sampled_from(["array", "group"])),
        cores=float(data.draw(st.integers(1, 4))),
        driftwood=data.draw(st.booleans()),
        builds=data.draw(st.sampled_from([None, ["big"]])),
        harbor=data.draw(st.sampled_from([None, "n"])),
        together=data.draw(st.booleans()),
    )
    quota = QuotaHeadroom(float("inf"), float(data.draw(st.integers(0, 6))))
    before = [
        Candidate(
            candidate.name,
            candidate.machine_type,
            candidate.zone,
            candidate.spot,
            candidate.cpus,
            candidate.gpus,
            16.0,
        )
        for candidate in candidates
    ]
    max_tasks = quota.gpus
    round_ = PlacementRound(candidates, data.draw(st.integers(1, 5)), random.Random(3))
    placements = round_.place(Job(spec, 0.0), quota, 100)
    assert len(placements) <= max_tasks and (spec.kind.value != "group" or len(placements) in (0, spec.tasks))
    if spec.single_zone:
        assert len({candidate.zone for _, candidate in placements}) <= 1
    for candidate in candidates:
        assert candidate.cpus >= 0 and candidate.gpus >= 0
    for _, candidate in placements:
        assert satisfies_constraints(spec, candidate.machine_type, candidate.zone, candidate.spot)
    if spec.kind.value == "array" and not placements and max_tasks >= 1:
        assert not any_candidate_fits(spec, before)


def test_sizing_keeps_a_one_zone_gang_in_one_zone() -> None:
    """Guards against a gang that starves: half its room in each of two zones was added up, and no machine created."""
    spec = job(1, rig="group", hands=4, accelerators=2.0, together=True)
    candidates = [Candidate("a", "big", "north", False, 16, 4, 64), Candidate("b", "big", "south", False, 16, 4, 64)]
    plan = plan_fleet([Demand(spec, 4, {})], candidates, MACHINE_TYPES, lambda offer: False, 10)
    assert sum(plan.scale_out.values()) >= 1 and len({zone for _, zone, _ in plan.scale_out}) == 1


def test_burst_of_submissions_is_not_taken_for_an_arrival_rate() -> None:
    """Guards against a forecast that expects the submissions of the first second again every second."""
    arrivals = ArrivalRates(80.0, 2.0)
    for number in range(40):
        arrivals.record(job(number), 10.0)
    ((_, rate, mean),) = arrivals.rates(40.0)
    assert rate * mean < 0.2


def test_lease_is_counted_from_the_time_its_request_was_sent() -> None:
    lease = LeaseClock(4.0, 0.01)
    lease.record_grant(7, 100.0)
    assert lease.is_valid(103.9) and not lease.is_valid(103.97)
    lease.record_keep_alive(102.0)
    lease.record_keep_alive(101.0)
    assert lease.is_valid(105.9) and not lease.is_valid(106.0)
    lease.clear()
    assert not lease.is_valid(100.0)


def test_token_bucket_never_exceeds_its_rate() -> None:
    now = [0.0]
    bucket = TokenBucket(10.0, lambda: now[0])
    sent = 0
    for _ in range(500):
        now[0] += 0.01
        while bucket.delay_s(1) <= 0:
            bucket.consume(1)
            sent += 1
    assert 50 <= sent <= 61


def test_unschedulable_jobs_get_a_reason() -> None:
    assert unschedulable_reason(job(1), MACHINE_TYPES, SITE) is None
    assert "team" in (unschedulable_reason(job(1, crew="green"), MACHINE_TYPES, SITE) or "")
    assert "fits no" in (unschedulable_reason(job(1, cores=99.0), MACHINE_TYPES, SITE) or "")
    assert "fits no" in (unschedulable_reason(job(1, harbor="moon"), MACHINE_TYPES, SITE) or "")
    assert "limit" in (unschedulable_reason(job(1, rig="group", hands=9), MACHINE_TYPES, SITE) or "")
    assert unschedulable_reason(job(1, rig="array", hands=9), MACHINE_TYPES, SITE) is None
    # A gang with contradictory constraints would wait forever; the tasks of an array may run one after another.
    for constraints in ({"together": True}, {"harbor": "north"}):
        assert "spread" in (
            unschedulable_reason(job(1, rig="group", hands=2, spread=True, **constraints), MACHINE_TYPES, SITE) or ""
        )
        assert (
            unschedulable_reason(job(1, rig="group", hands=1, spread=True, **constraints), MACHINE_TYPES, SITE)
            is None
        )
        assert (
            unschedulable_reason(job(1, rig="array", hands=2, spread=True, **constraints), MACHINE_TYPES, SITE)
            is None
        )
    assert unschedulable_reason(job(1, rig="group", hands=2, spread=True), MACHINE_TYPES, SITE) is None


def test_gang_is_not_placed_while_a_task_of_an_older_attempt_may_run() -> None:
    gang = Job(job(1, rig="group", hands=2), 0.0)
    candidates = [Candidate("a", "big", "north", False, 16, 4, 64)]
    assert len(PlacementRound(candidates, 3, random.Random(1)).place(gang, QuotaHeadroom(99.0, 99.0), 9)) == 2
    transition_task(gang, 1, TaskState.PLACED, TaskPlacement("z", "north", 1, 0.0))
    candidates = [Candidate("a", "big", "north", False, 16, 4, 64)]
    assert PlacementRound(candidates, 3, random.Random(1)).place(gang, QuotaHeadroom(99.0, 99.0), 9) == []


def test_machine_that_keeps_running_a_cancelled_task_is_fenced() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    attempt = submit_and_place(scheduler, hands=1).placements[0].attempt
    scheduler.admission.cancel(PendingRequest(lambda status: None, None, "req-000001"))
    commit(scheduler)
    assert scheduler.cancellations.machines_to_fence() == set()
    now[0] = SITE.cancel_s * 0.5
    apply_heartbeat(scheduler.cluster, heartbeat(2, TaskStatus("req-000001/0", attempt, "running")), now[0])
    commit(scheduler)
    assert scheduler.cancellations.machines_to_fence() == {"vm-1"}


def test_two_jobs_never_preempt_each_other() -> None:
    """Guards against a guaranteed best-effort job and a standard job that preempt each other in a loop."""
    low = Job(job(1, rank="best_effort", crew="red"), 1.0)
    standard = Job(job(2, rank="standard", crew="blue"), 2.0)
    assert FairShareOrder({low.id}).may_preempt(low, standard), (
        "a guaranteed job may preempt one that is not guaranteed"
    )
    assert not FairShareOrder({low.id, standard.id}).may_preempt(low, standard)
    assert not FairShareOrder({low.id}).may_preempt(standard, low)
    assert FairShareOrder(set()).may_preempt(standard, low)
    for guaranteed in (set(), {low.id}, {standard.id}, {low.id, standard.id}):
        assert not (
            FairShareOrder(guaranteed).may_preempt(low, standard)
            and FairShareOrder(guaranteed).may_preempt(standard, low)
        )


def test_termination_notice_alone_starts_a_drain() -> None:
    """Guards against a heartbeat that differs only in its termination notice and causes no batch."""
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    attempt = submit_and_place(scheduler, hands=1).placements[0].attempt
    running = TaskStatus("req-000001/0", attempt, "running")
    apply_heartbeat(scheduler.cluster, heartbeat(2, running), 1.0)
    while scheduler.has_work:
        commit(scheduler)
    apply_heartbeat(scheduler.cluster, Heartbeat("vm-1", "h:1", "big", "north", False, 1, 3, 5, (running,), 8.0), 2.0)
    assert scheduler.has_work
    commit(scheduler)
    assert scheduler.cluster.jobs["req-000001"].placements[0].stop_grace_s == 2.0


def test_consolidation_moves_a_replica_only_to_a_machine_with_its_image() -> None:
    now = [1000.0]
    scheduler = scheduler_with_one_machine(now)
    scheduler.cluster.started_at = 0.0
    for number in (1, 2, 3):
        scheduler.admission.submit(
            PendingRequest(lambda status: None, job(number, rig="daemon", hands=1), f"req-{number:06d}")
        )
    commit(scheduler)
    commit(scheduler)
    cluster = scheduler.cluster
    apply_heartbeat(cluster, Heartbeat("vm-2", "h:2", "big", "north", False, 1, 1, 5, ()), now[0])
    scheduler.admission.submit(
        PendingRequest(lambda status: None, job(4, rig="daemon", hands=1, accelerators=4.0), "req-000004")
    )
    commit(scheduler)
    commit(scheduler)
    spare, full = cluster.machines["vm-1"], cluster.machines["vm-2"]
    assert (len(spare.tasks), len(full.tasks)) == (3, 1)
    for machine in (spare, full):
        machine.tasks_changed_at = 0.0
        for key in machine.tasks:
            machine.task_phases[key] = "running"
    assert scheduler.consolidation_candidate(now[0]) is None, (
        "no machine is underused: one is full, the other more than half used"
    )
    for key in list(spare.tasks)[:2]:
        spare.remove_task(key, cluster.jobs[key[0]].spec, 0.0, cluster.image_of)
    full.remove_task(next(iter(full.tasks)), cluster.jobs["req-000004"].spec, 0.0, cluster.image_of)
    assert scheduler.consolidation_candidate(now[0]) is None, (
        "the other machine is empty: moving a task there would free no machine"
    )
    full.add_task(("req-000001", 0), TaskPlacement("vm-2", "north", 1), cluster.jobs["req-000001"].spec)
    full.task_phases[("req-000001", 0)] = "running"
    assert scheduler.consolidation_candidate(now[0]) in (spare, full)
    full.cached_images.clear()
    spare.cached_images.clear()
    assert scheduler.consolidation_candidate(now[0]) is None, "a moved task must not wait for an image fetch"


def test_image_with_an_unfinished_fetch_is_not_cached() -> None:
    """Guards against preempting tasks on a machine for an image whose fetch it never finished."""
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    attempt = submit_and_place(scheduler, hands=1).placements[0].attempt
    machine = scheduler.cluster.machines["vm-1"]
    assert "img-1" in machine.cached_images
    apply_heartbeat(scheduler.cluster, heartbeat(2, TaskStatus("req-000001/0", attempt, "pulling")), 1.0)
    apply_heartbeat(scheduler.cluster, heartbeat(3, TaskStatus("req-000001/0", attempt, "exited", "stopped")), 2.0)
    commit(scheduler)
    assert "img-1" not in machine.cached_images
    scheduler = scheduler_with_one_machine(now)
    attempt = submit_and_place(scheduler, hands=1).placements[0].attempt
    machine = scheduler.cluster.machines["vm-1"]
    apply_heartbeat(scheduler.cluster, heartbeat(2, TaskStatus("req-000001/0", attempt, "running")), 1.0)
    apply_heartbeat(scheduler.cluster, heartbeat(3, TaskStatus("req-000001/0", attempt, "exited", "stopped")), 2.0)
    commit(scheduler)
    assert "img-1" in machine.cached_images


def test_late_silent_and_idle_machines_are_selected_for_scale_in() -> None:
    now = [1000.0]
    scheduler = scheduler_with_one_machine(now)
    scheduler.cluster.started_at = 0.0
    late = scheduler.cluster.register_machine("vm-2", "big", "north", False, "", now[0])
    empty = CapacityPlan({}, set())
    assert scheduler.select_scale_in(empty, now[0]) == []
    now[0] += BIG.boot_s * scheduler.tuning.boot_timeout_boot_times + 0.1
    reachable = scheduler.cluster.machines["vm-1"]
    reachable.last_heartbeat_at = now[0]
    assert {machine.name for machine in scheduler.select_scale_in(empty, now[0])} == {"vm-1", "vm-2"}, (
        "vm-1 is idle, vm-2 did not start in time"
    )
    assert scheduler.select_scale_in(CapacityPlan({}, {"vm-1"}), now[0]) == [late], (
        "a machine that queued jobs need is kept"
    )
    reachable.last_heartbeat_at = now[0] - SITE.lease_s * scheduler.tuning.machine_loss_timeout_leases - 0.1
    assert reachable in scheduler.select_scale_in(CapacityPlan({}, {"vm-1"}), now[0]), (
        "no heartbeat for longer than its lease"
    )


def test_refused_scale_out_uses_another_offer_and_is_retried_later() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    scheduler.cluster.machines.clear()
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1, hands=1, builds=["big"]), "req-000001"))
    commit(scheduler)
    (first,) = scheduler.plan_scale_out(0.0).scale_out
    scheduler.scale_out.record_refusal(first, 0.0)
    (second,) = scheduler.plan_scale_out(0.0).scale_out
    assert second != first and second[0] == "big"
    scheduler.scale_out.record_refusal(second, 0.0)
    assert scheduler.plan_scale_out(0.0).scale_out == {}
    assert scheduler.plan_scale_out(40.0).scale_out != {}
