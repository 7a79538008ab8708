"""Gangs whose tasks have their images at different times: they start, in one zone if they must, and never twice."""

from collections.abc import Callable
from typing import Any

import pytest

from driftcleat.cluster import Batch, ClusterState, apply_batch, apply_heartbeat, commands_for_heartbeat, reconcile
from driftcleat.cluster.jobs import Job, TaskPlacement, TaskState
from driftcleat.store.layout import RecordLayout
from driftcleat.store.records import ScaleOutRecord
from driftcleat.wire.workers import CommandAction, ExitReason, Heartbeat, TaskPhase, TaskStatus

from .samples import MACHINE_TYPES, job, raw_job
from .simulation import LABELS, Simulation
from .test_fault_interactions import fail_over

JOB = "req-000001"
# The wait of a gang's task in the sample settings, in seconds.
GANG_WAIT_S = 20.0
FENCING_TOKEN = 5


def raw_gang(hands: int, **changes: Any) -> dict[str, object]:
    """Return a submission of a gang with one task on each machine, whose image takes 10 s at 1 GB/s."""
    whole_machine = {"cores": 7.0, "accelerators": 1.0, "imageGb": 10.0, "builds": ["small"]}
    return raw_job(1, **({"rig": "group", "hands": hands, "voyageS": 30.0} | whole_machine | changes))


def machine_number(name: str) -> int:
    return int(name.removeprefix("vm-"))


def boot_machines(simulation: Simulation, count: int, zone: str = "north", spot: bool = False) -> None:
    for _ in range(count):
        simulation.boot(ScaleOutRecord("small", zone, spot, 1, 0.0))


def run_with_fetches(
    seed: int, fetch_gb_per_s: Callable[[str], float], scenario: Callable[[Simulation], Any], machines: int = 14
) -> None:
    """Run a scenario in which a machine fetches images at a rate that follows from its name."""
    simulation = Simulation(seed)
    simulation.fetch_gb_per_s = fetch_gb_per_s
    simulation.max_machines = machines
    simulation.run_scenario(scenario)


@pytest.mark.parametrize("together", [False, True])
@pytest.mark.parametrize(("hands", "slow_machines"), [(2, 1), (4, 1), (6, 3)])
def test_gang_starts_although_some_fetches_outlast_the_wait(hands: int, slow_machines: int, together: bool) -> None:
    """Guards against a gang whose tasks exit alone in turn, since each attempt makes the others fetch anew."""

    async def scenario(simulation: Simulation) -> None:
        boot_machines(simulation, hands)
        await simulation.advance(3.0)
        await simulation.submit_until_accepted(raw_gang(hands, together=together))
        await simulation.run_until(lambda: simulation.gang_starts, 4 * GANG_WAIT_S)
        await simulation.wait_until_done(JOB, 60.0)
        assert simulation.gang_starts == [(JOB, 1)], "the first attempt starts, and only once"

    run_with_fetches(1, lambda name: 10.0 / 65.0 if machine_number(name) <= slow_machines else 10.0, scenario, hands)


@pytest.mark.parametrize("hands", [40, 60, 400])
def test_large_gang_starts_although_its_fetches_end_far_apart(hands: int) -> None:
    """Guards against a large gang of which some task is always on its way back when the others wait."""

    async def scenario(simulation: Simulation) -> None:
        simulation.heartbeat_delay_s = 0.8
        boot_machines(simulation, hands)
        await simulation.advance(3.0)
        await simulation.submit_until_accepted(raw_gang(hands, accelerators=0.0))
        await simulation.run_until(lambda: simulation.gang_starts, 90.0 + 2 * GANG_WAIT_S + 10.0)
        await simulation.wait_until_done(JOB, 60.0)
        assert simulation.gang_starts == [(JOB, 1)]

    run_with_fetches(3, lambda name: 10.0 / (10.0 + 80.0 * machine_number(name) / hands), scenario, hands)


@pytest.mark.parametrize("seed", range(4))
def test_gang_that_lost_a_machine_to_a_notice_starts_again(seed: int) -> None:
    """Guards against the same after an orderly stop: one machine has the image, its new one fetches for long."""

    async def scenario(simulation: Simulation) -> None:
        boot_machines(simulation, 2, spot=True)
        await simulation.advance(3.0)
        raw = raw_gang(2, together=True, driftwood=True, voyageS=200.0, mooringS=45.0, stowS=2.0)
        await simulation.submit_until_accepted(raw)
        await simulation.run_until(lambda: simulation.gang_starts, GANG_WAIT_S)
        await simulation.advance(3.0)
        leaving = simulation.workers["vm-000002"]
        leaving.termination_notice_s = 8.0
        await simulation.advance(8.0)
        leaving.terminated = True
        leaving.tasks.clear()
        await simulation.run_until(lambda: len(simulation.gang_starts) == 2, 3 * GANG_WAIT_S)

    # The machines that come later take two and a half times the wait.
    run_with_fetches(seed, lambda name: 2.0 if machine_number(name) <= 2 else 10.0 / 50.0, scenario)


def test_gang_starts_although_one_machine_hangs_before_it_fetches() -> None:
    """Guards against an attempt that ends because one machine comes late, while the others have their images."""

    async def scenario(simulation: Simulation) -> None:
        boot_machines(simulation, 3)
        await simulation.advance(3.0)
        await simulation.submit_until_accepted(raw_gang(3))
        await simulation.run_until(simulation.tasks_on_machines)
        late = simulation.workers["vm-000003"]
        await simulation.run_until(lambda: late.tasks, 10.0)
        for _ in range(6):
            # Within its lease each time, so that it is not given up.
            late.hung = True
            await simulation.advance(7.0)
            late.hung = False
            await simulation.advance(2.0)
        await simulation.run_until(lambda: simulation.gang_starts, 3 * GANG_WAIT_S)

    run_with_fetches(2, lambda name: 1.0, scenario, 3)


@pytest.mark.parametrize("seed", range(4))
def test_gang_starts_across_changes_of_leader_while_it_waits(seed: int) -> None:
    """Guards against a new leader that ends the attempt, since it has not seen how it began."""

    async def scenario(simulation: Simulation) -> None:
        boot_machines(simulation, 3)
        await simulation.advance(3.0)
        await simulation.submit_until_accepted(raw_gang(3))
        for _ in range(3):
            await simulation.run_until(
                lambda: any(task.state == "waiting" for _, task in simulation.tasks_on_machines())
            )
            await simulation.advance(simulation.rng.uniform(GANG_WAIT_S - 4.0, GANG_WAIT_S + 1.0))
            await fail_over(simulation)
            for label in LABELS:
                if label not in simulation.processes:
                    simulation.start(label)
        await simulation.run_until(lambda: simulation.gang_starts, 6 * GANG_WAIT_S)

    run_with_fetches(seed, lambda name: 10.0 / 90.0 if name == "vm-000001" else 10.0, scenario, 3)


@pytest.mark.parametrize("seed", range(6))
def test_cancelled_gang_is_not_started_again_in_place(seed: int) -> None:
    """Guards against a start of a cancelled gang, around the moment at which one of its tasks exits alone."""

    async def scenario(simulation: Simulation) -> None:
        boot_machines(simulation, 2)
        await simulation.advance(3.0)
        await simulation.submit_until_accepted(raw_gang(2))
        await simulation.run_until(lambda: any(task.state == "waiting" for _, task in simulation.tasks_on_machines()))
        await simulation.advance(GANG_WAIT_S - 0.6 + 0.3 * seed)
        await simulation.cancel_until_confirmed(JOB)
        await simulation.advance(simulation.platform.cancel_s)
        assert not simulation.tasks_on_machines() and not simulation.gang_starts
        assert not simulation.starts_after_cancel

    run_with_fetches(seed, lambda name: 10.0 / 65.0 if name == "vm-000001" else 10.0, scenario, 2)


# The race of a restart in place with the end of the attempt, in the cluster state alone.


def cluster_with_placed_gang() -> tuple[ClusterState, RecordLayout]:
    """Return a cluster with a gang of two on two machines, committed in its first attempt."""
    cluster = ClusterState(FENCING_TOKEN, {}, dict(MACHINE_TYPES), 0.0, 10.0)
    layout = RecordLayout(8192, 24)
    batch = Batch(cluster.jobs, layout, 23, 50_000)
    batch.create_job(Job(job(1, rig="group", hands=2), 0.0))
    apply_batch(cluster, batch, 1, 0.0)
    batch = Batch(cluster.jobs, layout, 23, 50_000)
    attempt = batch.next_attempt(JOB)
    for index in range(2):
        batch.transition_task(JOB, index, TaskState.PLACED, TaskPlacement(f"vm-{index}", "north", attempt))
    apply_batch(cluster, batch, 2, 0.0)
    return cluster, layout


def heartbeat(name: str, sequence: int, *tasks: TaskStatus) -> Heartbeat:
    return Heartbeat(name, "h", "big", "north", False, 1, sequence, FENCING_TOKEN, tasks)


EXITED_ALONE = TaskStatus(f"{JOB}/0", 1, TaskPhase.EXITED, ExitReason.GANG_INCOMPLETE)
WAITING = TaskStatus(f"{JOB}/0", 1, TaskPhase.WAITING)


def respond(cluster: ClusterState, beat: Heartbeat) -> list[str]:
    """Apply a heartbeat and return the actions of its response."""
    machine = apply_heartbeat(cluster, beat, float(beat.sequence))
    assert machine is not None
    return [command.action for command in commands_for_heartbeat(cluster, machine, beat)]


def stop_gang(cluster: ClusterState, layout: RecordLayout) -> None:
    """Commit a stop of the whole gang."""
    batch = Batch(cluster.jobs, layout, 23, 50_000)
    for index in range(2):
        batch.stop_task(JOB, index, 0.0)
    apply_batch(cluster, batch, 3, 0.0)


def released_by(cluster: ClusterState, layout: RecordLayout) -> set[int]:
    """Return the tasks that are released by what the last heartbeats prove."""
    batch = Batch(cluster.jobs, layout, 23, 50_000)
    for machine in cluster.machines.values():
        reconcile(cluster, machine, batch, 0.0)
    return {transition.task_index for transition in batch.task_transitions if transition.after is None}


def test_exit_answered_by_a_restart_proves_nothing_once_the_gang_is_stopped() -> None:
    """Guards against a task that runs twice: its old exit releases it while the restart is on its way."""
    cluster, layout = cluster_with_placed_gang()
    assert respond(cluster, heartbeat("vm-0", 1)) == [CommandAction.START]
    assert respond(cluster, heartbeat("vm-0", 2, WAITING)) == []
    assert respond(cluster, heartbeat("vm-0", 3, EXITED_ALONE)) == [CommandAction.FORGET, CommandAction.START]
    stop_gang(cluster, layout)
    assert released_by(cluster, layout) == set()
    assert cluster.may_be_on_machine((JOB, 0), cluster.jobs[JOB].placements[0])
    # The restart has arrived: the task is stopped, and only its next exit releases it.
    assert respond(cluster, heartbeat("vm-0", 4, WAITING)) == [CommandAction.STOP]
    assert released_by(cluster, layout) == set()
    respond(cluster, heartbeat("vm-0", 5, TaskStatus(f"{JOB}/0", 1, TaskPhase.EXITED, ExitReason.STOPPED)))
    assert released_by(cluster, layout) == {0}


def test_exit_after_a_lost_restart_releases_a_stopped_task() -> None:
    """Guards against a task that is never released because a restart was sent that its worker did not get."""
    cluster, layout = cluster_with_placed_gang()
    respond(cluster, heartbeat("vm-0", 1))
    respond(cluster, heartbeat("vm-0", 2, WAITING))
    respond(cluster, heartbeat("vm-0", 3, EXITED_ALONE))
    stop_gang(cluster, layout)
    respond(cluster, heartbeat("vm-0", 4, EXITED_ALONE))
    assert released_by(cluster, layout) == {0}


def test_lost_restart_is_sent_again() -> None:
    cluster, _ = cluster_with_placed_gang()
    respond(cluster, heartbeat("vm-0", 1))
    for sequence in (2, 3):
        assert respond(cluster, heartbeat("vm-0", sequence, EXITED_ALONE)) == [
            CommandAction.FORGET,
            CommandAction.START,
        ]


def test_nothing_is_started_in_place_while_the_release_is_in_flight() -> None:
    """Guards against a restart of an attempt whose end the batch in flight may commit."""
    cluster, _ = cluster_with_placed_gang()
    respond(cluster, heartbeat("vm-0", 1))
    cluster.attempts_being_released = {(JOB, 0, 1)}
    assert respond(cluster, heartbeat("vm-0", 2, EXITED_ALONE)) == []
