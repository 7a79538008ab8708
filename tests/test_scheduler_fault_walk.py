"""Random faults against the real scheduler, checked by the invariants of the reference model."""

import random
from typing import Any

import pytest

from driftcleat.store.records import ScaleOutRecord

from .reference_model import InvariantViolationError, ReferenceModel
from .reference_worker import ReferenceWorker
from .samples import MACHINE_TYPES, job, platform


def random_job(rng: random.Random, number: int) -> Any:
    """Return a random job."""
    rig = rng.choice(["array", "array", "group", "daemon"])
    # A gang that must be spread over zones and stay in one zone is unschedulable, so none is submitted.
    spread = rng.random() < 0.2
    harbor = None if spread and rig == "group" else rng.choice([None, None, "north"])
    return job(
        number,
        rig=rig,
        crew=rng.choice(["red", "blue"]),
        rank=rng.choice(["critical", "high", "standard", "best_effort"]),
        hands=rng.choice([1, 1, 2, 3, 4]),
        cores=rng.choice([1.0, 2.0, 4.0]),
        accelerators=rng.choice([1.0, 1.0, 1.5]),
        builds=rng.choice([None, None, ["big"], ["small", "big"]]),
        harbor=harbor,
        together=not spread and rng.random() < 0.2,
        spread=spread,
        driftwood=rng.random() < 0.4,
        voyageS=rng.choice([0.0, 5.0, 20.0, 40.0]),
        mooringS=rng.choice([0.0, 10.0]),
    )


def inject_fault(model: ReferenceModel, rng: random.Random) -> None:
    """Inject a random fault, or end one or all of them."""
    alive = model.alive()
    fault = rng.randrange(16)
    worker: ReferenceWorker | None = rng.choice(alive) if alive else None
    if fault == 0 and worker is not None:
        worker.partitioned = not worker.partitioned
    elif fault == 1 and worker is not None:
        worker.hung = not worker.hung
    elif fault == 2 and worker is not None:
        worker.fails_tasks = not worker.fails_tasks
    elif fault == 3 and worker is not None:
        worker.terminated = True
        worker.tasks.clear()
    elif fault == 4:
        model.cloud_up = not model.cloud_up
    elif fault == 5:
        model.store_up = not model.store_up
    elif fault in (6, 7):
        # The old leader may run on and answer heartbeats until a worker sends it the new fencing token.
        model.leader.crashed = rng.random() < 0.5
        model.elect(rng.choice("abc"))
    elif fault == 9 and worker is not None:
        worker.inbound_cut = not worker.inbound_cut
    elif fault == 10 and worker is not None:
        worker.restart()
    elif fault == 11:
        model.duplicate_rate = rng.choice([0.0, 0.3, 1.0])
    elif fault == 12:
        # The leader loses the store and its peers, but answers its workers until one sends the new fencing token.
        model.sticky_leader = model.leader
        model.elect(rng.choice("abc"))
    elif fault == 13:
        # The leader restarts twice within a fraction of a second, before it has made a decision.
        for _ in range(2):
            model.leader.crashed = True
            model.elect("a")
    elif fault == 8:
        for other in model.workers.values():
            other.partitioned = other.hung = other.inbound_cut = False
        model.sticky_leader = None
        model.cloud_up = model.store_up = True


@pytest.mark.parametrize("seed", range(32))
def test_random_faults_break_no_invariant(seed: int) -> None:
    rng = random.Random(1000 + seed)
    model = ReferenceModel(seed, platform(txn_ops=rng.choice([6, 12, 24])), MACHINE_TYPES)
    model.elect()
    model.fault_rate = rng.choice([0.0, 0.3, 1.0])
    number = 0
    for _ in range(60):
        for _ in range(rng.randrange(3)):
            number += 1
            model.submit(random_job(rng, number))
        if number and rng.random() < 0.3:
            model.submit(model.specs.get(f"req-{rng.randrange(1, number + 1):06d}") or random_job(rng, number))
        if number and rng.random() < 0.3:
            model.cancel(f"req-{rng.randrange(1, number + 1):06d}")
        if rng.random() < 0.5:
            inject_fault(model, rng)
        if model.leader.stepped_down:
            model.elect()
        # No machine can be fenced in time during a cloud outage longer than `cancel_s`.
        model.run(rng.uniform(0.5, 6.0))
        if not model.cloud_up and rng.random() < 0.5:
            model.cloud_up = True
        if model.store_up or rng.random() < 0.5:
            model.store_up = True
            model.poll_all()
    assert model.task_starts > 10
    model.settle()
    for job_id, state in model.states().items():
        assert state in ("done", "cancelled"), (job_id, state, model.specs[job_id])
    assert not model.tasks_on_machines()


def test_model_detects_a_task_that_runs_twice() -> None:
    """Checks the reference model itself: a second start of a task is a violation."""
    model = ReferenceModel(1, platform(), MACHINE_TYPES)
    model.elect()
    model.submit(job(1, hands=1, voyageS=100.0))
    model.run(40)
    ((first, task),) = model.tasks_on_machines()
    model.boot(ScaleOutRecord("big", "north", False, 1, 0.0))
    other = model.workers[f"vm-{model.machines_created:06d}"]
    with pytest.raises(InvariantViolationError, match="ran_twice"):
        other.start((task.job.id, task.index, 99))
    assert first.name != other.name
