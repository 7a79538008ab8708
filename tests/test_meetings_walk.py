"""A random walk over pairs of troubles: real controllers, election and all, against the plain model of the rules."""

import random
from collections.abc import Callable

import pytest

from driftcleat.wire.users import JobKind

from .samples import raw_job
from .simulation import LABELS, Simulation


def refuse_one(sim: Simulation, rng: random.Random) -> None:
    sim.state.down_for.add(sim.lead() or rng.choice(LABELS))


def outage(sim: Simulation, rng: random.Random) -> None:
    sim.state.down_for.add("all")


def outage_ends(sim: Simulation, rng: random.Random) -> None:
    sim.state.heal()


def lose_all_but_workers(sim: Simulation, rng: random.Random) -> None:
    sim.cut_off(sim.lead() or rng.choice(LABELS))


def part(sim: Simulation, rng: random.Random) -> None:
    sim.part(rng.choice(LABELS))


def zone_cut(sim: Simulation, rng: random.Random) -> None:
    """Controller c and the workers of its zone are alone together."""
    sim.cut_off("c")
    sim.away_from["users"].add("c")
    for worker in sim.alive():
        if worker.zone == "south":
            sim.attached[worker.name] = "c"
            worker.only = "c"  # type: ignore[attr-defined]


def leader_ends(sim: Simulation, rng: random.Random) -> None:
    sim.end(sim.lead() or rng.choice(LABELS))


def all_end(sim: Simulation, rng: random.Random) -> None:
    sim.end(*LABELS)
    unhang(sim)


def unhang(sim: Simulation) -> None:
    """Machines go on.

    Only the cloud can end a task on a machine that hangs for longer than a cancellation has: with no controller
    to ask it, or no cloud, no service could keep the rule.
    """
    for worker in sim.alive():
        worker.hung = False


def back_at_once(sim: Simulation, rng: random.Random) -> None:
    for label in [sim.lead() or "a", rng.choice(LABELS)]:
        sim.end(label)
        sim.start(label)


def one_returns(sim: Simulation, rng: random.Random) -> None:
    missing = [label for label in LABELS if label not in sim.processes]
    if missing:
        sim.start(rng.choice(missing))


def on_some(name: str) -> "Trouble":
    """Some machines fall into a state, or leave it."""

    def happen(sim: Simulation, rng: random.Random) -> None:
        if name == "hung" and not (sim.cloud_up and sim.processes):
            return
        for worker in rng.sample(sim.alive(), min(len(sim.alive()), rng.choice([1, 1, 3]))):
            setattr(worker, name, not getattr(worker, name))

    happen.__name__ = name
    return happen


def die(sim: Simulation, rng: random.Random) -> None:
    if sim.alive():
        worker = rng.choice(sim.alive())
        worker.gone = True
        worker.tasks.clear()


def machine_back_at_once(sim: Simulation, rng: random.Random) -> None:
    if sim.alive():
        rng.choice(sim.alive()).restart()


def late_writes(sim: Simulation, rng: random.Random) -> None:
    sim.late_writes = rng.choice([0.0, 0.3, 0.6])


def late_reports(sim: Simulation, rng: random.Random) -> None:
    sim.copies = rng.choice([0.0, 0.5])


def held_commands(sim: Simulation, rng: random.Random) -> None:
    sim.held_commands = rng.choice([0.0, 0.3])


def slow_store(sim: Simulation, rng: random.Random) -> None:
    sim.slow_s = rng.choice([0.0, 0.1, 0.6])


def cloud_down(sim: Simulation, rng: random.Random) -> None:
    sim.cloud_up = not sim.cloud_up
    unhang(sim)


def links_heal(sim: Simulation, rng: random.Random) -> None:
    sim.apart.clear()
    for labels in sim.away_from.values():
        labels.clear()
    for worker in sim.alive():
        worker.only = None  # type: ignore[attr-defined]


Trouble = Callable[[Simulation, random.Random], None]

TROUBLES: list[Trouble] = [
    refuse_one,
    outage,
    outage_ends,
    outage_ends,
    lose_all_but_workers,
    part,
    zone_cut,
    leader_ends,
    all_end,
    back_at_once,
    one_returns,
    one_returns,
    on_some("hung"),
    on_some("cut"),
    on_some("deaf"),
    on_some("mute"),
    on_some("sick"),
    die,
    machine_back_at_once,
    late_writes,
    late_reports,
    held_commands,
    slow_store,
    cloud_down,
    links_heal,
    links_heal,
]


def some_job(rng: random.Random, number: int, known: list[str]) -> dict[str, object]:
    """Return a submission; services are those with no estimate. Some need jobs that were accepted."""
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


def accepted(sim: Simulation) -> list[str]:
    """Return the accepted jobs that others may need."""
    return sorted(job_id for job_id in sim.told if sim.specs[job_id].kind is not JobKind.SERVICE)


def walk(seed: int, kind: type[Simulation] = Simulation) -> Simulation:
    rng = random.Random(seed)
    sim = kind(seed, next={"value_kb": 2.0, "txn_ops": 4, "write_rps": 35.0})

    async def story(sim: Simulation) -> None:
        number = 0
        for _ in range(6):
            number += 1
            sim.hand_in(some_job(rng, number, accepted(sim)))
            await sim.rest(0.5)
        await sim.rest(9.0)
        for _ in range(rng.randrange(4, 12)):
            for trouble in rng.sample(TROUBLES, 2):
                trouble(sim, rng)
                await sim.rest(rng.choice([0.0, 0.1, 0.5, 2.0, 5.0]))
                if rng.random() < 0.4:
                    sim.call_off(f"req-{rng.randrange(1, number + 1):06d}")
            if rng.random() < 0.5:
                number += 1
                sim.hand_in(some_job(rng, number, accepted(sim)))
            if rng.random() < 0.1:
                sim.lower_limits()
            for _ in range(3):
                await sim.poll(f"req-{rng.randrange(1, number + 1):06d}")
            await sim.rest(rng.choice([0.5, 3.0, 15.0, 40.0]))
            if not sim.cloud_up or not sim.processes:
                unhang(sim)
            if rng.random() < 0.5:
                sim.cloud_up = True
        await sim.settle_down()

    sim.play(story)
    return sim


@pytest.mark.parametrize("seed", range(30))
def test_no_pair_of_troubles_breaks_a_rule(seed: int) -> None:
    sim = walk(seed)
    assert sim.started > 3
