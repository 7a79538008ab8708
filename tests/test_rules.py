"""The real core in a hostile world, compared with a plain model of the rules."""

import random
from typing import Any

import pytest

from driftcleat.store.records import ScaleOutRecord

from .samples import TYPES, job, platform
from .world import PlainWorker, RuleBrokenError, World


def random_job(rng: random.Random, number: int) -> Any:
    """Return some job."""
    rig = rng.choice(["array", "array", "group", "daemon"])
    # A gang that is to be spread and to stay in one zone can never start: no user means that.
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


def trouble(world: World, rng: random.Random) -> None:
    """Something goes wrong, or stops doing so."""
    alive = world.alive()
    what = rng.randrange(16)
    worker: PlainWorker | None = rng.choice(alive) if alive else None
    if what == 0 and worker is not None:
        worker.cut = not worker.cut
    elif what == 1 and worker is not None:
        worker.hung = not worker.hung
    elif what == 2 and worker is not None:
        worker.sick = not worker.sick
    elif what == 3 and worker is not None:
        worker.gone = True
        worker.tasks.clear()
    elif what == 4:
        world.cloud_up = not world.cloud_up
    elif what == 5:
        world.store_up = not world.store_up
    elif what in (6, 7):
        # The old leader may live on and answer reports until a worker tells it of the new token.
        world.leader.silent = rng.random() < 0.5
        world.elect(rng.choice("abc"))
    elif what == 9 and worker is not None:
        worker.deaf = not worker.deaf
    elif what == 10 and worker is not None:
        worker.restart()
    elif what == 11:
        world.copies = rng.choice([0.0, 0.3, 1.0])
    elif what == 12:
        # It loses store and peers, not its workers: it goes on answering until one has seen the new token.
        world.held_by = world.leader
        world.elect(rng.choice("abc"))
    elif what == 13:
        # Back within a fraction of a second, and once more before it has done anything.
        for _ in range(2):
            world.leader.silent = True
            world.elect("a")
    elif what == 8:
        for other in world.workers.values():
            other.cut = other.hung = other.deaf = False
        world.held_by = None
        world.cloud_up = world.store_up = True


@pytest.mark.parametrize("seed", range(32))
def test_no_rule_breaks_whatever_goes_wrong(seed: int) -> None:
    rng = random.Random(1000 + seed)
    world = World(seed, platform(txn_ops=rng.choice([6, 12, 24])), TYPES)
    world.elect()
    world.chaos = rng.choice([0.0, 0.3, 1.0])
    number = 0
    for _ in range(60):
        for _ in range(rng.randrange(3)):
            number += 1
            world.submit(random_job(rng, number))
        if number and rng.random() < 0.3:
            world.submit(world.specs.get(f"req-{rng.randrange(1, number + 1):06d}") or random_job(rng, number))
        if number and rng.random() < 0.3:
            world.cancel(f"req-{rng.randrange(1, number + 1):06d}")
        if rng.random() < 0.5:
            trouble(world, rng)
        if world.leader.stepped_down:
            world.elect()
        # An outage of the cloud longer than a cancellation's time cannot be survived by any fence.
        world.run(rng.uniform(0.5, 6.0))
        if not world.cloud_up and rng.random() < 0.5:
            world.cloud_up = True
        if world.store_up or rng.random() < 0.5:
            world.store_up = True
            world.poll_all()
    assert world.started > 10
    world.settle()
    for job_id, state in world.states().items():
        assert state in ("done", "cancelled"), (job_id, state, world.specs[job_id])
    assert not world.on_machines()


def test_the_model_sees_a_task_that_runs_twice() -> None:
    """The plain model must be able to fail: break the core on purpose."""
    world = World(1, platform(), TYPES)
    world.elect()
    world.submit(job(1, hands=1, voyageS=100.0))
    world.run(40)
    ((first, task),) = world.on_machines()
    world.boot(ScaleOutRecord("big", "north", False, 1, 0.0))
    other = world.workers[f"vm-{world.rented:06d}"]
    with pytest.raises(RuleBrokenError, match="ran_twice"):
        other.start((task.job.id, task.index, 99))
    assert first.name != other.name
