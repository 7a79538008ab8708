"""Unresponsive machines, duplicate heartbeats, isolated leaders, quick restarts, large gangs and sizing."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from driftcleat.capacity.candidate_pool import CandidatePool
from driftcleat.capacity.demand import Demand
from driftcleat.capacity.sizing import plan_fleet
from driftcleat.cluster import ClusterState, Job, MachineState, apply_heartbeat, commands_for_heartbeat
from driftcleat.placement.candidates import Candidate, fits, satisfies_constraints, spread_limit, task_capacity
from driftcleat.placement.placement_round import PlacementRound
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.scheduler import PendingRequest
from driftcleat.store.records import ScaleOutRecord
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.workers import Heartbeat, TaskStatus

from .reference_model import ReferenceModel
from .reference_worker import ReferenceWorker
from .samples import BIG, MACHINE_TYPES, job, platform
from .scheduler_fixtures import new_scheduler
from .test_fault_injection import busy_model, worker_with_task
from .test_scheduler_units import commit, heartbeat, scheduler_with_one_machine, submit_and_place

SITE = platform()


# Unresponsive machines: heartbeats arrive, but responses and commands do not reach the worker.


def test_unresponsive_machine_is_deleted_and_its_tasks_run_elsewhere() -> None:
    """Guards against placing tasks forever on a machine that sends heartbeats but receives no commands."""
    model = busy_model()
    worker = worker_with_task(model, 3)
    worker.inbound_cut = True
    model.run(6 * model.platform.lease_s)
    assert worker.terminated, "its heartbeats show that it received no command"
    assert any(task.job.id == "req-000003" and task.state == "running" for _, task in model.tasks_on_machines())
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"}


def test_machine_that_received_no_response_gets_no_tasks() -> None:
    now = [100.0]
    scheduler = scheduler_with_one_machine(now)
    first = Heartbeat("vm-2", "h:2", "big", "north", False, 1, 1, 0, ())
    machine = apply_heartbeat(scheduler.cluster, first, now[0])
    assert machine is not None and not scheduler.candidates.takes_tasks(machine, now[0])
    commands_for_heartbeat(scheduler.cluster, machine, first)
    acknowledged = Heartbeat("vm-2", "h:2", "big", "north", False, 1, 2, 5, ())
    assert apply_heartbeat(scheduler.cluster, acknowledged, now[0]) is machine and scheduler.candidates.takes_tasks(
        machine, now[0]
    )


def test_cancelled_task_on_an_unresponsive_machine_ends_in_time() -> None:
    model = busy_model()
    worker = worker_with_task(model, 3)
    worker.inbound_cut = True
    model.cancel("req-000003")
    model.run(model.platform.cancel_s)
    assert model.statuses["req-000003"] == "cancelled"
    assert all(task.job.id != "req-000003" for _, task in model.tasks_on_machines())


def test_one_lost_response_does_not_make_a_machine_unresponsive() -> None:
    now = [100.0]
    scheduler = scheduler_with_one_machine(now)
    submit_and_place(scheduler, hands=1)
    machine = scheduler.cluster.machines["vm-1"]
    for seq in (2, 3):
        newest = heartbeat(seq)
        apply_heartbeat(scheduler.cluster, newest, now[0])
        commands_for_heartbeat(scheduler.cluster, machine, newest)
    assert machine.unacknowledged_responses == 1
    attempt = scheduler.cluster.jobs["req-000001"].placements[0].attempt
    apply_heartbeat(scheduler.cluster, heartbeat(4, TaskStatus("req-000001/0", attempt, "running")), now[0])
    assert machine.unacknowledged_responses == 0 and scheduler.candidates.takes_tasks(machine, now[0])


def test_many_machines_unresponsive_at_once_are_not_deleted() -> None:
    """Guards against a leader that answers too slowly and takes all machines for unresponsive."""
    now = [1000.0]
    scheduler = scheduler_with_one_machine(now)
    scheduler.cluster.started_at = 0.0
    for number in range(2, 12):
        apply_heartbeat(scheduler.cluster, Heartbeat(f"vm-{number}", "h", "big", "north", False, 1, 1, 5, ()), now[0])
    empty = plan_fleet([], [], MACHINE_TYPES, lambda offer: False, 1)
    empty.machines_in_use.update(scheduler.cluster.machines)
    for count, machine in enumerate(scheduler.cluster.machines.values(), 1):
        machine.unacknowledged_responses, machine.unacknowledged_since = 9, 0.0
        if count == 2:
            assert len(scheduler.select_scale_in(empty, now[0])) == 2
    assert scheduler.select_scale_in(empty, now[0]) == []


# Late duplicates of heartbeats.


def test_new_leader_does_not_trust_a_late_duplicate_heartbeat() -> None:
    """Guards against placing tasks on a deleted machine because a late duplicate of its heartbeat arrived."""
    now = [100.0]
    cluster = ClusterState(9, {}, dict(MACHINE_TYPES), now[0], SITE.lease_s)
    scheduler = new_scheduler(SITE, cluster, now)
    duplicate = Heartbeat("vm-1", "h:1", "big", "north", False, 1, 7, 5, (), 3.0)
    machine = apply_heartbeat(cluster, duplicate, now[0])
    assert machine is not None
    assert not scheduler.candidates.takes_tasks(machine, now[0]) and scheduler.candidates.available(now[0]) == []
    assert machine.state is MachineState.UP, "a stale termination notice starts no drain"
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1), "req-000001"))
    commit(scheduler)
    commit(scheduler)
    assert not scheduler.cluster.jobs["req-000001"].placements


def test_late_duplicate_heartbeat_changes_nothing() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    attempt = submit_and_place(scheduler, hands=1).placements[0].attempt
    running = TaskStatus("req-000001/0", attempt, "running")
    early = heartbeat(2)
    machine = apply_heartbeat(scheduler.cluster, early, 1.0)
    assert machine is not None
    assert [command.action for command in commands_for_heartbeat(scheduler.cluster, machine, early)] == ["start"]
    apply_heartbeat(scheduler.cluster, heartbeat(3, running), 2.0)
    for late in (
        early,
        heartbeat(2, TaskStatus("req-000001/0", attempt, "exited", "done")),
        heartbeat(1, worker_epoch=1),
    ):
        assert apply_heartbeat(scheduler.cluster, late, 50.0) is None
        assert commands_for_heartbeat(scheduler.cluster, machine, late) == []
    commit(scheduler)
    assert machine.last_heartbeat_at == 2.0, "a late duplicate does not renew the machine's last heartbeat"
    assert scheduler.cluster.jobs["req-000001"].tasks_done == 0 and scheduler.cluster.jobs["req-000001"].placements


def test_duplicates_of_every_heartbeat_break_no_invariant() -> None:
    model = ReferenceModel(3, platform(), MACHINE_TYPES)
    model.elect()
    model.duplicate_rate = 1.0
    for number in range(1, 13):
        model.submit(job(number, hands=2, rig="group" if number % 3 == 0 else "array", rank="high", voyageS=15.0))
        model.run(6.0)
        if number % 4 == 0:
            model.leader.crashed = True
            model.elect("b")
        if number % 5 == 0:
            model.cancel(f"req-{number:06d}")
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"} and model.task_starts >= 20


# A leader that loses the store and its peers, but not its workers.


def test_isolated_leader_decides_nothing_and_steps_down() -> None:
    model = busy_model()
    old = model.leader
    before = {
        (worker.name, task.job.id, task.attempt)
        for worker, task in model.tasks_on_machines()
        if task.job.id == "req-000003"
    }
    model.sticky_leader = old
    model.elect("b")
    batches = old.scheduler.counters.batches
    model.run(2 * model.platform.lease_s)
    assert old.stepped_down, "a heartbeat showed it the new fencing token"
    assert old.scheduler.counters.batches == batches
    acknowledged = [
        machine for machine in model.leader.scheduler.cluster.machines.values() if machine.fence_acknowledged
    ]
    assert len(acknowledged) >= len(model.alive()) - 1, "the workers acknowledged the new leader"
    assert before <= {(worker.name, task.job.id, task.attempt) for worker, task in model.tasks_on_machines()}
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"}


# Restarts within a fraction of a second.


def test_quickly_restarted_worker_is_recognized_as_a_new_incarnation() -> None:
    model = busy_model()
    worker: ReferenceWorker = worker_with_task(model, 3)
    worker.restart()
    model.run(12.0)
    found = [(where.name, task.attempt) for where, task in model.tasks_on_machines() if task.job.id == "req-000003"]
    assert len(found) == 1
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"}


def test_quickly_restarted_controllers_lead_one_at_a_time() -> None:
    model = busy_model()
    tokens = []
    for label in "aabcaab":
        model.leader.crashed = True
        tokens.append(model.elect(label).scheduler.cluster.fencing_token)
        model.run(0.5)
    assert tokens == sorted(set(tokens))
    model.run(40.0)
    assert any(task.job.id == "req-000003" and task.state == "running" for _, task in model.tasks_on_machines())
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"}


def test_combined_faults_break_no_invariant_and_jobs_finish() -> None:
    model = busy_model(11)
    model.duplicate_rate = 0.5
    worker_with_task(model, 1).inbound_cut = True
    model.sticky_leader = model.leader
    model.elect("b")
    model.run(5.0)
    for worker in model.alive()[:2]:
        worker.restart()
    model.leader.crashed = True
    model.elect("c")
    model.submit(job(30, hands=3))
    model.run(60.0)
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"} and model.statuses["req-000030"] == "done"


# Large gangs.


def test_large_gang_starts_while_smaller_ones_keep_arriving() -> None:
    """Guards against a gang of many machines that starves behind a stream of smaller jobs of its priority."""
    site = platform()
    model = ReferenceModel(5, site, {"big": BIG})
    model.elect()
    for _ in range(6):
        model.boot(ScaleOutRecord("big", "north", False, 1, 0.0))
    # The cloud has no more machines, so the gang can only use machines that become free.
    model.leader.scheduler.scale_out.request = lambda plan: None  # type: ignore[method-assign]
    for number in range(1, 7):
        model.submit(
            job(
                number, hands=2, rig="group", rank="standard", crew="blue", accelerators=1.0, cores=12.0, voyageS=20.0
            )
        )
    model.run(10.0)
    model.submit(job(99, hands=4, rig="group", rank="high", together=True, cores=12.0, voyageS=30.0))
    for number in range(100, 124):
        model.submit(
            job(number, hands=1, rig="group", rank="high", crew="blue", accelerators=1.0, cores=12.0, voyageS=15.0)
        )
        model.run(4.0)
    started = model.leader.scheduler.cluster.jobs.get("req-000099")
    assert started is None or started.placements, "the large gang is placed"


def test_machines_of_preempted_tasks_are_reserved_for_the_gang() -> None:
    now = [100.0]
    scheduler = scheduler_with_one_machine(now)
    for number in (2, 3):
        apply_heartbeat(scheduler.cluster, Heartbeat(f"vm-{number}", "h", "big", "north", False, 1, 1, 5, ()), now[0])
    low = job(1, hands=3, cores=16.0, rank="best_effort", voyageS=500.0)
    scheduler.admission.submit(PendingRequest(lambda status: None, low, low.id))
    commit(scheduler)
    commit(scheduler)
    assert len(scheduler.cluster.jobs[low.id].placements) == 3
    gang = job(2, hands=2, rig="group", rank="high", cores=16.0, together=True, crew="blue")
    scheduler.admission.submit(PendingRequest(lambda status: None, gang, gang.id))
    commit(scheduler)
    commit(scheduler)
    stopped = {
        placement.machine
        for placement in scheduler.cluster.jobs[low.id].placements.values()
        if placement.stop_grace_s is not None
    }
    assert len(stopped) == 2 and set(scheduler.preemption.reservations.machines_of(gang.id)) == stopped
    assert len(scheduler.preemption.reservations) == len(stopped)


def test_free_machine_is_reserved_together_with_a_preempted_one() -> None:
    """Guards against smaller jobs that take a gang's free machines while it waits for preempted ones."""
    now = [100.0]
    scheduler = scheduler_with_one_machine(now)
    apply_heartbeat(scheduler.cluster, Heartbeat("vm-2", "h", "big", "north", False, 1, 1, 5, ()), now[0])
    low = job(1, hands=1, cores=16.0, rank="best_effort", voyageS=500.0)
    scheduler.admission.submit(PendingRequest(lambda status: None, low, low.id))
    commit(scheduler)
    commit(scheduler)
    gang = job(2, hands=2, rig="group", rank="high", cores=16.0, together=True, crew="blue")
    scheduler.admission.submit(PendingRequest(lambda status: None, gang, gang.id))
    commit(scheduler)
    commit(scheduler)
    assert set(scheduler.preemption.reservations.machines_of(gang.id)) == {"vm-1", "vm-2"}
    small = job(3, hands=1, cores=1.0, rank="critical", crew="blue")
    scheduler.admission.submit(PendingRequest(lambda status: None, small, small.id))
    now[0] += 1.0
    for _ in range(3):
        commit(scheduler)
    assert not scheduler.cluster.jobs[small.id].placements, "the machines are reserved for the gang"
    now[0] += 60.0
    for name in ("vm-1", "vm-2"):
        known = scheduler.cluster.machines[name].last_heartbeat
        assert known is not None
        apply_heartbeat(
            scheduler.cluster, Heartbeat(name, "h", "big", "north", False, 1, known.sequence + 1, 5, ()), now[0]
        )
    for _ in range(3):
        commit(scheduler)
    assert scheduler.cluster.jobs[small.id].placements, "the reservation expires"


# Sizing of many machines, and the order of writes.


def test_forecast_demand_is_not_limited_per_zone_by_the_size_of_one_job() -> None:
    """Guards against machines in the expensive zone because one job's size was taken as the limit of each zone."""
    expensive = MachineType("expensive", 16.0, 4.0, 64.0, 100.0, 1.0, 40.0, 30.0, 30.0, ("south",))
    cheap = MachineType("cheap", 16.0, 4.0, 64.0, 100.0, 1.0, 4.0, 3.0, 30.0, ("north",))
    plan = plan_fleet(
        [Demand(job(1, hands=4), 40, {})], [], {"expensive": expensive, "cheap": cheap}, lambda offer: False, 64
    )
    assert plan.scale_out == {("cheap", "north", False): 10}
    expected = Demand(job(1, hands=4), 40, {})
    CandidatePool(Candidate(f"vm-{number}", "big", "north", False, 16.0, 4.0, 64.0) for number in range(10)).pack(
        expected, set()
    )
    assert expected.tasks == 0, "one zone may hold all tasks"


def fill_one_by_one(demand: Demand, candidates: list[Candidate]) -> int:
    """Place tasks candidate by candidate, in the same order of preference as the pool; return their number."""
    spec, taken = demand.spec, 0
    for candidate in sorted(
        candidates,
        key=lambda candidate: (
            not candidate.busy,
            candidate.fetch_weighted_cost(spec),
            candidate.gpus,
            candidate.cpus,
        ),
    ):
        zone_left = demand.tasks - taken
        if demand.max_per_zone is not None:
            zone_left = min(zone_left, demand.max_per_zone - demand.tasks_by_zone.get(candidate.zone, 0))
        if not satisfies_constraints(spec, candidate.machine_type, candidate.zone, candidate.spot) or not fits(
            spec, candidate.cpus, candidate.gpus, candidate.memory_gb
        ):
            continue
        count = (
            task_capacity(spec, candidate.cpus, candidate.gpus, candidate.memory_gb, zone_left)
            if zone_left > 0
            else 0
        )
        if count > 0:
            candidate.allocate(spec, count)
            demand.tasks_by_zone[candidate.zone] = demand.tasks_by_zone.get(candidate.zone, 0) + count
            taken += count
    return taken


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_grouped_candidates_take_as_many_tasks_as_single_ones(data: st.DataObject) -> None:
    candidates = []
    for number in range(data.draw(st.integers(0, 24))):
        machine_type = data.draw(st.sampled_from([MACHINE_TYPES["big"], MACHINE_TYPES["small"]]))
        free_fraction = data.draw(st.sampled_from([0.0, 0.5, 1.0]))
        candidates.append(
            Candidate(
                f"vm-{number:03d}",
                machine_type.name,
                data.draw(st.sampled_from(["north", "south"])),
                data.draw(st.booleans()),
                machine_type.cpus * free_fraction,
                machine_type.gpus * free_fraction,
                machine_type.memory_gb * free_fraction,
                busy=free_fraction < 1.0,
                price=machine_type.price,
                total_cpus=machine_type.cpus,
                total_gpus=machine_type.gpus,
                total_memory_gb=machine_type.memory_gb,
            )
        )
    single_candidates = [
        Candidate(
            candidate.name,
            candidate.machine_type,
            candidate.zone,
            candidate.spot,
            candidate.cpus,
            candidate.gpus,
            candidate.memory_gb,
            busy=candidate.busy,
            price=candidate.price,
            total_cpus=candidate.total_cpus,
            total_gpus=candidate.total_gpus,
            total_memory_gb=candidate.total_memory_gb,
        )
        for candidate in candidates
    ]
    spec = job(
        1,
        hands=data.draw(st.integers(1, 30)),
        rig=data.draw(st.sampled_from(["array", "daemon"])),
        cores=data.draw(st.sampled_from([1.0, 4.0, 8.0])),
        spread=data.draw(st.booleans()),
        driftwood=data.draw(st.booleans()),
    )
    grouped_demand, single_demand = Demand(spec, spec.tasks, {}), Demand(spec, spec.tasks, {})
    used: set[str] = set()
    pool = CandidatePool(candidates)
    pool.pack(grouped_demand, used)
    taken = fill_one_by_one(single_demand, single_candidates)
    assert spec.tasks - grouped_demand.tasks == taken == sum(grouped_demand.tasks_by_zone.values())
    assert all(count <= spread_limit(spec) for count in grouped_demand.tasks_by_zone.values())
    assert (taken > 0) == bool(used)
    free = sum(candidate.gpus * len(names) for candidate, names in pool.groups.values())
    assert abs(free - sum(candidate.gpus for candidate in single_candidates)) < 1e-6
    assert sorted(name for _, names in pool.groups.values() for name in names) == sorted(
        candidate.name for candidate in single_candidates
    )


def test_user_writes_come_before_placements_and_deferred_writes() -> None:
    now = [0.0]
    scheduler = scheduler_with_one_machine(now)
    for number in range(4):
        scheduler.garbage_collector.put_later(f"driftcleat/machines/vm-{number}", number)
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1), "req-000001"))
    user_write_budget = scheduler.platform.write_rps * scheduler.tuning.user_write_share
    batch = scheduler.build_batch(user_write_budget)
    assert batch.created == {"req-000001"} and not batch.puts, "the remaining writes are reserved for users"
    scheduler.apply_commit(batch, 9, [])
    assert not scheduler.build_batch(user_write_budget).changed_jobs, "a placement waits for a larger budget"
    batch = scheduler.build_batch(scheduler.platform.write_rps)
    assert batch.changed_jobs == {"req-000001"} and len(batch.puts) == 4


def test_sizing_avoids_small_machines_that_hold_one_task_each() -> None:
    """Guards against creating 200 machines for one task each, whose remaining resources no other task fits."""
    little = MachineType("little", 24.0, 4.0, 96.0, 100.0, 1.0, 11.0, 2.9, 30.0, ("north",))
    large = MachineType("large", 96.0, 8.0, 576.0, 100.0, 1.0, 17.8, 4.3, 30.0, ("north",))
    types = {machine_type.name: machine_type for machine_type in (little, large)}
    spec = job(1, hands=80, cores=10.0, memGb=54.0, driftwood=True)
    plan = plan_fleet([Demand(spec, 80, {})], [], types, lambda offer: offer == ("large", "north", True), 64)
    assert plan.scale_out == {("large", "north", False): 10}


def test_at_equal_prices_work_goes_to_zones_with_more_controllers() -> None:
    """Guards against a partitioned zone with all controllers and only a fifth of the replicas inside."""
    site = platform()
    assert (
        site.controllers_outside("north"),
        site.controllers_outside("south"),
        site.controllers_outside("elsewhere"),
    ) == (1, 1, 2)
    plan = plan_fleet(
        [Demand(job(1, hands=4), 4, {})], [], {"big": BIG}, lambda offer: False, 9, lambda zone: int(zone == "north")
    )
    assert {offer.zone for offer in plan.scale_out} == {"south"}
    candidates = [
        Candidate(f"vm-{number}", "big", "north", False, 8.0, 2.0, 32.0, controllers_elsewhere=number)
        for number in (1, 0, 2)
    ]
    ((_, candidate),) = PlacementRound(candidates, 9, random.Random(1)).place(
        Job(job(2, hands=1), 0.0), QuotaHeadroom(99.0, 99.0), 1
    )
    assert candidate.name == "vm-0"


def test_critical_replicas_get_machines_with_a_faster_image_fetch() -> None:
    """Guards against critical replicas on cheaper machines, where half of them waited longest for their images."""
    fast = MachineType("fast", 16.0, 4.0, 64.0, 100.0, 0.15, 11.0, 3.0, 30.0, ("north",))
    cheap = MachineType("cheap", 16.0, 4.0, 64.0, 100.0, 0.12, 9.0, 3.0, 30.0, ("north",))
    types = {"fast": fast, "cheap": cheap}
    for rig, rank, expected_type in (
        ("daemon", "critical", "fast"),
        ("array", "critical", "cheap"),
        ("daemon", "standard", "cheap"),
    ):
        plan = plan_fleet([Demand(job(1, rig=rig, rank=rank, hands=4), 4, {})], [], types, lambda offer: False, 9)
        assert {offer.machine_type for offer in plan.scale_out} == {expected_type}


def test_service_preempts_tasks_on_several_machines_that_have_its_image() -> None:
    now = [100.0]
    scheduler = scheduler_with_one_machine(now)
    for name, zone in (("vm-2", "north"), ("vm-3", "south")):
        apply_heartbeat(scheduler.cluster, Heartbeat(name, "h", "big", zone, False, 1, 1, 5, ()), now[0])
    low = job(1, hands=2, cores=16.0, rank="best_effort", mooringS=1.0, stowS=0.0, imageGb=0.1, hull="img-low")
    scheduler.admission.submit(PendingRequest(lambda status: None, low, low.id))
    commit(scheduler)
    commit(scheduler)
    cluster = scheduler.cluster
    for placement in cluster.jobs[low.id].placements.values():
        machine = cluster.machines[placement.machine]
        machine.record_image("img-svc", 60.0)
        machine.fetched_images.add("img-svc")
        for key in machine.tasks:
            machine.task_phases[key] = "running"
    service = job(2, rig="daemon", rank="critical", hands=2, hull="img-svc", imageGb=60.0, crew="blue")
    scheduler.admission.submit(PendingRequest(lambda status: None, service, service.id))
    commit(scheduler)
    commit(scheduler)
    assert all(placement.stop_grace_s is not None for placement in cluster.jobs[low.id].placements.values())
    reservations = scheduler.preemption.reservations
    assert 0 < len(reservations) == len(reservations.machines_of(service.id))
    assert scheduler.preemption.waits_for_image(scheduler.cluster.jobs[service.id], now[0])
