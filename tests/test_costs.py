"""What work costs, in counts that repeat exactly: guards of what was gained for small controllers."""

import random
import subprocess
import sys
from unittest.mock import Mock

import pytest

from driftcleat import wire
from driftcleat.api import Answer
from driftcleat.fleet.silence import Silence
from driftcleat.model import Machine, MachineState, change_machine, commands_for
from driftcleat.term import Ticket
from driftcleat.wire.workers import RUNNING, Orders, Report, TaskReport, split_task, task_name

from .samples import BIG, job, raw_job
from .simulation import Simulation
from .terms import accept, commit_all, commit_next, fleet

# Loaded only by what needs them: each costs a start milliseconds of a core, of which a controller has a small share.
NOT_AT_START = (
    "aiohttp",
    "click",
    "configparser",
    "email",
    "http.client",
    "hypothesis",
    "pytest",
    "unittest",
    "urllib.request",
)


def test_a_start_loads_only_what_serving_needs() -> None:
    code = "import sys, driftcleat.cli.serve, driftcleat.controller; print('\\n'.join(sys.modules))"
    loaded = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True).stdout.split()
    assert "driftcleat.controller" in loaded
    assert not set(NOT_AT_START) & set(loaded)
    assert not any(name.startswith("driftcleat.sharing") for name in loaded), "off, sharing costs nothing"


def test_sizing_looks_at_kinds_of_jobs_and_machines_not_at_each_of_them() -> None:
    """Guards against rounds of sizing that grow with the queue: they were a quarter of a leader's processor time."""
    term, _ = fleet(200)
    # Whole machines, of two ranks, and one gang whose tasks depend on one another's zones.
    wide = {"accelerators": 4.0, "cores": 16.0, "hands": 1, "imageGb": 0.0}
    whole = [job(number, rank=("high", "standard")[number % 2], crew="blue", **wide) for number in range(1, 41)]
    gang = job(50, rig="group", together=True, crew="blue", **(wide | {"hands": 2, "accelerators": 0.0}))
    accept(term, *whole, gang)
    assert len(term.queue.queued().jobs) == 41
    demands = term.demand.queued()
    # The team's limit of six accelerators leaves room for one of these.
    assert sorted(demand.tasks for demand in demands) == [1, 2]
    free = term.demand.free()
    assert len(free.groups) == 2 and sum(len(names) for _, names in free.groups.values()) == 200


def test_jobs_alike_are_one_demand_with_all_their_tasks() -> None:
    term, _ = fleet(1)
    ranks = ("high", "standard")
    specs = [job(n, hands=1 + n % 3, accelerators=0.0, rank=ranks[n % 2]) for n in range(1, 31)]
    accept(term, *specs)
    jobs = term.queue.queued().jobs
    assert len(jobs) == 30
    demands = term.demand.queued()
    assert len(demands) == 2 and sum(demand.tasks for demand in demands) == sum(found.queued for found in jobs)


@pytest.mark.parametrize("seed", range(8))
def test_silence_counted_in_one_pass_is_what_counting_each_machine_gives(seed: int) -> None:
    rng = random.Random(seed)
    term, now = fleet(60)
    now[0] = 100.0
    for machine in term.cluster.machines.values():
        machine.heard_at = rng.uniform(60.0, 100.0)
        if rng.random() < 0.2:
            machine.report = None
            machine.running_since = rng.choice([None, 50.0, 95.0])
        if rng.random() < 0.2:
            change_machine(machine, MachineState.DRAINING)
    for number in range(6):
        boots = Machine(f"boots-{number}", BIG, "north", False, "", 70.0)
        boots.running_since = rng.choice([None, 80.0, 99.0])
        term.cluster.machines[boots.name] = boots
    found, plain = term.reachability.silence(now[0]), Silence(13.5, 45.0, 0.05)
    for machine in term.cluster.machines.values():
        if term.reachability.runs(machine):
            plain.count(machine.zone, term.reachability.silent_s(machine, now[0]))
    assert (found.zones, found.silent, found.known) == (plain.zones, plain.silent, plain.known)
    assert found.alone_s == plain.alone_s


def test_a_report_without_news_is_answered_without_a_task() -> None:
    """Guards against a task for each of several hundred reports a second."""

    async def story(sim: Simulation) -> None:
        sim.hand_in(raw_job(1, rig="daemon", hands=1, voyageS=0.0))
        await sim.until(sim.on_machines)
        await sim.rest(8.0)
        controller = sim.controllers[str(sim.lead())]
        worker = sim.on_machines()[0][0]
        before = len(controller.background.tasks)
        reply = controller.reply_front("POST", "/agent/beat", wire.encode(worker.report()))
        assert isinstance(reply, Answer) and reply.status == 200
        assert wire.decode(reply.body, Orders).signals == []
        assert len(controller.background.tasks) == before

    Simulation(5).play(story)


def test_a_report_equal_to_the_last_one_looks_at_no_task(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a walk over a machine's tasks with each of its reports: most say what the last one said."""
    term, now = fleet(1)
    machine = term.cluster.machines["vm-0"]
    spec = job(1, hands=8, crew="red", accelerators=0.0, cores=1.0, imageGb=0.0)
    accept(term, spec)
    commit_all(term)
    assert len(machine.tasks) == 8
    split = Mock(side_effect=split_task)
    monkeypatch.setattr("driftcleat.wire.workers.split_task", split)
    tasks = tuple(TaskReport(task_name(*key), place.attempt, RUNNING) for key, place in machine.tasks.items())
    looks = []
    for seq in range(2, 7):
        now[0] += 1.0
        split.reset_mock()
        report = Report("vm-0", "h", "big", "north", False, 1, seq, 5, tasks)
        assert term.cluster.observe(report, now[0]) is machine and machine.heard_at == now[0]
        term.cluster.news(machine)
        assert commands_for(term.cluster, machine, report) == []
        looks.append(split.call_count)
        commit_all(term)
    assert looks[0] > 0 and looks[2:] == [0, 0, 0]
    # What changes is looked at again.
    report = Report("vm-0", "h", "big", "north", False, 1, 7, 5, tasks[:-1])
    term.cluster.observe(report, now[0])
    assert [command.op for command in commands_for(term.cluster, machine, report)] == ["start"]
    # So is an equal report once the job is cancelled.
    back = Report("vm-0", "h", "big", "north", False, 1, 8, 5, tasks)
    for seq in (8, 9, 10):
        back = Report("vm-0", "h", "big", "north", False, 1, seq, 5, tasks)
        term.cluster.observe(back, now[0])
        commands_for(term.cluster, machine, back)
        commit_all(term)
    assert machine.steady
    term.admission.cancel(Ticket(lambda view: None, job_id=spec.id))
    commit_all(term)
    assert len(commands_for(term.cluster, machine, back)) == 8


def test_rounds_that_are_always_cut_reach_every_job() -> None:
    """Guards against a round that uses its time up before its first job, over and over."""
    term, now = fleet(40)
    accept(term, *(job(number, hands=1, accelerators=0.0, cores=1.0, imageGb=0.0) for number in range(1, 21)))
    slow = Mock(side_effect=lambda: now.__setitem__(0, now[0] + 1.0) or now[0])
    term._placement._clock = slow
    for number in range(1, 21):
        now[0] += 60.0
        for machine in term.cluster.machines.values():
            machine.heard_at = now[0]
        commit_next(term)
        assert len(term.queue.queued().jobs) == 20 - number
    assert term.counters.rounds_cut == 19


def test_no_round_is_played_while_the_store_takes_no_change() -> None:
    """Guards against a look at every machine for a batch that can hold no place."""
    term, _ = fleet(10)
    accept(term, job(1, hands=1, accelerators=0.0, cores=1.0, imageGb=0.0))
    assert term.build(changes=0.0).empty and term.counters.rounds == 0
    assert term.has_work, "the round is still due"
    assert not term.build().empty and term.counters.rounds == 1
