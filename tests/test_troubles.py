"""Each trouble of the brief, alone, against the stand-ins: the rules hold and work goes on afterwards."""

from collections.abc import Callable

import pytest

from .samples import TYPES, job, platform
from .world import PlainWorker, World


def busy_world(seed: int = 7) -> World:
    """Return a world with an array, a gang, a service and a spot array under way."""
    world = World(seed, platform(), TYPES)
    world.elect()
    world.submit(job(1, hands=3, voyageS=30.0))
    world.submit(job(2, hands=2, rig="group", rank="high", voyageS=40.0, crew="blue"))
    world.submit(job(3, hands=1, rig="daemon", rank="critical"))
    world.submit(job(4, hands=2, driftwood=True, rank="best_effort", voyageS=20.0, crew="blue"))
    world.run(8.0)
    assert len(world.on_machines()) >= 6
    return world


def holder(world: World, number: int) -> PlainWorker:
    """Return a machine that holds a task of a job."""
    return next(worker for worker, task in world.on_machines() if task.job.id == f"req-{number:06d}")


def cut(world: World) -> None:
    holder(world, 1).cut = True
    world.run(25.0)


def hang_and_resume(world: World) -> None:
    worker = holder(world, 2)
    worker.hung = True
    world.run(8.0)
    worker.hung = False
    world.run(10.0)


def hang_for_good(world: World) -> None:
    holder(world, 3).hung = True
    world.run(40.0)


def sick(world: World) -> None:
    holder(world, 1).sick = True
    world.run(60.0)


def spot_wave(world: World) -> None:
    for worker in world.alive():
        if worker.spot:
            worker.gone = True
            worker.tasks.clear()
    world.run(20.0)


def cloud_down(world: World) -> None:
    world.cloud_up = False
    holder(world, 1).gone = True
    world.submit(job(10, hands=4))
    world.run(30.0)


def store_down(world: World) -> None:
    world.store_up = False
    world.submit(job(11))
    world.run(20.0)


def leader_crashes(world: World) -> None:
    world.leader.silent = True
    world.run(3.0)
    world.elect("b")
    world.run(10.0)


def all_crash(world: World) -> None:
    world.leader.silent = True
    world.run(8.0)
    world.elect("a")
    world.run(2.0)
    world.leader.silent = True
    world.elect("b")
    world.run(10.0)


def rolling_restarts(world: World) -> None:
    for label in "bcab":
        world.leader.silent = True
        world.run(2.0)
        world.elect(label)
        world.run(4.0)


def old_leader_lives_on(world: World) -> None:
    world.elect("b")
    world.run(20.0)


def burst(world: World) -> None:
    for number in range(20, 50):
        world.submit(job(number, hands=2, rank="best_effort", voyageS=10.0))
    world.run(30.0)


def bad_network(world: World) -> None:
    world.chaos = 1.0
    world.run(60.0)


@pytest.mark.parametrize(
    "happen",
    [
        cut,
        hang_and_resume,
        hang_for_good,
        sick,
        spot_wave,
        cloud_down,
        store_down,
        leader_crashes,
        all_crash,
        rolling_restarts,
        old_leader_lives_on,
        burst,
        bad_network,
    ],
)
def test_a_trouble_breaks_no_rule_and_work_goes_on(happen: Callable[[World], None]) -> None:
    world = busy_world()
    happen(world)
    world.chaos, world.cloud_up, world.store_up = 0.0, True, True
    if world.leader.stepped_down or world.leader.silent:
        world.elect()
    world.submit(job(900, hands=2))
    world.run(60.0)
    assert world.states()["req-000003"] == "running", "the service is back"
    world.settle()
    assert set(world.states().values()) <= {"done", "cancelled"}
    assert world.told["req-000900"] == "done"


def test_an_outage_of_the_store_costs_no_running_work() -> None:
    world = busy_world()
    before = {
        (worker.name, task.job.id, task.index, task.attempt)
        for worker, task in world.on_machines()
        if task.job.id == "req-000003"
    }
    store_down(world)
    after = {(worker.name, task.job.id, task.index, task.attempt) for worker, task in world.on_machines()}
    assert before <= after


def test_a_cancelled_task_on_a_hung_machine_is_gone_in_time() -> None:
    """Guards against waiting for a machine that will never obey: the cloud has to fence it."""
    world = busy_world()
    worker = holder(world, 3)
    worker.hung = True
    world.cancel("req-000003")
    world.run(world.platform.cancel_s - 1.0)
    assert world.told["req-000003"] == "cancelled"
    assert worker.gone


def test_a_gang_that_loses_a_machine_stops_whole_and_starts_whole() -> None:
    world = busy_world()
    worker = holder(world, 2)
    worker.gone = True
    worker.tasks.clear()
    seen: set[int] = set()
    for _ in range(200):
        world.step()
        attempts = {task.attempt for _, task in world.on_machines() if task.job.id == "req-000002"}
        assert len(attempts) <= 1, "two attempts of a gang at once"
        seen |= attempts
    assert len(seen) > 1


def test_an_orderly_stop_tells_all_of_a_gang_within_its_time() -> None:
    """A drain of one machine stops the whole gang with time to save, every task at once."""
    world = busy_world()
    scheduler = world.leader.term
    batch = scheduler.build_batch()
    gang = scheduler.cluster.jobs["req-000002"]
    assert scheduler.drainer.stop_attempt(batch, gang, 0)
    assert {placement.stop_grace_s for placement in batch.jobs["req-000002"].placements.values()} == {
        gang.spec.checkpoint_duration_s
    }
