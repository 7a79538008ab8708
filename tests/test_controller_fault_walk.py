"""A random walk over pairs of faults: real controllers with leader election, checked by the reference model."""

import random
from collections.abc import Callable

import pytest

from driftcleat.wire.users import JobKind

from .samples import raw_job
from .simulation import LABELS, Simulation


def reject_leader_at_store(simulation: Simulation, rng: random.Random) -> None:
    simulation.store_double.down_for.add(simulation.leader_label() or rng.choice(LABELS))


def start_store_outage(simulation: Simulation, rng: random.Random) -> None:
    simulation.store_double.down_for.add("all")


def end_store_outage(simulation: Simulation, rng: random.Random) -> None:
    simulation.store_double.heal()


def isolate_leader(simulation: Simulation, rng: random.Random) -> None:
    simulation.isolate(simulation.leader_label() or rng.choice(LABELS))


def partition_controller(simulation: Simulation, rng: random.Random) -> None:
    simulation.partition(rng.choice(LABELS))


def partition_zone(simulation: Simulation, rng: random.Random) -> None:
    """Partition zone south: controller c loses the store, its peers and users; workers in the zone reach only c."""
    simulation.isolate("c")
    simulation.partitioned_from["users"].add("c")
    for worker in simulation.alive():
        if worker.zone == "south":
            simulation.worker_controllers[worker.name] = "c"
            worker.only_controller = "c"  # type: ignore[attr-defined]


def crash_leader(simulation: Simulation, rng: random.Random) -> None:
    simulation.crash(simulation.leader_label() or rng.choice(LABELS))


def crash_all_controllers(simulation: Simulation, rng: random.Random) -> None:
    simulation.crash(*LABELS)
    resume_hung_workers(simulation)


def resume_hung_workers(simulation: Simulation) -> None:
    """Resume all hung machines.

    Only the cloud can end a task on a machine that hangs for longer than `cancel_s`. Without a controller to request
    that, or without the cloud, no scheduler could end a cancelled task in time.
    """
    for worker in simulation.alive():
        worker.hung = False


def restart_controllers(simulation: Simulation, rng: random.Random) -> None:
    for label in [simulation.leader_label() or "a", rng.choice(LABELS)]:
        simulation.crash(label)
        simulation.start(label)


def start_stopped_controller(simulation: Simulation, rng: random.Random) -> None:
    missing = [label for label in LABELS if label not in simulation.processes]
    if missing:
        simulation.start(rng.choice(missing))


def toggle_on_some_workers(name: str) -> "Fault":
    """Return a fault that toggles a flag of up to three random workers; `hung` only while machines can be fenced."""

    def inject(simulation: Simulation, rng: random.Random) -> None:
        if name == "hung" and not (simulation.cloud_up and simulation.processes):
            return
        for worker in rng.sample(simulation.alive(), min(len(simulation.alive()), rng.choice([1, 1, 3]))):
            setattr(worker, name, not getattr(worker, name))

    inject.__name__ = name
    return inject


def terminate_worker(simulation: Simulation, rng: random.Random) -> None:
    if simulation.alive():
        worker = rng.choice(simulation.alive())
        worker.terminated = True
        worker.tasks.clear()


def restart_worker(simulation: Simulation, rng: random.Random) -> None:
    if simulation.alive():
        rng.choice(simulation.alive()).restart()


def set_late_write_rate(simulation: Simulation, rng: random.Random) -> None:
    simulation.late_write_rate = rng.choice([0.0, 0.3, 0.6])


def set_duplicate_rate(simulation: Simulation, rng: random.Random) -> None:
    simulation.duplicate_rate = rng.choice([0.0, 0.5])


def set_delayed_command_rate(simulation: Simulation, rng: random.Random) -> None:
    simulation.delayed_command_rate = rng.choice([0.0, 0.3])


def set_store_delay(simulation: Simulation, rng: random.Random) -> None:
    simulation.store_delay_s = rng.choice([0.0, 0.1, 0.6])


def toggle_cloud_outage(simulation: Simulation, rng: random.Random) -> None:
    simulation.cloud_up = not simulation.cloud_up
    resume_hung_workers(simulation)


def heal_partitions(simulation: Simulation, rng: random.Random) -> None:
    simulation.partitioned_links.clear()
    for labels in simulation.partitioned_from.values():
        labels.clear()
    for worker in simulation.alive():
        worker.only_controller = None  # type: ignore[attr-defined]


Fault = Callable[[Simulation, random.Random], None]

FAULTS: list[Fault] = [
    reject_leader_at_store,
    start_store_outage,
    end_store_outage,
    end_store_outage,
    isolate_leader,
    partition_controller,
    partition_zone,
    crash_leader,
    crash_all_controllers,
    restart_controllers,
    start_stopped_controller,
    start_stopped_controller,
    toggle_on_some_workers("hung"),
    toggle_on_some_workers("partitioned"),
    toggle_on_some_workers("inbound_cut"),
    toggle_on_some_workers("outbound_cut"),
    toggle_on_some_workers("fails_tasks"),
    terminate_worker,
    restart_worker,
    set_late_write_rate,
    set_duplicate_rate,
    set_delayed_command_rate,
    set_store_delay,
    toggle_cloud_outage,
    heal_partitions,
    heal_partitions,
]


def random_raw_job(rng: random.Random, number: int, known: list[str]) -> dict[str, object]:
    """Return a random submission that depends on up to two of the `known` jobs; services have no time estimate."""
    rig = rng.choice(["array", "array", "group", "daemon"])
    spread = rng.random() < 0.15
    return raw_job(
        number,
        rig=rig,
        crew=rng.choice(["red", "blue"]),
        rank=rng.choice(["critical", "high", "standard", "best_effort"]),
        hands=rng.choice([1, 2, 2, 3]),
        cores=rng.choice([1.0, 4.0]),
        harbor=None if spread else rng.choice([None, None, "north"]),
        together=not spread and rng.random() < 0.3,
        spread=spread,
        driftwood=rng.random() < 0.3,
        voyageS=0.0 if rig == "daemon" else rng.choice([5.0, 20.0, 60.0]),
        mooringS=rng.choice([0.0, 10.0]),
        tows=rng.sample(known, min(len(known), rng.choice([0, 1, 2]))),
    )


# A function that returns the submission of a number, which may depend on the jobs that are known.
Submission = Callable[[random.Random, int, list[str]], dict[str, object]]


def accepted_job_ids(simulation: Simulation) -> list[str]:
    """Return the accepted jobs on which others may depend: all but services."""
    return sorted(job_id for job_id in simulation.statuses if simulation.specs[job_id].kind is not JobKind.SERVICE)


def run_fault_walk(
    seed: int,
    kind: type[Simulation] = Simulation,
    faults: list[Fault] = FAULTS,
    submission: Submission = random_raw_job,
) -> Simulation:
    """Run the walk of a seed with these faults and submissions; raise if an invariant does not hold."""
    rng = random.Random(seed)
    simulation = kind(seed, next={"value_kb": 2.0, "txn_ops": 4, "write_rps": 35.0})

    async def scenario(simulation: Simulation) -> None:
        number = 0
        for _ in range(6):
            number += 1
            simulation.submit_until_accepted(submission(rng, number, accepted_job_ids(simulation)))
            await simulation.advance(0.5)
        await simulation.advance(9.0)
        for _ in range(rng.randrange(4, 12)):
            for fault in rng.sample(faults, 2):
                fault(simulation, rng)
                await simulation.advance(rng.choice([0.0, 0.1, 0.5, 2.0, 5.0]))
                if rng.random() < 0.4:
                    simulation.cancel_until_confirmed(f"req-{rng.randrange(1, number + 1):06d}")
            if rng.random() < 0.5:
                number += 1
                simulation.submit_until_accepted(submission(rng, number, accepted_job_ids(simulation)))
            if rng.random() < 0.1:
                simulation.lower_limits()
            for _ in range(3):
                await simulation.poll(f"req-{rng.randrange(1, number + 1):06d}")
            await simulation.advance(rng.choice([0.5, 3.0, 15.0, 40.0]))
            if not simulation.cloud_up or not simulation.processes:
                resume_hung_workers(simulation)
            if rng.random() < 0.5:
                simulation.cloud_up = True
        await simulation.verify_recovery()

    simulation.run_scenario(scenario)
    return simulation


@pytest.mark.parametrize("seed", range(30))
def test_no_pair_of_faults_breaks_an_invariant(seed: int) -> None:
    simulation = run_fault_walk(seed)
    assert simulation.task_starts > 3
