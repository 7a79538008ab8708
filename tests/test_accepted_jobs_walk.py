"""Random walk over jobs that are hard to start: slow fetches, faulty machines, notices; all accepted jobs must end.

Once the faults are over, no job may wait for 90 s while machines that fit have room and its team is under its limit,
gangs included, and every job must be done within ten minutes.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from .reference_worker import ReferenceWorker
from .samples import raw_job
from .simulation import Simulation
from .test_controller_fault_walk import FAULTS, Fault, run_fault_walk, toggle_on_some_workers

# Fetch rates of machines in GB/s, from the slowest of two sites, a third below its nominal rate, upwards.
FETCH_GB_PER_S = (0.08, 0.12, 0.2, 1.0)


def send_termination_notice(simulation: Simulation, rng: random.Random) -> None:
    """Have the cloud take a random machine back, with a notice of 3 to 15 s or without one."""
    if not simulation.alive():
        return
    worker = rng.choice(simulation.alive())
    notice_s = rng.choice([0.0, 3.0, 8.0, 15.0])

    async def reclaim() -> None:
        worker.termination_notice_s = notice_s or None
        await simulation.advance(notice_s)
        terminate(worker)

    simulation.spawn(reclaim())


def terminate(worker: ReferenceWorker) -> None:
    worker.terminated = True
    worker.tasks.clear()


def make_new_machines_faulty(simulation: Simulation, rng: random.Random) -> None:
    """Have the next machines fail every task, until all faults end."""
    simulation.faulty_machines = simulation.machines_created + rng.choice([1, 2, 4])


def make_machines_fail(simulation: Simulation, rng: random.Random) -> None:
    for worker in rng.sample(simulation.alive(), min(len(simulation.alive()), rng.choice([1, 2, 4]))):
        worker.fails_tasks = True


STARTING_FAULTS: list[Fault] = [
    *FAULTS,
    *[send_termination_notice] * 4,
    *[make_new_machines_faulty] * 3,
    *[make_machines_fail] * 3,
    *[toggle_on_some_workers("hung")] * 2,
]


def random_slow_job(rng: random.Random, number: int, known: list[str]) -> dict[str, Any]:
    """Return a random submission, mostly of a gang, whose image takes between a second and a minute."""
    rig = rng.choice(["array", "group", "group", "group", "daemon"])
    hands = rng.choice([1, 2, 3, 4, 6])
    return raw_job(
        number,
        cargo=rng.choice(["train", "batch"]),
        rig=rig,
        crew=rng.choice(["red", "blue"]),
        rank=rng.choice(["critical", "high", "standard", "best_effort"]),
        hands=hands,
        cores=rng.choice([1.0, 4.0, 7.0]),
        accelerators=rng.choice([0.0, 0.5, 1.0]),
        hull=f"img-{rng.randrange(4)}",
        imageGb=rng.choice([0.5, 3.0, 5.0]),
        together=rng.random() < 0.4,
        driftwood=rng.random() < 0.5,
        voyageS=0.0 if rig == "daemon" else rng.choice([5.0, 20.0, 60.0]),
        mooringS=rng.choice([0.0, 10.0]),
        tows=rng.sample(known, min(len(known), rng.choice([0, 0, 0, 1]))),
    )


class SlowStartSimulation(Simulation):
    """A simulation in which machines fetch images at rates that differ by more than the wait of a gang."""

    def run_scenario(self, scenario: Callable[[Simulation], Awaitable[None]]) -> None:
        """Run a scenario with fetch rates that follow from the seed and the machine's name."""
        rates = [self.rng.choice(FETCH_GB_PER_S) for _ in range(16)]
        self.fetch_gb_per_s = lambda name: rates[int(name.removeprefix("vm-")) % len(rates)]
        super().run_scenario(scenario)

    def heal(self) -> None:
        """End all faults; machines that are created from now on are sound."""
        super().heal()
        self.faulty_machines = 0


def run_starting_walk(seed: int, kind: type[Simulation] = SlowStartSimulation) -> Simulation:
    """Run the walk of a seed; raise if a job does not run or another invariant does not hold."""
    return run_fault_walk(seed, kind, STARTING_FAULTS, random_slow_job)


@pytest.mark.parametrize("seed", range(20))
def test_every_accepted_job_runs_once_the_faults_are_over(seed: int) -> None:
    simulation = run_starting_walk(seed)
    assert simulation.task_starts > 3


class LastingFaultsSimulation(SlowStartSimulation):
    """The same, and up to three machines that fail their tasks go on to do so when the other faults end."""

    def heal(self) -> None:
        """End all other faults."""
        faulty = [worker for worker in self.alive() if worker.fails_tasks][:3]
        super().heal()
        for worker in faulty:
            worker.fails_tasks = True


@pytest.mark.parametrize("seed", range(8))
def test_every_accepted_job_runs_beside_machines_that_stay_faulty(seed: int) -> None:
    simulation = run_starting_walk(seed, LastingFaultsSimulation)
    assert simulation.task_starts > 3
