"""What was added to the protocol: unresponsive machines, late copies, split leaders, quick returns, large jobs."""

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

from .reference_model import ReferenceModel, ReferenceWorker
from .samples import BIG, MACHINE_TYPES, job, platform
from .scheduler_fixtures import new_scheduler
from .test_fault_injection import busy_model, holder
from .test_scheduler_units import commit, make_term, placed, report

SITE = platform()


# -- a machine whose reports arrive while answers and commands do not reach it -------------------------------


def test_an_unresponsive_machine_is_returned_and_its_work_goes_on_elsewhere() -> None:
    """Guards against offering starts for ever to a machine that looks alive and hears nothing."""
    model = busy_model()
    worker = holder(model, 3)
    worker.inbound_cut = True
    model.run(6 * model.platform.lease_s)
    assert worker.terminated, "its own reports show that it heeds nothing"
    assert any(task.job.id == "req-000003" and task.state == "running" for _, task in model.tasks_on_machines())
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"}


def test_a_machine_that_never_heard_us_is_given_nothing() -> None:
    now = [100.0]
    scheduler = make_term(now)
    first = Heartbeat("vm-2", "h:2", "big", "north", False, 1, 1, 0, ())
    machine = apply_heartbeat(scheduler.cluster, first, now[0])
    assert machine is not None and not scheduler.candidates.takes_tasks(machine, now[0])
    commands_for_heartbeat(scheduler.cluster, machine, first)
    heard = Heartbeat("vm-2", "h:2", "big", "north", False, 1, 2, 5, ())
    assert apply_heartbeat(scheduler.cluster, heard, now[0]) is machine and scheduler.candidates.takes_tasks(
        machine, now[0]
    )


def test_a_cancelled_task_on_an_unresponsive_machine_is_gone_in_time() -> None:
    model = busy_model()
    worker = holder(model, 3)
    worker.inbound_cut = True
    model.cancel("req-000003")
    model.run(model.platform.cancel_s)
    assert model.statuses["req-000003"] == "cancelled"
    assert all(task.job.id != "req-000003" for _, task in model.tasks_on_machines())


def test_one_lost_answer_makes_no_machine_unresponsive() -> None:
    now = [100.0]
    scheduler = make_term(now)
    placed(scheduler, hands=1)
    machine = scheduler.cluster.machines["vm-1"]
    for seq in (2, 3):
        newest = report(seq)
        apply_heartbeat(scheduler.cluster, newest, now[0])
        commands_for_heartbeat(scheduler.cluster, machine, newest)
    assert machine.unacknowledged_responses == 1
    attempt = scheduler.cluster.jobs["req-000001"].placements[0].attempt
    apply_heartbeat(scheduler.cluster, report(4, TaskStatus("req-000001/0", attempt, "running")), now[0])
    assert machine.unacknowledged_responses == 0 and scheduler.candidates.takes_tasks(machine, now[0])


def test_many_unresponsive_at_once_are_not_returned() -> None:
    """Guards against a leader too slow to answer that takes the whole fleet for unresponsive."""
    now = [1000.0]
    scheduler = make_term(now)
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


# -- late copies of reports ----------------------------------------------------------------------------------


def test_a_late_copy_proves_nothing_to_a_new_leader() -> None:
    """Guards against a report of a machine long gone: it was taken for a machine with room."""
    now = [100.0]
    cluster = ClusterState(9, {}, dict(MACHINE_TYPES), now[0], SITE.lease_s)
    scheduler = new_scheduler(SITE, cluster, now)
    copy = Heartbeat("vm-1", "h:1", "big", "north", False, 1, 7, 5, (), 3.0)
    machine = apply_heartbeat(cluster, copy, now[0])
    assert machine is not None
    assert not scheduler.candidates.takes_tasks(machine, now[0]) and scheduler.candidates.available(now[0]) == []
    assert machine.state is MachineState.UP, "an old notice drains nothing"
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1), "req-000001"))
    commit(scheduler)
    commit(scheduler)
    assert not scheduler.cluster.jobs["req-000001"].placements


def test_a_late_copy_starts_stops_and_forgets_nothing() -> None:
    now = [0.0]
    scheduler = make_term(now)
    attempt = placed(scheduler, hands=1).placements[0].attempt
    running = TaskStatus("req-000001/0", attempt, "running")
    early = report(2)
    machine = apply_heartbeat(scheduler.cluster, early, 1.0)
    assert machine is not None
    assert [command.action for command in commands_for_heartbeat(scheduler.cluster, machine, early)] == ["start"]
    apply_heartbeat(scheduler.cluster, report(3, running), 2.0)
    for late in (early, report(2, TaskStatus("req-000001/0", attempt, "exited", "done")), report(1, session=1)):
        assert apply_heartbeat(scheduler.cluster, late, 50.0) is None
        assert commands_for_heartbeat(scheduler.cluster, machine, late) == []
    commit(scheduler)
    assert machine.last_heartbeat_at == 2.0, "it revives nothing"
    assert scheduler.cluster.jobs["req-000001"].tasks_done == 0 and scheduler.cluster.jobs["req-000001"].placements


def test_copies_of_every_report_break_no_rule() -> None:
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


# -- a leader without store and peers, not without its workers -----------------------------------------------


def test_a_leader_without_store_and_peers_decides_nothing_and_gives_its_workers_up() -> None:
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
    assert old.stepped_down, "a worker that saw the new token told it"
    assert old.scheduler.counters.batches == batches
    heard = [machine for machine in model.leader.scheduler.cluster.machines.values() if machine.fence_acknowledged]
    assert len(heard) >= len(model.alive()) - 1, "the workers are with the new leader"
    assert before <= {(worker.name, task.job.id, task.attempt) for worker, task in model.tasks_on_machines()}
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"}


# -- back within a fraction of a second ----------------------------------------------------------------------


def test_a_machine_that_is_back_at_once_is_told_from_what_it_was() -> None:
    model = busy_model()
    worker: ReferenceWorker = holder(model, 3)
    worker.restart()
    model.run(12.0)
    found = [(where.name, task.attempt) for where, task in model.tasks_on_machines() if task.job.id == "req-000003"]
    assert len(found) == 1
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"}


def test_controllers_that_come_back_at_once_lead_one_at_a_time() -> None:
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


def test_troubles_together_break_no_rule_and_work_goes_on() -> None:
    model = busy_model(11)
    model.duplicate_rate = 0.5
    holder(model, 1).inbound_cut = True
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


# -- the largest jobs ----------------------------------------------------------------------------------------


def test_a_large_gang_starts_although_smaller_ones_keep_coming() -> None:
    """Guards against a gang of many machines that starves behind a stream of smaller jobs of its rank."""
    site = platform()
    model = ReferenceModel(5, site, {"big": BIG})
    model.elect()
    for _ in range(6):
        model.boot(ScaleOutRecord("big", "north", False, 1, 0.0))
    # The cloud has no more: what comes free is all there is.
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
    assert started is None or started.placements, "the large one has its machines"


def test_what_a_gang_waits_for_is_kept_for_it() -> None:
    now = [100.0]
    scheduler = make_term(now)
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


def test_a_free_machine_is_kept_beside_one_that_comes_free() -> None:
    """Guards against smaller jobs taking the free machines of a gang one by one while the others come free."""
    now = [100.0]
    scheduler = make_term(now)
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
    assert not scheduler.cluster.jobs[small.id].placements, "what is held is for the gang"
    now[0] += 60.0
    for name in ("vm-1", "vm-2"):
        known = scheduler.cluster.machines[name].last_heartbeat
        assert known is not None
        apply_heartbeat(
            scheduler.cluster, Heartbeat(name, "h", "big", "north", False, 1, known.sequence + 1, 5, ()), now[0]
        )
    for _ in range(3):
        commit(scheduler)
    assert scheduler.cluster.jobs[small.id].placements, "not for ever"


# -- sizing and the store's changes, at size -----------------------------------------------------------------


def test_what_is_expected_of_a_class_is_not_spread_over_zones_by_one_jobs_size() -> None:
    """Seen on the bench: rooms were rented in the dear zone, since one job's size was taken for the limit."""
    dear = MachineType("dear", 16.0, 4.0, 64.0, 100.0, 1.0, 40.0, 30.0, 30.0, ("south",))
    cheap = MachineType("cheap", 16.0, 4.0, 64.0, 100.0, 1.0, 4.0, 3.0, 30.0, ("north",))
    plan = plan_fleet([Demand(job(1, hands=4), 40, {})], [], {"dear": dear, "cheap": cheap}, lambda offer: False, 64)
    assert plan.scale_out == {("cheap", "north", False): 10}
    expected = Demand(job(1, hands=4), 40, {})
    CandidatePool(Candidate(f"vm-{number}", "big", "north", False, 16.0, 4.0, 64.0) for number in range(10)).pack(
        expected, set()
    )
    assert expected.tasks == 0, "one zone may hold them all"


def plain_fill(demand: Demand, rooms: list[Candidate]) -> int:
    """The slow plain model: room by room, in the same order of preference."""
    spec, taken = demand.spec, 0
    for room in sorted(rooms, key=lambda room: (not room.busy, room.fetch_weighted_cost(spec), room.gpus, room.cpus)):
        zone_left = demand.tasks - taken
        if demand.max_per_zone is not None:
            zone_left = min(zone_left, demand.max_per_zone - demand.tasks_by_zone.get(room.zone, 0))
        if not satisfies_constraints(spec, room.machine_type, room.zone, room.spot) or not fits(
            spec, room.cpus, room.gpus, room.memory_gb
        ):
            continue
        count = task_capacity(spec, room.cpus, room.gpus, room.memory_gb, zone_left) if zone_left > 0 else 0
        if count > 0:
            room.allocate(spec, count)
            demand.tasks_by_zone[room.zone] = demand.tasks_by_zone.get(room.zone, 0) + count
            taken += count
    return taken


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_candidates_in_groups_hold_what_each_by_itself_holds(data: st.DataObject) -> None:
    rooms = []
    for number in range(data.draw(st.integers(0, 24))):
        machine_type = data.draw(st.sampled_from([MACHINE_TYPES["big"], MACHINE_TYPES["small"]]))
        share = data.draw(st.sampled_from([0.0, 0.5, 1.0]))
        rooms.append(
            Candidate(
                f"vm-{number:03d}",
                machine_type.name,
                data.draw(st.sampled_from(["north", "south"])),
                data.draw(st.booleans()),
                machine_type.cpus * share,
                machine_type.gpus * share,
                machine_type.memory_gb * share,
                busy=share < 1.0,
                price=machine_type.price,
                total_cpus=machine_type.cpus,
                total_gpus=machine_type.gpus,
                total_memory_gb=machine_type.memory_gb,
            )
        )
    plain = [
        Candidate(
            room.name,
            room.machine_type,
            room.zone,
            room.spot,
            room.cpus,
            room.gpus,
            room.memory_gb,
            busy=room.busy,
            price=room.price,
            total_cpus=room.total_cpus,
            total_gpus=room.total_gpus,
            total_memory_gb=room.total_memory_gb,
        )
        for room in rooms
    ]
    spec = job(
        1,
        hands=data.draw(st.integers(1, 30)),
        rig=data.draw(st.sampled_from(["array", "daemon"])),
        cores=data.draw(st.sampled_from([1.0, 4.0, 8.0])),
        spread=data.draw(st.booleans()),
        driftwood=data.draw(st.booleans()),
    )
    grouped, single = Demand(spec, spec.tasks, {}), Demand(spec, spec.tasks, {})
    used: set[str] = set()
    stock = CandidatePool(rooms)
    stock.pack(grouped, used)
    taken = plain_fill(single, plain)
    assert spec.tasks - grouped.tasks == taken == sum(grouped.tasks_by_zone.values())
    assert all(count <= spread_limit(spec) for count in grouped.tasks_by_zone.values())
    assert (taken > 0) == bool(used)
    free = sum(room.gpus * len(names) for room, names in stock.groups.values())
    assert abs(free - sum(room.gpus for room in plain)) < 1e-6
    assert sorted(name for _, names in stock.groups.values() for name in names) == sorted(room.name for room in plain)


def test_users_go_before_exits_and_exits_before_notes() -> None:
    now = [0.0]
    scheduler = make_term(now)
    for number in range(4):
        scheduler.garbage_collector.put_later(f"driftcleat/machines/vm-{number}", number)
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1), "req-000001"))
    few = scheduler.platform.write_rps * scheduler.tuning.user_write_share
    batch = scheduler.build_batch(few)
    assert batch.created == {"req-000001"} and not batch.puts, "what is left is kept for users"
    scheduler.apply_commit(batch, 9, [])
    assert not scheduler.build_batch(few).changed_jobs, "a placement waits for more"
    batch = scheduler.build_batch(scheduler.platform.write_rps)
    assert batch.changed_jobs == {"req-000001"} and len(batch.puts) == 4


def test_small_machines_with_one_task_each_are_no_bargain_while_others_wait() -> None:
    """Seen on the bench: two hundred machines were rented for one task each, their other places of no use to any."""
    little = MachineType("little", 24.0, 4.0, 96.0, 100.0, 1.0, 11.0, 2.9, 30.0, ("north",))
    large = MachineType("large", 96.0, 8.0, 576.0, 100.0, 1.0, 17.8, 4.3, 30.0, ("north",))
    types = {machine_type.name: machine_type for machine_type in (little, large)}
    spec = job(1, hands=80, cores=10.0, memGb=54.0, driftwood=True)
    plan = plan_fleet([Demand(spec, 80, {})], [], types, lambda offer: offer == ("large", "north", True), 64)
    assert plan.scale_out == {("large", "north", False): 10}


def test_at_one_price_work_goes_where_controllers_are() -> None:
    """Seen on the bench: a zone cut off with all controllers inside kept only a fifth of the replicas."""
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
    rooms = [
        Candidate(f"vm-{number}", "big", "north", False, 8.0, 2.0, 32.0, controllers_elsewhere=number)
        for number in (1, 0, 2)
    ]
    ((_, room),) = PlacementRound(rooms, 9, random.Random(1)).place(
        Job(job(2, hands=1), 0.0), QuotaHeadroom(99.0, 99.0), 1
    )
    assert room.name == "vm-0"


def test_replicas_that_must_come_up_soon_are_worth_a_faster_fetch() -> None:
    """Seen on the bench: half of all replicas waited longest for their images, on the cheaper machines."""
    fast = MachineType("fast", 16.0, 4.0, 64.0, 100.0, 0.15, 11.0, 3.0, 30.0, ("north",))
    cheap = MachineType("cheap", 16.0, 4.0, 64.0, 100.0, 0.12, 9.0, 3.0, 30.0, ("north",))
    types = {"fast": fast, "cheap": cheap}
    for rig, rank, wanted in (
        ("daemon", "critical", "fast"),
        ("array", "critical", "cheap"),
        ("daemon", "standard", "cheap"),
    ):
        plan = plan_fleet([Demand(job(1, rig=rig, rank=rank, hands=4), 4, {})], [], types, lambda offer: False, 9)
        assert {offer.machine_type for offer in plan.scale_out} == {wanted}


def test_services_stop_lower_work_where_their_image_is_for_several_replicas_at_once() -> None:
    now = [100.0]
    scheduler = make_term(now)
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
