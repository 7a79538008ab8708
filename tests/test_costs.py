"""Costs of the scheduler as deterministic counts, so that controllers on a small share of a core stay fast enough."""

import random
import subprocess
import sys
from unittest.mock import Mock

import pytest

from driftcleat import wire
from driftcleat.api import Response
from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.cluster import Machine, MachineState, apply_heartbeat, commands_for_heartbeat, transition_machine
from driftcleat.scheduler import PendingRequest
from driftcleat.wire.workers import (
    Heartbeat,
    HeartbeatResponse,
    TaskPhase,
    TaskStatus,
    format_task_name,
    parse_task_name,
)

from .samples import BIG, job, raw_job
from .scheduler_fixtures import commit_all, commit_next, commit_submissions, scheduler_with_machines
from .simulation import Simulation

# Each costs a start milliseconds of processor time, and a controller has a small share of a core.
MODULES_NOT_LOADED_AT_START = (
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


def test_start_loads_only_the_modules_needed_to_serve() -> None:
    code = "import sys, driftcleat.cli.serve, driftcleat.controller.controller; print('\\n'.join(sys.modules))"
    loaded = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True).stdout.split()
    assert "driftcleat.controller.controller" in loaded
    assert not set(MODULES_NOT_LOADED_AT_START) & set(loaded)
    assert not any(name.startswith("driftcleat.sharing") for name in loaded), (
        "without sharing, its modules are not loaded"
    )


def test_sizing_groups_equal_jobs_and_machines() -> None:
    """Guards against sizing whose work grows with the queue: it took a quarter of a leader's processor time."""
    scheduler, _ = scheduler_with_machines(200)
    # Jobs that need a whole machine, of two priorities, and one gang that must stay in one zone.
    whole_machine = {"accelerators": 4.0, "cores": 16.0, "hands": 1, "imageGb": 0.0}
    whole = [
        job(number, rank=("high", "standard")[number % 2], crew="blue", **whole_machine) for number in range(1, 41)
    ]
    gang = job(50, rig="group", together=True, crew="blue", **(whole_machine | {"hands": 2, "accelerators": 0.0}))
    commit_submissions(scheduler, *whole, gang)
    assert len(scheduler.queue.queued().jobs) == 41
    demands = scheduler.demand.queued.demands()
    # The team's quota of 6 GPUs allows only one of the whole-machine jobs.
    assert sorted(demand.tasks for demand in demands) == [1, 2]
    free = scheduler.demand.free_capacity.pool()
    assert len(free.groups) == 2 and sum(len(names) for _, names in free.groups.values()) == 200


def test_equal_jobs_are_one_demand_with_all_their_tasks() -> None:
    scheduler, _ = scheduler_with_machines(1)
    ranks = ("high", "standard")
    specs = [job(n, hands=1 + n % 3, accelerators=0.0, rank=ranks[n % 2]) for n in range(1, 31)]
    commit_submissions(scheduler, *specs)
    jobs = scheduler.queue.queued().jobs
    assert len(jobs) == 30
    demands = scheduler.demand.queued.demands()
    assert len(demands) == 2 and sum(demand.tasks for demand in demands) == sum(found.tasks_queued for found in jobs)


@pytest.mark.parametrize("seed", range(8))
def test_failure_detection_in_one_pass_agrees_with_counting_each_machine(seed: int) -> None:
    rng = random.Random(seed)
    scheduler, now = scheduler_with_machines(60)
    now[0] = 100.0
    for machine in scheduler.cluster.machines.values():
        machine.last_heartbeat_at = rng.uniform(60.0, 100.0)
        if rng.random() < 0.2:
            machine.last_heartbeat = None
            machine.listed_running_since = rng.choice([None, 50.0, 95.0])
        if rng.random() < 0.2:
            transition_machine(machine, MachineState.DRAINING)
    for number in range(6):
        booting = Machine(f"boots-{number}", BIG, "north", False, "", 70.0)
        booting.listed_running_since = rng.choice([None, 80.0, 99.0])
        scheduler.cluster.machines[booting.name] = booting
    found, expected = scheduler.reachability.detect_failures(now[0]), FailureDetector(13.5, 45.0, 0.05)
    for machine in scheduler.cluster.machines.values():
        if scheduler.reachability.is_running(machine):
            expected.add_machine(machine.zone, scheduler.reachability.heartbeat_age_s(machine, now[0]))
    assert (found.zones, found.suspected, found.total) == (expected.zones, expected.suspected, expected.total)
    assert found.isolated_timeout_s == expected.isolated_timeout_s


def test_unchanged_heartbeat_is_answered_without_an_asyncio_task() -> None:
    """Guards against an asyncio task for each of several hundred heartbeats per second."""

    async def scenario(simulation: Simulation) -> None:
        simulation.submit_until_accepted(raw_job(1, rig="daemon", hands=1, voyageS=0.0))
        await simulation.run_until(simulation.tasks_on_machines)
        await simulation.advance(8.0)
        controller = simulation.controllers[str(simulation.leader_label())]
        worker = simulation.tasks_on_machines()[0][0]
        before = len(controller.background.tasks)
        reply = controller.reply_front("POST", "/agent/beat", wire.encode(worker.next_heartbeat()))
        assert isinstance(reply, Response) and reply.status == 200
        assert wire.decode(reply.body, HeartbeatResponse).commands == []
        assert len(controller.background.tasks) == before

    Simulation(5).run_scenario(scenario)


def test_unchanged_heartbeat_parses_no_task_name(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against iterating over a machine's tasks for each heartbeat, although most equal the previous one."""
    scheduler, now = scheduler_with_machines(1)
    machine = scheduler.cluster.machines["vm-0"]
    spec = job(1, hands=8, crew="red", accelerators=0.0, cores=1.0, imageGb=0.0)
    commit_submissions(scheduler, spec)
    commit_all(scheduler)
    assert len(machine.tasks) == 8
    parse = Mock(side_effect=parse_task_name)
    monkeypatch.setattr("driftcleat.wire.workers.parse_task_name", parse)
    tasks = tuple(
        TaskStatus(format_task_name(*key), placement.attempt, TaskPhase.RUNNING)
        for key, placement in machine.tasks.items()
    )
    parse_counts = []
    for seq in range(2, 7):
        now[0] += 1.0
        parse.reset_mock()
        heartbeat = Heartbeat("vm-0", "h", "big", "north", False, 1, seq, 5, tasks)
        assert (
            apply_heartbeat(scheduler.cluster, heartbeat, now[0]) is machine and machine.last_heartbeat_at == now[0]
        )
        scheduler.cluster.has_uncommitted_exits(machine)
        assert commands_for_heartbeat(scheduler.cluster, machine, heartbeat) == []
        parse_counts.append(parse.call_count)
        commit_all(scheduler)
    assert parse_counts[0] > 0 and parse_counts[2:] == [0, 0, 0]
    # A changed heartbeat is checked again.
    heartbeat = Heartbeat("vm-0", "h", "big", "north", False, 1, 7, 5, tasks[:-1])
    apply_heartbeat(scheduler.cluster, heartbeat, now[0])
    assert [command.action for command in commands_for_heartbeat(scheduler.cluster, machine, heartbeat)] == ["start"]
    # So is an unchanged heartbeat once the job is cancelled.
    unchanged = Heartbeat("vm-0", "h", "big", "north", False, 1, 8, 5, tasks)
    for seq in (8, 9, 10):
        unchanged = Heartbeat("vm-0", "h", "big", "north", False, 1, seq, 5, tasks)
        apply_heartbeat(scheduler.cluster, unchanged, now[0])
        commands_for_heartbeat(scheduler.cluster, machine, unchanged)
        commit_all(scheduler)
    assert machine.in_sync
    scheduler.admission.cancel(PendingRequest(lambda status: None, job_id=spec.id))
    commit_all(scheduler)
    assert len(commands_for_heartbeat(scheduler.cluster, machine, unchanged)) == 8


def test_rounds_that_are_always_truncated_reach_every_job() -> None:
    """Guards against rounds that use up their time budget before they place the first job, again and again."""
    scheduler, now = scheduler_with_machines(40)
    commit_submissions(
        scheduler, *(job(number, hands=1, accelerators=0.0, cores=1.0, imageGb=0.0) for number in range(1, 21))
    )
    slow_clock = Mock(side_effect=lambda: now.__setitem__(0, now[0] + 1.0) or now[0])
    scheduler._placement._clock = slow_clock
    for number in range(1, 21):
        now[0] += 60.0
        for machine in scheduler.cluster.machines.values():
            machine.last_heartbeat_at = now[0]
        commit_next(scheduler)
        assert len(scheduler.queue.queued().jobs) == 20 - number
    assert scheduler.counters.rounds_truncated == 19


def test_no_placement_round_while_no_write_is_available() -> None:
    """Guards against checking every machine for a batch that has no room for a placement."""
    scheduler, _ = scheduler_with_machines(10)
    commit_submissions(scheduler, job(1, hands=1, accelerators=0.0, cores=1.0, imageGb=0.0))
    assert scheduler.build_batch(available_operations=0.0).is_empty and scheduler.counters.rounds == 0
    assert scheduler.has_work, "the round is still due"
    assert not scheduler.build_batch().is_empty and scheduler.counters.rounds == 1
