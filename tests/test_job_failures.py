"""Jobs whose tasks fail: on faulty machines they run elsewhere; a faulty job costs a bounded number of machines."""

import pytest

from driftcleat.cluster.job_failures import EXCLUSION_S, FAILURE_MEMORY_S, MAX_RETRY_S, SUSPECT_MACHINES, JobFailures
from driftcleat.store.records import ScaleOutRecord

from .samples import raw_job
from .simulation import Simulation
from .test_fault_interactions import fail_over, task_count

# Time, in seconds, in which a job is done that takes 5 s on a sound machine and meets a few faulty ones before.
PATIENCE_S = 300.0
# The bound of the hunt page for a job that waits although a machine has room for it, in seconds.
MAX_WAIT_S = 90.0
JOB = "req-000001"


def lone_job(**changes: object) -> dict[str, object]:
    """Return a submission of a class without objectives, for which no spare machines are created."""
    small = {"cargo": "batch", "rank": "best_effort", "cores": 1.0, "accelerators": 0.5, "builds": ["big"]}
    return raw_job(1, **({"voyageS": 5.0} | small | changes))


@pytest.mark.parametrize("rig", ["array", "group"])
@pytest.mark.parametrize(("hands", "faulty_machines"), [(8, 1), (16, 2), (3, 3), (8, 6)], ids=str)
def test_job_that_met_faulty_machines_runs_on_others(rig: str, hands: int, faulty_machines: int) -> None:
    """Guards against an accepted job for which no machine is created any more after three tasks have failed."""

    async def scenario(simulation: Simulation) -> None:
        simulation.faulty_machines = faulty_machines
        await simulation.submit_until_accepted(lone_job(rig=rig, hands=hands))
        await simulation.wait_until_done(JOB, PATIENCE_S)

    Simulation(1).run_scenario(scenario)


@pytest.mark.parametrize("faulty_machines", [1, 4])
def test_service_that_met_faulty_machines_runs_on_others(faulty_machines: int) -> None:
    """Guards against the same for a service, of which no task is ever done that could clear the failures."""

    async def scenario(simulation: Simulation) -> None:
        simulation.faulty_machines = faulty_machines
        await simulation.submit_until_accepted(lone_job(rig="daemon", hands=8, voyageS=0.0))
        await simulation.run_until(lambda: running_replicas(simulation) == 8, PATIENCE_S)

    Simulation(2).run_scenario(scenario)


def running_replicas(simulation: Simulation) -> int:
    return sum(task.state == "running" and not worker.fails_tasks for worker, task in simulation.tasks_on_machines())


def test_job_is_placed_again_on_the_only_machine_once_that_is_sound() -> None:
    """Guards against a machine that is never used again for a job that it failed, when the cloud has no other."""

    async def scenario(simulation: Simulation) -> None:
        simulation.max_machines = 1
        simulation.boot(ScaleOutRecord("big", "north", False, 1, 0.0))
        # A service keeps the machine from being returned as idle.
        simulation.submit_until_accepted(raw_job(9, rig="daemon", hands=1, cores=1.0, voyageS=0.0))
        await simulation.run_until(lambda: task_count(simulation, "req-000009") == 1)
        (worker,) = simulation.alive()
        worker.fails_tasks = True
        worker.tasks[("req-000009", 0, 1)].ends_at = float("inf")
        await simulation.submit_until_accepted(lone_job(hands=2))
        await simulation.run_until(lambda: any(key[0] == JOB for key in worker.tasks))
        await simulation.advance(15.0)
        worker.fails_tasks = False
        await simulation.wait_until_done(JOB, MAX_WAIT_S)

    Simulation(3).run_scenario(scenario)


@pytest.mark.parametrize("rig", ["array", "group", "daemon"])
def test_faulty_job_takes_few_machines(rig: str) -> None:
    """Guards against a job that fails everywhere and for which machine after machine is created at full speed."""

    async def scenario(simulation: Simulation) -> None:
        simulation.faulty_machines = 10_000
        simulation.submit_until_accepted(lone_job(rig=rig, hands=8, voyageS=5.0 * (rig != "daemon")))
        await simulation.advance(120.0)
        created = simulation.machines_created
        machine_seconds = 0
        for _ in range(900):
            await simulation.advance(1.0)
            machine_seconds += len(simulation.alive())
        attempts = len({task.attempt for worker in simulation.workers.values() for task in worker.tasks.values()})
        # Less than two machines on average, of which a gang of eight takes two at a time, and no fixed end to it.
        assert machine_seconds < 2 * 900 and attempts < 900 / MAX_RETRY_S
        assert created < simulation.machines_created <= created + 2 * 900 / MAX_RETRY_S
        simulation.cancel_until_confirmed(JOB)
        await simulation.run_until(lambda: simulation.statuses[JOB] == "cancelled")

    Simulation(4).run_scenario(scenario)


def test_next_leader_starts_without_failures() -> None:
    """A new leader knows no failures: it tries the job again, and counts anew."""

    async def scenario(simulation: Simulation) -> None:
        simulation.faulty_machines = 3
        await simulation.submit_until_accepted(lone_job(hands=8))
        for _ in range(2):
            await simulation.run_until(lambda: task_count(simulation, JOB) > 0)
            await fail_over(simulation)
            await simulation.advance(2.0)
            for label in ("a", "b", "c"):
                if label not in simulation.processes:
                    simulation.start(label)
        await simulation.wait_until_done(JOB, PATIENCE_S)

    Simulation(5).run_scenario(scenario)


def test_failures_of_one_machine_count_as_one() -> None:
    failures = JobFailures()
    for second in range(8):
        failures.record(JOB, "vm-1", float(second))
    assert failures.retry_at(JOB) == 1.0 and not failures.is_suspect(JOB, 8.0)
    failures.record(JOB, "vm-1", EXCLUSION_S + 1.0)
    assert failures.retry_at(JOB) == EXCLUSION_S + 3.0


def test_failures_on_several_machines_delay_a_job_until_one_task_is_done() -> None:
    failures = JobFailures()
    for number in range(SUSPECT_MACHINES):
        assert not failures.is_suspect(JOB, 0.0)
        failures.record(JOB, f"vm-{number}", 0.0)
    assert failures.is_suspect(JOB, 0.0) and JOB in failures
    failures.record_success(JOB)
    assert not failures.is_suspect(JOB, 0.0) and JOB not in failures


def test_old_failures_no_longer_count() -> None:
    """Guards against a service that is suspected for a few faulty machines in the course of days."""
    failures = JobFailures()
    now = 0.0
    for number in range(2 * SUSPECT_MACHINES):
        failures.record(JOB, f"vm-{number}", now)
        now += FAILURE_MEMORY_S + 1.0
    assert not failures.is_suspect(JOB, now) and failures.retry_at(JOB) < now


def test_refused_starts_are_retried_with_a_growing_delay() -> None:
    failures = JobFailures()
    now, tries = 0.0, 0
    while now < 10 * MAX_RETRY_S:
        failures.record_refusal(JOB, now)
        now = max(now + 1.0, failures.retry_at(JOB))
        tries += 1
    assert tries < 20
