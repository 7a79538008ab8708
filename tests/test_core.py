"""Small facts about the core, each of which guards against a failure that was seen or feared."""

import random
from collections.abc import Callable, Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftcleat.fleet.arrivals import Arrivals
from driftcleat.fleet.sizing import Demand, Plan, plan_fleet
from driftcleat.leadership.lease import LeaseClock
from driftcleat.model import (
    Cluster,
    IllegalMoveError,
    Job,
    JobState,
    Place,
    TaskState,
    change_job,
    change_task,
    commands_for,
)
from driftcleat.placement.candidates import Candidate, allowed, fits
from driftcleat.placement.engine import Limits, PlacementRound
from driftcleat.placement.order import Order
from driftcleat.settings import Tuning
from driftcleat.store.client import TokenBucket
from driftcleat.store.records import CHUNKS, JOBS, Layout, encode_batch, indices, ranges
from driftcleat.term import Term, Ticket, never_fits
from driftcleat.wire.users import JobView, Submission
from driftcleat.wire.workers import Report, TaskReport

from .samples import BIG, TYPES, job, loaded_jobs, platform
from .terms import new_term
from .world import PlainStore

SITE = platform()


def make_term(now: list[float], clock: Callable[[], float] | None = None) -> Term:
    """Return a term with one empty machine `vm-1` that has reported; `clock` stands for the time in `now`."""
    cluster = Cluster(5, {}, dict(TYPES), now[0])
    term = new_term(SITE, cluster, now, clock)
    cluster.observe(report(1), now[0])
    return term


def report(seq: int, *tasks: TaskReport, session: int = 1, token: int = 5) -> Report:
    """Return a report of `vm-1`."""
    return Report("vm-1", "h:1", "big", "north", False, session, seq, token, tasks)


def commit(term: Term, revision: int = 9) -> None:
    """Build a batch and have it taken."""
    batch = term.build()
    term.commit(batch, revision, [])


def placed(term: Term, **changes: object) -> Job:
    """Submit a job and place its tasks."""
    term.admission.submit(Ticket(lambda view: None, job(1, **changes), "req-000001"))
    commit(term)
    commit(term)
    found = term.cluster.jobs["req-000001"]
    assert found.places
    return found


def test_an_offered_start_is_not_disproved_by_the_report_it_answers() -> None:
    now = [0.0]
    term = make_term(now)
    placed(term, hands=1)
    machine = term.cluster.machines["vm-1"]
    newest = report(2)
    assert term.cluster.observe(newest, 1.0) is machine
    assert [signal.op for signal in commands_for(term.cluster, machine, newest)] == ["start"]
    term.admission.cancel(Ticket(lambda view: None, None, "req-000001"))
    commit(term)
    term.cluster.dirty.add("vm-1")
    commit(term)
    # The start may be on its way: the task still counts as there.
    assert term.cluster.jobs["req-000001"].places
    term.cluster.observe(report(3), 2.0)
    commit(term)
    assert "req-000001" not in term.cluster.jobs and term.admission.lookup("req-000001") == JobView(
        "req-000001", "cancelled", 0, 0
    )


def test_a_report_under_an_older_token_proves_nothing_absent() -> None:
    now = [0.0]
    term = make_term(now)
    placed(term, hands=1)
    term.cluster.observe(report(2, token=4), 1.0)
    term.admission.cancel(Ticket(lambda view: None, None, "req-000001"))
    commit(term)
    term.cluster.dirty.add("vm-1")
    commit(term)
    assert term.cluster.jobs["req-000001"].places


def test_a_place_that_is_being_given_up_is_not_offered_again() -> None:
    """A machine is back at once and reports nothing; the batch that takes its task off waits for the store, and a
    further report arrives. A start told now would meet the one elsewhere that the next batch decides."""
    now = [0.0]
    term = make_term(now)
    term.cluster.lease_s = SITE.lease_s
    placed(term, hands=1)
    machine = term.cluster.machines["vm-1"]
    first = report(2)
    term.cluster.observe(first, 1.0)
    assert [signal.op for signal in commands_for(term.cluster, machine, first)] == ["start"]
    attempt = term.cluster.jobs["req-000001"].places[0].attempt
    running = report(3, TaskReport("req-000001/0", attempt, "running"))
    term.cluster.observe(running, 1.5)
    commands_for(term.cluster, machine, running)
    commit(term)
    back = report(1, session=2)
    term.cluster.observe(back, 2.0)
    batch = term.build()
    assert [(old is not None, new) for _, _, old, new in batch.moves] == [(True, None)], "it is proven off"
    commands_for(term.cluster, machine, back)
    later = report(2, session=2)
    term.cluster.observe(later, 3.0)
    assert commands_for(term.cluster, machine, later) == []
    term.commit(batch, 99, [])
    assert not term.cluster.jobs["req-000001"].places and not term.cluster.leaving


def test_an_exit_is_forgotten_only_once_it_is_committed() -> None:
    now = [0.0]
    term = make_term(now)
    attempt = placed(term, hands=1).places[0].attempt
    machine = term.cluster.machines["vm-1"]
    newest = report(2, TaskReport("req-000001/0", attempt, "exited", "done"))
    term.cluster.observe(newest, 1.0)
    assert "forget" not in [signal.op for signal in commands_for(term.cluster, machine, newest)]
    commit(term)
    assert [signal.op for signal in commands_for(term.cluster, machine, newest)] == ["forget"]
    assert term.admission.lookup("req-000001") == JobView("req-000001", "done", 1, 0)


def test_a_stale_report_changes_nothing_and_gets_no_orders() -> None:
    now = [0.0]
    term = make_term(now)
    placed(term, hands=1)
    machine = term.cluster.machines["vm-1"]
    late = report(2)
    term.cluster.observe(report(7), 1.0)
    assert term.cluster.observe(late, 2.0) is None
    assert commands_for(term.cluster, machine, late) == []


def test_nothing_is_visible_before_the_commit() -> None:
    now = [0.0]
    term = make_term(now)
    told: list[JobView | None] = []
    term.admission.submit(Ticket(told.append, job(1), "req-000001"))
    batch = term.build()
    assert term.admission.lookup("req-000001") is None and told == []
    term.commit(batch, 9, [])
    assert told == [JobView("req-000001", "pending", 0, 0)]


def test_a_machine_that_is_returned_takes_no_task() -> None:
    now = [0.0]
    term = make_term(now)
    machine = term.cluster.machines["vm-1"]
    term.cluster.forget_machine(machine, 0.0)
    term.admission.submit(Ticket(lambda view: None, job(1), "req-000001"))
    commit(term)
    commit(term)
    assert not term.cluster.jobs["req-000001"].places
    assert term.cluster.observe(report(9), 1.0) is None, "a late report does not bring it back"
    assert not term.cluster.machines, "nothing of it is kept"


def test_a_round_out_of_time_goes_on_where_it_stopped() -> None:
    ticks: Iterator[float] = iter([])
    # Where no tick is left, the clock stands at what `now` says.
    now = [0.0]
    term = make_term(now, lambda: next(ticks, now[0]))
    for number in range(1, 4):
        term.admission.submit(Ticket(lambda view: None, job(number, hands=1), f"req-{number:06d}"))
    commit(term)
    ticks = iter([0.0, 0.0])
    now[0] = 1.0
    batch = term.build()
    assert [move[0] for move in batch.moves] == ["req-000001"] and term.counters.rounds_cut == 1
    term.commit(batch, 9, [])
    now[0] = 2.0
    assert [move[0] for move in term.build().moves] == ["req-000002", "req-000003"]


def test_unknown_states_changes_are_refused() -> None:
    one = Job(job(1), 0.0)
    with pytest.raises(IllegalMoveError):
        change_task(one, 0, TaskState.DONE)
    change_task(one, 0, TaskState.PLACED, Place("m", "z", 1))
    with pytest.raises(IllegalMoveError):
        change_task(one, 0, TaskState.PLACED, Place("other", "z", 2))
    with pytest.raises(IllegalMoveError):
        change_job(one, JobState.DONE)
    change_job(one, JobState.CANCELLED)
    with pytest.raises(IllegalMoveError):
        change_job(one, JobState.GONE)
    with pytest.raises(IllegalMoveError):
        change_task(one, 1, TaskState.PLACED, Place("m", "z", 1))


@settings(derandomize=True, max_examples=200)
@given(st.sets(st.integers(0, 300)))
def test_ranges_are_read_back(numbers: set[int]) -> None:
    assert indices(ranges(sorted(numbers))) == sorted(numbers)


@pytest.mark.parametrize(("tasks", "rig"), [(5, "array"), (3000, "array"), (100_000, "array"), (700, "group")])
def test_big_jobs_keep_to_the_stores_limits(tasks: int, rig: str) -> None:
    """Every batch must fit txn_ops, value size and 64 KiB, and what is written must be read back the same."""
    site = platform(txn_ops=12)
    store = PlainStore(site)
    token = store.put_leader("a")
    layout = Layout(site.value_bytes, site.txn_ops)
    spec = job(1, hands=tasks, rig=rig, cores=0.0, accelerators=0.0, memGb=0.0)
    cluster = Cluster(token, {}, dict(TYPES), 0.0)
    now = [0.0]
    term = Term(
        site, Tuning(budget=0.2), cluster, layout, random.Random(1), lambda: now[0], lambda: now[0], brand_new=True
    )
    for number in range(30):
        cluster.observe(Report(f"vm-{number:06d}", "h:1", "big", "north", False, 1, 1, token, ()), 0.0)
    term.admission.submit(Ticket(lambda view: None, spec, spec.id))
    mark = 0
    for number in range(1, 12):
        now[0] += 1.0
        for machine in cluster.machines.values():
            machine.heard_at = now[0]
        batch = term.build()
        if batch.empty:
            break
        encoded = encode_batch(batch, layout, token, number, mark)
        revision = store.txn(encoded.body)
        assert revision is not None
        mark = revision
        term.commit(batch, revision, encoded.garbage)
    mine = cluster.jobs[spec.id]
    assert len(mine.places) >= min(tasks, 500)
    loaded, orphans = loaded_jobs(store.items(JOBS), store.items(CHUNKS))
    other = loaded[spec.id]
    assert not orphans and other.places == mine.places and other.status == mine.status
    assert other.version == mine.version and other.chunk_versions == mine.chunk_versions


def test_a_batch_of_before_dies_once_there_is_a_new_leader() -> None:
    store = PlainStore(SITE)
    token = store.put_leader("a")
    term = make_term([0.0])
    term.admission.submit(Ticket(lambda view: None, job(1), "req-000001"))
    encoded = encode_batch(term.build(), term.layout, token, 1, 0)
    store.put_leader("b")
    assert store.txn(encoded.body) is None


def slow_fits(spec: Submission, candidates: list[Candidate]) -> bool:
    """The plain model of `find`: does any candidate take a task?"""
    return any(
        allowed(spec, candidate.type, candidate.zone, candidate.spot)
        and fits(spec, candidate.cpus, candidate.gpus, candidate.memory_gb)
        for candidate in candidates
    )


@settings(derandomize=True, max_examples=150)
@given(st.data())
def test_placement_finds_room_whenever_there_is_any(data: st.DataObject) -> None:
    rooms = [
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
    limits = Limits(float("inf"), float(data.draw(st.integers(0, 6))))
    before = [Candidate(room.name, room.type, room.zone, room.spot, room.cpus, room.gpus, 16.0) for room in rooms]
    most = limits.gpus
    round_ = PlacementRound(rooms, data.draw(st.integers(1, 5)), random.Random(3))
    got = round_.place(Job(spec, 0.0), limits, 100)
    assert len(got) <= most and (spec.kind.value != "group" or len(got) in (0, spec.tasks))
    if spec.one_zone:
        assert len({room.zone for _, room in got}) <= 1
    for room in rooms:
        assert room.cpus >= 0 and room.gpus >= 0
    for _, room in got:
        assert allowed(spec, room.type, room.zone, room.spot)
    if spec.kind.value == "array" and not got and most >= 1:
        assert not slow_fits(spec, before)


def test_sizing_keeps_a_one_zone_gang_in_one_zone() -> None:
    """Seen with the plain model: two half rooms in two zones were counted, nothing was rented."""
    spec = job(1, rig="group", hands=4, accelerators=2.0, together=True)
    rooms = [Candidate("a", "big", "north", False, 16, 4, 64), Candidate("b", "big", "south", False, 16, 4, 64)]
    plan = plan_fleet([Demand(spec, 4, {})], rooms, TYPES, lambda offer: False, 10)
    assert sum(plan.rentals.values()) >= 1 and len({zone for _, zone, _ in plan.rentals}) == 1


def test_a_burst_handed_in_at_once_is_not_taken_for_a_rate() -> None:
    """Seen on a first morning: the jobs of the first second were expected to come again every second."""
    arrivals = Arrivals(80.0, 2.0)
    for number in range(40):
        arrivals.note(job(number), 10.0)
    ((_, rate, mean),) = arrivals.rates(40.0)
    assert rate * mean < 0.2


def test_a_lease_counts_from_before_it_was_asked_for() -> None:
    lease = LeaseClock(4.0, 0.01)
    lease.granted(7, 100.0)
    assert lease.valid(103.9) and not lease.valid(103.97)
    lease.renewed(102.0)
    lease.renewed(101.0)
    assert lease.valid(105.9) and not lease.valid(106.0)
    lease.lost()
    assert not lease.valid(100.0)


def test_a_bucket_never_exceeds_its_rate() -> None:
    now = [0.0]
    bucket = TokenBucket(10.0, lambda: now[0])
    sent = 0
    for _ in range(500):
        now[0] += 0.01
        while bucket.delay(1) <= 0:
            bucket.take(1)
            sent += 1
    assert 50 <= sent <= 61


def test_what_can_never_run_is_named() -> None:
    assert never_fits(job(1), TYPES, SITE) is None
    assert "team" in (never_fits(job(1, crew="green"), TYPES, SITE) or "")
    assert "fits no" in (never_fits(job(1, cores=99.0), TYPES, SITE) or "")
    assert "fits no" in (never_fits(job(1, harbor="moon"), TYPES, SITE) or "")
    assert "limit" in (never_fits(job(1, rig="group", hands=9), TYPES, SITE) or "")
    assert never_fits(job(1, rig="array", hands=9), TYPES, SITE) is None
    # A gang whose own wishes contradict one another would wait for ever; an array's tasks may come one by one.
    for wishes in ({"together": True}, {"harbor": "north"}):
        assert "spread" in (never_fits(job(1, rig="group", hands=2, spread=True, **wishes), TYPES, SITE) or "")
        assert never_fits(job(1, rig="group", hands=1, spread=True, **wishes), TYPES, SITE) is None
        assert never_fits(job(1, rig="array", hands=2, spread=True, **wishes), TYPES, SITE) is None
    assert never_fits(job(1, rig="group", hands=2, spread=True), TYPES, SITE) is None


def test_a_gang_is_not_placed_while_a_task_of_an_older_attempt_may_be_there() -> None:
    gang = Job(job(1, rig="group", hands=2), 0.0)
    rooms = [Candidate("a", "big", "north", False, 16, 4, 64)]
    assert len(PlacementRound(rooms, 3, random.Random(1)).place(gang, Limits(99.0, 99.0), 9)) == 2
    change_task(gang, 1, TaskState.PLACED, Place("z", "north", 1, 0.0))
    rooms = [Candidate("a", "big", "north", False, 16, 4, 64)]
    assert PlacementRound(rooms, 3, random.Random(1)).place(gang, Limits(99.0, 99.0), 9) == []


def test_a_machine_that_reports_but_keeps_a_cancelled_task_is_fenced() -> None:
    now = [0.0]
    term = make_term(now)
    attempt = placed(term, hands=1).places[0].attempt
    term.admission.cancel(Ticket(lambda view: None, None, "req-000001"))
    commit(term)
    assert term.cancellations.machines_to_fence() == set()
    now[0] = SITE.cancel_s * 0.5
    term.cluster.observe(report(2, TaskReport("req-000001/0", attempt, "running")), now[0])
    commit(term)
    assert term.cancellations.machines_to_fence() == {"vm-1"}


def test_nobody_is_stopped_for_a_job_that_comes_later() -> None:
    """Seen in an incident: a guaranteed best-effort job and a standard one displaced each other in a circle."""
    low = Job(job(1, rank="best_effort", crew="red"), 1.0)
    standard = Job(job(2, rank="standard", crew="blue"), 2.0)
    assert Order({low.id}).may_displace(low, standard), "a guarantee beats what others borrow"
    assert not Order({low.id, standard.id}).may_displace(low, standard)
    assert not Order({low.id}).may_displace(standard, low)
    assert Order(set()).may_displace(standard, low)
    for guaranteed in (set(), {low.id}, {standard.id}, {low.id, standard.id}):
        assert not (Order(guaranteed).may_displace(low, standard) and Order(guaranteed).may_displace(standard, low))


def test_a_spot_notice_drains_at_once_although_nothing_else_happens() -> None:
    """Seen by reading: a report that differs only in its notice started no batch."""
    now = [0.0]
    term = make_term(now)
    attempt = placed(term, hands=1).places[0].attempt
    running = TaskReport("req-000001/0", attempt, "running")
    term.cluster.observe(report(2, running), 1.0)
    while term.has_work:
        commit(term)
    term.cluster.observe(Report("vm-1", "h:1", "big", "north", False, 1, 3, 5, (running,), 8.0), 2.0)
    assert term.has_work
    commit(term)
    assert term.cluster.jobs["req-000001"].places[0].stop == 2.0


def test_a_lone_replica_moves_to_where_its_image_is_and_only_then() -> None:
    now = [1000.0]
    term = make_term(now)
    term.cluster.started_at = 0.0
    for number in (1, 2, 3):
        term.admission.submit(Ticket(lambda view: None, job(number, rig="daemon", hands=1), f"req-{number:06d}"))
    commit(term)
    commit(term)
    cluster = term.cluster
    cluster.observe(Report("vm-2", "h:2", "big", "north", False, 1, 1, 5, ()), now[0])
    term.admission.submit(Ticket(lambda view: None, job(4, rig="daemon", hands=1, accelerators=4.0), "req-000004"))
    commit(term)
    commit(term)
    spare, full = cluster.machines["vm-1"], cluster.machines["vm-2"]
    assert (len(spare.tasks), len(full.tasks)) == (3, 1)
    for machine in (spare, full):
        machine.changed_at = 0.0
        for key in machine.tasks:
            machine.phases[key] = "running"
    assert term.consolidation_candidate(now[0]) is None, "nothing is thin: one is full, the other more than half used"
    for key in list(spare.tasks)[:2]:
        spare.drop(key, cluster.jobs[key[0]].spec, 0.0, cluster.image_of)
    full.drop(next(iter(full.tasks)), cluster.jobs["req-000004"].spec, 0.0, cluster.image_of)
    assert term.consolidation_candidate(now[0]) is None, "the other machine is empty: moving there would gain nothing"
    full.add(("req-000001", 0), Place("vm-2", "north", 1), cluster.jobs["req-000001"].spec)
    full.phases[("req-000001", 0)] = "running"
    assert term.consolidation_candidate(now[0]) in (spare, full)
    full.images.clear()
    spare.images.clear()
    assert term.consolidation_candidate(now[0]) is None, "a move must not wait for a fetch"


def test_an_image_whose_fetch_was_given_up_is_not_taken_for_cached() -> None:
    """Seen in an incident: work was displaced on a machine for an image that it had never finished fetching."""
    now = [0.0]
    term = make_term(now)
    attempt = placed(term, hands=1).places[0].attempt
    machine = term.cluster.machines["vm-1"]
    assert "img-1" in machine.images
    term.cluster.observe(report(2, TaskReport("req-000001/0", attempt, "pulling")), 1.0)
    term.cluster.observe(report(3, TaskReport("req-000001/0", attempt, "exited", "stopped")), 2.0)
    commit(term)
    assert "img-1" not in machine.images
    term = make_term(now)
    attempt = placed(term, hands=1).places[0].attempt
    machine = term.cluster.machines["vm-1"]
    term.cluster.observe(report(2, TaskReport("req-000001/0", attempt, "running")), 1.0)
    term.cluster.observe(report(3, TaskReport("req-000001/0", attempt, "exited", "stopped")), 2.0)
    commit(term)
    assert "img-1" in machine.images


def test_machines_that_are_late_or_silent_are_given_up_and_idle_ones_returned() -> None:
    now = [1000.0]
    term = make_term(now)
    term.cluster.started_at = 0.0
    late = term.cluster.adopt("vm-2", "big", "north", False, "", now[0])
    empty = Plan({}, set())
    assert term.surplus(empty, now[0]) == []
    now[0] += BIG.boot_s * term.tuning.late + 0.1
    heard = term.cluster.machines["vm-1"]
    heard.heard_at = now[0]
    assert {machine.name for machine in term.surplus(empty, now[0])} == {"vm-1", "vm-2"}, "one idle, one late"
    assert term.surplus(Plan({}, {"vm-1"}), now[0]) == [late], "what the queue needs is kept"
    heard.heard_at = now[0] - SITE.lease_s * term.tuning.lost - 0.1
    assert heard in term.surplus(Plan({}, {"vm-1"}), now[0]), "silent for longer than its lease"


def test_what_the_cloud_refuses_is_asked_for_elsewhere_and_later_again() -> None:
    now = [0.0]
    term = make_term(now)
    term.cluster.machines.clear()
    term.admission.submit(Ticket(lambda view: None, job(1, hands=1, builds=["big"]), "req-000001"))
    commit(term)
    (first,) = term.plan_rentals(0.0).rentals
    term.rentals.note_refusal(first, 0.0)
    (second,) = term.plan_rentals(0.0).rentals
    assert second != first and second[0] == "big"
    term.rentals.note_refusal(second, 0.0)
    assert term.plan_rentals(0.0).rentals == {}
    assert term.plan_rentals(40.0).rentals != {}
