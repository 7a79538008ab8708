"""Single faults in the reference model: no invariant is violated, and all jobs finish afterwards."""

from collections.abc import Callable

import pytest

from .reference_model import ReferenceModel
from .reference_worker import ReferenceWorker
from .samples import MACHINE_TYPES, job, platform


def busy_model(seed: int = 7) -> ReferenceModel:
    """Return a model in which an array, a gang, a service and a spot array run."""
    model = ReferenceModel(seed, platform(), MACHINE_TYPES)
    model.elect()
    model.submit(job(1, hands=3, voyageS=30.0))
    model.submit(job(2, hands=2, rig="group", rank="high", voyageS=40.0, crew="blue"))
    model.submit(job(3, hands=1, rig="daemon", rank="critical"))
    model.submit(job(4, hands=2, driftwood=True, rank="best_effort", voyageS=20.0, crew="blue"))
    model.run(8.0)
    assert len(model.tasks_on_machines()) >= 6
    return model


def worker_with_task(model: ReferenceModel, number: int) -> ReferenceWorker:
    """Return a worker that holds a task of job `number`."""
    return next(worker for worker, task in model.tasks_on_machines() if task.job.id == f"req-{number:06d}")


def partition_worker(model: ReferenceModel) -> None:
    worker_with_task(model, 1).partitioned = True
    model.run(25.0)


def hang_and_resume(model: ReferenceModel) -> None:
    worker = worker_with_task(model, 2)
    worker.hung = True
    model.run(8.0)
    worker.hung = False
    model.run(10.0)


def hang_permanently(model: ReferenceModel) -> None:
    worker_with_task(model, 3).hung = True
    model.run(40.0)


def machine_fails_tasks(model: ReferenceModel) -> None:
    worker_with_task(model, 1).fails_tasks = True
    model.run(60.0)


def terminate_spot_machines(model: ReferenceModel) -> None:
    for worker in model.alive():
        if worker.spot:
            worker.terminated = True
            worker.tasks.clear()
    model.run(20.0)


def cloud_outage(model: ReferenceModel) -> None:
    model.cloud_up = False
    worker_with_task(model, 1).terminated = True
    model.submit(job(10, hands=4))
    model.run(30.0)


def store_outage(model: ReferenceModel) -> None:
    model.store_up = False
    model.submit(job(11))
    model.run(20.0)


def crash_leader(model: ReferenceModel) -> None:
    model.leader.crashed = True
    model.run(3.0)
    model.elect("b")
    model.run(10.0)


def crash_two_leaders(model: ReferenceModel) -> None:
    model.leader.crashed = True
    model.run(8.0)
    model.elect("a")
    model.run(2.0)
    model.leader.crashed = True
    model.elect("b")
    model.run(10.0)


def rolling_restarts(model: ReferenceModel) -> None:
    for label in "bcab":
        model.leader.crashed = True
        model.run(2.0)
        model.elect(label)
        model.run(4.0)


def old_leader_keeps_running(model: ReferenceModel) -> None:
    model.elect("b")
    model.run(20.0)


def submission_burst(model: ReferenceModel) -> None:
    for number in range(20, 50):
        model.submit(job(number, hands=2, rank="best_effort", voyageS=10.0))
    model.run(30.0)


def unreliable_network(model: ReferenceModel) -> None:
    model.fault_rate = 1.0
    model.run(60.0)


@pytest.mark.parametrize(
    "inject",
    [
        partition_worker,
        hang_and_resume,
        hang_permanently,
        machine_fails_tasks,
        terminate_spot_machines,
        cloud_outage,
        store_outage,
        crash_leader,
        crash_two_leaders,
        rolling_restarts,
        old_leader_keeps_running,
        submission_burst,
        unreliable_network,
    ],
)
def test_single_fault_breaks_no_invariant_and_jobs_finish(inject: Callable[[ReferenceModel], None]) -> None:
    model = busy_model()
    inject(model)
    model.fault_rate, model.cloud_up, model.store_up = 0.0, True, True
    if model.leader.stepped_down or model.leader.crashed:
        model.elect()
    model.submit(job(900, hands=2))
    model.run(60.0)
    assert model.states()["req-000003"] == "running", "the service runs again"
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"}
    assert model.statuses["req-000900"] == "done"


def test_store_outage_keeps_running_tasks() -> None:
    model = busy_model()
    before = {
        (worker.name, task.job.id, task.index, task.attempt)
        for worker, task in model.tasks_on_machines()
        if task.job.id == "req-000003"
    }
    store_outage(model)
    after = {(worker.name, task.job.id, task.index, task.attempt) for worker, task in model.tasks_on_machines()}
    assert before <= after


def test_cancelled_task_on_a_hung_machine_ends_in_time() -> None:
    """Guards against waiting for a hung machine, which never executes the stop: the cloud must delete it."""
    model = busy_model()
    worker = worker_with_task(model, 3)
    worker.hung = True
    model.cancel("req-000003")
    model.run(model.platform.cancel_s - 1.0)
    assert model.statuses["req-000003"] == "cancelled"
    assert worker.terminated


def test_gang_that_loses_a_machine_restarts_as_a_whole() -> None:
    model = busy_model()
    worker = worker_with_task(model, 2)
    worker.terminated = True
    worker.tasks.clear()
    seen: set[int] = set()
    for _ in range(200):
        model.step()
        attempts = {task.attempt for _, task in model.tasks_on_machines() if task.job.id == "req-000002"}
        assert len(attempts) <= 1, "tasks of two attempts of a gang run at once"
        seen |= attempts
    assert len(seen) > 1


def test_drain_stops_all_tasks_of_a_gang_with_the_grace_period() -> None:
    """Draining one machine stops all tasks of the gang at once, with time to write a checkpoint."""
    model = busy_model()
    scheduler = model.leader.scheduler
    batch = scheduler.build_batch()
    gang = scheduler.cluster.jobs["req-000002"]
    assert scheduler.drainer.stop_attempt(batch, gang, 0)
    assert {placement.stop_grace_s for placement in batch.jobs["req-000002"].placements.values()} == {
        gang.spec.checkpoint_duration_s
    }
